//! Digest that identifies repetitions of the same request.

use http::header;
use policy::request_digest::RequestDigest;

use crate::body::CallBody;
use crate::call::CallHead;

/// Returns the digest of method, path, `Content-Length` header and body.
///
/// Of a streaming body it covers only the buffered beginning.
pub(crate) fn request_digest(head: &CallHead, body: &CallBody) -> RequestDigest {
    let length = head.headers.get(header::CONTENT_LENGTH);
    RequestDigest::new([
        head.method.as_str().as_bytes(),
        head.path.as_bytes(),
        length.map_or(&[], |length| length.as_bytes()),
        body.buffered(),
    ])
}

//! Digest that identifies repetitions of the same request.

use bytes::Bytes;
use http::header;
use sha2::{Digest, Sha256};

use crate::body::CallBody;
use crate::call::CallHead;

/// Digest of method, path, `Content-Length` header and body.
///
/// Of a streaming body it covers only the buffered beginning.
pub(crate) struct RequestDigest([u8; 32]);

impl RequestDigest {
    pub(crate) fn new(head: &CallHead, body: &CallBody) -> Self {
        let mut digest = Sha256::new();
        digest.update(head.method.as_str());
        digest.update([0]);
        digest.update(&head.path);
        digest.update([0]);
        if let Some(length) = head.headers.get(header::CONTENT_LENGTH) {
            digest.update(length.as_bytes());
        }
        digest.update([0]);
        digest.update(body.buffered());
        Self(digest.finalize().into())
    }

    pub(crate) fn to_bytes(&self) -> Bytes {
        Bytes::copy_from_slice(&self.0)
    }

    /// Returns the first 8 bytes as a number, a shorter key for tables.
    pub(crate) fn to_u64(&self) -> u64 {
        let [a, b, c, d, e, f, g, h, ..] = self.0;
        u64::from_be_bytes([a, b, c, d, e, f, g, h])
    }
}

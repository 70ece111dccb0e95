//! Identity of a request, which its copies share.

use std::sync::Arc;

use bytes::Bytes;
use http::{HeaderValue, Method, Uri};
use model::ServiceName;
use policy::quarantine::Digest;
use policy::request_digest::RequestDigest;

use crate::body::{CallBody, MAX_BUFFERED_BYTES};
use crate::call::CallHead;

/// Parts of a call that identify copies of the same request: service, method, path with query,
/// caller and body.
///
/// Of a body that is streamed, the first [`MAX_BUFFERED_BYTES`] count. They are known before the
/// call is dispatched.
#[derive(Debug, Clone)]
pub(crate) struct RequestKey {
    service: ServiceName,
    method: Method,
    uri: Uri,
    caller: Arc<str>,
    body_start: Bytes,
    request_id: Option<HeaderValue>,
}

impl RequestKey {
    pub(crate) fn new(head: &CallHead, body: &CallBody) -> Self {
        let buffered = body.buffered();
        Self {
            service: head.service.clone(),
            method: head.method.clone(),
            uri: head.uri.clone(),
            caller: Arc::clone(&head.caller),
            body_start: buffered.slice(..buffered.len().min(MAX_BUFFERED_BYTES)),
            request_id: head.request_id.clone(),
        }
    }

    pub(crate) fn digest(&self) -> Digest {
        let path = self.uri.path_and_query().map_or("/", |path| path.as_str());
        let digest = RequestDigest::new([
            self.service.as_str().as_bytes(),
            self.method.as_str().as_bytes(),
            path.as_bytes(),
            self.caller.as_bytes(),
            &self.body_start,
        ]);
        digest.to_u64()
    }

    /// Returns the request id for logs, or `-` if there is none.
    pub(crate) fn id_text(&self) -> &str {
        self.request_id.as_ref().and_then(|id| id.to_str().ok()).unwrap_or("-")
    }
}

/// Returns the text form of a digest, as logs show it.
pub(crate) fn digest_text(digest: Digest) -> String {
    format!("{digest:016x}")
}

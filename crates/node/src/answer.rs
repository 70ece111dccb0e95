//! Answers and failures of calls.

use std::sync::Arc;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Response, StatusCode, header};
use model::{Outcome, Reason, RequestId, headers};
use policy::admission::AdmissionLoad;
use policy::{retry_after, shed};

use crate::admission_gate::Permit;
use crate::body::{AnswerBody, CallBody};
use crate::call::{ActiveCall, CallTable};

const US_PER_S: u64 = policy::US_PER_S;

/// Load of the node that answered.
#[derive(Debug, Clone, Copy)]
pub(crate) struct NodeLoad {
    pub(crate) admission: AdmissionLoad,
    pub(crate) is_leaving: bool,
    /// Level that the shed controller computes from recent refusals. The node only reports it; no
    /// call is refused because of it.
    pub(crate) shed_level: shed::Priority,
}

/// A complete answer, or one whose body still streams.
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: AnswerBody,
    pub(crate) load: Option<NodeLoad>,
    /// Whether a child call failed and will not be retried, so that the hops above must not retry
    /// either.
    pub(crate) is_final: bool,
    /// Unused retry allowance of the call; for a streaming body it is known only at the end.
    pub(crate) remaining_allowance: u32,
}

/// Failure of a call.
pub(crate) struct CallFailure {
    pub(crate) outcome: Outcome,
    pub(crate) reason: Reason,
    pub(crate) retry_after_us: u64,
    /// Whether the hops above must not retry the call.
    pub(crate) is_final: bool,
    pub(crate) load: Option<NodeLoad>,
    pub(crate) remaining_allowance: u32,
    /// The body of the call, if it can still be sent from its beginning.
    pub(crate) body: Option<CallBody>,
}

impl CallFailure {
    /// Creates the failure of a call that did not run; its retry allowance is unused.
    pub(crate) fn not_run(reason: Reason, allowance: u32, body: Option<CallBody>) -> Self {
        Self {
            outcome: Outcome::NotRun,
            reason,
            retry_after_us: advised_retry_after_us(reason),
            is_final: false,
            load: None,
            remaining_allowance: allowance,
            body,
        }
    }

    /// Creates the failure of a call that may have run; its retry allowance counts as used.
    pub(crate) fn unknown(reason: Reason) -> Self {
        Self {
            outcome: Outcome::Unknown,
            reason,
            retry_after_us: advised_retry_after_us(reason),
            is_final: false,
            load: None,
            remaining_allowance: 0,
            body: None,
        }
    }

    pub(crate) fn with_load(self, load: NodeLoad) -> Self {
        Self { load: Some(load), ..self }
    }

    /// Converts the failure into an HTTP response for a caller or the local upstream.
    pub(crate) fn into_response(self, request_id: RequestId) -> Response<AnswerBody> {
        let retry_after_ms = self.retry_after_us / policy::US_PER_MS;
        let body = serde_json::json!({
            "code": self.reason.as_str(),
            "outcome": self.outcome.as_str(),
            "request_id": request_id.to_string(),
            "retry_after_ms": retry_after_ms,
        });
        let bytes = Bytes::from(body.to_string());
        let mut response = Response::new(AnswerBody::buffered(bytes));
        *response.status_mut() = status_of(self.reason);
        let out = response.headers_mut();
        out.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
        out.insert(headers::OUTCOME, HeaderValue::from_static(self.outcome.as_str()));
        out.insert(headers::REASON, HeaderValue::from_static(self.reason.as_str()));
        if self.retry_after_us > 0 {
            let seconds = self.retry_after_us.div_ceil(US_PER_S);
            out.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
        }
        insert_request_id(out, request_id);
        response
    }
}

/// Adds the request id header.
pub(crate) fn insert_request_id(headers: &mut HeaderMap, request_id: RequestId) {
    if let Ok(value) = HeaderValue::try_from(request_id.to_string()) {
        headers.insert(headers::REQUEST_ID, value);
    }
}

fn status_of(reason: Reason) -> StatusCode {
    StatusCode::from_u16(reason.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)
}

/// Returns the recommended delay of a retry, in microseconds; zero if a retry does not help.
fn advised_retry_after_us(reason: Reason) -> u64 {
    match status_of(reason) {
        StatusCode::SERVICE_UNAVAILABLE => retry_after::delay_us(1.0, rand::random()),
        _ => 0,
    }
}

/// Holds the slot of a call until its answer has been sent, then returns the unused part of the
/// retry allowance to the parent call.
pub(crate) struct AnswerGuard {
    kind: GuardKind,
    /// Call that granted the retry allowance; `None` before it is set and once the unused part is
    /// returned.
    parent: Option<Arc<ActiveCall>>,
    /// Number of retries that the parent granted.
    granted: u32,
}

enum GuardKind {
    Upstream(Box<UpstreamGuard>),
    Peer,
}

/// Slot and table entry of a call that the upstream is serving.
pub(crate) struct UpstreamGuard {
    /// Slot of the call; `None` once it is freed.
    pub(crate) permit: Option<Permit>,
    pub(crate) calls: Arc<CallTable>,
    pub(crate) call: Arc<ActiveCall>,
}

impl Drop for UpstreamGuard {
    fn drop(&mut self) {
        self.calls.remove(self.call.call_id);
    }
}

impl AnswerGuard {
    pub(crate) fn upstream(guard: UpstreamGuard) -> Self {
        Self { kind: GuardKind::Upstream(Box::new(guard)), parent: None, granted: 0 }
    }

    pub(crate) fn peer() -> Self {
        Self { kind: GuardKind::Peer, parent: None, granted: 0 }
    }

    /// Sets the parent call, which granted the allowance and gets the unused retries back.
    pub(crate) fn set_parent(&mut self, parent: Option<Arc<ActiveCall>>, granted: u32) {
        self.parent = parent;
        self.granted = granted;
    }

    /// Returns the number of retries that are neither used nor granted to a child call; zero for an
    /// answer of a peer, which reports them at the end of the body.
    pub(crate) fn remaining_allowance(&self) -> u32 {
        match &self.kind {
            GuardKind::Upstream(guard) => guard.call.retry_allowance().available(),
            GuardKind::Peer => 0,
        }
    }

    /// Credits the unused retries to the parent call when the answer of the upstream ends.
    pub(crate) fn finish_upstream(&mut self) {
        let remaining_allowance = self.remaining_allowance();
        self.finish_peer(remaining_allowance);
    }

    /// Credits the unused retries that a peer reported to the parent call.
    pub(crate) fn finish_peer(&mut self, remaining_allowance: u32) {
        if let Some(parent) = self.parent.take() {
            parent.retry_allowance().return_unused(self.granted, remaining_allowance);
        }
    }
}

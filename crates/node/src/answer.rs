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

/// Load of the answering node.
#[derive(Debug, Clone, Copy)]
pub(crate) struct NodeLoad {
    pub(crate) admission: AdmissionLoad,
    pub(crate) is_leaving: bool,
    pub(crate) shed_level: shed::Priority,
}

/// A complete answer, or one whose body still streams.
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: AnswerBody,
    pub(crate) load: Option<NodeLoad>,
    /// A call below this one was given up.
    pub(crate) is_final: bool,
    /// Unspent allowance, known once the body is whole.
    pub(crate) unspent: u32,
}

/// A call without an answer.
pub(crate) struct CallFailure {
    pub(crate) outcome: Outcome,
    pub(crate) reason: Reason,
    pub(crate) retry_after_us: u64,
    pub(crate) is_final: bool,
    pub(crate) load: Option<NodeLoad>,
    pub(crate) unspent: u32,
    /// The body, if no part of it was used.
    pub(crate) body: Option<CallBody>,
}

impl CallFailure {
    /// Makes the failure of a call that did not run.
    pub(crate) fn not_run(reason: Reason, head_allowance: u32, body: Option<CallBody>) -> Self {
        Self {
            outcome: Outcome::NotRun,
            reason,
            retry_after_us: advised_us(reason),
            is_final: false,
            load: None,
            unspent: head_allowance,
            body,
        }
    }

    /// Makes the failure of a call that may have run; its lent allowance counts as spent.
    pub(crate) fn unknown(reason: Reason) -> Self {
        Self {
            outcome: Outcome::Unknown,
            reason,
            retry_after_us: advised_us(reason),
            is_final: false,
            load: None,
            unspent: 0,
            body: None,
        }
    }

    pub(crate) fn with_load(self, load: NodeLoad) -> Self {
        Self { load: Some(load), ..self }
    }

    /// Makes the HTTP answer for a caller or the upstream.
    pub(crate) fn into_response(self, request_id: RequestId) -> Response<AnswerBody> {
        let retry_after_ms = self.retry_after_us / policy::US_PER_MS;
        let body = serde_json::json!({
            "code": self.reason.as_str(),
            "outcome": self.outcome.as_str(),
            "request_id": request_id.to_string(),
            "retry_after_ms": retry_after_ms,
        });
        let bytes = Bytes::from(body.to_string());
        let mut response = Response::new(AnswerBody::full(bytes));
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

/// Adds the id of the request to an answer.
pub(crate) fn insert_request_id(headers: &mut HeaderMap, request_id: RequestId) {
    if let Ok(value) = HeaderValue::try_from(request_id.to_string()) {
        headers.insert(headers::REQUEST_ID, value);
    }
}

fn status_of(reason: Reason) -> StatusCode {
    StatusCode::from_u16(reason.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)
}

/// Returns when to come back, zero when coming back does not help.
fn advised_us(reason: Reason) -> u64 {
    match status_of(reason) {
        StatusCode::SERVICE_UNAVAILABLE => retry_after::advise_us(1.0, rand::random()),
        _ => 0,
    }
}

/// Keeps a call's slot and ledger until its answer has gone out.
pub(crate) struct AnswerGuard {
    kind: GuardKind,
    parent: Option<Arc<ActiveCall>>,
    lent: u32,
}

enum GuardKind {
    Upstream(Box<UpstreamGuard>),
    Peer,
}

/// Slot and table entry of a call that the upstream is serving.
pub(crate) struct UpstreamGuard {
    /// Present until the slot is freed.
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
        Self { kind: GuardKind::Upstream(Box::new(guard)), parent: None, lent: 0 }
    }

    pub(crate) fn peer() -> Self {
        Self { kind: GuardKind::Peer, parent: None, lent: 0 }
    }

    /// Names the ledger that gets the unspent part back.
    pub(crate) fn set_lender(&mut self, parent: Option<Arc<ActiveCall>>, lent: u32) {
        self.parent = parent;
        self.lent = lent;
    }

    /// Returns what the call did not spend, as far as known here.
    pub(crate) fn unspent(&self) -> u32 {
        match &self.kind {
            GuardKind::Upstream(guard) => guard.call.ledger().available(),
            GuardKind::Peer => 0,
        }
    }

    pub(crate) fn finish_upstream(&mut self) {
        let unspent = self.unspent();
        self.finish_peer(unspent);
    }

    pub(crate) fn finish_peer(&mut self, unspent: u32) {
        if let Some(parent) = self.parent.take() {
            parent.ledger().give_back(self.lent, unspent);
        }
    }
}

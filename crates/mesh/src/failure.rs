//! Calls without an answer.

use std::time::Duration;

use http::StatusCode;
use model::{Outcome, Reason};

/// A call without an answer.
#[derive(Debug)]
pub(crate) struct Failure {
    pub(crate) outcome: Outcome,
    pub(crate) reason: Reason,
    /// How long room is expected to be lacking.
    pub(crate) wait: Duration,
    /// The upstream itself turned the call away, so it counts as an arrival there.
    pub(crate) has_arrived: bool,
}

impl Failure {
    /// Makes the failure of a call that did not run.
    pub(crate) fn not_run(reason: Reason) -> Self {
        Self { outcome: Outcome::NotRun, reason, wait: Duration::ZERO, has_arrived: false }
    }

    /// Makes the failure of a call that may have run.
    pub(crate) fn unknown(reason: Reason) -> Self {
        Self { outcome: Outcome::Unknown, reason, wait: Duration::ZERO, has_arrived: true }
    }

    pub(crate) fn with_wait(self, wait: Duration) -> Self {
        Self { wait, ..self }
    }

    pub(crate) fn arrived(self) -> Self {
        Self { has_arrived: true, ..self }
    }

    /// Returns the status for the caller. One that promises not-run is kept for calls that did not.
    pub(crate) fn status(&self) -> StatusCode {
        let status = StatusCode::from_u16(self.reason.status());
        let status = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        match (self.outcome, status) {
            (Outcome::Unknown, StatusCode::SERVICE_UNAVAILABLE) => StatusCode::BAD_GATEWAY,
            (Outcome::NotRun, StatusCode::BAD_GATEWAY | StatusCode::GATEWAY_TIMEOUT) => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            (_, status) => status,
        }
    }
}

//! Failed calls and their mapping to HTTP status codes.

#[cfg(test)]
mod tests;

use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use model::{Outcome, Reason};

/// Failure of a call that got no usable response from an upstream.
#[derive(Debug)]
pub(crate) struct CallFailure {
    pub(crate) outcome: Outcome,
    pub(crate) reason: Reason,
    /// Expected time until capacity becomes available; zero if unknown.
    pub(crate) expected_wait: Duration,
    /// Whether the call may have reached an upstream. Such an attempt counts towards the maximum
    /// number of attempts, and its retry is charged to the retry budget.
    pub(crate) has_reached_upstream: bool,
    /// Client account of the call, for the log. `None` if it is unknown or there is none.
    pub(crate) account: Option<Arc<str>>,
}

impl CallFailure {
    /// Returns the failure of a call that did not run.
    pub(crate) fn not_run(reason: Reason) -> Self {
        Self {
            outcome: Outcome::NotRun,
            reason,
            expected_wait: Duration::ZERO,
            has_reached_upstream: false,
            account: None,
        }
    }

    /// Returns the failure of a call that may have run.
    pub(crate) fn unknown(reason: Reason) -> Self {
        Self {
            outcome: Outcome::Unknown,
            reason,
            expected_wait: Duration::ZERO,
            has_reached_upstream: true,
            account: None,
        }
    }

    pub(crate) fn with_expected_wait(self, expected_wait: Duration) -> Self {
        Self { expected_wait, ..self }
    }

    pub(crate) fn with_account(self, account: Option<Arc<str>>) -> Self {
        Self { account, ..self }
    }

    /// Marks the failure of a call that an upstream received.
    pub(crate) fn reached_upstream(self) -> Self {
        Self { has_reached_upstream: true, ..self }
    }

    /// Returns whether the caller is told after which wait it may send the request again: it did not
    /// run, and the cause passes.
    pub(crate) fn advises_retry(&self) -> bool {
        let status = self.status();
        matches!(status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS)
    }

    /// Returns the status for the caller. Status 503 guarantees that the call did not run: it is
    /// never used for a call that may have run, and it replaces 502 and 504 for a call that did
    /// not.
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

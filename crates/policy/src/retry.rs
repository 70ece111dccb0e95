//! Whether a failed attempt is followed by another.

use model::{Outcome, Reason};

/// Time that another attempt needs at least, in microseconds.
const MIN_REMAINING_US: u64 = 5_000;

/// An attempt that did not give an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FailedAttempt {
    /// What is known about whether it ran.
    pub outcome: Outcome,
    /// Why it failed.
    pub reason: Reason,
    /// A deeper call was given up, so no layer above repeats it.
    pub is_final: bool,
    /// The body can be sent again.
    pub is_replayable: bool,
}

/// What limits another attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptLimits {
    /// The route allows the request to run more than once.
    pub is_idempotent: bool,
    /// Time left, in microseconds.
    pub remaining_us: u64,
    /// Endpoints that this call has not tried.
    pub untried_endpoints: usize,
}

/// Returns whether another attempt makes sense, before allowance and budget are asked.
pub fn is_worthwhile(failed: FailedAttempt, limits: AttemptLimits) -> bool {
    if failed.is_final || !failed.is_replayable || !failed.reason.is_retryable() {
        return false;
    }
    if limits.remaining_us < MIN_REMAINING_US || limits.untried_endpoints == 0 {
        return false;
    }
    failed.outcome == Outcome::NotRun || limits.is_idempotent
}

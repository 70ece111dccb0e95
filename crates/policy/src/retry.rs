//! Decision whether a failed attempt is retried.

use model::{Outcome, Reason};

/// Minimum time before the deadline for another attempt, in microseconds.
const MIN_REMAINING_US: u64 = 5_000;

/// An attempt that ended without an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FailedAttempt {
    /// What is known about whether the upstream ran the call.
    pub outcome: Outcome,
    /// Reason of the failure.
    pub reason: Reason,
    /// Whether a later hop of the call chain has stopped retrying; the hops before it do not retry
    /// then.
    pub is_final: bool,
    /// Whether the request body can be sent again.
    pub is_replayable: bool,
}

/// Limits of a call on further attempts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptLimits {
    /// Whether the route allows the request to run more than once.
    pub is_idempotent: bool,
    /// Time until the deadline, in microseconds.
    pub remaining_us: u64,
    /// Number of endpoints that this call has not tried.
    pub untried_endpoints: usize,
}

/// Returns whether a failed attempt may be retried, apart from the limits of the retry allowance
/// and the retry budget.
pub fn should_retry(failed: FailedAttempt, limits: AttemptLimits) -> bool {
    if failed.is_final || !failed.is_replayable || !failed.reason.is_retryable() {
        return false;
    }
    if limits.remaining_us < MIN_REMAINING_US || limits.untried_endpoints == 0 {
        return false;
    }
    failed.outcome == Outcome::NotRun || limits.is_idempotent
}

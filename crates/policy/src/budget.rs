//! The retry budget of a node for one service: a share of recent successes.
//!
//! The allowance bounds the retries of one request; the budget stops nearly all retries in a surge,
//! when most requests would use theirs.

/// Retries that may be saved up.
const MAX_RETRIES: u32 = 20;
/// Parts of one retry; a success earns as many as the share in percent says.
const PARTS_PER_RETRY: u32 = 100;

/// Token bucket that successes fill and retries drain.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    parts: u32,
    percent: u32,
}

impl RetryBudget {
    /// Starts full, with a share of successes in percent.
    pub fn new(percent: u32) -> Self {
        Self { parts: MAX_RETRIES * PARTS_PER_RETRY, percent }
    }

    /// Replaces the share.
    pub fn set_percent(&mut self, percent: u32) {
        self.percent = percent;
    }

    /// Takes a success into account.
    pub fn record_success(&mut self) {
        self.parts = (self.parts + self.percent).min(MAX_RETRIES * PARTS_PER_RETRY);
    }

    /// Takes one retry out. Returns whether there was one.
    pub fn withdraw(&mut self) -> bool {
        let Some(rest) = self.parts.checked_sub(PARTS_PER_RETRY) else { return false };
        self.parts = rest;
        true
    }
}

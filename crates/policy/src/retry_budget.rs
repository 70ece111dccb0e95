//! Retry budget of a node for one service: a token bucket that grows by a share of successes.
//!
//! The retry allowance limits the retries of one request. The budget also stops nearly all retries
//! during an overload, when most requests would use their allowance.

/// Capacity of the bucket, in retries.
const CAPACITY_RETRIES: u32 = 20;
/// Tokens that one retry takes. A success adds as many tokens as the budget's percentage.
const TOKENS_PER_RETRY: u32 = 100;

/// Token bucket that successes fill and retries consume.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    tokens: u32,
    percent: u32,
}

impl RetryBudget {
    /// Creates a full bucket that allows retries for a share of successes, in percent.
    pub fn new(percent: u32) -> Self {
        Self { tokens: CAPACITY_RETRIES * TOKENS_PER_RETRY, percent }
    }

    /// Replaces the share of successes, in percent.
    pub fn set_percent(&mut self, percent: u32) {
        self.percent = percent;
    }

    /// Adds the tokens of one success.
    pub fn record_success(&mut self) {
        self.tokens = (self.tokens + self.percent).min(CAPACITY_RETRIES * TOKENS_PER_RETRY);
    }

    /// Withdraws the tokens of one retry. Returns whether the bucket held enough.
    pub fn withdraw(&mut self) -> bool {
        let Some(remaining) = self.tokens.checked_sub(TOKENS_PER_RETRY) else { return false };
        self.tokens = remaining;
        true
    }
}

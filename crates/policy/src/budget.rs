//! The retry budget of a node for one service: a share of recent successes.
//!
//! The allowance bounds the retries of one request; the budget stops nearly all retries in a surge,
//! when most requests would use theirs.

/// Retries that may be saved up.
const MAX_TOKENS: f64 = 20.0;

/// Token bucket that successes fill and retries drain.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    tokens: f64,
    tokens_per_success: f64,
}

impl RetryBudget {
    /// Starts full, with a share of successes in percent.
    pub fn new(percent: u32) -> Self {
        Self { tokens: MAX_TOKENS, tokens_per_success: f64::from(percent) / 100.0 }
    }

    /// Replaces the share.
    pub fn set_percent(&mut self, percent: u32) {
        self.tokens_per_success = f64::from(percent) / 100.0;
    }

    /// Takes a success into account.
    pub fn record_success(&mut self) {
        self.tokens = (self.tokens + self.tokens_per_success).min(MAX_TOKENS);
    }

    /// Takes one retry out. Returns whether there was one.
    pub fn withdraw(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

//! How many calls of a service a node may send a second time.
//!
//! All nodes together may repeat a share of the requests for a service, calls of upstreams among them,
//! and a fixed number more in each window. Nodes do not ask each other before a repeat; each gets an equal part of the fixed number
//! and earns the share with its own requests. Both parts are kept well below the whole, since
//! windows slide and the number of nodes known here may lag.

use crate::US_PER_S;

/// Part of the allowed repeats that all nodes together use.
const USED_PART: f64 = 0.4;

/// Repeats allowed over all nodes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RepeatBounds {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats in each window beyond the ratio.
    pub slack: f64,
    /// Length of the window, in seconds.
    pub window_s: f64,
}

impl Default for RepeatBounds {
    /// A tenth of the requests, as is usual for retry budgets, and a few for quiet services.
    fn default() -> Self {
        Self { ratio: 0.1, slack: 20.0, window_s: 10.0 }
    }
}

/// Repeats that one node may make for one service.
///
/// Requests earn a part of a repeat each. What was earned is kept for about a window, so that a fault
/// of a few seconds can use what the calm before it left, and no longer, so that a window never holds
/// more than twice the part that is used.
#[derive(Debug, Clone)]
pub struct RepeatBudget {
    /// Requests of the last window, fading.
    requests: f64,
    earned: f64,
    /// What is left of the fixed number.
    fixed: f64,
    updated_us: u64,
}

impl RepeatBudget {
    /// Starts with the node's part of the fixed number.
    pub fn new(now_us: u64, bounds: RepeatBounds, nodes: usize) -> Self {
        let fixed = fixed_part(bounds, nodes);
        Self { requests: 0.0, earned: 0.0, fixed, updated_us: now_us }
    }

    /// Takes a request for the service into account.
    pub fn record_request(&mut self, now_us: u64, bounds: RepeatBounds, nodes: usize) {
        self.advance(now_us, bounds, nodes);
        self.requests += 1.0;
        self.earned += bounds.ratio * USED_PART;
    }

    /// Takes the cost of one repeat out. Returns whether there was enough.
    ///
    /// A repeat of a call that makes calls of its own costs more than one.
    pub fn withdraw(&mut self, now_us: u64, bounds: RepeatBounds, nodes: usize, cost: f64) -> bool {
        self.advance(now_us, bounds, nodes);
        if self.earned + self.fixed < cost {
            return false;
        }
        let from_earned = cost.min(self.earned);
        self.earned -= from_earned;
        self.fixed -= cost - from_earned;
        true
    }

    fn advance(&mut self, now_us: u64, bounds: RepeatBounds, nodes: usize) {
        let elapsed_s = now_us.saturating_sub(self.updated_us) as f64 / US_PER_S as f64;
        let windows = elapsed_s / bounds.window_s.max(1.0);
        self.updated_us = self.updated_us.max(now_us);
        self.requests *= (-windows).exp();
        self.earned = self.earned.min(self.requests * bounds.ratio * USED_PART);
        let fixed_part = fixed_part(bounds, nodes);
        self.fixed = (self.fixed + windows * fixed_part).min(fixed_part);
    }
}

/// Returns a node's part of the fixed number. A window may hold it twice: kept and regained.
fn fixed_part(bounds: RepeatBounds, nodes: usize) -> f64 {
    bounds.slack * USED_PART / 2.0 / nodes.max(1) as f64
}

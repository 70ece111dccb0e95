//! How many calls of a service a node may send a second time.
//!
//! All nodes together may repeat a share of the callers' requests and a fixed number more in each
//! window. Nodes do not ask each other before a repeat; each gets an equal part of the fixed number
//! and earns the share with its own requests. Both parts are kept well below the whole, since
//! windows slide and the number of nodes known here may lag.

use crate::US_PER_S;

/// Part of the allowed repeats that all nodes together use.
const USED_PART: f64 = 0.4;

/// Repeats allowed over all nodes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RepeatBounds {
    /// Repeats for each request of a caller.
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

/// Token bucket of one node for one service.
#[derive(Debug, Clone)]
pub struct RepeatBudget {
    tokens: f64,
    updated_us: u64,
}

impl RepeatBudget {
    /// Starts with the node's part of one window.
    pub fn new(now_us: u64, bounds: RepeatBounds, nodes: usize) -> Self {
        Self { tokens: capacity(bounds, nodes), updated_us: now_us }
    }

    /// Takes a caller's request for the service into account.
    pub fn record_request(&mut self, bounds: RepeatBounds, nodes: usize) {
        let most = capacity(bounds, nodes);
        self.tokens = (self.tokens + bounds.ratio * USED_PART).min(most.max(self.tokens));
    }

    /// Takes the cost of one repeat out. Returns whether there was enough.
    ///
    /// A repeat of a call that makes calls of its own costs more than one.
    pub fn withdraw(&mut self, now_us: u64, bounds: RepeatBounds, nodes: usize, cost: f64) -> bool {
        let most = capacity(bounds, nodes);
        let elapsed_s = now_us.saturating_sub(self.updated_us) as f64 / US_PER_S as f64;
        let earned = elapsed_s * most / bounds.window_s.max(1.0);
        self.updated_us = now_us;
        self.tokens = (self.tokens + earned).min(most);
        if self.tokens < cost {
            return false;
        }
        self.tokens -= cost;
        true
    }
}

fn capacity(bounds: RepeatBounds, nodes: usize) -> f64 {
    (bounds.slack * USED_PART / 2.0 / nodes.max(1) as f64).max(1.0)
}

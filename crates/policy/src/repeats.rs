//! Retry budget of one node for one service, within a bound that holds over all nodes.
//!
//! A repeat is a retry of a call. In each window, all nodes together may make repeats for a share
//! of the requests to a service (calls made by upstreams included) and a fixed number in addition,
//! the slack. Nodes do not coordinate before a repeat: each gets an equal part of the slack and
//! earns the share with its own requests. Both parts are kept well below the bound, since windows
//! slide and the number of nodes known here may be out of date.

use crate::US_PER_S;

/// Share of the allowed repeats that all nodes together use.
const USED_SHARE: f64 = 0.4;

/// Upper bound on the repeats of all nodes together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RepeatBounds {
    /// Repeats allowed per request.
    pub ratio: f64,
    /// Repeats allowed per window in addition to the ratio.
    pub slack: f64,
    /// Length of the window, in seconds.
    pub window_s: f64,
}

impl Default for RepeatBounds {
    /// Returns a bound of a tenth of the requests, as is usual for retry budgets, and a small slack
    /// for services with few requests.
    fn default() -> Self {
        Self { ratio: 0.1, slack: 20.0, window_s: 10.0 }
    }
}

/// Budget of repeats of one node for one service.
///
/// Each request earns a fraction of a repeat. Earned repeats are kept for about one window, so that
/// a fault of a few seconds can use those earned before it. They are not kept longer, so that a
/// window never contains more than twice the used share.
#[derive(Debug, Clone)]
pub struct RepeatBudget {
    /// Exponentially decaying number of requests in the last window.
    recent_requests: f64,
    earned_repeats: f64,
    /// Repeats left of the node's part of the slack.
    remaining_slack: f64,
    updated_us: u64,
}

impl RepeatBudget {
    /// Creates a budget that holds the node's part of the slack.
    pub fn new(now_us: u64, bounds: RepeatBounds, nodes: usize) -> Self {
        let remaining_slack = node_slack(bounds, nodes);
        Self { recent_requests: 0.0, earned_repeats: 0.0, remaining_slack, updated_us: now_us }
    }

    /// Records a request to the service, which earns a fraction of a repeat.
    pub fn record_request(&mut self, now_us: u64, bounds: RepeatBounds, nodes: usize) {
        self.decay_and_refill(now_us, bounds, nodes);
        self.recent_requests += 1.0;
        self.earned_repeats += bounds.ratio * USED_SHARE;
    }

    /// Withdraws the cost of one repeat. Returns whether the budget covered it.
    ///
    /// Repeating a call that makes further calls costs more than 1.0.
    pub fn withdraw(&mut self, now_us: u64, bounds: RepeatBounds, nodes: usize, cost: f64) -> bool {
        self.decay_and_refill(now_us, bounds, nodes);
        if self.earned_repeats + self.remaining_slack < cost {
            return false;
        }
        let from_earned_repeats = cost.min(self.earned_repeats);
        self.earned_repeats -= from_earned_repeats;
        self.remaining_slack -= cost - from_earned_repeats;
        true
    }

    fn decay_and_refill(&mut self, now_us: u64, bounds: RepeatBounds, nodes: usize) {
        let elapsed_s = now_us.saturating_sub(self.updated_us) as f64 / US_PER_S as f64;
        let windows = elapsed_s / bounds.window_s.max(1.0);
        self.updated_us = self.updated_us.max(now_us);
        self.recent_requests *= (-windows).exp();
        self.earned_repeats =
            self.earned_repeats.min(self.recent_requests * bounds.ratio * USED_SHARE);
        let node_slack = node_slack(bounds, nodes);
        self.remaining_slack = (self.remaining_slack + windows * node_slack).min(node_slack);
    }
}

/// Returns one node's part of the slack. It is halved because a sliding window may contain it
/// twice: once saved up and once refilled.
fn node_slack(bounds: RepeatBounds, nodes: usize) -> f64 {
    bounds.slack * USED_SHARE / 2.0 / nodes.max(1) as f64
}

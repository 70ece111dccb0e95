//! Retry budget of one node for one service, within a bound that holds over all nodes.
//!
//! In each window, all nodes together may make retries for a share of the requests to a service
//! (calls made by upstreams included) and a fixed number in addition, the slack. Nodes do not
//! coordinate before a retry: each gets an equal part of the slack and earns the share with its own
//! requests. Both parts are kept well below the bound, since windows slide and the number of nodes
//! known here may be out of date.
//!
//! A retried request makes all its calls again. These count as repeats at the called services, so
//! they are charged to the budgets of the nodes that make them.

use crate::US_PER_S;

/// Share of the allowed retries that all nodes together use.
const USED_SHARE: f64 = 0.4;

/// Upper bound on the retries of all nodes together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBounds {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Retries allowed per window in addition to the ratio.
    pub slack: f64,
    /// Length of the window, in seconds.
    pub window_s: f64,
}

impl Default for RetryBounds {
    /// Returns a bound of a tenth of the requests, as is usual for retry budgets, and a small slack
    /// for services with few requests.
    fn default() -> Self {
        Self { ratio: 0.1, slack: 20.0, window_s: 10.0 }
    }
}

/// Budget of retries of one node for one service.
///
/// Each request earns a fraction of a retry. Earned retries are kept for about one window, so that
/// they are available during a fault of a few seconds. They are not kept longer, so that a window
/// never contains more than twice the used share.
#[derive(Debug, Clone)]
pub struct SharedRetryBudget {
    /// Exponentially decaying number of requests in the last window.
    recent_requests: f64,
    earned_retries: f64,
    /// Remaining retries of the node's part of the slack.
    remaining_slack: f64,
    updated_us: u64,
}

impl SharedRetryBudget {
    /// Creates a budget that holds the node's part of the slack.
    pub fn new(now_us: u64, bounds: RetryBounds, nodes: usize) -> Self {
        let remaining_slack = node_slack(bounds, nodes);
        Self { recent_requests: 0.0, earned_retries: 0.0, remaining_slack, updated_us: now_us }
    }

    /// Records a request to the service, which earns a fraction of a retry.
    pub fn record_request(&mut self, now_us: u64, bounds: RetryBounds, nodes: usize) {
        self.decay_and_refill(now_us, bounds, nodes);
        self.recent_requests += 1.0;
        self.earned_retries += bounds.ratio * USED_SHARE;
    }

    /// Withdraws the cost of one retry. Returns whether the budget covered it.
    ///
    /// Repeating a call that makes further calls costs more than 1.0.
    pub fn withdraw(&mut self, now_us: u64, bounds: RetryBounds, nodes: usize, cost: f64) -> bool {
        self.decay_and_refill(now_us, bounds, nodes);
        if self.earned_retries + self.remaining_slack < cost {
            return false;
        }
        let from_earned_retries = cost.min(self.earned_retries.max(0.0));
        self.earned_retries -= from_earned_retries;
        self.remaining_slack -= cost - from_earned_retries;
        true
    }

    /// Charges a call that is repeated because its request was retried at another service. It cannot
    /// be refused, so it may overdraw the budget, which then covers no retries until it has earned
    /// the difference.
    pub fn charge(&mut self, now_us: u64, bounds: RetryBounds, nodes: usize) {
        self.decay_and_refill(now_us, bounds, nodes);
        self.earned_retries -= 1.0;
    }

    fn decay_and_refill(&mut self, now_us: u64, bounds: RetryBounds, nodes: usize) {
        let elapsed_s = now_us.saturating_sub(self.updated_us) as f64 / US_PER_S as f64;
        let elapsed_windows = elapsed_s / bounds.window_s.max(1.0);
        self.updated_us = self.updated_us.max(now_us);
        self.recent_requests *= (-elapsed_windows).exp();
        if self.earned_retries < 0.0 {
            // Calls that lie more than a window back no longer count.
            self.earned_retries *= (-elapsed_windows).exp();
        }
        self.earned_retries =
            self.earned_retries.min(self.recent_requests * bounds.ratio * USED_SHARE);
        let node_slack = node_slack(bounds, nodes);
        self.remaining_slack =
            (self.remaining_slack + elapsed_windows * node_slack).min(node_slack);
    }
}

/// Returns one node's part of the slack. It is halved because a sliding window may contain it
/// twice: once saved up and once refilled.
fn node_slack(bounds: RetryBounds, nodes: usize) -> f64 {
    bounds.slack * USED_SHARE / 2.0 / nodes.max(1) as f64
}

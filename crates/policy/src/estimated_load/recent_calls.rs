//! Decaying count of the calls that this node sent.

use crate::US_PER_S;
use crate::vm_rates::decay;

/// Time constant of the count, in microseconds: about the time between two reports of a VM to one
/// of several hundred nodes.
const RECENT_TIME_CONSTANT_US: f64 = US_PER_S as f64;

/// Decaying count of calls.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct RecentCalls {
    count: f64,
    updated_us: u64,
}

impl RecentCalls {
    pub(super) fn record(&mut self, now_us: u64) {
        self.count = self.count(now_us) + 1.0;
        self.updated_us = now_us;
    }

    pub(super) fn count(&self, now_us: u64) -> f64 {
        self.count * decay(now_us, self.updated_us, RECENT_TIME_CONSTANT_US)
    }
}

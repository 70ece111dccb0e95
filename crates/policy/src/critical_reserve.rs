//! Slots reserved for calls of the critical classes.
//!
//! Without a reserve, lower classes take every slot that becomes available, and when the upstream
//! slows down a critical call waits for a full service time before it starts. By Little's law, the
//! number of slots that critical calls need is their arrival rate times the service time; lower
//! classes use the rest.

use crate::US_PER_S;

/// Time constant of the arrival rate's exponential decay, in microseconds.
const RATE_TIME_CONSTANT_US: f64 = 2.0 * US_PER_S as f64;
/// Maximum share of the limit that is reserved.
const MAX_RESERVED_SHARE: f64 = 0.8;

/// Tracks the arrival rate of critical calls to derive the number of reserved slots.
#[derive(Debug, Default)]
pub struct CriticalReserve {
    rate_per_us: f64,
    updated_us: u64,
}

impl CriticalReserve {
    /// Creates a reserve with an arrival rate of zero.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the arrival of a critical call.
    pub fn record_arrival(&mut self, now_us: u64) {
        self.rate_per_us = self.decayed_rate(now_us) + 1.0 / RATE_TIME_CONSTANT_US;
        self.updated_us = now_us;
    }

    /// Returns the number of slots, out of `limit`, that lower classes may not use.
    ///
    /// `service_us` is the expected service time of a call, in microseconds.
    pub fn slots(&self, now_us: u64, service_us: u64, limit: u32) -> u32 {
        let mean = self.decayed_rate(now_us) * service_us as f64;
        // The mean minus one standard deviation of a Poisson count, so that reserved slots are
        // seldom idle. Critical calls beyond the reserve wait for the next available slot.
        let needed = (mean - mean.sqrt()).max(0.0);
        let max_slots = f64::from(limit) * MAX_RESERVED_SHARE;
        needed.min(max_slots) as u32
    }

    fn decayed_rate(&self, now_us: u64) -> f64 {
        let age_us = now_us.saturating_sub(self.updated_us) as f64;
        self.rate_per_us * (-age_us / RATE_TIME_CONSTANT_US).exp()
    }
}

//! Slots kept for critical calls.
//!
//! Without a reserve, lower classes take every slot as it comes free, and when the upstream slows down
//! a critical call waits for a whole service time before it starts. By Little's law the critical calls
//! need their arrival rate times the service time in slots; lower classes share the rest.

use crate::US_PER_S;

/// Memory of the rate, in microseconds.
const DECAY_US: f64 = 2.0 * US_PER_S as f64;
/// Largest share of the limit that is kept.
const MAX_RESERVED_SHARE: f64 = 0.8;

/// Arrival rate of critical calls and the slots that they need.
#[derive(Debug, Default)]
pub struct CriticalReserve {
    rate_per_us: f64,
    updated_us: u64,
}

impl CriticalReserve {
    /// Starts with no critical calls known.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes a critical arrival into account.
    pub fn record_arrival(&mut self, now_us: u64) {
        self.rate_per_us = self.decayed_rate(now_us) + 1.0 / DECAY_US;
        self.updated_us = now_us;
    }

    /// Returns the slots of a limit that lower classes leave free or to critical calls.
    pub fn slots(&self, now_us: u64, service_us: u64, limit: u32) -> u32 {
        let mean = self.decayed_rate(now_us) * service_us as f64;
        // One standard deviation of a Poisson count less, so that kept slots are seldom idle;
        // critical calls above the reserve wait for the next slot that comes free.
        let needed = (mean - mean.sqrt()).max(0.0);
        let most = f64::from(limit) * MAX_RESERVED_SHARE;
        needed.min(most) as u32
    }

    fn decayed_rate(&self, now_us: u64) -> f64 {
        let age_us = now_us.saturating_sub(self.updated_us) as f64;
        self.rate_per_us * (-age_us / DECAY_US).exp()
    }
}

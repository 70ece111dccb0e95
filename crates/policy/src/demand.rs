//! Estimate of the slots that a kind of calls needs.

use crate::US_PER_S;

/// Time constant of the arrival rate's exponential decay, in microseconds.
const RATE_TIME_CONSTANT_US: f64 = US_PER_S as f64;
/// Weight of a new sample in the moving average of service times.
pub(crate) const EWMA_WEIGHT: f64 = 0.1;

/// Exponentially decaying arrival rate and mean service time, from which needed slots are
/// estimated.
#[derive(Debug, Default)]
pub(crate) struct Demand {
    rate_per_us: f64,
    mean_service_us: f64,
    updated_us: u64,
}

impl Demand {
    pub(crate) fn record(&mut self, now_us: u64, service_us: f64) {
        self.rate_per_us = self.rate(now_us) + 1.0 / RATE_TIME_CONSTANT_US;
        self.updated_us = now_us;
        self.mean_service_us += EWMA_WEIGHT * (service_us - self.mean_service_us);
    }

    fn rate(&self, now_us: u64) -> f64 {
        let age_us = now_us.saturating_sub(self.updated_us) as f64;
        self.rate_per_us * (-age_us / RATE_TIME_CONSTANT_US).exp()
    }

    /// Returns the number of slots to reserve for this demand.
    ///
    /// This is the mean number of busy slots by Little's law, minus one standard deviation of a
    /// Poisson count so that reserved slots are seldom idle.
    pub(crate) fn reserved_slots(&self, now_us: u64) -> f64 {
        let mean = self.rate(now_us) * self.mean_service_us;
        (mean - mean.sqrt()).max(0.0)
    }
}

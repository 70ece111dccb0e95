//! Exponentially decaying means.

/// Weight of a prior with value zero, so that one bad sample among few does not dominate the mean.
const PRIOR_WEIGHT: f64 = 2.0;

/// Exponentially decaying mean of samples from 0.0 to 1.0.
#[derive(Debug, Clone, Copy)]
pub struct DecayingMean {
    time_constant_us: f64,
    sum: f64,
    weight: f64,
    updated_us: u64,
}

impl DecayingMean {
    /// Creates a mean without samples, whose value is zero. The weight of a sample decays to 1/e
    /// within the time constant, in microseconds.
    pub fn new(time_constant_us: u64) -> Self {
        Self { time_constant_us: time_constant_us as f64, sum: 0.0, weight: 0.0, updated_us: 0 }
    }

    /// Adds a sample.
    pub fn record(&mut self, now_us: u64, sample: f64) {
        let decay_factor = self.decay_factor(now_us);
        self.sum = self.sum * decay_factor + sample;
        self.weight = self.weight * decay_factor + 1.0;
        self.updated_us = now_us;
    }

    /// Returns the mean, which decays to zero without new samples.
    pub fn value(&self, now_us: u64) -> f64 {
        let decay_factor = self.decay_factor(now_us);
        self.sum * decay_factor / (self.weight * decay_factor + PRIOR_WEIGHT)
    }

    fn decay_factor(&self, now_us: u64) -> f64 {
        (-(now_us.saturating_sub(self.updated_us) as f64) / self.time_constant_us).exp()
    }
}

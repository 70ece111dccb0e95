//! Means that fade with time.

/// Samples without harm that a mean starts with, so that one bad sample among few does not decide.
const HARMLESS_SAMPLES: f64 = 2.0;

/// Exponentially fading mean of samples from zero to one.
#[derive(Debug, Clone, Copy)]
pub struct FadingShare {
    memory_us: f64,
    sum: f64,
    weight: f64,
    updated_us: u64,
}

impl FadingShare {
    /// Starts at zero. A sample loses two thirds of its weight within the memory, in microseconds.
    pub fn new(memory_us: u64) -> Self {
        Self { memory_us: memory_us as f64, sum: 0.0, weight: 0.0, updated_us: 0 }
    }

    /// Takes a sample into account.
    pub fn record(&mut self, now_us: u64, sample: f64) {
        let kept = self.kept(now_us);
        self.sum = self.sum * kept + sample;
        self.weight = self.weight * kept + 1.0;
        self.updated_us = now_us;
    }

    /// Returns the mean. It fades to zero without samples.
    pub fn value(&self, now_us: u64) -> f64 {
        let kept = self.kept(now_us);
        self.sum * kept / (self.weight * kept + HARMLESS_SAMPLES)
    }

    fn kept(&self, now_us: u64) -> f64 {
        (-(now_us.saturating_sub(self.updated_us) as f64) / self.memory_us).exp()
    }
}

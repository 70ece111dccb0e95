//! Adaptive concurrency limit of one upstream.
//!
//! The announced slots are the upper bound. The limit follows additive increase, multiplicative
//! decrease: refusals by the upstream lower it at most once per mean service time, successes raise
//! it. A cold (recently started) upstream has a low limit, which ramps up with its age.

use crate::US_PER_MS;

/// Factor applied to the limit after the upstream refused a call.
const DECREASE_FACTOR: f64 = 0.8;
/// Slots by which the limit grows over a number of successes that equals the limit.
const ADDITIVE_INCREASE_SLOTS: f64 = 2.0;
/// Initial limit of a cold upstream, as a share of the announced slots.
const COLD_START_SHARE: f64 = 0.25;
/// Minimum time between two decreases, in microseconds.
const MIN_DECREASE_INTERVAL_US: u64 = 20 * US_PER_MS;

/// Weight of a new sample in the moving average of service times.
const EWMA_WEIGHT: f64 = 0.1;

/// Result of one call, as far as it affects the limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallSample {
    /// The upstream answered.
    Success {
        /// Service time of the upstream, in microseconds.
        service_us: u64,
    },
    /// The upstream refused to run the call.
    Shed,
    /// The call ended in another way and does not affect the limit.
    Ignored,
}

/// Settings of an [`AdaptiveLimit`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitConfig {
    /// Number of slots that the upstream announced; the maximum limit.
    pub slots: u32,
    /// Minimum limit.
    pub min_limit: u32,
    /// Time after which a cold upstream may reach its full limit, in microseconds.
    pub cold_ramp_us: u64,
}

/// Concurrency limit of one upstream.
#[derive(Debug, Clone)]
pub struct AdaptiveLimit {
    config: LimitConfig,
    limit: f64,
    started_us: u64,
    last_decrease_us: u64,
    mean_service_us: f64,
}

impl AdaptiveLimit {
    /// Creates the limit of a cold upstream that started at `now_us`.
    pub fn new(config: LimitConfig, now_us: u64) -> Self {
        Self {
            config,
            limit: f64::from(config.slots),
            started_us: now_us,
            last_decrease_us: now_us,
            mean_service_us: 0.0,
        }
    }

    /// Replaces the settings, for example after a new announcement or profile, and scales the limit
    /// in proportion to the slots.
    pub fn set_config(&mut self, config: LimitConfig) {
        if config == self.config {
            return;
        }
        let share = self.limit / f64::from(self.config.slots.max(1));
        self.limit = share * f64::from(config.slots);
        self.config = config;
    }

    /// Returns the maximum number of concurrent calls.
    pub fn current(&self, now_us: u64) -> u32 {
        let ramp = self.ramp_share(now_us) * f64::from(self.config.slots);
        let limit = self.limit.min(ramp) as u32;
        limit.clamp(self.config.min_limit.min(self.config.slots), self.config.slots)
    }

    /// Returns the mean service time in microseconds, or zero before the first answer.
    pub fn mean_service_us(&self) -> u64 {
        self.mean_service_us as u64
    }

    /// Updates the limit with the result of a call.
    pub fn record(&mut self, now_us: u64, sample: CallSample) {
        match sample {
            CallSample::Success { service_us } => self.record_success(service_us),
            CallSample::Shed => self.record_shed(now_us),
            CallSample::Ignored => {}
        }
    }

    fn record_success(&mut self, service_us: u64) {
        let sample = service_us as f64;
        if self.mean_service_us == 0.0 {
            self.mean_service_us = sample;
        }
        self.mean_service_us += EWMA_WEIGHT * (sample - self.mean_service_us);
        let step = ADDITIVE_INCREASE_SLOTS / self.limit.max(1.0);
        self.limit = (self.limit + step).min(f64::from(self.config.slots));
    }

    fn record_shed(&mut self, now_us: u64) {
        let interval_us = (self.mean_service_us as u64).max(MIN_DECREASE_INTERVAL_US);
        if now_us.saturating_sub(self.last_decrease_us) < interval_us {
            return;
        }
        self.last_decrease_us = now_us;
        self.limit = (self.limit * DECREASE_FACTOR).max(f64::from(self.config.min_limit));
    }

    fn ramp_share(&self, now_us: u64) -> f64 {
        let age_us = now_us.saturating_sub(self.started_us);
        if age_us >= self.config.cold_ramp_us {
            return 1.0;
        }
        let progress = age_us as f64 / self.config.cold_ramp_us as f64;
        COLD_START_SHARE + (1.0 - COLD_START_SHARE) * progress
    }
}

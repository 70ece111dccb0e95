//! The working limit of calls at once to one upstream.
//!
//! The announced slots are an upper bound. Refusals by the upstream lower the limit at most once a
//! round trip, successes raise it again, and a cold upstream starts low and ramps up.

use crate::US_PER_MS;

/// Share of the limit kept after the upstream refused a call.
const DECREASE_FACTOR: f64 = 0.8;
/// Slots regained with a full window of successes.
const INCREASE_PER_WINDOW: f64 = 2.0;
/// Share of the announced slots that a cold upstream starts with.
const COLD_SHARE: f64 = 0.25;
/// Shortest time between two decreases, in microseconds.
const MIN_DECREASE_INTERVAL_US: u64 = 20 * US_PER_MS;

/// Weight of a new sample in the mean service time.
const MEAN_SMOOTHING: f64 = 0.1;

/// Result of one call, as the limit sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallSample {
    /// The upstream answered.
    Success {
        /// Time that the upstream took, in microseconds.
        service_us: u64,
    },
    /// The upstream refused to run the call.
    Shed,
    /// The call ended otherwise and says nothing about the limit.
    Ignored,
}

/// Settings of a limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitConfig {
    /// Announced slots of the upstream.
    pub slots: u32,
    /// Lowest working limit.
    pub min_limit: u32,
    /// Time in which a cold upstream reaches its full limit, in microseconds.
    pub cold_ramp_us: u64,
}

/// Working limit of one upstream.
#[derive(Debug, Clone)]
pub struct AdaptiveLimit {
    config: LimitConfig,
    limit: f64,
    started_us: u64,
    last_decrease_us: u64,
    mean_service_us: f64,
}

impl AdaptiveLimit {
    /// Starts cold at a time.
    pub fn new(config: LimitConfig, now_us: u64) -> Self {
        Self {
            config,
            limit: f64::from(config.slots),
            started_us: now_us,
            last_decrease_us: now_us,
            mean_service_us: 0.0,
        }
    }

    /// Replaces the settings, as after a new announcement or profile.
    pub fn set_config(&mut self, config: LimitConfig) {
        if config == self.config {
            return;
        }
        let share = self.limit / f64::from(self.config.slots.max(1));
        self.limit = share * f64::from(config.slots);
        self.config = config;
    }

    /// Returns the calls allowed at once.
    pub fn current(&self, now_us: u64) -> u32 {
        let ramp = self.cold_share(now_us) * f64::from(self.config.slots);
        let limit = self.limit.min(ramp) as u32;
        limit.clamp(self.config.min_limit.min(self.config.slots), self.config.slots)
    }

    /// Returns the mean service time in microseconds, zero before the first answer.
    pub fn mean_service_us(&self) -> u64 {
        self.mean_service_us as u64
    }

    /// Takes the result of a call into account.
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
        self.mean_service_us += MEAN_SMOOTHING * (sample - self.mean_service_us);
        let step = INCREASE_PER_WINDOW / self.limit.max(1.0);
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

    fn cold_share(&self, now_us: u64) -> f64 {
        let age_us = now_us.saturating_sub(self.started_us);
        if age_us >= self.config.cold_ramp_us {
            return 1.0;
        }
        let progress = age_us as f64 / self.config.cold_ramp_us as f64;
        COLD_SHARE + (1.0 - COLD_SHARE) * progress
    }
}

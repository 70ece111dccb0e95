//! Rates of one VM's upstream, as the node beside it measures them. That node sees all calls of its
//! upstream, while each other node sees only its own.

use crate::{US_PER_MS, US_PER_S};

/// Time constant of the rates of arrivals and of completions, in microseconds: short enough to show
/// that an upstream has turned slow for a fraction of a second.
const RATE_TIME_CONSTANT_US: f64 = 0.2 * US_PER_S as f64;
/// Time constant of the mean service time, in microseconds. Upstreams change their speed for 0.1 to
/// 0.6 s at a time, which is over before another node can act on it.
const SERVICE_TIME_CONSTANT_US: f64 = 2.0 * US_PER_S as f64;
/// Time constant of the slowdown factor that an upstream reports, in microseconds. It changes many
/// times a second, and a report is used for about that long.
const SLOWDOWN_TIME_CONSTANT_US: f64 = 0.5 * US_PER_S as f64;
/// Time after which a reported slowdown factor is not used any more, in microseconds.
const SLOWDOWN_TTL_US: u64 = 2 * US_PER_S;

/// Rates of a VM, sent with its load.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct VmRates {
    /// Calls that the VM admitted or queued, per second.
    pub arrivals_per_s: u32,
    /// Calls that ended, per second.
    pub completions_per_s: u32,
    /// Mean service time, in microseconds; 0 before the first answer.
    pub service_us: u32,
    /// Time since a call last ended, or since the oldest call began if none has ended since then,
    /// in milliseconds; 0 while the VM has no calls.
    pub no_completion_ms: u32,
}

/// Measures the rates of one VM.
#[derive(Debug)]
pub struct RateMeter {
    arrivals: DecayingRate,
    completions: DecayingRate,
    /// Decaying sum and weight of service times, each divided by the slowdown at its end.
    service_sum_us: f64,
    service_weight: f64,
    service_updated_us: u64,
    slowdown: Option<SmoothedSlowdown>,
    in_progress: u32,
    /// When a call last ended, or began while there was no other.
    last_progress_us: u64,
}

#[derive(Debug, Clone, Copy)]
struct SmoothedSlowdown {
    factor: f64,
    updated_us: u64,
}

impl RateMeter {
    /// Creates a meter of a VM without calls.
    pub fn new(now_us: u64) -> Self {
        Self {
            arrivals: DecayingRate::new(now_us),
            completions: DecayingRate::new(now_us),
            service_sum_us: 0.0,
            service_weight: 0.0,
            service_updated_us: now_us,
            slowdown: None,
            in_progress: 0,
            last_progress_us: now_us,
        }
    }

    /// Records a call that was admitted or queued.
    pub fn record_arrival(&mut self, now_us: u64) {
        self.arrivals.record(now_us);
        if self.in_progress == 0 {
            self.last_progress_us = now_us;
        }
        self.in_progress += 1;
    }

    /// Records the end of a call that was running or queued.
    pub fn record_end(&mut self, now_us: u64) {
        self.completions.record(now_us);
        self.in_progress = self.in_progress.saturating_sub(1);
        self.last_progress_us = now_us;
    }

    /// Records the service time of a call that the upstream answered.
    pub fn record_service_time(&mut self, now_us: u64, service_us: u64) {
        let slowdown = self.slowdown(now_us);
        let decay = decay(now_us, self.service_updated_us, SERVICE_TIME_CONSTANT_US);
        self.service_sum_us = self.service_sum_us * decay + service_us as f64 / slowdown;
        self.service_weight = self.service_weight * decay + 1.0;
        self.service_updated_us = now_us;
    }

    /// Records the slowdown factor that the upstream reports, 1.0 as usual. It is smoothed with a
    /// time constant of 0.5 s, and each service time is divided by the smoothed factor, so that a
    /// lasting slowdown is not counted twice.
    pub fn record_slowdown(&mut self, now_us: u64, factor: f64) {
        let smoothed = match self.slowdown.filter(|known| known.is_fresh(now_us)) {
            None => factor,
            Some(known) => {
                let decay = decay(now_us, known.updated_us, SLOWDOWN_TIME_CONSTANT_US);
                known.factor * decay + factor * (1.0 - decay)
            }
        };
        self.slowdown = Some(SmoothedSlowdown { factor: smoothed, updated_us: now_us });
    }

    /// Returns the rates for other nodes.
    pub fn rates(&self, now_us: u64) -> VmRates {
        let service_us = match self.service_weight > 0.0 {
            true => self.service_sum_us / self.service_weight * self.slowdown(now_us),
            false => 0.0,
        };
        let no_completion_us = match self.in_progress {
            0 => 0,
            _ => now_us.saturating_sub(self.last_progress_us),
        };
        VmRates {
            arrivals_per_s: self.arrivals.per_s(now_us).round() as u32,
            completions_per_s: self.completions.per_s(now_us).round() as u32,
            service_us: service_us as u32,
            no_completion_ms: (no_completion_us / US_PER_MS).min(u64::from(u32::MAX)) as u32,
        }
    }

    fn slowdown(&self, now_us: u64) -> f64 {
        let fresh = self.slowdown.filter(|known| known.is_fresh(now_us));
        fresh.map_or(1.0, |known| known.factor)
    }
}

impl SmoothedSlowdown {
    fn is_fresh(&self, now_us: u64) -> bool {
        now_us.saturating_sub(self.updated_us) < SLOWDOWN_TTL_US
    }
}

/// Rate of events with an exponentially decaying weight.
#[derive(Debug)]
struct DecayingRate {
    per_s: f64,
    updated_us: u64,
    started_us: u64,
}

impl DecayingRate {
    fn new(now_us: u64) -> Self {
        Self { per_s: 0.0, updated_us: now_us, started_us: now_us }
    }

    fn record(&mut self, now_us: u64) {
        self.per_s *= decay(now_us, self.updated_us, RATE_TIME_CONSTANT_US);
        self.per_s += US_PER_S as f64 / RATE_TIME_CONSTANT_US;
        self.updated_us = now_us;
    }

    /// Returns the rate. Divides by the weight of the time since the start, without which the rate
    /// would be too low in the first seconds.
    fn per_s(&self, now_us: u64) -> f64 {
        let covered = 1.0 - decay(now_us, self.started_us, RATE_TIME_CONSTANT_US);
        self.per_s * decay(now_us, self.updated_us, RATE_TIME_CONSTANT_US) / covered.max(0.1)
    }
}

pub(crate) fn decay(now_us: u64, since_us: u64, time_constant_us: f64) -> f64 {
    (-(now_us.saturating_sub(since_us) as f64) / time_constant_us).exp()
}

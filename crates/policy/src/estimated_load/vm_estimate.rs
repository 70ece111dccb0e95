//! Estimate of the load and the speed of one VM, from its last report and this node's own calls.

use crate::placement::PlacementLoad;
use crate::vm_rates::{VmRates, decay};
use crate::{US_PER_MS, US_PER_S};

/// Time constant of the weight of a reported load against the mean of the service, in microseconds.
/// In the simulation, 0.5 s gave shorter waits while speeds jump (65 ms instead of 76 ms at the 99th
/// percentile), but a busiest over mean of 1.156 instead of 1.141 with 300 nodes.
const LOAD_TIME_CONSTANT_US: f64 = 0.25 * US_PER_S as f64;
/// Time constant of the learned service time over the reports of a VM, in microseconds.
const LEARNING_TIME_CONSTANT_US: f64 = 2.0 * US_PER_S as f64;
/// Time constant of the confidence in a learned service time, in microseconds.
const CONFIDENCE_TIME_CONSTANT_US: f64 = 10.0 * US_PER_S as f64;
/// Weight of the service's mean service time, in completed calls.
const PRIOR_COMPLETIONS: f64 = 8.0;
/// Maximum number of reports in the means over VMs; later ones replace older ones.
const MAX_PRIOR_SAMPLES: u32 = 64;
/// Factor on the mean service time for a VM that was never seen, so that nodes which all learn of a
/// new VM at once do not send it more than they would send to a slow one.
const UNSEEN_SLOWDOWN: f64 = 2.0;
/// Time over which a VM measures its rates, in seconds.
const RECENT_S: f64 = 0.2;
/// Weight of the learned service time against the completions in that time, in completions.
const SPEED_PRIOR_COMPLETIONS: f64 = 8.0;
/// Time constant of a change of speed, in microseconds. Changes last 0.1 to 0.6 s.
const SPEED_TIME_CONSTANT_US: f64 = 300.0 * US_PER_MS as f64;
/// Minimum share of the variance of a VM's calls that a report leaves unknown, since reports take
/// time to arrive and other nodes act on theirs at the same moment.
const MIN_UNKNOWN_VARIANCE: f64 = 0.25;
/// Time without a completion after which a VM with calls is stuck, in service times.
const STUCK_SERVICE_TIMES: f64 = 10.0;
/// Minimum of that time, in microseconds.
const MIN_STUCK_US: f64 = 500.0 * US_PER_MS as f64;

/// Means over the VMs of a service, used for what is not known of a VM.
#[derive(Debug, Clone, Copy)]
pub(super) struct Prior {
    pub(super) service_us: f64,
    pub(super) limit: f64,
    /// Number of reports behind the means, up to [`MAX_PRIOR_SAMPLES`].
    pub(super) samples: u32,
}

impl Prior {
    /// Adds a report. The first reports replace the assumed values quickly.
    pub(super) fn record(&mut self, load: PlacementLoad, rates: Option<VmRates>) {
        let Some(rates) = rates.filter(|rates| rates.service_us > 0) else { return };
        self.samples = (self.samples + 1).min(MAX_PRIOR_SAMPLES);
        let weight = 1.0 / f64::from(self.samples);
        self.service_us += weight * (f64::from(rates.service_us) - self.service_us);
        self.limit += weight * (f64::from(load.limit.max(1)) - self.limit);
    }
}

#[derive(Debug, Clone, Copy)]
struct Report {
    load: PlacementLoad,
    rates: Option<VmRates>,
    received_us: u64,
    own_in_flight: u32,
}

/// Learned service time and the number of completed calls behind it.
#[derive(Debug, Clone, Copy)]
struct ServiceTime {
    mean_us: f64,
    completions: f64,
}

/// What a node knows of the load and the speed of a VM.
#[derive(Debug, Default)]
pub(super) struct VmEstimate {
    /// Attempts of this node that have not ended.
    pub(super) own_in_flight: u32,
    /// Start of the first attempt since the last report. `None` if there was no such attempt.
    unanswered_since_us: Option<u64>,
    /// Whether an attempt failed since the last report.
    has_unanswered_failure: bool,
    report: Option<Report>,
    service: Option<ServiceTime>,
}

impl VmEstimate {
    pub(super) fn start_call(&mut self, now_us: u64) {
        self.unanswered_since_us.get_or_insert(now_us);
        self.own_in_flight += 1;
    }

    /// Records the end of an attempt that the VM answered, or that its caller cancelled.
    pub(super) fn end_call(&mut self) {
        self.own_in_flight = self.own_in_flight.saturating_sub(1);
        if self.own_in_flight == 0 && !self.has_unanswered_failure {
            self.unanswered_since_us = None;
        }
    }

    /// Records the end of an attempt without an answer, unless a report follows.
    pub(super) fn fail_call(&mut self) {
        self.has_unanswered_failure = true;
        self.end_call();
    }

    pub(super) fn forget(&mut self) {
        self.report = None;
        self.service = None;
        self.unanswered_since_us = None;
        self.has_unanswered_failure = false;
    }

    pub(super) fn record(&mut self, now_us: u64, load: PlacementLoad, rates: Option<VmRates>) {
        if let Some(rates) = rates.filter(|rates| rates.service_us > 0) {
            self.learn_service_time(now_us, rates);
        }
        let own_in_flight = self.own_in_flight;
        self.unanswered_since_us = (own_in_flight > 0).then_some(now_us);
        self.has_unanswered_failure = false;
        self.report = Some(Report { load, rates, received_us: now_us, own_in_flight });
    }

    fn learn_service_time(&mut self, now_us: u64, rates: VmRates) {
        let sample_us = f64::from(rates.service_us);
        let completions = f64::from(rates.completions_per_s.max(1));
        let last_us = self.report.map_or(0, |report| report.received_us);
        let mean_us = match self.service {
            None => sample_us,
            Some(known) => {
                let keep = decay(now_us, last_us, LEARNING_TIME_CONSTANT_US);
                known.mean_us * keep + sample_us * (1.0 - keep)
            }
        };
        self.service = Some(ServiceTime { mean_us, completions });
    }

    /// Returns the age of the last report, in microseconds.
    pub(super) fn report_age_us(&self, now_us: u64) -> Option<u64> {
        self.report.map(|report| now_us.saturating_sub(report.received_us))
    }

    /// Returns the expected service time, in microseconds. It moves to the mean of the service as
    /// the last report ages.
    pub(super) fn service_us(&self, now_us: u64, prior: &Prior) -> f64 {
        let (Some(report), Some(service)) = (self.report, self.service) else {
            let is_unseen = self.report.is_none();
            return prior.service_us * if is_unseen { UNSEEN_SLOWDOWN } else { 1.0 };
        };
        let confidence = decay(now_us, report.received_us, CONFIDENCE_TIME_CONSTANT_US);
        let weight = service.completions * confidence;
        (service.mean_us * weight + prior.service_us * PRIOR_COMPLETIONS)
            / (weight + PRIOR_COMPLETIONS)
    }

    pub(super) fn limit(&self, prior: &Prior) -> f64 {
        self.report.map_or(prior.limit, |report| f64::from(report.load.limit.max(1)))
    }

    /// Returns the calls that the VM can finish in a microsecond.
    pub(super) fn capacity(&self, now_us: u64, prior: &Prior) -> f64 {
        self.limit(prior) / self.service_us(now_us, prior)
    }

    /// Returns the cost of a call: the expected utilization, and beyond 1.0 the expected wait in
    /// mean service times. `mean_cost` is the mean over the VMs of the same group, to which the
    /// cost moves as the report ages.
    pub(super) fn cost(&self, now_us: u64, prior: &Prior, mean_cost: f64) -> f64 {
        let limit = self.limit(prior);
        let Some(report) = self.report else {
            return mean_cost.max((f64::from(self.own_in_flight) + 1.0) / limit);
        };
        let service_us = self.service_us(now_us, prior);
        let sent_since = f64::from(self.own_in_flight.saturating_sub(report.own_in_flight));
        let calls = report.calls_now(now_us, service_us) + sent_since;
        let calls = calls.max(f64::from(self.own_in_flight)) + 1.0;
        let utilization = calls / limit;
        let cost = match utilization <= 1.0 {
            true => utilization,
            false => 1.0 + (utilization - 1.0) * service_us / prior.service_us,
        };
        let weight = decay(now_us, report.received_us, LOAD_TIME_CONSTANT_US);
        // Own calls since the report are known whatever its age.
        cost * weight + (mean_cost + sent_since / limit) * (1.0 - weight)
    }

    /// Returns the standard deviation of the cost. Without a report since then, the calls of a VM
    /// vary like a Poisson count after about a service time.
    pub(super) fn cost_deviation(&self, now_us: u64, prior: &Prior) -> f64 {
        let limit = self.limit(prior);
        let Some(report) = self.report else { return (1.0 / limit).sqrt() };
        let service_us = self.service_us(now_us, prior);
        let age_us = now_us.saturating_sub(report.received_us) as f64;
        let calls = report.calls_now(now_us, service_us).max(1.0);
        let unknown = 1.0 - (-2.0 * age_us / service_us).exp();
        (calls * unknown.max(MIN_UNKNOWN_VARIANCE)).sqrt() / limit
    }

    /// Returns the utilization that the last report states, with one call more.
    pub(super) fn reported_cost(&self) -> Option<f64> {
        let load = self.report?.load;
        Some((load_calls(load) + 1.0) / f64::from(load.limit.max(1)))
    }

    /// Returns whether the VM has calls and finishes none, by this node's own calls or by the
    /// report.
    pub(super) fn is_stuck(&self, now_us: u64, prior: &Prior) -> bool {
        let stuck_us = (STUCK_SERVICE_TIMES * self.service_us(now_us, prior)).max(MIN_STUCK_US);
        let since_us = self.unanswered_since_us.unwrap_or(now_us);
        if now_us.saturating_sub(since_us) as f64 > stuck_us {
            return true;
        }
        self.report
            .and_then(|report| report.rates)
            .is_some_and(|rates| f64::from(rates.no_completion_ms) * US_PER_MS as f64 > stuck_us)
    }
}

impl Report {
    /// Returns the reported calls moved forward to now: the VM gets the reported arrivals, and each
    /// of its busy slots finishes a call in a service time.
    fn calls_now(&self, now_us: u64, service_us: f64) -> f64 {
        let calls = load_calls(self.load);
        let limit = f64::from(self.load.limit.max(1));
        let Some(rates) = self.rates else { return calls };
        let arrivals_per_us = f64::from(rates.arrivals_per_s) / US_PER_S as f64;
        let age_us = now_us.saturating_sub(self.received_us) as f64;
        let service_us = self.current_service_us(age_us, service_us);
        let steady = arrivals_per_us * service_us;
        if calls <= limit {
            return settle(calls, steady, age_us / service_us);
        }
        // While all slots are busy the calls change linearly, and the rest settles afterwards.
        let change_per_us = arrivals_per_us - limit / service_us;
        if change_per_us >= 0.0 {
            return calls + change_per_us * age_us;
        }
        let full_us = (calls - limit) / -change_per_us;
        match age_us < full_us {
            true => calls + change_per_us * age_us,
            false => settle(limit, steady, (age_us - full_us) / service_us),
        }
    }
}

impl Report {
    /// Returns the service time at the VM now. The reported busy slots and completions give that of
    /// the last moments before the report (Little's law); it moves to the learned one with its age.
    fn current_service_us(&self, age_us: f64, learned_us: f64) -> f64 {
        let Some(rates) = self.rates.filter(|rates| rates.completions_per_s > 0) else {
            return learned_us;
        };
        let busy = f64::from(self.load.in_flight.min(self.load.limit));
        let completions = f64::from(rates.completions_per_s);
        // A few completions say little.
        let prior_us = learned_us * SPEED_PRIOR_COMPLETIONS;
        let seen = completions * RECENT_S;
        let recent_us = (busy / completions * US_PER_S as f64 * seen + prior_us)
            / (seen + SPEED_PRIOR_COMPLETIONS);
        let weight = (-age_us / SPEED_TIME_CONSTANT_US).exp();
        recent_us.max(learned_us) * weight + learned_us * (1.0 - weight)
    }
}

/// Returns the calls at a VM. Added as floating-point numbers, since the sum of two numbers from the
/// network may exceed an integer.
fn load_calls(load: PlacementLoad) -> f64 {
    f64::from(load.in_flight) + f64::from(load.queued)
}

fn settle(calls: f64, steady: f64, service_times: f64) -> f64 {
    steady + (calls - steady) * (-service_times).exp()
}

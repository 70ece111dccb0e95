//! Propagation of overload from called services to the nodes where requests enter the mesh.
//!
//! A refused call fails the whole request that it belongs to, after every hop has spent work on it.
//! Each node therefore reports its overload with its answers: the probability that a request
//! handled there fails for lack of capacity, at its own upstream or at a service that the upstream
//! calls. The value propagates up the call graph, and the node where requests enter
//! refuses part of them before they use any capacity. Requests of a lower priority are refused at a
//! lower overload, so that requests of a higher priority are still admitted.
//!
//! The report is a mean over the calls of a service, and takes about a second to propagate. A route is
//! therefore also cut by its own requests that failed for lack of capacity. This answers two load
//! patterns: a burst in which requests of a low priority fail while those of a high one hide it, and
//! a called service that rejects part of its calls whatever its load, where requests with several
//! calls are unlikely to succeed.

mod shared;

use indexmap::IndexMap;

use self::shared::SharedState;
pub use self::shared::{Exchange, ExchangeAnswer};
use crate::decaying_mean::DecayingMean;
use crate::{US_PER_MS, US_PER_S};

/// Time constant of the decaying means of overload and of failures, in microseconds. Each hop of a
/// call chain adds it to the delay of reports to the node where requests enter.
pub const OVERLOAD_TIME_CONSTANT_US: u64 = 200 * US_PER_MS;
/// Maximum wait for a slot that does not endanger a request in progress, in microseconds. A call
/// chain makes several such calls in sequence.
const TOLERATED_WAIT_US: u64 = 20 * US_PER_MS;
/// Wait from which such a call counts as failed, in microseconds: a few of them in sequence make
/// the request miss its deadline.
const FAILED_WAIT_US: u64 = 200 * US_PER_MS;
/// Overload above which requests of the lowest priority level are refused.
const LOWEST_PRIORITY_TARGET: f64 = 0.04;
/// Overload above which requests of the highest priority level are refused. Below it, only requests
/// of lower priority are refused.
const HIGHEST_PRIORITY_TARGET: f64 = 0.25;
/// Share of a route's requests that may fail for lack of capacity, for the lowest priority level. The
/// reported overload is a mean over all calls of a service: it hides a route whose requests fail
/// behind those of a higher priority.
const LOWEST_PRIORITY_FAILURE_TARGET: f64 = 0.1;
/// The same for the highest priority level.
const HIGHEST_PRIORITY_FAILURE_TARGET: f64 = 0.2;
/// Time after a cut until the admission ratio grows at its full rate, in microseconds. Growth soon
/// after a cut would undo it before its effect shows.
const GROWTH_DELAY_US: u64 = 200 * US_PER_MS;
/// Share of a route's requests that fails for other reasons without overload. Above it, reported
/// overload cuts the route even if none of its failures is known to be a lack of capacity.
const BASELINE_FAILURE_SHARE: f64 = 0.05;
/// Interval between two updates of the admission ratio, in microseconds.
const UPDATE_INTERVAL_US: u64 = 100 * US_PER_MS;
/// Delay between a cut and its effect on reported overload, in microseconds: a report takes about a
/// second to propagate up a call chain. The cuts within this time together reduce the admitted
/// requests by about the share that fails for lack of capacity.
const REPORT_DELAY_US: f64 = 1_200.0 * US_PER_MS as f64;
/// Time in which the queues of calls below a route drain after a cut, in microseconds.
const QUEUE_DRAIN_US: f64 = 400.0 * US_PER_MS as f64;
/// Minimum delay between a cut and its effect on the route's own failures, in microseconds.
const MIN_OWN_DELAY_US: f64 = 200.0 * US_PER_MS as f64;
/// Weight of a new sample in the moving average of the latency of failed requests.
const LATENCY_WEIGHT: f64 = 0.1;
/// Increase of the admission ratio per update at zero overload.
const RATIO_INCREASE: f64 = 0.02;
/// Factor on the admission ratio per update while it returns after a collapse.
const RETURN_FACTOR: f64 = 2.0;
/// Minimum admission ratio, so that no kind of request starves.
const MIN_ADMISSION_RATIO: f64 = 0.1;
/// Share of failed requests from which a request is unlikely to succeed, so that only probes are
/// worth admitting.
const COLLAPSE_FAILURE_SHARE: f64 = 0.6;
/// Minimum admission ratio while requests are unlikely to succeed.
const MIN_COLLAPSED_RATIO: f64 = 0.01;
/// Interval between probes while requests are unlikely to succeed, in microseconds.
const PROBE_INTERVAL_US: u64 = US_PER_S;
/// Number of refused requests for each probe, so that a route with few requests does not consist of
/// probes.
const REFUSALS_PER_PROBE: u32 = 10;
/// Time after which the result of a request no longer says whether the next one would succeed, in
/// microseconds.
const RESULT_TTL_US: u64 = US_PER_S;
/// Maximum burst of admitted requests beyond the admission ratio.
const MAX_ADMISSION_CREDIT: f64 = 3.0;
/// Additional credit with which callers that retry after the advised delay are admitted before
/// others.
const CALLER_RETRY_CREDIT: f64 = 3.0;
/// Time after the advised delay within which a caller's retry is recognised, in microseconds.
const CALLER_RETRY_WINDOW_US: u64 = US_PER_S;
/// Maximum number of callers whose retries are expected.
const MAX_EXPECTED_RETRIES: usize = 4_096;

/// Returns the weight of a wait for a slot as a failure of its request, from 0.0 (tolerated) to 1.0
/// (counts as failed).
pub fn wait_failure_weight(wait_us: u64) -> f64 {
    let excess_us = wait_us.saturating_sub(TOLERATED_WAIT_US) as f64;
    (excess_us / (FAILED_WAIT_US - TOLERATED_WAIT_US) as f64).min(1.0)
}

/// Estimate of the overload at one node, from its own upstream and the services that the upstream
/// calls.
#[derive(Debug)]
pub struct NodeOverload {
    /// Mean failure weight of the waits and refusals of calls of requests in progress at this node.
    own_upstream: DecayingMean,
    /// Mean overload at the services that the upstream calls.
    called_services: DecayingMean,
    /// Share of the runs with calls that failed because a call was turned away.
    failed_runs: DecayingMean,
}

impl Default for NodeOverload {
    fn default() -> Self {
        Self {
            own_upstream: DecayingMean::new(OVERLOAD_TIME_CONSTANT_US),
            called_services: DecayingMean::new(OVERLOAD_TIME_CONSTANT_US),
            failed_runs: DecayingMean::new(OVERLOAD_TIME_CONSTANT_US),
        }
    }
}

impl NodeOverload {
    /// Records the wait for a slot of an admitted call of a request in progress.
    pub fn record_wait(&mut self, now_us: u64, wait_us: u64) {
        self.own_upstream.record(now_us, wait_failure_weight(wait_us));
    }

    /// Records that a call of a request in progress was refused.
    pub fn record_refusal(&mut self, now_us: u64) {
        self.own_upstream.record(now_us, 1.0);
    }

    /// Records a call made by the upstream, with the overload of the called service or 1.0 if the
    /// call was refused.
    pub fn record_call(&mut self, now_us: u64, overload: f64) {
        self.called_services.record(now_us, overload);
    }

    /// Records a run of the upstream that made calls, and whether it failed because a call was
    /// turned away for lack of capacity.
    pub fn record_run(&mut self, now_us: u64, has_failed: bool) {
        self.failed_runs.record(now_us, if has_failed { 1.0 } else { 0.0 });
    }

    /// Returns the probability that a request handled here fails for lack of capacity.
    ///
    /// Calls are refused by a sequence number that their request carries on all hops. The results
    /// of several calls of one request are then correlated and do not multiply the probability.
    /// Upstreams that reject calls themselves do so at random: a run with several calls then fails
    /// far more often than a call does, which its results show.
    pub fn failure_probability(&self, now_us: u64) -> f64 {
        let calls = self.called_services.value(now_us).max(self.failed_runs.value(now_us));
        1.0 - (1.0 - self.own_upstream.value(now_us)) * (1.0 - calls)
    }
}

/// How an admitted request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestEnd {
    /// The request succeeded.
    Succeeded,
    /// The request failed for a reason other than lack of capacity, or for an unknown one.
    Failed,
    /// The request failed because a call was turned away for lack of capacity.
    LackedCapacity,
}

/// Controls the ratio of one route's new requests that a node admits.
#[derive(Debug)]
pub struct RequestThrottle {
    admission_ratio: f64,
    /// Remaining admissions; each request adds the admission ratio, each admission takes one.
    credit: f64,
    ratio_updated_us: u64,
    /// Share of the requests that failed for another or an unknown reason.
    other_failures: DecayingMean,
    /// Share of the requests that failed for lack of capacity.
    capacity_failures: DecayingMean,
    last_cut_us: u64,
    /// Mean latency of failed requests, in microseconds. `None` before the first.
    failure_latency_us: Option<f64>,
    last_success_us: u64,
    last_failure_us: u64,
    /// Admission ratio before the collapse that has not been made up for.
    ratio_before_collapse: f64,
    last_admission_us: u64,
    refused_since_admission: u32,
    /// Times at which refused callers may retry, in microseconds by caller digest.
    expected_retries: IndexMap<u64, u64>,
    /// State of the decision by failure data that all nodes share. `None` if the node's own sample
    /// decides.
    shared: Option<SharedState>,
}

impl Default for RequestThrottle {
    fn default() -> Self {
        Self {
            admission_ratio: 1.0,
            credit: MAX_ADMISSION_CREDIT,
            ratio_updated_us: 0,
            other_failures: DecayingMean::new(OVERLOAD_TIME_CONSTANT_US),
            capacity_failures: DecayingMean::new(OVERLOAD_TIME_CONSTANT_US),
            last_cut_us: 0,
            failure_latency_us: None,
            last_success_us: 0,
            last_failure_us: 0,
            ratio_before_collapse: 0.0,
            last_admission_us: 0,
            refused_since_admission: 0,
            expected_retries: IndexMap::new(),
            shared: None,
        }
    }
}

impl RequestThrottle {
    /// Records how an admitted request ended.
    pub fn record_end(&mut self, now_us: u64, end: RequestEnd) {
        let sample = |counted: RequestEnd| if end == counted { 1.0 } else { 0.0 };
        self.other_failures.record(now_us, sample(RequestEnd::Failed));
        self.capacity_failures.record(now_us, sample(RequestEnd::LackedCapacity));
        match end {
            RequestEnd::Succeeded => self.last_success_us = now_us,
            RequestEnd::Failed | RequestEnd::LackedCapacity => self.last_failure_us = now_us,
        }
        self.record_shared_end(end);
    }

    /// Records how long after its admission a request failed.
    pub fn record_failure_latency(&mut self, latency_us: u64) {
        let mean = self.failure_latency_us.get_or_insert(latency_us as f64);
        *mean += LATENCY_WEIGHT * (latency_us as f64 - *mean);
    }

    /// Updates the admission ratio and decides whether a request is admitted. Returns the decision.
    ///
    /// `overload` is the overload at the route's service, `priority_level` the priority level of
    /// the request (0 is the highest), and `caller` a digest that identifies the retry of a refused
    /// caller. Callers that retry after the advised delay are admitted before others, within the
    /// same admission ratio.
    pub fn try_admit(
        &mut self,
        now_us: u64,
        overload: f64,
        priority_level: u32,
        caller: u64,
    ) -> bool {
        if self.shared.is_some() {
            return self.try_admit_shared(now_us, overload, priority_level, caller);
        }
        self.update_ratio(now_us, overload, priority_level);
        self.try_admit_by_credit(now_us, caller)
    }

    fn try_admit_by_credit(&mut self, now_us: u64, caller: u64) -> bool {
        self.credit = (self.credit + self.admission_ratio).min(MAX_ADMISSION_CREDIT);
        let min_credit =
            if self.take_expected_retry(now_us, caller) { 1.0 - CALLER_RETRY_CREDIT } else { 1.0 };
        let has_credit = self.credit >= min_credit;
        let is_admitted = has_credit || self.is_probe_due(now_us);
        if has_credit {
            self.credit -= 1.0;
        }
        self.count_decision(now_us, is_admitted);
        is_admitted
    }

    fn count_decision(&mut self, now_us: u64, is_admitted: bool) {
        if !is_admitted {
            self.refused_since_admission += 1;
            return;
        }
        self.last_admission_us = now_us;
        self.refused_since_admission = 0;
    }

    /// Registers that a refused caller was advised to retry after a delay.
    pub fn expect_retry(&mut self, now_us: u64, caller: u64, delay_us: u64) {
        if self.expected_retries.len() >= MAX_EXPECTED_RETRIES {
            self.expected_retries.shift_remove_index(0);
        }
        self.expected_retries.insert(caller, now_us + delay_us);
    }

    /// Returns the share of the route's requests that recently failed for lack of capacity.
    pub fn capacity_failure_share(&self, now_us: u64) -> f64 {
        self.capacity_failures.value(now_us)
    }

    /// Returns the admission ratio, from 0.01 to 1.0, or 0.0 if only probes are admitted.
    pub fn admission_ratio(&self) -> f64 {
        self.admission_ratio
    }

    fn update_ratio(&mut self, now_us: u64, overload: f64, priority_level: u32) {
        if now_us.saturating_sub(self.ratio_updated_us) < UPDATE_INTERVAL_US {
            return;
        }
        self.ratio_updated_us = now_us;
        let target = target_overload(priority_level);
        let failure_share = self.capacity_failures.value(now_us);
        let failure_target = target_failure_share(priority_level);
        // Reports are older than the route's own results: while requests succeed again, overload is
        // still reported.
        let is_failing = failure_share > failure_target
            || self.other_failures.value(now_us) > BASELINE_FAILURE_SHARE;
        let by_report = match is_failing {
            true => (overload - target) * cut_step(REPORT_DELAY_US),
            false => 0.0,
        };
        let by_own_failures =
            (failure_share - failure_target) * cut_step(self.own_delay_us(failure_share));
        let decrease = by_report.max(by_own_failures);
        if decrease > 0.0 {
            self.decrease_ratio(now_us, decrease, overload.max(failure_share));
        } else if overload < target {
            self.increase_ratio(now_us, 1.0 - overload / target);
        }
    }

    /// Returns the delay between a cut and its effect on the route's own failures, in microseconds.
    ///
    /// Requests that are unlikely to succeed fail at once, whatever is admitted. Otherwise queues of
    /// calls must drain before fewer requests fail.
    fn own_delay_us(&self, failure_share: f64) -> f64 {
        let latency_us = self.failure_latency_us.unwrap_or(REPORT_DELAY_US);
        let drain_us = match failure_share > COLLAPSE_FAILURE_SHARE {
            true => 0.0,
            false => QUEUE_DRAIN_US,
        };
        (latency_us + drain_us).clamp(MIN_OWN_DELAY_US, REPORT_DELAY_US)
    }

    /// Increases the ratio unless the last request that ended failed: without admitted requests,
    /// no overload is reported either.
    fn increase_ratio(&mut self, now_us: u64, room: f64) {
        let is_last_result_known = now_us.saturating_sub(self.last_failure_us) < RESULT_TTL_US;
        if is_last_result_known && self.last_failure_us > self.last_success_us {
            return;
        }
        let since_cut_us = now_us.saturating_sub(self.last_cut_us);
        let room = room * (since_cut_us as f64 / GROWTH_DELAY_US as f64).min(1.0);
        let increased = self.admission_ratio + RATIO_INCREASE * room;
        let is_returning = self.admission_ratio < self.ratio_before_collapse;
        let returned = self.admission_ratio * (1.0 + (RETURN_FACTOR - 1.0) * room);
        self.admission_ratio = match is_returning {
            true => increased.max(returned.min(self.ratio_before_collapse)),
            false => increased,
        }
        .min(1.0);
        if self.admission_ratio >= self.ratio_before_collapse {
            self.ratio_before_collapse = 0.0;
        }
    }

    /// Decreases the ratio by a share of it. `failure_share` is the share of requests that fail.
    fn decrease_ratio(&mut self, now_us: u64, decrease: f64, failure_share: f64) {
        self.last_cut_us = now_us;
        let min_ratio = match failure_share > COLLAPSE_FAILURE_SHARE {
            true => {
                self.ratio_before_collapse = self.ratio_before_collapse.max(self.admission_ratio);
                MIN_COLLAPSED_RATIO
            }
            false => MIN_ADMISSION_RATIO.min(self.admission_ratio),
        };
        self.admission_ratio = (self.admission_ratio * (1.0 - decrease)).max(min_ratio);
    }

    /// Returns whether a request is admitted beyond the ratio, to find out whether requests succeed
    /// again.
    fn is_probe_due(&self, now_us: u64) -> bool {
        self.admission_ratio < MIN_ADMISSION_RATIO
            && self.refused_since_admission >= REFUSALS_PER_PROBE
            && now_us.saturating_sub(self.last_admission_us) >= PROBE_INTERVAL_US
    }

    fn take_expected_retry(&mut self, now_us: u64, caller: u64) -> bool {
        let Some(due_us) = self.expected_retries.swap_remove(&caller) else { return false };
        // A caller that retries earlier did not wait for the advised delay.
        let earliest_us = due_us.saturating_sub(UPDATE_INTERVAL_US);
        (earliest_us..due_us + CALLER_RETRY_WINDOW_US).contains(&now_us)
    }
}

fn target_overload(priority_level: u32) -> f64 {
    by_priority(priority_level, HIGHEST_PRIORITY_TARGET, LOWEST_PRIORITY_TARGET)
}

fn target_failure_share(priority_level: u32) -> f64 {
    by_priority(priority_level, HIGHEST_PRIORITY_FAILURE_TARGET, LOWEST_PRIORITY_FAILURE_TARGET)
}

/// Returns the part of an excess by which one update cuts the ratio, given the delay after which the
/// cut shows.
fn cut_step(delay_us: f64) -> f64 {
    UPDATE_INTERVAL_US as f64 / delay_us
}

/// Returns the value for a priority level, given those for the highest and the lowest.
fn by_priority(priority_level: u32, highest: f64, lowest: f64) -> f64 {
    match priority_level {
        0 => highest,
        1 => (highest + lowest) / 2.0,
        _ => lowest,
    }
}

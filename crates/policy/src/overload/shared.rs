//! Admission ratio of a route from failure data that all nodes share.
//!
//! The data reflect what all entry nodes admit together, so every step is scaled by the time since
//! the last one and by the delay of the data, and never by the number of requests or nodes.
//!
//! A route whose requests are unlikely to succeed is reduced to probes. Its runs are then too rare
//! for any entry node to learn from its own answers whether requests succeed again. The entry nodes
//! therefore exchange their results through one node, the collector of the route. It is chosen by
//! a hash of the route and the VMs of its service, and also limits the rate of probes.

use super::{
    COLLAPSE_FAILURE_SHARE, GROWTH_DELAY_US, MIN_ADMISSION_RATIO, MIN_COLLAPSED_RATIO,
    REFUSALS_PER_PROBE, REPORT_DELAY_US, RETURN_FACTOR, RequestEnd, RequestThrottle,
    UPDATE_INTERVAL_US, by_priority, target_overload,
};
use crate::shared_failures::{
    FailureShare, MergedFailures, MergedShare, PROBE_GRANT_INTERVAL_US, RunCounts,
};
use crate::{US_PER_MS, US_PER_S};

/// Share of a route's runs that may fail for lack of capacity, for the lowest priority level. Lower
/// than with the node's own sample, since the merged share has dozens of runs behind it.
const LOWEST_PRIORITY_SHARE_TARGET: f64 = 0.02;
/// The same for the highest priority level.
const HIGHEST_PRIORITY_SHARE_TARGET: f64 = 0.05;
/// Share of failed runs below which a route that was reduced to probes is admitted again. Below
/// [`COLLAPSE_FAILURE_SHARE`], so that noise does not alternate between the two.
const RETURN_FAILURE_SHARE: f64 = 0.5;
/// Minimum number of effective runs for a decision.
const MIN_EFFECTIVE_RUNS: f64 = 4.0;
/// Minimum ratio while requests may succeed. A kind that succeeds in 45 of 100 cases gets useful
/// work done, and its failures do not become fewer with its requests.
const MIN_SHARED_RATIO: f64 = 0.25;
/// Increase of the admission ratio per [`UPDATE_INTERVAL_US`] without failures and overload. Three
/// times that of a node's own sample, so that a route cut to a third returns within 2 s.
const SHARED_RATIO_INCREASE: f64 = 0.06;
/// Delay between a cut and its effect on the merged share, in microseconds: the latency of
/// a request, the window of runs at the nodes beside the upstreams, and the age of their reports.
const SHARE_DELAY_US: f64 = 1_200.0 * US_PER_MS as f64;
/// The same if requests are unlikely to succeed. Their failures do not depend on what is admitted,
/// so no effect has to be awaited.
const COLLAPSE_DELAY_US: f64 = 250.0 * US_PER_MS as f64;
/// Ratio below which a route that is being reduced consists of probes only.
const PROBES_ONLY_RATIO: f64 = 0.05;
/// Maximum time that one step accounts for, in microseconds. A longer pause says nothing about the
/// load.
const MAX_STEP_US: u64 = 500 * US_PER_MS;
/// Time without a cut from which the next one begins another sequence, in microseconds.
const CUT_SEQUENCE_US: u64 = US_PER_S;
/// Time without shared data from which the node's own sample decides, in microseconds.
const SHARED_DATA_TTL_US: u64 = 2 * US_PER_S;
/// Share of failed runs up to which a route that was reduced to probes grows to its earlier ratio.
/// Nodes that ran few requests still report failures from before the end of the load.
const RETURNING_SHARE_TARGET: f64 = 0.2;
/// Minimum interval between two exchanges of an entry node, in microseconds.
const MIN_EXCHANGE_INTERVAL_US: u64 = 250 * US_PER_MS;
/// Interval between two exchanges, for each node, in microseconds. It limits the messages at
/// a collector to 1,000 a second per reduced route.
const EXCHANGE_INTERVAL_PER_NODE_US: u64 = 1_000;
/// Time after the last request of a route from which its results are no longer exchanged, in
/// microseconds.
const DEMAND_TTL_US: u64 = 2 * US_PER_S;
/// Time within which a granted probe must be admitted, in microseconds.
const GRANT_TTL_US: u64 = 1_500 * US_PER_MS;
/// Time after the last answer of the collector from which the node sends probes at an interval of
/// its own, and for which a collector that did not answer is replaced by the next one, in
/// microseconds.
const COLLECTOR_TTL_US: u64 = 2 * US_PER_S;
/// Time after the end of a reduction within which another one was caused by the return itself, in
/// microseconds.
const RETURN_EFFECT_US: u64 = 3 * US_PER_S;
/// Minimum advised delay for a refused caller, in microseconds.
const MIN_RETRY_DELAY_US: u64 = 300 * US_PER_MS;
/// Maximum advised delay, in microseconds. Callers honour up to a third of the time that they have
/// left, and the shortest deadlines are 2.5 s.
const MAX_RETRY_DELAY_US: u64 = 800 * US_PER_MS;
/// Weight of a new sample in the moving average of the rate of requests.
const RATE_WEIGHT: f64 = 0.2;

/// Message of an entry node to the collector of a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Exchange {
    /// Runs of the entry node that ended since its last message.
    pub counts: RunCounts,
    /// Whether the node asks for a probe.
    pub wants_probe: bool,
    /// Rank of the VM beside the collector; see [`collector`](crate::shared_failures::collector).
    pub collector_rank: usize,
}

/// Answer of the collector of a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ExchangeAnswer {
    /// Share of the recent runs of all entry nodes that failed, if there are any.
    pub share: Option<FailureShare>,
    /// Whether the entry node may admit a probe.
    pub is_probe_granted: bool,
}

/// State of a throttle that uses shared failure data.
#[derive(Debug, Default)]
pub(super) struct SharedState {
    merged: MergedFailures,
    /// When the merged share last had enough runs behind it. `None` before.
    data_us: Option<u64>,
    is_reduced: bool,
    /// Whether more runs fail than the priority level allows.
    is_failing: bool,
    /// Admission ratio before the last sequence of cuts.
    ratio_before_cuts: f64,
    /// Overload of the service and priority level at the last request.
    last_overload: f64,
    last_priority_level: u32,
    /// When the last reduction to probes ended. `None` before.
    returned_us: Option<u64>,
    /// Results that have not been sent to the collector.
    unsent: RunCounts,
    next_exchange_us: u64,
    /// Number of nodes of the deployment at the last exchange.
    nodes: u64,
    /// When the collector last answered, or the reduction began.
    collector_answered_us: u64,
    /// Rank of the collector that gets the next message; above zero after one did not answer.
    collector_rank: usize,
    collector_rank_until_us: u64,
    granted_until_us: u64,
    last_request_us: u64,
    requests_since_update: u32,
    requests_per_us: f64,
    /// Time up to which admissions are promised to callers that return.
    promised_until_us: u64,
}

impl RequestThrottle {
    /// Makes the throttle decide by failure data that all nodes share.
    pub fn with_shared_failures(mut self) -> Self {
        self.shared = Some(SharedState::default());
        self
    }

    /// Returns whether shared failure data has reduced the route to probes.
    pub fn is_reduced_to_probes(&self) -> bool {
        self.shared.as_ref().is_some_and(|shared| shared.is_reduced)
    }

    /// Returns the merged failure data of the route. Without runs if the throttle uses the node's own
    /// sample.
    pub fn merged_share(&self, now_us: u64) -> MergedShare {
        self.shared
            .as_ref()
            .map_or_else(MergedShare::default, |shared| shared.merged.merged(now_us))
    }

    /// Records the share that an answer of a node brought, with the overload that it reported.
    /// Ignored by a throttle that uses the node's own sample.
    pub fn record_share(&mut self, now_us: u64, source: u64, share: FailureShare, overload: f64) {
        let Some(shared) = &mut self.shared else { return };
        shared.merged.record(now_us, source, share, overload);
        self.update_by_data(now_us);
    }

    /// Returns the message that the collector of the route should get now, if any. `nodes` is the
    /// number of nodes of the deployment.
    pub fn take_exchange(&mut self, now_us: u64, nodes: usize) -> Option<Exchange> {
        let is_assisted = self.exchanges_results();
        let refused = self.refused_since_admission;
        let shared = self.shared.as_mut()?;
        let has_demand = now_us.saturating_sub(shared.last_request_us) < DEMAND_TTL_US;
        if !(is_assisted && has_demand) || now_us < shared.next_exchange_us {
            return None;
        }
        shared.nodes = nodes as u64;
        let interval_us = EXCHANGE_INTERVAL_PER_NODE_US * shared.nodes;
        shared.next_exchange_us = now_us + interval_us.max(MIN_EXCHANGE_INTERVAL_US);
        let wants_probe =
            shared.is_reduced && refused >= REFUSALS_PER_PROBE && shared.granted_until_us <= now_us;
        if now_us >= shared.collector_rank_until_us {
            shared.collector_rank = 0;
        }
        let collector_rank = shared.collector_rank;
        Some(Exchange { counts: std::mem::take(&mut shared.unsent), wants_probe, collector_rank })
    }

    /// Records the answer of the collector, with the overload that its node reported.
    pub fn record_exchange(
        &mut self,
        now_us: u64,
        source: u64,
        answer: ExchangeAnswer,
        overload: f64,
    ) {
        let Some(shared) = &mut self.shared else { return };
        shared.collector_answered_us = now_us;
        if answer.is_probe_granted {
            shared.granted_until_us = now_us + GRANT_TTL_US;
        }
        if let Some(share) = answer.share {
            shared.merged.record(now_us, source, share, overload);
        }
        self.update_by_data(now_us);
    }

    /// Records that the collector did not answer a message.
    pub fn record_lost_exchange(&mut self, now_us: u64, exchange: Exchange) {
        let Some(shared) = &mut self.shared else { return };
        shared.unsent.add(exchange.counts);
        shared.collector_rank = exchange.collector_rank + 1;
        shared.collector_rank_until_us = now_us + COLLECTOR_TTL_US;
    }

    /// Updates the ratio when data arrive, since requests of the route may be rare at this node.
    fn update_by_data(&mut self, now_us: u64) {
        let Some(shared) = &mut self.shared else { return };
        let (overload, priority_level) = (shared.last_overload, shared.last_priority_level);
        self.update_shared_ratio(now_us, overload, priority_level);
    }

    /// Returns whether results are exchanged through the collector: while the route is cut, or about
    /// to be, since the node's own answers may be rare.
    fn exchanges_results(&self) -> bool {
        let is_failing = self.shared.as_ref().is_some_and(|shared| shared.is_failing);
        is_failing || self.admission_ratio < 1.0
    }

    /// Returns the delay after which a caller that is refused now should return, in microseconds, or
    /// `None` if the throttle uses the node's own sample.
    ///
    /// Callers are told different times, at the rate at which requests are admitted, so that those
    /// who return as told are served. While the route is reduced to probes, all are told the longest.
    pub fn retry_delay_us(&mut self, now_us: u64) -> Option<u64> {
        let ratio = self.admission_ratio;
        let shared = self.shared.as_mut()?;
        let admissions_per_us = shared.requests_per_us * ratio;
        if shared.is_reduced || admissions_per_us <= 0.0 {
            return Some(MAX_RETRY_DELAY_US);
        }
        let first_us = shared.promised_until_us.max(now_us + MIN_RETRY_DELAY_US);
        let promised_us = first_us.saturating_add((1.0 / admissions_per_us) as u64);
        if promised_us > now_us + MAX_RETRY_DELAY_US {
            return Some(MAX_RETRY_DELAY_US);
        }
        shared.promised_until_us = promised_us;
        Some(promised_us - now_us)
    }

    /// Decides by shared failure data whether a request is admitted.
    pub(super) fn try_admit_shared(
        &mut self,
        now_us: u64,
        overload: f64,
        priority_level: u32,
        caller: u64,
    ) -> bool {
        if let Some(shared) = &mut self.shared {
            shared.last_request_us = now_us;
            shared.last_overload = overload;
            shared.last_priority_level = priority_level;
            shared.requests_since_update += 1;
        }
        self.update_shared_ratio(now_us, overload, priority_level);
        if !self.is_reduced_to_probes() {
            return self.try_admit_by_credit(now_us, caller);
        }
        let is_admitted = self.take_probe(now_us);
        self.count_decision(now_us, is_admitted);
        is_admitted
    }

    /// Adds the result of an admitted request to those that the collector gets.
    pub(super) fn record_shared_end(&mut self, end: RequestEnd) {
        let lacked_capacity = end == RequestEnd::LackedCapacity;
        let was_exchanging = self.exchanges_results();
        let Some(shared) = &mut self.shared else { return };
        if !was_exchanging && !lacked_capacity {
            shared.unsent = RunCounts::default();
            return;
        }
        if shared.is_reduced || !was_exchanging {
            // All entry nodes wait for the few results of probes, and a node with few requests learns
            // of the failures of others sooner than it sees its own.
            shared.next_exchange_us = 0;
        }
        shared.is_failing |= lacked_capacity;
        shared.unsent.add(RunCounts::of_run(lacked_capacity));
    }

    /// Returns whether a probe is admitted: one that the collector granted or, if it does not answer,
    /// one at an interval that grows with the number of nodes.
    fn take_probe(&mut self, now_us: u64) -> bool {
        let (refused, last_us) = (self.refused_since_admission, self.last_admission_us);
        let Some(shared) = &mut self.shared else { return false };
        if now_us < shared.granted_until_us {
            shared.granted_until_us = 0;
            return true;
        }
        let interval_us = PROBE_GRANT_INTERVAL_US * shared.nodes.max(1);
        now_us.saturating_sub(shared.collector_answered_us) >= COLLECTOR_TTL_US
            && refused >= REFUSALS_PER_PROBE
            && now_us.saturating_sub(last_us) >= interval_us
    }

    fn update_shared_ratio(&mut self, now_us: u64, overload: f64, priority_level: u32) {
        let step_us = now_us.saturating_sub(self.ratio_updated_us);
        let Some(shared) = &mut self.shared else { return };
        if step_us < UPDATE_INTERVAL_US {
            return;
        }
        let per_us = f64::from(std::mem::take(&mut shared.requests_since_update)) / step_us as f64;
        shared.requests_per_us += RATE_WEIGHT * (per_us - shared.requests_per_us);
        let merged = shared.merged.merged(now_us);
        if merged.effective_runs < MIN_EFFECTIVE_RUNS {
            return self.update_without_shared_data(now_us, overload, priority_level);
        }
        shared.data_us = Some(now_us);
        self.ratio_updated_us = now_us;
        self.apply_merged(now_us, step_us.min(MAX_STEP_US) as f64, merged, priority_level);
    }

    /// Keeps the ratio while shared data is only briefly missing, then lets the node's own sample
    /// decide.
    fn update_without_shared_data(&mut self, now_us: u64, overload: f64, priority_level: u32) {
        let Some(shared) = &mut self.shared else { return };
        let is_missing_briefly = shared
            .data_us
            .is_some_and(|data_us| now_us.saturating_sub(data_us) < SHARED_DATA_TTL_US);
        if is_missing_briefly {
            self.ratio_updated_us = now_us;
            return;
        }
        if std::mem::take(&mut shared.is_reduced) {
            shared.returned_us = Some(now_us);
            self.admission_ratio = self.admission_ratio.max(MIN_COLLAPSED_RATIO);
        }
        self.update_ratio(now_us, overload, priority_level);
    }

    fn apply_merged(
        &mut self,
        now_us: u64,
        step_us: f64,
        merged: MergedShare,
        priority_level: u32,
    ) {
        if self.is_reduced_to_probes() {
            if merged.failure_share <= RETURN_FAILURE_SHARE {
                self.end_reduction(now_us);
            }
            return;
        }
        let is_returning = self.admission_ratio < self.ratio_before_collapse;
        let share_target = match is_returning {
            true => RETURNING_SHARE_TARGET,
            false => by_priority(
                priority_level,
                HIGHEST_PRIORITY_SHARE_TARGET,
                LOWEST_PRIORITY_SHARE_TARGET,
            ),
        };
        let overload_target = target_overload(priority_level);
        let excess = merged.failure_share - share_target;
        let Some(shared) = &mut self.shared else { return };
        shared.is_failing = excess > 0.0;
        if merged.failure_share > COLLAPSE_FAILURE_SHARE {
            return self.collapse(now_us, step_us, merged);
        }
        if excess > 0.0 {
            let by_share = excess * step_us / SHARE_DELAY_US;
            let by_overload = (merged.overload - overload_target) * step_us / REPORT_DELAY_US;
            let min_ratio = MIN_SHARED_RATIO.min(self.admission_ratio);
            return self.cut(now_us, by_share.max(by_overload), min_ratio);
        }
        let room = 1.0 - merged.failure_share / share_target;
        let room = match is_returning {
            true => room,
            false => room.min(1.0 - merged.overload / overload_target),
        };
        self.grow(now_us, step_us, room);
    }

    fn cut(&mut self, now_us: u64, decrease: f64, min_ratio: f64) {
        let is_first = now_us.saturating_sub(self.last_cut_us) > CUT_SEQUENCE_US;
        if let Some(shared) = self.shared.as_mut().filter(|_| is_first) {
            shared.ratio_before_cuts = self.admission_ratio;
        }
        self.last_cut_us = now_us;
        self.admission_ratio = (self.admission_ratio * (1.0 - decrease.min(1.0))).max(min_ratio);
    }

    /// Reduces a route whose requests are unlikely to succeed, in the end to probes.
    fn collapse(&mut self, now_us: u64, step_us: f64, merged: MergedShare) {
        self.cut(now_us, merged.failure_share * step_us / COLLAPSE_DELAY_US, 0.0);
        if self.admission_ratio >= PROBES_ONLY_RATIO {
            return;
        }
        let Some(shared) = &mut self.shared else { return };
        let is_effect_of_return = shared
            .returned_us
            .is_some_and(|returned_us| now_us.saturating_sub(returned_us) < RETURN_EFFECT_US);
        // If the return itself caused the failures, the next one stops where requests succeeded.
        let success_share = if is_effect_of_return { 1.0 - merged.failure_share } else { 1.0 };
        self.ratio_before_collapse = shared.ratio_before_cuts * success_share;
        shared.is_reduced = true;
        shared.collector_answered_us = now_us;
        shared.granted_until_us = 0;
        self.admission_ratio = 0.0;
        // Unused admissions of all nodes together would be hundreds of requests.
        self.credit = 0.0;
    }

    fn end_reduction(&mut self, now_us: u64) {
        let Some(shared) = &mut self.shared else { return };
        shared.is_reduced = false;
        shared.returned_us = Some(now_us);
        shared.merged = MergedFailures::default();
        self.admission_ratio = MIN_ADMISSION_RATIO;
        // Spreads the first admissions of the nodes. At a ratio of 0.1 a node with four requests
        // a second would otherwise take 2.5 s to its first one, as all others do.
        let phase = self.refused_since_admission % REFUSALS_PER_PROBE;
        self.credit = f64::from(phase) / f64::from(REFUSALS_PER_PROBE);
    }

    fn grow(&mut self, now_us: u64, step_us: f64, room: f64) {
        if room <= 0.0 {
            return;
        }
        let since_cut_us = now_us.saturating_sub(self.last_cut_us) as f64;
        let steps = step_us / UPDATE_INTERVAL_US as f64;
        let room = room * (since_cut_us / GROWTH_DELAY_US as f64).min(1.0);
        let increased = self.admission_ratio + SHARED_RATIO_INCREASE * room * steps;
        let returned = self.admission_ratio * RETURN_FACTOR.powf(room * steps);
        self.admission_ratio = increased.max(returned.min(self.ratio_before_collapse)).min(1.0);
        if self.admission_ratio >= self.ratio_before_collapse {
            self.ratio_before_collapse = 0.0;
        }
    }
}

//! Load balancing over the endpoints (nodes) of a service.
//!
//! An endpoint is chosen by power of two choices over recently reported loads, own data centre
//! first, with spillover to other data centres by load. Endpoints are ejected on failures of this
//! node's own calls (passive health checks). At most a share of the endpoints is ejected, and an
//! ejected endpoint is probed with single calls.

use indexmap::IndexMap;
use model::{DataCentreName, RouteName, VmName};

use crate::{US_PER_MS, US_PER_S};

/// Number of consecutive failures after which an endpoint is ejected.
const EJECTION_FAILURES: u32 = 3;
/// Duration of the first ejection, in microseconds; doubles with each further ejection.
const INITIAL_EJECTION_US: u64 = 500 * US_PER_MS;
/// Maximum duration of an ejection, in microseconds.
const MAX_EJECTION_US: u64 = 8 * US_PER_S;
/// Number of endpoints divided by the maximum number that may be ejected at the same time. At least
/// one endpoint may always be ejected.
const ENDPOINTS_PER_EJECTION: usize = 2;
/// Time after which a reported load expires, in microseconds.
const REPORT_TTL_US: u64 = US_PER_S;
/// Utilization above which calls spill over to another data centre.
const SPILL_UTILIZATION: f64 = 0.9;
/// Added to the utilization of an endpoint in another data centre.
const REMOTE_PENALTY: f64 = 0.2;
/// Limit assumed before an endpoint has reported one.
const DEFAULT_LIMIT: u32 = 16;
/// Time for which the penalty of a refusal applies, in microseconds.
const REFUSED_PENALTY_US: u64 = 20 * US_PER_MS;
/// Time after which an endpoint's own report that it is leaving expires, in microseconds.
const LEAVING_TTL_US: u64 = 5 * US_PER_S;

/// Load that an endpoint reported with an answer, in calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Calls that hold a slot of the endpoint.
    pub in_flight: u32,
    /// Maximum number of concurrent calls.
    pub limit: u32,
    /// Calls that wait for a slot of the endpoint.
    pub queued: u32,
}

/// Result of an attempt, as far as it affects routing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptResult {
    /// The endpoint answered.
    Answered {
        /// Duration of the attempt, in microseconds.
        latency_us: u64,
    },
    /// The endpoint refused the call.
    Refused,
    /// The endpoint failed or did not answer in time.
    Failed,
    /// The caller cancelled the attempt before it ended.
    Cancelled,
}

#[derive(Debug)]
struct Candidate {
    data_centre: DataCentreName,
    /// Whether the control service reports that the endpoint is leaving.
    is_leaving: bool,
    /// Expiry of the endpoint's own report that it is leaving, in microseconds.
    reported_leaving_until_us: u64,
    /// Attempts of this node that have not ended.
    own_in_flight: u32,
    /// Last reported load and the time of the report, in microseconds.
    report: Option<(u64, ReportedLoad)>,
    mean_latency_us: f64,
    consecutive_failures: u32,
    /// Number of ejections since the endpoint last answered or refused a call.
    ejections: u32,
    ejected_until_us: u64,
    refused_until_us: u64,
    is_probing: bool,
    /// Latest start of an answered attempt, in microseconds by route.
    answered_start_us: IndexMap<RouteName, u64>,
}

impl Candidate {
    fn new(data_centre: DataCentreName) -> Self {
        Self {
            data_centre,
            is_leaving: false,
            reported_leaving_until_us: 0,
            own_in_flight: 0,
            report: None,
            mean_latency_us: 0.0,
            consecutive_failures: 0,
            ejections: 0,
            ejected_until_us: 0,
            refused_until_us: 0,
            is_probing: false,
            answered_start_us: IndexMap::new(),
        }
    }

    fn utilization(&self, now_us: u64) -> f64 {
        let penalty = if now_us < self.refused_until_us { 1.0 } else { 0.0 };
        let own = f64::from(self.own_in_flight + 1);
        let Some((at_us, load)) = self.report else {
            return penalty + own / f64::from(DEFAULT_LIMIT);
        };
        let limit = f64::from(load.limit.max(1));
        let is_fresh = now_us.saturating_sub(at_us) < REPORT_TTL_US;
        let others = if is_fresh { f64::from(load.in_flight + load.queued) } else { 0.0 };
        penalty + own.max(others) / limit
    }

    fn accepts_work(&self, now_us: u64) -> bool {
        !self.is_leaving && now_us >= self.reported_leaving_until_us
    }

    fn is_ejected(&self, now_us: u64) -> bool {
        self.ejections > 0 && (now_us < self.ejected_until_us || self.is_probing)
    }

    fn is_probe_due(&self, now_us: u64) -> bool {
        self.ejections > 0 && now_us >= self.ejected_until_us && !self.is_probing
    }
}

/// Load balancer over the endpoints of one service, from the view of one node.
#[derive(Debug)]
pub struct Router {
    own_data_centre: DataCentreName,
    candidates: IndexMap<VmName, Candidate>,
}

impl Router {
    /// Creates a router without endpoints for a node in this data centre.
    pub fn new(own_data_centre: DataCentreName) -> Self {
        Self { own_data_centre, candidates: IndexMap::new() }
    }

    /// Adds an endpoint or updates whether it is leaving.
    pub fn upsert(&mut self, vm: &VmName, data_centre: &DataCentreName, state: EndpointState) {
        let candidate = self
            .candidates
            .entry(vm.clone())
            .or_insert_with(|| Candidate::new(data_centre.clone()));
        candidate.is_leaving = state == EndpointState::Leaving;
    }

    /// Removes an endpoint with its statistics.
    pub fn remove(&mut self, vm: &VmName) {
        self.candidates.shift_remove(vm);
    }

    /// Returns the number of endpoints that accept work and are not in `tried`.
    pub fn untried(&self, now_us: u64, tried: &[VmName]) -> usize {
        let is_untried = |(vm, candidate): &(&VmName, &Candidate)| {
            candidate.accepts_work(now_us) && !tried.contains(vm)
        };
        self.candidates.iter().filter(is_untried).count()
    }

    /// Chooses an endpoint that is not in `tried` and counts the attempt as in flight there.
    ///
    /// `random` is a uniform sample over all values of `u64`. Returns `None` when every endpoint
    /// was tried or is leaving.
    pub fn choose(&mut self, now_us: u64, tried: &[VmName], random: u64) -> Option<VmName> {
        let probe = self.due_probe(now_us, tried);
        let index = match probe {
            Some(index) => index,
            None => self.choose_by_load(now_us, tried, random)?,
        };
        let (vm, candidate) = self.candidates.get_index_mut(index)?;
        candidate.own_in_flight += 1;
        if candidate.ejections > 0 {
            candidate.is_probing = true;
        }
        Some(vm.clone())
    }

    /// Records the result of an attempt.
    pub fn finish(&mut self, now_us: u64, vm: &VmName, route: &RouteName, result: AttemptResult) {
        let max_ejected = (self.candidates.len() / ENDPOINTS_PER_EJECTION).max(1);
        let ejected = self.candidates.values().filter(|c| c.is_ejected(now_us)).count();
        let Some(candidate) = self.candidates.get_mut(vm) else {
            return;
        };
        candidate.own_in_flight = candidate.own_in_flight.saturating_sub(1);
        candidate.is_probing = false;
        match result {
            AttemptResult::Answered { latency_us } => {
                let started_us = now_us.saturating_sub(latency_us);
                let latest = candidate.answered_start_us.entry(route.clone()).or_insert(0);
                *latest = started_us.max(*latest);
                const EWMA_WEIGHT: f64 = 0.2;
                let sample = latency_us as f64;
                candidate.mean_latency_us += EWMA_WEIGHT * (sample - candidate.mean_latency_us);
                candidate.consecutive_failures = 0;
                candidate.ejections = 0;
            }
            AttemptResult::Refused => {
                candidate.refused_until_us = now_us + REFUSED_PENALTY_US;
                candidate.consecutive_failures = 0;
                candidate.ejections = 0;
            }
            AttemptResult::Failed => {
                candidate.consecutive_failures += 1;
                let may_eject = candidate.ejections > 0 || ejected < max_ejected;
                if candidate.consecutive_failures >= EJECTION_FAILURES && may_eject {
                    let factor = 1 << candidate.ejections.min(6);
                    candidate.ejected_until_us =
                        now_us + (INITIAL_EJECTION_US * factor).min(MAX_EJECTION_US);
                    candidate.ejections += 1;
                }
            }
            AttemptResult::Cancelled => {}
        }
    }

    /// Records the load that an endpoint reported with an answer.
    pub fn report(&mut self, now_us: u64, vm: &VmName, load: ReportedLoad) {
        if let Some(candidate) = self.candidates.get_mut(vm) {
            candidate.report = Some((now_us, load));
        }
    }

    /// Returns whether an endpoint that is not in `tried` has answered an attempt of the route that
    /// started after `started_us`.
    ///
    /// If none has, a long attempt indicates that the whole service is slow rather than that its
    /// endpoint failed, and abandoning the attempt would waste the work done so far.
    pub fn has_faster_endpoint(
        &self,
        tried: &[VmName],
        route: &RouteName,
        started_us: u64,
    ) -> bool {
        let is_faster = |(vm, candidate): (&VmName, &Candidate)| {
            !tried.contains(vm)
                && candidate.answered_start_us.get(route).is_some_and(|at_us| *at_us > started_us)
        };
        self.candidates.iter().any(is_faster)
    }

    /// Marks an endpoint as leaving after it reported so with an answer.
    ///
    /// The mark expires, so that an endpoint that serves again is used even while the control
    /// service cannot be reached.
    pub fn mark_leaving(&mut self, now_us: u64, vm: &VmName) {
        if let Some(candidate) = self.candidates.get_mut(vm) {
            candidate.reported_leaving_until_us = now_us + LEAVING_TTL_US;
        }
    }

    /// Returns an endpoint whose ejection has ended and that is not being probed yet.
    fn due_probe(&self, now_us: u64, tried: &[VmName]) -> Option<usize> {
        // Only a first attempt is used as a probe, so that a probe never takes a request's last
        // retry.
        if !tried.is_empty() {
            return None;
        }
        let is_due = |c: &Candidate| c.accepts_work(now_us) && c.is_probe_due(now_us);
        self.candidates.values().position(is_due)
    }

    /// Chooses an endpoint by load and data centre, and an ejected one only if there is no other.
    fn choose_by_load(&self, now_us: u64, tried: &[VmName], random: u64) -> Option<usize> {
        let mut local = Vec::new();
        let mut remote = Vec::new();
        let mut ejected = Vec::new();
        for (index, (vm, candidate)) in self.candidates.iter().enumerate() {
            if !candidate.accepts_work(now_us) || tried.contains(vm) {
                continue;
            }
            if candidate.is_ejected(now_us) {
                ejected.push(index);
            } else if candidate.data_centre == self.own_data_centre {
                local.push(index);
            } else {
                remote.push(index);
            }
        }
        let local = self.better_of_two(now_us, &local, random);
        let remote = self.better_of_two(now_us, &remote, random.rotate_left(32));
        match (local, remote) {
            (Some(local), Some(remote)) => Some(self.local_or_spill(now_us, local, remote)),
            (Some(index), None) | (None, Some(index)) => Some(index),
            (None, None) => self.better_of_two(now_us, &ejected, random),
        }
    }

    fn local_or_spill(&self, now_us: u64, local: usize, remote: usize) -> usize {
        let local_load = self.candidates[local].utilization(now_us);
        let remote_load = self.candidates[remote].utilization(now_us) + REMOTE_PENALTY;
        if local_load > SPILL_UTILIZATION && remote_load < local_load { remote } else { local }
    }

    fn better_of_two(&self, now_us: u64, group: &[usize], random: u64) -> Option<usize> {
        let count = group.len() as u64;
        if count < 2 {
            return group.first().copied();
        }
        let first = random % count;
        let second = (first + 1 + (random >> 32) % (count - 1)) % count;
        let (first, second) = (group[first as usize], group[second as usize]);
        let is_second_better = self.candidates[second].utilization(now_us)
            < self.candidates[first].utilization(now_us);
        Some(if is_second_better { second } else { first })
    }
}

/// Whether an endpoint accepts new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointState {
    /// The endpoint accepts new work.
    Serving,
    /// The endpoint completes its work in progress and accepts no new work.
    Leaving,
}

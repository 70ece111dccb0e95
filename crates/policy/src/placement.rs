//! Load balancing of the mesh: chooses the VM for a call by estimated load, own data centre first.
//!
//! The estimated load of a VM is its last reported load plus the calls that this node has sent
//! since. Calls stay in the own data centre while it has capacity and spill over when another data
//! centre has a clearly lower load. A VM that is unreachable or leaving is avoided with exponential
//! backoff, then probed with a single call.

use indexmap::IndexMap;
use model::{DataCentreName, VmName};

use crate::decaying_mean::DecayingMean;
use crate::{US_PER_MS, US_PER_S};

/// Utilization of the chosen VM in the own data centre above which other data centres are
/// considered. Upstreams slow down near their last slots, so calls spill over before these are
/// taken.
const SPILL_UTILIZATION: f64 = 0.75;
/// Added to the utilization of a VM in another data centre, since traffic between data centres has
/// a cost.
const REMOTE_PENALTY: f64 = 0.15;
/// Limit assumed before a VM has reported one.
const DEFAULT_LIMIT: u32 = 16;
/// Added to the utilization of a VM that recently refused a call, so that other VMs are preferred.
const REFUSED_PENALTY: f64 = 1.0;
/// Time for which the penalty of a refusal applies, in microseconds: about one service time.
const REFUSED_PENALTY_US: u64 = 30 * US_PER_MS;
/// Initial backoff for a VM that is unreachable or leaving, in microseconds.
const INITIAL_BACKOFF_US: u64 = 200 * US_PER_MS;
/// Maximum number of times that the backoff doubles; its maximum is 3.2 s.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;

/// Time constant of a VM's decaying failure share, in microseconds: long enough to move calls away
/// from a failing VM, short enough to use it again within seconds of its recovery.
const FAILURE_TIME_CONSTANT_US: u64 = 2 * US_PER_S;
/// Utilization added per unit of a VM's failure share. One failure in five calls adds as much as a
/// VM at nearly full load, so calls move to VMs with capacity.
const FAILURE_WEIGHT: f64 = 4.0;

/// Load that a VM reported with an answer, in calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct PlacementLoad {
    /// Calls that hold a slot of the VM.
    pub in_flight: u32,
    /// Calls that wait for a slot of the VM.
    pub queued: u32,
    /// Maximum number of concurrent calls.
    pub limit: u32,
}

/// Result of an attempt, as far as it affects placement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlacementResult {
    /// The VM answered or was still processing the call.
    Succeeded,
    /// The call failed at the VM, or its deadline passed before the VM answered.
    Failed,
    /// The VM refused the call.
    Refused,
    /// The VM has no upstream that accepts calls.
    Leaving,
    /// The VM could not be reached.
    Unreachable,
}

#[derive(Debug)]
struct Candidate {
    data_centre: DataCentreName,
    is_leaving: bool,
    /// Attempts of this node that have not ended.
    own_in_flight: u32,
    /// Last reported load.
    load: Option<PlacementLoad>,
    /// Value of `own_in_flight` when the load was reported.
    own_in_flight_at_report: u32,
    refused_until_us: u64,
    failure_share: DecayingMean,
    /// Consecutive attempts that found the VM unreachable or leaving.
    consecutive_unavailable: u32,
    backoff_until_us: u64,
    is_probing: bool,
}

impl Candidate {
    fn utilization(&self, now_us: u64) -> f64 {
        let penalty = if now_us < self.refused_until_us { REFUSED_PENALTY } else { 0.0 };
        let penalty = penalty + FAILURE_WEIGHT * self.failure_share.value(now_us);
        let Some(load) = self.load else {
            // Without a report only the calls of this node count, so that the VM is preferred and
            // its load becomes known.
            return penalty + f64::from(self.own_in_flight) / f64::from(DEFAULT_LIMIT);
        };
        let sent_since = self.own_in_flight.saturating_sub(self.own_in_flight_at_report);
        let total = (load.in_flight + load.queued + sent_since).max(self.own_in_flight) + 1;
        penalty + f64::from(total) / f64::from(load.limit.max(1))
    }

    fn is_backing_off(&self, now_us: u64) -> bool {
        self.consecutive_unavailable > 0 && (now_us < self.backoff_until_us || self.is_probing)
    }
}

/// Load balancer over the VMs of one service, from the view of one node.
#[derive(Debug)]
pub struct Placement {
    own_data_centre: DataCentreName,
    candidates: IndexMap<VmName, Candidate>,
}

impl Placement {
    /// Creates a load balancer without VMs for a node in this data centre.
    pub fn new(own_data_centre: DataCentreName) -> Self {
        Self { own_data_centre, candidates: IndexMap::new() }
    }

    /// Adds a VM or updates whether it is leaving.
    pub fn upsert(&mut self, vm: &VmName, data_centre: &DataCentreName, is_leaving: bool) {
        let candidate = self.candidates.entry(vm.clone()).or_insert_with(|| Candidate {
            data_centre: data_centre.clone(),
            is_leaving,
            own_in_flight: 0,
            load: None,
            own_in_flight_at_report: 0,
            refused_until_us: 0,
            failure_share: DecayingMean::new(FAILURE_TIME_CONSTANT_US),
            consecutive_unavailable: 0,
            backoff_until_us: 0,
            is_probing: false,
        });
        candidate.is_leaving = is_leaving;
    }

    /// Records that a VM is leaving, so that it is not chosen again until it is added again.
    pub fn set_leaving(&mut self, vm: &VmName) {
        if let Some(candidate) = self.candidates.get_mut(vm) {
            candidate.is_leaving = true;
        }
    }

    /// Ends the backoff of a VM and discards its reported load, for example when its node restarts.
    pub fn restart(&mut self, vm: &VmName) {
        if let Some(candidate) = self.candidates.get_mut(vm) {
            candidate.consecutive_unavailable = 0;
            candidate.is_probing = false;
            candidate.load = None;
        }
    }

    /// Removes a VM with its statistics.
    pub fn remove(&mut self, vm: &VmName) {
        self.candidates.shift_remove(vm);
    }

    /// Chooses a VM that is not in `tried` and counts the attempt as in flight there.
    ///
    /// `random` is a uniform sample over all values of `u64`. Returns `None` when every VM was
    /// tried or is leaving.
    pub fn choose(&mut self, now_us: u64, tried: &[VmName], random: u64) -> Option<VmName> {
        let index = self.choose_index(now_us, tried, random)?;
        let (vm, candidate) = self.candidates.get_index_mut(index)?;
        candidate.own_in_flight += 1;
        if candidate.consecutive_unavailable > 0 {
            candidate.is_probing = true;
        }
        Some(vm.clone())
    }

    /// Records the result of an attempt.
    pub fn finish(&mut self, now_us: u64, vm: &VmName, result: PlacementResult) {
        let Some(candidate) = self.candidates.get_mut(vm) else { return };
        candidate.own_in_flight = candidate.own_in_flight.saturating_sub(1);
        candidate.is_probing = false;
        match result {
            PlacementResult::Succeeded => {
                candidate.failure_share.record(now_us, 0.0);
                candidate.consecutive_unavailable = 0;
            }
            PlacementResult::Failed => {
                candidate.failure_share.record(now_us, 1.0);
                candidate.consecutive_unavailable = 0;
            }
            PlacementResult::Refused => {
                candidate.consecutive_unavailable = 0;
                candidate.refused_until_us = now_us + REFUSED_PENALTY_US;
            }
            PlacementResult::Leaving | PlacementResult::Unreachable => {
                let doublings = candidate.consecutive_unavailable.min(MAX_BACKOFF_DOUBLINGS);
                candidate.consecutive_unavailable += 1;
                candidate.backoff_until_us = now_us + (INITIAL_BACKOFF_US << doublings);
            }
        }
    }

    /// Removes an attempt that its caller cancelled from the calls in flight.
    pub fn cancel(&mut self, vm: &VmName) {
        if let Some(candidate) = self.candidates.get_mut(vm) {
            candidate.own_in_flight = candidate.own_in_flight.saturating_sub(1);
            candidate.is_probing = false;
        }
    }

    /// Records the load that a VM reported with an answer.
    pub fn report(&mut self, vm: &VmName, load: PlacementLoad) {
        if let Some(candidate) = self.candidates.get_mut(vm) {
            candidate.load = Some(load);
            candidate.own_in_flight_at_report = candidate.own_in_flight;
        }
    }

    fn choose_index(&self, now_us: u64, tried: &[VmName], random: u64) -> Option<usize> {
        let mut local = CandidateGroup::default();
        let mut remote = CandidateGroup::default();
        let mut backing_off = CandidateGroup::default();
        for (index, (vm, candidate)) in self.candidates.iter().enumerate() {
            if candidate.is_leaving || tried.contains(vm) {
                continue;
            }
            let group = match candidate.data_centre == self.own_data_centre {
                _ if candidate.is_backing_off(now_us) => &mut backing_off,
                true => &mut local,
                false => &mut remote,
            };
            group.add(index);
        }
        let local = self.better_of_two(now_us, &local, random);
        let remote = self.better_of_two(now_us, &remote, random.rotate_left(32));
        match (local, remote) {
            (Some(local), Some(remote)) => Some(self.local_or_spill(now_us, local, remote)),
            (Some(index), None) | (None, Some(index)) => Some(index),
            (None, None) => self.better_of_two(now_us, &backing_off, random),
        }
    }

    fn local_or_spill(&self, now_us: u64, local: usize, remote: usize) -> usize {
        let local_load = self.candidates[local].utilization(now_us);
        let remote_load = self.candidates[remote].utilization(now_us) + REMOTE_PENALTY;
        if local_load > SPILL_UTILIZATION && remote_load < local_load { remote } else { local }
    }

    fn better_of_two(&self, now_us: u64, group: &CandidateGroup, random: u64) -> Option<usize> {
        let count = group.indices.len() as u64;
        if count < 2 {
            return group.indices.first().copied();
        }
        let first = random % count;
        let second = (first + 1 + (random >> 32) % (count - 1)) % count;
        let (first, second) = (group.indices[first as usize], group.indices[second as usize]);
        let is_second_better = self.candidates[second].utilization(now_us)
            < self.candidates[first].utilization(now_us);
        Some(if is_second_better { second } else { first })
    }
}

#[derive(Debug, Default)]
struct CandidateGroup {
    indices: Vec<usize>,
}

impl CandidateGroup {
    fn add(&mut self, index: usize) {
        self.indices.push(index);
    }
}

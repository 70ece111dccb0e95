//! Choice of the VM that runs a call of the mesh: by expected load, own data centre first.
//!
//! The load of a VM is what it last reported plus what this node sent since. Calls stay in the own
//! data centre while it has room and spill over when another one is clearly less loaded. A VM that
//! cannot be reached is avoided for a short time that doubles, then tried with a single call.

use indexmap::IndexMap;
use model::{DataCentreName, VmName};

use crate::fading::FadingShare;
use crate::{US_PER_MS, US_PER_S};

/// Utilization of the own data centre's best VM above which other data centres are considered.
/// Upstreams slow down near their last slots, so calls leave before these fill.
const SPILL_UTILIZATION: f64 = 0.75;
/// Added to the utilization of a VM in another data centre: traffic between data centres is paid for.
const REMOTE_PENALTY: f64 = 0.15;
/// Limit assumed before a VM has reported one.
const DEFAULT_LIMIT: u32 = 16;
/// Added while a VM's refusal is fresh, so that other VMs go first.
const REFUSED_PENALTY: f64 = 1.0;
/// Time for which a refusal is fresh, in microseconds: about one service time.
const REFUSED_US: u64 = 30 * US_PER_MS;
/// First time for which an unreachable VM is avoided, in microseconds.
const MIN_AVOID_US: u64 = 200 * US_PER_MS;
/// Doublings of the time for which an unreachable VM is avoided; the longest is 3.2 s.
const MAX_AVOID_DOUBLINGS: u32 = 4;

/// Memory of a VM's failures, in microseconds: long enough to leave a failing VM, short enough to come
/// back within seconds.
const FAILURE_MEMORY_US: u64 = 2 * US_PER_S;
/// Utilization that a VM which fails every call seems to have more. One in five failing weighs as much
/// as a VM that is nearly full, so calls move where others have room.
const FAILURE_WEIGHT: f64 = 4.0;

/// Load as a VM reported it with an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct PlacementLoad {
    /// Calls running there.
    pub in_flight: u32,
    /// Calls waiting there.
    pub queued: u32,
    /// Calls that it runs at once.
    pub limit: u32,
}

/// How an attempt ended, as placement sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlacementResult {
    /// The VM answered or was at work.
    Reached,
    /// The VM was reached, and the call failed there.
    Failed,
    /// The VM refused the call.
    Refused,
    /// The VM has no upstream that takes work.
    Leaving,
    /// The VM could not be reached.
    Unreachable,
}

#[derive(Debug)]
struct Candidate {
    data_centre: DataCentreName,
    is_leaving: bool,
    own_in_flight: u32,
    load: Option<PlacementLoad>,
    own_at_report: u32,
    refused_until_us: u64,
    failures: FadingShare,
    failures_in_row: u32,
    avoided_until_us: u64,
    is_probing: bool,
}

impl Candidate {
    fn utilization(&self, now_us: u64) -> f64 {
        let penalty = if now_us < self.refused_until_us { REFUSED_PENALTY } else { 0.0 };
        let penalty = penalty + FAILURE_WEIGHT * self.failures.value(now_us);
        let Some(load) = self.load else {
            // A VM that has not reported goes first, so that its load becomes known.
            return penalty + f64::from(self.own_in_flight) / f64::from(DEFAULT_LIMIT);
        };
        let sent_since = self.own_in_flight.saturating_sub(self.own_at_report);
        let total = (load.in_flight + load.queued + sent_since).max(self.own_in_flight) + 1;
        penalty + f64::from(total) / f64::from(load.limit.max(1))
    }

    fn is_avoided(&self, now_us: u64) -> bool {
        self.failures_in_row > 0 && (now_us < self.avoided_until_us || self.is_probing)
    }
}

/// VMs of one service, as one node sees them.
#[derive(Debug)]
pub struct Placement {
    own_data_centre: DataCentreName,
    candidates: IndexMap<VmName, Candidate>,
}

impl Placement {
    /// Starts without VMs.
    pub fn new(own_data_centre: DataCentreName) -> Self {
        Self { own_data_centre, candidates: IndexMap::new() }
    }

    /// Adds a VM, or updates whether it is leaving.
    pub fn upsert(&mut self, vm: &VmName, data_centre: &DataCentreName, is_leaving: bool) {
        let candidate = self.candidates.entry(vm.clone()).or_insert_with(|| Candidate {
            data_centre: data_centre.clone(),
            is_leaving,
            own_in_flight: 0,
            load: None,
            own_at_report: 0,
            refused_until_us: 0,
            failures: FadingShare::new(FAILURE_MEMORY_US),
            failures_in_row: 0,
            avoided_until_us: 0,
            is_probing: false,
        });
        candidate.is_leaving = is_leaving;
    }

    /// Forgets that a VM could not be reached, as when it starts again.
    pub fn restart(&mut self, vm: &VmName) {
        if let Some(candidate) = self.candidates.get_mut(vm) {
            candidate.failures_in_row = 0;
            candidate.is_probing = false;
            candidate.load = None;
        }
    }

    /// Removes a VM.
    pub fn remove(&mut self, vm: &VmName) {
        self.candidates.shift_remove(vm);
    }

    /// Chooses a VM that was not tried and counts the attempt against it.
    ///
    /// `random` is a uniform draw. Returns nothing when every VM was tried or is leaving.
    pub fn choose(&mut self, now_us: u64, tried: &[VmName], random: u64) -> Option<VmName> {
        let index = self.best(now_us, tried, random)?;
        let (vm, candidate) = self.candidates.get_index_mut(index)?;
        candidate.own_in_flight += 1;
        if candidate.failures_in_row > 0 {
            candidate.is_probing = true;
        }
        Some(vm.clone())
    }

    /// Takes the end of an attempt into account.
    pub fn finish(&mut self, now_us: u64, vm: &VmName, result: PlacementResult) {
        let Some(candidate) = self.candidates.get_mut(vm) else { return };
        candidate.own_in_flight = candidate.own_in_flight.saturating_sub(1);
        candidate.is_probing = false;
        match result {
            PlacementResult::Reached => {
                candidate.failures.record(now_us, 0.0);
                candidate.failures_in_row = 0;
            }
            PlacementResult::Failed => {
                candidate.failures.record(now_us, 1.0);
                candidate.failures_in_row = 0;
            }
            PlacementResult::Refused => {
                candidate.failures_in_row = 0;
                candidate.refused_until_us = now_us + REFUSED_US;
            }
            PlacementResult::Leaving | PlacementResult::Unreachable => {
                let doublings = candidate.failures_in_row.min(MAX_AVOID_DOUBLINGS);
                candidate.failures_in_row += 1;
                candidate.avoided_until_us = now_us + (MIN_AVOID_US << doublings);
            }
        }
    }

    /// Takes back an attempt that was abandoned by its caller.
    pub fn cancel(&mut self, vm: &VmName) {
        if let Some(candidate) = self.candidates.get_mut(vm) {
            candidate.own_in_flight = candidate.own_in_flight.saturating_sub(1);
            candidate.is_probing = false;
        }
    }

    /// Takes the load reported with an answer into account.
    pub fn report(&mut self, vm: &VmName, load: PlacementLoad) {
        if let Some(candidate) = self.candidates.get_mut(vm) {
            candidate.load = Some(load);
            candidate.own_at_report = candidate.own_in_flight;
        }
    }

    fn best(&self, now_us: u64, tried: &[VmName], random: u64) -> Option<usize> {
        let mut local = Pick::default();
        let mut remote = Pick::default();
        let mut avoided = Pick::default();
        for (index, (vm, candidate)) in self.candidates.iter().enumerate() {
            if candidate.is_leaving || tried.contains(vm) {
                continue;
            }
            let group = match candidate.data_centre == self.own_data_centre {
                _ if candidate.is_avoided(now_us) => &mut avoided,
                true => &mut local,
                false => &mut remote,
            };
            group.add(index);
        }
        let local = self.better_of_two(now_us, &local, random);
        let remote = self.better_of_two(now_us, &remote, random.rotate_left(32));
        match (local, remote) {
            (Some(local), Some(remote)) => Some(self.spill(now_us, local, remote)),
            (Some(index), None) | (None, Some(index)) => Some(index),
            (None, None) => self.better_of_two(now_us, &avoided, random),
        }
    }

    fn spill(&self, now_us: u64, local: usize, remote: usize) -> usize {
        let local_load = self.candidates[local].utilization(now_us);
        let remote_load = self.candidates[remote].utilization(now_us) + REMOTE_PENALTY;
        if local_load > SPILL_UTILIZATION && remote_load < local_load { remote } else { local }
    }

    fn better_of_two(&self, now_us: u64, pick: &Pick, random: u64) -> Option<usize> {
        let count = pick.indices.len() as u64;
        if count < 2 {
            return pick.indices.first().copied();
        }
        let first = random % count;
        let second = (first + 1 + (random >> 32) % (count - 1)) % count;
        let (first, second) = (pick.indices[first as usize], pick.indices[second as usize]);
        let is_second_better = self.candidates[second].utilization(now_us)
            < self.candidates[first].utilization(now_us);
        Some(if is_second_better { second } else { first })
    }
}

#[derive(Debug, Default)]
struct Pick {
    indices: Vec<usize>,
}

impl Pick {
    fn add(&mut self, index: usize) {
        self.indices.push(index);
    }
}

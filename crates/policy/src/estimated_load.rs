//! Load balancing of the mesh by estimated load.
//!
//! The estimate of a VM's load is its last report, moved forward by the arrivals that the VM reports
//! less what it finishes, plus this node's own calls since. The older the report, the closer the
//! estimate is to the mean of the VMs in the same group (own data centre, or others).
//!
//! A call goes to the best of a few VMs that are drawn with probabilities proportional to their
//! capacity. With fresh reports that is the least loaded of the drawn VMs. With old reports all
//! estimates are equal, and the calls are divided by capacity, so nodes that know little do not
//! all choose the same VM.

mod recent_calls;
mod vm_estimate;

use indexmap::IndexMap;
use model::{DataCentreName, VmName};

use crate::decaying_mean::DecayingMean;
use crate::placement::{PlacementLoad, PlacementResult};
use crate::vm_rates::VmRates;
use crate::{US_PER_MS, US_PER_S};
use recent_calls::RecentCalls;
use vm_estimate::{Prior, VmEstimate};

/// Number of VMs compared for a call. More would let nodes with similar reports choose the same VM.
const DRAWN_VMS: usize = 3;
/// Maximum number of draws for them; VMs that were tried or are unavailable are drawn in vain.
const MAX_DRAWS: usize = 6;
/// Cost, when VMs are compared, of an attempt of this node that has not ended. A VM that turns slow
/// keeps a node's calls for longer, which the node sees before any report.
const OWN_CALL_COST: f64 = 1.0;
/// Cost, when VMs are compared, of having got twice this node's calls that its capacity entitles it
/// to. A node that sends a VM less than a call a second then takes turns, so that the sum over
/// hundreds of nodes varies less than a Poisson count.
const EXCESS_COST: f64 = 0.5;
/// Interval at which the probabilities of the draws are computed again, in microseconds. The speeds
/// behind them are means over seconds.
const REFRESH_INTERVAL_US: u64 = 250 * US_PER_MS;
/// Cost in the own data centre up to which other data centres are not considered. Upstreams slow
/// down near their last slots.
const LOCAL_COST_LIMIT: f64 = 0.75;
/// Cost of a hop to another data centre that does not depend on the service time, in units of
/// utilization.
const HOP_COST: f64 = 0.15;
/// Time that a hop to another data centre takes, in microseconds.
const HOP_US: f64 = 5.0 * US_PER_MS as f64;
/// Weight of a new report in the means over VMs.
const MEAN_WEIGHT: f64 = 0.1;
/// Service time assumed before any VM has reported one, in microseconds.
const DEFAULT_SERVICE_US: f64 = 100.0 * US_PER_MS as f64;
/// Limit assumed before any VM has reported one.
const DEFAULT_LIMIT: f64 = 16.0;
/// Cost added to a VM that recently refused a call.
const REFUSED_COST: f64 = 1.0;
/// Time for which that cost applies, in microseconds: about one service time.
const REFUSED_COST_US: u64 = 30 * US_PER_MS;
/// Time constant of a VM's failure share, in microseconds.
const FAILURE_TIME_CONSTANT_US: u64 = 2 * US_PER_S;
/// Cost added per unit of a VM's failure share.
const FAILURE_WEIGHT: f64 = 4.0;
/// Failure cost from which a VM counts as failing.
const FAILING_COST: f64 = 0.5;
/// Initial interval between probes of a VM that is stuck, unreachable or leaving, in microseconds.
const INITIAL_BACKOFF_US: u64 = 200 * US_PER_MS;
/// Maximum number of times that the interval doubles; its maximum is 3.2 s.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;

/// Why a call goes to another data centre.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrossingCause {
    /// The own data centre has less room.
    Full,
    /// The VMs of the own data centre fail calls or do not answer.
    Failing,
    /// The own data centre has no VM that was not tried.
    NoVm,
}

/// VM chosen for a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Choice {
    /// The VM.
    pub vm: VmName,
    /// Why the VM is in another data centre. `None` if it is in the own one, or the decision does
    /// not tell.
    pub crossing: Option<CrossingCause>,
    /// Age of the VM's last report, in microseconds. `None` if the VM has not reported.
    pub report_age_us: Option<u64>,
}

/// VM to ask after a refusal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NextChoice {
    /// This VM is expected to take the call.
    Vm(Choice),
    /// No VM is expected to take the call.
    NoneExpected {
        /// Shortest expected wait, in microseconds. `None` if there is no other VM.
        wait_us: Option<u64>,
    },
}

#[derive(Debug)]
struct Candidate {
    data_centre: DataCentreName,
    is_leaving: bool,
    estimate: VmEstimate,
    /// Calls that the VM can finish in a microsecond, as of the last refresh.
    capacity: f64,
    recent_calls: RecentCalls,
    refused_until_us: u64,
    failure_share: DecayingMean,
    /// Consecutive attempts that found the VM unreachable, leaving or stuck.
    consecutive_unavailable: u32,
    next_probe_us: u64,
    /// Whether the last attempt that ended found the VM unreachable or leaving.
    is_unreachable: bool,
}

impl Candidate {
    fn failure_cost(&self, now_us: u64) -> f64 {
        FAILURE_WEIGHT * self.failure_share.value(now_us)
    }

    /// Returns the expected number of attempts until one succeeds. Without this factor a node that has
    /// several calls at each VM prefers one that fails at once, since that one has none of them.
    fn expected_attempts(&self, now_us: u64) -> f64 {
        1.0 / (1.0 - self.failure_share.value(now_us))
    }

    fn is_unavailable(&self, now_us: u64, prior: &Prior) -> bool {
        self.consecutive_unavailable > 0 || self.estimate.is_stuck(now_us, prior)
    }

    /// Starts the time until the next probe.
    fn back_off(&mut self, now_us: u64) {
        let doublings = self.consecutive_unavailable.min(MAX_BACKOFF_DOUBLINGS);
        self.consecutive_unavailable += 1;
        self.next_probe_us = now_us + (INITIAL_BACKOFF_US << doublings);
    }
}

/// VMs of the own data centre or of all others.
#[derive(Debug)]
struct Group {
    indices: Vec<usize>,
    /// Sums of the capacities of the VMs up to each one.
    cumulative_capacity: Vec<f64>,
    /// Mean utilization in the reports of the group's VMs.
    mean_cost: f64,
    recent_calls: RecentCalls,
}

impl Group {
    fn new() -> Self {
        Self {
            indices: Vec::new(),
            cumulative_capacity: Vec::new(),
            mean_cost: 0.5,
            recent_calls: RecentCalls::default(),
        }
    }

    fn clear(&mut self) {
        self.indices.clear();
        self.cumulative_capacity.clear();
    }

    fn add(&mut self, index: usize, capacity: f64) {
        let sum = self.cumulative_capacity.last().copied().unwrap_or(0.0);
        self.indices.push(index);
        self.cumulative_capacity.push(sum + capacity);
    }

    /// Returns the cost of the calls that a VM got beyond its share of this node's recent calls.
    fn excess_cost(&self, now_us: u64, candidate: &Candidate) -> f64 {
        let total = self.cumulative_capacity.last().copied().unwrap_or(0.0);
        let entitled =
            self.recent_calls.count(now_us) * candidate.capacity / total.max(f64::MIN_POSITIVE);
        let excess = candidate.recent_calls.count(now_us) - entitled;
        EXCESS_COST * excess.max(0.0) / (entitled + 1.0)
    }

    /// Returns a VM with a probability proportional to its capacity.
    fn draw(&self, random: &mut RandomSequence) -> Option<usize> {
        let total = self.cumulative_capacity.last()?;
        let position = random.next_unit() * total;
        let index = self.cumulative_capacity.partition_point(|sum| *sum <= position);
        self.indices.get(index.min(self.indices.len() - 1)).copied()
    }
}

/// Load balancer over the VMs of one service, from the view of one node.
#[derive(Debug)]
pub struct EstimatedLoad {
    own_data_centre: DataCentreName,
    candidates: IndexMap<VmName, Candidate>,
    prior: Prior,
    local: Group,
    remote: Group,
    /// When the groups are computed again, in microseconds.
    refresh_us: u64,
}

impl EstimatedLoad {
    /// Creates a load balancer without VMs for a node in this data centre.
    pub fn new(own_data_centre: DataCentreName) -> Self {
        Self {
            own_data_centre,
            candidates: IndexMap::new(),
            prior: Prior { service_us: DEFAULT_SERVICE_US, limit: DEFAULT_LIMIT, samples: 0 },
            local: Group::new(),
            remote: Group::new(),
            refresh_us: 0,
        }
    }

    /// Adds a VM or updates whether it is leaving.
    pub fn upsert(&mut self, vm: &VmName, data_centre: &DataCentreName, is_leaving: bool) {
        let candidate = self.candidates.entry(vm.clone()).or_insert_with(|| Candidate {
            data_centre: data_centre.clone(),
            is_leaving,
            estimate: VmEstimate::default(),
            capacity: 0.0,
            recent_calls: RecentCalls::default(),
            refused_until_us: 0,
            failure_share: DecayingMean::new(FAILURE_TIME_CONSTANT_US),
            consecutive_unavailable: 0,
            next_probe_us: 0,
            is_unreachable: false,
        });
        candidate.is_leaving = is_leaving;
        self.refresh_us = 0;
    }

    /// Records that a VM is leaving, so that it is not chosen again until it is added again.
    pub fn set_leaving(&mut self, vm: &VmName) {
        if let Some(candidate) = self.candidates.get_mut(vm) {
            candidate.is_leaving = true;
            self.refresh_us = 0;
        }
    }

    /// Discards what is known of a VM, for example when its node restarts.
    pub fn restart(&mut self, vm: &VmName) {
        if let Some(candidate) = self.candidates.get_mut(vm) {
            candidate.consecutive_unavailable = 0;
            candidate.is_unreachable = false;
            candidate.estimate.forget();
            self.refresh_us = 0;
        }
    }

    /// Removes a VM with its statistics.
    pub fn remove(&mut self, vm: &VmName) {
        self.candidates.shift_remove(vm);
        self.refresh_us = 0;
    }

    /// Chooses a VM that is not in `tried` and counts the attempt as in flight there.
    ///
    /// `random` is a uniform sample over all values of `u64`. Returns `None` when every VM was
    /// tried or is leaving.
    pub fn choose(&mut self, now_us: u64, tried: &[VmName], random: u64) -> Option<Choice> {
        self.refresh(now_us);
        let mut random = RandomSequence(random);
        let local = self.best_drawn(now_us, &self.local, tried, &mut random);
        if let Some(local) = local.filter(|local| local.cost <= LOCAL_COST_LIMIT) {
            return self.start(now_us, local.index, None);
        }
        let remote = self.best_drawn(now_us, &self.remote, tried, &mut random);
        match (local, remote) {
            (Some(local), Some(remote)) if remote.cost + self.hop_cost() < local.cost => {
                let is_failing = self.candidates[local.index].failure_cost(now_us) > FAILING_COST;
                let cause = if is_failing { CrossingCause::Failing } else { CrossingCause::Full };
                self.start(now_us, remote.index, Some(cause))
            }
            (Some(local), _) => self.start(now_us, local.index, None),
            (None, Some(remote)) => {
                let cause = self.cause_without_local(tried);
                self.start(now_us, remote.index, Some(cause))
            }
            (None, None) => self.choose_last_resort(now_us, tried),
        }
    }

    /// Chooses the VM to ask after a refusal: one that is expected to start the call within
    /// `max_wait_us`. Counts the attempt as in flight there.
    pub fn choose_after_refusal(
        &mut self,
        now_us: u64,
        tried: &[VmName],
        max_wait_us: u64,
        random: u64,
    ) -> NextChoice {
        if let Some(choice) = self.choose_with_room(now_us, tried, max_wait_us, random) {
            return NextChoice::Vm(choice);
        }
        let waits_us = self.usable(now_us, tried).map(|index| self.wait_us(now_us, index));
        NextChoice::NoneExpected { wait_us: waits_us.min() }
    }

    /// Returns whether a VM that is not in `tried` is expected to start a call within `max_wait_us`.
    pub fn has_room(&self, now_us: u64, tried: &[VmName], max_wait_us: u64) -> bool {
        self.usable(now_us, tried).any(|index| self.wait_us(now_us, index) <= max_wait_us)
    }

    /// Records the result of an attempt.
    pub fn finish(&mut self, now_us: u64, vm: &VmName, result: PlacementResult) {
        let Some(candidate) = self.candidates.get_mut(vm) else { return };
        match result {
            PlacementResult::Failed => candidate.estimate.fail_call(),
            _ => candidate.estimate.end_call(),
        }
        match result {
            PlacementResult::Succeeded => {
                candidate.failure_share.record(now_us, 0.0);
                candidate.consecutive_unavailable = 0;
                candidate.is_unreachable = false;
            }
            PlacementResult::Failed => {
                candidate.failure_share.record(now_us, 1.0);
                candidate.is_unreachable = false;
            }
            PlacementResult::Refused => {
                candidate.refused_until_us = now_us + REFUSED_COST_US;
                candidate.is_unreachable = false;
            }
            PlacementResult::Leaving | PlacementResult::Unreachable => {
                candidate.is_unreachable = true;
                candidate.back_off(now_us);
            }
        }
    }

    /// Removes an attempt that its caller cancelled from the calls in flight.
    pub fn cancel(&mut self, vm: &VmName) {
        if let Some(candidate) = self.candidates.get_mut(vm) {
            candidate.estimate.end_call();
        }
    }

    /// Records the load that a VM reported with an answer, and its rates if its node sends them.
    pub fn report(
        &mut self,
        now_us: u64,
        vm: &VmName,
        load: PlacementLoad,
        rates: Option<VmRates>,
    ) {
        let Some(candidate) = self.candidates.get_mut(vm) else { return };
        candidate.estimate.record(now_us, load, rates);
        self.prior.record(load, rates);
        // A leaving VM reports too, with an attempt that counts as unreachable.
        if !candidate.is_unreachable && !candidate.estimate.is_stuck(now_us, &self.prior) {
            candidate.consecutive_unavailable = 0;
        }
        let group = match candidate.data_centre == self.own_data_centre {
            true => &mut self.local,
            false => &mut self.remote,
        };
        let cost = candidate.estimate.reported_cost().unwrap_or(group.mean_cost);
        group.mean_cost += MEAN_WEIGHT * (cost - group.mean_cost);
    }

    fn refresh(&mut self, now_us: u64) {
        if now_us < self.refresh_us {
            return;
        }
        self.refresh_us = now_us + REFRESH_INTERVAL_US;
        self.local.clear();
        self.remote.clear();
        for (index, candidate) in self.candidates.values_mut().enumerate() {
            if candidate.is_leaving {
                continue;
            }
            let capacity = candidate.estimate.capacity(now_us, &self.prior);
            candidate.capacity = capacity;
            match candidate.data_centre == self.own_data_centre {
                true => self.local.add(index, capacity),
                false => self.remote.add(index, capacity),
            }
        }
    }

    /// Returns the VM with the lowest cost among a few drawn ones.
    fn best_drawn(
        &self,
        now_us: u64,
        group: &Group,
        tried: &[VmName],
        random: &mut RandomSequence,
    ) -> Option<Rated> {
        let mut best: Option<Rated> = None;
        let mut compared = 0;
        for _ in 0..MAX_DRAWS.min(group.indices.len() * 2) {
            let index = group.draw(random)?;
            if !self.is_usable(now_us, index, tried) {
                continue;
            }
            let cost = self.cost(now_us, index);
            let candidate = &self.candidates[index];
            let estimate = &candidate.estimate;
            let deviation = estimate.cost_deviation(now_us, &self.prior);
            let own_cost = OWN_CALL_COST * f64::from(estimate.own_in_flight);
            let own_cost = own_cost + group.excess_cost(now_us, candidate);
            let expected = (cost + own_cost) * candidate.expected_attempts(now_us);
            let sample = expected + deviation * random.next_normal();
            if best.is_none_or(|best| sample < best.sample) {
                best = Some(Rated { index, cost, sample });
            }
            compared += 1;
            if compared == DRAWN_VMS {
                break;
            }
        }
        // Draws may miss the few VMs that are left.
        best.or_else(|| {
            let usable = group.indices.iter().copied();
            let mut usable = usable.filter(|index| self.is_usable(now_us, *index, tried));
            let index = usable.next()?;
            let cost = self.cost(now_us, index);
            Some(Rated { index, cost, sample: cost })
        })
    }

    fn choose_with_room(
        &mut self,
        now_us: u64,
        tried: &[VmName],
        max_wait_us: u64,
        random: u64,
    ) -> Option<Choice> {
        self.refresh(now_us);
        let mut random = RandomSequence(random);
        let local = self.best_drawn(now_us, &self.local, tried, &mut random);
        let remote = self.best_drawn(now_us, &self.remote, tried, &mut random);
        let has_room = |rated: &Rated| self.wait_us(now_us, rated.index) <= max_wait_us;
        let drawn = local.filter(has_room).or(remote.filter(has_room)).map(|rated| rated.index);
        let index = drawn.or_else(|| {
            self.usable(now_us, tried).find(|index| self.wait_us(now_us, *index) <= max_wait_us)
        })?;
        let is_local = self.candidates[index].data_centre == self.own_data_centre;
        self.start(now_us, index, (!is_local).then_some(CrossingCause::Full))
    }

    /// Chooses the unavailable VM whose next probe is due first.
    fn choose_last_resort(&mut self, now_us: u64, tried: &[VmName]) -> Option<Choice> {
        let untried = self.candidates.iter().enumerate();
        let untried = untried.filter(|(_, (vm, c))| !c.is_leaving && !tried.contains(vm));
        let (index, _) = untried.min_by_key(|(_, (_, candidate))| candidate.next_probe_us)?;
        let is_local = self.candidates[index].data_centre == self.own_data_centre;
        self.start(now_us, index, (!is_local).then_some(CrossingCause::Failing))
    }

    fn start(
        &mut self,
        now_us: u64,
        index: usize,
        crossing: Option<CrossingCause>,
    ) -> Option<Choice> {
        let (vm, candidate) = self.candidates.get_index_mut(index)?;
        let report_age_us = candidate.estimate.report_age_us(now_us);
        candidate.estimate.start_call(now_us);
        candidate.recent_calls.record(now_us);
        match candidate.data_centre == self.own_data_centre {
            true => self.local.recent_calls.record(now_us),
            false => self.remote.recent_calls.record(now_us),
        }
        if candidate.is_unavailable(now_us, &self.prior) {
            candidate.back_off(now_us);
        }
        Some(Choice { vm: vm.clone(), crossing, report_age_us })
    }

    /// Returns whether a VM may be chosen: it was not tried, and is available or due for a probe.
    fn is_usable(&self, now_us: u64, index: usize, tried: &[VmName]) -> bool {
        let Some((vm, candidate)) = self.candidates.get_index(index) else { return false };
        let is_due =
            !candidate.is_unavailable(now_us, &self.prior) || now_us >= candidate.next_probe_us;
        is_due && !candidate.is_leaving && !tried.contains(vm)
    }

    fn usable<'a>(
        &'a self,
        now_us: u64,
        tried: &'a [VmName],
    ) -> impl Iterator<Item = usize> + use<'a> {
        (0..self.candidates.len()).filter(move |index| self.is_usable(now_us, *index, tried))
    }

    fn cost(&self, now_us: u64, index: usize) -> f64 {
        let candidate = &self.candidates[index];
        let is_refusing = now_us < candidate.refused_until_us;
        let refused_cost = if is_refusing { REFUSED_COST } else { 0.0 };
        let mean_cost = match candidate.data_centre == self.own_data_centre {
            true => self.local.mean_cost,
            false => self.remote.mean_cost,
        };
        let load_cost = candidate.estimate.cost(now_us, &self.prior, mean_cost);
        load_cost + refused_cost + candidate.failure_cost(now_us)
    }

    /// Returns the expected wait for a slot plus one standard deviation, in microseconds. Under
    /// overload all VMs are just below the wait at which they refuse, and the next free place goes
    /// to whoever asks first.
    fn wait_us(&self, now_us: u64, index: usize) -> u64 {
        let candidate = &self.candidates[index];
        let cost = self.cost(now_us, index) - candidate.failure_cost(now_us)
            + candidate.estimate.cost_deviation(now_us, &self.prior);
        ((cost - 1.0).max(0.0) * self.prior.service_us) as u64
    }

    fn hop_cost(&self) -> f64 {
        HOP_COST + HOP_US / self.prior.service_us
    }

    fn cause_without_local(&self, tried: &[VmName]) -> CrossingCause {
        let has_untried =
            self.local.indices.iter().filter_map(|index| self.candidates.get_index(*index));
        let mut untried = has_untried.filter(|(vm, _)| !tried.contains(*vm));
        match untried.next() {
            Some(_) => CrossingCause::Failing,
            None => CrossingCause::NoVm,
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct Rated {
    index: usize,
    /// Expected cost.
    cost: f64,
    /// Sample of the cost, as uncertain as the estimate.
    sample: f64,
}

/// Samples derived from one random number (SplitMix64).
struct RandomSequence(u64);

impl RandomSequence {
    /// Returns a sample with mean 0 and variance 1 that is nearly normal (Irwin-Hall of 3).
    fn next_normal(&mut self) -> f64 {
        2.0 * (self.next_unit() + self.next_unit() + self.next_unit() - 1.5)
    }

    /// Returns a sample from 0.0 inclusive to 1.0 exclusive.
    fn next_unit(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        ((mixed ^ (mixed >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }
}

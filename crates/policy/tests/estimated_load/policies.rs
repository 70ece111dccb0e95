//! Balancing decisions that the tests compare, each from the view of one node.

use model::{DataCentreName, VmName};
use policy::estimated_load::{EstimatedLoad, NextChoice};
use policy::placement::{Placement, PlacementLoad, PlacementResult};
use policy::vm_rates::VmRates;

use crate::simulation::{MAX_WAIT_US, MS, SERVICE_US};

/// A balancing decision.
pub trait Policy {
    fn add(&mut self, vm: &VmName, data_centre: &DataCentreName);

    /// Chooses a VM. `loads` are the loads of all VMs now, for decisions that send probes.
    fn choose(
        &mut self,
        now_us: u64,
        tried: &[VmName],
        is_refused: bool,
        loads: &[PlacementLoad],
        random: u64,
    ) -> Option<VmName>;

    fn finish(&mut self, now_us: u64, vm: &VmName, result: PlacementResult, latency_us: u64);

    fn report(&mut self, now_us: u64, vm: &VmName, load: PlacementLoad, rates: VmRates);
}

impl Policy for Placement {
    fn add(&mut self, vm: &VmName, data_centre: &DataCentreName) {
        self.upsert(vm, data_centre, false);
    }

    fn choose(
        &mut self,
        now_us: u64,
        tried: &[VmName],
        _is_refused: bool,
        _loads: &[PlacementLoad],
        random: u64,
    ) -> Option<VmName> {
        Placement::choose(self, now_us, tried, random)
    }

    fn finish(&mut self, now_us: u64, vm: &VmName, result: PlacementResult, _latency_us: u64) {
        Placement::finish(self, now_us, vm, result);
    }

    fn report(&mut self, _now_us: u64, vm: &VmName, load: PlacementLoad, _rates: VmRates) {
        Placement::report(self, vm, load);
    }
}

impl Policy for EstimatedLoad {
    fn add(&mut self, vm: &VmName, data_centre: &DataCentreName) {
        self.upsert(vm, data_centre, false);
    }

    fn choose(
        &mut self,
        now_us: u64,
        tried: &[VmName],
        is_refused: bool,
        _loads: &[PlacementLoad],
        random: u64,
    ) -> Option<VmName> {
        if !is_refused {
            return EstimatedLoad::choose(self, now_us, tried, random).map(|choice| choice.vm);
        }
        match self.choose_after_refusal(now_us, tried, MAX_WAIT_US, random) {
            NextChoice::Vm(choice) => Some(choice.vm),
            NextChoice::NoneExpected { .. } => None,
        }
    }

    fn finish(&mut self, now_us: u64, vm: &VmName, result: PlacementResult, _latency_us: u64) {
        EstimatedLoad::finish(self, now_us, vm, result);
    }

    fn report(&mut self, now_us: u64, vm: &VmName, load: PlacementLoad, rates: VmRates) {
        EstimatedLoad::report(self, now_us, vm, load, Some(rates));
    }
}

/// What the small decisions below know of a VM.
struct Known {
    vm: VmName,
    load: PlacementLoad,
    /// Mean latency of this node's calls.
    latency_us: f64,
    own_in_flight: u32,
    /// Calls per second that C3 allows itself.
    allowed_per_s: f64,
    tokens: f64,
    refilled_us: u64,
}

/// Ways to choose that the small decisions have.
#[derive(Clone, Copy)]
pub enum Ranking {
    /// The lowest utilization of the last reports over all VMs.
    LeastLoaded,
    /// At random, with weights inverse to the mean latency.
    LatencyWeighted,
    /// Prequal: a pool of probe results; the lowest latency among those that are not hot by their
    /// calls in flight, or else the fewest calls in flight.
    Probing,
    /// C3: the lowest cubic score of queue and service time, with a rate per VM that grows with
    /// answers and falls with refusals.
    ReplicaScore,
}

/// One of the small decisions.
pub struct SmallPolicy {
    ranking: Ranking,
    nodes: usize,
    known: Vec<Known>,
    /// Probe results: VM, load, when.
    probes: Vec<(usize, PlacementLoad, u64)>,
}

/// Number of probes sent for a call.
const PROBES_PER_CALL: usize = 3;
/// Maximum number of probe results kept.
const MAX_PROBES: usize = 16;
/// Quantile of the calls in flight above which a VM is hot.
const HOT_QUANTILE: f64 = 0.84;

impl SmallPolicy {
    pub fn new(ranking: Ranking, nodes: usize) -> Self {
        Self { ranking, nodes, known: Vec::new(), probes: Vec::new() }
    }

    fn least_by(&self, tried: &[VmName], score: impl Fn(usize) -> f64) -> Option<usize> {
        let untried = (0..self.known.len()).filter(|index| !tried.contains(&self.known[*index].vm));
        untried.min_by(|a, b| score(*a).total_cmp(&score(*b)))
    }

    fn least_loaded(&self, tried: &[VmName]) -> Option<usize> {
        self.least_by(tried, |index| {
            let Known { load, own_in_flight, .. } = &self.known[index];
            f64::from((load.in_flight + load.queued).max(*own_in_flight)) / f64::from(load.limit)
        })
    }

    fn latency_weighted(&self, tried: &[VmName], random: u64) -> Option<usize> {
        let untried = (0..self.known.len()).filter(|index| !tried.contains(&self.known[*index].vm));
        let weights: Vec<_> = untried.map(|i| (i, 1.0 / self.known[i].latency_us)).collect();
        let total: f64 = weights.iter().map(|(_, weight)| weight).sum();
        let mut position = random as f64 / u64::MAX as f64 * total;
        for (index, weight) in &weights {
            position -= weight;
            if position <= 0.0 {
                return Some(*index);
            }
        }
        weights.last().map(|(index, _)| *index)
    }

    fn probe(&mut self, now_us: u64, loads: &[PlacementLoad], random: u64) {
        let mut random = random;
        for _ in 0..PROBES_PER_CALL {
            random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            let vm = (random >> 33) as usize % loads.len();
            self.probes.push((vm, loads[vm], now_us));
        }
        let surplus = self.probes.len().saturating_sub(MAX_PROBES);
        self.probes.drain(..surplus);
        self.probes.retain(|(.., at_us)| now_us - at_us < 1_000 * MS);
    }

    fn probed(&mut self, tried: &[VmName]) -> Option<usize> {
        let calls = |load: &PlacementLoad| load.in_flight + load.queued;
        let mut in_flight: Vec<_> = self.probes.iter().map(|(_, load, _)| calls(load)).collect();
        in_flight.sort_unstable();
        let hot = in_flight.get((in_flight.len() as f64 * HOT_QUANTILE) as usize).copied()?;
        let usable = self.probes.iter().enumerate();
        let usable = usable.filter(|(_, (vm, ..))| !tried.contains(&self.known[*vm].vm));
        let (position, _) = usable.min_by(|(_, a), (_, b)| {
            let key = |(vm, load, _): &(usize, PlacementLoad, u64)| match calls(load) < hot {
                true => (0, self.known[*vm].latency_us),
                false => (1, f64::from(calls(load))),
            };
            let (a, b) = (key(a), key(b));
            a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))
        })?;
        Some(self.probes.remove(position).0)
    }

    fn replica_ranked(&mut self, now_us: u64, tried: &[VmName]) -> Option<usize> {
        for known in &mut self.known {
            let elapsed_s = (now_us - known.refilled_us) as f64 / 1e6;
            known.tokens = (known.tokens + known.allowed_per_s * elapsed_s).min(4.0);
            known.refilled_us = now_us;
        }
        let nodes = self.nodes as f64;
        let score = |index: usize| {
            let known = &self.known[index];
            let queue = f64::from(known.load.queued) + f64::from(known.load.in_flight);
            let queue = 1.0 + f64::from(known.own_in_flight) * nodes + queue;
            let over_rate = if known.tokens < 1.0 { 1e12 } else { 0.0 };
            let service_us = SERVICE_US.min(known.latency_us);
            known.latency_us - service_us + queue.powi(3) * service_us / 1e3 + over_rate
        };
        let index = self.least_by(tried, score)?;
        self.known[index].tokens -= 1.0;
        Some(index)
    }

    fn known_mut(&mut self, vm: &VmName) -> &mut Known {
        self.known.iter_mut().find(|known| known.vm == *vm).expect("the VM exists")
    }
}

impl Policy for SmallPolicy {
    fn add(&mut self, vm: &VmName, _data_centre: &DataCentreName) {
        self.known.push(Known {
            vm: vm.clone(),
            load: PlacementLoad { in_flight: 0, queued: 0, limit: 16 },
            latency_us: SERVICE_US,
            own_in_flight: 0,
            allowed_per_s: 10.0,
            tokens: 4.0,
            refilled_us: 0,
        });
    }

    fn choose(
        &mut self,
        now_us: u64,
        tried: &[VmName],
        _is_refused: bool,
        loads: &[PlacementLoad],
        random: u64,
    ) -> Option<VmName> {
        let index = match self.ranking {
            Ranking::LeastLoaded => self.least_loaded(tried),
            Ranking::LatencyWeighted => self.latency_weighted(tried, random),
            Ranking::Probing => {
                let chosen = self.probed(tried);
                // Probes are asynchronous: their results serve later calls.
                self.probe(now_us, loads, random);
                chosen.or_else(|| self.latency_weighted(tried, random))
            }
            Ranking::ReplicaScore => self.replica_ranked(now_us, tried),
        }?;
        self.known[index].own_in_flight += 1;
        Some(self.known[index].vm.clone())
    }

    fn finish(&mut self, _now_us: u64, vm: &VmName, result: PlacementResult, latency_us: u64) {
        let known = self.known_mut(vm);
        known.own_in_flight -= 1;
        match result {
            PlacementResult::Refused => known.allowed_per_s = (known.allowed_per_s * 0.8).max(1.0),
            _ => {
                known.latency_us += 0.1 * (latency_us as f64 - known.latency_us);
                known.allowed_per_s = (known.allowed_per_s + 0.5).min(1_000.0);
            }
        }
    }

    fn report(&mut self, _now_us: u64, vm: &VmName, load: PlacementLoad, _rates: VmRates) {
        self.known_mut(vm).load = load;
    }
}

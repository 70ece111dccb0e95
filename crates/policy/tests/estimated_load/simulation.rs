//! Event simulation of nodes that each have their own copy of a balancing decision, and of VMs that
//! report only with their answers.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};

use model::{DataCentreName, VmName};
use policy::placement::{PlacementLoad, PlacementResult};
use policy::vm_rates::{RateMeter, VmRates};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::policies::Policy;

pub const S: u64 = 1_000_000;
pub const MS: u64 = 1_000;

/// Share of the slots that a node admits, as in `policy::slots`.
const USABLE_SHARE: f64 = 0.95;
/// Time between a node and a VM of the same data centre, one way.
const LOCAL_DELAY_US: u64 = MS / 2;
/// Time between a node and a VM of another data centre, one way.
const REMOTE_DELAY_US: u64 = 3 * MS;
/// Maximum number of VMs that refuse one call, as `MAX_VMS_TRIED` of the mesh.
const MAX_VMS_TRIED: usize = 4;
/// Maximum wait of a call for a slot.
pub const MAX_WAIT_US: u64 = 100 * MS;
/// Mean service time at speed 1.0.
pub const SERVICE_US: f64 = 40_000.0;
/// Interval at which the busy slots of the VMs are sampled.
const SAMPLE_US: u64 = 10 * MS;

/// Load pattern and VMs of one run.
#[derive(Clone)]
pub struct Scenario {
    pub nodes: usize,
    pub vms: usize,
    pub data_centres: usize,
    pub slots: u32,
    /// Demand as a share of the capacity of all VMs at their usual speeds.
    pub demand: f64,
    /// Factor on the demand of a data centre.
    pub demand_at: fn(now_us: u64, data_centre: usize) -> f64,
    /// Speed of a VM; 0 while it is stuck.
    pub speed_at: fn(now_us: u64, vm: usize) -> f64,
    /// Usual speed of a VM, which sets the demand.
    pub usual_speed: fn(vm: usize) -> f64,
    /// Additional time that a report takes to a node.
    pub report_delay_us: u64,
    /// Time in which a node takes one report of a VM at most.
    pub report_interval_us: u64,
    pub duration_us: u64,
    /// Start of the time that is measured.
    pub measure_from_us: u64,
    pub seed: u64,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            nodes: 90,
            vms: 12,
            data_centres: 1,
            slots: 20,
            demand: 0.6,
            demand_at: |_, _| 1.0,
            speed_at: |_, _| 1.0,
            usual_speed: |_| 1.0,
            report_delay_us: 0,
            report_interval_us: 0,
            duration_us: 9 * S,
            measure_from_us: 2 * S,
            seed: 1,
        }
    }
}

/// What callers lose, and how even the load is.
#[derive(Debug, Clone, Copy, Default)]
pub struct Outcome {
    pub calls: u64,
    pub refused: u64,
    /// Refused calls while a VM was below 0.7 of its slots.
    pub refused_with_room: u64,
    /// Refusals by VMs, of which a call may get several.
    pub refusals_by_vms: u64,
    pub p99_wait_us: u64,
    pub p99_latency_us: u64,
    /// Busiest over mean utilisation of the VMs, over the measured time.
    pub busiest: f64,
    /// Mean of the same over windows of one second, which contains the noise of the arrivals.
    pub busiest_in_a_second: f64,
    pub crossed: u64,
    /// Calls that were answered after a second.
    pub late: u64,
}

impl Outcome {
    /// Share of the refused calls that were refused while a VM was below 0.7 of its slots.
    pub fn wrong_refusals(&self) -> f64 {
        self.refused_with_room as f64 / self.refused.max(1) as f64
    }

    pub fn refused_share(&self) -> f64 {
        self.refused as f64 / self.calls.max(1) as f64
    }
}

#[derive(Clone)]
struct Call {
    node: usize,
    started_us: u64,
    tried: Vec<VmName>,
    /// Service time at speed 1.0.
    work_us: f64,
    sent_us: u64,
}

/// Report of a VM, with the call that it answers.
struct Answer {
    call: Call,
    vm: usize,
    load: PlacementLoad,
    rates: VmRates,
    result: PlacementResult,
    wait_us: u64,
}

enum Event {
    Arrival { node: usize },
    AtVm { call: Call, vm: usize },
    Progress { vm: usize, epoch: u64 },
    Answer(Box<Answer>),
    Report { node: usize, vm: usize, load: PlacementLoad, rates: VmRates },
    Sample,
}

struct Running {
    call: Call,
    remaining_us: f64,
    began_us: u64,
    wait_us: u64,
}

struct SimulatedVm {
    name: VmName,
    data_centre: usize,
    running: Vec<Running>,
    queue: VecDeque<(u64, Call)>,
    meter: RateMeter,
    updated_us: u64,
    speed: f64,
    /// Distinguishes the valid progress event from replaced ones.
    epoch: u64,
    mean_service_us: f64,
}

impl SimulatedVm {
    fn load(&self, limit: u32) -> PlacementLoad {
        PlacementLoad {
            in_flight: self.running.len() as u32,
            queued: self.queue.len() as u32,
            limit,
        }
    }

    fn advance(&mut self, now_us: u64) {
        let done = (now_us - self.updated_us) as f64 * self.speed;
        self.updated_us = now_us;
        self.running.iter_mut().for_each(|running| running.remaining_us -= done);
    }
}

struct Simulation<'a, P> {
    scenario: &'a Scenario,
    nodes: Vec<P>,
    vms: Vec<SimulatedVm>,
    events: BinaryHeap<Reverse<(u64, u64)>>,
    pending: HashMap<u64, Event>,
    next_event: u64,
    random: StdRng,
    /// When a node last took a report of a VM.
    reported_us: HashMap<(usize, usize), u64>,
    limit: u32,
    waits_us: Vec<u64>,
    latencies_us: Vec<u64>,
    busy: Vec<f64>,
    busy_in_second: Vec<f64>,
    seconds: Vec<f64>,
    outcome: Outcome,
}

pub fn data_centre(index: usize) -> DataCentreName {
    DataCentreName::new(format!("dc-{index}")).expect("the name is valid")
}

pub fn vm_name(index: usize) -> VmName {
    VmName::new(format!("vm-{index}")).expect("the name is valid")
}

/// Runs a scenario with one copy of a decision at each node.
pub fn simulate<P: Policy>(
    scenario: &Scenario,
    new_policy: impl Fn(DataCentreName) -> P,
) -> Outcome {
    let mut nodes = Vec::new();
    for node in 0..scenario.nodes {
        let mut policy = new_policy(data_centre(node % scenario.data_centres));
        for vm in 0..scenario.vms {
            policy.add(&vm_name(vm), &data_centre(vm % scenario.data_centres));
        }
        nodes.push(policy);
    }
    let vms = (0..scenario.vms).map(|vm| SimulatedVm {
        name: vm_name(vm),
        data_centre: vm % scenario.data_centres,
        running: Vec::new(),
        queue: VecDeque::new(),
        meter: RateMeter::new(0),
        updated_us: 0,
        speed: (scenario.speed_at)(0, vm),
        epoch: 0,
        mean_service_us: SERVICE_US,
    });
    let simulation = Simulation {
        scenario,
        nodes,
        vms: vms.collect(),
        events: BinaryHeap::new(),
        pending: HashMap::new(),
        next_event: 0,
        reported_us: HashMap::new(),
        random: StdRng::seed_from_u64(scenario.seed),
        limit: (f64::from(scenario.slots) * USABLE_SHARE) as u32,
        waits_us: Vec::new(),
        latencies_us: Vec::new(),
        busy: vec![0.0; scenario.vms],
        busy_in_second: vec![0.0; scenario.vms],
        seconds: Vec::new(),
        outcome: Outcome::default(),
    };
    simulation.run()
}

impl<P: Policy> Simulation<'_, P> {
    fn run(mut self) -> Outcome {
        for node in 0..self.scenario.nodes {
            self.schedule_arrival(0, node);
        }
        self.schedule(SAMPLE_US, Event::Sample);
        while let Some(Reverse((now_us, id))) = self.events.pop() {
            if now_us > self.scenario.duration_us {
                break;
            }
            if let Some(event) = self.pending.remove(&id) {
                self.handle(now_us, event);
            }
        }
        let mean = self.busy.iter().sum::<f64>() / self.busy.len() as f64;
        self.outcome.busiest = self.busy.iter().copied().fold(0.0, f64::max) / mean;
        self.outcome.busiest_in_a_second =
            self.seconds.iter().sum::<f64>() / self.seconds.len().max(1) as f64;
        self.outcome.p99_wait_us = percentile_99(&mut self.waits_us);
        self.outcome.p99_latency_us = percentile_99(&mut self.latencies_us);
        self.outcome
    }

    fn schedule(&mut self, at_us: u64, event: Event) {
        self.next_event += 1;
        self.events.push(Reverse((at_us, self.next_event)));
        self.pending.insert(self.next_event, event);
    }

    fn is_measured(&self, now_us: u64) -> bool {
        now_us >= self.scenario.measure_from_us
    }

    fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.random.random::<f64>()).ln()
    }

    /// Schedules the next arrival at a node, by thinning a Poisson process of twice the usual rate.
    fn schedule_arrival(&mut self, now_us: u64, node: usize) {
        let speeds = (0..self.scenario.vms).map(self.scenario.usual_speed);
        let capacity_per_us = speeds.sum::<f64>() * f64::from(self.limit) / SERVICE_US;
        let rate = self.scenario.demand * capacity_per_us / self.scenario.nodes as f64;
        let mut at_us = now_us as f64;
        loop {
            at_us += self.exponential(1.0 / (rate * 4.0)).max(1.0);
            let data_centre = node % self.scenario.data_centres;
            let factor = (self.scenario.demand_at)(at_us as u64, data_centre);
            if self.random.random::<f64>() * 4.0 < factor {
                break;
            }
            if at_us as u64 > self.scenario.duration_us {
                return;
            }
        }
        self.schedule(at_us as u64, Event::Arrival { node });
    }

    fn handle(&mut self, now_us: u64, event: Event) {
        match event {
            Event::Arrival { node } => {
                self.schedule_arrival(now_us, node);
                let work_us = self.exponential(SERVICE_US / 2.0) + SERVICE_US / 2.0;
                let call =
                    Call { node, started_us: now_us, tried: Vec::new(), work_us, sent_us: now_us };
                if self.is_measured(now_us) {
                    self.outcome.calls += 1;
                }
                self.send(now_us, call, false);
            }
            Event::AtVm { call, vm } => self.offer(now_us, call, vm),
            Event::Progress { vm, epoch } if self.vms[vm].epoch == epoch => {
                self.vms[vm].advance(now_us);
                self.settle(now_us, vm);
            }
            Event::Progress { .. } => {}
            Event::Answer(answer) => self.take_answer(now_us, *answer),
            Event::Report { node, vm, load, rates } => {
                self.nodes[node].report(now_us, &vm_name(vm), load, rates);
            }
            Event::Sample => self.sample(now_us),
        }
    }

    fn send(&mut self, now_us: u64, mut call: Call, is_refused: bool) {
        // Other VMs are probed by some of the compared decisions. A probe reads the load now.
        let loads: Vec<_> = self.vms.iter().map(|vm| vm.load(self.limit)).collect();
        let random = self.random.random();
        let node = &mut self.nodes[call.node];
        let chosen = match is_refused && call.tried.len() >= MAX_VMS_TRIED {
            true => None,
            false => node.choose(now_us, &call.tried, is_refused, &loads, random),
        };
        let Some(name) = chosen else { return self.refuse(now_us) };
        let vm = self.vms.iter().position(|vm| vm.name == name).expect("the VM exists");
        let is_remote = self.vms[vm].data_centre != call.node % self.scenario.data_centres;
        if is_remote && self.is_measured(now_us) {
            self.outcome.crossed += 1;
        }
        call.tried.push(name);
        call.sent_us = now_us;
        self.schedule(now_us + self.delay_us(call.node, vm), Event::AtVm { call, vm });
    }

    fn refuse(&mut self, now_us: u64) {
        if !self.is_measured(now_us) {
            return;
        }
        self.outcome.refused += 1;
        let limit = self.limit;
        let has_room = |vm: &SimulatedVm| {
            let busy = vm.running.len() + vm.queue.len();
            vm.speed > 0.0 && (busy as f64) < 0.7 * f64::from(limit)
        };
        self.outcome.refused_with_room += u64::from(self.vms.iter().any(has_room));
    }

    fn delay_us(&self, node: usize, vm: usize) -> u64 {
        match self.vms[vm].data_centre == node % self.scenario.data_centres {
            true => LOCAL_DELAY_US,
            false => REMOTE_DELAY_US,
        }
    }

    fn offer(&mut self, now_us: u64, call: Call, index: usize) {
        let limit = self.limit as usize;
        let vm = &mut self.vms[index];
        vm.advance(now_us);
        let wait_us = match vm.running.len() < limit {
            true => 0.0,
            false => (vm.queue.len() + 1) as f64 * vm.mean_service_us / limit as f64,
        };
        if wait_us > MAX_WAIT_US as f64 {
            if now_us >= self.scenario.measure_from_us {
                self.outcome.refusals_by_vms += 1;
            }
            return self.answer(now_us, index, call, PlacementResult::Refused, 0);
        }
        vm.meter.record_arrival(now_us);
        vm.queue.push_back((now_us, call));
        self.settle(now_us, index);
    }

    /// Ends finished calls, starts queued ones and schedules the next end.
    fn settle(&mut self, now_us: u64, index: usize) {
        let limit = self.limit as usize;
        let vm = &mut self.vms[index];
        let mut ended = Vec::new();
        let mut kept = Vec::new();
        for running in std::mem::take(&mut vm.running) {
            match running.remaining_us < 1.0 {
                true => ended.push(running),
                false => kept.push(running),
            }
        }
        vm.running = kept;
        for running in &ended {
            let service_us = now_us - running.began_us;
            vm.meter.record_end(now_us);
            vm.meter.record_service_time(now_us, service_us);
            vm.mean_service_us += 0.1 * (service_us as f64 - vm.mean_service_us);
        }
        while vm.running.len() < limit {
            let Some((queued_us, call)) = vm.queue.pop_front() else { break };
            let (wait_us, remaining_us) = (now_us - queued_us, call.work_us);
            vm.running.push(Running { call, remaining_us, began_us: now_us, wait_us });
        }
        vm.speed = (self.scenario.speed_at)(now_us, index);
        vm.epoch += 1;
        let epoch = vm.epoch;
        let next = vm.running.iter().map(|running| running.remaining_us).reduce(f64::min);
        if let Some(next) = next {
            let until_end_us = (next / vm.speed.max(0.001)).ceil().max(1.0) as u64;
            // The speed may change before then.
            let at_us = now_us + until_end_us.min(10 * MS);
            self.schedule(at_us, Event::Progress { vm: index, epoch });
        }
        for running in ended {
            self.answer(now_us, index, running.call, PlacementResult::Succeeded, running.wait_us);
        }
    }

    fn answer(&mut self, now_us: u64, vm: usize, call: Call, result: PlacementResult, wait: u64) {
        let load = self.vms[vm].load(self.limit);
        let rates = self.vms[vm].meter.rates(now_us);
        let at_us = now_us + self.delay_us(call.node, vm);
        let answer = Answer { call, vm, load, rates, result, wait_us: wait };
        self.schedule(at_us, Event::Answer(Box::new(answer)));
    }

    fn take_answer(&mut self, now_us: u64, answer: Answer) {
        let Answer { call, vm, load, rates, result, wait_us } = answer;
        let name = self.vms[vm].name.clone();
        let node = call.node;
        self.nodes[node].finish(now_us, &name, result, now_us - call.sent_us);
        let last_us = self.reported_us.get(&(node, vm)).copied();
        let is_due =
            last_us.is_none_or(|last_us| now_us - last_us >= self.scenario.report_interval_us);
        if is_due {
            self.reported_us.insert((node, vm), now_us);
        }
        match self.scenario.report_delay_us {
            _ if !is_due => {}
            0 => self.nodes[node].report(now_us, &name, load, rates),
            delay_us => self.schedule(now_us + delay_us, Event::Report { node, vm, load, rates }),
        }
        if result == PlacementResult::Refused {
            return self.send(now_us, call, true);
        }
        if call.started_us >= self.scenario.measure_from_us {
            self.waits_us.push(wait_us);
            self.latencies_us.push(now_us - call.started_us);
            self.outcome.late += u64::from(now_us - call.started_us > S);
        }
    }

    fn sample(&mut self, now_us: u64) {
        self.schedule(now_us + SAMPLE_US, Event::Sample);
        if !self.is_measured(now_us) {
            return;
        }
        for (index, vm) in self.vms.iter().enumerate() {
            let utilization = vm.running.len() as f64 / f64::from(self.limit);
            self.busy[index] += utilization;
            self.busy_in_second[index] += utilization;
        }
        if now_us % S < SAMPLE_US {
            let mean = self.busy_in_second.iter().sum::<f64>() / self.busy_in_second.len() as f64;
            let busiest = self.busy_in_second.iter().copied().fold(0.0, f64::max);
            if mean > 0.0 {
                self.seconds.push(busiest / mean);
            }
            self.busy_in_second.fill(0.0);
        }
    }
}

fn percentile_99(values: &mut [u64]) -> u64 {
    values.sort_unstable();
    values.get(values.len() * 99 / 100).copied().unwrap_or(0)
}

//! Replay of a load on a bottleneck service, with many entry nodes and delays for answers.
//!
//! Two kinds of chains enter at all nodes, run at the nodes of two services in the middle and make
//! four calls in sequence at the bottleneck. A third kind goes to the bottleneck directly. Calls of
//! chains are not retried: the bound on retries is far below what this load needs.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::ops::Range;

use policy::decaying_mean::DecayingMean;
use policy::overload::{
    Exchange, ExchangeAnswer, NodeOverload, OVERLOAD_TIME_CONSTANT_US, RequestEnd, RequestThrottle,
};
use policy::shared_failures::{FailureShare, MergedShare, RouteFailures, RunCounts};
use policy::slots::{
    CallEnd, CallPriority, Decision, Event as SlotEvent, RunningCall, SlotAdmission, SlotRequest,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

pub const MS: u64 = 1_000;
pub const S: u64 = 1_000_000;
/// One-way delay between two nodes.
const HOP_US: u64 = 5 * MS;
/// Width of an interval of the results.
pub const INTERVAL_US: u64 = 100 * MS;
/// Tries at other VMs of a call that the node beside the upstream refused.
const MAX_VMS_TRIED: u32 = 4;
/// Time after which an upstream rejects a call.
const REJECTION_US: u64 = 3 * MS;
/// Share of the calls that the bottleneck rejects at random.
const REJECTED_SHARE: f64 = 0.55;
/// Interval at which the bottleneck refuses queued calls that are late.
const POLL_INTERVAL_US: u64 = 20 * MS;
const VMS: usize = 27;
const SLOTS: u32 = 20;

pub const CHAIN: usize = 0;
pub const URGENT_CHAIN: usize = 1;
pub const DIRECT: usize = 2;
/// Requests per second of each kind.
pub const RATES_PER_S: [f64; 3] = [1_164.0, 396.0, 272.0];
const PRIORITY_LEVELS: [u32; 3] = [2, 0, 1];
const SERVICE_US: [u64; 3] = [30 * MS, 30 * MS, 480 * MS];
/// Nodes beside the upstreams of the service of each kind; the direct kind uses the bottleneck's.
const MIDDLE_NODES: [usize; 2] = [35, 22];

/// What decides how many requests are admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Evidence {
    /// The results of the entry node's own requests.
    Own,
    /// Shared failure data.
    Shared,
    /// Shared failure data, with a collector that does not answer.
    SharedWithoutCollector,
}

/// Load and decision of a replay.
#[derive(Debug, Clone)]
pub struct Scenario {
    pub entries: usize,
    pub evidence: Evidence,
    /// Number of calls that a chain makes, by kind.
    pub calls: [u32; 3],
    /// Time in which the bottleneck rejects calls at random.
    pub rejecting_us: Range<u64>,
    /// Time in which the rates of chains are multiplied.
    pub burst_us: Range<u64>,
    pub burst_factor: f64,
    /// Time in which the first collector of each route does not answer.
    pub lost_us: Range<u64>,
    pub end_us: u64,
    pub seed: u64,
}

impl Scenario {
    /// Returns the load of the page, 10 s earlier: calls are rejected from second 3 to second 11.
    pub fn rejecting(entries: usize, evidence: Evidence) -> Self {
        Self {
            entries,
            evidence,
            calls: [4, 4, 1],
            rejecting_us: 3 * S..11 * S,
            burst_us: 0..0,
            burst_factor: 1.0,
            lost_us: 0..0,
            end_us: 15 * S,
            seed: 7,
        }
    }
}

/// Requests of one kind that arrived in one interval.
#[derive(Debug, Clone, Copy, Default)]
pub struct Counts {
    pub offered: u32,
    pub admitted: u32,
    pub succeeded: u32,
    pub failed_after_work: u32,
}

impl Counts {
    fn add(&mut self, other: Self) {
        self.offered += other.offered;
        self.admitted += other.admitted;
        self.succeeded += other.succeeded;
        self.failed_after_work += other.failed_after_work;
    }
}

/// Result of a replay.
pub struct Replay {
    pub counts: Vec<[Counts; 3]>,
    /// Admission ratios of all entries by kind, once per interval.
    pub ratios: Vec<[Vec<f64>; 3]>,
    /// Merged data of the first entry by kind, once per interval.
    pub merged: Vec<[MergedShare; 3]>,
    /// Share of the slots of the bottleneck in use, once per interval.
    pub utilization: Vec<f64>,
    pub exchanges: u32,
}

impl Replay {
    /// Returns the sum of the counts of a kind over a time.
    pub fn sum(&self, kind: usize, time_us: Range<u64>) -> Counts {
        let intervals =
            (time_us.start / INTERVAL_US) as usize..(time_us.end / INTERVAL_US) as usize;
        let mut sum = Counts::default();
        for counts in &self.counts[intervals] {
            sum.add(counts[kind]);
        }
        sum
    }

    /// Returns the share of all requests that failed after work.
    pub fn failed_share(&self, time_us: Range<u64>) -> f64 {
        let sums = [CHAIN, URGENT_CHAIN, DIRECT].map(|kind| self.sum(kind, time_us.clone()));
        let failed: u32 = sums.iter().map(|sum| sum.failed_after_work).sum();
        let offered: u32 = sums.iter().map(|sum| sum.offered).sum();
        f64::from(failed) / f64::from(offered)
    }

    /// Returns the first time from `from_us` after which the admitted share of a kind stays on one
    /// side for half a second, in seconds after `from_us`.
    pub fn seconds_until(&self, kind: usize, from_us: u64, is_met: impl Fn(f64) -> bool) -> f64 {
        let mut at_us = from_us;
        while at_us + S / 2 <= self.counts.len() as u64 * INTERVAL_US {
            let sum = self.sum(kind, at_us..at_us + S / 2);
            if is_met(f64::from(sum.admitted) / f64::from(sum.offered)) {
                return (at_us - from_us) as f64 / S as f64;
            }
            at_us += INTERVAL_US;
        }
        f64::INFINITY
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive { kind: usize },
    Run { request: usize },
    Call { request: usize },
    EndCall { request: usize, vm: usize, is_rejected: bool },
    AnswerCall { request: usize, vm: usize, is_served: bool },
    Answer { request: usize },
    Poll { vm: usize },
    Sample,
    Exchange { entry: usize, kind: usize, rank: usize, runs: u32, failed: u32, wants_probe: bool },
    AnswerExchange { entry: usize, kind: usize, share: (u32, u32), is_granted: bool, overload: u32 },
}

struct Request {
    kind: usize,
    entry: usize,
    node: usize,
    arrived_us: u64,
    deadline_us: u64,
    sequence: u32,
    calls_left: u32,
    tries: u32,
    offered_us: u64,
    end: RequestEnd,
    is_run: bool,
    share: Option<FailureShare>,
    overload: f64,
}

/// Node beside an upstream.
struct Node {
    overload: NodeOverload,
    called: DecayingMean,
    failures: RouteFailures,
}

impl Node {
    fn new() -> Self {
        Self {
            overload: NodeOverload::default(),
            called: DecayingMean::new(OVERLOAD_TIME_CONSTANT_US),
            failures: RouteFailures::default(),
        }
    }
}

struct Simulation<'a> {
    scenario: &'a Scenario,
    random: StdRng,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    event_count: u64,
    /// Throttle of each entry by kind.
    throttles: Vec<[RequestThrottle; 3]>,
    /// Overload that each entry knows of the service of each kind.
    known_overload: Vec<[DecayingMean; 3]>,
    middle: [Vec<Node>; 2],
    bottleneck: Vec<(SlotAdmission, Node)>,
    /// Whether each VM of the bottleneck has an event that refuses calls that are late.
    is_poll_due: Vec<bool>,
    requests: Vec<Request>,
    replay: Replay,
}

/// Runs a replay.
pub fn replay(scenario: &Scenario) -> Replay {
    let throttle = || match scenario.evidence {
        Evidence::Own => RequestThrottle::default(),
        _ => RequestThrottle::default().with_shared_failures(),
    };
    let throttles = (0..scenario.entries).map(|_| [throttle(), throttle(), throttle()]);
    let known = [DecayingMean::new(OVERLOAD_TIME_CONSTANT_US); 3];
    let bottleneck = (0..VMS).map(|_| (SlotAdmission::new(SLOTS, 0), Node::new()));
    let intervals = (scenario.end_us / INTERVAL_US) as usize;
    let mut simulation = Simulation {
        scenario,
        random: StdRng::seed_from_u64(scenario.seed),
        events: BinaryHeap::new(),
        event_count: 0,
        throttles: throttles.collect(),
        known_overload: vec![known; scenario.entries],
        middle: MIDDLE_NODES.map(|nodes| (0..nodes).map(|_| Node::new()).collect()),
        bottleneck: bottleneck.collect(),
        is_poll_due: vec![false; VMS],
        requests: Vec::new(),
        replay: Replay {
            counts: vec![[Counts::default(); 3]; intervals],
            ratios: Vec::new(),
            merged: Vec::new(),
            utilization: Vec::new(),
            exchanges: 0,
        },
    };
    simulation.run();
    simulation.replay
}

impl Simulation<'_> {
    fn run(&mut self) {
        for kind in [CHAIN, URGENT_CHAIN, DIRECT] {
            self.push(0, Event::Arrive { kind });
        }
        self.push(0, Event::Sample);
        while let Some(Reverse((now_us, _, event))) = self.events.pop() {
            self.handle(now_us, event);
        }
    }

    fn push(&mut self, at_us: u64, event: Event) {
        self.event_count += 1;
        self.events.push(Reverse((at_us, self.event_count, event)));
    }

    fn handle(&mut self, now_us: u64, event: Event) {
        match event {
            Event::Arrive { kind } => self.arrive(now_us, kind),
            Event::Run { request } => self.push(now_us, Event::Call { request }),
            Event::Call { request } => self.call(now_us, request),
            Event::EndCall { request, vm, is_rejected } => {
                self.end_call(now_us, request, vm, is_rejected);
            }
            Event::AnswerCall { request, vm, is_served } => {
                self.answer_call(now_us, request, vm, is_served);
            }
            Event::Answer { request } => self.answer(now_us, request),
            Event::Poll { vm } => {
                self.is_poll_due[vm] = false;
                let events = self.bottleneck[vm].0.poll(now_us);
                self.apply_slots(now_us, vm, events);
            }
            Event::Sample => self.sample(now_us),
            Event::Exchange { entry, kind, rank, runs, failed, wants_probe } => {
                let counts = RunCounts { runs, failed };
                let exchange = Exchange { counts, wants_probe, collector_rank: rank };
                self.exchange(now_us, entry, kind, exchange);
            }
            Event::AnswerExchange { entry, kind, share, is_granted, overload } => {
                let share = FailureShare::from_message(share.0, share.1);
                let answer = ExchangeAnswer { share, is_probe_granted: is_granted };
                self.throttles[entry][kind].record_exchange(
                    now_us,
                    0,
                    answer,
                    f64::from(overload) / 1_000.0,
                );
            }
        }
    }

    fn arrive(&mut self, now_us: u64, kind: usize) {
        let is_burst = kind != DIRECT && self.scenario.burst_us.contains(&now_us);
        let factor = if is_burst { self.scenario.burst_factor } else { 1.0 };
        let wait_s = -self.random.random::<f64>().max(1e-9).ln() / (RATES_PER_S[kind] * factor);
        let next_us = now_us + (wait_s * S as f64) as u64;
        if next_us < self.scenario.end_us {
            self.push(next_us, Event::Arrive { kind });
        }
        let entry = self.random.random_range(0..self.scenario.entries);
        let caller = self.random.random();
        let overload = self.known_overload[entry][kind].value(now_us);
        let level = PRIORITY_LEVELS[kind];
        let throttle = &mut self.throttles[entry][kind];
        let is_admitted = throttle.try_admit(now_us, overload, level, caller);
        let counts = &mut self.replay.counts[(now_us / INTERVAL_US) as usize][kind];
        counts.offered += 1;
        if !is_admitted {
            return;
        }
        counts.admitted += 1;
        let nodes = MIDDLE_NODES.get(kind).copied().unwrap_or(VMS);
        self.requests.push(Request {
            kind,
            entry,
            node: self.random.random_range(0..nodes),
            arrived_us: now_us,
            deadline_us: now_us + self.random.random_range(2_500 * MS..6 * S),
            sequence: self.random.random(),
            calls_left: self.scenario.calls[kind],
            tries: 0,
            offered_us: 0,
            end: RequestEnd::Succeeded,
            is_run: kind != DIRECT,
            share: None,
            overload: 0.0,
        });
        let request = self.requests.len() - 1;
        self.push(
            now_us + HOP_US,
            if kind == DIRECT { Event::Call { request } } else { Event::Run { request } },
        );
    }

    /// Offers a call to the less loaded of two VMs of the bottleneck.
    fn call(&mut self, now_us: u64, ticket: usize) {
        let pair = [self.random.random_range(0..VMS), self.random.random_range(0..VMS)];
        let vm = pair
            .into_iter()
            .min_by_key(|vm| {
                let load = self.bottleneck[*vm].0.load(now_us);
                load.in_flight + load.queued
            })
            .unwrap_or(0);
        let request = &mut self.requests[ticket];
        request.offered_us = now_us;
        let offer = SlotRequest {
            ticket: ticket as u64,
            priority: priority(request.kind),
            sequence: request.sequence,
            kind: request.kind as u64,
            deadline_us: request.deadline_us,
            max_wait_us: if request.kind == DIRECT { 200 * MS } else { 30 * S },
        };
        let (decision, mut events) = self.bottleneck[vm].0.offer(now_us, offer);
        match decision {
            Decision::Admit => events.push(SlotEvent::Admit(ticket as u64)),
            Decision::Refuse { wait_us, cause } => {
                events.push(SlotEvent::Refuse { ticket: ticket as u64, wait_us, cause });
            }
            Decision::Queue => {}
        }
        self.apply_slots(now_us, vm, events);
    }

    fn apply_slots(&mut self, now_us: u64, vm: usize, events: Vec<SlotEvent>) {
        for event in events {
            match event {
                SlotEvent::Admit(ticket) => self.start_call(now_us, vm, ticket as usize),
                SlotEvent::Refuse { ticket, .. } => self.refuse_call(now_us, vm, ticket as usize),
            }
        }
        if self.bottleneck[vm].0.load(now_us).queued > 0 && !self.is_poll_due[vm] {
            self.is_poll_due[vm] = true;
            self.push(now_us + POLL_INTERVAL_US, Event::Poll { vm });
        }
    }

    fn start_call(&mut self, now_us: u64, vm: usize, request: usize) {
        let Request { kind, offered_us, .. } = self.requests[request];
        if kind != DIRECT {
            self.bottleneck[vm].1.overload.record_wait(now_us, now_us - offered_us);
        }
        let is_rejected =
            self.scenario.rejecting_us.contains(&now_us) && self.random.random_bool(REJECTED_SHARE);
        let duration_us = if is_rejected { REJECTION_US } else { SERVICE_US[kind] };
        self.push(now_us + duration_us, Event::EndCall { request, vm, is_rejected });
    }

    fn refuse_call(&mut self, now_us: u64, vm: usize, request: usize) {
        if self.requests[request].kind != DIRECT {
            self.bottleneck[vm].1.overload.record_refusal(now_us);
        }
        self.requests[request].tries += 1;
        if self.requests[request].tries < MAX_VMS_TRIED {
            self.push(now_us + 2 * HOP_US, Event::Call { request });
            return;
        }
        self.push(now_us + HOP_US, Event::AnswerCall { request, vm, is_served: false });
    }

    fn end_call(&mut self, now_us: u64, request: usize, vm: usize, is_rejected: bool) {
        let kind = self.requests[request].kind;
        let call = RunningCall { priority: priority(kind), kind: kind as u64 };
        let end = match is_rejected {
            true => CallEnd::Other,
            false => CallEnd::Answered { service_us: SERVICE_US[kind] },
        };
        let events = self.bottleneck[vm].0.complete(now_us, call, end);
        self.apply_slots(now_us, vm, events);
        if kind == DIRECT && !is_rejected {
            // Only runs are recorded; a refusal costs no work.
            let node = &mut self.bottleneck[vm].1;
            node.failures.record(now_us, kind as u64, RunCounts::of_run(false));
        }
        self.push(now_us + HOP_US, Event::AnswerCall { request, vm, is_served: !is_rejected });
    }

    /// Handles the answer to a call at the node that made it.
    fn answer_call(&mut self, now_us: u64, request: usize, vm: usize, is_served: bool) {
        let bottleneck = &mut self.bottleneck[vm].1;
        let reported = bottleneck.overload.failure_probability(now_us);
        let Request { kind, node, .. } = self.requests[request];
        if kind == DIRECT {
            let share = bottleneck.failures.share(now_us, kind as u64);
            let entry = &mut self.requests[request];
            (entry.share, entry.overload, entry.is_run) = (share, reported, is_served);
            return self.push(now_us, Event::Answer { request });
        }
        let middle = &mut self.middle[kind][node];
        middle.called.record(now_us, reported);
        let overload = if is_served { middle.called.value(now_us) } else { 1.0 };
        middle.overload.record_call(now_us, overload);
        let call = &mut self.requests[request];
        call.tries = 0;
        call.calls_left -= 1;
        if is_served && call.calls_left > 0 {
            return self.push(now_us + HOP_US, Event::Call { request });
        }
        middle.overload.record_run(now_us, !is_served);
        middle.failures.record(now_us, kind as u64, RunCounts::of_run(!is_served));
        call.end = if is_served { RequestEnd::Succeeded } else { RequestEnd::LackedCapacity };
        call.share = middle.failures.share(now_us, kind as u64);
        call.overload = middle.overload.failure_probability(now_us);
        self.push(now_us + HOP_US, Event::Answer { request });
    }

    /// Handles the answer to a request at its entry node.
    fn answer(&mut self, now_us: u64, request: usize) {
        let request = &mut self.requests[request];
        if now_us > request.deadline_us && request.end == RequestEnd::Succeeded {
            request.end = RequestEnd::Failed;
        }
        let throttle = &mut self.throttles[request.entry][request.kind];
        self.known_overload[request.entry][request.kind].record(now_us, request.overload);
        if let Some(share) = request.share {
            throttle.record_share(now_us, request.node as u64, share, request.overload);
        }
        throttle.record_end(now_us, request.end);
        if request.end != RequestEnd::Succeeded {
            throttle.record_failure_latency(now_us - request.arrived_us);
        }
        let interval = (request.arrived_us / INTERVAL_US) as usize;
        let counts = &mut self.replay.counts[interval][request.kind];
        match (request.is_run, request.end) {
            (true, RequestEnd::Succeeded) => counts.succeeded += 1,
            (true, _) => counts.failed_after_work += 1,
            (false, _) => {}
        }
    }

    /// Records the state once per interval and sends the messages that entries have for collectors.
    fn sample(&mut self, now_us: u64) {
        let ratios = [CHAIN, URGENT_CHAIN, DIRECT].map(|kind| {
            self.throttles.iter().map(|throttles| throttles[kind].admission_ratio()).collect()
        });
        self.replay.ratios.push(ratios);
        self.replay.merged.push(
            [CHAIN, URGENT_CHAIN, DIRECT].map(|kind| self.throttles[0][kind].merged_share(now_us)),
        );
        let loads = self.bottleneck.iter().map(|(slots, _)| slots.load(now_us));
        let (used, limit) =
            loads.fold((0, 0), |sum, load| (sum.0 + load.in_flight, sum.1 + load.limit));
        self.replay.utilization.push(f64::from(used) / f64::from(limit));
        for entry in 0..self.scenario.entries {
            for kind in [CHAIN, URGENT_CHAIN, DIRECT] {
                let nodes = self.scenario.entries;
                let exchange = self.throttles[entry][kind].take_exchange(now_us, nodes);
                let Some(exchange) = exchange else { continue };
                let is_lost =
                    exchange.collector_rank == 0 && self.scenario.lost_us.contains(&now_us);
                if is_lost || self.scenario.evidence == Evidence::SharedWithoutCollector {
                    self.throttles[entry][kind].record_lost_exchange(now_us, exchange);
                    continue;
                }
                let Exchange { counts, wants_probe, collector_rank: rank } = exchange;
                let RunCounts { runs, failed } = counts;
                let exchange = Event::Exchange { entry, kind, rank, runs, failed, wants_probe };
                self.push(now_us + HOP_US, exchange);
            }
        }
        if now_us + INTERVAL_US < self.scenario.end_us {
            self.push(now_us + INTERVAL_US, Event::Sample);
        }
    }

    /// Handles a message at the collector: the first node of the service of the kind.
    fn exchange(&mut self, now_us: u64, entry: usize, kind: usize, exchange: Exchange) {
        self.replay.exchanges += 1;
        let node = match kind {
            DIRECT => &mut self.bottleneck[exchange.collector_rank].1,
            kind => &mut self.middle[kind][exchange.collector_rank],
        };
        node.failures.record(now_us, kind as u64, exchange.counts);
        let is_granted = exchange.wants_probe && node.failures.grant_probe(now_us, kind as u64);
        let share = node.failures.share(now_us, kind as u64);
        let share = share.map_or((0, 0), |share| (share.failed_permille, share.runs));
        let overload = (node.overload.failure_probability(now_us) * 1_000.0) as u32;
        let answer = Event::AnswerExchange { entry, kind, share, is_granted, overload };
        self.push(now_us + HOP_US, answer);
    }
}

fn priority(kind: usize) -> CallPriority {
    match kind {
        DIRECT => CallPriority::NewRequest(PRIORITY_LEVELS[kind]),
        kind => CallPriority::InProgress(PRIORITY_LEVELS[kind]),
    }
}

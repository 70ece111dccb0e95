//! The loads that lent shares answer. Each test states what callers lose, beside the decision that
//! lending replaces: a fixed nth part of the quota for each of the 91 nodes.

use std::collections::VecDeque;

use model::Quota;
use policy::quota_bucket::{LOAN_US, QuotaDecision, RemainingWait, ShareGrant};
use policy::{US_PER_MS, US_PER_S};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::world::{Delays, World};

const TICK_US: u64 = 2 * US_PER_MS;
const REPORT_INTERVAL_US: u64 = US_PER_S;
const MIN_REPORT_INTERVAL_US: u64 = 50 * US_PER_MS;
/// Interval of reports while an account has no room, as in the mesh.
const REPORT_RETRY_US: u64 = 200 * US_PER_MS;
/// Interval at which a surplus is looked for, as in the mesh.
const SURPLUS_INTERVAL_US: u64 = 100 * US_PER_MS;
const MAX_WAIT_US: u64 = 200 * US_PER_MS;
/// Factor by which a request may wait longer for a token of the held share, as on nodes.
const ROOM_WAIT_FACTOR: u64 = 3;
/// Number of nodes of the deployment.
const NODE_COUNT: usize = 91;
/// Nodes at which the callers of an account are.
const ENTRY_NODES: usize = 9;
/// Part of the quota that an account uses as a rule.
const USUAL_PART: f64 = 0.625;
/// Delays with which a report is answered about 35 ms later: batch, commit and links.
const DELAYS: Delays =
    Delays { up_us: 22 * US_PER_MS, commit_us: 8 * US_PER_MS, down_us: 5 * US_PER_MS };
/// Part of the requests within a quota that may be refused where the design page asks that they are
/// served, for the noise of random arrivals.
const MAX_NOISE_LOSS: f64 = 0.01;

fn quota(rate_per_s: f64) -> Quota {
    Quota { rate_per_s, burst: rate_per_s }
}

/// Results of the requests in a part of a test.
#[derive(Debug, Clone, Copy, Default)]
struct Tally {
    offered: u32,
    admitted: u32,
}

impl Tally {
    fn add(&mut self, other: Self) {
        self.offered += other.offered;
        self.admitted += other.admitted;
    }

    fn loss(self) -> f64 {
        f64::from(self.offered - self.admitted) / f64::from(self.offered.max(1))
    }
}

/// Who decides about requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Decision {
    LentShares,
    FixedPart,
}

/// Fault of a test.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Event {
    Quota(Quota),
    ChangeLeader,
    /// The process of the node runs no more.
    Kill(usize),
    Freeze(usize, u64),
}

#[derive(Debug, Clone, Default)]
struct Entry {
    /// Arrival times of the requests that wait.
    waiting: VecDeque<u64>,
    report_due_us: u64,
    reported_us: u64,
    requested_us: u64,
    has_request: bool,
    is_dead: bool,
}

/// Load of one account.
struct Load<'a> {
    decision: Decision,
    quota: Quota,
    node_count: usize,
    duration_us: u64,
    /// Offered requests per second by node and time since the start.
    rate_per_s: &'a dyn Fn(usize, u64) -> f64,
    events: &'a [(u64, Event)],
    seed: u64,
    room_wait_factor: u64,
}

struct Run {
    world: World,
    entries: Vec<Entry>,
    rng: StdRng,
    start_us: u64,
    report_count: u32,
    /// Results by second of the arrival.
    tallies: Vec<Tally>,
    room_wait_factor: u64,
}

impl Run {
    fn tally(&self, seconds: std::ops::Range<usize>) -> Tally {
        self.tallies[seconds].iter().fold(Tally::default(), |sum, tally| Tally {
            offered: sum.offered + tally.offered,
            admitted: sum.admitted + tally.admitted,
        })
    }

    /// Returns the number of requests admitted in a second, whenever they arrived.
    fn admitted_in_second(&self, second: u64) -> u32 {
        let from_us = self.start_us + second * SECOND;
        let range = from_us..from_us + SECOND;
        self.world.admissions.iter().filter(|(at_us, _)| range.contains(at_us)).count() as u32
    }

    fn total(&self) -> Tally {
        self.tally(0..self.tallies.len())
    }
}

impl Load<'_> {
    fn run(&self) -> Run {
        let world = World::new(self.node_count, self.quota);
        let mut run = Run {
            start_us: world.now_us,
            world,
            entries: vec![Entry::default(); self.node_count],
            rng: StdRng::seed_from_u64(self.seed),
            report_count: 0,
            tallies: vec![Tally::default(); (self.duration_us / US_PER_S) as usize + 1],
            room_wait_factor: self.room_wait_factor,
        };
        for entry in &mut run.entries {
            entry.report_due_us = run.start_us + run.rng.random_range(0..REPORT_INTERVAL_US);
        }
        let mut events = self.events.iter().peekable();
        while run.world.now_us < run.start_us + self.duration_us {
            let elapsed_us = run.world.now_us - run.start_us;
            while let Some((_, event)) = events.next_if(|(at_us, _)| *at_us <= elapsed_us) {
                run.apply(*event);
            }
            if self.decision == Decision::FixedPart {
                run.grant_fixed_parts();
            }
            for node in 0..self.node_count {
                run.step(node, (self.rate_per_s)(node, elapsed_us), self.decision);
            }
            run.world.advance(TICK_US);
            for node in std::mem::take(&mut run.world.reduced) {
                run.entries[node].has_request = true;
            }
        }
        run
    }
}

impl Run {
    fn apply(&mut self, event: Event) {
        match event {
            Event::Quota(quota) => self.world.quota = quota,
            Event::ChangeLeader => self.world.change_leader(),
            Event::Kill(node) => self.entries[node].is_dead = true,
            Event::Freeze(node, duration_us) => {
                self.world.nodes[node].frozen_until_us = self.world.now_us + duration_us;
            }
        }
    }

    /// Keeps the share of each node at its nth part.
    fn grant_fixed_parts(&mut self) {
        for node in 0..self.entries.len() {
            let now_us = self.world.boot_us(node);
            let entry = &mut self.entries[node];
            if now_us.saturating_sub(entry.reported_us) < LOAN_US / 2 {
                continue;
            }
            entry.reported_us = now_us;
            let share = 1.0 / NODE_COUNT as f64;
            let grant = ShareGrant { report_us: now_us, share, initial_burst_share: 0.0 };
            self.world.nodes[node].bucket.apply(now_us, grant);
        }
    }

    fn step(&mut self, node: usize, rate_per_s: f64, decision: Decision) {
        let probability = rate_per_s * TICK_US as f64 / US_PER_S as f64;
        let whole = probability.floor();
        let extra = u32::from(self.rng.random::<f64>() < probability - whole);
        let count = whole as u32 + extra;
        if self.entries[node].is_dead {
            return;
        }
        if self.world.is_frozen(node) {
            return;
        }
        self.admit_waiting(node);
        (0..count).for_each(|_| self.offer(node));
        if decision == Decision::LentShares {
            self.report_if_due(node);
        }
    }

    fn offer(&mut self, node: usize) {
        let now_us = self.world.boot_us(node);
        let arrived_us = self.world.now_us;
        self.tally_at(arrived_us).offered += 1;
        self.world.nodes[node].bucket.record_offered(now_us);
        let ahead = self.entries[node].waiting.len();
        if self.decide(node, ahead, 0, arrived_us) == Some(()) {
            self.entries[node].waiting.push_back(arrived_us);
        }
    }

    fn admit_waiting(&mut self, node: usize) {
        let waiting = std::mem::take(&mut self.entries[node].waiting);
        for (ahead, arrived_us) in waiting.into_iter().enumerate() {
            let waited_us = self.world.now_us - arrived_us;
            let still_ahead = self.entries[node].waiting.len().min(ahead);
            if self.decide(node, still_ahead, waited_us, arrived_us) == Some(()) {
                self.entries[node].waiting.push_back(arrived_us);
            }
        }
    }

    /// Decides a request. Returns whether it waits.
    fn decide(&mut self, node: usize, ahead: usize, waited_us: u64, arrived_us: u64) -> Option<()> {
        let now_us = self.world.boot_us(node);
        let quota = self.world.quota;
        let bucket = &mut self.world.nodes[node].bucket;
        let decision = bucket.admit(now_us, quota, ahead);
        if decision == QuotaDecision::Admitted {
            self.world.record_admission(node);
            self.tally_at(arrived_us).admitted += 1;
            return None;
        }
        let entry = &mut self.entries[node];
        if now_us.saturating_sub(entry.requested_us) >= REPORT_RETRY_US
            || bucket.has_unreported_demand(now_us)
        {
            entry.requested_us = now_us;
            entry.has_request = true;
        }
        let remaining = RemainingWait {
            for_room_us: (MAX_WAIT_US * self.room_wait_factor).saturating_sub(waited_us),
            for_share_us: MAX_WAIT_US.saturating_sub(waited_us),
        };
        decision.wait_us(bucket.outlook(now_us), remaining).map(|_| ())
    }

    fn report_if_due(&mut self, node: usize) {
        let now_us = self.world.now_us;
        let boot_us = self.world.boot_us(node);
        let entry = &mut self.entries[node];
        if now_us.is_multiple_of(SURPLUS_INTERVAL_US) {
            entry.has_request |= self.world.nodes[node].bucket.has_surplus(boot_us);
        }
        let is_requested =
            entry.has_request && now_us - entry.reported_us.min(now_us) >= MIN_REPORT_INTERVAL_US;
        if now_us < entry.report_due_us && !is_requested {
            return;
        }
        entry.report_due_us = entry.report_due_us.max(now_us + REPORT_INTERVAL_US);
        entry.reported_us = now_us;
        entry.has_request = false;
        self.report_count += 1;
        self.world.report(node, DELAYS);
    }

    fn tally_at(&mut self, at_us: u64) -> &mut Tally {
        &mut self.tallies[((at_us - self.start_us) / US_PER_S) as usize]
    }
}

const SECOND: u64 = US_PER_S;

/// Returns the results with lent shares and with fixed parts.
fn compare(load: &Load<'_>) -> (Run, Run) {
    let lent = load.run();
    let fixed = Load { decision: Decision::FixedPart, ..*load }.run();
    let excess = lent.world.max_excess(load.quota);
    assert!(excess <= 0.0, "a window exceeds its bound by {excess}");
    eprintln!(
        "lost with lent shares {:.4}, with fixed parts {:.4}; reports {} of which periodic {}",
        lent.total().loss(),
        fixed.total().loss(),
        lent.report_count,
        load.node_count as u64 * load.duration_us / REPORT_INTERVAL_US,
    );
    if load.duration_us > 10 * SECOND {
        for (second, tally) in lent.tallies.iter().enumerate() {
            eprint!("{second}:{}/{} ", tally.admitted, tally.offered);
        }
        eprintln!();
    }
    (lent, fixed)
}

fn usual(rate_per_s: f64) -> f64 {
    USUAL_PART * rate_per_s / ENTRY_NODES as f64
}

fn load<'a>(rate_per_s: f64, offered: &'a dyn Fn(usize, u64) -> f64) -> Load<'a> {
    Load {
        decision: Decision::LentShares,
        quota: quota(rate_per_s),
        node_count: ENTRY_NODES,
        duration_us: 20 * SECOND,
        rate_per_s: offered,
        events: &[],
        seed: 1,
        room_wait_factor: ROOM_WAIT_FACTOR,
    }
}

/// Guards against a busy account that costs calm ones their share, and against one that gets less
/// than its quota while it asks for more.
#[test]
fn one_account_at_eight_times_its_usual_rate_beside_86_calm_ones() {
    const RATE_PER_S: f64 = 40.0;
    let busy_rate = |_: usize, at_us: u64| match at_us {
        5_000_000..15_000_000 => 8.0 * usual(RATE_PER_S),
        _ => usual(RATE_PER_S),
    };
    let (busy, busy_fixed) = compare(&load(RATE_PER_S, &busy_rate));
    let served = busy.tally(6..15).admitted;
    assert!(f64::from(served) >= 0.95 * RATE_PER_S * 9.0, "{served}");
    assert!(busy_fixed.tally(6..15).admitted < served / 2);
    let (mut calm, mut calm_fixed) = (Tally::default(), Tally::default());
    for seed in 0..86 {
        let rate_per_s = 10.0 + f64::from(seed as u32 % 10) * 10.0;
        let calm_rate = |_: usize, _: u64| usual(rate_per_s);
        let load = Load { seed, duration_us: 10 * SECOND, ..load(rate_per_s, &calm_rate) };
        let (lent, fixed) = compare(&load);
        calm.add(lent.total());
        calm_fixed.add(fixed.total());
    }
    eprintln!("calm: lent {:.4}, fixed {:.4}", calm.loss(), calm_fixed.loss());
    assert!(calm.loss() <= MAX_NOISE_LOSS, "{}", calm.loss());
    assert!(calm_fixed.loss() > 10.0 * calm.loss(), "{}", calm_fixed.loss());
}

/// Guards against a lowered quota that comes into force only with new loans.
#[test]
fn a_quota_lowered_in_a_burst_holds_after_one_window() {
    const RATE_PER_S: f64 = 90.0;
    let lowered = quota(30.0);
    let rate = |_: usize, _: u64| RATE_PER_S * 2.0 / ENTRY_NODES as f64;
    let events = [(8 * SECOND, Event::Quota(lowered))];
    let (lent, fixed) = compare(&Load { events: &events, ..load(RATE_PER_S, &rate) });
    let after = lent.tally(8..13).admitted;
    let bound = lowered.rate_per_s * 5.0 + lowered.burst + ENTRY_NODES as f64;
    assert!(f64::from(after) <= bound, "{after}");
    let served = lent.tally(9..20).admitted;
    assert!(f64::from(served) >= 0.95 * lowered.rate_per_s * 11.0, "{served}");
    assert!(fixed.tally(9..20).admitted < served / 2);
}

/// Guards against a share that stays where the demand was.
#[test]
fn all_demand_of_an_account_moves_between_nodes_in_a_second() {
    const RATE_PER_S: f64 = 48.0;
    let rate = |node: usize, at_us: u64| {
        let active = (at_us / (5 * SECOND)) as usize % 3;
        let into_us = at_us % (5 * SECOND);
        let previous = (active + 2) % 3;
        let moved = (into_us as f64 / SECOND as f64).min(1.0);
        let part = match node {
            _ if at_us < 5 * SECOND => f64::from(u32::from(node == 0)),
            _ if node == active => moved,
            _ if node == previous => 1.0 - moved,
            _ => 0.0,
        };
        USUAL_PART * RATE_PER_S * part
    };
    let (mut lent_sum, mut fixed_sum) = (Tally::default(), Tally::default());
    for seed in 0..10 {
        let (lent, fixed) = compare(&Load { seed, ..load(RATE_PER_S, &rate) });
        lent_sum.add(lent.total());
        fixed_sum.add(fixed.total());
    }
    eprintln!("moves: lent {:.4}, fixed {:.4}", lent_sum.loss(), fixed_sum.loss());
    assert!(lent_sum.loss() <= MAX_NOISE_LOSS, "{}", lent_sum.loss());
    assert!(fixed_sum.loss() > 0.5);
}

/// Guards against demand that is served only after a report interval when many nodes start.
#[test]
fn ninety_one_nodes_start_at_once() {
    const RATE_PER_S: f64 = 182.0;
    let rate = |_: usize, _: u64| USUAL_PART * RATE_PER_S / NODE_COUNT as f64;
    let load = Load { node_count: NODE_COUNT, duration_us: 10 * SECOND, ..load(RATE_PER_S, &rate) };
    let (lent, fixed) = compare(&load);
    eprintln!("first second {:.4} {:.4}", lent.tally(0..1).loss(), fixed.tally(0..1).loss());
    assert!(lent.total().loss() <= fixed.total().loss());
}

/// Guards against refusals within the quota of an account whose callers are on all nodes: each node
/// holds a share of a few requests a second, and requests arrive close together.
#[test]
fn requests_of_a_large_account_wait_for_the_tokens_of_small_shares() {
    const RATE_PER_S: f64 = 400.0;
    let rate = |_: usize, _: u64| 0.9 * RATE_PER_S / NODE_COUNT as f64;
    let load = Load { node_count: NODE_COUNT, duration_us: 8 * SECOND, ..load(RATE_PER_S, &rate) };
    let waiting = load.run().tally(2..8).loss();
    let impatient = Load { room_wait_factor: 1, ..load }.run().tally(2..8).loss();
    eprintln!("large account: {waiting:.4}, waiting for an eighth only {impatient:.4}");
    assert!(waiting <= 0.05, "{waiting}");
    assert!(waiting < impatient / 2.0, "{waiting} against {impatient}");
}

/// Guards against a leader that fails while callers begin to send: most nodes hold no share yet, and
/// a new leader that lends only what is held refuses their callers for a loan period.
#[test]
fn a_leader_fails_while_callers_begin() {
    const RATE_PER_S: f64 = 182.0;
    const CALLERS_START_US: u64 = 5 * SECOND;
    let rate = |node: usize, at_us: u64| {
        let start_us = node as u64 * CALLERS_START_US / NODE_COUNT as u64;
        if at_us >= start_us { USUAL_PART * RATE_PER_S / NODE_COUNT as f64 } else { 0.0 }
    };
    let events = [(SECOND, Event::ChangeLeader)];
    let load = Load {
        node_count: NODE_COUNT,
        duration_us: 8 * SECOND,
        events: &events,
        ..load(RATE_PER_S, &rate)
    };
    let (lent, fixed) = compare(&load);
    assert!(lent.tally(1..6).loss() <= 0.05, "{}", lent.tally(1..6).loss());
    assert!(lent.total().loss() <= fixed.total().loss());
}

/// Guards against a dead node's share that is lost for longer than its loan.
#[test]
fn the_share_of_a_dead_holder_is_lent_after_its_loan() {
    const RATE_PER_S: f64 = 50.0;
    let rate = |node: usize, at_us: u64| match (node, at_us < 5 * SECOND) {
        (0, true) => USUAL_PART * RATE_PER_S,
        (1, false) => USUAL_PART * RATE_PER_S,
        _ => 0.0,
    };
    let events = [(5 * SECOND, Event::Kill(0))];
    let (lent, fixed) = compare(&Load { events: &events, ..load(RATE_PER_S, &rate) });
    assert!(lent.tally(11..20).loss() <= MAX_NOISE_LOSS, "{}", lent.tally(11..20).loss());
    assert!(fixed.tally(11..20).loss() > 0.5);
}

/// Guards against callers that are refused because the leader changes. For a loan period the new
/// leader lends only what its predecessor cannot have lent.
#[test]
fn a_leader_changes_in_the_middle_of_a_burst() {
    const RATE_PER_S: f64 = 90.0;
    let events = [(9 * SECOND, Event::ChangeLeader)];
    let busy = |_: usize, at_us: u64| match at_us {
        5_000_000..15_000_000 => 8.0 * usual(RATE_PER_S),
        _ => usual(RATE_PER_S),
    };
    let (lent, fixed) = compare(&Load { events: &events, ..load(RATE_PER_S, &busy) });
    let served = lent.tally(9..15).admitted;
    assert!(f64::from(served) >= 0.95 * RATE_PER_S * 6.0, "{served}");
    assert!(fixed.tally(9..15).admitted < served / 2);
    let calm = |_: usize, _: u64| usual(RATE_PER_S);
    let (mut lent_sum, mut fixed_sum) = (Tally::default(), Tally::default());
    for seed in 0..10 {
        let load = Load { events: &events, seed, ..load(RATE_PER_S, &calm) };
        let (lent, fixed) = compare(&load);
        lent_sum.add(lent.tally(9..15));
        fixed_sum.add(fixed.tally(9..15));
    }
    eprintln!("calm: lent {:.4}, fixed {:.4}", lent_sum.loss(), fixed_sum.loss());
    assert!(lent_sum.loss() <= MAX_NOISE_LOSS, "{}", lent_sum.loss());
    assert!(fixed_sum.loss() > 10.0 * lent_sum.loss());
}

/// Guards against a node that works with an expired loan when it runs again.
#[test]
fn a_frozen_node_thaws_without_its_share() {
    const RATE_PER_S: f64 = 50.0;
    let rate = |node: usize, _: u64| match node {
        0 | 1 => 2.0 * RATE_PER_S,
        _ => 0.0,
    };
    let events = [(6 * SECOND, Event::Freeze(0, 7 * SECOND))];
    let (lent, fixed) = compare(&Load { events: &events, ..load(RATE_PER_S, &rate) });
    // The other node gets all of the quota once the loan of the frozen one has ended.
    let alone = lent.admitted_in_second(12);
    assert!(f64::from(alone) >= 0.9 * RATE_PER_S, "{alone}");
    assert!(fixed.admitted_in_second(12) < alone / 2);
}

//! Simulated nodes, leader and messages of one account. Every machine has a boot clock of its own.

use std::collections::BTreeMap;

use model::Quota;
use policy::US_PER_S;
use policy::quota_bucket::{GrantEffect, QuotaBucket, ShareDemand, ShareGrant};
use policy::quota_lender::{Grant, LeaderHistory, QuotaLender, Reporter};

pub const ACCOUNT: &str = "account";
/// Windows that are checked. The bound holds for each; short ones leave least room for an error.
const WINDOWS_US: [u64; 3] = [US_PER_S / 10, US_PER_S, 5 * US_PER_S];
/// Rounding error that the sum of the shares may have.
const SUM_EPSILON: f64 = 1e-6;

/// Times that a report takes on its way, in microseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Delays {
    /// From the node to the leader.
    pub up_us: u64,
    /// From the leader's decision to the commit of the proof.
    pub commit_us: u64,
    /// From the leader to the node.
    pub down_us: u64,
}

pub struct Node {
    pub bucket: QuotaBucket,
    vm: String,
    incarnation: u64,
    clock_offset_us: u64,
    /// Time until which the process does not run.
    pub frozen_until_us: u64,
}

struct Leader {
    epoch: u64,
    lender: QuotaLender,
    clock_offset_us: u64,
    /// Time of the last commit. The log commits in the order of the decisions.
    last_commit_us: u64,
}

#[derive(Debug, Clone, Copy)]
enum Message {
    Report {
        node: usize,
        incarnation: u64,
        report_us: u64,
        demand: ShareDemand,
        delays: Delays,
    },
    Proof {
        node: usize,
        incarnation: u64,
        report_us: u64,
        grant: Grant,
        epoch: u64,
        down_us: u64,
        ceiling: Option<f64>,
    },
    Grant {
        node: usize,
        incarnation: u64,
        report_us: u64,
        grant: Grant,
    },
}

/// Nodes of one account and their leader.
pub struct World {
    pub now_us: u64,
    pub quota: Quota,
    pub nodes: Vec<Node>,
    leader: Leader,
    /// Ceiling of the account in the replicated state.
    ceiling: f64,
    messages: BTreeMap<(u64, u64), Message>,
    message_count: u64,
    /// Time and node of each admitted request.
    pub admissions: Vec<(u64, usize)>,
    /// Nodes that received a smaller share and have not reported since.
    pub reduced: Vec<usize>,
    /// Nodes that received a grant since the last call.
    pub granted: Vec<usize>,
}

impl World {
    pub fn new(node_count: usize, quota: Quota) -> Self {
        let now_us = 100 * US_PER_S;
        let nodes = (0..node_count).map(|index| {
            let clock_offset_us = 1_000_003 * index as u64;
            Node {
                bucket: QuotaBucket::new(now_us + clock_offset_us, quota),
                vm: format!("vm-{index}"),
                incarnation: 1,
                clock_offset_us,
                frozen_until_us: 0,
            }
        });
        let lender = QuotaLender::new(now_us, LeaderHistory::First);
        Self {
            now_us,
            quota,
            nodes: nodes.collect(),
            leader: Leader { epoch: 0, lender, clock_offset_us: 0, last_commit_us: now_us },
            ceiling: 0.0,
            messages: BTreeMap::new(),
            message_count: 0,
            admissions: Vec::new(),
            reduced: Vec::new(),
            granted: Vec::new(),
        }
    }

    pub fn boot_us(&self, node: usize) -> u64 {
        self.now_us + self.nodes[node].clock_offset_us
    }

    pub fn is_frozen(&self, node: usize) -> bool {
        self.now_us < self.nodes[node].frozen_until_us
    }

    /// Sends a report of a node.
    pub fn report(&mut self, node: usize, delays: Delays) {
        let report_us = self.boot_us(node);
        let incarnation = self.nodes[node].incarnation;
        self.reduced.retain(|reduced| *reduced != node);
        let Some(demand) = self.nodes[node].bucket.report(report_us) else { return };
        self.post(delays.up_us, Message::Report { node, incarnation, report_us, demand, delays });
    }

    /// Elects another leader, on a machine with another clock.
    pub fn change_leader(&mut self) {
        let epoch = self.leader.epoch + 1;
        let clock_offset_us = 7_000_000 * (epoch % 5);
        let ceilings = (self.ceiling > 0.0).then(|| (ACCOUNT.into(), self.ceiling));
        let lender = QuotaLender::new(self.now_us + clock_offset_us, LeaderHistory::Successor)
            .with_ceilings(ceilings);
        self.leader = Leader { epoch, lender, clock_offset_us, last_commit_us: self.now_us };
    }

    /// Replaces the process of a node.
    pub fn restart(&mut self, node: usize) {
        let boot_us = self.boot_us(node);
        self.nodes[node].incarnation += 1;
        self.nodes[node].bucket = QuotaBucket::new(boot_us, self.quota);
    }

    /// Passes time and delivers the messages that are due.
    pub fn advance(&mut self, elapsed_us: u64) {
        let end_us = self.now_us + elapsed_us;
        while let Some(entry) = self.messages.first_entry() {
            if entry.key().0 > end_us {
                break;
            }
            self.now_us = entry.key().0;
            let message = entry.remove();
            self.deliver(message);
            self.check_shares();
        }
        self.now_us = end_us;
        self.check_shares();
    }

    /// Records that a node admitted a request.
    pub fn record_admission(&mut self, node: usize) {
        self.admissions.push((self.now_us, node));
    }

    /// Returns the largest number of requests by which a window exceeded its bound.
    pub fn max_excess(&self, quota: Quota) -> f64 {
        let excesses = WINDOWS_US.map(|window_us| self.max_excess_in(quota, window_us));
        excesses.into_iter().fold(f64::NEG_INFINITY, f64::max)
    }

    fn max_excess_in(&self, quota: Quota, window_us: u64) -> f64 {
        let mut max_excess = f64::NEG_INFINITY;
        let mut first = 0;
        let mut per_node = vec![0_u32; self.nodes.len()];
        for (last, (at_us, node)) in self.admissions.iter().enumerate() {
            per_node[*node] += 1;
            while self.admissions[first].0 + window_us < *at_us {
                per_node[self.admissions[first].1] -= 1;
                first += 1;
            }
            let holders = per_node.iter().filter(|count| **count > 0).count();
            let bound = quota.rate_per_s * window_us as f64 / US_PER_S as f64
                + quota.burst
                + holders as f64;
            max_excess = max_excess.max((last - first + 1) as f64 - bound);
        }
        max_excess
    }

    fn post(&mut self, delay_us: u64, message: Message) {
        self.message_count += 1;
        self.messages.insert((self.now_us + delay_us, self.message_count), message);
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Report { node, incarnation, report_us, demand, delays } => {
                let vm = self.nodes[node].vm.clone();
                let reporter = Reporter { vm: &vm, incarnation, report_us };
                let leader_us = self.now_us + self.leader.clock_offset_us;
                let grant = self.leader.lender.lend(leader_us, reporter, ACCOUNT, &demand);
                let ceiling = self.leader.lender.take_changed_ceilings().get(ACCOUNT).copied();
                let Some(grant) = grant else { return };
                let epoch = self.leader.epoch;
                let down_us = delays.down_us;
                let commit_us = (self.now_us + delays.commit_us).max(self.leader.last_commit_us);
                self.leader.last_commit_us = commit_us;
                self.post(
                    commit_us - self.now_us,
                    Message::Proof { node, incarnation, report_us, grant, epoch, down_us, ceiling },
                );
            }
            // A deposed leader cannot commit, so it does not answer.
            Message::Proof { epoch, .. } if epoch != self.leader.epoch => {}
            Message::Proof { node, incarnation, report_us, grant, down_us, ceiling, .. } => {
                self.ceiling = ceiling.unwrap_or(self.ceiling);
                self.post(down_us, Message::Grant { node, incarnation, report_us, grant });
            }
            Message::Grant { node, incarnation, report_us, grant } => {
                let boot_us = self.boot_us(node);
                let until_us = self.nodes[node].frozen_until_us;
                if self.is_frozen(node) {
                    self.post(until_us - self.now_us, message);
                    return;
                }
                let state = &mut self.nodes[node];
                if state.incarnation != incarnation {
                    return;
                }
                let Grant { share, initial_burst_share } = grant;
                let received = ShareGrant { report_us, share, initial_burst_share };
                if state.bucket.apply(boot_us, received) == GrantEffect::Reduced {
                    self.reduced.push(node);
                }
                self.granted.push(node);
            }
        }
    }

    fn check_shares(&mut self) {
        let now_us = self.now_us;
        let shares =
            self.nodes.iter_mut().map(|node| node.bucket.share(now_us + node.clock_offset_us));
        let sum: f64 = shares.sum();
        assert!(sum <= 1.0 + SUM_EPSILON, "the shares sum to {sum} at {now_us}");
    }
}

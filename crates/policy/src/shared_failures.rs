//! Failure data of routes that nodes share.
//!
//! A node beside an upstream sees the runs of all entry nodes. It keeps the share of each route's
//! runs that failed for lack of capacity ([`RouteFailures`]) and sends it with its answers. An entry
//! node merges the shares of the nodes that answered it ([`MergedFailures`]).
//!
//! Calls that were refused before they ran are not counted. A refusal costs no work, so refusing the
//! request on entry instead would save nothing, and a kind that makes a single call at a bottleneck
//! would be cut although every run of it is useful.

use std::hash::{DefaultHasher, Hash, Hasher};

use indexmap::IndexMap;
use model::VmName;

use crate::slots::CallKind;
use crate::{US_PER_MS, US_PER_S};

/// Width of a bucket of the window of runs, in microseconds.
const BUCKET_US: u64 = 50 * US_PER_MS;
/// Number of buckets. The window spans at most 1.5 s, so that an ended load is forgotten soon.
const BUCKETS: usize = 30;
/// Number of runs after which older buckets are left out. Eight runs of a chain that succeeds in 4 of
/// 100 cases show four successes with a probability of 0.0002.
const MIN_WINDOW_RUNS: u32 = 8;
/// Maximum number of routes; the oldest is evicted first.
const MAX_ROUTES: usize = 1_024;
/// Maximum number of runs in one message of another node. More than a node runs between two messages.
const MAX_REPORTED_RUNS: u32 = 100_000;
/// Interval between the probes of a route that all entry nodes send together, in microseconds. Eight
/// probes a second fill the window in about a second, and are below one percent of the requests of
/// the loads that this control is for.
pub const PROBE_GRANT_INTERVAL_US: u64 = US_PER_S / 8;

/// Maximum number of nodes whose shares are merged for a route; the oldest is evicted first.
const MAX_SOURCES: usize = 64;
/// Time in which the weight of a share decays to 1/e, in microseconds. An entry node with four
/// answers a second (300 nodes) then still merges the shares of several nodes.
const SHARE_TIME_CONSTANT_US: f64 = 500.0 * US_PER_MS as f64;
/// Age from which a share is ignored, in microseconds.
const SHARE_TTL_US: u64 = 2 * US_PER_S;
const PERMILLE: f64 = 1_000.0;

/// Runs of a route, and how many of them failed for lack of capacity.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct RunCounts {
    /// Number of runs that ended.
    pub runs: u32,
    /// Number of these that failed for lack of capacity.
    pub failed: u32,
}

impl RunCounts {
    /// Returns the counts of a single run.
    pub fn of_run(lacked_capacity: bool) -> Self {
        Self { runs: 1, failed: u32::from(lacked_capacity) }
    }

    pub(crate) fn add(&mut self, other: Self) {
        self.runs = self.runs.saturating_add(other.runs);
        self.failed = self.failed.saturating_add(other.failed);
    }
}

/// Share of a route's runs at one node that failed for lack of capacity.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FailureShare {
    /// Share of the runs that failed, in thousandths.
    pub failed_permille: u32,
    /// Number of runs behind the share.
    pub runs: u32,
}

impl FailureShare {
    /// Returns a share that another node sent, or `None` if no node can have computed it.
    pub fn from_message(failed_permille: u32, runs: u32) -> Option<Self> {
        let is_valid =
            f64::from(failed_permille) <= PERMILLE && (1..=MAX_REPORTED_RUNS).contains(&runs);
        is_valid.then_some(Self { failed_permille, runs })
    }

    fn from_counts(counts: RunCounts) -> Option<Self> {
        if counts.runs == 0 {
            return None;
        }
        let share = f64::from(counts.failed) / f64::from(counts.runs);
        Some(Self { failed_permille: (share * PERMILLE).round() as u32, runs: counts.runs })
    }
}

/// Returns the collector of a route's failure data: the VM of this rank in an order that depends on
/// the route and is equal on all nodes. Ranks beyond the last VM begin again at the first.
pub fn collector<'a>(
    kind: CallKind,
    vms: impl IntoIterator<Item = &'a VmName>,
    rank: usize,
) -> Option<&'a VmName> {
    let mut ranked: Vec<_> = vms.into_iter().map(|vm| (source_digest(kind, vm), vm)).collect();
    ranked.sort_unstable();
    let index = rank.checked_rem(ranked.len())?;
    ranked.get(index).map(|(_, vm)| *vm)
}

/// Returns a digest of a VM's name, equal on all nodes, that identifies the source of a share.
pub fn source_digest(seed: u64, vm: &VmName) -> u64 {
    let mut hasher = DefaultHasher::new();
    seed.hash(&mut hasher);
    vm.as_str().hash(&mut hasher);
    hasher.finish()
}

/// Runs of one route by time.
#[derive(Debug, Clone)]
struct RunWindow {
    buckets: [RunCounts; BUCKETS],
    /// Number of the newest bucket since time zero.
    newest: u64,
    next_probe_us: u64,
}

impl RunWindow {
    fn new(now_us: u64) -> Self {
        Self {
            buckets: [RunCounts::default(); BUCKETS],
            newest: now_us / BUCKET_US,
            next_probe_us: 0,
        }
    }

    fn advance(&mut self, now_us: u64) {
        let newest = (now_us / BUCKET_US).max(self.newest);
        let first_stale = newest.saturating_sub(BUCKETS as u64 - 1).max(self.newest + 1);
        for number in first_stale..=newest {
            self.buckets[number as usize % BUCKETS] = RunCounts::default();
        }
        self.newest = newest;
    }

    fn record(&mut self, now_us: u64, counts: RunCounts) {
        self.advance(now_us);
        self.buckets[self.newest as usize % BUCKETS].add(counts);
    }

    /// Returns the runs of the newest buckets that together hold the minimum number.
    fn recent(&mut self, now_us: u64) -> RunCounts {
        self.advance(now_us);
        let mut sum = RunCounts::default();
        for age in 0..BUCKETS as u64 {
            let Some(number) = self.newest.checked_sub(age) else { break };
            sum.add(self.buckets[number as usize % BUCKETS]);
            if sum.runs >= MIN_WINDOW_RUNS {
                break;
            }
        }
        sum
    }
}

/// Failure data at a node beside an upstream, by route digest.
#[derive(Debug, Default)]
pub struct RouteFailures {
    by_kind: IndexMap<CallKind, RunWindow>,
}

impl RouteFailures {
    /// Records runs of a route: one at the local upstream, or those that an entry node reports.
    /// Counts that no node can have are ignored.
    pub fn record(&mut self, now_us: u64, kind: CallKind, counts: RunCounts) {
        if counts.runs == 0 || counts.failed > counts.runs || counts.runs > MAX_REPORTED_RUNS {
            return;
        }
        self.window(now_us, kind).record(now_us, counts);
    }

    /// Returns the share of the route's recent runs that failed, or `None` without recent runs.
    pub fn share(&mut self, now_us: u64, kind: CallKind) -> Option<FailureShare> {
        FailureShare::from_counts(self.by_kind.get_mut(&kind)?.recent(now_us))
    }

    /// Returns whether an entry node that asks may admit a probe of the route now.
    ///
    /// The rate of probes is limited here, so it depends neither on the number of entry nodes nor on
    /// how many of them have requests of the route.
    pub fn grant_probe(&mut self, now_us: u64, kind: CallKind) -> bool {
        let window = self.window(now_us, kind);
        if now_us < window.next_probe_us {
            return false;
        }
        // Kept at the rate although nodes do not ask exactly when a probe is due. After a pause two
        // probes are granted at once.
        window.next_probe_us = (window.next_probe_us + PROBE_GRANT_INTERVAL_US).max(now_us);
        true
    }

    fn window(&mut self, now_us: u64, kind: CallKind) -> &mut RunWindow {
        if self.by_kind.len() >= MAX_ROUTES && !self.by_kind.contains_key(&kind) {
            self.by_kind.shift_remove_index(0);
        }
        self.by_kind.entry(kind).or_insert_with(|| RunWindow::new(now_us))
    }
}

/// Last report of one node about a route.
#[derive(Debug, Clone, Copy)]
struct SourceReport {
    share: FailureShare,
    overload: f64,
    received_us: u64,
}

/// Merged failure data of a route.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct MergedShare {
    /// Share of the runs that failed for lack of capacity, from 0.0 to 1.0.
    pub failure_share: f64,
    /// Overload of the nodes that reported, from 0.0 to 1.0.
    pub overload: f64,
    /// Number of runs behind the share, less those discounted for their age.
    pub effective_runs: f64,
}

/// Failure data of one route at an entry node, merged from the last report of each node that
/// answered.
#[derive(Debug, Default)]
pub struct MergedFailures {
    by_source: IndexMap<u64, SourceReport>,
}

impl MergedFailures {
    /// Records the report that an answer of a node brought. `source` identifies the node, and
    /// `overload` is the overload that it reported with the same answer.
    pub fn record(&mut self, now_us: u64, source: u64, share: FailureShare, overload: f64) {
        if self.by_source.len() >= MAX_SOURCES && !self.by_source.contains_key(&source) {
            self.by_source.shift_remove_index(0);
        }
        // Inserted anew, so that the order is that of the last reports.
        self.by_source.shift_remove(&source);
        self.by_source.insert(source, SourceReport { share, overload, received_us: now_us });
    }

    /// Returns the merged share.
    pub fn merged(&self, now_us: u64) -> MergedShare {
        let (mut failed, mut overload, mut weights) = (0.0, 0.0, 0.0);
        for report in self.by_source.values().rev() {
            let age_us = now_us.saturating_sub(report.received_us);
            if age_us >= SHARE_TTL_US {
                break;
            }
            let decay = (-(age_us as f64) / SHARE_TIME_CONSTANT_US).exp();
            let weight = f64::from(report.share.runs) * decay;
            failed += weight * f64::from(report.share.failed_permille) / PERMILLE;
            overload += weight * report.overload;
            weights += weight;
        }
        if weights == 0.0 {
            return MergedShare::default();
        }
        MergedShare {
            failure_share: failed / weights,
            overload: overload / weights,
            effective_runs: weights,
        }
    }
}

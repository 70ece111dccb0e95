//! Load that an upstream reports with its answers: the limit of an upstream that tells its slots
//! need not be learned from its refusals.
//!
//! Load pattern: an upstream rejects part of its calls although it has free slots. A limit that
//! falls with each refusal then falls to a single slot, and the calls that the upstream would have
//! taken are refused too. A report with free slots shows that a refusal says nothing about capacity.
//!
//! The report also contains the calls of other callers, and calls that the upstream still runs after
//! this node has given them up. They take slots that the node cannot use.

use crate::US_PER_S;

/// Maximum number of slots in a report that is believed.
pub const MAX_REPORTED_SLOTS: u32 = 100_000;
/// Maximum slowdown factor in a report that is believed.
pub const MAX_SLOWDOWN: f64 = 100.0;
/// Time for which a report is used, in microseconds. Afterwards the limit is learned again.
const REPORT_TTL_US: u64 = 2 * US_PER_S;

/// Load of an upstream as it reports it, in calls of all its callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedLoad {
    running: u32,
    waiting: u32,
    slots: u32,
    /// How long work takes now, in thousandths of the usual time.
    slowdown_permille: Option<u32>,
}

impl ReportedLoad {
    /// Creates a report. Returns `None` if it contradicts itself: without slots, with more than
    /// [`MAX_REPORTED_SLOTS`], or with more running calls than slots.
    pub fn new(running: u32, waiting: u32, slots: u32) -> Option<Self> {
        let is_consistent = (1..=MAX_REPORTED_SLOTS).contains(&slots) && running <= slots;
        is_consistent.then_some(Self { running, waiting, slots, slowdown_permille: None })
    }

    /// Sets the slowdown factor: how long work takes now, 1.0 as usual. A factor that is not above
    /// zero, above [`MAX_SLOWDOWN`] or not a number is ignored.
    #[must_use]
    pub fn with_slowdown(self, factor: f64) -> Self {
        let permille = (factor * 1_000.0).round();
        let is_valid = factor <= MAX_SLOWDOWN && permille >= 1.0;
        Self { slowdown_permille: is_valid.then_some(permille as u32), ..self }
    }

    /// Returns the slowdown factor, 1.0 as usual. `None` if the upstream reported none.
    pub fn slowdown(self) -> Option<f64> {
        self.slowdown_permille.map(|permille| f64::from(permille) / 1_000.0)
    }

    /// Returns the number of slots.
    pub fn slots(self) -> u32 {
        self.slots
    }
}

/// Last report of an upstream, and what this node had sent to it by then.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LastReport {
    load: ReportedLoad,
    /// Calls at the upstream that are not this node's.
    foreign_calls: u32,
    reported_us: u64,
}

impl LastReport {
    /// Creates the record of a report that arrives while `own_calls` of this node are at the
    /// upstream.
    pub(crate) fn new(now_us: u64, load: ReportedLoad, own_calls: u32) -> Self {
        let foreign_calls = (load.running.saturating_add(load.waiting)).saturating_sub(own_calls);
        Self { load, foreign_calls, reported_us: now_us }
    }

    pub(crate) fn is_fresh(&self, now_us: u64) -> bool {
        now_us.saturating_sub(self.reported_us) < REPORT_TTL_US
    }

    /// Returns the slots that this node may use, of an upstream that announced `announced_slots`.
    /// A report can lower the announced number, not raise it.
    pub(crate) fn slots(&self, announced_slots: u32) -> u32 {
        self.load.slots.min(announced_slots)
    }

    /// Returns the number of slots taken by calls that are not this node's.
    pub(crate) fn foreign_calls(&self) -> u32 {
        self.foreign_calls
    }

    /// Returns whether the upstream had a free slot and no queue.
    pub(crate) fn has_free_slot(&self) -> bool {
        self.load.running < self.load.slots && self.load.waiting == 0
    }
}

//! Load shedding by priority level, with levels propagated from called services to their callers.
//!
//! The priority of a request is derived from its class and a hash of its id, so that all hops sort
//! the requests of a class in the same way. Each node publishes the lowest priority that it still
//! admits. Piggybacking levels on answers follows DAGOR (Zhou et al., "Overload Control for Scaling
//! WeChat Microservices", SoCC 2018).

use model::Class;

use crate::{US_PER_MS, US_PER_S};

/// Number of priority levels within one class.
pub const LEVELS_PER_CLASS: u32 = 64;
/// Length of a controller window, in microseconds.
const WINDOW_US: u64 = 100 * US_PER_MS;
/// Time after which a reported level expires, in microseconds.
const LEVEL_TTL_US: u64 = US_PER_S;
/// Number of levels by which the published level falls after a window without refusals.
const LEVEL_DECREASE_PER_WINDOW: u32 = 8;

/// Priority of a request; higher values take precedence.
pub type Priority = u32;

/// Returns the priority of a request from its class and a hash of its id.
pub fn priority(class: Class, id_hash: u32) -> Priority {
    class.rank() * LEVELS_PER_CLASS + id_hash % LEVELS_PER_CLASS
}

/// Derives the published level from the arrivals and refusals of each window.
#[derive(Debug, Default)]
pub struct LevelController {
    window_start_us: u64,
    arrivals: Vec<u32>,
    refused: u32,
    level: Priority,
}

impl LevelController {
    /// Creates a controller whose level admits every priority.
    pub fn new() -> Self {
        let levels = LEVELS_PER_CLASS as usize * Class::ALL.len();
        Self { arrivals: vec![0; levels], ..Self::default() }
    }

    /// Returns the published level: the lowest priority that is still admitted.
    pub fn level(&mut self, now_us: u64) -> Priority {
        self.roll_window(now_us);
        self.level
    }

    /// Counts an arrival and its result.
    pub fn record(&mut self, now_us: u64, priority: Priority, result: ArrivalResult) {
        self.roll_window(now_us);
        let last = self.arrivals.len() - 1;
        self.arrivals[(priority as usize).min(last)] += 1;
        if result == ArrivalResult::Refused {
            self.refused += 1;
        }
    }

    fn roll_window(&mut self, now_us: u64) {
        if now_us.saturating_sub(self.window_start_us) < WINDOW_US {
            return;
        }
        self.window_start_us = now_us;
        self.level = self.next_level();
        self.arrivals.fill(0);
        self.refused = 0;
    }

    /// Returns the level for the next window.
    ///
    /// After refusals the level rises until about as many of the window's arrivals lie below it as
    /// were refused, and does not change if too few arrivals lie at or above it. Without refusals
    /// it falls.
    fn next_level(&self) -> Priority {
        if self.refused == 0 {
            return self.level.saturating_sub(LEVEL_DECREASE_PER_WINDOW);
        }
        let mut arrivals_below = 0;
        for (priority, count) in self.arrivals.iter().enumerate().skip(self.level as usize) {
            arrivals_below += count;
            if arrivals_below >= self.refused {
                return priority as Priority;
            }
        }
        self.level
    }
}

/// Whether the node refused or admitted an arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ArrivalResult {
    /// The node refused the arrival.
    Refused,
    /// The node admitted the arrival.
    Admitted,
}

/// Latest level that a node reported with its answers; expires unless a newer answer renews it.
#[derive(Debug, Clone, Copy, Default)]
pub struct ReportedLevel {
    level: Priority,
    reported_us: u64,
}

impl ReportedLevel {
    /// Stores the level reported with an answer, replacing the previous one.
    pub fn record(&mut self, now_us: u64, level: Priority) {
        self.level = level;
        self.reported_us = now_us;
    }

    /// Returns whether the reporting node would refuse a request of this priority.
    pub fn is_refused(&self, now_us: u64, priority: Priority) -> bool {
        now_us.saturating_sub(self.reported_us) < LEVEL_TTL_US && priority < self.level
    }
}

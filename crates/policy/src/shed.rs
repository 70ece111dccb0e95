//! Levels of refusal that travel back from deep services to the edge.
//!
//! A request has a priority made of its class and a hash of its id, so that all hops agree on which
//! requests of a class go first. Each node publishes the lowest priority that it still admits. The
//! idea of levels piggybacked on answers is DAGOR's (Zhou et al., "Overload Control for Scaling
//! WeChat Microservices", SoCC 2018).

use model::Class;

use crate::{US_PER_MS, US_PER_S};

/// Levels within one class.
pub const LEVELS_PER_CLASS: u32 = 64;
/// Length of one window of the controller, in microseconds.
const WINDOW_US: u64 = 100 * US_PER_MS;
/// Time after which a learnt level is forgotten, in microseconds.
const LEVEL_TTL_US: u64 = US_PER_S;
/// Steps that the level falls in a window without refusals.
const RELAX_STEPS: u32 = 8;

/// Priority of a request; higher goes first.
pub type Priority = u32;

/// Returns the priority of a request from its class and a hash of its id.
pub fn priority(class: Class, id_hash: u32) -> Priority {
    class.rank() * LEVELS_PER_CLASS + id_hash % LEVELS_PER_CLASS
}

/// Derives the published level from admissions and refusals in short windows.
#[derive(Debug, Default)]
pub struct LevelController {
    window_start_us: u64,
    admitted: Vec<u32>,
    refused: u32,
    level: Priority,
}

impl LevelController {
    /// Starts with everything admitted.
    pub fn new() -> Self {
        let levels = LEVELS_PER_CLASS as usize * Class::ALL.len();
        Self { admitted: vec![0; levels], ..Self::default() }
    }

    /// Returns the lowest priority that is still worth sending.
    pub fn level(&mut self, now_us: u64) -> Priority {
        self.roll(now_us);
        self.level
    }

    /// Takes an arrival into account.
    pub fn record(&mut self, now_us: u64, priority: Priority, is_refused: Refused) {
        self.roll(now_us);
        let last = self.admitted.len() - 1;
        self.admitted[(priority as usize).min(last)] += 1;
        if is_refused == Refused::Yes {
            self.refused += 1;
        }
    }

    fn roll(&mut self, now_us: u64) {
        if now_us.saturating_sub(self.window_start_us) < WINDOW_US {
            return;
        }
        self.window_start_us = now_us;
        self.level = self.next_level();
        self.admitted.fill(0);
        self.refused = 0;
    }

    /// Raises the level until about the refused number of calls lies below it.
    fn next_level(&self) -> Priority {
        if self.refused == 0 {
            return self.level.saturating_sub(RELAX_STEPS);
        }
        let mut below = 0;
        for (priority, count) in self.admitted.iter().enumerate().skip(self.level as usize) {
            below += count;
            if below >= self.refused {
                return priority as Priority;
            }
        }
        self.level
    }
}

/// Whether an arrival was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refused {
    /// The arrival was refused.
    Yes,
    /// The arrival was admitted.
    No,
}

/// A level learnt from answers, forgotten when no answer renews it.
#[derive(Debug, Clone, Copy, Default)]
pub struct LearntLevel {
    level: Priority,
    learnt_us: u64,
}

impl LearntLevel {
    /// Takes the level of an answer into account; the newest one counts.
    pub fn learn(&mut self, now_us: u64, level: Priority) {
        self.level = level;
        self.learnt_us = now_us;
    }

    /// Returns whether a request would be refused deeper down.
    pub fn is_refused(&self, now_us: u64, priority: Priority) -> bool {
        now_us.saturating_sub(self.learnt_us) < LEVEL_TTL_US && priority < self.level
    }
}

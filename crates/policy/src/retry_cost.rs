//! Cost of a retry, charged to the retry budget of the called service.
//!
//! A retried call makes its own calls again, and these theirs, all of which count as repeats at the
//! services that they go to. The cost is the number of calls that a run of this kind usually makes,
//! over all levels, so that retries high in a call chain are not multiplied below.

use indexmap::IndexMap;

use crate::slots::CallKind;

/// Weight of a new sample in the moving average of calls.
const EWMA_WEIGHT: f64 = 0.1;
/// Number of calls assumed for a kind before its first answer.
const DEFAULT_CALLS: f64 = 2.0;
/// Maximum number of kinds stored; the oldest is removed first.
const MAX_KINDS: usize = 1_024;

/// Mean number of calls that a run makes, by kind.
#[derive(Debug, Default)]
pub struct RetryCosts {
    mean_calls_by_kind: IndexMap<CallKind, f64>,
}

impl RetryCosts {
    /// Creates costs without any samples.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records how many calls an answered run made, over all levels below it.
    pub fn record_answer(&mut self, kind: CallKind, calls: u32) {
        if self.mean_calls_by_kind.len() >= MAX_KINDS
            && !self.mean_calls_by_kind.contains_key(&kind)
        {
            self.mean_calls_by_kind.shift_remove_index(0);
        }
        let calls = f64::from(calls);
        let mean = self.mean_calls_by_kind.entry(kind).or_insert(calls);
        *mean += EWMA_WEIGHT * (calls - *mean);
    }

    /// Returns the cost of a retry: the call itself and the calls that it makes again.
    pub fn cost(&self, kind: CallKind) -> f64 {
        1.0 + self.mean_calls_by_kind.get(&kind).copied().unwrap_or(DEFAULT_CALLS)
    }
}

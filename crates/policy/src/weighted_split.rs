//! Weighted distribution of a route's requests over services.

use std::sync::atomic::{AtomicU64, Ordering};

/// Fractional part of the golden ratio, scaled to 64 bits. Its multiples, modulo the range of
/// `u64`, form a low-discrepancy sequence, so that the shares hold over few requests as well.
const GOLDEN_RATIO_STEP: u64 = 0x9E37_79B9_7F4A_7C15;

/// Deterministic weighted choice of targets that matches the weights also over few requests.
#[derive(Debug)]
pub struct WeightedSplit {
    /// Exclusive upper bound of each target's interval in the range of `u64`.
    bounds: Vec<u64>,
    position: AtomicU64,
}

impl WeightedSplit {
    /// Creates a split with one target per weight.
    ///
    /// Weights must not be negative nor all zero. `start` is the initial position of the sequence;
    /// any value is valid.
    pub fn new(weights: impl IntoIterator<Item = f64>, start: u64) -> Self {
        let mut total = 0.0;
        let cumulative_weights: Vec<f64> = weights
            .into_iter()
            .map(|weight| {
                total += weight;
                total
            })
            .collect();
        let bounds =
            cumulative_weights.iter().map(|sum| (sum / total * u64::MAX as f64) as u64).collect();
        Self { bounds, position: AtomicU64::new(start) }
    }

    /// Returns the index of the target for the next request.
    pub fn next(&self) -> usize {
        let position = self.position.fetch_add(GOLDEN_RATIO_STEP, Ordering::Relaxed);
        self.bounds.iter().position(|bound| position < *bound).unwrap_or_else(|| {
            // `u64::MAX` is below no bound. It selects the last target with a positive weight.
            let last = self.bounds.last();
            self.bounds.iter().position(|bound| Some(bound) == last).unwrap_or(0)
        })
    }
}

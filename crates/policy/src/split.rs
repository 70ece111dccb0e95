//! Splits the requests of a route over services by weight.

use std::sync::atomic::{AtomicU64, Ordering};

/// Fractional part of the golden ratio, scaled to 64 bits. Steps of it spread evenly, so that the
/// shares hold over short spans as well.
const GOLDEN_STEP: u64 = 0x9E37_79B9_7F4A_7C15;

/// Weighted split with an even spread.
#[derive(Debug)]
pub struct WeightedSplit {
    /// Upper bounds of the targets' parts of the range of `u64`.
    bounds: Vec<u64>,
    position: AtomicU64,
}

impl WeightedSplit {
    /// Makes a split. Weights are at least zero and not all zero; `start` is any number.
    pub fn new(weights: impl IntoIterator<Item = f64>, start: u64) -> Self {
        let mut total = 0.0;
        let sums: Vec<f64> = weights
            .into_iter()
            .map(|weight| {
                total += weight;
                total
            })
            .collect();
        let bounds = sums.iter().map(|sum| (sum / total * u64::MAX as f64) as u64).collect();
        Self { bounds, position: AtomicU64::new(start) }
    }

    /// Returns the index of the next request's target.
    pub fn next(&self) -> usize {
        let position = self.position.fetch_add(GOLDEN_STEP, Ordering::Relaxed);
        self.bounds.iter().position(|bound| position < *bound).unwrap_or_else(|| {
            let last = self.bounds.last();
            self.bounds.iter().position(|bound| Some(bound) == last).unwrap_or(0)
        })
    }
}

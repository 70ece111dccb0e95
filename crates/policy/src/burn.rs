//! Service-level burn: how fast a service uses up the errors that its objective allows.
//!
//! A burn rate of one uses up the budget in exactly the objective's period; above one it runs out
//! earlier.

use std::collections::VecDeque;

/// Length of one bucket, in seconds.
pub const BUCKET_S: u64 = 300;
/// Buckets kept: three days.
pub const MAX_BUCKETS: usize = 864;

/// Counts of one bucket.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct BurnBucket {
    /// Start, in Unix seconds; a multiple of the bucket's length.
    pub start_unix_s: u64,
    /// Finished requests.
    pub total: u64,
    /// Requests within the objective.
    pub good: u64,
    /// Retries that they used.
    pub retries: u64,
}

/// Counts of one route over time, bounded.
#[derive(Debug, Clone, Default)]
pub struct BurnSeries {
    buckets: VecDeque<BurnBucket>,
}

impl BurnSeries {
    /// Starts empty.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a finished request.
    pub fn record(&mut self, now_unix_s: u64, quality: Quality, retries: u32) {
        self.merge(BurnBucket {
            start_unix_s: now_unix_s / BUCKET_S * BUCKET_S,
            total: 1,
            good: u64::from(quality == Quality::Good),
            retries: u64::from(retries),
        });
    }

    /// Adds the counts of a bucket, as of another node.
    pub fn merge(&mut self, bucket: BurnBucket) {
        let position = self.buckets.partition_point(|own| own.start_unix_s < bucket.start_unix_s);
        match self.buckets.get_mut(position) {
            Some(own) if own.start_unix_s == bucket.start_unix_s => {
                own.total += bucket.total;
                own.good += bucket.good;
                own.retries += bucket.retries;
            }
            _ => self.buckets.insert(position, bucket),
        }
        if self.buckets.len() > MAX_BUCKETS {
            self.buckets.pop_front();
        }
    }

    /// Returns the buckets, oldest first.
    pub fn buckets(&self) -> impl Iterator<Item = &BurnBucket> {
        self.buckets.iter()
    }

    /// Returns the sum of the buckets that end within a window before a time.
    pub fn sum(&self, now_unix_s: u64, window_s: u64) -> BurnBucket {
        let start_unix_s = now_unix_s.saturating_sub(window_s);
        let is_inside = |bucket: &&BurnBucket| bucket.start_unix_s + BUCKET_S > start_unix_s;
        let mut sum = BurnBucket { start_unix_s, ..BurnBucket::default() };
        for bucket in self.buckets.iter().filter(is_inside) {
            sum.total += bucket.total;
            sum.good += bucket.good;
            sum.retries += bucket.retries;
        }
        sum
    }
}

/// Whether a request met its objective.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Quality {
    /// Answered in time.
    Good,
    /// Refused, failed or late.
    Bad,
}

/// Returns the burn rate of counts under an objective in percent; nothing without requests.
pub fn burn_rate(counts: BurnBucket, objective_percent: f64) -> Option<f64> {
    if counts.total == 0 {
        return None;
    }
    let bad_share = (counts.total - counts.good) as f64 / counts.total as f64;
    Some(bad_share / (1.0 - objective_percent / 100.0))
}

//! Error budget burn rate: how fast a service consumes the errors that its objective allows.
//!
//! A burn rate of 1.0 consumes the error budget in exactly the objective's period, a higher one in
//! less time.

use std::collections::VecDeque;

/// Length of a bucket, in seconds.
pub const BUCKET_S: u64 = 300;
/// Maximum number of buckets kept in a series: three days.
pub const MAX_BUCKETS: usize = 864;

/// Request counts of one bucket or of a sum of buckets.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct BurnBucket {
    /// Start time, in Unix seconds; a multiple of [`BUCKET_S`] for a single bucket.
    pub start_unix_s: u64,
    /// Number of finished requests.
    pub total: u64,
    /// Number of finished requests that met the objective.
    pub good: u64,
    /// Number of retries made for the finished requests.
    pub retries: u64,
}

/// Time series of the request counts of one route, limited to [`MAX_BUCKETS`] buckets.
#[derive(Debug, Clone, Default)]
pub struct BurnSeries {
    buckets: VecDeque<BurnBucket>,
}

impl BurnSeries {
    /// Creates an empty series.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a finished request in the bucket of the current time.
    pub fn record(&mut self, now_unix_s: u64, quality: Quality, retries: u32) {
        self.merge(BurnBucket {
            start_unix_s: now_unix_s / BUCKET_S * BUCKET_S,
            total: 1,
            good: u64::from(quality == Quality::Good),
            retries: u64::from(retries),
        });
    }

    /// Adds the counts of a bucket, for example one from another node.
    pub fn merge(&mut self, bucket: BurnBucket) {
        let position =
            self.buckets.partition_point(|existing| existing.start_unix_s < bucket.start_unix_s);
        match self.buckets.get_mut(position) {
            Some(existing) if existing.start_unix_s == bucket.start_unix_s => {
                existing.total += bucket.total;
                existing.good += bucket.good;
                existing.retries += bucket.retries;
            }
            _ => self.buckets.insert(position, bucket),
        }
        if self.buckets.len() > MAX_BUCKETS {
            self.buckets.pop_front();
        }
    }

    /// Returns an iterator over the buckets, oldest first.
    pub fn buckets(&self) -> impl Iterator<Item = &BurnBucket> {
        self.buckets.iter()
    }

    /// Returns the sum of the buckets that end after the start of the window, which covers
    /// `window_s` seconds before `now_unix_s`.
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
    /// The request was answered within its latency objective.
    Good,
    /// The request was refused, failed or answered late.
    Bad,
}

/// Returns the burn rate of the counts for an objective in percent, or `None` without requests.
pub fn burn_rate(counts: BurnBucket, objective_percent: f64) -> Option<f64> {
    if counts.total == 0 {
        return None;
    }
    let bad_share = (counts.total - counts.good) as f64 / counts.total as f64;
    Some(bad_share / (1.0 - objective_percent / 100.0))
}

//! Rate limit that an upstream names for the requests of all nodes together.
//!
//! Only the node beside an upstream connects to it, so one token bucket there bounds the sum. A
//! call takes a token when it is sent. Less urgent priorities share what more urgent ones are
//! expected to leave, and keep at least a minimum share.

use std::collections::BTreeMap;

use crate::US_PER_S;
use crate::slots::CallPriority;

/// Time whose tokens may accumulate and be used at once, in seconds.
const BURST_S: f64 = 0.5;
/// Minimum rate at which calls are sent, in calls per second. An upstream that names a lower limit
/// still gets a call now and then, since only an answer can end the limit.
const MIN_RATE_PER_S: f64 = 0.25;
/// Maximum rate, in calls per second. A limit above it binds no upstream.
const MAX_RATE_PER_S: f64 = 1e6;
/// Time for which a limit applies after the upstream has ceased to name it, in microseconds. An
/// upstream that names it again within this time does not get a burst in between.
const HOLD_US: u64 = US_PER_S;
/// Minimum share of the rate for each priority.
const MIN_SHARE: f64 = 0.15;
/// Time constant of the exponential decay of arrival rates, in microseconds.
const DEMAND_TIME_CONSTANT_US: f64 = US_PER_S as f64;
/// Maximum number of priorities that are told apart; the least urgent ones count as one.
const MAX_PRIORITIES: usize = 16;

/// Tokens that accumulate at a rate.
#[derive(Debug, Clone, Copy)]
struct Bucket {
    rate_per_s: f64,
    tokens: f64,
    updated_us: u64,
}

impl Bucket {
    fn new(now_us: u64, rate_per_s: f64) -> Self {
        Self { rate_per_s, tokens: 1.0, updated_us: now_us }
    }

    /// Returns the tokens at a time. A bucket holds one token at least, so that slow rates work.
    fn tokens(&self, now_us: u64) -> f64 {
        let elapsed_s = now_us.saturating_sub(self.updated_us) as f64 / US_PER_S as f64;
        let capacity = (self.rate_per_s * BURST_S).max(1.0);
        (self.tokens + elapsed_s * self.rate_per_s).min(capacity)
    }

    fn set_rate(&mut self, now_us: u64, rate_per_s: f64) {
        self.tokens = self.tokens(now_us);
        self.updated_us = now_us;
        self.rate_per_s = rate_per_s;
    }

    fn take(&mut self, now_us: u64) {
        self.tokens = self.tokens(now_us) - 1.0;
        self.updated_us = now_us;
    }

    /// Returns the time until the bucket has this number of tokens, in microseconds.
    fn wait_us(&self, now_us: u64, tokens: f64) -> u64 {
        let missing = (tokens - self.tokens(now_us)).max(0.0);
        (missing / self.rate_per_s * US_PER_S as f64).ceil() as u64
    }
}

/// Arrivals of one priority and the tokens that it may use.
#[derive(Debug)]
struct PriorityShare {
    demand_per_s: f64,
    demand_updated_us: u64,
    bucket: Bucket,
}

impl PriorityShare {
    fn demand_per_s(&self, now_us: u64) -> f64 {
        let age_us = now_us.saturating_sub(self.demand_updated_us) as f64;
        self.demand_per_s * (-age_us / DEMAND_TIME_CONSTANT_US).exp()
    }

    fn record_arrival(&mut self, now_us: u64) {
        let per_arrival = US_PER_S as f64 / DEMAND_TIME_CONSTANT_US;
        self.demand_per_s = self.demand_per_s(now_us) + per_arrival;
        self.demand_updated_us = now_us;
    }
}

/// Token bucket for the rate that an upstream names, shared by the priorities of its calls.
#[derive(Debug)]
pub struct NamedLimit {
    total: Bucket,
    shares: BTreeMap<CallPriority, PriorityShare>,
    /// Time at which the limit ceases to apply, unless the upstream names it again.
    ends_us: Option<u64>,
}

impl NamedLimit {
    /// Creates a limit of this rate, in calls per second, with a single token.
    pub fn new(now_us: u64, limit_per_s: f64) -> Self {
        Self {
            total: Bucket::new(now_us, sending_rate(limit_per_s)),
            shares: BTreeMap::new(),
            ends_us: None,
        }
    }

    /// Changes the rate and keeps the tokens, as far as the new rate allows them.
    pub fn set_limit(&mut self, now_us: u64, limit_per_s: f64) {
        self.ends_us = None;
        self.total.set_rate(now_us, sending_rate(limit_per_s));
        self.update_shares(now_us);
    }

    /// Records that the upstream has ceased to name the limit.
    pub fn end(&mut self, now_us: u64) {
        self.ends_us.get_or_insert(now_us + HOLD_US);
    }

    /// Returns whether the limit has ceased to apply.
    pub fn has_ended(&self, now_us: u64) -> bool {
        self.ends_us.is_some_and(|ends_us| now_us >= ends_us)
    }

    /// Records that a call arrived, whether it is sent or not.
    pub fn record_arrival(&mut self, now_us: u64, priority: CallPriority) {
        let priority = self.known_priority(priority);
        let rate_per_s = self.total.rate_per_s;
        let share = self.shares.entry(priority).or_insert_with(|| PriorityShare {
            demand_per_s: 0.0,
            demand_updated_us: now_us,
            bucket: Bucket::new(now_us, rate_per_s),
        });
        share.record_arrival(now_us);
        self.update_shares(now_us);
    }

    /// Returns whether a call of this priority may be sent now.
    pub fn has_token(&self, now_us: u64, priority: CallPriority) -> bool {
        self.total.tokens(now_us) >= 1.0
            && self.share(priority).is_none_or(|share| share.bucket.tokens(now_us) >= 1.0)
    }

    /// Takes the token of a call that is sent.
    pub fn take(&mut self, now_us: u64, priority: CallPriority) {
        self.total.take(now_us);
        let priority = self.known_priority(priority);
        if let Some(share) = self.shares.get_mut(&priority) {
            share.bucket.take(now_us);
        }
    }

    /// Returns whether this priority is at its minimum share and has a token of it, so that its
    /// next call goes before more urgent ones.
    pub fn is_due(&self, now_us: u64, priority: CallPriority) -> bool {
        let min_rate_per_s = self.total.rate_per_s * MIN_SHARE;
        self.share(priority).is_some_and(|share| {
            share.bucket.rate_per_s <= min_rate_per_s && share.bucket.tokens(now_us) >= 1.0
        })
    }

    /// Returns the time until a call may be sent, in microseconds. `ahead` is the number of calls
    /// before it, `ahead_of_priority` the number of those that have its priority.
    pub fn wait_us(
        &self,
        now_us: u64,
        priority: CallPriority,
        ahead: usize,
        ahead_of_priority: usize,
    ) -> u64 {
        let total_us = self.total.wait_us(now_us, ahead as f64 + 1.0);
        let share_us = self
            .share(priority)
            .map_or(0, |share| share.bucket.wait_us(now_us, ahead_of_priority as f64 + 1.0));
        total_us.max(share_us)
    }

    /// Returns the number of calls that may be sent at once.
    pub fn tokens(&self, now_us: u64) -> u32 {
        self.total.tokens(now_us).max(0.0) as u32
    }

    fn share(&self, priority: CallPriority) -> Option<&PriorityShare> {
        self.shares.get(&self.known_priority(priority))
    }

    /// Returns the priority, or the least urgent known one if the table is full.
    fn known_priority(&self, priority: CallPriority) -> CallPriority {
        if self.shares.len() < MAX_PRIORITIES || self.shares.contains_key(&priority) {
            return priority;
        }
        self.shares.last_key_value().map_or(priority, |(last, _)| *last)
    }

    /// Sets the rate of each priority to what more urgent ones leave, or to its minimum share.
    fn update_shares(&mut self, now_us: u64) {
        let total_per_s = self.total.rate_per_s;
        let mut remaining_per_s = total_per_s;
        for share in self.shares.values_mut() {
            share.bucket.set_rate(now_us, remaining_per_s.max(total_per_s * MIN_SHARE));
            remaining_per_s -= share.demand_per_s(now_us);
        }
    }
}

fn sending_rate(limit_per_s: f64) -> f64 {
    limit_per_s.clamp(MIN_RATE_PER_S, MAX_RATE_PER_S)
}

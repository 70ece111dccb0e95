//! Overload of deep services, as the nodes above them learn of it.
//!
//! A refused call fails the whole request above it, after work was spent on every hop. So each node
//! tells with its answers how likely a request handled there fails for want of room, at its own
//! upstream or below. The figure travels up the call graph with the answers, and the node where a
//! request enters refuses some before anything has run. Requests of a lower rank are refused at a lower
//! pressure, so that more important ones pass.

use indexmap::IndexMap;

use crate::fading::FadingShare;
use crate::{US_PER_MS, US_PER_S};

/// Memory of pressures and failures, in microseconds. Each hop of a chain adds it to the time that news
/// takes to where requests enter.
pub const MEMORY_US: u64 = 200 * US_PER_MS;
/// Wait for a slot that a call of a begun request bears without harm, in microseconds. A chain makes
/// several such calls in a row.
const HARMLESS_WAIT_US: u64 = 20 * US_PER_MS;
/// Wait at which such a call counts as lost, in microseconds: with a few in a row the request is late.
const HARMFUL_WAIT_US: u64 = 200 * US_PER_MS;
/// Pressure above which requests of the last rank are refused.
const LAST_RANK_TARGET: f64 = 0.04;
/// Pressure above which requests of the first rank are refused. Until then lesser ones make room.
const FIRST_RANK_TARGET: f64 = 0.25;
/// Share of a route's requests that fails without overload; below it a route is not throttled.
const BASE_FAILURE_SHARE: f64 = 0.015;
/// Pause between two steps of a throttle, in microseconds.
const STEP_US: u64 = 100 * US_PER_MS;
/// Cut of the admitted share in one step, for each unit of pressure above the target. The pressure is
/// the share of requests that fail for want of room; news of it takes about a second to travel up a
/// chain, in which the ten steps together take out as many.
const CUT_PER_PRESSURE: f64 = 0.1;
/// Growth of the admitted share in one step without any pressure.
const GROWTH: f64 = 0.04;
/// Smallest admitted share, so that no kind of request starves.
const MIN_SHARE: f64 = 0.1;
/// Requests that may be admitted in a row above the share.
const MAX_CREDIT: f64 = 3.0;
/// Callers that come back as told are admitted before others, on as much credit.
const RETURN_CREDIT: f64 = 3.0;
/// Time for which a caller that was told to come back is expected, in microseconds.
const RETURN_TOLERANCE_US: u64 = US_PER_S;
/// Most callers that are expected back.
const MAX_RETURNS: usize = 4_096;

/// Returns how far a wait for a slot harms the request above, from zero to one.
pub fn harm_of_wait(wait_us: u64) -> f64 {
    let excess_us = wait_us.saturating_sub(HARMLESS_WAIT_US) as f64;
    (excess_us / (HARMFUL_WAIT_US - HARMLESS_WAIT_US) as f64).min(1.0)
}

/// Pressure at one node: of its own upstream and of what that upstream calls.
#[derive(Debug)]
pub struct NodePressure {
    /// Harm done to calls of begun requests by waiting here.
    own: FadingShare,
    /// Pressure met by the calls of the upstream.
    below: FadingShare,
}

impl Default for NodePressure {
    fn default() -> Self {
        Self { own: FadingShare::new(MEMORY_US), below: FadingShare::new(MEMORY_US) }
    }
}

impl NodePressure {
    /// Takes into account how long a call of a begun request waited here.
    pub fn record_wait(&mut self, now_us: u64, wait_us: u64) {
        self.own.record(now_us, harm_of_wait(wait_us));
    }

    /// Takes a refused call of a begun request into account.
    pub fn record_refusal(&mut self, now_us: u64) {
        self.own.record(now_us, 1.0);
    }

    /// Takes a call of the upstream into account: the pressure at its callee, one if it was refused.
    pub fn record_call(&mut self, now_us: u64, pressure: f64) {
        self.below.record(now_us, pressure);
    }

    /// Returns the chance that a request handled here fails for want of room.
    ///
    /// Calls are refused by an order that their request has on all hops, so several calls of one request
    /// share its fate and do not multiply the chance.
    pub fn value(&self, now_us: u64) -> f64 {
        1.0 - (1.0 - self.own.value(now_us)) * (1.0 - self.below.value(now_us))
    }
}

/// Share of one route's new requests that a node admits.
#[derive(Debug)]
pub struct EntryThrottle {
    share: f64,
    /// Admissions that the share still allows.
    credit: f64,
    stepped_us: u64,
    failures: FadingShare,
    returns: IndexMap<u64, u64>,
}

impl Default for EntryThrottle {
    fn default() -> Self {
        Self {
            share: 1.0,
            credit: MAX_CREDIT,
            stepped_us: 0,
            failures: FadingShare::new(MEMORY_US),
            returns: IndexMap::new(),
        }
    }
}

impl EntryThrottle {
    /// Takes the end of a request into account that was admitted.
    pub fn record_end(&mut self, now_us: u64, has_failed: bool) {
        self.failures.record(now_us, if has_failed { 1.0 } else { 0.0 });
    }

    /// Returns whether a request is admitted.
    ///
    /// `pressure` is that of the route's service, `caller` a digest by which a caller that comes back
    /// is known. Callers that come back as told go first; together with them no more than the share
    /// is admitted.
    pub fn admits(&mut self, now_us: u64, pressure: f64, rank: u32, caller: u64) -> bool {
        self.step(now_us, pressure, rank);
        self.credit = (self.credit + self.share).min(MAX_CREDIT);
        let needed = if self.take_return(now_us, caller) { 1.0 - RETURN_CREDIT } else { 1.0 };
        if self.credit < needed {
            return false;
        }
        self.credit -= 1.0;
        true
    }

    /// Expects a refused caller back after a time.
    pub fn expect_return(&mut self, now_us: u64, caller: u64, after_us: u64) {
        if self.returns.len() >= MAX_RETURNS {
            self.returns.shift_remove_index(0);
        }
        self.returns.insert(caller, now_us + after_us);
    }

    /// Returns the admitted share.
    pub fn share(&self) -> f64 {
        self.share
    }

    fn step(&mut self, now_us: u64, pressure: f64, rank: u32) {
        if now_us.saturating_sub(self.stepped_us) < STEP_US {
            return;
        }
        self.stepped_us = now_us;
        let target = target_of(rank);
        let is_failing = self.failures.value(now_us) > BASE_FAILURE_SHARE;
        if pressure < target {
            self.share += GROWTH * (1.0 - pressure / target);
        } else if is_failing {
            self.share *= 1.0 - CUT_PER_PRESSURE * (pressure - target);
        }
        self.share = self.share.clamp(MIN_SHARE, 1.0);
    }

    fn take_return(&mut self, now_us: u64, caller: u64) -> bool {
        let Some(due_us) = self.returns.swap_remove(&caller) else { return false };
        // An early return did not wait as told.
        let earliest_us = due_us.saturating_sub(STEP_US);
        (earliest_us..due_us + RETURN_TOLERANCE_US).contains(&now_us)
    }
}

fn target_of(rank: u32) -> f64 {
    match rank {
        0 => FIRST_RANK_TARGET,
        1 => (FIRST_RANK_TARGET + LAST_RANK_TARGET) / 2.0,
        _ => LAST_RANK_TARGET,
    }
}

//! Throttles of new requests, one for each kind, kept over changes of the configuration.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use daemon::Clock;
use indexmap::IndexMap;
use policy::pressure::EntryThrottle;
use policy::retry_after;
use policy::slots::KindKey;

/// Most kinds with a throttle; the oldest goes first. More routes than a configuration usually has.
const MAX_KINDS: usize = 4_096;

/// A new request, as a throttle sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct NewRequest {
    pub(crate) kind: KindKey,
    pub(crate) rank: u32,
    /// Digest by which a caller that comes back with the same request is known.
    pub(crate) caller: u64,
}

/// Throttles by kind.
pub(crate) struct EntryThrottles {
    clock: Clock,
    by_kind: Mutex<IndexMap<KindKey, EntryThrottle>>,
}

impl EntryThrottles {
    pub(crate) fn new(clock: Clock) -> Self {
        Self { clock, by_kind: Mutex::default() }
    }

    /// Admits a request, given the pressure at its service.
    ///
    /// # Errors
    ///
    /// Returns when a refused caller should come back.
    pub(crate) fn admit(&self, request: NewRequest, pressure: f64) -> Result<(), Duration> {
        let now_us = self.clock.now_us();
        let mut by_kind = self.lock();
        if by_kind.len() >= MAX_KINDS && !by_kind.contains_key(&request.kind) {
            by_kind.shift_remove_index(0);
        }
        let throttle = by_kind.entry(request.kind).or_default();
        if throttle.admits(now_us, pressure, request.rank, request.caller) {
            return Ok(());
        }
        let wait = retry_after::THROTTLE_WAIT;
        throttle.expect_return(now_us, request.caller, wait.as_micros() as u64);
        Err(wait)
    }

    /// Takes the end of an admitted request into account.
    pub(crate) fn record_end(&self, kind: KindKey, has_failed: bool) {
        let now_us = self.clock.now_us();
        if let Some(throttle) = self.lock().get_mut(&kind) {
            throttle.record_end(now_us, has_failed);
        }
    }

    fn lock(&self) -> MutexGuard<'_, IndexMap<KindKey, EntryThrottle>> {
        self.by_kind.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

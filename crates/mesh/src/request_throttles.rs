//! Admission throttles of new requests, one for each route. They persist across configuration
//! changes.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use daemon::Clock;
use indexmap::IndexMap;
use policy::overload::RequestThrottle;
use policy::retry_after;
use policy::slots::CallKind;

/// Maximum number of throttles; the oldest is evicted first. More than the routes of usual
/// configurations.
const MAX_THROTTLES: usize = 4_096;

/// Properties of a new request that its throttle uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct NewRequest {
    /// Digest of the route.
    pub(crate) kind: CallKind,
    /// Priority level of the request; zero is the highest.
    pub(crate) priority_level: u32,
    /// Digest that identifies a caller that retries the same request.
    pub(crate) caller: u64,
}

/// Throttles by route digest.
pub(crate) struct RequestThrottles {
    clock: Clock,
    by_kind: Mutex<IndexMap<CallKind, RequestThrottle>>,
}

impl RequestThrottles {
    pub(crate) fn new(clock: Clock) -> Self {
        Self { clock, by_kind: Mutex::default() }
    }

    /// Admits or refuses a request, given the overload probability of its service from zero to one.
    ///
    /// # Errors
    ///
    /// Returns the time that the caller should wait before a retry if the request is refused.
    pub(crate) fn admit(&self, request: NewRequest, overload: f64) -> Result<(), Duration> {
        let now_us = self.clock.now_us();
        let mut by_kind = self.lock();
        if by_kind.len() >= MAX_THROTTLES && !by_kind.contains_key(&request.kind) {
            by_kind.shift_remove_index(0);
        }
        let throttle = by_kind.entry(request.kind).or_default();
        if throttle.try_admit(now_us, overload, request.priority_level, request.caller) {
            return Ok(());
        }
        let wait = retry_after::THROTTLE_RETRY_DELAY;
        throttle.expect_retry(now_us, request.caller, wait.as_micros() as u64);
        Err(wait)
    }

    /// Records the result of an admitted request.
    pub(crate) fn record_end(&self, kind: CallKind, has_failed: bool) {
        let now_us = self.clock.now_us();
        if let Some(throttle) = self.lock().get_mut(&kind) {
            throttle.record_end(now_us, has_failed);
        }
    }

    fn lock(&self) -> MutexGuard<'_, IndexMap<CallKind, RequestThrottle>> {
        self.by_kind.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

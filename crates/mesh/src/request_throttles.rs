//! Admission throttles of new requests, one for each route. They persist across configuration
//! changes.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use daemon::Clock;
use indexmap::IndexMap;
use model::VmName;
use policy::overload::{Exchange, ExchangeAnswer, RequestEnd, RequestThrottle};
use policy::retry_after;
use policy::shared_failures::{FailureShare, source_digest};
use policy::slots::CallKind;
use slog::{Logger, info};

use crate::metrics::Metrics;
use crate::settings::FailureEvidence;

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

/// Change of an admission ratio from which it is logged again.
const LOGGED_RATIO_CHANGE: f64 = 0.2;

/// Message that is due to the collector of a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct DueExchange {
    /// Digest of the route.
    pub(crate) kind: CallKind,
    pub(crate) exchange: Exchange,
}

/// Throttle of a route, and its ratio when it was logged last.
struct RouteThrottle {
    throttle: RequestThrottle,
    logged_ratio: f64,
}

impl RouteThrottle {
    fn new(evidence: FailureEvidence) -> Self {
        let throttle = match evidence {
            FailureEvidence::Own => RequestThrottle::default(),
            FailureEvidence::Shared => RequestThrottle::default().with_shared_failures(),
        };
        Self { throttle, logged_ratio: 1.0 }
    }
}

/// Throttles by route digest.
pub(crate) struct RequestThrottles {
    log: Logger,
    clock: Clock,
    evidence: FailureEvidence,
    metrics: Arc<Metrics>,
    by_kind: Mutex<IndexMap<CallKind, RouteThrottle>>,
}

impl RequestThrottles {
    pub(crate) fn new(
        log: Logger,
        clock: Clock,
        evidence: FailureEvidence,
        metrics: Arc<Metrics>,
    ) -> Self {
        Self { log, clock, evidence, metrics, by_kind: Mutex::default() }
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
        let route =
            by_kind.entry(request.kind).or_insert_with(|| RouteThrottle::new(self.evidence));
        let throttle = &mut route.throttle;
        let is_admitted =
            throttle.try_admit(now_us, overload, request.priority_level, request.caller);
        let ratio = throttle.admission_ratio();
        if (ratio - route.logged_ratio).abs() >= LOGGED_RATIO_CHANGE {
            let shared = throttle.merged_share(now_us);
            info!(self.log, "admission-ratio"; "route_digest" => request.kind,
                "priority_level" => request.priority_level, "ratio" => ratio,
                "previous" => route.logged_ratio, "overload" => overload,
                "failure_share" => throttle.capacity_failure_share(now_us),
                "shared_failure_share" => shared.failure_share,
                "shared_runs" => shared.effective_runs);
            route.logged_ratio = ratio;
        }
        if is_admitted {
            return Ok(());
        }
        let wait = match throttle.retry_delay_us(now_us) {
            Some(wait_us) => {
                self.metrics.refused_by_shared_failures.inc();
                Duration::from_micros(wait_us)
            }
            None => retry_after::THROTTLE_RETRY_DELAY,
        };
        throttle.expect_retry(now_us, request.caller, wait.as_micros() as u64);
        Err(wait)
    }

    /// Records the result of an admitted request and its time since admission.
    pub(crate) fn record_end(&self, kind: CallKind, end: RequestEnd, latency: Duration) {
        let now_us = self.clock.now_us();
        if let Some(RouteThrottle { throttle, .. }) = self.lock().get_mut(&kind) {
            throttle.record_end(now_us, end);
            if end != RequestEnd::Succeeded {
                throttle.record_failure_latency(latency.as_micros() as u64);
            }
        }
    }

    /// Records the share of a route that an answer of a node brought.
    pub(crate) fn record_share(
        &self,
        kind: CallKind,
        vm: &VmName,
        share: FailureShare,
        overload_permille: u32,
    ) {
        if self.evidence == FailureEvidence::Own {
            return;
        }
        let now_us = self.clock.now_us();
        let overload = f64::from(overload_permille) / 1_000.0;
        if let Some(RouteThrottle { throttle, .. }) = self.lock().get_mut(&kind) {
            throttle.record_share(now_us, source_digest(0, vm), share, overload);
        }
    }

    /// Returns the messages that are due to collectors of routes.
    pub(crate) fn take_exchanges(&self, nodes: usize) -> Vec<DueExchange> {
        if self.evidence == FailureEvidence::Own {
            return Vec::new();
        }
        let now_us = self.clock.now_us();
        let mut by_kind = self.lock();
        let reduced = by_kind.values().filter(|route| route.throttle.is_reduced_to_probes());
        self.metrics.routes_reduced_to_probes.set(reduced.count() as i64);
        let due = by_kind.iter_mut().filter_map(|(kind, route)| {
            let exchange = route.throttle.take_exchange(now_us, nodes)?;
            Some(DueExchange { kind: *kind, exchange })
        });
        due.collect()
    }

    /// Records the answer of a collector, with the overload that its node reported.
    pub(crate) fn record_exchange(
        &self,
        kind: CallKind,
        source: u64,
        answer: ExchangeAnswer,
        overload: f64,
    ) {
        let now_us = self.clock.now_us();
        if let Some(RouteThrottle { throttle, .. }) = self.lock().get_mut(&kind) {
            throttle.record_exchange(now_us, source, answer, overload);
        }
    }

    /// Records that a collector did not answer.
    pub(crate) fn record_lost_exchange(&self, due: DueExchange) {
        let now_us = self.clock.now_us();
        if let Some(RouteThrottle { throttle, .. }) = self.lock().get_mut(&due.kind) {
            throttle.record_lost_exchange(now_us, due.exchange);
        }
    }

    fn lock(&self) -> MutexGuard<'_, IndexMap<CallKind, RouteThrottle>> {
        self.by_kind.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

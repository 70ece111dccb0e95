//! Counts of callers' requests against their objectives, for the burn report.

use std::sync::{Mutex, MutexGuard, PoisonError};

use daemon::Clock;
use indexmap::IndexMap;
use model::{Class, ProfileName, Route, RouteName, ServiceName};
use policy::burn::{BurnSeries, Quality};
use serde_json::{Value, json};

/// Most routes that are counted; a profile change may bring new ones.
const MAX_ROUTES: usize = 400;

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct RouteKey {
    service: ServiceName,
    profile: ProfileName,
    route: RouteName,
    class: Class,
}

#[derive(Debug)]
struct RouteLog {
    objective_percent: f64,
    objective_latency_ms: u64,
    series: BurnSeries,
}

/// Counts by route, bounded in routes and time.
#[derive(Debug)]
pub(crate) struct BurnLog {
    started_unix_s: u64,
    routes: Mutex<IndexMap<RouteKey, RouteLog>>,
}

impl BurnLog {
    pub(crate) fn new() -> Self {
        Self { started_unix_s: now_unix_s(), routes: Mutex::new(IndexMap::new()) }
    }

    /// Counts a finished request of a caller.
    pub(crate) fn record(
        &self,
        service: &ServiceName,
        profile: &ProfileName,
        route: &Route,
        quality: Quality,
        retries: u32,
    ) {
        let key = RouteKey {
            service: service.clone(),
            profile: profile.clone(),
            route: route.name.clone(),
            class: route.class,
        };
        let mut routes = self.lock();
        if routes.len() >= MAX_ROUTES && !routes.contains_key(&key) {
            routes.shift_remove_index(0);
        }
        let log = routes.entry(key).or_insert_with(|| RouteLog {
            objective_percent: route.objective.good_percent,
            objective_latency_ms: route.objective.latency_ms,
            series: BurnSeries::new(),
        });
        log.objective_percent = route.objective.good_percent;
        log.objective_latency_ms = route.objective.latency_ms;
        log.series.record(now_unix_s(), quality, retries);
    }

    pub(crate) fn to_json(&self) -> Value {
        let routes = self.lock();
        let entries = routes.iter().map(|(key, log)| {
            let buckets = log.series.buckets().map(|bucket| {
                json!({
                    "start_unix_s": bucket.start_unix_s,
                    "total": bucket.total,
                    "good": bucket.good,
                    "retries": bucket.retries,
                })
            });
            json!({
                "service": key.service.as_str(),
                "profile": key.profile.as_str(),
                "route": key.route.as_str(),
                "class": key.class.as_str(),
                "objective_percent": log.objective_percent,
                "objective_latency_ms": log.objective_latency_ms,
                "buckets": buckets.collect::<Vec<_>>(),
            })
        });
        json!({
            "covered_since_unix_s": self.started_unix_s,
            "routes": entries.collect::<Vec<_>>(),
        })
    }

    fn lock(&self) -> MutexGuard<'_, IndexMap<RouteKey, RouteLog>> {
        self.routes.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn now_unix_s() -> u64 {
    Clock::unix_us() / 1_000_000
}

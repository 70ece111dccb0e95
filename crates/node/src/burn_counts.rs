//! Counts of all and of good caller requests per route, from which the burn rate of the error
//! budget is computed.

use std::sync::{Mutex, MutexGuard, PoisonError};

use daemon::Clock;
use indexmap::IndexMap;
use model::{Class, ProfileName, Route, RouteName, ServiceName};
use policy::burn::{BurnSeries, Quality};
use serde_json::{Value, json};

/// Maximum number of counted routes. When a profile change adds routes beyond it, those that were
/// added first are dropped.
const MAX_ROUTES: usize = 400;

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct RouteKey {
    service: ServiceName,
    profile: ProfileName,
    route: RouteName,
    class: Class,
}

#[derive(Debug)]
struct RouteCounts {
    objective_percent: f64,
    objective_latency_ms: u64,
    series: BurnSeries,
}

/// Request counts per route. The number of routes and the covered time are bounded.
#[derive(Debug)]
pub(crate) struct BurnCounts {
    started_unix_s: u64,
    routes: Mutex<IndexMap<RouteKey, RouteCounts>>,
}

impl BurnCounts {
    pub(crate) fn new() -> Self {
        Self { started_unix_s: now_unix_s(), routes: Mutex::new(IndexMap::new()) }
    }

    /// Counts a finished caller request.
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
        let counts = routes.entry(key).or_insert_with(|| RouteCounts {
            objective_percent: route.objective.good_percent,
            objective_latency_ms: route.objective.latency_ms,
            series: BurnSeries::new(),
        });
        counts.objective_percent = route.objective.good_percent;
        counts.objective_latency_ms = route.objective.latency_ms;
        counts.series.record(now_unix_s(), quality, retries);
    }

    pub(crate) fn to_json(&self) -> Value {
        let routes = self.lock();
        let entries = routes.iter().map(|(key, counts)| {
            let buckets = counts.series.buckets().map(|bucket| {
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
                "objective_percent": counts.objective_percent,
                "objective_latency_ms": counts.objective_latency_ms,
                "buckets": buckets.collect::<Vec<_>>(),
            })
        });
        json!({
            "covered_since_unix_s": self.started_unix_s,
            "routes": entries.collect::<Vec<_>>(),
        })
    }

    fn lock(&self) -> MutexGuard<'_, IndexMap<RouteKey, RouteCounts>> {
        self.routes.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn now_unix_s() -> u64 {
    Clock::unix_us() / 1_000_000
}

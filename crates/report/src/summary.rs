//! Adds up the counts of nodes and works out burn rates.

use indexmap::IndexMap;
use policy::burn::{BurnBucket, BurnSeries, burn_rate};

use crate::fetch::NodeBurn;

/// Name and length of a window.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Window {
    /// Name in reports.
    pub name: &'static str,
    /// Length, in seconds.
    pub length_s: u64,
}

/// Windows of the report, shortest first; the last one is the period of the error budget.
pub const WINDOWS: [Window; 4] = [
    Window { name: "5m", length_s: 300 },
    Window { name: "1h", length_s: 3_600 },
    Window { name: "6h", length_s: 21_600 },
    Window { name: "3d", length_s: 259_200 },
];

/// Burn of one route over all nodes.
#[derive(Debug, Clone)]
pub struct RouteSummary {
    /// Service.
    pub service: String,
    /// Profile.
    pub profile: String,
    /// Route.
    pub route: String,
    /// Class.
    pub class: String,
    /// Share of requests that are to be good, in percent.
    pub objective_percent: f64,
    /// Time within which a request is good, in milliseconds.
    pub objective_latency_ms: u64,
    /// Counts over time.
    pub series: BurnSeries,
    /// Counts of each window.
    pub windows: [BurnBucket; WINDOWS.len()],
}

impl RouteSummary {
    /// Returns the burn rate of a window; nothing without requests.
    pub fn burn(&self, window: usize) -> Option<f64> {
        burn_rate(self.windows[window], self.objective_percent)
    }

    /// Returns the share of the error budget that is left, in percent; negative when overspent.
    pub fn budget_left_percent(&self) -> Option<f64> {
        self.burn(WINDOWS.len() - 1).map(|burn| (1.0 - burn) * 100.0)
    }

    /// Returns the attempts for each finished request over the longest window.
    pub fn attempts_per_request(&self) -> Option<f64> {
        let counts = self.windows[WINDOWS.len() - 1];
        (counts.total > 0).then(|| 1.0 + counts.retries as f64 / counts.total as f64)
    }
}

/// Burn of all routes, and what is missing from it.
#[derive(Debug, Clone)]
pub struct Summary {
    /// Time of the report, in Unix seconds.
    pub now_unix_s: u64,
    /// Burn by route.
    pub routes: Vec<RouteSummary>,
    /// Nodes that did not answer, with the reason.
    pub missing_nodes: Vec<String>,
    /// Windows that not every node covers.
    pub uncovered_windows: Vec<&'static str>,
}

/// Adds up the counts of nodes.
pub fn summarize(now_unix_s: u64, nodes: &[NodeBurn], missing_nodes: Vec<String>) -> Summary {
    let mut routes: IndexMap<[String; 4], RouteSummary> = IndexMap::new();
    for route in nodes.iter().flat_map(|node| &node.routes) {
        let key = [&route.service, &route.profile, &route.route, &route.class].map(Clone::clone);
        let summary = routes.entry(key).or_insert_with(|| RouteSummary {
            service: route.service.clone(),
            profile: route.profile.clone(),
            route: route.route.clone(),
            class: route.class.clone(),
            objective_percent: route.objective_percent,
            objective_latency_ms: route.objective_latency_ms,
            series: BurnSeries::new(),
            windows: Default::default(),
        });
        for bucket in &route.buckets {
            summary.series.merge(BurnBucket {
                start_unix_s: bucket.start_unix_s,
                total: bucket.total,
                good: bucket.good,
                retries: bucket.retries,
            });
        }
    }
    for summary in routes.values_mut() {
        summary.windows = WINDOWS.map(|window| summary.series.sum(now_unix_s, window.length_s));
    }
    Summary {
        now_unix_s,
        routes: routes.into_values().collect(),
        missing_nodes,
        uncovered_windows: uncovered(now_unix_s, nodes),
    }
}

fn uncovered(now_unix_s: u64, nodes: &[NodeBurn]) -> Vec<&'static str> {
    let latest = nodes.iter().map(|node| node.covered_since_unix_s).max().unwrap_or(now_unix_s);
    let is_uncovered = |window: &&Window| latest + window.length_s > now_unix_s;
    WINDOWS.iter().filter(is_uncovered).map(|window| window.name).collect()
}

//! Merges the counts of all nodes and computes burn rates.

use indexmap::IndexMap;
use policy::burn::{BurnBucket, BurnSeries, burn_rate};

use crate::fetch::NodeCounts;

/// Time window that ends at the time of the report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Window {
    /// Name in the output, such as `5m`.
    pub name: &'static str,
    /// Length of the window, in seconds.
    pub length_s: u64,
}

/// Windows of the report, shortest first. The last one is the period of the error budget.
pub const WINDOWS: [Window; 4] = [
    Window { name: "5m", length_s: 300 },
    Window { name: "1h", length_s: 3_600 },
    Window { name: "6h", length_s: 21_600 },
    Window { name: "3d", length_s: 259_200 },
];

/// Counts of one route, added up over all nodes.
#[derive(Debug, Clone)]
pub struct RouteSummary {
    /// Name of the service.
    pub service: String,
    /// Name of the profile that defines the route.
    pub profile: String,
    /// Name of the route.
    pub route: String,
    /// Priority class of the requests, such as `sheddable-plus`.
    pub class: String,
    /// Target share of good requests, in percent.
    pub objective_percent: f64,
    /// Maximum latency of a good request, in milliseconds.
    pub objective_latency_ms: u64,
    /// Counts of each time interval.
    pub series: BurnSeries,
    /// Sum of the counts in each window, in the order of [`WINDOWS`].
    pub windows: [BurnBucket; WINDOWS.len()],
}

impl RouteSummary {
    /// Returns the burn rate of the window at an index of [`WINDOWS`].
    ///
    /// A rate of 1 spends the error budget exactly within its period. Returns `None` if the window
    /// has no requests.
    pub fn burn_rate(&self, window_index: usize) -> Option<f64> {
        burn_rate(self.windows[window_index], self.objective_percent)
    }

    /// Returns the remaining share of the error budget, in percent; negative if overspent.
    ///
    /// Returns `None` if there are no requests in the period of the budget.
    pub fn budget_left_percent(&self) -> Option<f64> {
        self.burn_rate(WINDOWS.len() - 1).map(|rate| (1.0 - rate) * 100.0)
    }

    /// Returns the mean number of attempts per finished request over the longest window.
    ///
    /// Returns `None` if the window has no requests.
    pub fn attempts_per_request(&self) -> Option<f64> {
        let counts = self.windows[WINDOWS.len() - 1];
        (counts.total > 0).then(|| 1.0 + counts.retries as f64 / counts.total as f64)
    }
}

/// Summary of all routes, with the nodes and windows for which counts are missing.
#[derive(Debug, Clone)]
pub struct Summary {
    /// Time of the report, in Unix seconds.
    pub now_unix_s: u64,
    /// Summary of each route, in the order in which the nodes first report it.
    pub routes: Vec<RouteSummary>,
    /// Error message of each node that sent no valid response.
    pub missing_nodes: Vec<String>,
    /// Names of the windows that begin before some node started to count.
    pub uncovered_windows: Vec<&'static str>,
}

/// Merges the counts of all nodes.
pub fn summarize(now_unix_s: u64, nodes: &[NodeCounts], missing_nodes: Vec<String>) -> Summary {
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
        uncovered_windows: uncovered_windows(now_unix_s, nodes),
    }
}

fn uncovered_windows(now_unix_s: u64, nodes: &[NodeCounts]) -> Vec<&'static str> {
    let latest_start_unix_s =
        nodes.iter().map(|node| node.covered_since_unix_s).max().unwrap_or(now_unix_s);
    let is_uncovered = |window: &&Window| latest_start_unix_s + window.length_s > now_unix_s;
    WINDOWS.iter().filter(is_uncovered).map(|window| window.name).collect()
}

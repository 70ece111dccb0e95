//! Overload profiles: what a service declares about its requests.

use crate::{Class, ProfileName, RouteName};

/// A checked overload profile.
#[derive(Debug, Clone, PartialEq)]
pub struct Profile {
    /// Name under which services pick the profile.
    pub name: ProfileName,
    /// Admission at the node beside the upstream.
    pub limits: LimitSettings,
    /// Retries of calls to the service.
    pub retries: RetrySettings,
    /// Routes; the first match applies.
    pub routes: Vec<Route>,
}

impl Profile {
    /// Returns the first route that matches a request.
    pub fn route(&self, method: &str, path: &str) -> Option<&Route> {
        self.routes.iter().find(|route| route.matches(method, path))
    }
}

/// Settings of admission.
#[derive(Debug, Clone, PartialEq)]
pub struct LimitSettings {
    /// Longest wait in the queue, in milliseconds.
    pub max_queue_delay_ms: u64,
    /// Lowest working limit, in calls at once.
    pub min_limit: u32,
    /// Time in which a cold upstream reaches its full limit, in milliseconds.
    pub cold_ramp_ms: u64,
    /// Share of admissions kept for the lower classes under overload, in percent.
    pub floor_percent: u32,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self { max_queue_delay_ms: 100, min_limit: 2, cold_ramp_ms: 2_000, floor_percent: 5 }
    }
}

/// Settings of retries.
#[derive(Debug, Clone, PartialEq)]
pub struct RetrySettings {
    /// Retries that one whole request may use over its call chain.
    pub allowance: u32,
    /// Retries as a share of recent successes, in percent.
    pub budget_percent: u32,
    /// Longest time of one attempt, in milliseconds.
    pub attempt_timeout_ms: u64,
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self { allowance: 3, budget_percent: 10, attempt_timeout_ms: 1_000 }
    }
}

/// One kind of request.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name, unique in the profile.
    pub name: RouteName,
    /// HTTP method; any when absent.
    pub method: Option<String>,
    /// Start of the path.
    pub path_prefix: String,
    /// Importance.
    pub class: Class,
    /// Whether the request may run more than once.
    pub is_idempotent: bool,
    /// Whether the request is claimed in the ledger before it runs here.
    pub is_claimed: bool,
    /// Time for the whole request, in milliseconds.
    pub deadline_ms: u64,
    /// Largest request body, in bytes.
    pub max_body_bytes: u64,
    /// Service-level objective.
    pub objective: Objective,
}

impl Route {
    /// Returns whether the route covers a request.
    pub fn matches(&self, method: &str, path: &str) -> bool {
        let is_method = self.method.as_deref().is_none_or(|own| own == method);
        is_method && path.starts_with(&self.path_prefix)
    }
}

/// Service-level objective of a route.
#[derive(Debug, Clone, PartialEq)]
pub struct Objective {
    /// Share of requests that finish in time, in percent.
    pub good_percent: f64,
    /// Time within which a finished request counts as good, in milliseconds.
    pub latency_ms: u64,
}

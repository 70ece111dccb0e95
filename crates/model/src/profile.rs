//! Overload profiles: the admission, retry and route settings of a service.

use crate::{Class, ProfileName, RouteName};

/// A validated overload profile.
#[derive(Debug, Clone, PartialEq)]
pub struct Profile {
    /// Unique name, by which upstreams select the profile in their announcements.
    pub name: ProfileName,
    /// Admission control at the node on the upstream's VM.
    pub limits: LimitSettings,
    /// Retries of failed calls to the service.
    pub retries: RetrySettings,
    /// Routes in the order of the profile text; the first match applies.
    pub routes: Vec<Route>,
}

impl Profile {
    /// Returns the first route that matches a request's method and path.
    pub fn route(&self, method: &str, path: &str) -> Option<&Route> {
        self.routes.iter().find(|route| route.matches(method, path))
    }
}

/// Admission control of the calls to one upstream.
#[derive(Debug, Clone, PartialEq)]
pub struct LimitSettings {
    /// Maximum time a call waits in the admission queue, in milliseconds.
    pub max_queue_delay_ms: u64,
    /// Lower bound of the adaptive concurrency limit, in concurrent calls.
    pub min_limit: u32,
    /// Time after the start of an upstream during which its concurrency limit ramps up to the full
    /// number of slots, in milliseconds.
    pub cold_ramp_ms: u64,
    /// Minimum share of admissions that go to queued calls of lower classes while calls of higher
    /// classes are queued, in percent. Zero gives no guarantee.
    pub floor_percent: u32,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self { max_queue_delay_ms: 100, min_limit: 2, cold_ramp_ms: 2_000, floor_percent: 5 }
    }
}

/// Limits on the retries of calls to a service.
#[derive(Debug, Clone, PartialEq)]
pub struct RetrySettings {
    /// Maximum number of retries of one request, summed over its call chain.
    pub allowance: u32,
    /// Maximum ratio of retries to recent successful calls, in percent.
    pub budget_percent: u32,
    /// Timeout of a single attempt, in milliseconds.
    pub attempt_timeout_ms: u64,
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self { allowance: 3, budget_percent: 10, attempt_timeout_ms: 1_000 }
    }
}

/// Settings of the requests that match a method and a path prefix.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name, unique within the profile; used in claims and reports.
    pub name: RouteName,
    /// HTTP method that the route matches; `None` matches any method.
    pub method: Option<String>,
    /// Path prefix that the route matches; starts with a slash.
    pub path_prefix: String,
    /// Class that decides which requests are refused first under overload.
    pub class: Class,
    /// Whether requests may safely run more than once.
    pub is_idempotent: bool,
    /// Whether a request must be claimed at the control replicas before it runs, so that no
    /// repetition with the same idempotency key runs too.
    pub is_claimed: bool,
    /// Time limit of a request including its retries, in milliseconds.
    pub deadline_ms: u64,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: u64,
    /// Service-level objective of the requests.
    pub objective: Objective,
}

impl Route {
    /// Returns whether the route matches a request's method and path.
    pub fn matches(&self, method: &str, path: &str) -> bool {
        let matches_method = self.method.as_deref().is_none_or(|expected| expected == method);
        matches_method && path.starts_with(&self.path_prefix)
    }
}

/// Service-level objective of a route.
#[derive(Debug, Clone, PartialEq)]
pub struct Objective {
    /// Target share of requests that are good, in percent.
    pub good_percent: f64,
    /// Latency up to which an answered request counts as good, in milliseconds.
    pub latency_ms: u64,
}

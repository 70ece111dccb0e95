//! The configuration of routes by host and path: one versioned set, checked and replaced as a whole.

use std::sync::Arc;

use indexmap::{IndexMap, IndexSet};
use quick_error::quick_error;

use crate::names::ServiceName;

/// How far the latency objective of a route may exceed its timeout, in milliseconds. A larger
/// difference is taken for a mistake in one of the two.
const MAX_OBJECTIVE_EXCESS_MS: u64 = 60_000;

quick_error! {
    /// A configuration that must not come into force.
    #[derive(Debug, Clone, PartialEq)]
    pub enum ConfigurationError {
        /// A route names a service that the configuration does not define.
        UnknownService(route: Arc<str>, service: ServiceName) {
            display("route {}: service {} is not defined", route, service)
        }
        /// No target of a route has a weight.
        NoWeight(route: Arc<str>) {
            display("route {}: the weights add up to zero", route)
        }
        /// A weight is negative or not finite.
        BadWeight(route: Arc<str>, weight: f64) {
            display("route {}: weight {} is not a finite number of at least zero", route, weight)
        }
        /// The latency objective is out of proportion to the timeout.
        ObjectiveBeyondTimeout(route: Arc<str>) {
            display("route {}: the latency objective is a minute or more above the timeout", route)
        }
        /// A route names no host.
        EmptyHost(route: Arc<str>) {
            display("route {}: the host is empty", route)
        }
        /// A path prefix does not begin and end with a slash.
        BadPrefix(route: Arc<str>, prefix: Arc<str>) {
            display("route {}: path prefix {:?} does not begin and end with a slash", route, prefix)
        }
        /// The version is zero, which stands for no configuration.
        NoVersion {
            display("the version must be above zero")
        }
    }
}

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Repeatability {
    /// The request is idempotent.
    Idempotent,
    /// The request runs at most once for each attempt of the caller.
    AtMostOnce,
}

/// A service that takes a share of a route's requests.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteTarget {
    /// Service.
    pub service: ServiceName,
    /// Share, relative to the other targets of the route.
    pub weight: f64,
}

/// A route by host and path prefix.
#[derive(Debug, Clone, PartialEq)]
pub struct HostRoute {
    /// Name, for logs and metrics.
    pub name: Arc<str>,
    /// Host that callers name, in lower case.
    pub host: Arc<str>,
    /// Beginning of the path; begins and ends with a slash.
    pub path_prefix: Arc<str>,
    /// Whether requests may run more than once.
    pub repeatability: Repeatability,
    /// Longest time that a caller waits, in milliseconds.
    pub timeout_ms: Option<u64>,
    /// Time within which an answer is fully useful, in milliseconds.
    pub objective_ms: Option<u64>,
    /// Order under overload; zero goes first.
    pub rank: u32,
    /// Services that share the requests.
    pub targets: Vec<RouteTarget>,
    /// Most upstreams that one attempt of the caller may reach.
    pub max_attempts: u32,
}

/// What callers may send, and for how long they may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest head of a request, in bytes.
    pub max_header_bytes: u64,
    /// Largest body of a request, in bytes.
    pub max_body_bytes: u64,
    /// Longest time for a head to arrive, in milliseconds.
    pub header_timeout_ms: u64,
    /// Longest time for which a connection stays open without a request, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl Default for CallerLimits {
    /// Limits before the first configuration: those of a common HTTP server.
    fn default() -> Self {
        Self {
            max_header_bytes: 16 * 1024,
            max_body_bytes: 64 * 1024 * 1024,
            header_timeout_ms: 10_000,
            idle_timeout_ms: 60_000,
        }
    }
}

/// A checked configuration, indexed by host.
#[derive(Debug, Clone, PartialEq)]
pub struct Configuration {
    version: u64,
    limits: CallerLimits,
    services: IndexSet<ServiceName>,
    /// Routes of each host, longest prefix first.
    routes_by_host: IndexMap<Arc<str>, Vec<Arc<HostRoute>>>,
}

impl Configuration {
    /// Checks and indexes routes.
    ///
    /// # Errors
    ///
    /// Returns the first fault that keeps the configuration from coming into force.
    pub fn new(
        version: u64,
        services: IndexSet<ServiceName>,
        routes: Vec<HostRoute>,
        limits: CallerLimits,
    ) -> Result<Self, ConfigurationError> {
        if version == 0 {
            return Err(ConfigurationError::NoVersion);
        }
        let mut routes_by_host: IndexMap<Arc<str>, Vec<Arc<HostRoute>>> = IndexMap::new();
        for route in routes {
            check_route(&route, &services)?;
            let host = Arc::clone(&route.host);
            routes_by_host.entry(host).or_default().push(Arc::new(route));
        }
        for routes in routes_by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        Ok(Self { version, limits, services, routes_by_host })
    }

    /// Returns the version.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the limits of the caller listener.
    pub fn limits(&self) -> CallerLimits {
        self.limits
    }

    /// Returns the services that the configuration defines.
    pub fn services(&self) -> impl Iterator<Item = &ServiceName> {
        self.services.iter()
    }

    /// Returns every route.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<HostRoute>> {
        self.routes_by_host.values().flatten()
    }

    /// Returns the route with the longest prefix of a path, among those of a host.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<HostRoute>> {
        let routes = match self.routes_by_host.get(host) {
            Some(routes) => routes,
            None => self.routes_by_host.get(host.to_ascii_lowercase().as_str())?,
        };
        routes.iter().find(|route| path.starts_with(&*route.path_prefix))
    }
}

fn check_route(
    route: &HostRoute,
    services: &IndexSet<ServiceName>,
) -> Result<(), ConfigurationError> {
    let name = || Arc::clone(&route.name);
    if route.host.is_empty() {
        return Err(ConfigurationError::EmptyHost(name()));
    }
    if !route.path_prefix.starts_with('/') || !route.path_prefix.ends_with('/') {
        return Err(ConfigurationError::BadPrefix(name(), Arc::clone(&route.path_prefix)));
    }
    for target in &route.targets {
        if !services.contains(&target.service) {
            return Err(ConfigurationError::UnknownService(name(), target.service.clone()));
        }
        if !target.weight.is_finite() || target.weight < 0.0 {
            return Err(ConfigurationError::BadWeight(name(), target.weight));
        }
    }
    if route.targets.iter().map(|target| target.weight).sum::<f64>() <= 0.0 {
        return Err(ConfigurationError::NoWeight(name()));
    }
    if let (Some(objective_ms), Some(timeout_ms)) = (route.objective_ms, route.timeout_ms)
        && objective_ms >= timeout_ms.saturating_add(MAX_OBJECTIVE_EXCESS_MS)
    {
        return Err(ConfigurationError::ObjectiveBeyondTimeout(name()));
    }
    Ok(())
}

//! Routing configuration by host and path, validated and replaced as one versioned set.

use std::sync::Arc;

use indexmap::{IndexMap, IndexSet};
use quick_error::quick_error;

use crate::client_account::{ClientAccount, KeyDigest, MAX_ACCOUNT_NAME_BYTES, MAX_KEY_BYTES};
use crate::names::ServiceName;

/// A route's latency objective may exceed its timeout by less than this, in milliseconds. A larger
/// difference is treated as a mistake in one of the two values.
const MAX_OBJECTIVE_EXCESS_MS: u64 = 60_000;

quick_error! {
    /// Reason for which a configuration is rejected.
    #[derive(Debug, Clone, PartialEq)]
    pub enum ConfigurationError {
        /// A route target refers to a service that the configuration does not define.
        UnknownService(route: Arc<str>, service: ServiceName) {
            display("route {}: service {} is not defined", route, service)
        }
        /// The weights of a route's targets add up to zero.
        ZeroTotalWeight(route: Arc<str>) {
            display("route {}: the weights add up to zero", route)
        }
        /// The weight of a target is negative or not finite.
        InvalidWeight(route: Arc<str>, weight: f64) {
            display("route {}: weight {} is not a finite number of at least zero", route, weight)
        }
        /// The latency objective exceeds the timeout by a minute or more.
        ObjectiveBeyondTimeout(route: Arc<str>) {
            display("route {}: the latency objective is a minute or more above the timeout", route)
        }
        /// The host of a route is empty.
        EmptyHost(route: Arc<str>) {
            display("route {}: the host is empty", route)
        }
        /// The path prefix of a route does not begin and end with a slash.
        InvalidPathPrefix(route: Arc<str>, prefix: Arc<str>) {
            display("route {}: path prefix {:?} does not begin and end with a slash", route, prefix)
        }
        /// The name of a client account is empty or belongs to two accounts.
        InvalidAccountName(account: Arc<str>) {
            display("client account {:?}: the name is empty or not unique", account)
        }
        /// The name of a client account cannot be sent in a header.
        UnusableAccountName(index: usize) {
            display(
                "client account at index {}: the name has control characters, surrounding spaces or \
                 more than {} bytes",
                index,
                MAX_ACCOUNT_NAME_BYTES
            )
        }
        /// A key is empty, not ASCII or too long. The text does not contain the key.
        InvalidKey(account: Arc<str>) {
            display(
                "client account {}: a key is empty, not ASCII or longer than {} bytes",
                account,
                MAX_KEY_BYTES
            )
        }
        /// Two keys are the same. The text does not contain the key.
        DuplicateKey(account: Arc<str>) {
            display("client account {}: a key is listed twice", account)
        }
        /// The rate or the burst of a quota is negative or not finite.
        InvalidQuota(account: Arc<str>) {
            display("client account {}: rate or burst is not a finite number of at least zero", account)
        }
        /// The version is zero, a value reserved for the absence of a configuration.
        ZeroVersion {
            display("the version must be above zero")
        }
    }
}

/// Whether the requests of a route may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Idempotence {
    /// Requests are idempotent and may run more than once.
    Idempotent,
    /// Requests are not idempotent: each one that a caller sends runs at most once.
    NonIdempotent,
}

/// Whether the requests of a route need the key of a client account.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteAccess {
    /// Any caller may send requests.
    Public,
    /// Requests need a key if the configuration has client accounts.
    Keyed,
}

/// A service that receives a share of a route's requests.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteTarget {
    /// Name of the service; defined in the same configuration.
    pub service: ServiceName,
    /// Weight relative to the other targets of the route; finite and not negative.
    pub weight: f64,
}

/// A route that matches requests by host and path prefix.
#[derive(Debug, Clone, PartialEq)]
pub struct HostRoute {
    /// Name used in logs and error messages.
    pub name: Arc<str>,
    /// Host of the requests, in lower case.
    pub host: Arc<str>,
    /// Path prefix of the requests; begins and ends with a slash.
    pub path_prefix: Arc<str>,
    /// Whether the requests may run more than once.
    pub idempotence: Idempotence,
    /// Whether the requests need a key.
    pub access: RouteAccess,
    /// Maximum time from a request to its answer, in milliseconds.
    pub timeout_ms: Option<u64>,
    /// Latency objective, in milliseconds: an answer that takes longer is late.
    pub objective_latency_ms: Option<u64>,
    /// Priority under overload; zero is the highest.
    pub priority: u32,
    /// Services among which the requests are distributed by weight.
    pub targets: Vec<RouteTarget>,
    /// Maximum number of upstreams to which one request of a caller may be delivered.
    pub max_attempts: u32,
}

/// Size limits and timeouts of the connections and requests of callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request head, in bytes.
    pub max_header_bytes: u64,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: u64,
    /// Maximum time to receive a request head, in milliseconds.
    pub header_timeout_ms: u64,
    /// Time after which a connection without a request is closed, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl Default for CallerLimits {
    /// Returns the limits that apply before the first configuration; they match those of common
    /// HTTP servers.
    fn default() -> Self {
        Self {
            max_header_bytes: 16 * 1024,
            max_body_bytes: 64 * 1024 * 1024,
            header_timeout_ms: 10_000,
            idle_timeout_ms: 60_000,
        }
    }
}

/// A validated configuration, indexed by host.
#[derive(Debug, Clone, PartialEq)]
pub struct Configuration {
    version: u64,
    limits: CallerLimits,
    services: IndexSet<ServiceName>,
    /// Paths of health checks by service.
    health_paths: IndexMap<ServiceName, Arc<str>>,
    /// Routes of each host, longest prefix first.
    routes_by_host: IndexMap<Arc<str>, Vec<Arc<HostRoute>>>,
    /// Client accounts by the digests of their keys. `None` if the configuration has no accounts.
    accounts_by_key: Option<IndexMap<KeyDigest, Arc<ClientAccount>>>,
    /// Number of client accounts, those without a key included.
    client_account_count: usize,
}

impl Configuration {
    /// Validates the routes and indexes them by host.
    ///
    /// # Errors
    ///
    /// Returns the first error found; the configuration is rejected.
    pub fn new(
        version: u64,
        services: IndexSet<ServiceName>,
        routes: Vec<HostRoute>,
        limits: CallerLimits,
    ) -> Result<Self, ConfigurationError> {
        if version == 0 {
            return Err(ConfigurationError::ZeroVersion);
        }
        let mut routes_by_host: IndexMap<Arc<str>, Vec<Arc<HostRoute>>> = IndexMap::new();
        for route in routes {
            validate_route(&route, &services)?;
            let host = Arc::clone(&route.host);
            routes_by_host.entry(host).or_default().push(Arc::new(route));
        }
        for routes in routes_by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        let health_paths = IndexMap::new();
        Ok(Self {
            version,
            limits,
            services,
            health_paths,
            routes_by_host,
            accounts_by_key: None,
            client_account_count: 0,
        })
    }

    /// Sets the client accounts. Requests on routes that are not public then need a key, also if
    /// there is no account.
    ///
    /// # Errors
    ///
    /// Returns the first error found; the configuration is rejected.
    pub fn with_client_accounts(
        self,
        accounts: Vec<ClientAccount>,
    ) -> Result<Self, ConfigurationError> {
        let mut names = IndexSet::new();
        let mut accounts_by_key = IndexMap::new();
        for (index, account) in accounts.into_iter().enumerate() {
            let account = Arc::new(account);
            let name = || Arc::clone(&account.name);
            if account.name.is_empty() || !names.insert(name()) {
                return Err(ConfigurationError::InvalidAccountName(name()));
            }
            if !ClientAccount::is_header_value(&account.name) {
                return Err(ConfigurationError::UnusableAccountName(index));
            }
            let is_valid = |value: f64| value.is_finite() && value >= 0.0;
            if account.quota.is_some_and(|q| !is_valid(q.rate_per_s) || !is_valid(q.burst)) {
                return Err(ConfigurationError::InvalidQuota(name()));
            }
            for digest in &account.key_digests {
                if accounts_by_key.insert(*digest, Arc::clone(&account)).is_some() {
                    return Err(ConfigurationError::DuplicateKey(name()));
                }
            }
        }
        let client_account_count = names.len();
        Ok(Self { accounts_by_key: Some(accounts_by_key), client_account_count, ..self })
    }

    /// Returns whether the configuration has client accounts.
    pub fn has_client_accounts(&self) -> bool {
        self.accounts_by_key.is_some()
    }

    /// Returns the number of client accounts, those without a key included.
    pub fn client_account_count(&self) -> usize {
        self.client_account_count
    }

    /// Returns the client account that a key selects.
    pub fn account_by_key(&self, digest: &KeyDigest) -> Option<&Arc<ClientAccount>> {
        self.accounts_by_key.as_ref()?.get(digest)
    }

    /// Sets the paths at which upstreams answer health checks, by service.
    pub fn with_health_paths(self, health_paths: IndexMap<ServiceName, Arc<str>>) -> Self {
        Self { health_paths, ..self }
    }

    /// Returns the path of health checks of a service.
    pub fn health_path(&self, service: &ServiceName) -> Option<&Arc<str>> {
        self.health_paths.get(service)
    }

    /// Returns the version, which is above zero.
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

    /// Returns the routes of all hosts.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<HostRoute>> {
        self.routes_by_host.values().flatten()
    }

    /// Returns the route of a host with the longest prefix of `path`. Ignores the case of `host`.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Arc<HostRoute>> {
        let routes = match self.routes_by_host.get(host) {
            Some(routes) => routes,
            None => self.routes_by_host.get(host.to_ascii_lowercase().as_str())?,
        };
        routes.iter().find(|route| path.starts_with(&*route.path_prefix))
    }
}

fn validate_route(
    route: &HostRoute,
    services: &IndexSet<ServiceName>,
) -> Result<(), ConfigurationError> {
    let name = || Arc::clone(&route.name);
    if route.host.is_empty() {
        return Err(ConfigurationError::EmptyHost(name()));
    }
    if !route.path_prefix.starts_with('/') || !route.path_prefix.ends_with('/') {
        return Err(ConfigurationError::InvalidPathPrefix(name(), Arc::clone(&route.path_prefix)));
    }
    for target in &route.targets {
        if !services.contains(&target.service) {
            return Err(ConfigurationError::UnknownService(name(), target.service.clone()));
        }
        if !target.weight.is_finite() || target.weight < 0.0 {
            return Err(ConfigurationError::InvalidWeight(name(), target.weight));
        }
    }
    if route.targets.iter().map(|target| target.weight).sum::<f64>() <= 0.0 {
        return Err(ConfigurationError::ZeroTotalWeight(name()));
    }
    if let (Some(objective_latency_ms), Some(timeout_ms)) =
        (route.objective_latency_ms, route.timeout_ms)
        && objective_latency_ms >= timeout_ms.saturating_add(MAX_OBJECTIVE_EXCESS_MS)
    {
        return Err(ConfigurationError::ObjectiveBeyondTimeout(name()));
    }
    Ok(())
}

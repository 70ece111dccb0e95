//! Fetches request counts from the admin listeners of nodes.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;

use crate::error::ReportError;

const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
const MAX_RESPONSE_BYTES: u64 = 64 * 1024 * 1024;

/// Response of a node to `GET /burn`.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct NodeCounts {
    /// Time at which the node started to count, in Unix seconds.
    pub covered_since_unix_s: u64,
    /// Counts of each combination of service, profile, route and class.
    pub routes: Vec<RouteCounts>,
}

/// Request counts of one route at one node.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct RouteCounts {
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
    /// Counts of consecutive time intervals.
    pub buckets: Vec<BucketCounts>,
}

/// Request counts of one time interval.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
pub struct BucketCounts {
    /// Start of the interval, in Unix seconds.
    pub start_unix_s: u64,
    /// Requests that finished, with any outcome.
    pub total: u64,
    /// Requests answered successfully within the latency objective.
    pub good: u64,
    /// Retries of these requests.
    pub retries: u64,
}

/// Fetches the counts of a node from its admin listener.
///
/// # Errors
///
/// Returns an error if the request fails or the response is malformed.
pub(crate) fn fetch(address: SocketAddr) -> Result<NodeCounts, ReportError> {
    let agent: ureq::Agent =
        ureq::Agent::config_builder().timeout_global(Some(REQUEST_TIMEOUT)).build().into();
    let unreachable = |error: ureq::Error| ReportError::Unreachable(address, error.to_string());
    let mut response = agent.get(format!("http://{address}/burn")).call().map_err(unreachable)?;
    let body = response.body_mut().with_config().limit(MAX_RESPONSE_BYTES);
    parse(&body.read_to_string().map_err(unreachable)?)
}

/// Parses the JSON response of a node.
///
/// # Errors
///
/// Returns an error if the text is not valid JSON or lacks a field.
pub fn parse(text: &str) -> Result<NodeCounts, ReportError> {
    Ok(serde_json::from_str(text)?)
}

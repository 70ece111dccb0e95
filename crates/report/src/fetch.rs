//! Reads the counts of nodes.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;

use crate::error::ReportError;

const TIMEOUT: Duration = Duration::from_secs(2);
const MAX_ANSWER_BYTES: u64 = 64 * 1024 * 1024;

/// Counts of one node.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct NodeBurn {
    /// Since when the node counts, in Unix seconds.
    pub covered_since_unix_s: u64,
    /// Counts by route.
    pub routes: Vec<RouteBurn>,
}

/// Counts of one route at one node.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct RouteBurn {
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
    pub buckets: Vec<BucketBurn>,
}

/// Counts of one bucket.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
pub struct BucketBurn {
    /// Start, in Unix seconds.
    pub start_unix_s: u64,
    /// Finished requests.
    pub total: u64,
    /// Requests within the objective.
    pub good: u64,
    /// Retries that they used.
    pub retries: u64,
}

/// Reads the counts of a node from its admin listener.
///
/// # Errors
///
/// Returns an error if the node does not answer or its answer cannot be read.
pub(crate) fn fetch(address: SocketAddr) -> Result<NodeBurn, ReportError> {
    let agent: ureq::Agent =
        ureq::Agent::config_builder().timeout_global(Some(TIMEOUT)).build().into();
    let unreachable = |error: ureq::Error| ReportError::Unreachable(address, error.to_string());
    let mut response = agent.get(format!("http://{address}/burn")).call().map_err(unreachable)?;
    let body = response.body_mut().with_config().limit(MAX_ANSWER_BYTES);
    parse(&body.read_to_string().map_err(unreachable)?)
}

/// Reads the answer of a node.
///
/// # Errors
///
/// Returns an error if the text is not such an answer.
pub fn parse(text: &str) -> Result<NodeBurn, ReportError> {
    Ok(serde_json::from_str(text)?)
}

//! Settings of a mesh node.

#[cfg(test)]
mod tests;

use std::net::SocketAddr;

use model::{Quota, ServiceName, Vm};
use policy::shared_retry_budget::RetryBounds;
use serde::Deserialize;

/// Which results of requests decide how many requests of a route a node admits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FailureEvidence {
    /// Results of the node's own requests.
    Own,
    /// Results at all nodes of the route's service, which they send with their answers.
    Shared,
}

/// How a node chooses the VM of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Balancing {
    /// The less loaded of two random VMs by their last reports.
    TwoChoices,
    /// By an estimate of the load now, from reports, their age and the speed of each VM.
    EstimatedLoad,
}

/// Bound that the deployment sets on the requests of a client account in any window of time, with
/// the excess over the quota that it tolerates.
///
/// The quota of an account is divided among nodes. A small account would be refused requests that
/// are within its quota if only its rate and its burst were lent, so part of the tolerated excess is
/// lent too.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaBound {
    /// Length of the window, in seconds; above zero.
    pub window_s: f64,
    /// Tolerated excess as a share of the quota.
    pub excess: f64,
    /// Tolerated excess in requests.
    pub slack: f64,
}

impl QuotaBound {
    /// Part of the tolerated excess that is lent. The rest covers shares of the burst that are rounded
    /// up to one request, and the drift of clocks.
    const LENT_PART: f64 = 0.6;
    /// Part of the requests of a window that is lent as a rate. The rest is lent as a burst. Nodes
    /// that hold a share need the burst only for the unevenness of arrivals.
    const RATE_PART: f64 = 0.9;

    /// Returns the rate and burst that nodes may use together. In any window they admit no more than
    /// the requests of the quota and the lent part of the excess.
    pub(crate) fn lent_quota(self, quota: Quota) -> Quota {
        let in_window = quota.rate_per_s * self.window_s + quota.burst;
        let lent = in_window * (1.0 + Self::LENT_PART * self.excess) + Self::LENT_PART * self.slack;
        // A holder can use one token at once in any case, so the lent burst includes it.
        let burst = (lent * (1.0 - Self::RATE_PART)).max(1.0);
        Quota { rate_per_s: (lent - burst) / self.window_s, burst }
    }
}

/// Settings of a mesh node.
#[derive(Debug, Clone)]
pub struct MeshSettings {
    /// Id of the cluster that the node belongs to.
    pub cluster_id: String,
    /// VM that the node runs on.
    pub vm: Vm,
    /// Listen address for callers on the VM and for calls that the upstream makes.
    pub caller_listen: SocketAddr,
    /// Listen address for other nodes.
    pub peer_listen: SocketAddr,
    /// Address at which other nodes connect to `peer_listen`.
    pub peer_advertise: SocketAddr,
    /// Listen address for readiness probes.
    pub ready_listen: SocketAddr,
    /// Listen address for status reports of the upstream.
    pub upstream_listen: SocketAddr,
    /// Listen address for metrics.
    pub metrics_listen: SocketAddr,
    /// Addresses of control replicas that the node contacts first.
    pub control_addresses: Vec<SocketAddr>,
    /// Service of the upstream on the VM.
    pub service: ServiceName,
    /// Address at which the upstream accepts calls. If it is `None`, any address is accepted from
    /// the reports of the upstream.
    pub upstream_address: Option<SocketAddr>,
    /// Retry limits that apply to all nodes together.
    pub retry_bounds: RetryBounds,
    /// Which results of requests decide how many requests of a route the node admits.
    pub failure_evidence: FailureEvidence,
    /// How the node chooses the VM of a call.
    pub balancing: Balancing,
    /// Bound on the requests of client accounts with a quota. `None` if quotas are used as they are.
    pub quota_bound: Option<QuotaBound>,
    /// Maximum age of the last proof that the configuration is the newest one, for requests with a
    /// key, in milliseconds. `None` if no proof is required.
    pub max_configuration_age_ms: Option<u64>,
    /// Maximum duration of a graceful shutdown, in milliseconds.
    pub stop_timeout_ms: u64,
}

/// Source of changed settings.
pub trait SettingsSource: Send + 'static {
    /// Reads the settings again. Returns them if they differ from those last returned.
    fn reload(&mut self) -> Option<MeshSettings>;
}

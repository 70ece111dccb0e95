//! Settings of a mesh node.

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

/// Excess over the quota of a client account that the deployment tolerates, in any window of time.
/// Part of it is lent to nodes: the rate and burst of a small account, divided among several nodes,
/// would otherwise refuse requests that are within the quota.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaTolerance {
    /// Tolerated excess as a share of the quota.
    pub excess: f64,
    /// Tolerated excess in requests.
    pub slack: f64,
}

impl QuotaTolerance {
    /// Tolerance of a deployment that states none.
    pub const NONE: Self = Self { excess: 0.0, slack: 0.0 };
    /// Part of the tolerance that is lent. The rest covers nodes whose share of the burst is less
    /// than a request and is rounded up, and clock drift.
    const LENT_PART: f64 = 0.6;

    /// Returns the quota that nodes may use together.
    pub(crate) fn lent_quota(self, quota: Quota) -> Quota {
        let factor = 1.0 + Self::LENT_PART * self.excess;
        Quota {
            rate_per_s: quota.rate_per_s * factor,
            burst: quota.burst * factor + Self::LENT_PART * self.slack,
        }
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
    /// Excess over the quotas of client accounts that is tolerated.
    pub quota_tolerance: QuotaTolerance,
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

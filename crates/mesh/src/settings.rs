//! Settings of a mesh node.

use std::net::SocketAddr;

use model::{ServiceName, Vm};
use policy::repeats::RepeatBounds;

/// Settings of a mesh node.
#[derive(Debug, Clone)]
pub struct MeshSettings {
    /// Cluster that the node belongs to.
    pub cluster_id: String,
    /// Own VM.
    pub vm: Vm,
    /// Address for callers on the VM and for the upstream's own calls.
    pub caller_listen: SocketAddr,
    /// Address for other nodes.
    pub peer_listen: SocketAddr,
    /// Address for readiness probes.
    pub ready_listen: SocketAddr,
    /// Address for the upstream's reports of itself.
    pub upstream_listen: SocketAddr,
    /// Address for metrics.
    pub metrics_listen: SocketAddr,
    /// Control replicas through which the node finds the cluster.
    pub controls: Vec<SocketAddr>,
    /// Service of the upstream on the VM.
    pub service: ServiceName,
    /// Repeats allowed over all nodes.
    pub repeats: RepeatBounds,
    /// Longest time that a stop may take, in milliseconds.
    pub stop_timeout_ms: u64,
}

/// Supplies the settings again after a change.
pub trait SettingsSource: Send + 'static {
    /// Returns the settings if they differ from those last returned.
    fn reload(&mut self) -> Option<MeshSettings>;
}

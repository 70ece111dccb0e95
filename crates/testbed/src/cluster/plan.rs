//! Addresses and command lines of the processes of a cluster.

use std::net::SocketAddr;

use super::ControlReplica;
use crate::deployment::ServiceSpec;
use crate::process::{ProcessError, free_address};

/// How upstreams call each other.
pub(super) enum Layer<'a> {
    /// Through nodes.
    Nodes,
    /// Directly, with these target flags.
    Direct(&'a [String]),
}

/// Addresses on which a node listens, behind relays if there are any.
pub(super) struct NodeListens {
    pub(super) caller: SocketAddr,
    pub(super) peer: SocketAddr,
}

pub(super) struct InstancePlan {
    pub(super) spec: ServiceSpec,
    pub(super) vm: String,
    pub(super) data_centre: &'static str,
    pub(super) ports: Ports,
}

pub(super) struct Ports {
    pub(super) caller: SocketAddr,
    pub(super) egress: SocketAddr,
    pub(super) peer: SocketAddr,
    pub(super) node_admin: SocketAddr,
    pub(super) upstream: SocketAddr,
    pub(super) upstream_admin: SocketAddr,
}

impl Ports {
    pub(super) fn new() -> Result<Self, ProcessError> {
        Ok(Self {
            caller: free_address()?,
            egress: free_address()?,
            peer: free_address()?,
            node_admin: free_address()?,
            upstream: free_address()?,
            upstream_admin: free_address()?,
        })
    }
}

impl InstancePlan {
    /// Returns the command line of the upstream, without how it reaches others.
    pub(super) fn upstream_arguments(&self) -> Vec<String> {
        let (spec, ports) = (&self.spec, &self.ports);
        let mut arguments = vec!["upstream".to_owned()];
        arguments.extend(flags(&[
            ("--vm", self.vm.clone()),
            ("--service", spec.name.to_owned()),
            ("--profile", spec.profile.to_owned()),
            ("--listen", ports.upstream.to_string()),
            ("--admin-listen", ports.upstream_admin.to_string()),
            ("--slots", spec.slots.to_string()),
            ("--connections", spec.connections.to_string()),
            ("--service-time-us", spec.service_time_us.to_string()),
        ]));
        for call in spec.calls {
            arguments.extend(flags(&[("--call", (*call).to_owned())]));
        }
        arguments
    }

    /// Returns the command line of the node.
    pub(super) fn node_arguments(
        &self,
        listens: &NodeListens,
        controls: &[ControlReplica],
    ) -> Vec<String> {
        let ports = &self.ports;
        let mut arguments = flags(&[
            ("--vm", self.vm.clone()),
            ("--data-centre", self.data_centre.to_owned()),
            ("--caller-listen", listens.caller.to_string()),
            ("--egress-listen", ports.egress.to_string()),
            ("--peer-listen", listens.peer.to_string()),
            ("--peer-advertise", ports.peer.to_string()),
            ("--admin-listen", ports.node_admin.to_string()),
        ]);
        let (own, others): (Vec<_>, Vec<_>) =
            controls.iter().partition(|control| control.data_centre == self.data_centre);
        for control in own.into_iter().chain(others) {
            arguments.extend(flags(&[("--control", control.address.to_string())]));
        }
        arguments
    }
}

/// Makes a command line of flags with values.
pub(super) fn flags(pairs: &[(&str, String)]) -> Vec<String> {
    pairs.iter().flat_map(|(flag, value)| [(*flag).to_owned(), value.clone()]).collect()
}

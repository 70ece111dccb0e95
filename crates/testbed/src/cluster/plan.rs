//! Addresses and command lines of the processes of a cluster.

use std::net::SocketAddr;

use super::ControlReplica;
use crate::deployment::ServiceSpec;
use crate::process::{ProcessError, free_address};

/// How upstreams call each other.
pub(super) enum CallMode<'a> {
    /// Through the egress listeners of their nodes.
    ViaNodes,
    /// Directly, with these `--direct` flags.
    Direct(&'a [String]),
}

/// Addresses that a node listens on; with relays, they differ from those that others connect to.
pub(super) struct NodeListenAddresses {
    pub(super) caller: SocketAddr,
    pub(super) peer: SocketAddr,
}

/// Service, VM, data centre and addresses of an instance that is to be started.
pub(super) struct InstancePlan {
    pub(super) spec: ServiceSpec,
    pub(super) vm: String,
    pub(super) data_centre: &'static str,
    pub(super) addresses: InstanceAddresses,
}

/// Addresses of an instance that its callers, peers and upstream connect to.
pub(super) struct InstanceAddresses {
    pub(super) caller: SocketAddr,
    pub(super) egress: SocketAddr,
    pub(super) peer: SocketAddr,
    pub(super) node_admin: SocketAddr,
    pub(super) upstream: SocketAddr,
    pub(super) upstream_admin: SocketAddr,
}

impl InstanceAddresses {
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
    /// Returns the arguments of the upstream, without the flags that say how it calls other
    /// services.
    pub(super) fn upstream_arguments(&self) -> Vec<String> {
        let (spec, addresses) = (&self.spec, &self.addresses);
        let mut arguments = vec!["upstream".to_owned()];
        arguments.extend(flags(&[
            ("--vm", self.vm.clone()),
            ("--service", spec.name.to_owned()),
            ("--profile", spec.profile.to_owned()),
            ("--listen", addresses.upstream.to_string()),
            ("--admin-listen", addresses.upstream_admin.to_string()),
            ("--slots", spec.slots.to_string()),
            ("--connections", spec.connections.to_string()),
            ("--service-time-us", spec.service_time_us.to_string()),
        ]));
        for call in spec.calls {
            arguments.extend(flags(&[("--call", (*call).to_owned())]));
        }
        arguments
    }

    /// Returns the arguments of the node. The control replica of its own data centre is listed
    /// first.
    pub(super) fn node_arguments(
        &self,
        listen_addresses: &NodeListenAddresses,
        controls: &[ControlReplica],
    ) -> Vec<String> {
        let addresses = &self.addresses;
        let mut arguments = flags(&[
            ("--vm", self.vm.clone()),
            ("--data-centre", self.data_centre.to_owned()),
            ("--caller-listen", listen_addresses.caller.to_string()),
            ("--egress-listen", addresses.egress.to_string()),
            ("--peer-listen", listen_addresses.peer.to_string()),
            ("--peer-advertise", addresses.peer.to_string()),
            ("--admin-listen", addresses.node_admin.to_string()),
        ]);
        let (own, others): (Vec<_>, Vec<_>) =
            controls.iter().partition(|control| control.data_centre == self.data_centre);
        for control in own.into_iter().chain(others) {
            arguments.extend(flags(&[("--control", control.address.to_string())]));
        }
        arguments
    }
}

/// Returns the arguments for pairs of a flag and its value.
pub(super) fn flags(pairs: &[(&str, String)]) -> Vec<String> {
    pairs.iter().flat_map(|(flag, value)| [(*flag).to_owned(), value.clone()]).collect()
}

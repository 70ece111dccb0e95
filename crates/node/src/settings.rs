//! Settings of a node, from flags and environment variables.

use std::net::SocketAddr;

use clap::{ArgMatches, Command, value_parser};
use daemon::{check_only_flag, list_flag, optional, required, setting_flag, values};
use model::{DataCentreName, Vm, VmName};
use quick_error::quick_error;

quick_error! {
    /// Invalid settings.
    #[derive(Debug, PartialEq, Eq)]
    pub enum SettingsError {
        /// The egress address is not a loopback address, so other VMs could reach the listener.
        EgressAddress(address: SocketAddr) {
            display("--egress-listen: {} is not a loopback address", address)
        }
    }
}

/// Validated settings of a node.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of the cluster that the node belongs to.
    pub cluster_id: String,
    /// VM on which the node runs.
    pub vm: Vm,
    /// Listen address for requests from outside the deployment.
    pub caller_listen: SocketAddr,
    /// Listen address for the local upstream; a loopback address.
    pub egress_listen: SocketAddr,
    /// Listen address for other nodes.
    pub peer_listen: SocketAddr,
    /// Address at which other nodes reach this one.
    pub peer_advertise: SocketAddr,
    /// Listen address for status requests.
    pub admin_listen: SocketAddr,
    /// Addresses of the control replicas; those of the own data centre first.
    pub control_addresses: Vec<SocketAddr>,
    /// Addresses of nodes from which profiles are fetched at the start, in case no control replica
    /// is reachable.
    pub peer_seeds: Vec<SocketAddr>,
    /// Address of the statsd server that receives metrics; none are sent without it.
    pub statsd: Option<SocketAddr>,
    /// Number of worker threads that serve traffic, 1 to 64.
    pub traffic_threads: usize,
}

/// Returns the definition of the command line.
pub fn command() -> Command {
    let address = || value_parser!(SocketAddr);
    Command::new("heatherweir-node")
        .about("Sidecar of an upstream: admits calls to it and routes the calls that it makes")
        .arg(
            setting_flag("cluster-id", "Name of the cluster", value_parser!(String))
                .default_value("heatherweir"),
        )
        .arg(setting_flag("vm", "Name of this VM", value_parser!(VmName)).required(true))
        .arg(
            setting_flag("data-centre", "Data centre of this VM", value_parser!(DataCentreName))
                .required(true),
        )
        .arg(setting_flag("caller-listen", "IP:PORT for callers", address()).required(true))
        .arg(
            setting_flag("egress-listen", "IP:PORT on loopback for the upstream", address())
                .required(true),
        )
        .arg(setting_flag("peer-listen", "IP:PORT for other nodes", address()).required(true))
        .arg(setting_flag(
            "peer-advertise",
            "IP:PORT at which other nodes reach this one [default: the peer listen address]",
            address(),
        ))
        .arg(
            setting_flag("admin-listen", "IP:PORT of the admin listener", address()).required(true),
        )
        .arg(
            list_flag(
                "control",
                "IP:PORT of each control replica, own data centre first",
                address(),
            )
            .required(true),
        )
        .arg(list_flag("peer-seed", "IP:PORT of nodes that may supply profiles", address()))
        .arg(setting_flag("statsd", "IP:PORT of a statsd server", address()))
        .arg(
            setting_flag(
                "traffic-threads",
                "Worker threads that serve traffic, 1 to 64",
                value_parser!(u64).range(1..=64),
            )
            .default_value("2"),
        )
        .arg(check_only_flag())
}

impl Settings {
    /// Validates parsed flags.
    ///
    /// # Errors
    ///
    /// Returns an error that names the invalid flag.
    pub fn new(matches: &ArgMatches) -> Result<Self, SettingsError> {
        let egress_listen: SocketAddr = required(matches, "egress-listen");
        if !egress_listen.ip().is_loopback() {
            return Err(SettingsError::EgressAddress(egress_listen));
        }
        let peer_listen = required(matches, "peer-listen");
        let traffic_threads: u64 = required(matches, "traffic-threads");
        Ok(Self {
            cluster_id: required(matches, "cluster-id"),
            vm: Vm { name: required(matches, "vm"), data_centre: required(matches, "data-centre") },
            caller_listen: required(matches, "caller-listen"),
            egress_listen,
            peer_listen,
            peer_advertise: optional(matches, "peer-advertise").unwrap_or(peer_listen),
            admin_listen: required(matches, "admin-listen"),
            control_addresses: values(matches, "control"),
            peer_seeds: values(matches, "peer-seed"),
            statsd: optional(matches, "statsd"),
            traffic_threads: traffic_threads as usize,
        })
    }
}

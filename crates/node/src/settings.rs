//! Settings of a node.

use std::net::SocketAddr;

use clap::{ArgMatches, Command, value_parser};
use daemon::{check_only_flag, list_flag, optional, required, setting_flag, values};
use model::{DataCentreName, Vm, VmName};
use quick_error::quick_error;

quick_error! {
    /// Settings that do not fit together.
    #[derive(Debug, PartialEq, Eq)]
    pub enum SettingsError {
        /// The egress listener would be open to other VMs.
        EgressAddress(address: SocketAddr) {
            display("--egress-listen: {} is not a loopback address", address)
        }
    }
}

/// Checked settings of a node.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Cluster that the node belongs to.
    pub cluster_id: String,
    /// Own VM.
    pub vm: Vm,
    /// Address for callers.
    pub caller_listen: SocketAddr,
    /// Address for the upstream beside the node; loopback only.
    pub egress_listen: SocketAddr,
    /// Address for other nodes.
    pub peer_listen: SocketAddr,
    /// Address at which other nodes reach this one.
    pub peer_advertise: SocketAddr,
    /// Address of the admin listener.
    pub admin_listen: SocketAddr,
    /// Control replicas, own data centre first.
    pub controls: Vec<SocketAddr>,
    /// Nodes that may supply profiles when no control replica is in reach.
    pub peer_seeds: Vec<SocketAddr>,
    /// Address of a statsd server.
    pub statsd: Option<SocketAddr>,
    /// Threads for traffic.
    pub traffic_threads: usize,
}

/// Returns the command line of the program.
pub fn command() -> Command {
    let address = || value_parser!(SocketAddr);
    Command::new("heatherweir-node")
        .about("Process beside an upstream: guards it and routes its calls")
        .arg(
            setting_flag("cluster-id", "Name of the cluster", value_parser!(String))
                .default_value("heatherweir"),
        )
        .arg(setting_flag("vm", "Name of this VM", value_parser!(VmName)).required(true))
        .arg(
            setting_flag("data-centre", "Own data centre", value_parser!(DataCentreName))
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
                "Threads for traffic, 1 to 64",
                value_parser!(u64).range(1..=64),
            )
            .default_value("2"),
        )
        .arg(check_only_flag())
}

impl Settings {
    /// Checks parsed flags.
    ///
    /// # Errors
    ///
    /// Returns an error that names the flag at fault.
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
            controls: values(matches, "control"),
            peer_seeds: values(matches, "peer-seed"),
            statsd: optional(matches, "statsd"),
            traffic_threads: traffic_threads as usize,
        })
    }
}

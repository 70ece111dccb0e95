//! Command line of a fake upstream.

use std::net::SocketAddr;
use std::str::FromStr;

use clap::{ArgMatches, Command, value_parser};
use daemon::{list_flag, required, setting_flag, values};
use model::{ProfileName, ServiceName, VmName};
use quick_error::quick_error;

use super::Behaviour;

quick_error! {
    /// A flag value that cannot be parsed.
    #[derive(Debug)]
    pub enum SettingsError {
        /// A call rule is not `PREFIX=SERVICE` or `PREFIX=SERVICE*COUNT`, or a direct target is not
        /// `SERVICE@IP:PORT`.
        Malformed(text: String) {
            display("{:?} is not PREFIX=SERVICE[*COUNT] or SERVICE@IP:PORT", text)
        }
    }
}

/// Calls that the upstream makes for each request whose path has a prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallRule {
    /// Prefix of the request path.
    pub path_prefix: String,
    /// Called service.
    pub service: ServiceName,
    /// Number of sequential calls for each request.
    pub count: u32,
}

impl FromStr for CallRule {
    type Err = SettingsError;

    fn from_str(text: &str) -> Result<Self, SettingsError> {
        let malformed = || SettingsError::Malformed(text.to_owned());
        let (path_prefix, target) = text.split_once('=').ok_or_else(malformed)?;
        let (service, count) = target.split_once('*').unwrap_or((target, "1"));
        Ok(Self {
            path_prefix: path_prefix.to_owned(),
            service: ServiceName::new(service).map_err(|_| malformed())?,
            count: count.parse().map_err(|_| malformed())?,
        })
    }
}

/// Parsed flags of a fake upstream.
#[derive(Debug, Clone)]
pub struct Settings {
    /// VM that the upstream runs on.
    pub vm: VmName,
    /// Service that the upstream is an instance of.
    pub service: ServiceName,
    /// Profile of the service.
    pub profile: ProfileName,
    /// Address of the listener for calls.
    pub listen: SocketAddr,
    /// Address of the admin listener.
    pub admin_listen: SocketAddr,
    /// Egress listener of the node on the same VM; absent if the upstream calls others directly.
    pub egress: Option<SocketAddr>,
    /// Upstreams to call directly if there is no node, as in the baseline arm of a measurement.
    pub direct: Vec<DirectTarget>,
    /// Maximum number of retries of a direct call.
    pub direct_retries: u32,
    /// Rules for the calls to other services; the first one that matches applies.
    pub calls: Vec<CallRule>,
    /// Number of connections in announcements.
    pub connections: u32,
    /// Behaviour at the start.
    pub behaviour: Behaviour,
}

/// Address of an upstream of a called service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DirectTarget {
    /// Called service.
    pub service: ServiceName,
    /// Address of one of its upstreams.
    pub address: SocketAddr,
}

impl FromStr for DirectTarget {
    type Err = SettingsError;

    fn from_str(text: &str) -> Result<Self, SettingsError> {
        let malformed = || SettingsError::Malformed(text.to_owned());
        let (service, address) = text.split_once('@').ok_or_else(malformed)?;
        Ok(Self {
            service: ServiceName::new(service).map_err(|_| malformed())?,
            address: address.parse().map_err(|_| malformed())?,
        })
    }
}

/// Returns the `upstream` subcommand with its flags.
pub fn command() -> Command {
    let address = || value_parser!(SocketAddr);
    Command::new("upstream")
        .about("Runs a fake upstream")
        .arg(
            setting_flag("vm", "Name of the VM that it runs on", value_parser!(VmName))
                .required(true),
        )
        .arg(
            setting_flag("service", "Service of the upstream", value_parser!(ServiceName))
                .required(true),
        )
        .arg(
            setting_flag("profile", "Profile of the service", value_parser!(ProfileName))
                .required(true),
        )
        .arg(setting_flag("listen", "IP:PORT of the listener for calls", address()).required(true))
        .arg(
            setting_flag("admin-listen", "IP:PORT of the admin listener", address()).required(true),
        )
        .arg(setting_flag("egress", "IP:PORT of the node's egress listener", address()))
        .arg(list_flag(
            "direct",
            "SERVICE@IP:PORT of an upstream to call directly",
            DirectTarget::from_str,
        ))
        .arg(
            setting_flag(
                "direct-retries",
                "Maximum number of retries of a direct call",
                value_parser!(u32),
            )
            .default_value("2"),
        )
        .arg(list_flag(
            "call",
            "PREFIX=SERVICE[*COUNT] of calls to another service",
            CallRule::from_str,
        ))
        .arg(
            setting_flag("connections", "Number of connections to announce", value_parser!(u32))
                .default_value("100"),
        )
        .arg(
            setting_flag("slots", "Maximum number of concurrent calls", value_parser!(usize))
                .default_value("16"),
        )
        .arg(
            setting_flag("service-time-us", "Time of a call in microseconds", value_parser!(u64))
                .default_value("1000"),
        )
}

impl Settings {
    /// Reads the settings from parsed flags.
    pub fn new(matches: &ArgMatches) -> Self {
        let behaviour = Behaviour {
            slots: required(matches, "slots"),
            service_time_us: required(matches, "service-time-us"),
            ..Behaviour::default()
        };
        Self {
            vm: required(matches, "vm"),
            service: required(matches, "service"),
            profile: required(matches, "profile"),
            listen: required(matches, "listen"),
            admin_listen: required(matches, "admin-listen"),
            egress: daemon::optional(matches, "egress"),
            direct: values(matches, "direct"),
            direct_retries: required(matches, "direct-retries"),
            calls: values(matches, "call"),
            connections: required(matches, "connections"),
            behaviour,
        }
    }
}

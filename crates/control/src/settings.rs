//! Settings of a control replica.

use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;

use clap::{ArgMatches, Command, value_parser};
use daemon::{check_only_flag, list_flag, optional, required, setting_flag, values};
use model::DataCentreName;
use quick_error::quick_error;

quick_error! {
    /// Settings that do not fit together.
    #[derive(Debug)]
    pub enum SettingsError {
        /// A member is not `DATA-CENTRE@IP:PORT`.
        Member(text: String) {
            display("--member: {:?} is not DATA-CENTRE@IP:PORT", text)
        }
        /// The number of members makes no quorum system.
        MemberCount(count: usize) {
            display("--member: give 1, 3, 5 or 7 members, not {}", count)
        }
        /// The own address is not among the members.
        OwnMember(address: SocketAddr) {
            display("--advertise: {} is not among the members", address)
        }
        /// The operator token file cannot be read.
        Token(path: PathBuf, source: std::io::Error) {
            display("--operator-token-file: {}: {}", path.display(), source)
        }
    }
}

/// Election timeout of a replica that is not told another, in milliseconds: many times the time of a
/// message and a sync, also on a busy VM.
const DEFAULT_ELECTION_TIMEOUT_MS: u64 = 600;

/// A first member of the cluster.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberAddress {
    /// Data centre.
    pub data_centre: DataCentreName,
    /// Address for the inner protocols.
    pub address: SocketAddr,
}

impl FromStr for MemberAddress {
    type Err = SettingsError;

    fn from_str(text: &str) -> Result<Self, SettingsError> {
        let malformed = || SettingsError::Member(text.to_owned());
        let (data_centre, address) = text.split_once('@').ok_or_else(malformed)?;
        Ok(Self {
            data_centre: DataCentreName::new(data_centre).map_err(|_| malformed())?,
            address: address.parse().map_err(|_| malformed())?,
        })
    }
}

impl fmt::Display for MemberAddress {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.data_centre, self.address)
    }
}

/// How a replica without a membership gets one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Formation {
    /// It forms the cluster with the first members, or joins one that is formed.
    FirstMembers,
    /// It only joins a cluster that is formed.
    JoinOnly,
}

/// Checked settings of a control replica.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Cluster that the replica belongs to.
    pub cluster_id: String,
    /// Own data centre.
    pub data_centre: DataCentreName,
    /// Address to listen on for the inner protocols.
    pub listen: SocketAddr,
    /// Address at which the other replicas reach this one.
    pub advertise: SocketAddr,
    /// Address of the admin listener.
    pub admin_listen: SocketAddr,
    /// Folder of the replica's files.
    pub data_dir: PathBuf,
    /// First members of the cluster, or replicas through which this one joins.
    pub members: Vec<SocketAddr>,
    /// How a replica without a membership gets one.
    pub formation: Formation,
    /// Token that operators present; without one no change is taken.
    pub operator_token: Option<String>,
    /// Time for which claims are remembered, in milliseconds.
    pub claim_window_ms: u64,
    /// Shortest silence of the leader after which another replica stands for election, in milliseconds.
    pub election_timeout_ms: u64,
}

/// Returns the command line of the program.
pub fn command() -> Command {
    Command::new("heatherweir-control")
        .about("Control replica: profiles, claims and the directory of upstreams")
        .arg(
            setting_flag("cluster-id", "Name of the cluster", value_parser!(String))
                .default_value("heatherweir"),
        )
        .arg(
            setting_flag("data-centre", "Own data centre", value_parser!(DataCentreName))
                .required(true),
        )
        .arg(
            setting_flag("listen", "IP:PORT for nodes and replicas", value_parser!(SocketAddr))
                .required(true),
        )
        .arg(setting_flag(
            "advertise",
            "IP:PORT at which replicas reach this one [default: the listen address]",
            value_parser!(SocketAddr),
        ))
        .arg(
            setting_flag(
                "admin-listen",
                "IP:PORT of the admin listener",
                value_parser!(SocketAddr),
            )
            .required(true),
        )
        .arg(
            setting_flag("data-dir", "Folder of the replica's files", value_parser!(PathBuf))
                .required(true),
        )
        .arg(
            list_flag(
                "member",
                "DATA-CENTRE@IP:PORT of each first member, this one included",
                MemberAddress::from_str,
            )
            .required(true),
        )
        .arg(setting_flag(
            "operator-token-file",
            "File with the token that operators present; without it changes are refused",
            value_parser!(PathBuf),
        ))
        .arg(
            setting_flag(
                "claim-window-s",
                "Seconds for which claims are remembered, 60 to 604800",
                value_parser!(u64).range(60..=604_800),
            )
            .default_value("86400"),
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
        let listen = required(matches, "listen");
        let advertise = optional(matches, "advertise").unwrap_or(listen);
        let members: Vec<MemberAddress> = values(matches, "member");
        if ![1, 3, 5, 7].contains(&members.len()) {
            return Err(SettingsError::MemberCount(members.len()));
        }
        if !members.iter().any(|member| member.address == advertise) {
            return Err(SettingsError::OwnMember(advertise));
        }
        let claim_window_s: u64 = required(matches, "claim-window-s");
        Ok(Self {
            cluster_id: required(matches, "cluster-id"),
            data_centre: required(matches, "data-centre"),
            listen,
            advertise,
            admin_listen: required(matches, "admin-listen"),
            data_dir: required(matches, "data-dir"),
            members: members.into_iter().map(|member| member.address).collect(),
            formation: Formation::FirstMembers,
            operator_token: read_token(optional(matches, "operator-token-file"))?,
            claim_window_ms: claim_window_s * 1_000,
            election_timeout_ms: DEFAULT_ELECTION_TIMEOUT_MS,
        })
    }
}

fn read_token(path: Option<PathBuf>) -> Result<Option<String>, SettingsError> {
    let Some(path) = path else { return Ok(None) };
    match std::fs::read_to_string(&path) {
        Ok(text) => Ok(Some(text.trim().to_owned())),
        Err(error) => Err(SettingsError::Token(path, error)),
    }
}

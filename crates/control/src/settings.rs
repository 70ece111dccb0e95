//! Command line and settings of a control replica.

use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;

use clap::{ArgMatches, Command, value_parser};
use daemon::{check_only_flag, list_flag, optional, required, setting_flag, values};
use model::DataCentreName;
use quick_error::quick_error;

quick_error! {
    /// Invalid settings.
    #[derive(Debug)]
    pub enum SettingsError {
        /// The text of a member is not `DATA-CENTRE@IP:PORT`.
        Member(text: String) {
            display("--member: {:?} is not DATA-CENTRE@IP:PORT", text)
        }
        /// The number of initial members is not 1, 3, 5 or 7.
        MemberCount(count: usize) {
            display("--member: expected 1, 3, 5 or 7 members, got {}", count)
        }
        /// The advertised address is not among the initial members.
        OwnMember(address: SocketAddr) {
            display("--advertise: {} is not among the members", address)
        }
        /// The operator token file could not be read.
        Token(path: PathBuf, source: std::io::Error) {
            display("--operator-token-file: {}: {}", path.display(), source)
        }
    }
}

/// Default election timeout, in milliseconds: many times the duration of a message and a disk sync,
/// even on a busy VM.
const DEFAULT_ELECTION_TIMEOUT_MS: u64 = 600;

/// Data centre and address of an initial member of the cluster.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberAddress {
    /// Data centre of the member.
    pub data_centre: DataCentreName,
    /// Address at which nodes and the other replicas reach the member.
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

/// How a replica without a membership obtains one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Formation {
    /// Forms a cluster with the other initial members, or joins an existing cluster.
    InitialMembers,
    /// Only joins an existing cluster.
    JoinOnly,
}

/// Validated settings of a control replica.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of the cluster; messages of other clusters are refused.
    pub cluster_id: String,
    /// Data centre of the replica.
    pub data_centre: DataCentreName,
    /// Address on which the replica listens for nodes and other replicas.
    pub listen: SocketAddr,
    /// Address at which other replicas reach this one.
    pub advertise: SocketAddr,
    /// Address of the admin listener.
    pub admin_listen: SocketAddr,
    /// Data folder, which holds the files of the replica.
    pub data_dir: PathBuf,
    /// Addresses of the initial members, or of replicas through which this one joins.
    pub members: Vec<SocketAddr>,
    /// How the replica obtains a membership if it has none.
    pub formation: Formation,
    /// Token that authorises changes of profiles; `None` refuses all of them.
    pub operator_token: Option<String>,
    /// Minimum time for which claims are stored, in milliseconds.
    pub claim_window_ms: u64,
    /// Minimum time without contact to the leader before another replica starts an election, in
    /// milliseconds.
    pub election_timeout_ms: u64,
}

/// Returns the command-line definition of the program.
pub fn command() -> Command {
    Command::new("heatherweir-control")
        .about("Control replica: profiles, claims and the directory of upstreams")
        .arg(
            setting_flag("cluster-id", "Name of the cluster", value_parser!(String))
                .default_value("heatherweir"),
        )
        .arg(
            setting_flag(
                "data-centre",
                "Data centre of this replica",
                value_parser!(DataCentreName),
            )
            .required(true),
        )
        .arg(
            setting_flag("listen", "IP:PORT for nodes and replicas", value_parser!(SocketAddr))
                .required(true),
        )
        .arg(setting_flag(
            "advertise",
            "IP:PORT at which other replicas reach this one [default: the listen address]",
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
            setting_flag("data-dir", "Data folder of the replica", value_parser!(PathBuf))
                .required(true),
        )
        .arg(
            list_flag(
                "member",
                "DATA-CENTRE@IP:PORT of each initial member, this replica included",
                MemberAddress::from_str,
            )
            .required(true),
        )
        .arg(setting_flag(
            "operator-token-file",
            "File with the operator token; without it changes of profiles are refused",
            value_parser!(PathBuf),
        ))
        .arg(
            setting_flag(
                "claim-window-s",
                "Seconds for which claims are stored, 60 to 604800",
                value_parser!(u64).range(60..=604_800),
            )
            .default_value("86400"),
        )
        .arg(check_only_flag())
}

impl Settings {
    /// Builds the settings from parsed flags.
    ///
    /// # Errors
    ///
    /// Returns an error that names the invalid flag.
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
            formation: Formation::InitialMembers,
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

//! Log entries, membership and persistent state.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// Position in the log; the first entry has index 1, and 0 precedes it.
pub type Index = u64;
/// Election term; 0 before the first election.
pub type Term = u64;

/// Identifies a replica and its stored data: a replica that lost its disk gets a new id.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Default,
)]
pub struct ReplicaId(pub u64);

impl std::fmt::Display for ReplicaId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Replica in a [`Membership`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Network address at which the replica receives messages of other replicas.
    pub address: String,
    /// Data centre that the replica runs in.
    pub data_centre: String,
    /// Whether the replica is a voter; a learner receives entries but counts in no quorum.
    pub is_voter: bool,
}

/// Set of replicas that hold the log.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// Voters and learners by id.
    pub members: IndexMap<ReplicaId, Member>,
}

impl Membership {
    /// Returns the ids of the voters.
    pub fn voters(&self) -> impl Iterator<Item = ReplicaId> {
        self.members.iter().filter(|(_, member)| member.is_voter).map(|(id, _)| *id)
    }

    /// Returns whether the replica is a member and a voter.
    pub fn is_voter(&self, id: ReplicaId) -> bool {
        self.members.get(&id).is_some_and(|member| member.is_voter)
    }

    /// Returns the number of voters in a majority.
    pub fn quorum(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// Returns whether `next` adds or removes at most one voter, so that every quorum of one
    /// membership overlaps with every quorum of the other.
    pub fn is_single_voter_change(&self, next: &Membership) -> bool {
        let added = next.voters().filter(|id| !self.is_voter(*id)).count();
        let removed = self.voters().filter(|id| !next.is_voter(*id)).count();
        added + removed <= 1
    }
}

/// Content of a log entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// No command: a new leader appends it to commit the entries of earlier terms.
    Empty,
    /// Encoded command for the state machine.
    Command(#[serde(with = "crate::byte_codec")] Vec<u8>),
    /// Membership, in force as soon as the entry is in the log, committed or not.
    Membership(Membership),
}

/// Log entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Term of the leader that appended the entry.
    pub term: Term,
    /// Position in the log.
    pub index: Index,
    /// Command, membership or nothing.
    pub payload: Payload,
}

/// Election state that a replica persists before it sends a message that depends on it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Highest term that the replica has seen.
    pub term: Term,
    /// Candidate that the replica voted for in that term.
    pub voted_for: Option<ReplicaId>,
}

/// State of the state machine at an index; replaces the log entries up to it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Last index that the snapshot covers.
    pub index: Index,
    /// Term of the entry at that index.
    pub term: Term,
    /// Membership at that index.
    pub membership: Membership,
    /// Encoded state of the state machine, opaque to this crate.
    #[serde(with = "crate::byte_codec")]
    pub data: Vec<u8>,
}

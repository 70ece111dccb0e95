//! Entries, membership and persistent state.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// Position in the log; the first entry has index one.
pub type Index = u64;
/// Election term.
pub type Term = u64;

/// Identifies a replica together with its disk: a replica that lost its disk has a new id.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Default,
)]
pub struct ReplicaId(pub u64);

impl std::fmt::Display for ReplicaId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// A replica in the membership.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Address for replica messages.
    pub address: String,
    /// Data centre.
    pub data_centre: String,
    /// Whether the replica votes; a learner only follows.
    pub is_voter: bool,
}

/// Replicas of the log.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// Members by id.
    pub members: IndexMap<ReplicaId, Member>,
}

impl Membership {
    /// Returns the voters.
    pub fn voters(&self) -> impl Iterator<Item = ReplicaId> {
        self.members.iter().filter(|(_, member)| member.is_voter).map(|(id, _)| *id)
    }

    /// Returns whether a replica votes.
    pub fn is_voter(&self, id: ReplicaId) -> bool {
        self.members.get(&id).is_some_and(|member| member.is_voter)
    }

    /// Returns the number of voters that make a quorum.
    pub fn quorum(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// Returns whether the membership differs in at most one voter.
    pub fn is_single_step(&self, next: &Membership) -> bool {
        let added = next.voters().filter(|id| !self.is_voter(*id)).count();
        let removed = self.voters().filter(|id| !next.is_voter(*id)).count();
        added + removed <= 1
    }
}

/// Content of an entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// Marks the start of a leader's term.
    Empty,
    /// A command for the state machine.
    Command(Vec<u8>),
    /// A new membership, in force as soon as it is in the log.
    Membership(Membership),
}

/// One entry of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Term of the leader that appended the entry.
    pub term: Term,
    /// Position.
    pub index: Index,
    /// Content.
    pub payload: Payload,
}

/// What a replica must remember of elections.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Latest term seen.
    pub term: Term,
    /// Vote in that term.
    pub voted_for: Option<ReplicaId>,
}

/// State machine up to an index, in place of the entries before it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Last index that the snapshot covers.
    pub index: Index,
    /// Term of that index.
    pub term: Term,
    /// Membership at that index.
    pub membership: Membership,
    /// State machine, opaque here.
    pub data: Vec<u8>,
}

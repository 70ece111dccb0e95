//! Messages between replicas.

use serde::{Deserialize, Serialize};

use crate::{Entry, Index, Membership, ReplicaId, Term};

/// A message and its addressee.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Envelope {
    /// Addressee.
    pub to: ReplicaId,
    /// Message.
    pub message: Message,
}

/// A message from one replica to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks whether a vote would be granted, without raising the term.
    PreVote {
        /// Term that the candidate would start.
        next_term: Term,
        /// Last entry of the candidate.
        last_index: Index,
        /// Term of that entry.
        last_term: Term,
    },
    /// Answers a pre-vote.
    PreVoteReply {
        /// Term of the voter.
        term: Term,
        /// Term that the candidate asked about.
        next_term: Term,
        /// Whether a vote would be granted.
        is_granted: bool,
    },
    /// Asks for a vote.
    Vote {
        /// Term of the candidate.
        term: Term,
        /// Last entry of the candidate.
        last_index: Index,
        /// Term of that entry.
        last_term: Term,
    },
    /// Answers a vote.
    VoteReply {
        /// Term of the voter.
        term: Term,
        /// Whether the vote was granted.
        is_granted: bool,
    },
    /// Appends entries; without entries a heartbeat.
    Append {
        /// Term of the leader.
        term: Term,
        /// Entry before the first one.
        prev_index: Index,
        /// Term of that entry.
        prev_term: Term,
        /// Entries to append.
        entries: Vec<Entry>,
        /// Committed index of the leader.
        commit_index: Index,
    },
    /// Answers an append.
    AppendReply {
        /// Term of the follower.
        term: Term,
        /// Whether the entry before the first one matched.
        is_match: bool,
        /// Last matching index, or the follower's hint where to try next.
        index: Index,
    },
    /// Carries a part of a snapshot.
    SnapshotChunk {
        /// Term of the leader.
        term: Term,
        /// Last index that the snapshot covers.
        index: Index,
        /// Term of that index.
        index_term: Term,
        /// Membership at that index.
        membership: Membership,
        /// Offset of the part, in bytes.
        offset_bytes: u64,
        /// The part.
        data: Vec<u8>,
        /// Whether the part is the last one.
        is_last: bool,
    },
    /// Answers a part of a snapshot.
    SnapshotReply {
        /// Term of the follower.
        term: Term,
        /// Last index that the snapshot covers.
        index: Index,
        /// Bytes received so far.
        received_bytes: u64,
    },
}

impl Message {
    /// Returns the term that the message carries as its sender's own.
    pub(crate) fn term(&self) -> Option<Term> {
        match self {
            Message::PreVote { .. } => None,
            Message::PreVoteReply { term, .. }
            | Message::Vote { term, .. }
            | Message::VoteReply { term, .. }
            | Message::Append { term, .. }
            | Message::AppendReply { term, .. }
            | Message::SnapshotChunk { term, .. }
            | Message::SnapshotReply { term, .. } => Some(*term),
        }
    }
}

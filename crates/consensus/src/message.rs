//! Messages between replicas.

use serde::{Deserialize, Serialize};

use crate::{Entry, Index, Membership, ReplicaId, Term};

/// Outgoing message and its recipient.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Envelope {
    /// Replica that receives the message.
    pub to: ReplicaId,
    /// Message to send.
    pub message: Message,
}

/// Message from one replica to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Requests a pre-vote: whether the receiver would grant a vote. Changes no terms.
    PreVote {
        /// Term that the pre-candidate would start.
        next_term: Term,
        /// Index of the last entry in the log of the pre-candidate.
        last_index: Index,
        /// Term of that entry.
        last_term: Term,
    },
    /// Replies to [`Message::PreVote`].
    PreVoteReply {
        /// Current term of the voter.
        term: Term,
        /// Term of the request.
        next_term: Term,
        /// Whether the voter would grant its vote.
        is_granted: bool,
    },
    /// Requests a vote.
    Vote {
        /// Term of the candidate.
        term: Term,
        /// Index of the last entry in the log of the candidate.
        last_index: Index,
        /// Term of that entry.
        last_term: Term,
    },
    /// Replies to [`Message::Vote`].
    VoteReply {
        /// Current term of the voter.
        term: Term,
        /// Whether the voter granted its vote.
        is_granted: bool,
    },
    /// Appends entries; a message without entries is a heartbeat.
    Append {
        /// Term of the leader.
        term: Term,
        /// Index of the entry that precedes the first one sent.
        prev_index: Index,
        /// Term of that entry.
        prev_term: Term,
        /// Consecutive entries to append.
        entries: Vec<Entry>,
        /// Commit index of the leader.
        commit_index: Index,
    },
    /// Replies to [`Message::Append`]; also rejects a stale leader and acknowledges a snapshot.
    AppendReply {
        /// Current term of the follower.
        term: Term,
        /// Whether the follower's log has the preceding entry with the same term.
        is_match: bool,
        /// Last index that matches the leader's log; without a match, the preceding index that the
        /// leader should try next.
        index: Index,
    },
    /// Transfers one chunk of a snapshot.
    SnapshotChunk {
        /// Term of the leader.
        term: Term,
        /// Last index that the snapshot covers.
        index: Index,
        /// Term of the entry at that index.
        index_term: Term,
        /// Membership at that index.
        membership: Membership,
        /// Offset of the chunk in the snapshot data, in bytes.
        offset_bytes: u64,
        /// Bytes of the chunk.
        #[serde(with = "crate::byte_codec")]
        data: Vec<u8>,
        /// Whether the chunk is the last one of the snapshot.
        is_last: bool,
    },
    /// Replies to [`Message::SnapshotChunk`].
    SnapshotReply {
        /// Current term of the follower.
        term: Term,
        /// Last index that the snapshot covers.
        index: Index,
        /// Length of the contiguous data received so far; the offset of the next chunk.
        received_bytes: u64,
    },
}

impl Message {
    /// Returns the current term of the sender. A pre-vote carries none, only the term that it
    /// would start.
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

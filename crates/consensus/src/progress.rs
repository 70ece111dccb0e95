//! Replication state that a leader keeps for each member.

use crate::Index;

/// Replication progress of one member.
#[derive(Debug, Clone)]
pub(crate) struct Progress {
    /// Last index known to match the log of the leader.
    pub(crate) match_index: Index,
    /// Index of the next entry to send.
    pub(crate) next_index: Index,
    /// Time of the creation: the begin of the leader's term, or the admission of the member.
    pub(crate) created_us: u64,
    /// Time of the last reply, or of the creation before any reply.
    pub(crate) last_contact_us: u64,
    /// Snapshot transfer in progress.
    pub(crate) snapshot: Option<SnapshotTransfer>,
    /// Whether entries are in flight; further ones wait for the reply or the next heartbeat.
    pub(crate) is_paused: bool,
}

/// Transfer of a snapshot to a follower.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SnapshotTransfer {
    /// Last index that the snapshot covers.
    pub(crate) index: Index,
    /// Bytes that the follower has acknowledged; the offset of the next chunk.
    pub(crate) acknowledged_bytes: u64,
}

impl Progress {
    pub(crate) fn new(last_index: Index, now_us: u64) -> Self {
        Self {
            match_index: 0,
            next_index: last_index + 1,
            created_us: now_us,
            last_contact_us: now_us,
            snapshot: None,
            is_paused: false,
        }
    }
}

//! What a leader knows of one follower.

use crate::Index;

#[derive(Debug, Clone)]
pub(crate) struct Progress {
    pub(crate) match_index: Index,
    pub(crate) next_index: Index,
    pub(crate) last_contact_us: u64,
    pub(crate) snapshot: Option<SnapshotTransfer>,
    /// Entries are in flight and the next ones wait for the answer or a heartbeat.
    pub(crate) is_paused: bool,
}

#[derive(Debug, Clone, Copy)]
pub(crate) struct SnapshotTransfer {
    pub(crate) index: Index,
    pub(crate) sent_bytes: u64,
}

impl Progress {
    pub(crate) fn new(last_index: Index, now_us: u64) -> Self {
        Self {
            match_index: 0,
            next_index: last_index + 1,
            last_contact_us: now_us,
            snapshot: None,
            is_paused: false,
        }
    }
}

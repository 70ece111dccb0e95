//! What the control thread publishes to the listener's threads.

use std::sync::Arc;

use consensus::{Index, Membership, ReplicaId, Role, Term};

use crate::configurations::ConfigurationTable;
use crate::profiles::ProfileTable;

/// Immutable snapshot of the replica.
#[derive(Debug, Clone)]
pub struct View {
    /// Own id.
    pub id: ReplicaId,
    /// Part that the replica plays.
    pub role: Role,
    /// Current term.
    pub term: Term,
    /// Leader, where known.
    pub leader: Option<ReplicaId>,
    /// Members.
    pub membership: Membership,
    /// Committed index.
    pub commit_index: Index,
    /// Applied index.
    pub applied_index: Index,
    /// Last index in the log.
    pub last_index: Index,
    /// Last index that the snapshot covers.
    pub snapshot_index: Index,
    /// When a quorum was last in contact, in microseconds on the process clock.
    pub quorum_contact_us: u64,
    /// Profiles.
    pub profiles: Arc<ProfileTable>,
    /// Configuration of routes.
    pub configurations: Arc<ConfigurationTable>,
    /// Remembered claims.
    pub claims: usize,
}

impl View {
    /// Returns the address of the leader, where known.
    pub fn leader_address(&self) -> Option<&str> {
        let leader = self.leader?;
        self.membership.members.get(&leader).map(|member| member.address.as_str())
    }

    /// Returns whether the replica leads.
    pub fn is_leader(&self) -> bool {
        self.role == Role::Leader
    }
}

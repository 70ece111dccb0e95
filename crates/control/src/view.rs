//! View of the replica that the control thread publishes to the threads that serve RPCs.

use std::sync::Arc;

use consensus::{Index, Membership, ReplicaId, Role, Term};

use crate::configurations::ConfigurationTable;
use crate::departures::DepartureTable;
use crate::profiles::ProfileTable;

/// Immutable copy of the replica's state at one point in time.
#[derive(Debug, Clone)]
pub struct View {
    /// Id of this replica.
    pub id: ReplicaId,
    /// Role of this replica in consensus.
    pub role: Role,
    /// Current consensus term.
    pub term: Term,
    /// Id of the current leader, if known.
    pub leader: Option<ReplicaId>,
    /// Membership of the cluster; empty before the replica forms or joins one.
    pub membership: Membership,
    /// Index of the last committed log entry.
    pub commit_index: Index,
    /// Index of the last applied log entry.
    pub applied_index: Index,
    /// Index of the last log entry.
    pub last_index: Index,
    /// Index of the last log entry that the snapshot includes.
    pub snapshot_index: Index,
    /// Time of the last contact with a quorum, in microseconds on the process clock.
    pub quorum_contact_us: u64,
    /// Time up to which the committed state is known to be complete, in microseconds on the process
    /// clock.
    pub content_us: u64,
    /// Table of profiles.
    pub profiles: Arc<ProfileTable>,
    /// Current configuration of routes and the digests of the accepted changes.
    pub configurations: Arc<ConfigurationTable>,
    /// Departures of upstream processes.
    pub departures: Arc<DepartureTable>,
    /// Number of stored claims.
    pub claim_count: usize,
}

impl View {
    /// Returns the address of the leader, if known.
    pub fn leader_address(&self) -> Option<&str> {
        let leader = self.leader?;
        self.membership.members.get(&leader).map(|member| member.address.as_str())
    }

    /// Returns whether this replica is the leader.
    pub fn is_leader(&self) -> bool {
        self.role == Role::Leader
    }
}

//! Formation of the cluster, and joining of replicas that have no membership.
//!
//! The id of a replica is stored in its data folder. The initial members form a cluster as soon as
//! each of them has received the ids of all the others. A replica that lost its data folder gets a
//! new id. It joins as a learner under the new id, while the membership still lists its address
//! with the old id.

use std::net::SocketAddr;
use std::time::Duration;

use consensus::{Member, Membership, ReplicaId};
use daemon::Clock;
use futures_util::future::join_all;
use indexmap::IndexSet;
use rpc::replica_client::ReplicaClient;
use rpc::{IdentifyRequest, JoinRequest, LeaveRequest, ReplicaIdentity, ReplicaMember};
use slog::{Logger, info, warn};
use tokio::sync::oneshot;

use crate::membership;
use crate::peers;
use crate::replica::{Input, ReplicaHandle};
use crate::service::ServiceContext;
use crate::settings::{Formation, Settings};

/// Delay between two attempts to form or join a cluster.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Time without contact to a quorum after which a replica checks whether it is still a member, in
/// microseconds: longer than an election. A replica that was removed while it was cut off must be a
/// voter again before the loss of another has to be borne.
const REJOIN_CONTACT_AGE_US: u64 = 1_000_000;
/// Delay between two of these checks.
const REJOIN_INTERVAL: Duration = Duration::from_millis(250);

/// Maximum time that a stopping replica waits until it has been removed: many times the duration of a
/// commit, and short against the grace time of a stop.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(500);
const LEAVE_RETRY_DELAY: Duration = Duration::from_millis(20);
const COMMIT_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Forms or joins the cluster, then joins again whenever the cluster has removed the replica.
pub(crate) async fn run(log: Logger, clock: Clock, settings: Settings, replica: ReplicaHandle) {
    form_or_join(&log, &settings, &replica).await;
    loop {
        tokio::time::sleep(REJOIN_INTERVAL).await;
        let view = replica.view();
        if clock.now_us().saturating_sub(view.quorum_contact_us) < REJOIN_CONTACT_AGE_US {
            continue;
        }
        let known = view.membership.members.values();
        let known = known.filter_map(|member| member.address.parse().ok());
        let probed = probe_replicas(&settings, known).await;
        if let Some(address) = probed.address_of_cluster_without(view.id) {
            info!(log, "replica-rejoins"; "replica" => %view.id, "peer" => address.clone());
            join(&log, &settings, view.id, address).await;
        }
    }
}

async fn form_or_join(log: &Logger, settings: &Settings, replica: &ReplicaHandle) {
    let own_id = replica.view().id;
    let mut is_join_logged = false;
    while replica.view().membership.members.is_empty() {
        let probed = probe_replicas(settings, []).await;
        if let Some(membership) = probed.membership_including(own_id) {
            replica.input(Input::FormCluster { membership });
        } else if let Some(address) = probed.formed_replica_address() {
            if !is_join_logged {
                info!(log, "replica-joins"; "replica" => %own_id, "peer" => address.clone());
                is_join_logged = true;
            }
            join(log, settings, own_id, address).await;
        } else if let Some(membership) = probed.initial_membership(own_id, settings) {
            replica.input(Input::FormCluster { membership });
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

struct ProbedReplica {
    address: SocketAddr,
    identity: ReplicaIdentity,
}

struct ProbedReplicas(Vec<ProbedReplica>);

impl ProbedReplicas {
    /// Returns the membership of a formed cluster that includes this replica.
    fn membership_including(&self, own_id: ReplicaId) -> Option<Membership> {
        let formed = self.0.iter().filter(|replica| replica.identity.is_formed);
        let mut memberships = formed.map(|replica| to_membership(&replica.identity));
        memberships.find(|membership| membership.members.contains_key(&own_id))
    }

    /// Returns the address of another replica whose cluster does not include this one.
    fn address_of_cluster_without(&self, own_id: ReplicaId) -> Option<String> {
        let excludes = |identity: &ReplicaIdentity| {
            identity.is_formed
                && identity.replica_id != own_id.0
                && !identity.members.iter().any(|member| member.replica_id == own_id.0)
        };
        let other = self.0.iter().find(|replica| excludes(&replica.identity))?;
        Some(other.address.to_string())
    }

    /// Returns the address of a replica that belongs to a formed cluster.
    fn formed_replica_address(&self) -> Option<String> {
        let formed = self.0.iter().find(|replica| replica.identity.is_formed)?;
        Some(formed.address.to_string())
    }

    /// Returns the initial membership if the settings allow the replica to form a cluster, every
    /// initial member responded and this replica is one of them. The caller has checked that no
    /// cluster is formed.
    fn initial_membership(&self, own_id: ReplicaId, settings: &Settings) -> Option<Membership> {
        let is_member = self.0.iter().any(|replica| replica.identity.replica_id == own_id.0);
        let is_complete = self.0.len() >= settings.members.len();
        if settings.formation == Formation::JoinOnly || !is_complete || !is_member {
            return None;
        }
        let members = self.0.iter().map(|replica| {
            let member = Member {
                address: replica.address.to_string(),
                data_centre: replica.identity.data_centre.clone(),
                is_voter: true,
            };
            (ReplicaId(replica.identity.replica_id), member)
        });
        Some(Membership { members: members.collect() })
    }
}

fn to_membership(identity: &ReplicaIdentity) -> Membership {
    let members = identity.members.iter().map(|member| {
        let converted = Member {
            address: member.address.clone(),
            data_centre: member.data_centre.clone(),
            is_voter: member.is_voter,
        };
        (ReplicaId(member.replica_id), converted)
    });
    Membership { members: members.collect() }
}

/// Requests the identity of every replica in the settings and in `known`, of all at the same time,
/// since a call to one that is down takes as long as its timeout.
async fn probe_replicas(
    settings: &Settings,
    known: impl IntoIterator<Item = SocketAddr>,
) -> ProbedReplicas {
    let addresses: IndexSet<_> = settings.members.iter().copied().chain(known).collect();
    let probes = addresses.into_iter().map(|address| async move {
        let identity = identify(settings, address).await?;
        Some(ProbedReplica { address, identity })
    });
    ProbedReplicas(join_all(probes).await.into_iter().flatten().collect())
}

async fn identify(settings: &Settings, member: SocketAddr) -> Option<ReplicaIdentity> {
    let channel = peers::channel(&member.to_string()).ok()?;
    let mut client = ReplicaClient::new(channel);
    let request = IdentifyRequest { cluster_id: settings.cluster_id.clone() };
    let call = tokio::time::timeout(CALL_TIMEOUT, client.identify(request));
    Some(call.await.ok()?.ok()?.into_inner())
}

/// Requests admission to a cluster as a learner from the replica at `address`.
async fn join(log: &Logger, settings: &Settings, own_id: ReplicaId, address: String) {
    let Ok(channel) = peers::channel(&address) else {
        return;
    };
    let mut client = ReplicaClient::new(channel);
    let member = ReplicaMember {
        replica_id: own_id.0,
        address: settings.advertise.to_string(),
        data_centre: settings.data_centre.to_string(),
        is_voter: false,
    };
    let request = JoinRequest {
        cluster_id: settings.cluster_id.clone(),
        member: Some(member),
        is_forwarded: false,
    };
    match tokio::time::timeout(CALL_TIMEOUT, client.join(request)).await {
        Ok(Ok(_)) => {}
        Ok(Err(status)) => {
            warn!(log, "join-refused"; "peer" => address, "error" => status.message().to_owned());
        }
        Err(_) => warn!(log, "join-timed-out"; "peer" => address),
    }
}

/// Asks the leader to remove this replica, which stops, unless the others need its vote when it
/// returns. Gives up after [`LEAVE_TIMEOUT`]; the leader then removes it once it is lost.
pub(crate) async fn leave(context: &ServiceContext) {
    let id = context.replica.view().id;
    let is_removable = || membership::is_removed_at_stop(&context.replica.view().membership, id);
    if !is_removable() {
        return;
    }
    let removal = async {
        while is_removable() {
            if request_removal(context, id, false).await {
                return true;
            }
            tokio::time::sleep(LEAVE_RETRY_DELAY).await;
        }
        false
    };
    let removed = tokio::time::timeout(LEAVE_TIMEOUT, removal).await;
    info!(context.log, "replica-leaves"; "replica" => %id, "is_removed" => removed == Ok(true));
}

/// Asks the leader to remove a replica that stops. Returns whether the removal is committed.
pub(crate) async fn request_removal(
    context: &ServiceContext,
    id: ReplicaId,
    is_forwarded: bool,
) -> bool {
    let Some(channel) = context.leader_channel().filter(|_| !is_forwarded) else {
        return remove_as_leader(context, id).await;
    };
    let request = LeaveRequest {
        cluster_id: context.settings.cluster_id.clone(),
        replica_id: id.0,
        is_forwarded: true,
    };
    let reply = ReplicaClient::new(channel).leave(request).await;
    reply.is_ok_and(|reply| reply.into_inner().is_removed)
}

async fn remove_as_leader(context: &ServiceContext, id: ReplicaId) -> bool {
    let (reply, receiver) = oneshot::channel();
    context.replica.input(Input::RemoveStopping { id, reply });
    let Ok(Some(index)) = receiver.await else { return false };
    let committed = async {
        while context.replica.view().commit_index < index {
            tokio::time::sleep(COMMIT_POLL_INTERVAL).await;
        }
    };
    tokio::time::timeout(LEAVE_TIMEOUT, committed).await.is_ok()
}

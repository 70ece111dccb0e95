//! How a replica without a membership finds its cluster.
//!
//! An id belongs to a disk. First members form a cluster once each has seen the ids of all. A replica
//! whose address is taken by another id lost its disk: it joins as a learner under its new id.

use std::net::SocketAddr;
use std::time::Duration;

use consensus::{Member, Membership, ReplicaId};
use daemon::Clock;
use indexmap::IndexSet;
use rpc::replica_client::ReplicaClient;
use rpc::{IdentifyRequest, JoinRequest, ReplicaIdentity, ReplicaMember};
use slog::{Logger, info, warn};

use crate::peers;
use crate::replica::{Input, ReplicaHandle};
use crate::settings::{Formation, Settings};

const POLL_INTERVAL: Duration = Duration::from_millis(200);
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Silence of the cluster after which a replica asks whether it is still a member, in microseconds.
const REJOIN_AFTER_US: u64 = 2_000_000;
const REJOIN_INTERVAL: Duration = Duration::from_secs(1);

/// Forms or joins the cluster, and joins again if the cluster goes on without the replica.
pub(crate) async fn run(log: Logger, clock: Clock, settings: Settings, replica: ReplicaHandle) {
    form_or_join(&log, &settings, &replica).await;
    loop {
        tokio::time::sleep(REJOIN_INTERVAL).await;
        let view = replica.view();
        if clock.now_us().saturating_sub(view.quorum_contact_us) < REJOIN_AFTER_US {
            continue;
        }
        let known = view.membership.members.values();
        let known = known.filter_map(|member| member.address.parse().ok());
        let found = look_around(&settings, known).await;
        if let Some(address) = found.formed_without(view.id) {
            info!(log, "replica-rejoins"; "replica" => %view.id, "through" => address.clone());
            join(&log, &settings, view.id, address).await;
        }
    }
}

async fn form_or_join(log: &Logger, settings: &Settings, replica: &ReplicaHandle) {
    let own = replica.view().id;
    let mut is_join_logged = false;
    while replica.view().membership.members.is_empty() {
        let found = look_around(settings, []).await;
        if let Some(membership) = found.membership_with(own) {
            replica.input(Input::Form { membership });
        } else if let Some(address) = found.formed_address() {
            if !is_join_logged {
                info!(log, "replica-joins"; "replica" => %own, "through" => address.clone());
                is_join_logged = true;
            }
            join(log, settings, own, address).await;
        } else if let Some(membership) = found.first_membership(own, settings) {
            replica.input(Input::Form { membership });
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

struct Sighting {
    address: SocketAddr,
    identity: ReplicaIdentity,
}

struct Sightings(Vec<Sighting>);

impl Sightings {
    /// Returns the membership of a formed cluster that counts this replica in.
    fn membership_with(&self, own: ReplicaId) -> Option<Membership> {
        let formed = self.0.iter().filter(|sighting| sighting.identity.is_formed);
        let mut memberships = formed.map(|sighting| to_membership(&sighting.identity));
        memberships.find(|membership| membership.members.contains_key(&own))
    }

    /// Returns the address of another replica whose cluster does not count this one in.
    fn formed_without(&self, own: ReplicaId) -> Option<String> {
        let excludes = |identity: &ReplicaIdentity| {
            identity.is_formed
                && identity.replica_id != own.0
                && !identity.members.iter().any(|member| member.replica_id == own.0)
        };
        let other = self.0.iter().find(|sighting| excludes(&sighting.identity))?;
        Some(other.address.to_string())
    }

    fn formed_address(&self) -> Option<String> {
        let formed = self.0.iter().find(|sighting| sighting.identity.is_formed)?;
        Some(formed.address.to_string())
    }

    /// Returns the first membership if every first member was seen, this one among them, and none is
    /// formed.
    fn first_membership(&self, own: ReplicaId, settings: &Settings) -> Option<Membership> {
        let is_member = self.0.iter().any(|sighting| sighting.identity.replica_id == own.0);
        let is_complete = self.0.len() >= settings.members.len();
        if settings.formation == Formation::JoinOnly || !is_complete || !is_member {
            return None;
        }
        let members = self.0.iter().map(|sighting| {
            let member = Member {
                address: sighting.address.to_string(),
                data_centre: sighting.identity.data_centre.clone(),
                is_voter: true,
            };
            (ReplicaId(sighting.identity.replica_id), member)
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

/// Asks the replicas that the settings name, and others that are known, who they are.
async fn look_around(
    settings: &Settings,
    known: impl IntoIterator<Item = SocketAddr>,
) -> Sightings {
    let mut sightings = Vec::new();
    let addresses: IndexSet<_> = settings.members.iter().copied().chain(known).collect();
    for address in addresses {
        if let Some(identity) = identify(settings, address).await {
            sightings.push(Sighting { address, identity });
        }
    }
    Sightings(sightings)
}

async fn identify(settings: &Settings, member: SocketAddr) -> Option<ReplicaIdentity> {
    let channel = peers::channel(&member.to_string()).ok()?;
    let mut client = ReplicaClient::new(channel);
    let request = IdentifyRequest { cluster_id: settings.cluster_id.clone() };
    let call = tokio::time::timeout(CALL_TIMEOUT, client.identify(request));
    Some(call.await.ok()?.ok()?.into_inner())
}

async fn join(log: &Logger, settings: &Settings, own: ReplicaId, address: String) {
    let Ok(channel) = peers::channel(&address) else {
        return;
    };
    let mut client = ReplicaClient::new(channel);
    let member = ReplicaMember {
        replica_id: own.0,
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
            warn!(log, "join-refused"; "through" => address, "error" => status.message().to_owned());
        }
        Err(_) => warn!(log, "join-timed-out"; "through" => address),
    }
}

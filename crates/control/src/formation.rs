//! How a replica without a membership finds its cluster.
//!
//! An id belongs to a disk. First members form a cluster once each has seen the ids of all. A replica
//! whose address is taken by another id lost its disk: it joins as a learner under its new id.

use std::net::SocketAddr;
use std::time::Duration;

use consensus::{Member, Membership, ReplicaId};
use rpc::replica_client::ReplicaClient;
use rpc::{IdentifyRequest, JoinRequest, ReplicaIdentity, ReplicaMember};
use slog::{Logger, info, warn};

use crate::peers;
use crate::replica::{Input, ReplicaHandle};
use crate::settings::{Formation, Settings};

const POLL_INTERVAL: Duration = Duration::from_millis(200);
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Forms or joins the cluster; returns once the replica has a membership.
pub(crate) async fn run(log: Logger, settings: Settings, replica: ReplicaHandle) {
    let own = replica.view().id;
    let mut is_join_logged = false;
    while replica.view().membership.members.is_empty() {
        let found = look_around(&settings).await;
        if let Some(membership) = found.membership_with(own) {
            replica.input(Input::Form { membership });
        } else if let Some(address) = found.formed_address() {
            if !is_join_logged {
                info!(log, "replica-joins"; "replica" => %own, "through" => address.clone());
                is_join_logged = true;
            }
            join(&log, &settings, own, address).await;
        } else if let Some(membership) = found.first_membership(own, &settings) {
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

async fn look_around(settings: &Settings) -> Sightings {
    let mut sightings = Vec::new();
    for member in &settings.members {
        if let Some(identity) = identify(settings, *member).await {
            sightings.push(Sighting { address: *member, identity });
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

//! gRPC service for operators: changes of profiles and the status of the cluster.

use std::time::{Duration, Instant};

use daemon::Clock;
use indexmap::IndexSet;
use rpc::profiles_client::ProfilesClient;
use rpc::profiles_server::Profiles;
use rpc::{
    ChangeOutcome, ChangeReply, ChangeRequest, HistoryRequest, ListRequest, NodeStatus,
    ProfileRecord, ProfileSet, ReplicaStatus, StatusReply, StatusRequest,
};
use sha2::{Digest, Sha256};
use slog::info;
use tonic::{Request, Response, Status};

use super::{ServiceContext, directory_service, role_name};
use crate::profiles::{Change, ChangeAction, ChangeResult};
use crate::state::{Applied, Command};

/// Maximum time to wait until an accepted change is in force in every data centre.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(5);
const IN_FORCE_POLL_INTERVAL: Duration = Duration::from_millis(50);
const LEADER_POLL_INTERVAL: Duration = Duration::from_millis(50);
const STATUS_TIMEOUT: Duration = Duration::from_millis(500);
const COMMIT_TIMEOUT: Duration = Duration::from_secs(3);
const MAX_CHANGE_ID_BYTES: usize = 128;

pub(super) struct ProfileService {
    context: ServiceContext,
}

impl ProfileService {
    pub(super) fn new(context: ServiceContext) -> Self {
        Self { context }
    }

    fn is_authorized(&self, token: &str) -> bool {
        let Some(expected) = &self.context.settings.operator_token else {
            return false;
        };
        // Compares digests of equal length in constant time, so that the timing reveals nothing
        // about the token.
        let (given, expected) = (Sha256::digest(token), Sha256::digest(expected));
        given.iter().zip(expected.iter()).fold(0, |diff, (a, b)| diff | (a ^ b)) == 0
    }

    /// Validates a change before it is proposed. Returns the reply to an invalid one.
    fn validation_failure(&self, request: &ChangeRequest) -> Option<ChangeReply> {
        if !self.is_authorized(&request.operator_token) {
            return Some(reply(ChangeOutcome::Unauthorized, "the operator token is not accepted"));
        }
        if request.change_id.is_empty() || request.change_id.len() > MAX_CHANGE_ID_BYTES {
            let detail = format!("change_id: 1 to {MAX_CHANGE_ID_BYTES} bytes");
            return Some(reply(ChangeOutcome::Invalid, detail));
        }
        if request.is_retire {
            return self
                .is_in_use(&request.name)
                .then(|| reply(ChangeOutcome::InUse, "an announced upstream uses the profile"));
        }
        match model::parse_profile(&request.text) {
            Err(error) => Some(reply(ChangeOutcome::Invalid, error.to_string())),
            Ok(profile) if profile.name.as_str() != request.name => {
                let detail = format!("name: the text defines {}", profile.name);
                Some(reply(ChangeOutcome::Invalid, detail))
            }
            Ok(_) => None,
        }
    }

    fn is_in_use(&self, name: &str) -> bool {
        self.context.directory().endpoints().any(|endpoint| endpoint.profile == name)
    }

    /// Validates and proposes a change, then waits until it is in force.
    async fn propose_change(&self, request: ChangeRequest) -> ChangeReply {
        if let Some(failure) = self.validation_failure(&request) {
            return failure;
        }
        let action = match request.is_retire {
            true => ChangeAction::Retire,
            false => ChangeAction::Define(request.text),
        };
        let command = Command::Change(Change {
            change_id: request.change_id,
            name: request.name.clone(),
            base_version: request.base_version,
            action,
            at_unix_ms: Clock::unix_us() / 1_000,
        });
        let proposal = tokio::time::timeout(COMMIT_TIMEOUT, self.context.replica.propose(command));
        match proposal.await {
            Ok(Ok(Applied::Change(result))) => self.change_reply(&request.name, result).await,
            _ => reply(
                ChangeOutcome::NoQuorum,
                "no quorum confirmed the change; send it again with the same change id",
            ),
        }
    }

    /// Waits until the known leader is another replica than at the time of the call.
    async fn wait_for_leader_change(&self) {
        let leader = self.context.replica.view().leader;
        loop {
            tokio::time::sleep(LEADER_POLL_INTERVAL).await;
            let current = self.context.replica.view().leader;
            if current.is_some() && current != leader {
                return;
            }
        }
    }

    /// Converts the result of a change to a reply. If the change was applied, first waits until it
    /// is in force in every data centre or `IN_FORCE_TIMEOUT` has passed.
    async fn change_reply(&self, name: &str, result: ChangeResult) -> ChangeReply {
        match result {
            ChangeResult::Applied { version, revision } => {
                let pending_data_centres = self.wait_until_in_force(revision).await;
                let outcome = match pending_data_centres.is_empty() {
                    true => ChangeOutcome::Accepted,
                    false => ChangeOutcome::Pending,
                };
                info!(self.context.log, "profile-changed"; "profile" => name.to_owned(),
                    "version" => version, "outcome" => outcome.as_str_name());
                ChangeReply {
                    outcome: outcome.into(),
                    version,
                    pending_data_centres,
                    ..ChangeReply::default()
                }
            }
            ChangeResult::Conflict { version, winner_change_id } => ChangeReply {
                outcome: ChangeOutcome::Conflict.into(),
                version,
                winner_change_id,
                detail: "the profile has another version than the change is based on".to_owned(),
                ..ChangeReply::default()
            },
            ChangeResult::Unknown => {
                reply(ChangeOutcome::UnknownProfile, "there is no such profile in force")
            }
            ChangeResult::IdReused => {
                reply(ChangeOutcome::Invalid, "change_id: used for another change")
            }
        }
    }

    /// Waits until a revision is in force in every data centre or the timeout has passed. Returns
    /// the data centres where it is not in force.
    async fn wait_until_in_force(&self, revision: u64) -> Vec<String> {
        let started = Instant::now();
        loop {
            let replicas = self.cluster_status().await;
            let pending = pending_data_centres(&replicas, revision);
            if pending.is_empty() || started.elapsed() > IN_FORCE_TIMEOUT {
                return pending;
            }
            tokio::time::sleep(IN_FORCE_POLL_INTERVAL).await;
        }
    }

    /// Returns the status of every member; unreachable ones get the role `unreachable`.
    async fn cluster_status(&self) -> Vec<ReplicaStatus> {
        let view = self.context.replica.view();
        let members = view.membership.members.iter();
        let calls = members.map(|(id, member)| {
            let is_own = *id == view.id;
            async move {
                if is_own {
                    return self.own_status();
                }
                let status = self.remote_status(&member.address).await;
                status.unwrap_or_else(|| ReplicaStatus {
                    replica_id: id.0,
                    data_centre: member.data_centre.clone(),
                    address: member.address.clone(),
                    role: "unreachable".to_owned(),
                    ..ReplicaStatus::default()
                })
            }
        });
        let mut statuses = Vec::new();
        for call in calls {
            statuses.push(call.await);
        }
        statuses
    }

    async fn remote_status(&self, address: &str) -> Option<ReplicaStatus> {
        let mut client = ProfilesClient::new(self.context.channels.get(address)?);
        let call = client.status(StatusRequest { is_local: true });
        match tokio::time::timeout(STATUS_TIMEOUT, call).await {
            Ok(Ok(reply)) => reply.into_inner().replicas.into_iter().next(),
            _ => {
                self.context.channels.reset(address);
                None
            }
        }
    }

    fn own_status(&self) -> ReplicaStatus {
        let view = self.context.replica.view();
        let now_us = self.context.clock.now_us();
        let directory = self.context.directory();
        let nodes = directory.nodes().map(|node| NodeStatus {
            vm: node.vm.clone(),
            data_centre: node.data_centre.clone(),
            profile_revision: node.profile_revision,
        });
        let is_learner = !view.membership.is_voter(view.id);
        ReplicaStatus {
            replica_id: view.id.0,
            data_centre: self.context.settings.data_centre.to_string(),
            address: self.context.settings.advertise.to_string(),
            role: if is_learner { "learner" } else { role_name(view.role) }.to_owned(),
            term: view.term,
            leader_id: view.leader.map_or(0, |id| id.0),
            commit_index: view.commit_index,
            applied_index: view.applied_index,
            last_index: view.last_index,
            snapshot_index: view.snapshot_index,
            contact_age_ms: now_us.saturating_sub(view.quorum_contact_us) / 1_000,
            profile_revision: view.profiles.revision(),
            nodes: nodes.collect(),
            is_reachable: true,
        }
    }
}

#[tonic::async_trait]
impl Profiles for ProfileService {
    async fn change(
        &self,
        request: Request<ChangeRequest>,
    ) -> Result<Response<ChangeReply>, Status> {
        let request = request.into_inner();
        match self.context.leader_channel() {
            Some(channel) if !request.is_forwarded => {
                let forwarded = ChangeRequest { is_forwarded: true, ..request };
                let limit = COMMIT_TIMEOUT + IN_FORCE_TIMEOUT + STATUS_TIMEOUT;
                let mut client = ProfilesClient::new(channel);
                let answered = tokio::select! {
                    answered = tokio::time::timeout(limit, client.change(forwarded)) =>
                        answered.ok(),
                    () = self.wait_for_leader_change() => None,
                };
                match answered {
                    Some(Ok(reply)) => Ok(reply),
                    _ => Ok(Response::new(reply(
                        ChangeOutcome::NoQuorum,
                        "the leader does not answer; send it again with the same change id",
                    ))),
                }
            }
            _ => Ok(Response::new(self.propose_change(request).await)),
        }
    }

    async fn list(&self, _request: Request<ListRequest>) -> Result<Response<ProfileSet>, Status> {
        let view = self.context.replica.view();
        Ok(Response::new(directory_service::profile_set(&view.profiles, 0)))
    }

    async fn history(
        &self,
        request: Request<HistoryRequest>,
    ) -> Result<Response<ProfileSet>, Status> {
        let name = request.into_inner().name;
        let view = self.context.replica.view();
        let versions = view.profiles.history(&name).map(|version| ProfileRecord {
            name: name.clone(),
            version: version.version,
            text: version.text.clone(),
            is_retired: version.is_retired,
        });
        let set = ProfileSet { revision: view.profiles.revision(), profiles: versions.collect() };
        Ok(Response::new(set))
    }

    async fn status(
        &self,
        request: Request<StatusRequest>,
    ) -> Result<Response<StatusReply>, Status> {
        let replicas = match request.into_inner().is_local {
            true => vec![self.own_status()],
            false => self.cluster_status().await,
        };
        Ok(Response::new(StatusReply { replicas }))
    }
}

fn reply(outcome: ChangeOutcome, detail: impl Into<String>) -> ChangeReply {
    ChangeReply { outcome: outcome.into(), detail: detail.into(), ..ChangeReply::default() }
}

/// Returns the data centres with a replica or node that has not reached a revision.
fn pending_data_centres(replicas: &[ReplicaStatus], revision: u64) -> Vec<String> {
    let mut pending = IndexSet::new();
    for replica in replicas {
        if !replica.is_reachable || replica.profile_revision < revision {
            pending.insert(replica.data_centre.clone());
        }
        let nodes = replica.nodes.iter().filter(|node| node.profile_revision < revision);
        pending.extend(nodes.map(|node| node.data_centre.clone()));
    }
    pending.into_iter().collect()
}

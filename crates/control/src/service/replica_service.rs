//! gRPC service for the other replicas: consensus messages, joining and directory copies.

use std::time::Duration;

use consensus::{Member, ReplicaId};
use rpc::replica_client::ReplicaClient;
use rpc::replica_server::Replica;
use rpc::{
    DeliverReply, IdentifyRequest, JoinReply, JoinRequest, LeaveReply, LeaveRequest,
    LendQuotaReply, LendQuotaRequest, RecordDepartureReply, RecordDepartureRequest,
    ReplicaIdentity, ReplicaMember, ReplicaMessage, SyncDirectoryReply, SyncDirectoryRequest,
};
use slog::warn;
use tokio::sync::oneshot;
use tonic::{Request, Response, Status, Streaming};

use super::ServiceContext;
use crate::departure_recorder;
use crate::departures::Departure;
use crate::formation;
use crate::quota_exchange;
use crate::replica::Input;

const JOIN_TIMEOUT: Duration = Duration::from_millis(500);

pub(super) struct ReplicaService {
    context: ServiceContext,
}

impl ReplicaService {
    pub(super) fn new(context: ServiceContext) -> Self {
        Self { context }
    }

    #[allow(clippy::result_large_err)] // The signature of tonic's services.
    fn handle_message(&self, message: ReplicaMessage) -> Result<(), Status> {
        self.context.check_cluster(&message.cluster_id)?;
        if message.to != self.context.replica.view().id.0 {
            return Err(Status::not_found("the message is for another replica"));
        }
        let decoded = postcard::from_bytes(&message.payload)
            .map_err(|_| Status::invalid_argument("the message cannot be read"))?;
        self.context.replica.input(Input::Message {
            from: ReplicaId(message.from),
            from_address: message.from_address,
            message: decoded,
        });
        Ok(())
    }

    /// Adds a replica as a learner. Returns whether it is a member or its addition was proposed.
    async fn add_learner(&self, member: ReplicaMember) -> bool {
        let (reply, receiver) = oneshot::channel();
        let converted =
            Member { address: member.address, data_centre: member.data_centre, is_voter: false };
        let id = ReplicaId(member.replica_id);
        self.context.replica.input(Input::AddLearner { id, member: converted, reply });
        receiver.await.unwrap_or(false)
    }
}

#[tonic::async_trait]
impl Replica for ReplicaService {
    async fn deliver(
        &self,
        request: Request<Streaming<ReplicaMessage>>,
    ) -> Result<Response<DeliverReply>, Status> {
        let mut messages = request.into_inner();
        let mut stop = self.context.stop.clone();
        loop {
            let message = tokio::select! {
                message = messages.message() => message?,
                _ = stop.changed() => None,
            };
            let Some(message) = message else {
                return Ok(Response::new(DeliverReply::default()));
            };
            if let Err(status) = self.handle_message(message) {
                warn!(self.context.log, "message-refused"; "error" => status.message().to_owned());
                return Err(status);
            }
        }
    }

    async fn identify(
        &self,
        request: Request<IdentifyRequest>,
    ) -> Result<Response<ReplicaIdentity>, Status> {
        self.context.check_cluster(&request.into_inner().cluster_id)?;
        let view = self.context.replica.view();
        let members = view.membership.members.iter().map(|(id, member)| ReplicaMember {
            replica_id: id.0,
            address: member.address.clone(),
            data_centre: member.data_centre.clone(),
            is_voter: member.is_voter,
        });
        Ok(Response::new(ReplicaIdentity {
            replica_id: view.id.0,
            is_formed: !view.membership.members.is_empty(),
            members: members.collect(),
            data_centre: self.context.settings.data_centre.to_string(),
        }))
    }

    async fn join(&self, request: Request<JoinRequest>) -> Result<Response<JoinReply>, Status> {
        let request = request.into_inner();
        self.context.check_cluster(&request.cluster_id)?;
        let Some(member) = request.member.clone() else {
            return Err(Status::invalid_argument("the request names no member"));
        };
        match self.context.leader_channel() {
            Some(channel) if !request.is_forwarded => {
                let forwarded = JoinRequest { is_forwarded: true, ..request };
                let mut client = ReplicaClient::new(channel);
                let reply = tokio::time::timeout(JOIN_TIMEOUT, client.join(forwarded)).await;
                reply.unwrap_or_else(|_| Err(Status::unavailable("the leader does not answer")))
            }
            _ => Ok(Response::new(JoinReply { is_admitted: self.add_learner(member).await })),
        }
    }

    async fn leave(&self, request: Request<LeaveRequest>) -> Result<Response<LeaveReply>, Status> {
        let request = request.into_inner();
        self.context.check_cluster(&request.cluster_id)?;
        let id = ReplicaId(request.replica_id);
        let is_removed = formation::request_removal(&self.context, id, request.is_forwarded).await;
        Ok(Response::new(LeaveReply { is_removed }))
    }

    async fn lend_quota(
        &self,
        request: Request<LendQuotaRequest>,
    ) -> Result<Response<LendQuotaReply>, Status> {
        let request = request.into_inner();
        self.context.check_cluster(&request.cluster_id)?;
        let lent = quota_exchange::lend_as_leader(&self.context, request.nodes).await;
        let reply =
            LendQuotaReply { is_confirmed: lent.is_some(), nodes: lent.unwrap_or_default() };
        Ok(Response::new(reply))
    }

    async fn record_departure(
        &self,
        request: Request<RecordDepartureRequest>,
    ) -> Result<Response<RecordDepartureReply>, Status> {
        let request = request.into_inner();
        self.context.check_cluster(&request.cluster_id)?;
        let Some(departed) = request.departed else {
            return Err(Status::invalid_argument("the request names no process"));
        };
        let departure = Departure::new(request.vm, departed);
        let is_committed = departure_recorder::commit_as_leader(&self.context, departure).await;
        Ok(Response::new(RecordDepartureReply { is_committed }))
    }

    async fn sync_directory(
        &self,
        request: Request<SyncDirectoryRequest>,
    ) -> Result<Response<SyncDirectoryReply>, Status> {
        let request = request.into_inner();
        self.context.check_cluster(&request.cluster_id)?;
        let directory = self.context.directory();
        let revision = directory.local_revision();
        if revision == request.known_revision {
            let reply = SyncDirectoryReply { revision, is_unchanged: true, endpoints: Vec::new() };
            return Ok(Response::new(reply));
        }
        let endpoints = directory.local_endpoints().cloned().collect();
        Ok(Response::new(SyncDirectoryReply { revision, is_unchanged: false, endpoints }))
    }
}

//! gRPC service for claims on non-idempotent requests.

use std::time::Duration;

use daemon::Clock;
use rpc::claims_client::ClaimsClient;
use rpc::claims_server::Claims;
use rpc::{
    ClaimReply, ClaimRequest, ClaimStatus, Header, SettleReply, SettleRequest, StoredAnswer,
};
use slog::warn;
use tokio::sync::oneshot;
use tonic::{Request, Response, Status};

use super::ServiceContext;
use crate::claims::{Claim, ClaimKey, ClaimResult, RecordedAnswer, RecordedHeader, Settle};
use crate::replica::Input;
use crate::state::{Applied, Command};

/// Timeout of a call to claim or settle. A claim that exceeds it is answered from this replica's
/// state, with the status `NoQuorum` if that proves no result.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(300);
/// Age of the last contact with a quorum at which claims are no longer proposed, in microseconds.
/// They are then answered from this replica's state alone.
const MAX_CONTACT_AGE_US: u64 = 1_000_000;
/// Maximum time to wait until this replica holds a claim that the leader granted: a few times the
/// duration of an append.
const REPLICATION_TIMEOUT: Duration = Duration::from_millis(50);
const REPLICATION_POLL_INTERVAL: Duration = Duration::from_millis(2);

pub(super) struct ClaimService {
    context: ServiceContext,
}

impl ClaimService {
    pub(super) fn new(context: ServiceContext) -> Self {
        Self { context }
    }

    /// Returns whether the replica had contact with a quorum recently.
    fn has_quorum(&self) -> bool {
        let contact_us = self.context.replica.view().quorum_contact_us;
        self.context.clock.now_us().saturating_sub(contact_us) < MAX_CONTACT_AGE_US
    }

    /// Forwards a claim to the leader, or proposes it if this replica is the leader.
    async fn claim_via_leader(&self, request: ClaimRequest) -> ClaimReply {
        match self.context.leader_channel() {
            Some(channel) if !request.is_forwarded => {
                let (key, holder) = (claim_key(&request), request.holder);
                let forwarded = ClaimRequest { is_forwarded: true, ..request };
                let reply = ClaimsClient::new(channel).claim(forwarded).await;
                let reply = reply.map_or_else(|_| no_quorum(), Response::into_inner);
                if reply.status() == ClaimStatus::Granted {
                    self.wait_until_replicated(key, holder).await;
                }
                reply
            }
            _ => self.propose_claim(request).await,
        }
    }

    /// Waits until the log of this replica also contains a granted claim.
    ///
    /// A quorum without this replica may have committed it. If the other replicas then become
    /// unreachable, nodes look the key up at this replica.
    async fn wait_until_replicated(&self, key: ClaimKey, holder: u64) {
        // The complement is the id of another holder, for which a lookup also finds uncommitted
        // claims.
        let other_holder = !holder;
        let replicated = async {
            while self.known_claim_reply(key.clone(), other_holder).await.is_none() {
                tokio::time::sleep(REPLICATION_POLL_INTERVAL).await;
            }
        };
        if tokio::time::timeout(REPLICATION_TIMEOUT, replicated).await.is_err() {
            let log = &self.context.log;
            warn!(log, "claim-not-replicated"; "key" => &key.key,
                "waited_ms" => REPLICATION_TIMEOUT.as_millis());
        }
    }

    /// Returns the reply that this replica can prove without a quorum, `None` if it stores no
    /// claim.
    async fn known_claim_reply(&self, key: ClaimKey, holder: u64) -> Option<ClaimReply> {
        let (reply, receiver) = oneshot::channel();
        self.context.replica.input(Input::LookUpClaim { key, holder, reply });
        receiver.await.ok().flatten().map(claim_reply)
    }

    async fn propose_claim(&self, request: ClaimRequest) -> ClaimReply {
        let command = Command::Claim(Claim {
            key: ClaimKey { key: request.key, service: request.service, route: request.route },
            body_digest: request.body_digest.to_vec(),
            holder: request.holder,
            deadline_ms: request.deadline_ms,
            window_ms: self.context.settings.claim_window_ms,
            at_unix_ms: Clock::unix_us() / 1_000,
        });
        match self.context.replica.propose(command).await {
            Ok(Applied::Claim(result)) => claim_reply(result),
            _ => no_quorum(),
        }
    }

    async fn propose_settle(&self, request: SettleRequest) -> SettleReply {
        let command = Command::Settle(Settle {
            key: ClaimKey { key: request.key, service: request.service, route: request.route },
            holder: request.holder,
            answer: request.answer.map(from_rpc_answer),
        });
        let applied = self.context.replica.propose(command).await;
        SettleReply { is_committed: applied == Ok(Applied::Settle(true)) }
    }
}

#[tonic::async_trait]
impl Claims for ClaimService {
    async fn claim(&self, request: Request<ClaimRequest>) -> Result<Response<ClaimReply>, Status> {
        let request = request.into_inner();
        let (key, holder) = (claim_key(&request), request.holder);
        let reply = match self.has_quorum() {
            true => {
                let call = self.claim_via_leader(request);
                tokio::time::timeout(CLAIM_TIMEOUT, call).await.unwrap_or_else(|_| {
                    self.context.reset_leader_channel();
                    no_quorum()
                })
            }
            false => no_quorum(),
        };
        if reply.status() != ClaimStatus::NoQuorum {
            return Ok(Response::new(reply));
        }
        Ok(Response::new(self.known_claim_reply(key, holder).await.unwrap_or(reply)))
    }

    async fn settle(
        &self,
        request: Request<SettleRequest>,
    ) -> Result<Response<SettleReply>, Status> {
        let request = request.into_inner();
        let may_forward = !request.is_forwarded;
        let call = async {
            match self.context.leader_channel() {
                Some(channel) if may_forward => {
                    let forwarded = SettleRequest { is_forwarded: true, ..request };
                    let reply = ClaimsClient::new(channel).settle(forwarded).await;
                    reply.map_or_else(|_| SettleReply::default(), Response::into_inner)
                }
                _ => self.propose_settle(request).await,
            }
        };
        let reply = tokio::time::timeout(CLAIM_TIMEOUT, call).await;
        Ok(Response::new(reply.unwrap_or_default()))
    }
}

fn claim_key(request: &ClaimRequest) -> ClaimKey {
    ClaimKey {
        key: request.key.clone(),
        service: request.service.clone(),
        route: request.route.clone(),
    }
}

fn no_quorum() -> ClaimReply {
    ClaimReply { status: ClaimStatus::NoQuorum.into(), attempt: 0, answer: None }
}

fn claim_reply(result: ClaimResult) -> ClaimReply {
    let (status, attempt, answer) = match result {
        ClaimResult::Granted { attempt } => (ClaimStatus::Granted, attempt, None),
        ClaimResult::Running => (ClaimStatus::Running, 0, None),
        ClaimResult::Finished(answer) => (ClaimStatus::Finished, 0, Some(to_rpc_answer(answer))),
        ClaimResult::Unknown => (ClaimStatus::Unknown, 0, None),
        ClaimResult::Conflict => (ClaimStatus::Conflict, 0, None),
    };
    ClaimReply { status: status.into(), attempt, answer }
}

fn to_rpc_answer(answer: RecordedAnswer) -> StoredAnswer {
    let headers = answer.headers.into_iter();
    StoredAnswer {
        status: u32::from(answer.status),
        headers: headers.map(|h| Header { name: h.name, value: h.value.into() }).collect(),
        body: answer.body.into(),
        is_truncated: answer.is_truncated,
    }
}

fn from_rpc_answer(answer: StoredAnswer) -> RecordedAnswer {
    let headers = answer.headers.into_iter();
    RecordedAnswer {
        status: u16::try_from(answer.status).unwrap_or(500),
        headers: headers
            .map(|h| RecordedHeader { name: h.name, value: h.value.to_vec() })
            .collect(),
        body: answer.body.to_vec(),
        is_truncated: answer.is_truncated,
    }
}

//! Claims on non-idempotent work.

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

use super::Shared;
use crate::claims::{Claim, ClaimKey, ClaimResult, KeptAnswer, KeptHeader, Settle};
use crate::replica::Input;
use crate::state::{Applied, Command};

/// Time after which a claim counts as refused for want of a quorum.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(300);
/// Age of the contact with a quorum from which a claim is refused at once.
const MAX_CONTACT_AGE_US: u64 = 1_000_000;
/// Longest wait for the own copy of a claim that the leader granted; a few times the way of an append.
const MAX_OWN_COPY_WAIT: Duration = Duration::from_millis(50);
const OWN_COPY_POLL: Duration = Duration::from_millis(2);

pub(super) struct ClaimService {
    shared: Shared,
}

impl ClaimService {
    pub(super) fn new(shared: Shared) -> Self {
        Self { shared }
    }

    /// Returns whether the replica has heard from a quorum lately.
    fn has_quorum(&self) -> bool {
        let contact_us = self.shared.replica.view().quorum_contact_us;
        self.shared.clock.now_us().saturating_sub(contact_us) < MAX_CONTACT_AGE_US
    }

    async fn claim_at_leader(&self, request: ClaimRequest) -> ClaimReply {
        match self.shared.leader_channel() {
            Some(channel) if !request.is_forwarded => {
                let (key, holder) = (claim_key(&request), request.holder);
                let forwarded = ClaimRequest { is_forwarded: true, ..request };
                let reply = ClaimsClient::new(channel).claim(forwarded).await;
                let reply = reply.map_or_else(|_| no_quorum(), Response::into_inner);
                if reply.status() == ClaimStatus::Granted {
                    self.wait_for_own_copy(key, holder).await;
                }
                reply
            }
            _ => self.claim_here(request).await,
        }
    }

    /// Waits until the own log holds a granted claim too.
    ///
    /// A quorum without this replica may have committed it. If the others are lost next, this replica is
    /// the one that is asked about the key.
    async fn wait_for_own_copy(&self, key: ClaimKey, holder: u64) {
        let other_holder = !holder;
        let copied = async {
            while self.look_up(key.clone(), other_holder).await.is_none() {
                tokio::time::sleep(OWN_COPY_POLL).await;
            }
        };
        if tokio::time::timeout(MAX_OWN_COPY_WAIT, copied).await.is_err() {
            let log = &self.shared.log;
            warn!(log, "claim-not-copied"; "key" => &key.key, "waited_ms" => MAX_OWN_COPY_WAIT.as_millis());
        }
    }

    /// Answers from the own ledger what is certain without a quorum: that work was claimed before.
    async fn look_up(&self, key: ClaimKey, holder: u64) -> Option<ClaimReply> {
        let (reply, answer) = oneshot::channel();
        self.shared.replica.input(Input::LookUp { key, holder, reply });
        answer.await.ok().flatten().map(claim_reply)
    }

    async fn claim_here(&self, request: ClaimRequest) -> ClaimReply {
        let command = Command::Claim(Claim {
            key: ClaimKey { key: request.key, service: request.service, route: request.route },
            body_digest: request.body_digest.to_vec(),
            holder: request.holder,
            deadline_ms: request.deadline_ms,
            window_ms: self.shared.settings.claim_window_ms,
            at_unix_ms: Clock::unix_us() / 1_000,
        });
        match self.shared.replica.propose(command).await {
            Ok(Applied::Claim(result)) => claim_reply(result),
            _ => no_quorum(),
        }
    }

    async fn settle_here(&self, request: SettleRequest) -> SettleReply {
        let command = Command::Settle(Settle {
            key: ClaimKey { key: request.key, service: request.service, route: request.route },
            holder: request.holder,
            answer: request.answer.map(kept_answer),
        });
        let applied = self.shared.replica.propose(command).await;
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
                let work = self.claim_at_leader(request);
                tokio::time::timeout(CLAIM_TIMEOUT, work).await.unwrap_or_else(|_| {
                    self.shared.reset_leader_channel();
                    no_quorum()
                })
            }
            false => no_quorum(),
        };
        if reply.status() != ClaimStatus::NoQuorum {
            return Ok(Response::new(reply));
        }
        Ok(Response::new(self.look_up(key, holder).await.unwrap_or(reply)))
    }

    async fn settle(
        &self,
        request: Request<SettleRequest>,
    ) -> Result<Response<SettleReply>, Status> {
        let request = request.into_inner();
        let may_forward = !request.is_forwarded;
        let work = async {
            match self.shared.leader_channel() {
                Some(channel) if may_forward => {
                    let forwarded = SettleRequest { is_forwarded: true, ..request };
                    let reply = ClaimsClient::new(channel).settle(forwarded).await;
                    reply.map_or_else(|_| SettleReply::default(), Response::into_inner)
                }
                _ => self.settle_here(request).await,
            }
        };
        let reply = tokio::time::timeout(CLAIM_TIMEOUT, work).await;
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
        ClaimResult::Finished(answer) => (ClaimStatus::Finished, 0, Some(stored_answer(answer))),
        ClaimResult::Unknown => (ClaimStatus::Unknown, 0, None),
        ClaimResult::Conflict => (ClaimStatus::Conflict, 0, None),
    };
    ClaimReply { status: status.into(), attempt, answer }
}

fn stored_answer(answer: KeptAnswer) -> StoredAnswer {
    let headers = answer.headers.into_iter();
    StoredAnswer {
        status: u32::from(answer.status),
        headers: headers.map(|h| Header { name: h.name, value: h.value.into() }).collect(),
        body: answer.body.into(),
        is_truncated: answer.is_truncated,
    }
}

fn kept_answer(answer: StoredAnswer) -> KeptAnswer {
    let headers = answer.headers.into_iter();
    KeptAnswer {
        status: u16::try_from(answer.status).unwrap_or(500),
        headers: headers.map(|h| KeptHeader { name: h.name, value: h.value.to_vec() }).collect(),
        body: answer.body.to_vec(),
        is_truncated: answer.is_truncated,
    }
}

//! Claims around the dispatch of non-idempotent calls.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, StatusCode};
use indexmap::IndexSet;
use model::Route;
use rpc::StoredAnswer;
use tokio::task::JoinSet;

use crate::body::{CallBody, MAX_HELD_BYTES};
use crate::call::CallHead;
use crate::claim_client::{ClaimClient, ClaimError, ClaimTarget, Claimed};
use crate::request_digest::RequestDigest;
use crate::stats::{Counter, Stats};
use crate::wire_headers::to_rpc_headers;

/// Largest answer body that is kept with a claim, in bytes.
const MAX_KEPT_ANSWER_BYTES: usize = MAX_HELD_BYTES;

/// Most claims that a node remembers.
const MAX_REMEMBERED: usize = 10_000;

/// What the ledger says of a call.
pub(crate) enum Claim {
    /// The call needs no claim.
    None,
    /// The call may be dispatched.
    Held(ClaimTarget),
    /// The call was answered before.
    Finished(StoredAnswer),
}

/// Claims calls and ends the claims in the background.
pub(crate) struct ClaimGuard {
    client: ClaimClient,
    stats: Arc<Stats>,
    settlements: Mutex<JoinSet<()>>,
    /// Work that was claimed here, oldest first, for when the ledger cannot tell.
    claimed: Mutex<IndexSet<ClaimedWork>>,
}

/// What a claim is about, whoever holds it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct ClaimedWork {
    key: String,
    service: String,
    route: String,
}

impl From<&ClaimTarget> for ClaimedWork {
    fn from(target: &ClaimTarget) -> Self {
        Self {
            key: target.key.clone(),
            service: target.service.clone(),
            route: target.route.clone(),
        }
    }
}

impl ClaimGuard {
    pub(crate) fn new(client: ClaimClient, stats: Arc<Stats>) -> Self {
        let claimed = Mutex::new(IndexSet::new());
        Self { client, stats, settlements: Mutex::new(JoinSet::new()), claimed }
    }

    /// Claims a call if its route asks for it.
    pub(crate) async fn claim(
        &self,
        head: &CallHead,
        route: &Route,
        body: &CallBody,
        remaining: Duration,
    ) -> Result<Claim, ClaimError> {
        if !route.is_claimed {
            return Ok(Claim::None);
        }
        let Some(key) = head.idempotency_key.clone() else { return Ok(Claim::None) };
        let target = ClaimTarget {
            key,
            service: head.service.to_string(),
            route: route.name.to_string(),
            holder: rand::random(),
        };
        match self.client.claim(&target, RequestDigest::new(head, body).to_bytes(), remaining).await
        {
            Ok(Claimed::Granted) => {
                self.stats.add(Counter::ClaimsGranted);
                self.remember(&target);
                Ok(Claim::Held(target))
            }
            Ok(Claimed::Finished(answer)) => Ok(Claim::Finished(answer)),
            Err(ClaimError::NoQuorum) => {
                self.stats.add(Counter::ClaimsNoQuorum);
                let was_claimed = self.claimed().contains(&ClaimedWork::from(&target));
                // The claim may be committed although its answer was lost.
                self.settle(target, None);
                Err(if was_claimed { ClaimError::Unknown } else { ClaimError::NoQuorum })
            }
            Err(error) => Err(error),
        }
    }

    /// Releases a claim in the background.
    pub(crate) fn release(&self, claim: Option<ClaimTarget>) {
        if let Some(target) = claim {
            self.claimed().shift_remove(&ClaimedWork::from(&target));
            self.settle(target, None);
        }
    }

    /// Releases a claim. Returns whether the release is committed.
    pub(crate) async fn release_now(&self, target: &ClaimTarget) -> bool {
        let is_committed = self.client.settle(target, None).await;
        if is_committed {
            self.claimed().shift_remove(&ClaimedWork::from(target));
        }
        is_committed
    }

    /// Keeps an answer with its claim, in the background.
    pub(crate) fn settle_answer(
        &self,
        claim: Option<ClaimTarget>,
        status: StatusCode,
        headers: &HeaderMap,
        body: Option<Bytes>,
    ) {
        let Some(target) = claim else { return };
        let is_kept = body.as_ref().is_some_and(|body| body.len() <= MAX_KEPT_ANSWER_BYTES);
        let answer = StoredAnswer {
            status: u32::from(status.as_u16()),
            headers: to_rpc_headers(headers),
            body: body.filter(|_| is_kept).unwrap_or_default(),
            is_truncated: !is_kept,
        };
        self.settle(target, Some(answer));
    }

    /// Waits for everything that runs in the background.
    pub(crate) async fn finish(&self) {
        let mut running = std::mem::take(&mut *self.settlements());
        while running.join_next().await.is_some() {}
    }

    fn settle(&self, target: ClaimTarget, answer: Option<StoredAnswer>) {
        let client = self.client.clone();
        let mut settlements = self.settlements();
        while settlements.try_join_next().is_some() {}
        settlements.spawn(client.settle_persistently(target, answer));
    }

    fn remember(&self, target: &ClaimTarget) {
        let mut claimed = self.claimed();
        claimed.insert(target.into());
        if claimed.len() > MAX_REMEMBERED {
            claimed.drain(..MAX_REMEMBERED / 10);
        }
    }

    fn claimed(&self) -> MutexGuard<'_, IndexSet<ClaimedWork>> {
        self.claimed.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn settlements(&self) -> MutexGuard<'_, JoinSet<()>> {
        self.settlements.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

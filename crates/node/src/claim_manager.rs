//! Claims non-idempotent calls before their dispatch and settles the claims afterwards.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, StatusCode};
use indexmap::IndexSet;
use model::Route;
use rpc::StoredAnswer;
use tokio::task::JoinSet;

use crate::body::{CallBody, MAX_BUFFERED_BYTES};
use crate::call::CallHead;
use crate::claim_client::{ClaimClient, ClaimError, ClaimResult, ClaimTarget};
use crate::request_digest::request_digest;
use crate::stats::{Counter, Stats};
use crate::wire_headers::to_rpc_headers;

/// Maximum size of an answer body that is stored with a claim, in bytes.
const MAX_STORED_ANSWER_BYTES: usize = MAX_BUFFERED_BYTES;

/// Maximum number of claims that a node records locally.
const MAX_LOCAL_CLAIMS: usize = 10_000;

/// Result of claiming a call.
pub(crate) enum ClaimOutcome {
    /// The call needs no claim.
    NotRequired,
    /// The call may be dispatched.
    Granted(ClaimTarget),
    /// The call was answered before, with this answer.
    Finished(StoredAnswer),
}

/// Claims calls and settles the claims in the background.
pub(crate) struct ClaimManager {
    client: ClaimClient,
    stats: Arc<Stats>,
    settlements: Mutex<JoinSet<()>>,
    /// Work for which this node was granted claims, oldest first. When no quorum replies to a
    /// claim, an entry shows that the work may have run.
    local_claims: Mutex<IndexSet<ClaimedWork>>,
}

/// Work that a claim covers, independent of the holder.
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

impl ClaimManager {
    pub(crate) fn new(client: ClaimClient, stats: Arc<Stats>) -> Self {
        let local_claims = Mutex::new(IndexSet::new());
        Self { client, stats, settlements: Mutex::new(JoinSet::new()), local_claims }
    }

    /// Claims a call if its route requires a claim.
    pub(crate) async fn claim(
        &self,
        head: &CallHead,
        route: &Route,
        body: &CallBody,
        remaining: Duration,
    ) -> Result<ClaimOutcome, ClaimError> {
        if !route.is_claimed {
            return Ok(ClaimOutcome::NotRequired);
        }
        let Some(key) = head.idempotency_key.clone() else { return Ok(ClaimOutcome::NotRequired) };
        let target = ClaimTarget {
            key,
            service: head.service.to_string(),
            route: route.name.to_string(),
            holder: rand::random(),
        };
        let digest = Bytes::copy_from_slice(request_digest(head, body).as_bytes());
        match self.client.claim(&target, digest, remaining).await {
            Ok(ClaimResult::Granted) => {
                self.stats.increment(Counter::ClaimsGranted);
                self.record_claim(&target);
                Ok(ClaimOutcome::Granted(target))
            }
            Ok(ClaimResult::Finished(answer)) => Ok(ClaimOutcome::Finished(answer)),
            Err(ClaimError::NoQuorum) => {
                self.stats.increment(Counter::ClaimsNoQuorum);
                let was_granted_here = self.local_claims().contains(&ClaimedWork::from(&target));
                // The claim may have been committed although the reply was lost.
                self.settle(target, None);
                Err(if was_granted_here { ClaimError::Unknown } else { ClaimError::NoQuorum })
            }
            Err(error) => Err(error),
        }
    }

    /// Releases a claim in the background.
    pub(crate) fn release(&self, claim: Option<ClaimTarget>) {
        if let Some(target) = claim {
            self.local_claims().shift_remove(&ClaimedWork::from(&target));
            self.settle(target, None);
        }
    }

    /// Releases a claim. Returns whether the release is committed.
    pub(crate) async fn try_release(&self, target: &ClaimTarget) -> bool {
        let is_committed = self.client.settle(target, None).await;
        if is_committed {
            self.local_claims().shift_remove(&ClaimedWork::from(target));
        }
        is_committed
    }

    /// Stores an answer with its claim, in the background.
    pub(crate) fn settle_answer(
        &self,
        claim: Option<ClaimTarget>,
        status: StatusCode,
        headers: &HeaderMap,
        body: Option<Bytes>,
    ) {
        let Some(target) = claim else { return };
        let is_stored = body.as_ref().is_some_and(|body| body.len() <= MAX_STORED_ANSWER_BYTES);
        let answer = StoredAnswer {
            status: u32::from(status.as_u16()),
            headers: to_rpc_headers(headers),
            body: body.filter(|_| is_stored).unwrap_or_default(),
            is_truncated: !is_stored,
        };
        self.settle(target, Some(answer));
    }

    /// Waits for the claims that are being settled in the background.
    pub(crate) async fn wait_for_settlements(&self) {
        let mut running = std::mem::take(&mut *self.settlements());
        while running.join_next().await.is_some() {}
    }

    fn settle(&self, target: ClaimTarget, answer: Option<StoredAnswer>) {
        let client = self.client.clone();
        let mut settlements = self.settlements();
        while settlements.try_join_next().is_some() {}
        settlements.spawn(client.settle_with_retries(target, answer));
    }

    /// Records a granted claim. Drops the oldest tenth of the records when the table is full.
    fn record_claim(&self, target: &ClaimTarget) {
        let mut local_claims = self.local_claims();
        local_claims.insert(target.into());
        if local_claims.len() > MAX_LOCAL_CLAIMS {
            local_claims.drain(..MAX_LOCAL_CLAIMS / 10);
        }
    }

    fn local_claims(&self) -> MutexGuard<'_, IndexSet<ClaimedWork>> {
        self.local_claims.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn settlements(&self) -> MutexGuard<'_, JoinSet<()>> {
        self.settlements.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

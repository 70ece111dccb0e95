//! Claims of non-idempotent work at the control replicas.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use quick_error::quick_error;
use rpc::claims_client::ClaimsClient;
use rpc::{ClaimReply, ClaimRequest, ClaimStatus, SettleRequest, StoredAnswer};
use tonic::transport::{Channel, Endpoint};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
const PING_INTERVAL: Duration = Duration::from_secs(1);
const PING_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest wait for one replica.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(350);
const RUNNING_POLL: Duration = Duration::from_millis(25);
const SETTLE_ATTEMPTS: u32 = 20;
const SETTLE_PAUSE: Duration = Duration::from_millis(500);

quick_error! {
    /// A claim that allows no dispatch.
    #[derive(Debug)]
    pub enum ClaimError {
        /// No quorum confirmed the claim.
        NoQuorum {
            display("no quorum confirmed the claim")
        }
        /// The key was claimed with another body.
        Conflict {
            display("the key was claimed with another body")
        }
        /// An earlier holder may have run the work.
        Unknown {
            display("an earlier request with this key may have run")
        }
    }
}

/// A claim that was answered.
pub(crate) enum Claimed {
    /// The work may be dispatched.
    Granted,
    /// The work was done before.
    Finished(StoredAnswer),
}

/// What is claimed and by whom.
#[derive(Debug, Clone)]
pub(crate) struct ClaimTarget {
    pub(crate) key: String,
    pub(crate) service: String,
    pub(crate) route: String,
    pub(crate) holder: u64,
}

/// Client of the claim ledger, own data centre's replica first.
#[derive(Clone)]
pub(crate) struct ClaimClient {
    channels: std::sync::Arc<Vec<Channel>>,
    preferred: std::sync::Arc<AtomicUsize>,
}

impl ClaimClient {
    /// Makes lazy connections; they open with the first claim.
    pub(crate) fn new(controls: &[SocketAddr]) -> Result<Self, tonic::transport::Error> {
        let channels: Result<Vec<Channel>, _> = controls.iter().map(channel).collect();
        Ok(Self { channels: channels?.into(), preferred: AtomicUsize::new(0).into() })
    }

    /// Claims, and waits while another holder is at work.
    ///
    /// # Errors
    ///
    /// Returns [`ClaimError::NoQuorum`] only if no holder is known to have been at work.
    pub(crate) async fn claim(
        &self,
        target: &ClaimTarget,
        body_digest: Bytes,
        remaining: Duration,
    ) -> Result<Claimed, ClaimError> {
        let started = Instant::now();
        let mut failure = ClaimError::NoQuorum;
        while let Some(left) = remaining.checked_sub(started.elapsed()) {
            let request = ClaimRequest {
                key: target.key.clone(),
                service: target.service.clone(),
                route: target.route.clone(),
                body_digest: body_digest.clone(),
                holder: target.holder,
                deadline_ms: left.as_millis() as u64,
                is_forwarded: false,
            };
            let asked = tokio::time::timeout(left, self.ask(&request)).await;
            let Ok(Some(reply)) = asked else { return Err(failure) };
            match (reply.status(), reply.answer) {
                (ClaimStatus::Granted, _) => return Ok(Claimed::Granted),
                (ClaimStatus::Finished, Some(answer)) => return Ok(Claimed::Finished(answer)),
                (ClaimStatus::Running, _) => {
                    failure = ClaimError::Unknown;
                    tokio::time::sleep(RUNNING_POLL).await;
                }
                (ClaimStatus::Conflict, _) => return Err(ClaimError::Conflict),
                (ClaimStatus::Unknown, _) => return Err(ClaimError::Unknown),
                _ => return Err(failure),
            }
        }
        Err(failure)
    }

    /// Ends a claim with an answer, or releases it. Returns whether that is committed.
    pub(crate) async fn settle(&self, target: &ClaimTarget, answer: Option<StoredAnswer>) -> bool {
        let request = SettleRequest {
            key: target.key.clone(),
            service: target.service.clone(),
            route: target.route.clone(),
            holder: target.holder,
            answer,
            is_forwarded: false,
        };
        for index in self.order() {
            let mut client = ClaimsClient::new(self.channels[index].clone());
            let call = tokio::time::timeout(CLAIM_TIMEOUT, client.settle(request.clone())).await;
            if let Ok(Ok(reply)) = call
                && reply.into_inner().is_committed
            {
                return true;
            }
        }
        false
    }

    /// Ends a claim in the background, trying again for a while.
    pub(crate) async fn settle_persistently(
        self,
        target: ClaimTarget,
        answer: Option<StoredAnswer>,
    ) {
        for _ in 0..SETTLE_ATTEMPTS {
            if self.settle(&target, answer.clone()).await {
                return;
            }
            tokio::time::sleep(SETTLE_PAUSE).await;
        }
    }

    /// Asks each replica in turn until one reaches a quorum.
    async fn ask(&self, request: &ClaimRequest) -> Option<ClaimReply> {
        for index in self.order() {
            let mut client = ClaimsClient::new(self.channels[index].clone());
            let call = tokio::time::timeout(CLAIM_TIMEOUT, client.claim(request.clone())).await;
            let Ok(Ok(reply)) = call else { continue };
            let reply = reply.into_inner();
            if reply.status() != ClaimStatus::NoQuorum {
                self.preferred.store(index, Ordering::Relaxed);
                return Some(reply);
            }
        }
        None
    }

    /// Returns the replicas, the one that last answered first.
    fn order(&self) -> impl Iterator<Item = usize> + use<> {
        let count = self.channels.len();
        let first = self.preferred.load(Ordering::Relaxed);
        (0..count).map(move |offset| (first + offset) % count)
    }
}

fn channel(address: &SocketAddr) -> Result<Channel, tonic::transport::Error> {
    let endpoint = Endpoint::from_shared(format!("http://{address}"))?
        .connect_timeout(CONNECT_TIMEOUT)
        .http2_keep_alive_interval(PING_INTERVAL)
        .keep_alive_timeout(PING_TIMEOUT)
        .tcp_nodelay(true);
    Ok(endpoint.connect_lazy())
}

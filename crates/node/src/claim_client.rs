//! Client for claims: the control replicas grant each piece of non-idempotent work to one holder.

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
/// Timeout of one request to one replica.
const RPC_TIMEOUT: Duration = Duration::from_millis(350);
/// Interval between claims while another holder runs the same work.
const RUNNING_POLL_INTERVAL: Duration = Duration::from_millis(25);
/// Maximum number of rounds over all replicas to settle one claim.
const SETTLE_ATTEMPTS: u32 = 20;
const SETTLE_RETRY_INTERVAL: Duration = Duration::from_millis(500);

quick_error! {
    /// Reason why a call may not be dispatched.
    #[derive(Debug)]
    pub enum ClaimError {
        /// No quorum confirmed the claim.
        NoQuorum {
            display("no quorum confirmed the claim")
        }
        /// The idempotency key was claimed by a different request.
        Conflict {
            display("the idempotency key was claimed by a different request")
        }
        /// An earlier holder of the claim may have run the work.
        Unknown {
            display("an earlier request with this key may have run")
        }
    }
}

/// Successful reply to a claim.
pub(crate) enum ClaimResult {
    /// The claim is granted; the work may be dispatched.
    Granted,
    /// The work has already run, with this answer.
    Finished(StoredAnswer),
}

/// Work to claim, and the random id of the holder that claims it.
#[derive(Debug, Clone)]
pub(crate) struct ClaimTarget {
    pub(crate) key: String,
    pub(crate) service: String,
    pub(crate) route: String,
    pub(crate) holder: u64,
}

/// Client for the claims that the control replicas store.
#[derive(Clone)]
pub(crate) struct ClaimClient {
    channels: std::sync::Arc<Vec<Channel>>,
    /// Index of the replica to try first: the one that last replied with a quorum.
    preferred: std::sync::Arc<AtomicUsize>,
}

impl ClaimClient {
    /// Creates a client. The connections open with the first claim.
    pub(crate) fn new(control_addresses: &[SocketAddr]) -> Result<Self, tonic::transport::Error> {
        let channels: Result<Vec<Channel>, _> = control_addresses.iter().map(channel).collect();
        Ok(Self { channels: channels?.into(), preferred: AtomicUsize::new(0).into() })
    }

    /// Claims the work, and waits while another holder runs it.
    ///
    /// # Errors
    ///
    /// Returns [`ClaimError::NoQuorum`] only if no reply reported that another holder runs the
    /// work.
    pub(crate) async fn claim(
        &self,
        target: &ClaimTarget,
        body_digest: Bytes,
        remaining: Duration,
    ) -> Result<ClaimResult, ClaimError> {
        let started = Instant::now();
        let mut failure = ClaimError::NoQuorum;
        while let Some(remaining_time) = remaining.checked_sub(started.elapsed()) {
            let request = ClaimRequest {
                key: target.key.clone(),
                service: target.service.clone(),
                route: target.route.clone(),
                body_digest: body_digest.clone(),
                holder: target.holder,
                deadline_ms: remaining_time.as_millis() as u64,
                is_forwarded: false,
            };
            let result = tokio::time::timeout(remaining_time, self.send_claim(&request)).await;
            let Ok(Some(reply)) = result else { return Err(failure) };
            match (reply.status(), reply.answer) {
                (ClaimStatus::Granted, _) => return Ok(ClaimResult::Granted),
                (ClaimStatus::Finished, Some(answer)) => return Ok(ClaimResult::Finished(answer)),
                (ClaimStatus::Running, _) => {
                    failure = ClaimError::Unknown;
                    tokio::time::sleep(RUNNING_POLL_INTERVAL).await;
                }
                (ClaimStatus::Conflict, _) => return Err(ClaimError::Conflict),
                (ClaimStatus::Unknown, _) => return Err(ClaimError::Unknown),
                _ => return Err(failure),
            }
        }
        Err(failure)
    }

    /// Settles a claim with an answer, or releases it if there is none.
    ///
    /// Returns whether this is committed.
    pub(crate) async fn settle(&self, target: &ClaimTarget, answer: Option<StoredAnswer>) -> bool {
        let request = SettleRequest {
            key: target.key.clone(),
            service: target.service.clone(),
            route: target.route.clone(),
            holder: target.holder,
            answer,
            is_forwarded: false,
        };
        for index in self.replica_order() {
            let mut client = ClaimsClient::new(self.channels[index].clone());
            let call = tokio::time::timeout(RPC_TIMEOUT, client.settle(request.clone())).await;
            if let Ok(Ok(reply)) = call
                && reply.into_inner().is_committed
            {
                return true;
            }
        }
        false
    }

    /// Settles a claim, with up to [`SETTLE_ATTEMPTS`] rounds.
    pub(crate) async fn settle_with_retries(
        self,
        target: ClaimTarget,
        answer: Option<StoredAnswer>,
    ) {
        for _ in 0..SETTLE_ATTEMPTS {
            if self.settle(&target, answer.clone()).await {
                return;
            }
            tokio::time::sleep(SETTLE_RETRY_INTERVAL).await;
        }
    }

    /// Sends the claim to each replica in turn until one reaches a quorum.
    async fn send_claim(&self, request: &ClaimRequest) -> Option<ClaimReply> {
        for index in self.replica_order() {
            let mut client = ClaimsClient::new(self.channels[index].clone());
            let call = tokio::time::timeout(RPC_TIMEOUT, client.claim(request.clone())).await;
            let Ok(Ok(reply)) = call else { continue };
            let reply = reply.into_inner();
            if reply.status() != ClaimStatus::NoQuorum {
                self.preferred.store(index, Ordering::Relaxed);
                return Some(reply);
            }
        }
        None
    }

    /// Returns the indices of the replicas, starting with the preferred one.
    fn replica_order(&self) -> impl Iterator<Item = usize> + use<> {
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

//! Exchange of evidence against suspect requests between the nodes of a service.
//!
//! News goes at once to a few nodes, which pass it on if the service has more. Besides, each node
//! regularly exchanges its records with one other, so that nodes that started later or were cut off
//! receive them too. Rate and size of the messages are bounded and do not depend on the number of
//! nodes.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderName, HeaderValue, Method, Request, Response, StatusCode, header};
use indexmap::IndexSet;
use model::VmName;
use policy::quarantine::{Digest, Evidence, EvidenceReport};
use rand::seq::SliceRandom;
use tokio::sync::Notify;
use tokio::task::JoinSet;

use crate::body::{self, AnswerBody, CallBody};
use crate::connection_pool::{ConnectionPool, ReusePolicy};
use crate::endpoints::EndpointTable;
use crate::http_listener::{self, InboundBody};
use crate::metrics::Metrics;
use crate::suspects::Suspects;
use crate::upstream::UpstreamState;

/// Marks a message with evidence and names its kind: [`NEWS`] or [`SYNC`].
pub(crate) const QUARANTINE: HeaderName = HeaderName::from_static("heatherweir-quarantine");
/// The sender wants no records in return.
const NEWS: HeaderValue = HeaderValue::from_static("news");
/// The sender wants the receiver's records in return.
const SYNC: HeaderValue = HeaderValue::from_static("sync");

/// Number of nodes that news is sent to.
const FANOUT: usize = 8;
/// Maximum number of reports in a message of news.
const MAX_NEWS_REPORTS: usize = 64;
/// Maximum number of reports in one direction of a regular exchange, about 1 KB.
const MAX_SYNC_REPORTS: usize = 32;
/// Maximum number of reports for a node that has none, such as one that has just started.
const MAX_FIRST_SYNC_REPORTS: usize = 256;
/// Maximum number of digests waiting to be sent. Regular exchanges carry what exceeds it.
const MAX_PENDING_NEWS: usize = 1_024;
/// Minimum time between two messages of news.
const NEWS_INTERVAL: Duration = Duration::from_millis(200);
/// Time between two regular exchanges.
const SYNC_INTERVAL: Duration = Duration::from_secs(2);
/// Time between two attempts at the first exchange.
const FIRST_SYNC_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of such attempts.
const FIRST_SYNC_ATTEMPTS: u32 = 50;
/// Maximum time for which the answer to a caller is delayed until the other nodes have the news.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(50);
/// Timeout of a message.
const SEND_TIMEOUT: Duration = Duration::from_millis(500);

/// Digests whose evidence has changed, and the time of the last message about such.
struct News {
    pending: IndexSet<Digest>,
    last_sent: Option<Instant>,
}

/// Components that the exchange uses.
pub(crate) struct QuarantinePeersDependencies {
    pub(crate) vm: VmName,
    pub(crate) pool: ConnectionPool,
    pub(crate) endpoints: Arc<EndpointTable>,
    pub(crate) upstream_state: Arc<UpstreamState>,
    pub(crate) suspects: Arc<Suspects>,
    pub(crate) metrics: Arc<Metrics>,
}

/// Sends and receives evidence.
pub(crate) struct QuarantinePeers {
    deps: QuarantinePeersDependencies,
    news: Mutex<News>,
    news_added: Notify,
}

impl QuarantinePeers {
    pub(crate) fn new(deps: QuarantinePeersDependencies) -> Self {
        let news = News { pending: IndexSet::new(), last_sent: None };
        Self { deps, news: Mutex::new(news), news_added: Notify::new() }
    }

    /// Sends news of a crash to other nodes and waits for up to [`ANNOUNCE_TIMEOUT`], so that they
    /// most likely have it when the caller retries. Crashes are rare enough to need no interval.
    pub(crate) async fn announce(self: &Arc<Self>, digests: Vec<Digest>) {
        let mut digests = digests;
        let later = digests.split_off(digests.len().min(MAX_NEWS_REPORTS));
        self.enqueue(later);
        let this = Arc::clone(self);
        let sent = tokio::spawn(async move { this.send_reports(&digests).await });
        // The messages continue in the background after the timeout.
        let _ = tokio::time::timeout(ANNOUNCE_TIMEOUT, sent).await;
    }

    /// Adds news that is sent in the background.
    pub(crate) fn enqueue(&self, digests: impl IntoIterator<Item = Digest>) {
        let mut news = self.news();
        for digest in digests {
            if news.pending.len() >= MAX_PENDING_NEWS {
                break;
            }
            news.pending.insert(digest);
        }
        drop(news);
        self.news_added.notify_one();
    }

    /// Sends news and exchanges records regularly. Never returns.
    pub(crate) async fn run(&self) {
        let mut next_sync = Instant::now() + FIRST_SYNC_INTERVAL;
        let mut first_attempts_left = FIRST_SYNC_ATTEMPTS;
        let mut offset = 0;
        loop {
            tokio::select! {
                () = self.wait_for_news() => self.send_news().await,
                () = tokio::time::sleep_until(next_sync.into()) => {
                    let has_synced = self.sync(offset).await;
                    offset = offset.wrapping_add(MAX_SYNC_REPORTS);
                    first_attempts_left = match has_synced {
                        true => 0,
                        false => first_attempts_left.saturating_sub(1),
                    };
                    let is_first = first_attempts_left > 0;
                    let interval = if is_first { FIRST_SYNC_INTERVAL } else { SYNC_INTERVAL };
                    next_sync = Instant::now() + interval;
                }
            }
        }
    }

    /// Handles a message of another node.
    pub(crate) async fn handle(
        &self,
        kind: &HeaderValue,
        body: InboundBody,
    ) -> Response<AnswerBody> {
        let message = tokio::time::timeout(SEND_TIMEOUT, read_message(body)).await;
        let Some(bytes) = message.ok().flatten() else {
            return http_listener::empty_response(StatusCode::BAD_REQUEST);
        };
        let mut response = http_listener::empty_response(StatusCode::OK);
        let changed = self.merge(&bytes);
        if self.peers().len() > FANOUT {
            self.enqueue(changed);
        }
        if *kind == SYNC {
            let offset = rand::random::<u32>() as usize;
            let max = if bytes.is_empty() { MAX_FIRST_SYNC_REPORTS } else { MAX_SYNC_REPORTS };
            let reports = self.deps.suspects.reports(offset, max);
            *response.body_mut() = AnswerBody::buffered(encode(&reports));
        }
        response
    }

    /// Waits until news may be sent.
    async fn wait_for_news(&self) {
        loop {
            match self.delay_of_news() {
                Some(Duration::ZERO) => return,
                Some(delay) => tokio::time::sleep(delay).await,
                None => self.news_added.notified().await,
            }
        }
    }

    /// Returns the time until the next message of news, or `None` if there is none to send.
    fn delay_of_news(&self) -> Option<Duration> {
        let news = self.news();
        if news.pending.is_empty() {
            return None;
        }
        let elapsed = news.last_sent.map_or(NEWS_INTERVAL, |last_sent| last_sent.elapsed());
        Some(NEWS_INTERVAL.saturating_sub(elapsed))
    }

    /// Sends pending news to some nodes, unless the last message was sent too recently.
    async fn send_news(&self) {
        if self.delay_of_news() != Some(Duration::ZERO) {
            return;
        }
        let digests: Vec<Digest> = {
            let mut news = self.news();
            news.last_sent = Some(Instant::now());
            let count = news.pending.len().min(MAX_NEWS_REPORTS);
            news.pending.drain(..count).collect()
        };
        self.send_reports(&digests).await;
    }

    /// Sends the evidence against some requests to [`FANOUT`] nodes.
    async fn send_reports(&self, digests: &[Digest]) {
        let reports = digests.iter().filter_map(|digest| self.deps.suspects.report(*digest));
        let reports: Vec<EvidenceReport> = reports.collect();
        if reports.is_empty() {
            return;
        }
        let mut peers = self.peers();
        let (chosen, _) = peers.partial_shuffle(&mut rand::rng(), FANOUT);
        let message = encode(&reports);
        let mut sends = JoinSet::new();
        for (_, address) in chosen.iter() {
            self.deps.metrics.quarantine_messages.inc();
            sends.spawn(send(self.deps.pool.clone(), *address, NEWS, message.clone()));
        }
        while sends.join_next().await.is_some() {}
    }

    /// Exchanges records with one other node. Returns whether one answered.
    async fn sync(&self, offset: usize) -> bool {
        let mut peers = self.peers();
        let (chosen, _) = peers.partial_shuffle(&mut rand::rng(), 1);
        let Some((_, address)) = chosen.first() else { return false };
        self.deps.metrics.quarantine_messages.inc();
        let message = encode(&self.deps.suspects.reports(offset, MAX_SYNC_REPORTS));
        match send(self.deps.pool.clone(), *address, SYNC, message).await {
            Some(bytes) => {
                let changed = self.merge(&bytes);
                if self.peers().len() > FANOUT {
                    self.enqueue(changed);
                }
                true
            }
            None => false,
        }
    }

    /// Applies the reports of another node. Returns the digests that changed.
    fn merge(&self, message: &[u8]) -> Vec<Digest> {
        let reports = decode(message);
        let changed = reports.into_iter().filter(|report| self.deps.suspects.merge(report));
        changed.map(|report| report.digest).collect()
    }

    fn peers(&self) -> Vec<(VmName, SocketAddr)> {
        let service = self.deps.upstream_state.service();
        service
            .map_or_else(Vec::new, |service| self.deps.endpoints.other_vms(&service, &self.deps.vm))
    }

    fn news(&self) -> MutexGuard<'_, News> {
        self.news.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Sends a message. Returns the body of the response, or `None` if the node did not accept it, for
/// example because it is of a version without such messages.
async fn send(
    pool: ConnectionPool,
    address: SocketAddr,
    kind: HeaderValue,
    message: Bytes,
) -> Option<Bytes> {
    let mut request = Request::new(CallBody::from_bytes(message));
    *request.method_mut() = Method::POST;
    request.headers_mut().insert(header::HOST, HeaderValue::from_static("node"));
    request.headers_mut().insert(QUARANTINE, kind);
    let exchange = async {
        let sent = pool.send(address, request, ReusePolicy::AnyIdle, None).await;
        let (response, connection) = sent.ok()?;
        let status = response.status();
        let mut incoming = response.into_body();
        let (bytes, is_complete) = body::read_buffered(&mut incoming).await.ok()?;
        if is_complete {
            connection.return_to_pool();
        }
        (status == StatusCode::OK && is_complete).then_some(bytes)
    };
    tokio::time::timeout(SEND_TIMEOUT, exchange).await.ok().flatten()
}

/// Reads a message. Returns `None` if it is incomplete or too long.
async fn read_message(body: InboundBody) -> Option<Bytes> {
    let Some(mut body) = body else { return Some(Bytes::new()) };
    let (bytes, is_complete) = body::read_buffered(&mut body).await.ok()?;
    is_complete.then_some(bytes)
}

/// Encodes reports as one line each: digest, round, crashes and age in milliseconds.
fn encode(reports: &[EvidenceReport]) -> Bytes {
    let line = |report: &EvidenceReport| {
        let Evidence { round, crashes } = report.evidence;
        let age_ms = report.age_us / policy::US_PER_MS;
        format!("{:016x} {round} {crashes} {age_ms}\n", report.digest)
    };
    reports.iter().map(line).collect::<String>().into()
}

/// Decodes reports. Ignores lines of another form, which a later version may send.
fn decode(message: &[u8]) -> Vec<EvidenceReport> {
    let text = String::from_utf8_lossy(message);
    text.lines().take(MAX_FIRST_SYNC_REPORTS).filter_map(decode_line).collect()
}

fn decode_line(line: &str) -> Option<EvidenceReport> {
    let mut fields = line.split(' ');
    let digest = Digest::from_str_radix(fields.next()?, 16).ok()?;
    let evidence =
        Evidence { round: fields.next()?.parse().ok()?, crashes: fields.next()?.parse().ok()? };
    let age_ms: u64 = fields.next()?.parse().ok()?;
    Some(EvidenceReport { digest, evidence, age_us: age_ms.saturating_mul(policy::US_PER_MS) })
}

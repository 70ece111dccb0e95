//! Connection of a node to the control replicas. A node is attached to one replica at a time: it
//! sends reports and receives profiles, the configuration and endpoints.
//!
//! A node whose replica is silent or stale stays attached and probes the other replicas until one
//! is current, then moves there. While no replica has a quorum it thus keeps reporting its upstream
//! and receiving the endpoints of its side.

mod attach_backoff;
mod replica_health;
mod replica_search;
mod stream;

use std::net::SocketAddr;
use std::time::Duration;

use rpc::{ControlUpdate, NodeReport};
use slog::{Logger, info, warn};
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;
use tokio_stream::StreamExt;
use tokio_stream::wrappers::ReceiverStream;
use tonic::{Status, Streaming};

use crate::attach_backoff::AttachBackoff;
use crate::replica_health::ReplicaHealth;
use crate::replica_search::ReplicaSearch;
use crate::stream::open_stream;

pub use crate::replica_health::Suspicion;
pub use crate::stream::endpoint;

/// Interval between periodic reports.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Time without a response to an attach request after which other replicas are probed.
const ATTACH_SEARCH_DELAY: Duration = Duration::from_millis(200);
/// Minimum time between two reports that a demand triggers.
const MIN_DEMAND_REPORT_INTERVAL: Duration = Duration::from_millis(50);
const REPORT_QUEUE_CAPACITY: usize = 16;

/// Event of the link that a node may count.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkEvent {
    /// The node looks for another replica.
    Suspected(Suspicion),
    /// The replica is current again.
    Cleared,
    /// The node moves to a replica that is current.
    Moved,
    /// The stream failed or timed out.
    Lost,
}

/// Interface between the link and its node.
pub trait AttachedNode {
    /// Returns the addresses of the replicas, in the order to try them. Must not be empty.
    fn control_addresses(&self) -> Vec<SocketAddr>;
    /// Returns a report of the current state of the node.
    fn report(&mut self) -> NodeReport;
    /// Applies an update. Returns whether a version in the report changed, so that the link sends a
    /// report immediately.
    fn apply_update(&mut self, update: ControlUpdate) -> bool;
    /// Records an event of the link.
    fn record_event(&mut self, _event: LinkEvent) {}
}

/// Connection of a node to the control replicas.
pub struct ControlLink<N> {
    log: Logger,
    node: N,
    report_trigger: watch::Receiver<u64>,
    demand_trigger: Option<watch::Receiver<u64>>,
    stop: watch::Receiver<bool>,
    backoff: AttachBackoff,
}

/// How a stream ended.
enum StreamEnd {
    /// The stream could not be opened, failed or timed out.
    Lost,
    /// The replica at this address is current and the attached one is suspected.
    Moved(SocketAddr),
}

/// Open stream to a replica.
struct OpenStream {
    address: SocketAddr,
    reports: mpsc::Sender<NodeReport>,
    /// Report that was sent last.
    last_report: NodeReport,
    updates: Streaming<ControlUpdate>,
}

impl<N: AttachedNode> ControlLink<N> {
    /// Creates a link. A change of `report_trigger` sends a report immediately, and `stop` ends the
    /// link when it becomes true.
    pub fn new(
        log: Logger,
        node: N,
        report_trigger: watch::Receiver<u64>,
        stop: watch::Receiver<bool>,
    ) -> Self {
        let backoff = AttachBackoff::default();
        Self { log, node, report_trigger, demand_trigger: None, stop, backoff }
    }

    /// Adds a trigger whose changes send a report at once, but at most one each 50 ms.
    pub fn with_demand_trigger(self, demand_trigger: watch::Receiver<u64>) -> Self {
        Self { demand_trigger: Some(demand_trigger), ..self }
    }

    /// Keeps the node attached to one replica until the link is stopped. Moves on to the next
    /// replica when the stream fails, and to a current one when the replica is silent or stale.
    pub async fn run(self) {
        let mut stop = self.stop.clone();
        tokio::select! {
            () = self.reconnect_loop() => {}
            // A replica that does not respond must not delay the stop.
            _ = stop.wait_for(|is_stopping| *is_stopping) => {}
        }
    }

    /// Attaches to one replica after another, in the order of the addresses.
    async fn reconnect_loop(mut self) {
        let mut index = 0;
        loop {
            let addresses = self.node.control_addresses();
            let mut address = addresses[index % addresses.len()];
            while let StreamEnd::Moved(current) = self.attach(address).await {
                self.node.record_event(LinkEvent::Moved);
                info!(self.log, "control-moved"; "from" => %address, "control" => %current);
                address = current;
            }
            self.node.record_event(LinkEvent::Lost);
            let addresses = self.node.control_addresses();
            let position = addresses.iter().position(|known| *known == address);
            index = position.unwrap_or(index % addresses.len()) + 1;
            tokio::time::sleep(self.backoff.delay(addresses.len())).await;
        }
    }

    /// Attaches to a replica and exchanges reports and updates until the stream ends.
    async fn attach(&mut self, address: SocketAddr) -> StreamEnd {
        let (reports, receiver) = mpsc::channel(REPORT_QUEUE_CAPACITY);
        let report = self.node.report();
        // The queue is empty, so the first report fits.
        let _ = reports.try_send(report.clone());
        let replicas = self.node.control_addresses();
        let mut search = self.start_search(address, Instant::now() + ATTACH_SEARCH_DELAY);
        let timeout = self.backoff.timeout(replicas.len());
        let opened = tokio::select! {
            opened = open_in_time(address, receiver, timeout) => opened,
            current = search.find(&replicas, address, &report) => {
                warn!(self.log, "control-attach-slow"; "control" => %address);
                return StreamEnd::Moved(current);
            }
        };
        match opened {
            Ok(updates) => {
                info!(self.log, "control-attached"; "control" => %address);
                self.backoff.reset();
                self.exchange(OpenStream { address, reports, last_report: report, updates }).await
            }
            Err(status) => {
                warn!(self.log, "control-attach-failed"; "control" => %address,
                    "error" => status.message().to_owned());
                self.backoff.record_failure();
                StreamEnd::Lost
            }
        }
    }

    /// Exchanges reports and updates on an open stream until it ends.
    async fn exchange(&mut self, mut stream: OpenStream) -> StreamEnd {
        let address = stream.address;
        let mut interval = tokio::time::interval(REPORT_INTERVAL);
        let mut health = ReplicaHealth::new(Instant::now());
        let mut search: Option<ReplicaSearch> = None;
        let mut next_demand_report = Instant::now();
        loop {
            let replicas = self.node.control_addresses();
            let is_searching = search.is_some();
            let found = find_if_searching(&mut search, &replicas, address, &stream.last_report);
            tokio::select! {
                update = tokio::time::timeout_at(health.lost_at(), stream.updates.next()) => {
                    let Ok(Some(Ok(update))) = update else {
                        warn!(self.log, "control-lost"; "control" => %address);
                        return StreamEnd::Lost;
                    };
                    let state = ControlUpdate {
                        content_age_ms: update.content_age_ms,
                        replica_configuration_version: update.replica_configuration_version,
                        ..ControlUpdate::default()
                    };
                    if self.node.apply_update(update) && !self.send_report(&mut stream).await {
                        return StreamEnd::Lost;
                    }
                    let own_version = stream.last_report.configuration_version;
                    health.record_update(Instant::now(), &state, own_version);
                    self.update_search(&mut search, &health, address, &state);
                }
                () = tokio::time::sleep_until(health.suspect_at()), if !is_searching => {
                    self.update_search(&mut search, &health, address, &ControlUpdate::default());
                }
                current = found => return StreamEnd::Moved(current),
                _ = interval.tick() => {
                    if !self.send_report(&mut stream).await {
                        return StreamEnd::Lost;
                    }
                }
                () = demand_triggered(&mut self.demand_trigger, next_demand_report) => {
                    next_demand_report = Instant::now() + MIN_DEMAND_REPORT_INTERVAL;
                    if !self.send_report(&mut stream).await {
                        return StreamEnd::Lost;
                    }
                }
                changed = self.report_trigger.changed() => {
                    if changed.is_err() || !self.send_report(&mut stream).await {
                        return StreamEnd::Lost;
                    }
                }
            }
        }
    }

    /// Starts the search for another replica when the attached one becomes suspect, and ends it
    /// when the replica is current again.
    fn update_search(
        &mut self,
        search: &mut Option<ReplicaSearch>,
        health: &ReplicaHealth,
        address: SocketAddr,
        state: &ControlUpdate,
    ) {
        let now = Instant::now();
        match (health.suspicion(now), search.is_some()) {
            (Some(suspicion), false) => {
                warn!(self.log, "control-suspected"; "control" => %address,
                    "reason" => ?suspicion, "content_age_ms" => state.content_age_ms,
                    "replica_version" => state.replica_configuration_version);
                self.node.record_event(LinkEvent::Suspected(suspicion));
                *search = Some(self.start_search(address, now));
            }
            (None, true) => {
                info!(self.log, "control-cleared"; "control" => %address,
                    "content_age_ms" => state.content_age_ms);
                self.node.record_event(LinkEvent::Cleared);
                *search = None;
            }
            (Some(_), true) | (None, false) => {}
        }
    }

    /// Returns a search that begins with the replica that follows `address`.
    fn start_search(&self, address: SocketAddr, start: Instant) -> ReplicaSearch {
        let addresses = self.node.control_addresses();
        let position = addresses.iter().position(|known| *known == address);
        let search = ReplicaSearch::new(position.unwrap_or_default(), start);
        match self.backoff.has_tried_all(addresses.len()) {
            true => search.with_backoff(),
            false => search,
        }
    }

    /// Sends a report. Returns whether the stream is still open.
    async fn send_report(&mut self, stream: &mut OpenStream) -> bool {
        stream.last_report = self.node.report();
        stream.reports.send(stream.last_report.clone()).await.is_ok()
    }
}

/// Waits until `not_before`, then for a change of the trigger. Waits forever without a trigger. A
/// change is not lost if the call is cancelled.
async fn demand_triggered(trigger: &mut Option<watch::Receiver<u64>>, not_before: Instant) {
    let Some(trigger) = trigger else { return std::future::pending().await };
    tokio::time::sleep_until(not_before).await;
    if trigger.changed().await.is_err() {
        std::future::pending().await
    }
}

/// Opens a stream, with a timeout.
async fn open_in_time(
    address: SocketAddr,
    reports: mpsc::Receiver<NodeReport>,
    timeout: Duration,
) -> Result<Streaming<ControlUpdate>, Status> {
    let opened = open_stream(address, ReceiverStream::new(reports));
    tokio::time::timeout(timeout, opened)
        .await
        .unwrap_or_else(|_| Err(Status::deadline_exceeded("the replica did not respond in time")))
}

/// Waits until a search has found a replica. Waits forever without a search.
async fn find_if_searching(
    search: &mut Option<ReplicaSearch>,
    replicas: &[SocketAddr],
    attached: SocketAddr,
    report: &NodeReport,
) -> SocketAddr {
    match search {
        Some(search) => search.find(replicas, attached, report).await,
        None => std::future::pending().await,
    }
}

//! Connection of a node to the control replicas. A node is attached to one replica at a time: it
//! sends reports and receives profiles, the configuration and endpoints.

use std::net::SocketAddr;
use std::time::Duration;

use rpc::directory_client::DirectoryClient;
use rpc::{ControlUpdate, NodeReport};
use slog::{Logger, info, warn};
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;
use tokio_stream::StreamExt;
use tokio_stream::wrappers::ReceiverStream;
use tonic::transport::Endpoint;
use tonic::{Status, Streaming};

/// Interval between periodic reports.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Delay before the next replica is tried.
const RECONNECT_DELAY: Duration = Duration::from_millis(100);
/// Timeout for a connection to a replica. A VM that is down does not refuse connections, so an
/// attempt to reach it lasts the full timeout; the value allows many round trips inside a region.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Timeout for the response to an attach request, the connection included.
const ATTACH_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval between HTTP/2 keep-alive pings.
const PING_INTERVAL: Duration = Duration::from_secs(1);
/// Time without a ping acknowledgement after which the connection is closed.
const PING_TIMEOUT: Duration = Duration::from_secs(1);
const REPORT_QUEUE_CAPACITY: usize = 16;
/// HTTP/2 receive window for updates, in bytes. Updates beyond it wait in the replica, where a
/// newer configuration replaces an older one. The window is large enough for the bandwidth and
/// round-trip time of any link inside a region.
const RECEIVE_WINDOW_BYTES: u32 = 64 * 1024;
/// Time without an update after which a stream counts as lost; a replica sends updates twice a
/// second.
const UPDATE_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Interface between the link and its node.
pub trait AttachedNode {
    /// Returns the addresses of the replicas, in the order to try them. Must not be empty.
    fn control_addresses(&self) -> Vec<SocketAddr>;
    /// Returns the index of the first replica to try, modulo the number of replicas.
    fn first_control_index(&self) -> usize {
        0
    }
    /// Returns a report of the current state of the node.
    fn report(&mut self) -> NodeReport;
    /// Applies an update. Returns whether a version in the report changed, so that the link sends a
    /// report immediately.
    fn apply_update(&mut self, update: ControlUpdate) -> bool;
}

/// Connection of a node to the control replicas.
pub struct ControlLink<N> {
    log: Logger,
    node: N,
    report_trigger: watch::Receiver<u64>,
    stop: watch::Receiver<bool>,
}

/// Reason why a stream ended.
enum StreamEnd {
    /// The stream could not be opened, failed or timed out.
    Lost,
    /// The replica was isolated from its quorum in every update.
    Isolated,
    /// The replica was in contact with its quorum and lost it.
    LostQuorum,
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
        Self { log, node, report_trigger, stop }
    }

    /// Keeps the node attached to one replica until the link is stopped. Moves on to the next
    /// replica when the stream fails or the replica is isolated from its quorum.
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
        // Nodes start at different replicas, which spreads the load and limits the number of nodes
        // that an isolated replica affects.
        let mut index = self.node.first_control_index();
        // Number of consecutive streams that ended because their replica was isolated.
        let mut consecutive_isolated = 0;
        loop {
            let control_addresses = self.node.control_addresses();
            let address = control_addresses[index % control_addresses.len()];
            // If all replicas are isolated, the node stays attached to an isolated one.
            let accepts_isolation = consecutive_isolated >= control_addresses.len();
            match self.run_stream(address, accepts_isolation).await {
                StreamEnd::Isolated => consecutive_isolated += 1,
                StreamEnd::LostQuorum => consecutive_isolated = 1,
                StreamEnd::Lost => consecutive_isolated = 0,
            }
            index += 1;
            tokio::time::sleep(RECONNECT_DELAY).await;
        }
    }

    /// Attaches to a replica and exchanges reports and updates until the stream ends.
    async fn run_stream(&mut self, address: SocketAddr, accepts_isolation: bool) -> StreamEnd {
        let mut accepts_isolation = accepts_isolation;
        let (reports, receiver) = mpsc::channel(REPORT_QUEUE_CAPACITY);
        // The queue is empty, so the first report fits.
        let _ = reports.try_send(self.node.report());
        let opened = tokio::time::timeout(ATTACH_TIMEOUT, open_stream(address, receiver)).await;
        let mut updates = match opened {
            Ok(Ok(updates)) => updates,
            Ok(Err(status)) => {
                warn!(self.log, "control-attach-failed"; "control" => %address,
                    "error" => status.message().to_owned());
                return StreamEnd::Lost;
            }
            Err(_) => {
                warn!(self.log, "control-attach-timeout"; "control" => %address);
                return StreamEnd::Lost;
            }
        };
        info!(self.log, "control-attached"; "control" => %address);
        let mut interval = tokio::time::interval(REPORT_INTERVAL);
        let mut update_deadline = Instant::now() + UPDATE_TIMEOUT;
        let mut had_quorum = false;
        loop {
            tokio::select! {
                update = tokio::time::timeout_at(update_deadline, updates.next()) => {
                    let Ok(Some(Ok(update))) = update else {
                        warn!(self.log, "control-lost"; "control" => %address);
                        return StreamEnd::Lost;
                    };
                    update_deadline = Instant::now() + UPDATE_TIMEOUT;
                    let is_isolated = update.content_age_ms > rpc::MAX_CONTENT_AGE_MS;
                    if self.node.apply_update(update)
                        && reports.send(self.node.report()).await.is_err()
                    {
                        return StreamEnd::Lost;
                    }
                    // Once this replica has had a quorum, others may have one too. Therefore a
                    // later isolation ends the stream.
                    accepts_isolation &= is_isolated;
                    had_quorum |= !is_isolated;
                    if is_isolated && !accepts_isolation {
                        warn!(self.log, "control-isolated"; "control" => %address,
                            "had_quorum" => had_quorum);
                        return match had_quorum {
                            true => StreamEnd::LostQuorum,
                            false => StreamEnd::Isolated,
                        };
                    }
                }
                _ = interval.tick() => {
                    if reports.send(self.node.report()).await.is_err() {
                        return StreamEnd::Lost;
                    }
                }
                changed = self.report_trigger.changed() => {
                    if changed.is_err() || reports.send(self.node.report()).await.is_err() {
                        return StreamEnd::Lost;
                    }
                }
            }
        }
    }
}

/// Returns the transport settings for a connection to a replica.
///
/// # Errors
///
/// Returns an error if the address does not form a valid URI.
pub fn endpoint(address: SocketAddr) -> Result<Endpoint, tonic::transport::Error> {
    let endpoint = Endpoint::from_shared(format!("http://{address}"))?
        .connect_timeout(CONNECT_TIMEOUT)
        .http2_keep_alive_interval(PING_INTERVAL)
        .keep_alive_timeout(PING_TIMEOUT)
        .initial_stream_window_size(RECEIVE_WINDOW_BYTES)
        .initial_connection_window_size(RECEIVE_WINDOW_BYTES)
        .tcp_nodelay(true);
    Ok(endpoint)
}

/// Opens an attach stream on a new connection.
async fn open_stream(
    address: SocketAddr,
    reports: mpsc::Receiver<NodeReport>,
) -> Result<Streaming<ControlUpdate>, Status> {
    let endpoint = endpoint(address).map_err(|error| Status::from_error(error.into()))?;
    let channel = endpoint.connect_lazy();
    let mut client = DirectoryClient::new(channel).max_decoding_message_size(usize::MAX);
    Ok(client.attach(ReceiverStream::new(reports)).await?.into_inner())
}

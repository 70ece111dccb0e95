//! Keeps a node in touch with one control replica at a time: reports go up, profiles, the
//! configuration and endpoints come down.

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

const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Pause before the next replica is tried.
const RECONNECT_PAUSE: Duration = Duration::from_millis(100);
/// Longest wait for a connection: many round trips inside a region. A VM without power does not answer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Longest wait for the first answer.
const ATTACH_TIMEOUT: Duration = Duration::from_secs(1);
const PING_INTERVAL: Duration = Duration::from_secs(1);
const PING_TIMEOUT: Duration = Duration::from_secs(1);
const QUEUE_REPORTS: usize = 16;
/// Bytes of updates on their way to a node. What does not fit waits in the replica, where a newer
/// configuration replaces it. Enough for any link inside a region at its round-trip time.
const WINDOW_BYTES: u32 = 64 * 1024;
/// Silence after which a stream counts as lost; control sends twice a second.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Age of a replica's contact with its quorum from which another one is preferred: above an election
/// timeout (600 ms), and low enough that a node behind a cut-off replica learns of a change elsewhere
/// within the 2 s in which changes come into force.
const MAX_CONTACT_AGE_MS: u64 = 900;

/// What the link needs of a node.
pub trait AttachedNode {
    /// Returns the replicas to try, in order of preference. At least one.
    fn controls(&self) -> Vec<SocketAddr>;
    /// Returns the position of the replica to begin with, taken modulo their number.
    fn first_control(&self) -> usize {
        0
    }
    /// Returns the node's next report.
    fn report(&mut self) -> NodeReport;
    /// Applies an update. Returns whether the node's versions changed, so that it reports at once.
    fn take(&mut self, update: ControlUpdate) -> bool;
}

/// Link of a node to the control replicas.
pub struct ControlLink<N> {
    log: Logger,
    node: N,
    announced: watch::Receiver<u64>,
    stop: watch::Receiver<bool>,
}

/// Why a stream ended.
enum StreamEnd {
    Lost,
    /// The replica had no quorum from the beginning.
    Isolated,
    /// The replica had a quorum and lost it.
    LostQuorum,
}

impl<N: AttachedNode> ControlLink<N> {
    /// Makes a link. A change of `announced` sends a report at once; `stop` ends the link.
    pub fn new(
        log: Logger,
        node: N,
        announced: watch::Receiver<u64>,
        stop: watch::Receiver<bool>,
    ) -> Self {
        Self { log, node, announced, stop }
    }

    /// Keeps a stream to one replica, the next one when it fails or is cut off from its quorum, until it
    /// is told to stop.
    pub async fn run(self) {
        let mut stop = self.stop.clone();
        tokio::select! {
            () = self.keep_attached() => {}
            // A replica that does not answer must not hold the stop up.
            _ = stop.wait_for(|is_stopping| *is_stopping) => {}
        }
    }

    async fn keep_attached(mut self) {
        // Nodes begin at different replicas, so that they share the work and a cut-off replica has few.
        let mut index = self.node.first_control();
        // Replicas found without a quorum since one last had it.
        let mut isolated_in_row = 0;
        loop {
            let controls = self.node.controls();
            let address = controls[index % controls.len()];
            // When every replica is cut off, the node stays with the one it has.
            let accepts_isolation = isolated_in_row >= controls.len();
            match self.attach(address, accepts_isolation).await {
                StreamEnd::Isolated => isolated_in_row += 1,
                StreamEnd::LostQuorum => isolated_in_row = 1,
                StreamEnd::Lost => isolated_in_row = 0,
            }
            index += 1;
            tokio::time::sleep(RECONNECT_PAUSE).await;
        }
    }

    async fn attach(&mut self, address: SocketAddr, accepts_isolation: bool) -> StreamEnd {
        let mut accepts_isolation = accepts_isolation;
        let (reports, receiver) = mpsc::channel(QUEUE_REPORTS);
        // The queue is empty, so the first report fits.
        let _ = reports.try_send(self.node.report());
        let opened = tokio::time::timeout(ATTACH_TIMEOUT, open(address, receiver)).await;
        let mut updates = match opened {
            Ok(Ok(updates)) => updates,
            Ok(Err(status)) => {
                warn!(self.log, "control-refused"; "control" => %address,
                    "error" => status.message().to_owned());
                return StreamEnd::Lost;
            }
            Err(_) => {
                warn!(self.log, "control-silent"; "control" => %address);
                return StreamEnd::Lost;
            }
        };
        info!(self.log, "control-attached"; "control" => %address);
        let mut interval = tokio::time::interval(REPORT_INTERVAL);
        let mut silent_at = Instant::now() + SILENCE_TIMEOUT;
        let mut had_quorum = false;
        loop {
            tokio::select! {
                update = tokio::time::timeout_at(silent_at, updates.next()) => {
                    let Ok(Some(Ok(update))) = update else {
                        warn!(self.log, "control-lost"; "control" => %address);
                        return StreamEnd::Lost;
                    };
                    silent_at = Instant::now() + SILENCE_TIMEOUT;
                    let is_isolated = update.contact_age_ms > MAX_CONTACT_AGE_MS;
                    if self.node.take(update) && reports.send(self.node.report()).await.is_err() {
                        return StreamEnd::Lost;
                    }
                    // A replica that had a quorum since is no longer one among many without.
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
                changed = self.announced.changed() => {
                    if changed.is_err() || reports.send(self.node.report()).await.is_err() {
                        return StreamEnd::Lost;
                    }
                }
            }
        }
    }
}

/// Returns how a node connects to a replica.
///
/// # Errors
///
/// Returns an error if the address makes no URI.
pub fn endpoint(address: SocketAddr) -> Result<Endpoint, tonic::transport::Error> {
    let endpoint = Endpoint::from_shared(format!("http://{address}"))?
        .connect_timeout(CONNECT_TIMEOUT)
        .http2_keep_alive_interval(PING_INTERVAL)
        .keep_alive_timeout(PING_TIMEOUT)
        .initial_stream_window_size(WINDOW_BYTES)
        .initial_connection_window_size(WINDOW_BYTES)
        .tcp_nodelay(true);
    Ok(endpoint)
}

async fn open(
    address: SocketAddr,
    reports: mpsc::Receiver<NodeReport>,
) -> Result<Streaming<ControlUpdate>, Status> {
    let endpoint = endpoint(address).map_err(|error| Status::from_error(error.into()))?;
    let channel = endpoint.connect_lazy();
    let mut client = DirectoryClient::new(channel).max_decoding_message_size(usize::MAX);
    Ok(client.attach(ReceiverStream::new(reports)).await?.into_inner())
}

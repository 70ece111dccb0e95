//! Transport of the streams to control replicas.

use std::net::SocketAddr;
use std::time::Duration;

use rpc::directory_client::DirectoryClient;
use rpc::{ControlUpdate, NodeReport};
use tokio_stream::Stream;
use tonic::transport::Endpoint;
use tonic::{Status, Streaming};

/// Timeout for a connection to a replica. A VM that is down does not refuse connections, so an
/// attempt to reach it lasts the full timeout; the value allows many round trips inside a region.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Interval between HTTP/2 keep-alive pings.
const PING_INTERVAL: Duration = Duration::from_secs(1);
/// Time without a ping acknowledgement after which the connection is closed.
const PING_TIMEOUT: Duration = Duration::from_secs(1);
/// HTTP/2 receive window for updates, in bytes. Updates beyond it wait in the replica, where a
/// newer configuration replaces an older one. The window is large enough for the bandwidth and
/// round-trip time of any link inside a region.
const RECEIVE_WINDOW_BYTES: u32 = 64 * 1024;

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
pub(crate) async fn open_stream(
    address: SocketAddr,
    reports: impl Stream<Item = NodeReport> + Send + 'static,
) -> Result<Streaming<ControlUpdate>, Status> {
    let endpoint = endpoint(address).map_err(|error| Status::from_error(error.into()))?;
    let channel = endpoint.connect_lazy();
    let mut client = DirectoryClient::new(channel).max_decoding_message_size(usize::MAX);
    Ok(client.attach(reports).await?.into_inner())
}

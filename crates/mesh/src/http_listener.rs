//! HTTP/1.1 listeners with graceful shutdown.

#[cfg(test)]
mod tests;

use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper_util::rt::TokioTimer;
use slog::{Logger, warn};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::body::AnswerBody;
use crate::connection;
use crate::tcp_timeouts;

/// Delay after a failed accept, for example when the process is out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Time after a stop in which requests that were sent before it are still read, from new connections
/// too. Closing a socket with unread bytes would reset the connection without an answer.
pub(crate) const STOP_READ_PERIOD: Duration = Duration::from_millis(100);
/// Minimum read buffer size that `hyper` accepts, in bytes.
pub(crate) const MIN_BUFFER_BYTES: usize = 8 * 1024;
/// Maximum number of headers of a request.
const MAX_HEADERS: usize = 100;

/// Body of a request; `None` if the request is known to have none.
pub(crate) type InboundBody = Option<Incoming>;

/// Handles the requests of a listener.
pub(crate) trait Handler: Send + Sync + 'static {
    /// Handles a request. Dropping the future cancels the request.
    fn handle(
        &self,
        request: Request<InboundBody>,
        remote: SocketAddr,
    ) -> impl Future<Output = Response<AnswerBody>> + Send;

    /// Returns whether connections must close after the current response.
    fn is_stopping(&self) -> bool {
        false
    }

    /// Returns the limits that currently apply to connections.
    fn connection_limits(&self) -> ConnectionLimits {
        ConnectionLimits::default()
    }
}

/// Limits of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ConnectionLimits {
    /// Maximum time to receive a request head.
    pub(crate) header_timeout: Duration,
    /// Maximum time between two requests.
    pub(crate) idle_timeout: Duration,
    /// Maximum size of a request head, in bytes.
    pub(crate) max_header_bytes: usize,
}

impl Default for ConnectionLimits {
    /// Returns limits for internal clients, which keep connections open.
    fn default() -> Self {
        Self {
            header_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_secs(60),
            max_header_bytes: 64 * 1024,
        }
    }
}

/// Accepts connections until [`STOP_READ_PERIOD`] after `stop` is set, then waits for the requests in
/// flight.
pub(crate) async fn serve(
    log: Logger,
    listener: TcpListener,
    handler: Arc<impl Handler>,
    mut stop: watch::Receiver<bool>,
) {
    let mut connections = JoinSet::new();
    let connection_stop = stop.clone();
    let mut end_of_reading = pin!(async {
        // An error means that the sender is gone, which ends the listener too.
        let _ = stop.wait_for(|is_stopping| *is_stopping).await;
        tokio::time::sleep(STOP_READ_PERIOD).await;
    });
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = &mut end_of_reading => break,
        };
        match accepted {
            Ok((stream, remote)) => {
                tcp_timeouts::SERVER_SETTINGS.apply(&stream);
                let handler = Arc::clone(&handler);
                connections.spawn(connection::serve(
                    log.clone(),
                    stream,
                    remote,
                    handler,
                    connection_stop.clone(),
                ));
                while connections.try_join_next().is_some() {}
            }
            Err(error) => {
                warn!(log, "accept-failed"; "error" => %error);
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

/// Returns the `hyper` settings for a connection. The header read timeout of `hyper` is disabled
/// because it does not distinguish a slow request head from an idle connection.
pub(crate) fn builder(max_header_bytes: usize) -> http1::Builder {
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(None)
        .max_buf_size(max_header_bytes.max(MIN_BUFFER_BYTES))
        .max_headers(MAX_HEADERS);
    builder
}

/// Returns a response without a body.
pub(crate) fn empty_response(status: StatusCode) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::default());
    *response.status_mut() = status;
    response
}

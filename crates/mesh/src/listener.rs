//! HTTP/1.1 listeners with an orderly end.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::{Request, Response};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use slog::{Logger, debug, warn};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::body::AnswerBody;
use crate::links;

/// Pause after a failed accept, as when descriptors are short.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Smallest read buffer that the HTTP library takes, in bytes.
const MIN_BUFFER_BYTES: usize = 8 * 1024;
/// Most headers of a request.
const MAX_HEADERS: usize = 100;

/// Answers the requests of one listener.
pub(crate) trait Handler: Send + Sync + 'static {
    /// Answers a request. Dropping the future cancels the work.
    fn handle(
        &self,
        request: Request<Incoming>,
        remote: SocketAddr,
    ) -> impl Future<Output = Response<AnswerBody>> + Send;

    /// Returns what connections that are opened now may do.
    fn connection_limits(&self) -> ConnectionLimits {
        ConnectionLimits::default()
    }
}

/// What a connection may do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ConnectionLimits {
    /// Longest wait for the head of the next request.
    pub(crate) head_timeout: Duration,
    /// Largest head, in bytes.
    pub(crate) max_head_bytes: usize,
}

impl Default for ConnectionLimits {
    /// Limits between programs of the system, which keep connections open.
    fn default() -> Self {
        Self { head_timeout: Duration::from_secs(60), max_head_bytes: 64 * 1024 }
    }
}

/// Accepts connections until told to stop, then waits for the requests in flight.
pub(crate) async fn serve(
    log: Logger,
    listener: TcpListener,
    handler: Arc<impl Handler>,
    mut stop: watch::Receiver<bool>,
) {
    let graceful = GracefulShutdown::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|is_stopping| *is_stopping) => break,
        };
        match accepted {
            Ok((stream, remote)) => {
                spawn_connection(&log, stream, remote, Arc::clone(&handler), &graceful);
            }
            Err(error) => {
                warn!(log, "accept-failed"; "error" => %error);
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    drop(listener);
    graceful.shutdown().await;
}

fn spawn_connection(
    log: &Logger,
    stream: TcpStream,
    remote: SocketAddr,
    handler: Arc<impl Handler>,
    graceful: &GracefulShutdown,
) {
    links::set_socket_options(&stream);
    let limits = handler.connection_limits();
    let service = service_fn(move |request| {
        let handler = Arc::clone(&handler);
        async move { Ok::<_, Infallible>(handler.handle(request, remote).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_timeout)
        .max_buf_size(limits.max_head_bytes.max(MIN_BUFFER_BYTES))
        .max_headers(MAX_HEADERS)
        .pipeline_flush(true)
        .serve_connection(TokioIo::new(stream), service);
    let watched = graceful.watch(connection);
    let log = log.clone();
    tokio::spawn(async move {
        if let Err(error) = watched.await {
            debug!(log, "connection-ended"; "error" => %error);
        }
    });
}

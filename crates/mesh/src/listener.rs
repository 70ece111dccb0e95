//! HTTP/1.1 listeners with an orderly end.

use std::net::SocketAddr;
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
use crate::links;

/// Pause after a failed accept, as when descriptors are short.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Smallest read buffer that the HTTP library takes, in bytes.
pub(crate) const MIN_BUFFER_BYTES: usize = 8 * 1024;
/// Most headers of a request.
const MAX_HEADERS: usize = 100;

/// Body of a request; absent if the request has none for certain.
pub(crate) type InboundBody = Option<Incoming>;

/// Answers the requests of one listener.
pub(crate) trait Handler: Send + Sync + 'static {
    /// Answers a request. Dropping the future cancels the work.
    fn handle(
        &self,
        request: Request<InboundBody>,
        remote: SocketAddr,
    ) -> impl Future<Output = Response<AnswerBody>> + Send;

    /// Returns whether connections end after the answer at hand.
    fn is_stopping(&self) -> bool {
        false
    }

    /// Returns what connections may do now.
    fn connection_limits(&self) -> ConnectionLimits {
        ConnectionLimits::default()
    }
}

/// What a connection may do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ConnectionLimits {
    /// Longest time for a head to arrive.
    pub(crate) head_timeout: Duration,
    /// Longest time without a request.
    pub(crate) idle_timeout: Duration,
    /// Largest head, in bytes.
    pub(crate) max_head_bytes: usize,
}

impl Default for ConnectionLimits {
    /// Limits between programs of the system, which keep connections open.
    fn default() -> Self {
        Self {
            head_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_secs(60),
            max_head_bytes: 64 * 1024,
        }
    }
}

/// Accepts connections until told to stop, then waits for the requests in flight.
pub(crate) async fn serve(
    log: Logger,
    listener: TcpListener,
    handler: Arc<impl Handler>,
    mut stop: watch::Receiver<bool>,
) {
    let mut connections = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|is_stopping| *is_stopping) => break,
        };
        match accepted {
            Ok((stream, remote)) => {
                links::SILENCE.apply(&stream);
                let handler = Arc::clone(&handler);
                connections.spawn(connection::serve(
                    log.clone(),
                    stream,
                    remote,
                    handler,
                    stop.clone(),
                ));
                while connections.try_join_next().is_some() {}
            }
            Err(error) => {
                warn!(log, "accept-failed"; "error" => %error);
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

/// Returns the library's settings for a connection. Its own timer for heads stays off, since it does
/// not tell a slow head from an idle connection.
pub(crate) fn builder(max_head_bytes: usize) -> http1::Builder {
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(None)
        .max_buf_size(max_head_bytes.max(MIN_BUFFER_BYTES))
        .max_headers(MAX_HEADERS)
        .pipeline_flush(true);
    builder
}

/// Makes an answer without a body.
pub(crate) fn status_only(status: StatusCode) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::default());
    *response.status_mut() = status;
    response
}

//! HTTP/1.1 listeners with graceful shutdown.

#[cfg(test)]
mod tests;

use std::convert::Infallible;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use daemon::KeepaliveSettings;
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

/// Maximum time in which a client must send the head of a request.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);
const MAX_HEADER_BYTES: usize = 64 * 1024;
/// Limits after which an unresponsive connection is closed.
const KEEPALIVE_SETTINGS: KeepaliveSettings = KeepaliveSettings {
    keepalive_time: Duration::from_secs(5),
    keepalive_interval: Duration::from_secs(1),
    keepalive_retries: 3,
    user_timeout: Some(Duration::from_secs(5)),
};
/// Delay before the next `accept` after one failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Time after a stop in which requests that were sent before it are still read, from new connections
/// too. Closing a socket with unread bytes would reset the connection without an answer.
const STOP_READ_PERIOD: Duration = Duration::from_millis(100);

/// Handles the requests of one listener.
pub(crate) trait Handler: Send + Sync + 'static {
    /// Handles a request. Dropping the future cancels it.
    fn handle(
        &self,
        request: Request<Incoming>,
    ) -> impl Future<Output = Response<AnswerBody>> + Send;
}

/// Accepts connections until [`STOP_READ_PERIOD`] after `stop` is true, then waits for the requests in
/// flight.
pub(crate) async fn serve(
    log: Logger,
    listener: TcpListener,
    handler: Arc<impl Handler>,
    mut stop: watch::Receiver<bool>,
) {
    let graceful = GracefulShutdown::new();
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
            Ok((stream, _)) => {
                spawn_connection(&log, stream, Arc::clone(&handler), &graceful);
            }
            Err(error) => {
                warn!(log, "accept-failed"; "error" => %error);
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    drop(listener);
    graceful.shutdown().await;
}

fn spawn_connection(
    log: &Logger,
    stream: TcpStream,
    handler: Arc<impl Handler>,
    graceful: &GracefulShutdown,
) {
    KEEPALIVE_SETTINGS.apply(&stream);
    let service = service_fn(move |request| {
        let handler = Arc::clone(&handler);
        async move { Ok::<_, Infallible>(handler.handle(request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .max_buf_size(MAX_HEADER_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    let watched = graceful.watch(connection);
    let log = log.clone();
    tokio::spawn(async move {
        if let Err(error) = watched.await {
            debug!(log, "connection-ended"; "error" => %error);
        }
    });
}

//! One connection of a caller, which may send further requests before the first is answered.
//!
//! The HTTP library answers the requests of a connection one after another. Requests that wait behind
//! another one are recognised here as their bytes arrive and started at once; the library's own call
//! for such a request then only waits for the answer, so answers stay in order. Only requests without
//! a body are started early. The library remains the judge of what a request is.

use std::convert::Infallible;
use std::future::poll_fn;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::BytesMut;
use http::{HeaderName, HeaderValue, Method, Request, Response, Uri, header};
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use indexmap::IndexMap;
use slog::{Logger, debug};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::body::AnswerBody;
use crate::listener::{self, Handler, InboundBody};

/// Bytes that are read ahead of the library.
const READ_AHEAD_BYTES: usize = 32 * 1024;
/// Most requests of one connection that run at once.
const MAX_STARTED: usize = 32;
/// Most headers of a request that is started early.
const MAX_HEADERS: usize = 100;
/// Longest wait for the other side's close. A close with unread bytes would reset the connection and
/// could destroy an answer that is still on its way.
const LINGER: Duration = Duration::from_secs(1);

/// Requests of one connection.
struct Requests {
    /// Requests whose bytes have arrived whole, as far as they are recognised.
    seen: u64,
    /// Requests that the library has called for.
    called: u64,
    answered: u64,
    /// Requests that run ahead of the library, by position.
    started: IndexMap<u64, Started>,
    /// When the wait for the present head began: at the last answer or at the head's first byte.
    waiting_since: Instant,
    /// The connection ends with the answer after which nothing is left to answer.
    is_ending: bool,
    /// Bytes of a request that has not arrived whole; absent after one that cannot be recognised.
    partial: Option<BytesMut>,
}

/// A request that runs ahead of the library. Dropping it cancels the work.
struct Started(JoinHandle<Response<AnswerBody>>);

impl Drop for Started {
    fn drop(&mut self) {
        self.0.abort();
    }
}

struct Connection<H> {
    handler: Arc<H>,
    remote: SocketAddr,
    requests: Mutex<Requests>,
}

/// Serves a connection until it ends. Between requests it ends when told to stop or when it was idle
/// for too long; a request that crosses that end was not read, so its caller may send it again.
pub(crate) async fn serve(
    log: Logger,
    stream: TcpStream,
    remote: SocketAddr,
    handler: Arc<impl Handler>,
    mut stop: watch::Receiver<bool>,
) {
    let max_head_bytes = handler.connection_limits().max_head_bytes;
    let connection = Arc::new(Connection::new(handler, remote));
    let (mut reader, writer) = stream.into_split();
    let (library_side, mut pump_side) = tokio::io::simplex(READ_AHEAD_BYTES);
    let service = service_fn({
        let connection = Arc::clone(&connection);
        move |request: Request<hyper::body::Incoming>| {
            let connection = Arc::clone(&connection);
            async move { Ok::<_, Infallible>(connection.answer(request.map(Some)).await) }
        }
    });
    let io = TokioIo::new(tokio::io::join(library_side, writer));
    let mut served = pin!(listener::builder(max_head_bytes).serve_connection(io, service));
    let mut is_told = false;
    let mut due = Instant::now() + connection.time_left();
    {
        let mut pump = pin!(connection.pump(&mut reader, &mut pump_side));
        loop {
            tokio::select! {
                ended = served.as_mut() => {
                    if let Err(error) = ended {
                        debug!(log, "connection-ended"; "remote" => %remote, "error" => %error);
                    }
                    break;
                }
                // The caller has closed the connection, so nobody waits for the answers.
                () = &mut pump => return,
                _ = stop.wait_for(|is_stopping| *is_stopping), if !is_told => {
                    is_told = true;
                    if connection.end() {
                        return;
                    }
                }
                () = tokio::time::sleep_until(due) => {
                    let left = connection.time_left();
                    if left.is_zero() {
                        return;
                    }
                    due = Instant::now() + left;
                }
            }
        }
    }
    linger(reader).await;
}

/// Reads what the other side still sends, until it closes too.
async fn linger(mut reader: OwnedReadHalf) {
    let mut discarded = [0; 4096];
    let read = async { while matches!(reader.read(&mut discarded).await, Ok(1..)) {} };
    // Whoever does not close within the time loses nothing but a reset.
    let _ = tokio::time::timeout(LINGER, read).await;
}

impl<H: Handler> Connection<H> {
    fn new(handler: Arc<H>, remote: SocketAddr) -> Self {
        let requests = Requests {
            seen: 0,
            called: 0,
            answered: 0,
            started: IndexMap::new(),
            waiting_since: Instant::now(),
            is_ending: false,
            partial: Some(BytesMut::new()),
        };
        Self { handler, remote, requests: Mutex::new(requests) }
    }

    /// Hands the bytes of the connection to the library until the other side closes it.
    async fn pump(&self, reader: &mut OwnedReadHalf, library: &mut (impl AsyncWriteExt + Unpin)) {
        let mut buffer = BytesMut::with_capacity(listener::MIN_BUFFER_BYTES);
        loop {
            buffer.clear();
            match reader.read_buf(&mut buffer).await {
                Ok(1..) => self.recognise(&buffer),
                Ok(_) | Err(_) => return,
            }
            // Fails only after the library has ended, which the caller of this function sees.
            if library.write_all(&buffer).await.is_err() {
                return poll_fn(|_| std::task::Poll::Pending).await;
            }
        }
    }

    /// Counts the requests in new bytes and starts those that wait behind others.
    fn recognise(&self, bytes: &[u8]) {
        let mut requests = self.lock();
        let Some(mut partial) = requests.partial.take() else { return };
        if partial.is_empty() {
            requests.waiting_since = Instant::now();
        }
        partial.extend_from_slice(bytes);
        loop {
            match recognise_head(&partial) {
                Recognised::Whole { length, request } => {
                    let _ = partial.split_to(length);
                    let position = requests.seen;
                    requests.seen += 1;
                    let is_behind = position > requests.answered;
                    if is_behind && requests.started.len() < MAX_STARTED {
                        let started = self.start(*request);
                        requests.started.insert(position, started);
                    }
                }
                Recognised::Partial => break,
                Recognised::Other => return,
            }
        }
        requests.partial = Some(partial);
    }

    fn start(&self, request: Request<InboundBody>) -> Started {
        let handler = Arc::clone(&self.handler);
        let remote = self.remote;
        Started(tokio::spawn(async move { handler.handle(request, remote).await }))
    }

    async fn answer(&self, request: Request<InboundBody>) -> Response<AnswerBody> {
        let started = {
            let mut requests = self.lock();
            let position = requests.called;
            requests.called += 1;
            requests.started.swap_remove(&position)
        };
        let mut response = match started {
            Some(mut started) => match (&mut started.0).await {
                Ok(response) => response,
                // The task panicked; the request may have run.
                Err(_) => listener::status_only(http::StatusCode::BAD_GATEWAY),
            },
            None => self.handler.handle(request, self.remote).await,
        };
        let mut requests = self.lock();
        requests.answered += 1;
        requests.waiting_since = Instant::now();
        let is_last = requests.seen <= requests.answered;
        if is_last && (requests.is_ending || self.handler.is_stopping()) {
            response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    /// Ends the connection after the last answer. Returns whether none is due.
    fn end(&self) -> bool {
        let mut requests = self.lock();
        requests.is_ending = true;
        requests.is_idle() && !requests.has_partial()
    }

    /// Returns how long the connection may stay as it is, by the limits in force now.
    fn time_left(&self) -> Duration {
        let limits = self.handler.connection_limits();
        let requests = self.lock();
        let limit = match requests.has_partial() {
            true => limits.head_timeout,
            false => limits.idle_timeout,
        };
        match requests.is_idle() {
            true => limit.saturating_sub(requests.waiting_since.elapsed()),
            false => limit,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Requests> {
        self.requests.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Requests {
    fn is_idle(&self) -> bool {
        self.seen.max(self.called) == self.answered
    }

    fn has_partial(&self) -> bool {
        self.partial.as_ref().is_some_and(|partial| !partial.is_empty())
    }
}

enum Recognised {
    /// A request without a body.
    Whole {
        length: usize,
        request: Box<Request<InboundBody>>,
    },
    Partial,
    /// Anything else; positions behind it are not known.
    Other,
}

fn recognise_head(bytes: &[u8]) -> Recognised {
    if bytes.is_empty() {
        return Recognised::Partial;
    }
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    match head.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => match plain_request(&head) {
            Some(request) => Recognised::Whole { length, request: Box::new(request) },
            None => Recognised::Other,
        },
        Ok(httparse::Status::Partial) => Recognised::Partial,
        Err(_) => Recognised::Other,
    }
}

/// Returns a request that has neither a body nor a say in the connection.
fn plain_request(head: &httparse::Request<'_, '_>) -> Option<Request<InboundBody>> {
    let method = Method::from_bytes(head.method?.as_bytes()).ok()?;
    if head.version != Some(1) || (method != Method::GET && method != Method::HEAD) {
        return None;
    }
    let mut request = Request::new(None);
    *request.method_mut() = method;
    *request.uri_mut() = head.path?.parse::<Uri>().ok()?;
    for field in head.headers.iter() {
        let name = HeaderName::from_bytes(field.name.as_bytes()).ok()?;
        let is_about_body =
            [header::CONTENT_LENGTH, header::TRANSFER_ENCODING, header::EXPECT].contains(&name);
        if is_about_body || name == header::CONNECTION || name == header::UPGRADE {
            return None;
        }
        request.headers_mut().append(name, HeaderValue::from_bytes(field.value).ok()?);
    }
    Some(request)
}

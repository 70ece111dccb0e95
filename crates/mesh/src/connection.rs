//! Server side of one HTTP/1.1 connection, with concurrent processing of pipelined requests.
//!
//! `hyper` processes the requests of a connection sequentially. This module parses pipelined
//! requests as their bytes arrive and starts them at once. When `hyper` later calls the service for
//! such a request, the service only awaits the response, so responses stay in order. Only requests
//! without a body are started early. `hyper` parses every request again and alone decides whether
//! it is valid.

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
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::{Notify, watch};
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::body::AnswerBody;
use crate::http_listener::{self, Handler, InboundBody, STOP_READ_PERIOD};
use crate::tcp_timeouts;

/// Time after a stop in which the rest of a request head is awaited that has begun to arrive.
const STOP_HEAD_PERIOD: Duration = Duration::from_millis(400);
/// Capacity of the buffer between the socket and `hyper`, in bytes.
const READ_AHEAD_BYTES: usize = 32 * 1024;
/// Maximum number of pipelined requests of one connection that run ahead of `hyper`.
const MAX_PIPELINED_REQUESTS: usize = 32;
/// Maximum number of headers of a request that is started early.
const MAX_HEADERS: usize = 100;
/// Maximum time to wait for the peer to close the connection. Closing a socket with unread bytes
/// resets the connection, which could discard a response that is still in transit.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);

/// Progress of the requests of one connection. Positions count the requests from zero in order of
/// arrival.
struct PipelineState {
    /// Number of requests that this module has parsed.
    parsed: u64,
    /// Number of requests for which `hyper` has called the service.
    service_calls: u64,
    /// Number of requests whose response was returned to `hyper`.
    answered: u64,
    /// Number of responses whose bodies are still being received.
    streaming: u64,
    /// Requests started before `hyper` called the service for them, by position.
    early_requests: IndexMap<u64, EarlyRequest>,
    /// Start of the wait for the current request head: the time of the last response or of the
    /// head's first byte, whichever is later.
    wait_started: Instant,
    /// Whether the connection closes after the last outstanding response.
    is_closing: bool,
    /// Whether requests that arrive from now on are not started.
    is_reading_ended: bool,
    /// Position of a request with two framings, of which `hyper` hides one.
    ambiguous_request: Option<u64>,
    /// Bytes of an incomplete request head. `None` once a request could not be parsed here, after
    /// which no further request is started early.
    partial_head: Option<BytesMut>,
}

/// Task of a request that was started early. Dropping it aborts the task.
struct EarlyRequest(JoinHandle<Response<AnswerBody>>);

impl Drop for EarlyRequest {
    fn drop(&mut self) {
        self.0.abort();
    }
}

struct Connection<H> {
    handler: Arc<H>,
    remote: SocketAddr,
    pipeline: Arc<Mutex<PipelineState>>,
    /// Notified when a response is cut.
    cut: Arc<Notify>,
}

/// A response whose body is still being received. The timeouts of the connection do not run
/// meanwhile.
pub(crate) struct ResponseInProgress {
    pipeline: Arc<Mutex<PipelineState>>,
    cut: Arc<Notify>,
}

impl ResponseInProgress {
    fn new<H>(connection: &Connection<H>) -> Self {
        connection.lock().streaming += 1;
        Self { pipeline: Arc::clone(&connection.pipeline), cut: Arc::clone(&connection.cut) }
    }

    /// Closes the connection, because the rest of the response will not follow.
    pub(crate) fn cut(self) {
        self.cut.notify_one();
    }
}

impl Drop for ResponseInProgress {
    fn drop(&mut self) {
        let mut pipeline = self.pipeline.lock().unwrap_or_else(PoisonError::into_inner);
        pipeline.streaming -= 1;
        pipeline.wait_started = Instant::now();
    }
}

/// What a connection does when no further request is to be read.
enum EndOfReading {
    /// No request is in progress.
    Idle,
    /// A response is in progress, and the connection closes after it.
    LastResponse,
    /// Several responses are outstanding. The last one says that the connection closes.
    Pipelined,
    /// Part of a request head has arrived.
    PartialHead,
}

/// Why a connection ends.
enum Ending {
    /// `hyper` has ended it, after a last response or because of a malformed request.
    Complete,
    /// No request arrives any more.
    Idle,
    /// The caller has closed it, or gets only part of a response.
    Broken,
}

/// Serves a connection until it closes.
///
/// An idle connection is closed soon after a stop or after the idle timeout. A request sent while the
/// connection closes was not read, so its caller may safely send it again.
pub(crate) async fn serve(
    log: Logger,
    stream: TcpStream,
    remote: SocketAddr,
    handler: Arc<impl Handler>,
    stop: watch::Receiver<bool>,
) {
    let connection = Arc::new(Connection::new(handler, remote));
    let (mut reader, writer) = stream.into_split();
    match connection.run(&log, &mut reader, writer, stop).await {
        Ending::Complete => {
            linger(&mut reader).await;
            tcp_timeouts::bound_delivery(reader.as_ref());
        }
        Ending::Idle => tcp_timeouts::bound_delivery(reader.as_ref()),
        Ending::Broken => tcp_timeouts::stop_delivery(reader.as_ref()),
    }
}

/// Reads and discards input until the peer closes the connection.
async fn linger(reader: &mut OwnedReadHalf) {
    let mut discarded = [0; 4096];
    let read = async { while matches!(reader.read(&mut discarded).await, Ok(1..)) {} };
    // A peer that exceeds the timeout only gets a connection reset.
    let _ = tokio::time::timeout(LINGER_TIMEOUT, read).await;
}

impl<H: Handler> Connection<H> {
    fn new(handler: Arc<H>, remote: SocketAddr) -> Self {
        let pipeline = PipelineState {
            parsed: 0,
            service_calls: 0,
            answered: 0,
            streaming: 0,
            early_requests: IndexMap::new(),
            wait_started: Instant::now(),
            is_closing: false,
            is_reading_ended: false,
            ambiguous_request: None,
            partial_head: Some(BytesMut::new()),
        };
        Self { handler, remote, pipeline: Arc::new(Mutex::new(pipeline)), cut: Arc::default() }
    }

    /// Serves requests until the connection ends.
    async fn run(
        self: &Arc<Self>,
        log: &Logger,
        reader: &mut OwnedReadHalf,
        writer: OwnedWriteHalf,
        mut stop: watch::Receiver<bool>,
    ) -> Ending {
        let max_header_bytes = self.handler.connection_limits().max_header_bytes;
        let (input_reader, mut input_writer) = tokio::io::simplex(READ_AHEAD_BYTES);
        let service = service_fn({
            let connection = Arc::clone(self);
            move |request: Request<hyper::body::Incoming>| {
                let connection = Arc::clone(&connection);
                async move { Ok::<_, Infallible>(connection.respond(request.map(Some)).await) }
            }
        });
        let io = TokioIo::new(tokio::io::join(input_reader, writer));
        let mut served =
            pin!(http_listener::builder(max_header_bytes).serve_connection(io, service));
        let mut is_stopping = false;
        let mut end_of_reading = pin!(tokio::time::sleep(Duration::ZERO));
        let (mut is_reading_ended, mut is_head_awaited) = (false, false);
        let mut timeout_at = Instant::now() + self.remaining_timeout();
        let mut input_copy = pin!(self.copy_input(reader, &mut input_writer));
        loop {
            tokio::select! {
                ended = served.as_mut() => {
                    let Err(error) = ended else { return Ending::Complete };
                    debug!(log, "connection-ended"; "remote" => %self.remote, "error" => %error);
                    // The body of a response broke, which the caller has to see at once.
                    return if error.is_user() { Ending::Broken } else { Ending::Complete };
                }
                () = &mut input_copy => return Ending::Broken,
                () = self.cut.notified() => return Ending::Broken,
                _ = stop.wait_for(|is_stopping| *is_stopping), if !is_stopping => {
                    is_stopping = true;
                    self.lock().is_closing = true;
                    end_of_reading.as_mut().reset(Instant::now() + STOP_READ_PERIOD);
                }
                () = &mut end_of_reading, if is_stopping && !is_reading_ended => {
                    match self.end_reading() {
                        EndOfReading::Idle => return Ending::Idle,
                        EndOfReading::LastResponse => served.as_mut().graceful_shutdown(),
                        EndOfReading::Pipelined => {}
                        EndOfReading::PartialHead if !is_head_awaited => {
                            is_head_awaited = true;
                            end_of_reading.as_mut().reset(Instant::now() + STOP_HEAD_PERIOD);
                            continue;
                        }
                        EndOfReading::PartialHead => return Ending::Idle,
                    }
                    is_reading_ended = true;
                }
                () = tokio::time::sleep_until(timeout_at) => {
                    let remaining = self.remaining_timeout();
                    if remaining.is_zero() {
                        return Ending::Idle;
                    }
                    timeout_at = Instant::now() + remaining;
                }
            }
        }
    }

    /// Copies bytes from the socket to `hyper` until the peer closes the connection.
    async fn copy_input(
        &self,
        reader: &mut OwnedReadHalf,
        hyper_input: &mut (impl AsyncWriteExt + Unpin),
    ) {
        let mut buffer = BytesMut::with_capacity(http_listener::MIN_BUFFER_BYTES);
        loop {
            buffer.clear();
            match reader.read_buf(&mut buffer).await {
                Ok(1..) => self.parse_requests(&buffer),
                Ok(_) | Err(_) => return,
            }
            // Fails only after `hyper` has finished, which the caller of this function detects
            // itself.
            if hyper_input.write_all(&buffer).await.is_err() {
                return poll_fn(|_| std::task::Poll::Pending).await;
            }
        }
    }

    /// Parses the requests in received bytes and starts those that are queued behind others.
    fn parse_requests(&self, bytes: &[u8]) {
        let mut pipeline = self.lock();
        if pipeline.is_reading_ended {
            return;
        }
        let Some(mut partial_head) = pipeline.partial_head.take() else { return };
        if partial_head.is_empty() {
            pipeline.wait_started = Instant::now();
        }
        partial_head.extend_from_slice(bytes);
        loop {
            match parse_head(&partial_head) {
                ParsedHead::Complete { length, request } => {
                    let _ = partial_head.split_to(length);
                    let position = pipeline.parsed;
                    pipeline.parsed += 1;
                    let is_pipelined = position > pipeline.answered;
                    if is_pipelined && pipeline.early_requests.len() < MAX_PIPELINED_REQUESTS {
                        let early_request = self.spawn_handler(*request);
                        pipeline.early_requests.insert(position, early_request);
                    }
                }
                ParsedHead::Partial => break,
                ParsedHead::Unsupported => return,
                ParsedHead::Ambiguous => {
                    pipeline.ambiguous_request = Some(pipeline.parsed);
                    return;
                }
            }
        }
        pipeline.partial_head = Some(partial_head);
    }

    fn spawn_handler(&self, request: Request<InboundBody>) -> EarlyRequest {
        let handler = Arc::clone(&self.handler);
        let remote = self.remote;
        EarlyRequest(tokio::spawn(async move { handler.handle(request, remote).await }))
    }

    /// Returns the response to the next request, from its early task if there is one.
    async fn respond(&self, request: Request<InboundBody>) -> Response<AnswerBody> {
        let (early_request, is_ambiguous) = {
            let mut pipeline = self.lock();
            let position = pipeline.service_calls;
            pipeline.service_calls += 1;
            let is_ambiguous = pipeline.ambiguous_request == Some(position);
            (pipeline.early_requests.swap_remove(&position), is_ambiguous)
        };
        if is_ambiguous {
            return refuse_ambiguous();
        }
        let mut response = match early_request {
            Some(mut early_request) => match (&mut early_request.0).await {
                Ok(response) => response,
                // The task panicked; the request may have been executed.
                Err(_) => http_listener::empty_response(http::StatusCode::BAD_GATEWAY),
            },
            None => self.handler.handle(request, self.remote).await,
        };
        if !response.body().is_buffered() {
            response.body().hold_until_received(ResponseInProgress::new(self));
        }
        let mut pipeline = self.lock();
        pipeline.answered += 1;
        pipeline.wait_started = Instant::now();
        let is_last_response = pipeline.parsed <= pipeline.answered;
        if is_last_response && (pipeline.is_closing || self.handler.is_stopping()) {
            response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    /// Marks the connection to be closed after the outstanding responses. Requests that arrive behind
    /// them are not started, unless the head of one has begun to arrive at an idle connection.
    fn end_reading(&self) -> EndOfReading {
        let mut pipeline = self.lock();
        pipeline.is_closing = true;
        if pipeline.is_idle() && pipeline.has_partial_head() {
            return EndOfReading::PartialHead;
        }
        pipeline.is_reading_ended = true;
        match pipeline.parsed > pipeline.service_calls {
            _ if pipeline.is_idle() => EndOfReading::Idle,
            true => EndOfReading::Pipelined,
            false => EndOfReading::LastResponse,
        }
    }

    /// Returns the time until the head or idle timeout, by the limits that apply now. The timeout
    /// does not run while a response is outstanding.
    fn remaining_timeout(&self) -> Duration {
        let limits = self.handler.connection_limits();
        let pipeline = self.lock();
        let limit = match pipeline.has_partial_head() {
            true => limits.header_timeout,
            false => limits.idle_timeout,
        };
        match pipeline.is_idle() {
            true => limit.saturating_sub(pipeline.wait_started.elapsed()),
            false => limit,
        }
    }
}

impl<H> Connection<H> {
    fn lock(&self) -> MutexGuard<'_, PipelineState> {
        self.pipeline.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl PipelineState {
    fn is_idle(&self) -> bool {
        self.parsed.max(self.service_calls) == self.answered && self.streaming == 0
    }

    fn has_partial_head(&self) -> bool {
        self.partial_head.as_ref().is_some_and(|partial_head| !partial_head.is_empty())
    }
}

/// Result of parsing the head of a request.
enum ParsedHead {
    /// A complete request without a body; `length` is its size in bytes.
    Complete {
        length: usize,
        request: Box<Request<InboundBody>>,
    },
    Partial,
    /// A request with a length and chunks.
    Ambiguous,
    /// An invalid request or one that must not start early. Where the next one begins is unknown.
    Unsupported,
}

fn parse_head(bytes: &[u8]) -> ParsedHead {
    if bytes.is_empty() {
        return ParsedHead::Partial;
    }
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    match head.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => match bodyless_request(&head) {
            Some(request) => ParsedHead::Complete { length, request: Box::new(request) },
            None if has_two_framings(&head) => ParsedHead::Ambiguous,
            None => ParsedHead::Unsupported,
        },
        Ok(httparse::Status::Partial) => ParsedHead::Partial,
        Err(_) => ParsedHead::Unsupported,
    }
}

fn has_two_framings(head: &httparse::Request<'_, '_>) -> bool {
    let has = |name: HeaderName| {
        head.headers.iter().any(|field| field.name.eq_ignore_ascii_case(name.as_str()))
    };
    has(header::CONTENT_LENGTH) && has(header::TRANSFER_ENCODING)
}

/// Returns the response to a request with two framings, after which its connection is of no use.
fn refuse_ambiguous() -> Response<AnswerBody> {
    let mut response = http_listener::empty_response(http::StatusCode::BAD_REQUEST);
    response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    response
}

/// Converts a GET or HEAD request without a body or connection-control headers. Returns `None` for
/// any other request.
fn bodyless_request(head: &httparse::Request<'_, '_>) -> Option<Request<InboundBody>> {
    let method = Method::from_bytes(head.method?.as_bytes()).ok()?;
    if head.version != Some(1) || (method != Method::GET && method != Method::HEAD) {
        return None;
    }
    let mut request = Request::new(None);
    *request.method_mut() = method;
    *request.uri_mut() = head.path?.parse::<Uri>().ok()?;
    for field in head.headers.iter() {
        let name = HeaderName::from_bytes(field.name.as_bytes()).ok()?;
        let is_body_header =
            [header::CONTENT_LENGTH, header::TRANSFER_ENCODING, header::EXPECT].contains(&name);
        if is_body_header || name == header::CONNECTION || name == header::UPGRADE {
            return None;
        }
        request.headers_mut().append(name, HeaderValue::from_bytes(field.value).ok()?);
    }
    Some(request)
}

//! Request and response bodies: small ones are buffered, large ones are streamed.

use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker, ready};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body::{Body, Frame, SizeHint};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use quick_error::quick_error;
use tokio::task::AbortHandle;
use tokio::time::Instant;

use crate::broken_answers::{BreakCause, BreakReporter};
use crate::connection::ResponseInProgress;
use crate::connection_pool::PooledConnection;
use crate::crash_monitor::RunGuard;
use crate::slot_queue::Permit;

/// Maximum size of a fully buffered body, in bytes. Buffered request bodies can be sent again; the
/// limit bounds the memory of a call.
pub(crate) const MAX_BUFFERED_BYTES: usize = 64 * 1024;

quick_error! {
    /// Failure to read a complete body.
    #[derive(Debug)]
    pub enum BodyError {
        /// The connection failed before the end of the body.
        Connection(source: hyper::Error) {
            display("body connection failed: {}", source)
            from()
        }
        /// The body exceeds the size limit.
        TooLarge {
            display("the body exceeds the size limit")
        }
        /// The body did not end before the deadline of the call.
        DeadlineExceeded {
            display("the body did not end before the deadline")
        }
    }
}

/// Request body of a call.
#[derive(Debug, Default)]
pub(crate) struct CallBody {
    buffered: Option<Bytes>,
    stream: Option<Incoming>,
    /// Number of bytes that the stream may still yield.
    remaining_bytes: u64,
}

impl CallBody {
    /// Buffers the beginning of a body, or all of it if it is small.
    pub(crate) async fn read(
        incoming: Option<Incoming>,
        max_bytes: u64,
    ) -> Result<Self, BodyError> {
        let Some(mut incoming) = incoming else { return Ok(Self::default()) };
        if incoming.size_hint().lower() > max_bytes {
            return Err(BodyError::TooLarge);
        }
        let (buffered, is_complete) = read_buffered(&mut incoming).await?;
        let remaining_bytes = max_bytes.saturating_sub(buffered.len() as u64);
        if buffered.len() as u64 > max_bytes {
            return Err(BodyError::TooLarge);
        }
        let stream = (!is_complete).then_some(incoming);
        Ok(Self { buffered: (!buffered.is_empty()).then_some(buffered), stream, remaining_bytes })
    }

    /// Returns a body with these bytes.
    pub(crate) fn from_bytes(bytes: Bytes) -> Self {
        Self { buffered: (!bytes.is_empty()).then_some(bytes), stream: None, remaining_bytes: 0 }
    }

    /// Returns the buffered beginning of the body.
    pub(crate) fn buffered(&self) -> Bytes {
        self.buffered.clone().unwrap_or_default()
    }

    /// Returns a copy of the body, or `None` if part of it is streamed.
    pub(crate) fn try_clone(&self) -> Option<Self> {
        match self.stream {
            Some(_) => None,
            None => Some(Self::from_bytes(self.buffered())),
        }
    }
}

impl Body for CallBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let body = self.get_mut();
        if let Some(buffered) = body.buffered.take() {
            return Poll::Ready(Some(Ok(Frame::data(buffered))));
        }
        let Some(stream) = &mut body.stream else { return Poll::Ready(None) };
        let Some(frame) = ready!(Pin::new(stream).poll_frame(cx)) else { return Poll::Ready(None) };
        let frame = frame?;
        let length = frame.data_ref().map_or(0, Bytes::len) as u64;
        let Some(remaining) = body.remaining_bytes.checked_sub(length) else {
            return Poll::Ready(Some(Err(BodyError::TooLarge)));
        };
        body.remaining_bytes = remaining;
        Poll::Ready(Some(Ok(frame)))
    }

    fn is_end_stream(&self) -> bool {
        self.buffered.is_none() && self.stream.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        total_size(self.buffered.as_ref(), self.stream.as_ref().map(Incoming::size_hint))
    }
}

/// Resources that a streamed response body holds until its end.
pub(crate) enum StreamGuard {
    /// Slot, connection and run of a call to the local upstream.
    Upstream { _permit: Permit, connection: PooledConnection, run: Box<RunGuard> },
    /// Connection of a call to another node.
    Peer { connection: PooledConnection },
}

/// Time after the deadline of a call at which its streamed answer is cut. Upstreams end their work at
/// the deadline, so that the end of an answer in time may still be in transit.
const STREAM_GRACE: Duration = Duration::from_millis(200);

/// Body of a response.
#[derive(Default)]
pub(crate) struct AnswerBody {
    buffered: Option<Bytes>,
    stream: Option<AnswerStream>,
}

/// Rest of a body that is being received.
struct AnswerStream {
    state: Arc<Mutex<StreamState>>,
    /// Cuts the stream at its deadline, also while nobody polls it.
    watchdog: AbortHandle,
}

/// State that a stream shares with its watchdog.
#[derive(Default)]
struct StreamState {
    /// `None` after the end of the stream.
    source: Option<(Incoming, StreamGuard)>,
    /// Response that the stream belongs to, for the timeouts of the caller's connection.
    response: Option<ResponseInProgress>,
    /// Reports a break at the node of the caller.
    break_reporter: Option<BreakReporter>,
    waker: Option<Waker>,
}

impl StreamState {
    fn report_break(&mut self, cause: BreakCause) {
        if let Some(reporter) = self.break_reporter.take() {
            reporter.report(cause);
        }
    }
}

impl AnswerStream {
    fn lock(&self) -> MutexGuard<'_, StreamState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn size_hint(&self) -> SizeHint {
        let state = self.lock();
        state.source.as_ref().map_or_else(SizeHint::default, |(stream, _)| stream.size_hint())
    }
}

impl Drop for AnswerStream {
    fn drop(&mut self) {
        self.watchdog.abort();
        // The aborted task may keep the state for a while.
        let mut state = std::mem::take(&mut *self.lock());
        match state.source.take() {
            // `hyper` does not poll a body of known length beyond its last byte.
            Some((source, guard)) if source.is_end_stream() => guard.finish(),
            Some(_) => state.report_break(BreakCause::CallerLeft),
            None => {}
        }
    }
}

/// Ends a stream at its deadline.
async fn cut_at(deadline: Instant, state: Arc<Mutex<StreamState>>) {
    tokio::time::sleep_until(deadline).await;
    let mut state = std::mem::take(&mut *state.lock().unwrap_or_else(PoisonError::into_inner));
    state.report_break(BreakCause::Deadline);
    drop(state.source);
    if let Some(waker) = state.waker {
        waker.wake();
    }
    // The connection may be blocked in a write, so that it does not poll the body.
    if let Some(response) = state.response {
        response.cut();
    }
}

impl AnswerBody {
    /// Returns whether the complete body is buffered.
    pub(crate) fn is_buffered(&self) -> bool {
        self.stream.is_none()
    }

    pub(crate) fn buffered(bytes: impl Into<Bytes>) -> Self {
        Self { buffered: Some(bytes.into()), stream: None }
    }

    /// Returns a body that begins with `buffered` and is cut if it does not end in `remaining`, the
    /// time to the deadline of the call, and a short grace time.
    pub(crate) fn streaming(
        buffered: Bytes,
        stream: Incoming,
        guard: StreamGuard,
        remaining: Duration,
    ) -> Self {
        let state = StreamState { source: Some((stream, guard)), ..StreamState::default() };
        let state = Arc::new(Mutex::new(state));
        let deadline = Instant::now() + remaining + STREAM_GRACE;
        let watchdog = tokio::spawn(cut_at(deadline, Arc::clone(&state))).abort_handle();
        Self { buffered: Some(buffered), stream: Some(AnswerStream { state, watchdog }) }
    }

    /// Reports if the body is streamed and breaks.
    pub(crate) fn report_break_to(&self, reporter: BreakReporter) {
        if let Some(stream) = &self.stream {
            stream.lock().break_reporter = Some(reporter);
        }
    }

    /// Keeps `response` until the body was received, if it is streamed.
    pub(crate) fn hold_until_received(&self, response: ResponseInProgress) {
        if let Some(stream) = &self.stream {
            stream.lock().response = Some(response);
        }
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let body = self.get_mut();
        if let Some(buffered) = body.buffered.take().filter(|buffered| !buffered.is_empty()) {
            return Poll::Ready(Some(Ok(Frame::data(buffered))));
        }
        let Some(stream) = &body.stream else { return Poll::Ready(None) };
        let mut state = stream.lock();
        let Some((source, _)) = &mut state.source else {
            return Poll::Ready(Some(Err(BodyError::DeadlineExceeded)));
        };
        let Poll::Ready(frame) = Pin::new(source).poll_frame(cx) else {
            state.waker = Some(cx.waker().clone());
            return Poll::Pending;
        };
        if matches!(frame, Some(Ok(_))) {
            return Poll::Ready(frame.map(|frame| frame.map_err(BodyError::from)));
        }
        let ended = state.source.take();
        if frame.is_some() {
            state.report_break(BreakCause::ConnectionLost);
        }
        drop(state);
        body.stream = None;
        if let Some((_, guard)) = ended {
            match frame {
                None => guard.finish(),
                Some(_) => guard.finish_broken(),
            }
        }
        Poll::Ready(frame.map(|frame| frame.map_err(BodyError::from)))
    }

    fn is_end_stream(&self) -> bool {
        self.buffered.as_ref().is_none_or(Bytes::is_empty) && self.stream.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        total_size(self.buffered.as_ref(), self.stream.as_ref().map(AnswerStream::size_hint))
    }
}

impl StreamGuard {
    /// Returns the connection to the pool after the complete body was read.
    fn finish(self) {
        match self {
            StreamGuard::Upstream { connection, run, .. } => {
                run.finish_answered(connection.opened_us());
                connection.return_to_pool();
            }
            StreamGuard::Peer { connection } => connection.return_to_pool(),
        }
    }

    /// Records that the connection broke before the end of the body.
    fn finish_broken(self) {
        if let StreamGuard::Upstream { run, .. } = self {
            drop(run.finish_broken());
        }
    }
}

/// Returns the exact size of the buffered and streamed parts together if it is known.
fn total_size(buffered: Option<&Bytes>, stream: Option<SizeHint>) -> SizeHint {
    let buffered = buffered.map_or(0, Bytes::len) as u64;
    match stream.map(|stream| stream.exact()) {
        None => SizeHint::with_exact(buffered),
        Some(Some(exact)) => SizeHint::with_exact(buffered + exact),
        Some(None) => SizeHint::default(),
    }
}

/// Reads a body up to [`MAX_BUFFERED_BYTES`]. Returns the bytes and whether the body is complete.
pub(crate) async fn read_buffered(incoming: &mut Incoming) -> Result<(Bytes, bool), hyper::Error> {
    let mut first_chunk = Bytes::new();
    let mut joined = BytesMut::new();
    loop {
        let Some(frame) = incoming.frame().await else { break };
        let Ok(chunk) = frame?.into_data() else { continue };
        match (first_chunk.is_empty(), joined.is_empty()) {
            (true, true) => first_chunk = chunk,
            (_, true) => {
                joined.extend_from_slice(&first_chunk);
                joined.extend_from_slice(&chunk);
            }
            _ => joined.extend_from_slice(&chunk),
        }
        if first_chunk.len().max(joined.len()) >= MAX_BUFFERED_BYTES {
            let buffered = if joined.is_empty() { first_chunk } else { joined.freeze() };
            return Ok((buffered, incoming.is_end_stream()));
        }
    }
    Ok((if joined.is_empty() { first_chunk } else { joined.freeze() }, true))
}

//! Bodies of calls and answers. Small bodies are buffered; large ones are streamed.

use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body::{Body, Frame, SizeHint};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use quick_error::quick_error;
use rpc::{AnswerFrame, ForwardFrame};
use tokio::time::{Instant, Sleep};
use tokio_stream::Stream;
use tonic::Streaming;

use crate::answer::AnswerGuard;

/// Maximum size of a body that is buffered, so that it can be sent again, in bytes.
pub(crate) const MAX_BUFFERED_BYTES: usize = 64 * 1024;

/// Maximum number of bytes of a refused body that are read before the answer is sent.
const MAX_DISCARDED_BYTES: usize = 16 * 1024 * 1024;
/// Time after the deadline of a call at which its streamed answer is cut. Upstreams end their work at
/// the deadline, so that the end of an answer in time may still be in transit.
const STREAM_GRACE: Duration = Duration::from_millis(200);
/// Maximum time for which a refused body is read.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);

quick_error! {
    /// Failure to read a complete body.
    #[derive(Debug)]
    pub enum BodyError {
        /// The HTTP connection failed.
        Connection(source: hyper::Error) {
            display("body connection failed: {}", source)
            from()
        }
        /// The stream from the peer node failed.
        Peer(status: Box<tonic::Status>) {
            display("peer stream failed: {}", status.message())
        }
        /// The body ended before its declared length.
        Truncated {
            display("the body ended early")
        }
        /// The body exceeds the size limit of its route.
        TooLarge {
            display("the body exceeds the size limit")
        }
        /// The body did not end before the deadline of the call.
        DeadlineExceeded {
            display("the body did not end before the deadline")
        }
    }
}

/// Body of a call to an upstream: complete, or a buffered beginning and the rest as a stream.
pub(crate) enum CallBody {
    Buffered(Bytes),
    Stream { buffered: Bytes, rest: Box<CallStream> },
}

/// Part of a call's body that has not been received yet.
pub(crate) enum CallStream {
    /// The rest arrives on the HTTP connection from a caller or the local upstream and may have up
    /// to `allowed_bytes`.
    Http { body: Incoming, allowed_bytes: u64 },
    /// The rest arrives as frames from another node.
    Peer { frames: Streaming<ForwardFrame>, received_bytes: u64, is_done: bool },
}

impl CallBody {
    /// Reads a body as [`Self::read`] does, for at most this time.
    pub(crate) async fn read_in_time(
        body: Incoming,
        max_bytes: u64,
        max_time: Duration,
    ) -> Result<Self, BodyError> {
        let read = tokio::time::timeout(max_time, Self::read(body, max_bytes)).await;
        read.unwrap_or(Err(BodyError::DeadlineExceeded))
    }

    /// Reads a body until it ends or exceeds [`MAX_BUFFERED_BYTES`]; the rest is streamed.
    async fn read(mut body: Incoming, max_bytes: u64) -> Result<Self, BodyError> {
        if body.size_hint().lower() > max_bytes {
            discard(body).await;
            return Err(BodyError::TooLarge);
        }
        let mut buffered = BytesMut::new();
        while buffered.len() <= MAX_BUFFERED_BYTES {
            let Some(frame) = body.frame().await else {
                return Ok(Self::Buffered(buffered.freeze()));
            };
            if let Ok(chunk) = frame?.into_data() {
                buffered.extend_from_slice(&chunk);
            }
            if buffered.len() as u64 > max_bytes {
                discard(body).await;
                return Err(BodyError::TooLarge);
            }
        }
        let allowed_bytes = max_bytes - buffered.len() as u64;
        let rest = Box::new(CallStream::Http { body, allowed_bytes });
        Ok(Self::Stream { buffered: buffered.freeze(), rest })
    }

    /// Returns the buffered part of the body.
    pub(crate) fn buffered(&self) -> &Bytes {
        match self {
            CallBody::Buffered(bytes) | CallBody::Stream { buffered: bytes, .. } => bytes,
        }
    }

    /// Returns a copy of the body, if it is buffered completely.
    pub(crate) fn try_clone(&self) -> Option<Self> {
        match self {
            CallBody::Buffered(bytes) => Some(CallBody::Buffered(bytes.clone())),
            CallBody::Stream { .. } => None,
        }
    }
}

/// Reads the rest of a refused body, within limits.
///
/// A caller that is still sending does not read its answer yet.
async fn discard(mut body: Incoming) {
    let read = async {
        let mut remaining_bytes = MAX_DISCARDED_BYTES;
        while let Some(Ok(frame)) = body.frame().await {
            let length = frame.data_ref().map_or(0, Bytes::len);
            let Some(remaining) = remaining_bytes.checked_sub(length) else { return };
            remaining_bytes = remaining;
        }
    };
    // A caller that exceeds one of the limits gets a closed connection.
    let _ = tokio::time::timeout(DISCARD_TIMEOUT, read).await;
}

impl CallStream {
    pub(crate) fn poll_chunk(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, BodyError>>> {
        match self {
            CallStream::Http { body, allowed_bytes } => loop {
                let Some(frame) = ready!(Pin::new(&mut *body).poll_frame(cx)) else {
                    return Poll::Ready(None);
                };
                let Ok(chunk) = frame?.into_data() else {
                    continue;
                };
                let Some(remaining) = allowed_bytes.checked_sub(chunk.len() as u64) else {
                    return Poll::Ready(Some(Err(BodyError::TooLarge)));
                };
                *allowed_bytes = remaining;
                return Poll::Ready(Some(Ok(chunk)));
            },
            CallStream::Peer { is_done: true, .. } => Poll::Ready(None),
            CallStream::Peer { frames, received_bytes, is_done } => {
                let frame = match ready!(Pin::new(frames).poll_next(cx)) {
                    Some(Ok(frame)) => frame,
                    Some(Err(status)) => {
                        return Poll::Ready(Some(Err(BodyError::Peer(Box::new(status)))));
                    }
                    None => return Poll::Ready(Some(Err(BodyError::Truncated))),
                };
                *received_bytes += frame.chunk.len() as u64;
                if let Some(end) = frame.end {
                    *is_done = true;
                    if end.body_bytes != *received_bytes {
                        return Poll::Ready(Some(Err(BodyError::Truncated)));
                    }
                }
                Poll::Ready(Some(Ok(frame.chunk)))
            }
        }
    }

    pub(crate) async fn next_chunk(&mut self) -> Option<Result<Bytes, BodyError>> {
        std::future::poll_fn(|cx| self.poll_chunk(cx)).await
    }
}

/// Body of an HTTP request to the local upstream.
pub(crate) enum UpstreamRequestBody {
    Buffered(Option<Bytes>),
    Stream { buffered: Option<Bytes>, rest: Box<CallStream> },
}

impl From<CallBody> for UpstreamRequestBody {
    fn from(body: CallBody) -> Self {
        match body {
            CallBody::Buffered(bytes) => Self::Buffered((!bytes.is_empty()).then_some(bytes)),
            CallBody::Stream { buffered, rest } => Self::Stream { buffered: Some(buffered), rest },
        }
    }
}

impl Body for UpstreamRequestBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match self.get_mut() {
            Self::Buffered(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Stream { buffered, rest } => match buffered.take() {
                Some(buffered) => Poll::Ready(Some(Ok(Frame::data(buffered)))),
                None => rest.poll_chunk(cx).map(|chunk| chunk.map(|c| c.map(Frame::data))),
            },
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Buffered(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Self::Stream { .. } => SizeHint::default(),
        }
    }
}

/// Body of an answer: complete, or a buffered beginning and the rest as a stream.
pub(crate) enum AnswerBody {
    Buffered(Option<Bytes>),
    Stream {
        buffered: Option<Bytes>,
        rest: Box<AnswerStream>,
        guard: AnswerGuard,
        cut: Pin<Box<Sleep>>,
    },
}

/// Part of an answer's body that has not been received yet.
pub(crate) enum AnswerStream {
    Upstream(Incoming),
    Peer { frames: Streaming<AnswerFrame>, received_bytes: u64 },
}

impl AnswerBody {
    pub(crate) fn buffered(bytes: Bytes) -> Self {
        Self::Buffered((!bytes.is_empty()).then_some(bytes))
    }

    /// Returns a body that is cut if it does not end before the deadline of the call and a short grace
    /// time.
    pub(crate) fn streaming(
        buffered: Bytes,
        rest: AnswerStream,
        guard: AnswerGuard,
        deadline: Instant,
    ) -> Self {
        let cut = Box::pin(tokio::time::sleep_until(deadline + STREAM_GRACE));
        Self::Stream { buffered: Some(buffered), rest: Box::new(rest), guard, cut }
    }

    /// Returns the complete body, if it is buffered.
    pub(crate) fn buffered_bytes(&self) -> Option<Bytes> {
        match self {
            AnswerBody::Buffered(bytes) => Some(bytes.clone().unwrap_or_default()),
            AnswerBody::Stream { .. } => None,
        }
    }

    fn poll_chunk(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyError>>> {
        match self {
            Self::Buffered(bytes) => Poll::Ready(bytes.take().map(Ok)),
            Self::Stream { buffered, rest, guard, cut } => match buffered.take() {
                Some(buffered) => Poll::Ready(Some(Ok(buffered))),
                None if cut.as_mut().poll(cx).is_ready() => {
                    Poll::Ready(Some(Err(BodyError::DeadlineExceeded)))
                }
                None => rest.poll_chunk(cx, guard),
            },
        }
    }

    pub(crate) async fn next_chunk(&mut self) -> Option<Result<Bytes, BodyError>> {
        std::future::poll_fn(|cx| self.poll_chunk(cx)).await
    }
}

impl AnswerStream {
    fn poll_chunk(
        &mut self,
        cx: &mut Context<'_>,
        guard: &mut AnswerGuard,
    ) -> Poll<Option<Result<Bytes, BodyError>>> {
        match self {
            Self::Upstream(body) => loop {
                let Some(frame) = ready!(Pin::new(&mut *body).poll_frame(cx)) else {
                    guard.finish_upstream();
                    return Poll::Ready(None);
                };
                if let Ok(chunk) = frame?.into_data() {
                    return Poll::Ready(Some(Ok(chunk)));
                }
            },
            Self::Peer { frames, received_bytes } => {
                let frame = match ready!(Pin::new(frames).poll_next(cx)) {
                    Some(Ok(frame)) => frame,
                    Some(Err(status)) => {
                        return Poll::Ready(Some(Err(BodyError::Peer(Box::new(status)))));
                    }
                    None => return Poll::Ready(Some(Err(BodyError::Truncated))),
                };
                *received_bytes += frame.chunk.len() as u64;
                let Some(end) = frame.end else {
                    return Poll::Ready(Some(Ok(frame.chunk)));
                };
                if end.body_bytes != *received_bytes {
                    return Poll::Ready(Some(Err(BodyError::Truncated)));
                }
                guard.finish_peer(end.unspent_allowance);
                // The frame that ends the body carries no data.
                Poll::Ready(None)
            }
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
        self.get_mut().poll_chunk(cx).map(|chunk| chunk.map(|c| c.map(Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Buffered(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Self::Stream { .. } => SizeHint::default(),
        }
    }
}

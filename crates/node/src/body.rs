//! Bodies of calls and answers. Small ones are held whole; large ones stream.

use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body::{Body, Frame, SizeHint};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use quick_error::quick_error;
use rpc::{AnswerFrame, ForwardFrame};
use tokio_stream::Stream;
use tonic::Streaming;

use crate::answer::AnswerGuard;

/// Bodies up to this size are held whole, so that they can be sent again.
pub(crate) const MAX_HELD_BYTES: usize = 64 * 1024;

/// Most bytes of a refused body that are read before the answer.
const MAX_DISCARDED_BYTES: usize = 16 * 1024 * 1024;
/// Longest time for which a refused body is read.
const DISCARD_LIMIT: Duration = Duration::from_secs(2);

quick_error! {
    /// A body that did not arrive whole.
    #[derive(Debug)]
    pub enum BodyError {
        /// The connection failed.
        Connection(source: hyper::Error) {
            display("body connection failed: {}", source)
            from()
        }
        /// The peer's stream failed.
        Peer(status: Box<tonic::Status>) {
            display("peer stream failed: {}", status.message())
        }
        /// The body ended early.
        Truncated {
            display("the body ended early")
        }
        /// The body is larger than its route allows.
        TooLarge {
            display("the body is too large")
        }
    }
}

/// Body of a call on its way to an upstream.
pub(crate) enum CallBody {
    Full(Bytes),
    Stream { held: Bytes, rest: Box<CallStream> },
}

/// The part of a call's body that has not arrived yet.
pub(crate) enum CallStream {
    Caller { body: Incoming, left_bytes: u64 },
    Peer { frames: Streaming<ForwardFrame>, seen_bytes: u64, is_done: bool },
}

impl CallBody {
    /// Reads a caller's body until it ends or is too large to hold.
    pub(crate) async fn read(mut body: Incoming, max_bytes: u64) -> Result<Self, BodyError> {
        if body.size_hint().lower() > max_bytes {
            discard(body).await;
            return Err(BodyError::TooLarge);
        }
        let mut held = BytesMut::new();
        while held.len() <= MAX_HELD_BYTES {
            let Some(frame) = body.frame().await else {
                return Ok(Self::Full(held.freeze()));
            };
            if let Ok(chunk) = frame?.into_data() {
                held.extend_from_slice(&chunk);
            }
            if held.len() as u64 > max_bytes {
                discard(body).await;
                return Err(BodyError::TooLarge);
            }
        }
        let left_bytes = max_bytes - held.len() as u64;
        let rest = Box::new(CallStream::Caller { body, left_bytes });
        Ok(Self::Stream { held: held.freeze(), rest })
    }

    /// Returns the part that is held, for digests.
    pub(crate) fn held(&self) -> &Bytes {
        match self {
            CallBody::Full(bytes) | CallBody::Stream { held: bytes, .. } => bytes,
        }
    }

    /// Returns a second body of the same content, if the whole content is held.
    pub(crate) fn replay(&self) -> Option<Self> {
        match self {
            CallBody::Full(bytes) => Some(CallBody::Full(bytes.clone())),
            CallBody::Stream { .. } => None,
        }
    }
}

/// Reads on for a while, since a caller that is still sending does not see its answer.
async fn discard(mut body: Incoming) {
    let read = async {
        let mut left_bytes = MAX_DISCARDED_BYTES;
        while let Some(Ok(frame)) = body.frame().await {
            let length = frame.data_ref().map_or(0, Bytes::len);
            let Some(left) = left_bytes.checked_sub(length) else { return };
            left_bytes = left;
        }
    };
    // Whoever sends more or more slowly finds the connection closed.
    let _ = tokio::time::timeout(DISCARD_LIMIT, read).await;
}

impl CallStream {
    pub(crate) fn poll_chunk(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, BodyError>>> {
        match self {
            CallStream::Caller { body, left_bytes } => loop {
                let Some(frame) = ready!(Pin::new(&mut *body).poll_frame(cx)) else {
                    return Poll::Ready(None);
                };
                let Ok(chunk) = frame?.into_data() else {
                    continue;
                };
                let Some(left) = left_bytes.checked_sub(chunk.len() as u64) else {
                    return Poll::Ready(Some(Err(BodyError::TooLarge)));
                };
                *left_bytes = left;
                return Poll::Ready(Some(Ok(chunk)));
            },
            CallStream::Peer { is_done: true, .. } => Poll::Ready(None),
            CallStream::Peer { frames, seen_bytes, is_done } => {
                let frame = match ready!(Pin::new(frames).poll_next(cx)) {
                    Some(Ok(frame)) => frame,
                    Some(Err(status)) => {
                        return Poll::Ready(Some(Err(BodyError::Peer(Box::new(status)))));
                    }
                    None => return Poll::Ready(Some(Err(BodyError::Truncated))),
                };
                *seen_bytes += frame.chunk.len() as u64;
                if let Some(end) = frame.end {
                    *is_done = true;
                    if end.body_bytes != *seen_bytes {
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

/// Body of a request to the upstream beside the node.
pub(crate) enum UpstreamRequestBody {
    Full(Option<Bytes>),
    Stream { held: Option<Bytes>, rest: Box<CallStream> },
}

impl From<CallBody> for UpstreamRequestBody {
    fn from(body: CallBody) -> Self {
        match body {
            CallBody::Full(bytes) => Self::Full((!bytes.is_empty()).then_some(bytes)),
            CallBody::Stream { held, rest } => Self::Stream { held: Some(held), rest },
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
            Self::Full(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Stream { held, rest } => match held.take() {
                Some(held) => Poll::Ready(Some(Ok(Frame::data(held)))),
                None => rest.poll_chunk(cx).map(|chunk| chunk.map(|c| c.map(Frame::data))),
            },
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Full(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Self::Stream { .. } => SizeHint::default(),
        }
    }
}

/// Body of an answer on its way back.
pub(crate) enum AnswerBody {
    Full(Option<Bytes>),
    Stream { held: Option<Bytes>, rest: Box<AnswerStream>, guard: AnswerGuard },
}

/// The part of an answer that has not arrived yet.
pub(crate) enum AnswerStream {
    Upstream(Incoming),
    Peer { frames: Streaming<AnswerFrame>, seen_bytes: u64 },
}

impl AnswerBody {
    pub(crate) fn full(bytes: Bytes) -> Self {
        Self::Full((!bytes.is_empty()).then_some(bytes))
    }

    /// Returns the whole content, if it is held.
    pub(crate) fn whole(&self) -> Option<Bytes> {
        match self {
            AnswerBody::Full(bytes) => Some(bytes.clone().unwrap_or_default()),
            AnswerBody::Stream { .. } => None,
        }
    }

    fn poll_chunk(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyError>>> {
        match self {
            Self::Full(bytes) => Poll::Ready(bytes.take().map(Ok)),
            Self::Stream { held, rest, guard } => match held.take() {
                Some(held) => Poll::Ready(Some(Ok(held))),
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
            Self::Peer { frames, seen_bytes } => {
                let frame = match ready!(Pin::new(frames).poll_next(cx)) {
                    Some(Ok(frame)) => frame,
                    Some(Err(status)) => {
                        return Poll::Ready(Some(Err(BodyError::Peer(Box::new(status)))));
                    }
                    None => return Poll::Ready(Some(Err(BodyError::Truncated))),
                };
                *seen_bytes += frame.chunk.len() as u64;
                let Some(end) = frame.end else {
                    return Poll::Ready(Some(Ok(frame.chunk)));
                };
                if end.body_bytes != *seen_bytes {
                    return Poll::Ready(Some(Err(BodyError::Truncated)));
                }
                guard.finish_peer(end.unspent_allowance);
                // The end comes in a frame of its own.
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
        matches!(self, Self::Full(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Self::Stream { .. } => SizeHint::default(),
        }
    }
}

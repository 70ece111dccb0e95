//! Bodies of calls and answers: small ones are held whole, large ones stream.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::{Bytes, BytesMut};
use http_body::{Body, Frame, SizeHint};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use quick_error::quick_error;

use crate::gate::Permit;
use crate::links::Lease;

/// Bodies up to this size are held whole, so that they can be sent again. Bounds the memory of a call.
pub(crate) const MAX_HELD_BYTES: usize = 64 * 1024;

quick_error! {
    /// A body that did not arrive whole.
    #[derive(Debug)]
    pub enum BodyError {
        /// The sender closed or reset the connection early.
        Transport(source: hyper::Error) {
            display("{}", source)
            from()
        }
        /// The body is larger than allowed.
        TooLarge {
            display("the body is larger than allowed")
        }
    }
}

/// Body of a call.
#[derive(Debug, Default)]
pub(crate) struct CallBody {
    held: Option<Bytes>,
    rest: Option<Incoming>,
    /// Bytes that may still follow.
    allowed_bytes: u64,
}

impl CallBody {
    /// Reads the beginning of a body, all of it if it is small.
    pub(crate) async fn read(from: Option<Incoming>, max_bytes: u64) -> Result<Self, BodyError> {
        let Some(mut from) = from else { return Ok(Self::default()) };
        if from.size_hint().lower() > max_bytes {
            return Err(BodyError::TooLarge);
        }
        let (held, is_whole) = read_up_to(&mut from).await?;
        let allowed_bytes = max_bytes.saturating_sub(held.len() as u64);
        if held.len() as u64 > max_bytes {
            return Err(BodyError::TooLarge);
        }
        let rest = (!is_whole).then_some(from);
        Ok(Self { held: (!held.is_empty()).then_some(held), rest, allowed_bytes })
    }

    /// Returns a second copy, unless part of the body streams.
    pub(crate) fn replay(&self) -> Option<Self> {
        match self.rest {
            Some(_) => None,
            None => Some(Self { held: self.held.clone(), rest: None, allowed_bytes: 0 }),
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
        if let Some(held) = body.held.take() {
            return Poll::Ready(Some(Ok(Frame::data(held))));
        }
        let Some(rest) = &mut body.rest else { return Poll::Ready(None) };
        let Some(frame) = ready!(Pin::new(rest).poll_frame(cx)) else { return Poll::Ready(None) };
        let frame = frame?;
        let length = frame.data_ref().map_or(0, Bytes::len) as u64;
        let Some(left) = body.allowed_bytes.checked_sub(length) else {
            return Poll::Ready(Some(Err(BodyError::TooLarge)));
        };
        body.allowed_bytes = left;
        Poll::Ready(Some(Ok(frame)))
    }

    fn is_end_stream(&self) -> bool {
        self.held.is_none() && self.rest.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        whole_size(self.held.as_ref(), self.rest.as_ref())
    }
}

/// What an answer's streaming body keeps until it ends.
pub(crate) enum StreamGuard {
    /// Slot and connection of a call to the upstream beside the node.
    Upstream { _permit: Permit, lease: Lease },
    /// Connection to another node.
    Peer { lease: Lease },
}

/// Body of an answer.
#[derive(Default)]
pub(crate) struct AnswerBody {
    held: Option<Bytes>,
    rest: Option<(Incoming, StreamGuard)>,
}

impl AnswerBody {
    /// Returns whether nothing of the body streams.
    pub(crate) fn is_held(&self) -> bool {
        self.rest.is_none()
    }

    pub(crate) fn full(bytes: impl Into<Bytes>) -> Self {
        Self { held: Some(bytes.into()), rest: None }
    }

    pub(crate) fn streaming(held: Bytes, rest: Incoming, guard: StreamGuard) -> Self {
        Self { held: Some(held), rest: Some((rest, guard)) }
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
        if let Some(held) = body.held.take().filter(|held| !held.is_empty()) {
            return Poll::Ready(Some(Ok(Frame::data(held))));
        }
        let Some((rest, _)) = &mut body.rest else { return Poll::Ready(None) };
        let frame = ready!(Pin::new(rest).poll_frame(cx));
        if frame.is_none()
            && let Some((_, guard)) = body.rest.take()
        {
            guard.finish();
        }
        Poll::Ready(frame.map(|frame| frame.map_err(BodyError::from)))
    }

    fn is_end_stream(&self) -> bool {
        self.held.as_ref().is_none_or(Bytes::is_empty) && self.rest.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        whole_size(self.held.as_ref(), self.rest.as_ref().map(|(rest, _)| rest))
    }
}

impl StreamGuard {
    /// Gives the connection back after the whole body was read.
    fn finish(self) {
        match self {
            StreamGuard::Upstream { lease, .. } | StreamGuard::Peer { lease } => lease.give_back(),
        }
    }
}

/// Returns the size of what is held and what follows, if that is known.
fn whole_size(held: Option<&Bytes>, rest: Option<&Incoming>) -> SizeHint {
    let held = held.map_or(0, Bytes::len) as u64;
    match rest.map(|rest| rest.size_hint().exact()) {
        None => SizeHint::with_exact(held),
        Some(Some(exact)) => SizeHint::with_exact(held + exact),
        Some(None) => SizeHint::default(),
    }
}

/// Reads a body up to the held size. Returns whether that was all of it.
pub(crate) async fn read_up_to(from: &mut Incoming) -> Result<(Bytes, bool), hyper::Error> {
    let mut first = Bytes::new();
    let mut more = BytesMut::new();
    loop {
        let Some(frame) = from.frame().await else { break };
        let Ok(chunk) = frame?.into_data() else { continue };
        match (first.is_empty(), more.is_empty()) {
            (true, true) => first = chunk,
            (_, true) => {
                more.extend_from_slice(&first);
                more.extend_from_slice(&chunk);
            }
            _ => more.extend_from_slice(&chunk),
        }
        if first.len().max(more.len()) >= MAX_HELD_BYTES {
            let held = if more.is_empty() { first } else { more.freeze() };
            return Ok((held, from.is_end_stream()));
        }
    }
    Ok((if more.is_empty() { first } else { more.freeze() }, true))
}

//! Connection to an upstream or another node, with the limits of the call on it.
//!
//! `hyper` limits the size of a head, but skips any number of informational answers before it.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::tcp_timeouts::{self, Receiver};

/// Maximum number of bytes received between a call and the end of the head of its answer, the
/// bytes of the body that arrive together with the head included.
const MAX_BYTES_BEFORE_ANSWER: u64 = 512 * 1024;
/// Budget while the body of an answer is read, which other limits bound.
const UNLIMITED: u64 = u64::MAX;

/// Maximum size of a request that fits the receive window of an upstream that reads nothing, in bytes.
const MAX_PROMPT_BYTES: u64 = 16 * 1024;

/// Limits of the call on a connection. Shared by the connection and its user.
#[derive(Debug, Clone)]
pub(crate) struct CallLimits(Arc<LimitState>);

#[derive(Debug)]
struct LimitState {
    /// Bytes that the connection may still receive.
    budget_bytes: AtomicU64,
    /// Whether the peer may pause in reading the request.
    may_pause: AtomicBool,
}

impl CallLimits {
    pub(crate) fn new() -> Self {
        Self(Arc::new(LimitState {
            budget_bytes: AtomicU64::new(MAX_BYTES_BEFORE_ANSWER),
            may_pause: AtomicBool::new(false),
        }))
    }

    /// Begins a call whose request has a body of this size in bytes, `None` if it is unknown. Limits
    /// the bytes up to the head of the answer.
    pub(crate) fn start_call(&self, body_bytes: Option<u64>) {
        let may_pause = body_bytes.is_none_or(|bytes| bytes > MAX_PROMPT_BYTES);
        self.0.may_pause.store(may_pause, Ordering::Relaxed);
        self.0.budget_bytes.store(MAX_BYTES_BEFORE_ANSWER, Ordering::Relaxed);
    }

    /// Ends the limit of received bytes until the next call.
    pub(crate) fn finish_head(&self) {
        self.0.budget_bytes.store(UNLIMITED, Ordering::Relaxed);
    }

    fn receiver(&self) -> Receiver {
        match self.0.may_pause.load(Ordering::Relaxed) {
            true => Receiver::MayPause,
            false => Receiver::Prompt,
        }
    }

    /// Returns whether bytes may still be received.
    fn has_budget(&self) -> bool {
        self.0.budget_bytes.load(Ordering::Relaxed) > 0
    }

    fn withdraw(&self, bytes: u64) {
        let order = Ordering::Relaxed;
        let _ = self.0.budget_bytes.fetch_update(order, order, |left| match left {
            UNLIMITED => None,
            _ => Some(left.saturating_sub(bytes)),
        });
    }
}

/// Connection whose reads fail once the budget of the call is used up.
pub(crate) struct CallStream {
    stream: TcpStream,
    limits: CallLimits,
    /// What the timeouts of the connection are set for.
    receiver: Receiver,
}

impl CallStream {
    /// Wraps a connection with the timeouts for a [`Receiver::Prompt`].
    pub(crate) fn new(stream: TcpStream, limits: CallLimits) -> Self {
        Self { stream, limits, receiver: Receiver::Prompt }
    }

    /// Sets the timeouts that the call needs. Returns the connection.
    fn prepare_write(&mut self) -> Pin<&mut TcpStream> {
        let receiver = self.limits.receiver();
        if receiver != self.receiver {
            tcp_timeouts::set_receiver(&self.stream, receiver);
            self.receiver = receiver;
        }
        Pin::new(&mut self.stream)
    }
}

impl Drop for CallStream {
    fn drop(&mut self) {
        if self.receiver == Receiver::MayPause {
            tcp_timeouts::stop_delivery(&self.stream);
        }
    }
}

impl AsyncRead for CallStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        if !this.limits.has_budget() {
            return Poll::Ready(Err(io::ErrorKind::FileTooLarge.into()));
        }
        let before = buffer.filled().len();
        ready!(Pin::new(&mut this.stream).poll_read(cx, buffer))?;
        this.limits.withdraw((buffer.filled().len() - before) as u64);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for CallStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.get_mut().prepare_write().poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.get_mut().prepare_write().poll_write_vectored(cx, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(cx)
    }
}

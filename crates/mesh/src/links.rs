//! Connections to other nodes and to the upstream: one call at a time on each, kept open in between.
//!
//! No call is sent twice by this module. A call that was not sent at all comes back to its sender.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use daemon::{Clock, SilenceLimits};
use http::{Request, Response};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use indexmap::IndexMap;
use policy::{US_PER_MS, US_PER_S};
use tokio::net::TcpStream;

use crate::body::CallBody;

/// Longest wait for a connection: many round trips inside a region. A VM behind a cut does not answer,
/// and another one can still be asked.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Idle time after which a connection is not used again, in microseconds. Below the idle timeouts of
/// common HTTP servers, so that a call seldom crosses their close.
const MAX_IDLE_US: u64 = 3 * US_PER_S;
/// Idle time after which a connection is not used for a call that must not run twice, in
/// microseconds. A connection that was just in use is open, and a broken one leaves the outcome open.
const MAX_IDLE_AT_MOST_ONCE_US: u64 = 300 * US_PER_MS;
/// Most idle connections kept to one address.
const MAX_IDLE_PER_ADDRESS: usize = 128;
/// Silence of a connection. Without an acknowledgement for two retransmissions it counts as broken, so that
/// one lost packet in a hundred does not end it.
pub(crate) const SILENCE: SilenceLimits = SilenceLimits {
    keepalive_time: Duration::from_secs(1),
    keepalive_interval: Duration::from_secs(1),
    keepalive_retries: 2,
    user_timeout: Duration::from_millis(750),
};

/// Which kept connections a call may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Reuse {
    /// Any that is not idle for long.
    Idle,
    /// Only one that was just in use.
    JustUsed,
}

/// A call without an answer.
pub(crate) enum LinkError {
    /// No connection could be made; nothing was sent.
    NotSent(Box<Request<CallBody>>),
    /// The connection broke after the call may have been sent.
    Broken,
}

struct Idle {
    sender: SendRequest<CallBody>,
    since_us: u64,
}

/// Kept connections by address.
#[derive(Clone)]
pub(crate) struct Links {
    clock: Clock,
    idle: Arc<Mutex<IndexMap<SocketAddr, Vec<Idle>>>>,
}

/// A connection in use. Dropping it closes the connection, which cancels the call on it.
pub(crate) struct Lease {
    links: Links,
    address: SocketAddr,
    sender: SendRequest<CallBody>,
}

impl Lease {
    /// Keeps the connection for the next call, after the whole answer was read.
    pub(crate) fn give_back(self) {
        if self.sender.is_closed() {
            return;
        }
        let since_us = self.links.clock.now_us();
        let mut idle = self.links.lock();
        let kept = idle.entry(self.address).or_default();
        kept.retain(|idle| since_us.saturating_sub(idle.since_us) < MAX_IDLE_US);
        if kept.len() < MAX_IDLE_PER_ADDRESS {
            kept.push(Idle { sender: self.sender, since_us });
        }
    }
}

impl Links {
    pub(crate) fn new(clock: Clock) -> Self {
        Self { clock, idle: Arc::default() }
    }

    /// Closes the kept connections to an address.
    pub(crate) fn forget(&self, address: SocketAddr) {
        self.lock().swap_remove(&address);
    }

    /// Sends a call and waits for the head of its answer. Dropping the future cancels the call.
    pub(crate) async fn send(
        &self,
        address: SocketAddr,
        request: Request<CallBody>,
        reuse: Reuse,
    ) -> Result<(Response<Incoming>, Lease), LinkError> {
        let mut request = request;
        while let Some(sender) = self.take_idle(address, reuse).await {
            match self.send_on(address, sender, request).await {
                Err(LinkError::NotSent(unsent)) => request = *unsent,
                result => return result,
            }
        }
        match connect(address).await {
            Some(sender) => self.send_on(address, sender, request).await,
            None => Err(LinkError::NotSent(Box::new(request))),
        }
    }

    async fn send_on(
        &self,
        address: SocketAddr,
        mut sender: SendRequest<CallBody>,
        request: Request<CallBody>,
    ) -> Result<(Response<Incoming>, Lease), LinkError> {
        match sender.try_send_request(request).await {
            Ok(response) => Ok((response, Lease { links: self.clone(), address, sender })),
            Err(mut error) => Err(match error.take_message() {
                Some(request) => LinkError::NotSent(Box::new(request)),
                None => LinkError::Broken,
            }),
        }
    }

    async fn take_idle(&self, address: SocketAddr, reuse: Reuse) -> Option<SendRequest<CallBody>> {
        let max_idle_us = match reuse {
            Reuse::Idle => MAX_IDLE_US,
            Reuse::JustUsed => MAX_IDLE_AT_MOST_ONCE_US,
        };
        loop {
            let now_us = self.clock.now_us();
            let mut idle = {
                let mut kept = self.lock();
                let kept = kept.get_mut(&address)?;
                let newest = kept.last()?;
                if now_us.saturating_sub(newest.since_us) > max_idle_us {
                    return None;
                }
                kept.pop()?
            };
            // Ready once the connection's task has seen the end of the last answer.
            if !idle.sender.is_closed() && idle.sender.ready().await.is_ok() {
                return Some(idle.sender);
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, IndexMap<SocketAddr, Vec<Idle>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn connect(address: SocketAddr) -> Option<SendRequest<CallBody>> {
    let opened = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let stream = opened.ok()?.ok()?;
    SILENCE.apply(&stream);
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(async move {
        // The sender learns of the failure by itself.
        let _ = connection.await;
    });
    Some(sender)
}

//! Pool of HTTP/1.1 client connections to other nodes and to the upstream, one call at a time on
//! each.
//!
//! The pool never sends a call twice. If a call was not sent, the error contains it, so that it can
//! be sent elsewhere.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use daemon::Clock;
use http::{HeaderMap, HeaderValue, Request, Response};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use indexmap::IndexMap;
use policy::{US_PER_MS, US_PER_S};
use tokio::net::TcpStream;

use crate::body::CallBody;
use crate::call_stream::{CallLimits, CallStream};
use crate::tcp_timeouts;

/// Maximum time to establish a connection, many times the round-trip time within a region. A VM
/// behind a network partition does not respond, so the timeout leaves time to try another VM.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Maximum number of connections that check whether an upstream still runs.
const CHECK_ATTEMPTS: u32 = 3;
/// Time after which a new connection to an upstream that still runs is certainly open. A process
/// that dies may lose its connections shortly before its listener.
const CHECK_PERIOD: Duration = Duration::from_millis(20);
/// Maximum time for the head of the answer to a probe, which an upstream with a free slot sends at
/// once.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// Idle time after which a connection is not reused, in microseconds. Below the idle timeouts of
/// common HTTP servers, so that a call is seldom sent while the server closes the connection.
const MAX_IDLE_US: u64 = 3 * US_PER_S;
/// Idle time after which a connection is not reused for a call that must run at most once, in
/// microseconds. If a connection breaks, the outcome of such a call is unknown and it cannot be
/// retried; a recently used connection is most likely still open.
const MAX_IDLE_AT_MOST_ONCE_US: u64 = 300 * US_PER_MS;
/// Maximum size of the head of an answer, in bytes, and of the buffer of a connection.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Maximum number of refusals on a connection, after which it is closed.
const MAX_REFUSALS: usize = 64;
/// Maximum number of idle connections per address.
const MAX_IDLE_PER_ADDRESS: usize = 128;

/// Which idle connections a call may reuse.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ReusePolicy {
    /// Any connection that was idle for at most [`MAX_IDLE_US`].
    AnyIdle,
    /// Only connections that were idle for at most [`MAX_IDLE_AT_MOST_ONCE_US`].
    RecentlyUsed,
}

/// Failure to send a call or to receive the head of its response.
pub(crate) enum SendError {
    /// The request was not sent, usually because no connection could be established.
    NotSent(Box<Request<CallBody>>),
    /// The connection failed after the call may have been sent.
    Broken,
}

struct IdleConnection {
    connection: OpenConnection,
    idle_since_us: u64,
}

/// A connection that is ready for a call.
struct OpenConnection {
    sender: SendRequest<CallBody>,
    limits: CallLimits,
    opened_us: u64,
    /// Ids of the calls that were refused on the connection. A faulty upstream may send a refusal
    /// once more, which would then seem to answer a later call with the same id.
    refused_ids: Vec<HeaderValue>,
}

/// Result of a check of an address.
pub(crate) enum AddressCheck {
    /// Nothing listens at the address.
    Refused,
    /// Connections are not established, or closed or kept without an answer to the probe.
    Silent,
    /// The probe was answered with these headers, or a connection is open and there is no probe.
    Open(Option<Box<HeaderMap>>),
}

/// Idle connections by address.
#[derive(Clone)]
pub(crate) struct ConnectionPool {
    clock: Clock,
    idle: Arc<Mutex<IndexMap<SocketAddr, Vec<IdleConnection>>>>,
}

/// A connection in use. Dropping it closes the connection and so cancels the call on it.
pub(crate) struct PooledConnection {
    pool: ConnectionPool,
    address: SocketAddr,
    connection: OpenConnection,
}

impl PooledConnection {
    /// Returns the time at which the connection was opened, in microseconds.
    pub(crate) fn opened_us(&self) -> u64 {
        self.connection.opened_us
    }

    /// Returns the connection to the pool after a refusal that names the refused call. Must be called
    /// only after the complete response was read.
    pub(crate) fn return_to_pool_after_refusal(mut self, refused_id: HeaderValue) {
        if self.connection.refused_ids.len() < MAX_REFUSALS {
            self.connection.refused_ids.push(refused_id);
            self.return_to_pool();
        }
    }

    /// Returns the connection to the pool. Must be called only after the complete response was
    /// read.
    pub(crate) fn return_to_pool(self) {
        let connection = self.connection;
        if connection.sender.is_closed() {
            return;
        }
        let idle_since_us = self.pool.clock.now_us();
        let mut idle = self.pool.lock();
        let connections = idle.entry(self.address).or_default();
        connections.retain(|idle| idle_since_us.saturating_sub(idle.idle_since_us) < MAX_IDLE_US);
        if connections.len() < MAX_IDLE_PER_ADDRESS {
            connections.push(IdleConnection { connection, idle_since_us });
        }
    }
}

impl ConnectionPool {
    pub(crate) fn new(clock: Clock) -> Self {
        Self { clock, idle: Arc::default() }
    }

    /// Closes the idle connections to an address.
    pub(crate) fn close_idle(&self, address: SocketAddr) {
        self.lock().swap_remove(&address);
    }

    /// Checks whether a process still serves an address. `probe` returns a request that the process
    /// answers at any time; without one, an open connection is enough.
    pub(crate) async fn check(
        &self,
        address: SocketAddr,
        probe: impl Fn() -> Option<Request<CallBody>>,
    ) -> AddressCheck {
        for _ in 0..CHECK_ATTEMPTS {
            let mut sender = match self.connect(address).await {
                Ok(connection) => connection.sender,
                Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => {
                    return AddressCheck::Refused;
                }
                Err(error) if error.kind() == io::ErrorKind::TimedOut => {
                    return AddressCheck::Silent;
                }
                Err(_) => continue,
            };
            tokio::time::sleep(CHECK_PERIOD).await;
            if sender.is_closed() {
                continue;
            }
            let Some(request) = probe() else { return AddressCheck::Open(None) };
            match tokio::time::timeout(PROBE_TIMEOUT, sender.send_request(request)).await {
                Ok(Ok(response)) => {
                    return AddressCheck::Open(Some(Box::new(response.into_parts().0.headers)));
                }
                Ok(Err(_)) => {}
                Err(_) => return AddressCheck::Silent,
            }
        }
        AddressCheck::Silent
    }

    /// Sends a call and waits for the head of its response. Dropping the future cancels the call.
    /// Uses no connection on which a call with the same id, if there is one, was refused.
    pub(crate) async fn send(
        &self,
        address: SocketAddr,
        request: Request<CallBody>,
        reuse: ReusePolicy,
        id: Option<&HeaderValue>,
    ) -> Result<(Response<Incoming>, PooledConnection), SendError> {
        let mut request = request;
        while let Some(connection) = self.take_idle(address, reuse).await {
            if id.is_some_and(|id| connection.refused_ids.contains(id)) {
                continue;
            }
            match self.send_over(address, connection, request).await {
                Err(SendError::NotSent(unsent)) => request = *unsent,
                result => return result,
            }
        }
        match self.connect(address).await {
            Ok(connection) => self.send_over(address, connection, request).await,
            Err(_) => Err(SendError::NotSent(Box::new(request))),
        }
    }

    async fn send_over(
        &self,
        address: SocketAddr,
        mut connection: OpenConnection,
        request: Request<CallBody>,
    ) -> Result<(Response<Incoming>, PooledConnection), SendError> {
        connection.limits.start_call(request.body().size_hint().exact());
        match connection.sender.try_send_request(request).await {
            Ok(response) => {
                connection.limits.finish_head();
                Ok((response, PooledConnection { pool: self.clone(), address, connection }))
            }
            Err(mut error) => Err(match error.take_message() {
                Some(request) => SendError::NotSent(Box::new(request)),
                None => SendError::Broken,
            }),
        }
    }

    /// Takes the most recently used idle connection to an address, if the policy allows its reuse.
    async fn take_idle(&self, address: SocketAddr, reuse: ReusePolicy) -> Option<OpenConnection> {
        let max_idle_us = match reuse {
            ReusePolicy::AnyIdle => MAX_IDLE_US,
            ReusePolicy::RecentlyUsed => MAX_IDLE_AT_MOST_ONCE_US,
        };
        loop {
            let now_us = self.clock.now_us();
            let mut idle = {
                let mut connections = self.lock();
                let connections = connections.get_mut(&address)?;
                let newest = connections.last()?;
                if now_us.saturating_sub(newest.idle_since_us) > max_idle_us {
                    return None;
                }
                connections.pop()?
            };
            // The sender becomes ready when the connection task has processed the end of the last
            // response.
            let sender = &mut idle.connection.sender;
            if !sender.is_closed() && sender.ready().await.is_ok() {
                return Some(idle.connection);
            }
        }
    }

    async fn connect(&self, address: SocketAddr) -> io::Result<OpenConnection> {
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await??;
        tcp_timeouts::CLIENT_SETTINGS.apply(&stream);
        let limits = CallLimits::new();
        let stream = CallStream::new(stream, limits.clone());
        let handshake =
            http1::Builder::new().max_buf_size(MAX_HEAD_BYTES).handshake(TokioIo::new(stream));
        let (sender, connection) = handshake.await.map_err(io::Error::other)?;
        tokio::spawn(async move {
            // The request sender reports a connection failure as well.
            let _ = connection.await;
        });
        let opened_us = self.clock.now_us();
        Ok(OpenConnection { sender, limits, opened_us, refused_ids: Vec::new() })
    }

    fn lock(&self) -> MutexGuard<'_, IndexMap<SocketAddr, Vec<IdleConnection>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

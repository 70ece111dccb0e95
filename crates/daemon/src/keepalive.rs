//! Connections whose other end has gone silent.

use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// When a connection without a sign of life counts as broken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SilenceLimits {
    /// Idle time before the first probe.
    pub keepalive_time: Duration,
    /// Time between two probes.
    pub keepalive_interval: Duration,
    /// Probes without an answer after which an idle connection is broken.
    pub keepalive_retries: u32,
    /// Time after which a connection with unacknowledged bytes is broken.
    pub user_timeout: Duration,
}

impl SilenceLimits {
    /// Lets a connection send at once and end when it has gone silent.
    pub fn apply(&self, stream: &TcpStream) {
        let socket = SockRef::from(stream);
        let keepalive = TcpKeepalive::new()
            .with_time(self.keepalive_time)
            .with_interval(self.keepalive_interval)
            .with_retries(self.keepalive_retries);
        // A socket that refuses an option still works, only less well.
        let _ = stream.set_nodelay(true);
        let _ = socket.set_tcp_keepalive(&keepalive);
        let _ = socket.set_tcp_user_timeout(Some(self.user_timeout));
    }
}

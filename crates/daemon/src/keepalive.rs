//! TCP keepalive and user timeout, which detect connections whose peer no longer responds.

use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// Keepalive options and user timeout of a TCP connection, which is closed when its peer does not
/// respond.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeepaliveSettings {
    /// Idle time before the first keepalive probe.
    pub keepalive_time: Duration,
    /// Time between two keepalive probes.
    pub keepalive_interval: Duration,
    /// Number of unacknowledged keepalive probes after which an idle connection is closed.
    pub keepalive_retries: u32,
    /// Time without acknowledgement of sent bytes after which a connection is closed; `None` for the
    /// retransmission limit of the system. Time in which the receive window of the peer is closed
    /// counts, although the peer responds.
    pub user_timeout: Option<Duration>,
}

impl KeepaliveSettings {
    /// Disables Nagle's algorithm on a connection and sets the keepalive options and the user
    /// timeout.
    pub fn apply(&self, stream: &TcpStream) {
        let socket = SockRef::from(stream);
        let keepalive = TcpKeepalive::new()
            .with_time(self.keepalive_time)
            .with_interval(self.keepalive_interval)
            .with_retries(self.keepalive_retries);
        // A connection also works without these options, so errors are ignored.
        let _ = stream.set_nodelay(true);
        let _ = socket.set_tcp_keepalive(&keepalive);
        set_user_timeout(stream, self.user_timeout);
    }
}

/// Sets the user timeout of a connection; `None` for the retransmission limit of the system.
pub fn set_user_timeout(stream: &TcpStream, user_timeout: Option<Duration>) {
    // A connection also works without the option, so errors are ignored.
    let _ = SockRef::from(stream).set_tcp_user_timeout(user_timeout);
}

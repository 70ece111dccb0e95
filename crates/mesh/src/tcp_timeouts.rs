//! TCP timeouts of connections between nodes, to callers and to upstreams.
//!
//! The user timeout closes a connection whose peer does not acknowledge bytes. It also counts the
//! time in which the receive window of the peer is closed, so it applies only where the peer has no
//! reason to pause in reading.

use std::time::Duration;

use daemon::{KeepaliveSettings, set_user_timeout};
use tokio::net::TcpStream;

/// Time without acknowledgement of sent bytes after which the peer is dead. Leaves room for two
/// retransmissions, so a packet loss of one in a hundred does not close a connection.
const DEAD_PEER_TIMEOUT: Duration = Duration::from_millis(750);
/// Maximum time without progress for the delivery of bytes that were sent before a connection was
/// closed.
const MAX_DELIVERY_PAUSE: Duration = Duration::from_secs(30);

/// Settings for connections that this node opens.
pub(crate) const CLIENT_SETTINGS: KeepaliveSettings = KeepaliveSettings {
    keepalive_time: Duration::from_secs(1),
    keepalive_interval: Duration::from_secs(1),
    keepalive_retries: 2,
    user_timeout: Some(DEAD_PEER_TIMEOUT),
};
/// Settings for accepted connections. The peer may pause in reading an answer, which its deadline
/// bounds. A peer that is dead is detected while the connection is idle.
pub(crate) const SERVER_SETTINGS: KeepaliveSettings = KeepaliveSettings {
    keepalive_time: Duration::from_secs(1),
    keepalive_interval: Duration::from_secs(1),
    keepalive_retries: 1,
    user_timeout: None,
};

/// How a peer receives what is sent to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Receiver {
    /// The bytes fit its receive window, so a missing acknowledgement means that it is dead.
    Prompt,
    /// It may pause. The deadline of the call bounds the time.
    MayPause,
}

/// Sets how the peer of a connection that this node opened receives the next bytes.
pub(crate) fn set_receiver(stream: &TcpStream, receiver: Receiver) {
    let user_timeout = match receiver {
        Receiver::Prompt => Some(DEAD_PEER_TIMEOUT),
        Receiver::MayPause => None,
    };
    set_user_timeout(stream, user_timeout);
}

/// Bounds the time in which the system goes on to deliver sent bytes after a connection is closed.
pub(crate) fn bound_delivery(stream: &TcpStream) {
    set_user_timeout(stream, Some(MAX_DELIVERY_PAUSE));
}

/// Stops the delivery of sent bytes soon after a connection is closed, because they are part of a
/// message that will not be completed.
pub(crate) fn stop_delivery(stream: &TcpStream) {
    set_user_timeout(stream, Some(DEAD_PEER_TIMEOUT));
}

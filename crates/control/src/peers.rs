//! Outbound message streams and RPC channels to the other replicas.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use consensus::{Envelope, Message, ReplicaId};
use indexmap::IndexMap;
use rpc::ReplicaMessage;
use rpc::replica_client::ReplicaClient;
use slog::{Logger, debug};
use tokio::runtime::Handle;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use tonic::transport::{Channel, Endpoint};

/// Capacity of the send queue of a stream, in messages.
const MAX_QUEUED_MESSAGES: usize = 1_024;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const PING_INTERVAL: Duration = Duration::from_millis(500);
const PING_TIMEOUT: Duration = Duration::from_millis(500);
/// HTTP/2 receive window for calls and consensus messages, in bytes. With the default of 64 KiB, a
/// document of 1.2 MB waits for 18 round trips between data centres on its way to the leader, and for as
/// many to each follower.
pub(crate) const RECEIVE_WINDOW_BYTES: u32 = 2 * 1024 * 1024;
const RECONNECT_DELAY: Duration = Duration::from_millis(100);

/// Sends messages to other replicas without blocking.
pub(crate) trait Outbox {
    /// Sets the address of a replica.
    fn set_address(&mut self, id: ReplicaId, address: &str);
    /// Sends a message, or drops it if it cannot be queued.
    fn send(&mut self, envelope: Envelope);
}

/// Creates a channel that connects on its first call. Keep-alive pings close a connection whose
/// peer no longer responds.
///
/// # Errors
///
/// Returns an error if the address is malformed.
pub(crate) fn channel(address: &str) -> Result<Channel, tonic::transport::Error> {
    let endpoint = Endpoint::from_shared(format!("http://{address}"))?
        .connect_timeout(CONNECT_TIMEOUT)
        .http2_keep_alive_interval(PING_INTERVAL)
        .keep_alive_timeout(PING_TIMEOUT)
        .keep_alive_while_idle(true)
        .initial_stream_window_size(RECEIVE_WINDOW_BYTES)
        .initial_connection_window_size(RECEIVE_WINDOW_BYTES)
        .tcp_nodelay(true);
    Ok(endpoint.connect_lazy())
}

/// Cache of channels by address, so that unary calls share connections.
#[derive(Debug, Default)]
pub(crate) struct Channels {
    by_address: Mutex<IndexMap<String, Channel>>,
}

impl Channels {
    /// Returns a channel to an address, `None` if the address is malformed.
    pub(crate) fn get(&self, address: &str) -> Option<Channel> {
        let mut channels = self.by_address.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(channel) = channels.get(address) {
            return Some(channel.clone());
        }
        let channel = channel(address).ok()?;
        channels.insert(address.to_owned(), channel.clone());
        Some(channel)
    }

    /// Removes the channel to an address that did not respond, so that the next call opens a new
    /// connection.
    pub(crate) fn reset(&self, address: &str) {
        let mut channels = self.by_address.lock().unwrap_or_else(PoisonError::into_inner);
        channels.swap_remove(address);
    }
}

/// Identification of the sender in every message.
#[derive(Debug, Clone)]
pub(crate) struct SenderIdentity {
    pub(crate) cluster_id: String,
    pub(crate) id: ReplicaId,
    pub(crate) address: String,
}

/// Streams to the other replicas, one for each.
pub(crate) struct PeerStreams {
    runtime: Handle,
    log: Logger,
    identity: SenderIdentity,
    addresses: IndexMap<ReplicaId, String>,
    streams: IndexMap<ReplicaId, PeerStream>,
}

struct PeerStream {
    address: String,
    messages: mpsc::Sender<Message>,
}

impl PeerStreams {
    pub(crate) fn new(runtime: Handle, log: Logger, identity: SenderIdentity) -> Self {
        Self { runtime, log, identity, addresses: IndexMap::new(), streams: IndexMap::new() }
    }

    fn open(&self, to: ReplicaId, address: String) -> PeerStream {
        let (messages, receiver) = mpsc::channel(MAX_QUEUED_MESSAGES);
        let task = StreamTask {
            log: self.log.clone(),
            identity: self.identity.clone(),
            to,
            address: address.clone(),
        };
        self.runtime.spawn(task.run(receiver));
        PeerStream { address, messages }
    }
}

impl Outbox for PeerStreams {
    fn set_address(&mut self, id: ReplicaId, address: &str) {
        if self.addresses.get(&id).is_none_or(|known| known != address) {
            self.addresses.insert(id, address.to_owned());
        }
    }

    fn send(&mut self, envelope: Envelope) {
        let Some(address) = self.addresses.get(&envelope.to) else {
            return;
        };
        let is_current =
            self.streams.get(&envelope.to).is_some_and(|stream| stream.address == *address);
        if !is_current {
            let stream = self.open(envelope.to, address.clone());
            self.streams.insert(envelope.to, stream);
        }
        // If the queue is full the message is dropped; consensus resends unacknowledged entries.
        let _ = self.streams[&envelope.to].messages.try_send(envelope.message);
    }
}

struct StreamTask {
    log: Logger,
    identity: SenderIdentity,
    to: ReplicaId,
    address: String,
}

impl StreamTask {
    /// Sends the queued messages until the queue is closed. Reconnects after a failure.
    async fn run(self, mut messages: mpsc::Receiver<Message>) {
        loop {
            let Some(first) = messages.recv().await else {
                return;
            };
            if let Err(status) = self.send_over_stream(first, &mut messages).await {
                debug!(self.log, "replica-stream-lost";
                    "to" => %self.to, "error" => status.message().to_owned());
            }
            tokio::time::sleep(RECONNECT_DELAY).await;
            // Messages that were queued during the failure are outdated.
            while messages.try_recv().is_ok() {}
        }
    }

    /// Sends messages over one stream until it fails or the queue is closed.
    async fn send_over_stream(
        &self,
        first: Message,
        messages: &mut mpsc::Receiver<Message>,
    ) -> Result<(), tonic::Status> {
        let channel = channel(&self.address).map_err(|e| tonic::Status::from_error(e.into()))?;
        let (sender, receiver) = mpsc::channel(MAX_QUEUED_MESSAGES);
        let mut client = ReplicaClient::new(channel).max_encoding_message_size(usize::MAX);
        let call = client.deliver(ReceiverStream::new(receiver));
        tokio::pin!(call);
        let mut next = Some(first);
        loop {
            if let Some(message) = next.take().and_then(|message| self.encode(&message)) {
                // A failure of the stream is handled by the select! below.
                let _ = sender.try_send(message);
            }
            tokio::select! {
                result = &mut call => return result.map(drop),
                message = messages.recv() => match message {
                    Some(message) => next = Some(message),
                    None => return Ok(()),
                },
            }
        }
    }

    fn encode(&self, message: &Message) -> Option<ReplicaMessage> {
        let payload = postcard::to_stdvec(message).ok()?;
        Some(ReplicaMessage {
            cluster_id: self.identity.cluster_id.clone(),
            from: self.identity.id.0,
            to: self.to.0,
            payload: payload.into(),
            from_address: self.identity.address.clone(),
        })
    }
}

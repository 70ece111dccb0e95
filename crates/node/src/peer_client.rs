//! gRPC client for calls to other nodes.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use model::{Outcome, Reason};
use policy::US_PER_MS;
use policy::admission::AdmissionLoad;
use rpc::peer_client::PeerClient;
use rpc::{AnswerEnd, AnswerFrame, AnswerHead, BodyEnd, ForwardFrame};
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio_stream::StreamExt;
use tokio_stream::wrappers::ReceiverStream;
use tonic::transport::{Channel, Endpoint};
use tonic::{Status, Streaming};

use crate::answer::{Answer, AnswerGuard, CallFailure, NodeLoad};
use crate::body::{AnswerBody, AnswerStream, CallBody, CallStream};
use crate::call::CallHead;
use crate::wire_headers::{from_rpc_headers, to_rpc_headers};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Pings are sent only while a call is in flight, so that idle connections cause no traffic.
const PING_INTERVAL: Duration = Duration::from_millis(250);
const PING_TIMEOUT: Duration = Duration::from_millis(250);
/// Idle time after which a connection is replaced. Idle connections are not pinged, so a failure of
/// one is not detected.
const MAX_IDLE_TIME: Duration = Duration::from_secs(1);
/// Maximum number of frames of one call that wait to be sent.
const STREAM_QUEUE_FRAMES: usize = 16;
/// HTTP/2 flow-control window of one stream; the window of a connection is 4 times as large.
const STREAM_WINDOW_BYTES: u32 = 4 * 1024 * 1024;

/// Connections to other nodes, by address.
#[derive(Debug, Default)]
pub(crate) struct PeerClients {
    channels: Mutex<HashMap<SocketAddr, PeerChannel>>,
}

#[derive(Debug)]
struct PeerChannel {
    channel: Channel,
    last_used: Instant,
}

/// Terms of the call that an answer of a peer belongs to.
#[derive(Debug, Clone, Copy)]
struct AnswerTerms {
    /// Retries that the call was granted.
    allowance: u32,
    deadline: Instant,
}

impl PeerClients {
    /// Sends a call. Dropping the future or the answer cancels the call at the other node.
    pub(crate) async fn forward(
        &self,
        address: SocketAddr,
        head: &CallHead,
        deadline_remaining: Duration,
        body: CallBody,
    ) -> Result<Answer, CallFailure> {
        let allowance = head.retry_allowance;
        let terms = AnswerTerms { allowance, deadline: Instant::now() + deadline_remaining };
        let Some(channel) = self.channel(address) else {
            return Err(CallFailure::not_run(Reason::ConnectFailed, allowance, Some(body)));
        };
        let is_streaming = matches!(body, CallBody::Stream { .. });
        let rpc_head = to_rpc_head(head, deadline_remaining, is_streaming);
        let mut client = PeerClient::new(channel)
            .max_decoding_message_size(usize::MAX)
            .max_encoding_message_size(usize::MAX);
        match body {
            CallBody::Buffered(bytes) => {
                let frame = single_frame(rpc_head, bytes.clone());
                let stream = tokio_stream::once(frame);
                let sent = client.forward(stream).await;
                let replayable_body = Some(CallBody::Buffered(bytes));
                let frames = sent
                    .map_err(|status| failure_from_status(&status, allowance, replayable_body))?;
                receive_answer(frames.into_inner(), terms).await
            }
            CallBody::Stream { buffered, rest } => {
                let (sender, receiver) = mpsc::channel(STREAM_QUEUE_FRAMES);
                let first =
                    ForwardFrame { head: Some(rpc_head), chunk: buffered.clone(), end: None };
                // The queue is empty, so the first frame fits.
                let _ = sender.try_send(first);
                let sent = client.forward(ReceiverStream::new(receiver)).await;
                let frames = match sent {
                    Ok(frames) => frames.into_inner(),
                    Err(status) => {
                        let replayable_body = Some(CallBody::Stream { buffered, rest });
                        return Err(failure_from_status(&status, allowance, replayable_body));
                    }
                };
                self.stream_body(frames, terms, buffered, rest, sender).await
            }
        }
    }

    /// Drops the connection to a node, so that the next call opens a new one.
    pub(crate) fn reset(&self, address: SocketAddr) {
        self.channels.lock().unwrap_or_else(PoisonError::into_inner).remove(&address);
    }

    /// Sends the rest of a body once the other node has admitted the call, and returns the answer.
    async fn stream_body(
        &self,
        mut frames: Streaming<AnswerFrame>,
        terms: AnswerTerms,
        buffered: Bytes,
        mut rest: Box<CallStream>,
        sender: mpsc::Sender<ForwardFrame>,
    ) -> Result<Answer, CallFailure> {
        let first = next_frame(&mut frames).await?;
        if !first.proceed {
            let mut result = decode_answer(first, frames, terms);
            if let Err(failure) = &mut result
                && failure.outcome == Outcome::NotRun
            {
                failure.body = Some(CallBody::Stream { buffered, rest });
            }
            return result;
        }
        let buffered_bytes = buffered.len() as u64;
        let send_body = async {
            let mut body_bytes = buffered_bytes;
            while let Some(chunk) = rest.next_chunk().await {
                let Ok(chunk) = chunk else { return Err(()) };
                body_bytes += chunk.len() as u64;
                let frame = ForwardFrame { chunk, ..ForwardFrame::default() };
                sender.send(frame).await.map_err(drop)?;
            }
            let end = Some(BodyEnd { body_bytes });
            sender.send(ForwardFrame { end, ..ForwardFrame::default() }).await.map_err(drop)
        };
        // The answer may arrive before the body is sent completely, as with an early refusal.
        tokio::pin!(send_body);
        let early_frame = tokio::select! {
            sent = &mut send_body => match sent {
                Ok(()) => None,
                Err(()) => return Err(CallFailure::unknown(Reason::TruncatedRequest)),
            },
            frame = next_frame(&mut frames) => Some(frame?),
        };
        let frame = match early_frame {
            Some(frame) => frame,
            None => next_frame(&mut frames).await?,
        };
        decode_answer(frame, frames, terms)
    }

    fn channel(&self, address: SocketAddr) -> Option<Channel> {
        let mut channels = self.channels.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        if let Some(known) = channels.get_mut(&address)
            && now.duration_since(known.last_used) < MAX_IDLE_TIME
        {
            known.last_used = now;
            return Some(known.channel.clone());
        }
        let channel = lazy_channel(address).ok()?;
        channels.insert(address, PeerChannel { channel: channel.clone(), last_used: now });
        Some(channel)
    }
}

/// Creates a connection that opens on first use and fails when pings remain unanswered.
pub(crate) fn lazy_channel(address: SocketAddr) -> Result<Channel, tonic::transport::Error> {
    let endpoint = Endpoint::from_shared(format!("http://{address}"))?
        .connect_timeout(CONNECT_TIMEOUT)
        .http2_keep_alive_interval(PING_INTERVAL)
        .keep_alive_timeout(PING_TIMEOUT)
        .initial_stream_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(STREAM_WINDOW_BYTES * 4)
        .tcp_nodelay(true);
    Ok(endpoint.connect_lazy())
}

fn to_rpc_head(head: &CallHead, deadline_remaining: Duration, is_streaming: bool) -> rpc::CallHead {
    rpc::CallHead {
        protocol_version: rpc::PROTOCOL_VERSION,
        request_id: head.request_id.to_string(),
        service: head.service.to_string(),
        method: head.method.to_string(),
        path: head.path.clone(),
        headers: to_rpc_headers(&head.headers),
        class_rank: head.class.rank(),
        deadline_remaining_us: deadline_remaining.as_micros() as u64,
        admitted_unix_us: head.admitted_unix_us,
        retry_allowance: head.retry_allowance,
        idempotency_key: head.idempotency_key.clone().unwrap_or_default(),
        is_streaming,
    }
}

/// Builds the only frame of a call whose body is buffered completely.
fn single_frame(head: rpc::CallHead, body: Bytes) -> ForwardFrame {
    let body_bytes = body.len() as u64;
    ForwardFrame { head: Some(head), chunk: body, end: Some(BodyEnd { body_bytes }) }
}

async fn receive_answer(
    mut frames: Streaming<AnswerFrame>,
    terms: AnswerTerms,
) -> Result<Answer, CallFailure> {
    let frame = next_frame(&mut frames).await?;
    decode_answer(frame, frames, terms)
}

async fn next_frame(frames: &mut Streaming<AnswerFrame>) -> Result<AnswerFrame, CallFailure> {
    match frames.next().await {
        Some(Ok(frame)) => Ok(frame),
        Some(Err(_)) | None => Err(CallFailure::unknown(Reason::ConnectionLost)),
    }
}

fn decode_answer(
    frame: AnswerFrame,
    frames: Streaming<AnswerFrame>,
    terms: AnswerTerms,
) -> Result<Answer, CallFailure> {
    let Some(head) = frame.head else {
        return Err(CallFailure::unknown(Reason::VersionMismatch));
    };
    let load = head.load.as_ref().map(node_load);
    let outcome = head.outcome();
    if outcome != rpc::Outcome::Answered {
        return Err(decode_failure(&head, outcome, load, terms.allowance, frame.end));
    }
    let status = u16::try_from(head.status).ok().and_then(|s| StatusCode::from_u16(s).ok());
    let is_complete = frame.end.as_ref().is_some_and(|e| e.body_bytes == frame.chunk.len() as u64);
    let remaining_allowance = frame.end.map_or(0, |end| end.unspent_allowance);
    let body = if is_complete {
        AnswerBody::buffered(frame.chunk)
    } else {
        let received_bytes = frame.chunk.len() as u64;
        let rest = AnswerStream::Peer { frames, received_bytes };
        AnswerBody::streaming(frame.chunk, rest, AnswerGuard::peer(), terms.deadline)
    };
    Ok(Answer {
        status: status.unwrap_or(StatusCode::BAD_GATEWAY),
        headers: from_rpc_headers(head.headers),
        body,
        load,
        is_final: head.is_final,
        remaining_allowance,
    })
}

fn decode_failure(
    head: &AnswerHead,
    outcome: rpc::Outcome,
    load: Option<NodeLoad>,
    allowance: u32,
    end: Option<AnswerEnd>,
) -> CallFailure {
    let reason = Reason::from_code(&head.reason).unwrap_or(Reason::ConnectionLost);
    let failure = match outcome {
        rpc::Outcome::NotRun => CallFailure::not_run(reason, allowance, None),
        _ => CallFailure::unknown(reason),
    };
    CallFailure {
        retry_after_us: head.retry_after_ms * US_PER_MS,
        is_final: head.is_final,
        remaining_allowance: end.map_or(failure.remaining_allowance, |end| end.unspent_allowance),
        load,
        ..failure
    }
}

fn node_load(load: &rpc::Load) -> NodeLoad {
    NodeLoad {
        admission: AdmissionLoad {
            in_flight: load.in_flight,
            limit: load.limit,
            queued: load.queued,
        },
        is_leaving: load.is_leaving,
        shed_level: load.shed_level,
    }
}

/// Converts a gRPC error; only a failure to connect and a version mismatch prove that the call did
/// not run.
fn failure_from_status(
    status: &Status,
    allowance: u32,
    replayable_body: Option<CallBody>,
) -> CallFailure {
    if is_connect_error(status) {
        return CallFailure::not_run(Reason::ConnectFailed, allowance, replayable_body);
    }
    let reason = match status.code() {
        tonic::Code::FailedPrecondition => {
            return CallFailure::not_run(Reason::VersionMismatch, allowance, replayable_body);
        }
        _ => Reason::ConnectionLost,
    };
    CallFailure { body: replayable_body, ..CallFailure::unknown(reason) }
}

fn is_connect_error(status: &Status) -> bool {
    let mut source = std::error::Error::source(status);
    while let Some(error) = source {
        if error.is::<tonic::ConnectError>() {
            return true;
        }
        source = error.source();
    }
    false
}

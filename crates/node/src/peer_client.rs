//! Calls to other nodes.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::StatusCode;
use model::{Outcome, Reason};
use policy::US_PER_MS;
use policy::admission::AdmissionLoad;
use rpc::peer_client::PeerClient;
use rpc::{AnswerEnd, AnswerFrame, AnswerHead, BodyEnd, ForwardFrame};
use tokio::sync::mpsc;
use tokio_stream::StreamExt;
use tokio_stream::wrappers::ReceiverStream;
use tonic::transport::{Channel, Endpoint};
use tonic::{Status, Streaming};

use crate::answer::{Answer, AnswerGuard, CallFailure, NodeLoad};
use crate::body::{AnswerBody, AnswerStream, CallBody, CallStream};
use crate::call::CallHead;
use crate::wire_headers::{from_rpc_headers, to_rpc_headers};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Pings go out only while a call waits for its answer, so idle links cost nothing.
const PING_INTERVAL: Duration = Duration::from_millis(250);
const PING_TIMEOUT: Duration = Duration::from_millis(250);
/// Idle time after which a connection may have gone silent unnoticed and a fresh one is opened.
const MAX_IDLE: Duration = Duration::from_secs(1);
const STREAM_QUEUE_FRAMES: usize = 16;
const WINDOW_BYTES: u32 = 4 * 1024 * 1024;

/// Channels to other nodes.
#[derive(Debug, Default)]
pub(crate) struct PeerClients {
    channels: Mutex<HashMap<SocketAddr, PeerChannel>>,
}

#[derive(Debug)]
struct PeerChannel {
    channel: Channel,
    used: Instant,
}

impl PeerClients {
    /// Sends a call. Dropping the future or the answer cancels the work at the other node.
    pub(crate) async fn forward(
        &self,
        address: SocketAddr,
        head: &CallHead,
        deadline_remaining: Duration,
        body: CallBody,
    ) -> Result<Answer, CallFailure> {
        let allowance = head.retry_allowance;
        let Some(channel) = self.channel(address) else {
            return Err(CallFailure::not_run(Reason::ConnectFailed, allowance, Some(body)));
        };
        let is_streaming = matches!(body, CallBody::Stream { .. });
        let wire_head = wire_head(head, deadline_remaining, is_streaming);
        let mut client = PeerClient::new(channel)
            .max_decoding_message_size(usize::MAX)
            .max_encoding_message_size(usize::MAX);
        match body {
            CallBody::Full(bytes) => {
                let frame = whole_frame(wire_head, bytes.clone());
                let stream = tokio_stream::once(frame);
                let sent = client.forward(stream).await;
                let replay = Some(CallBody::Full(bytes));
                let frames = sent.map_err(|status| status_failure(&status, allowance, replay))?;
                first_answer(frames.into_inner(), allowance).await
            }
            CallBody::Stream { held, rest } => {
                let (sender, receiver) = mpsc::channel(STREAM_QUEUE_FRAMES);
                let first = ForwardFrame { head: Some(wire_head), chunk: held.clone(), end: None };
                // The queue is empty, so the first frame fits.
                let _ = sender.try_send(first);
                let sent = client.forward(ReceiverStream::new(receiver)).await;
                let frames = match sent {
                    Ok(frames) => frames.into_inner(),
                    Err(status) => {
                        let replay = Some(CallBody::Stream { held, rest });
                        return Err(status_failure(&status, allowance, replay));
                    }
                };
                self.stream_body(frames, allowance, held, rest, sender).await
            }
        }
    }

    /// Drops the connection to a node, so that the next call opens a fresh one.
    pub(crate) fn reset(&self, address: SocketAddr) {
        self.channels.lock().unwrap_or_else(PoisonError::into_inner).remove(&address);
    }

    async fn stream_body(
        &self,
        mut frames: Streaming<AnswerFrame>,
        allowance: u32,
        held: Bytes,
        mut rest: Box<CallStream>,
        sender: mpsc::Sender<ForwardFrame>,
    ) -> Result<Answer, CallFailure> {
        let first = next_frame(&mut frames).await?;
        if !first.proceed {
            let mut result = take_answer(first, frames, allowance);
            if let Err(failure) = &mut result
                && failure.outcome == Outcome::NotRun
            {
                failure.body = Some(CallBody::Stream { held, rest });
            }
            return result;
        }
        let held_bytes = held.len() as u64;
        let pump = async {
            let mut body_bytes = held_bytes;
            while let Some(chunk) = rest.next_chunk().await {
                let Ok(chunk) = chunk else { return Err(()) };
                body_bytes += chunk.len() as u64;
                let frame = ForwardFrame { chunk, ..ForwardFrame::default() };
                sender.send(frame).await.map_err(drop)?;
            }
            let end = Some(BodyEnd { body_bytes });
            sender.send(ForwardFrame { end, ..ForwardFrame::default() }).await.map_err(drop)
        };
        // The answer may come before the body has been read, as an early refusal does.
        tokio::pin!(pump);
        let early = tokio::select! {
            sent = &mut pump => match sent {
                Ok(()) => None,
                Err(()) => return Err(CallFailure::unknown(Reason::TruncatedRequest)),
            },
            frame = next_frame(&mut frames) => Some(frame?),
        };
        let frame = match early {
            Some(frame) => frame,
            None => next_frame(&mut frames).await?,
        };
        take_answer(frame, frames, allowance)
    }

    fn channel(&self, address: SocketAddr) -> Option<Channel> {
        let mut channels = self.channels.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        if let Some(known) = channels.get_mut(&address)
            && now.duration_since(known.used) < MAX_IDLE
        {
            known.used = now;
            return Some(known.channel.clone());
        }
        let channel = open(address).ok()?;
        channels.insert(address, PeerChannel { channel: channel.clone(), used: now });
        Some(channel)
    }
}

/// Opens a lazy connection whose silence is noticed by pings.
pub(crate) fn open(address: SocketAddr) -> Result<Channel, tonic::transport::Error> {
    let endpoint = Endpoint::from_shared(format!("http://{address}"))?
        .connect_timeout(CONNECT_TIMEOUT)
        .http2_keep_alive_interval(PING_INTERVAL)
        .keep_alive_timeout(PING_TIMEOUT)
        .initial_stream_window_size(WINDOW_BYTES)
        .initial_connection_window_size(WINDOW_BYTES * 4)
        .tcp_nodelay(true);
    Ok(endpoint.connect_lazy())
}

fn wire_head(head: &CallHead, deadline_remaining: Duration, is_streaming: bool) -> rpc::CallHead {
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

fn whole_frame(head: rpc::CallHead, body: Bytes) -> ForwardFrame {
    let body_bytes = body.len() as u64;
    ForwardFrame { head: Some(head), chunk: body, end: Some(BodyEnd { body_bytes }) }
}

async fn first_answer(
    mut frames: Streaming<AnswerFrame>,
    allowance: u32,
) -> Result<Answer, CallFailure> {
    let frame = next_frame(&mut frames).await?;
    take_answer(frame, frames, allowance)
}

async fn next_frame(frames: &mut Streaming<AnswerFrame>) -> Result<AnswerFrame, CallFailure> {
    match frames.next().await {
        Some(Ok(frame)) => Ok(frame),
        Some(Err(_)) | None => Err(CallFailure::unknown(Reason::ConnectionLost)),
    }
}

fn take_answer(
    frame: AnswerFrame,
    frames: Streaming<AnswerFrame>,
    allowance: u32,
) -> Result<Answer, CallFailure> {
    let Some(head) = frame.head else {
        return Err(CallFailure::unknown(Reason::VersionMismatch));
    };
    let load = head.load.as_ref().map(node_load);
    let outcome = head.outcome();
    if outcome != rpc::Outcome::Answered {
        return Err(failure(&head, outcome, load, allowance, frame.end));
    }
    let status = u16::try_from(head.status).ok().and_then(|s| StatusCode::from_u16(s).ok());
    let is_whole = frame.end.as_ref().is_some_and(|e| e.body_bytes == frame.chunk.len() as u64);
    let unspent = frame.end.map_or(0, |end| end.unspent_allowance);
    let body = if is_whole {
        AnswerBody::full(frame.chunk)
    } else {
        let seen_bytes = frame.chunk.len() as u64;
        let rest = Box::new(AnswerStream::Peer { frames, seen_bytes });
        AnswerBody::Stream { held: Some(frame.chunk), rest, guard: AnswerGuard::peer() }
    };
    Ok(Answer {
        status: status.unwrap_or(StatusCode::BAD_GATEWAY),
        headers: from_rpc_headers(head.headers),
        body,
        load,
        is_final: head.is_final,
        unspent,
    })
}

fn failure(
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
        unspent: end.map_or(failure.unspent, |end| end.unspent_allowance),
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

/// Tells a call that never left from one that may have run.
fn status_failure(status: &Status, allowance: u32, replay: Option<CallBody>) -> CallFailure {
    if is_connect_error(status) {
        return CallFailure::not_run(Reason::ConnectFailed, allowance, replay);
    }
    let reason = match status.code() {
        tonic::Code::FailedPrecondition => {
            return CallFailure::not_run(Reason::VersionMismatch, allowance, replay);
        }
        _ => Reason::ConnectionLost,
    };
    CallFailure { body: replay, ..CallFailure::unknown(reason) }
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

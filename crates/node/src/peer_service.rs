//! gRPC service for other nodes: calls, death reports and profiles.

use std::sync::Arc;

use daemon::Clock;
use http::Method;
use model::{Class, Outcome, ServiceName};
use policy::US_PER_MS;
use rpc::peer_server::Peer;
use rpc::{
    AnswerEnd, AnswerFrame, AnswerHead, DeathReport, DeathReportReply, FetchProfilesRequest,
    ForwardFrame, Load, ProfileSet,
};
use tokio::sync::mpsc;
use tokio_stream::StreamExt;
use tokio_stream::wrappers::ReceiverStream;
use tonic::{Request, Response, Status, Streaming};

use crate::answer::{Answer, CallFailure, NodeLoad};
use crate::body::{AnswerBody, CallBody, CallStream};
use crate::call::CallHead;
use crate::ingress::Ingress;
use crate::profile_store::ProfileStore;
use crate::wire_headers::{from_rpc_headers, to_rpc_headers};

/// Maximum number of frames of one answer that wait to be sent.
const STREAM_QUEUE_FRAMES: usize = 16;

/// Serves calls, death reports and profile requests from other nodes.
pub(crate) struct PeerService {
    clock: Clock,
    ingress: Arc<Ingress>,
    profiles: Arc<ProfileStore>,
}

impl PeerService {
    pub(crate) fn new(clock: Clock, ingress: Arc<Ingress>, profiles: Arc<ProfileStore>) -> Self {
        Self { clock, ingress, profiles }
    }

    #[allow(clippy::result_large_err)] // Methods of a tonic service return this error type.
    fn call_head(&self, wire: rpc::CallHead) -> Result<CallHead, Status> {
        if wire.protocol_version != rpc::PROTOCOL_VERSION {
            return Err(Status::failed_precondition("unsupported protocol version"));
        }
        let malformed = || Status::invalid_argument("malformed call head");
        let idempotency_key = (!wire.idempotency_key.is_empty()).then_some(wire.idempotency_key);
        Ok(CallHead {
            request_id: wire.request_id.parse().map_err(|_| malformed())?,
            service: ServiceName::new(&wire.service).map_err(|_| malformed())?,
            method: Method::from_bytes(wire.method.as_bytes()).map_err(|_| malformed())?,
            path: wire.path,
            headers: from_rpc_headers(wire.headers),
            class: Class::from_rank(wire.class_rank),
            deadline_us: self.clock.now_us().saturating_add(wire.deadline_remaining_us),
            admitted_unix_us: wire.admitted_unix_us,
            retry_allowance: wire.retry_allowance,
            idempotency_key,
        })
    }
}

#[tonic::async_trait]
impl Peer for PeerService {
    type ForwardStream = ReceiverStream<Result<AnswerFrame, Status>>;

    async fn forward(
        &self,
        request: Request<Streaming<ForwardFrame>>,
    ) -> Result<Response<Self::ForwardStream>, Status> {
        let mut frames = request.into_inner();
        let first = frames.next().await;
        let first = first.ok_or_else(|| Status::invalid_argument("the call has no head"))??;
        let head = first.head.ok_or_else(|| Status::invalid_argument("the call has no head"))?;
        let head = self.call_head(head)?;
        let (answers, receiver) = mpsc::channel(STREAM_QUEUE_FRAMES);
        match first.end {
            Some(end) if end.body_bytes != first.chunk.len() as u64 => {
                return Err(Status::data_loss("the body ended early"));
            }
            Some(_) => {
                // Awaited here, so that a cancellation by the other node drops the call.
                let result = self.ingress.serve(head, CallBody::Buffered(first.chunk)).await;
                send_result(result, answers).await;
            }
            None => {
                let received_bytes = first.chunk.len() as u64;
                let rest = Box::new(CallStream::Peer { frames, received_bytes, is_done: false });
                let body = CallBody::Stream { buffered: first.chunk, rest };
                let ingress = Arc::clone(&self.ingress);
                tokio::spawn(async move {
                    tokio::select! {
                        () = serve_streaming(&ingress, head, body, &answers) => {}
                        () = answers.closed() => {}
                    }
                });
            }
        }
        Ok(Response::new(ReceiverStream::new(receiver)))
    }

    async fn report_death(
        &self,
        request: Request<DeathReport>,
    ) -> Result<Response<DeathReportReply>, Status> {
        self.ingress.suspects().record(&request.into_inner());
        Ok(Response::new(DeathReportReply::default()))
    }

    async fn fetch_profiles(
        &self,
        _request: Request<FetchProfilesRequest>,
    ) -> Result<Response<ProfileSet>, Status> {
        Ok(Response::new(self.profiles.to_profile_set()))
    }
}

type AnswerSender = mpsc::Sender<Result<AnswerFrame, Status>>;

async fn send_result(result: Result<Answer, CallFailure>, answers: AnswerSender) {
    match result {
        Ok(answer) if answer.body.buffered_bytes().is_some() => send_answer(answer, &answers).await,
        Ok(answer) => {
            tokio::spawn(async move {
                tokio::select! {
                    () = send_answer(answer, &answers) => {}
                    () = answers.closed() => {}
                }
            });
        }
        Err(failure) => send_frame(&answers, failure_frame(failure)).await,
    }
}

async fn serve_streaming(
    ingress: &Arc<Ingress>,
    head: CallHead,
    body: CallBody,
    answers: &AnswerSender,
) {
    let proceed = || {
        let frame = AnswerFrame { proceed: true, ..AnswerFrame::default() };
        // The queue is empty, so the frame fits.
        let _ = answers.try_send(Ok(frame));
    };
    match ingress.serve_with_proceed(head, body, proceed).await {
        Ok(answer) => send_answer(answer, answers).await,
        Err(failure) => send_frame(answers, failure_frame(failure)).await,
    }
}

async fn send_frame(answers: &AnswerSender, frame: AnswerFrame) {
    // The other node may have cancelled the call, so that the receiver is dropped.
    let _ = answers.send(Ok(frame)).await;
}

async fn send_answer(mut answer: Answer, answers: &AnswerSender) {
    let head = Some(answer_head(&answer));
    if let Some(chunk) = answer.body.buffered_bytes() {
        let end = AnswerEnd {
            body_bytes: chunk.len() as u64,
            unspent_allowance: answer.remaining_allowance,
        };
        send_frame(answers, AnswerFrame { proceed: false, head, chunk, end: Some(end) }).await;
        return;
    }
    let mut body_bytes = 0;
    let mut head = head;
    while let Some(chunk) = answer.body.next_chunk().await {
        match chunk {
            Ok(chunk) => {
                body_bytes += chunk.len() as u64;
                let frame = AnswerFrame { head: head.take(), chunk, ..AnswerFrame::default() };
                send_frame(answers, frame).await;
            }
            Err(error) => {
                let _ = answers.send(Err(Status::data_loss(error.to_string()))).await;
                return;
            }
        }
    }
    let unspent_allowance = match &answer.body {
        AnswerBody::Stream { guard, .. } => guard.remaining_allowance(),
        AnswerBody::Buffered(_) => answer.remaining_allowance,
    };
    let end = Some(AnswerEnd { body_bytes, unspent_allowance });
    send_frame(answers, AnswerFrame { head: head.take(), end, ..AnswerFrame::default() }).await;
}

fn answer_head(answer: &Answer) -> AnswerHead {
    AnswerHead {
        outcome: rpc::Outcome::Answered.into(),
        status: u32::from(answer.status.as_u16()),
        headers: to_rpc_headers(&answer.headers),
        load: answer.load.map(to_rpc_load),
        is_final: answer.is_final,
        ..AnswerHead::default()
    }
}

fn failure_frame(failure: CallFailure) -> AnswerFrame {
    let outcome = match failure.outcome {
        Outcome::NotRun => rpc::Outcome::NotRun,
        Outcome::Answered | Outcome::Unknown => rpc::Outcome::Unknown,
    };
    let head = AnswerHead {
        outcome: outcome.into(),
        reason: failure.reason.as_str().to_owned(),
        retry_after_ms: failure.retry_after_us / US_PER_MS,
        load: failure.load.map(to_rpc_load),
        is_final: failure.is_final,
        ..AnswerHead::default()
    };
    let end = AnswerEnd { body_bytes: 0, unspent_allowance: failure.remaining_allowance };
    AnswerFrame { head: Some(head), end: Some(end), ..AnswerFrame::default() }
}

fn to_rpc_load(load: NodeLoad) -> Load {
    Load {
        in_flight: load.admission.in_flight,
        limit: load.admission.limit,
        queued: load.admission.queued,
        is_leaving: load.is_leaving,
        shed_level: load.shed_level,
    }
}

//! Bodies and answers of the fake upstream.

use std::io;

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::{Either, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use model::{Outcome, headers};

type ChunkStream = tokio::sync::mpsc::Receiver<Result<Frame<Bytes>, io::Error>>;
pub(super) type CallBody = Either<Full<Bytes>, StreamBody<ReceiverFrames>>;
pub(super) type AnswerBody = Either<Full<Bytes>, StreamBody<ReceiverFrames>>;

/// Frames of a body that another task supplies.
pub(super) struct ReceiverFrames(pub(super) ChunkStream);

impl futures_core::Stream for ReceiverFrames {
    type Item = Result<Frame<Bytes>, io::Error>;

    fn poll_next(
        mut self: std::pin::Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Self::Item>> {
        self.0.poll_recv(cx)
    }
}

/// Passes a deeper failure on, with its word on whether anything ran.
pub(super) fn relayed_failure(from: &Response<Incoming>) -> Response<AnswerBody> {
    let mut response = plain(from.status());
    for name in [headers::OUTCOME, headers::REASON, "retry-after"] {
        if let Some(value) = from.headers().get(name) {
            response.headers_mut().insert(name, value.clone());
        }
    }
    response
}

pub(super) fn shed_answer() -> Response<AnswerBody> {
    let mut response = plain(StatusCode::SERVICE_UNAVAILABLE);
    let outcome = HeaderValue::from_static(Outcome::NotRun.as_str());
    response.headers_mut().insert(headers::OUTCOME, outcome);
    response
}

pub(super) fn plain(status: StatusCode) -> Response<AnswerBody> {
    let mut response = Response::new(Either::Left(Full::new(Bytes::new())));
    *response.status_mut() = status;
    response
}

pub(super) fn json(text: String) -> Response<AnswerBody> {
    let mut response = Response::new(Either::Left(Full::new(Bytes::from(text))));
    let kind = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}

/// Promises the whole text, sends half of it and breaks the connection.
pub(super) fn truncated(text: String) -> Response<AnswerBody> {
    let length = text.len();
    let half = Bytes::from(text).slice(..length / 2);
    let (sender, receiver) = tokio::sync::mpsc::channel(2);
    // Both fit into the queue.
    let _ = sender.try_send(Ok(Frame::data(half)));
    let _ = sender.try_send(Err(io::Error::other("truncated on request")));
    let mut response = Response::new(Either::Right(StreamBody::new(ReceiverFrames(receiver))));
    response.headers_mut().insert(header::CONTENT_LENGTH, HeaderValue::from(length));
    response
}

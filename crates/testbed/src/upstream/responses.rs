//! Bodies and responses of the fake upstream.

use std::io;

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::{Either, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use model::{Outcome, headers};

pub(super) type FrameSender = tokio::sync::mpsc::Sender<Result<Frame<Bytes>, io::Error>>;
type FrameReceiver = tokio::sync::mpsc::Receiver<Result<Frame<Bytes>, io::Error>>;
pub(super) type RequestBody = Either<Full<Bytes>, StreamBody<FrameStream>>;
pub(super) type ResponseBody = Either<Full<Bytes>, StreamBody<FrameStream>>;

/// Stream of body frames that another task sends through a channel.
pub(super) struct FrameStream(pub(super) FrameReceiver);

impl futures_core::Stream for FrameStream {
    type Item = Result<Frame<Bytes>, io::Error>;

    fn poll_next(
        mut self: std::pin::Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Self::Item>> {
        self.0.poll_recv(cx)
    }
}

/// Returns the failure of a called service to the caller, with the headers that say whether the
/// call ran, why it failed and when to retry.
pub(super) fn forwarded_failure(upstream_response: &Response<Incoming>) -> Response<ResponseBody> {
    let mut response = empty_response(upstream_response.status());
    for name in [headers::OUTCOME, headers::REASON, "retry-after"] {
        if let Some(value) = upstream_response.headers().get(name) {
            response.headers_mut().insert(name, value.clone());
        }
    }
    response
}

/// Returns a refusal whose outcome header says that the call did not run.
pub(super) fn shed_response() -> Response<ResponseBody> {
    let mut response = empty_response(StatusCode::SERVICE_UNAVAILABLE);
    let outcome = HeaderValue::from_static(Outcome::NotRun.as_str());
    response.headers_mut().insert(headers::OUTCOME, outcome);
    response
}

/// Returns a response with an empty body.
pub(super) fn empty_response(status: StatusCode) -> Response<ResponseBody> {
    let mut response = Response::new(Either::Left(Full::new(Bytes::new())));
    *response.status_mut() = status;
    response
}

pub(super) fn json_response(text: String) -> Response<ResponseBody> {
    let mut response = Response::new(Either::Left(Full::new(Bytes::from(text))));
    let content_type = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, content_type);
    response
}

/// Returns a response whose `Content-Length` covers the whole text, but whose body fails after the
/// first half, so that the connection is closed.
pub(super) fn truncated_response(text: String) -> Response<ResponseBody> {
    let length = text.len();
    let first_half = Bytes::from(text).slice(..length / 2);
    let (sender, receiver) = tokio::sync::mpsc::channel(2);
    // The channel has room for both items, so neither send can fail.
    let _ = sender.try_send(Ok(Frame::data(first_half)));
    let _ = sender.try_send(Err(io::Error::other("truncated on request")));
    let mut response = Response::new(Either::Right(StreamBody::new(FrameStream(receiver))));
    response.headers_mut().insert(header::CONTENT_LENGTH, HeaderValue::from(length));
    response
}

/// Returns a response whose body ends when the sender is dropped.
pub(super) fn endless_response() -> (Response<ResponseBody>, FrameSender) {
    let (sender, receiver) = tokio::sync::mpsc::channel(2);
    (Response::new(Either::Right(StreamBody::new(FrameStream(receiver)))), sender)
}

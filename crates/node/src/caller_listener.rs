//! Listener for requests from outside the deployment.

use std::sync::Arc;
use std::time::Duration;

use daemon::Clock;
use http::{HeaderMap, HeaderValue, Request, Response, header};
use hyper::body::Incoming;
use model::{Class, Outcome, Reason, RequestId, Route, headers};
use policy::US_PER_MS;
use policy::burn::Quality;
use slog::{Logger, debug};

use crate::answer::{Answer, CallFailure, insert_request_id};
use crate::body::{AnswerBody, BodyError, CallBody};
use crate::call::{ActiveCall, CallHead};
use crate::dispatch::{Dispatcher, OutboundCall};
use crate::http_listener::Handler;
use crate::ingress;
use crate::stats::Counter;

/// Maximum length of an idempotency key, in bytes.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 200;

/// Accepts requests from callers and sends them to the upstreams of the local service.
pub(crate) struct CallerHandler {
    log: Logger,
    dispatcher: Arc<Dispatcher>,
}

impl CallerHandler {
    pub(crate) fn new(log: Logger, dispatcher: Arc<Dispatcher>) -> Self {
        Self { log, dispatcher }
    }

    async fn dispatch(
        &self,
        request_id: RequestId,
        request: Request<Incoming>,
    ) -> Result<Answer, CallFailure> {
        let refuse = |reason| CallFailure::not_run(reason, 0, None);
        let (parts, body) = request.into_parts();
        let service = ingress::announced_service(&self.dispatcher.ingress);
        let service = service.ok_or_else(|| refuse(Reason::NoUpstream))?;
        let path = parts.uri.path_and_query().map_or("/", |path| path.as_str()).to_owned();
        let idempotency_key = idempotency_key(&parts.headers).map_err(refuse)?;
        let mut head = CallHead {
            request_id,
            service,
            method: parts.method,
            path,
            headers: self.forwarded_headers(parts.headers),
            class: Class::Sheddable,
            deadline_us: 0,
            admitted_unix_us: Clock::unix_us(),
            retry_allowance: 0,
            idempotency_key,
        };
        let matched = self.dispatcher.route(&head).map_err(refuse)?;
        let (route, policy) = (&matched.route, &matched.policy);
        if route.is_claimed && head.idempotency_key.is_none() {
            return Err(refuse(Reason::MissingKey));
        }
        head.class = route.class;
        head.deadline_us = self.dispatcher.clock.now_us() + route.deadline_ms * US_PER_MS;
        head.retry_allowance = policy.allowance;
        let max_time = Duration::from_millis(route.deadline_ms);
        let body = CallBody::read_in_time(body, route.max_body_bytes, max_time).await;
        let body = body.map_err(|error| match error {
            BodyError::TooLarge => refuse(Reason::BodyTooLarge),
            BodyError::DeadlineExceeded => refuse(Reason::RequestTimeout),
            _ => refuse(Reason::TruncatedRequest),
        })?;
        let started_us = self.dispatcher.clock.now_us();
        let (service, allowance) = (head.service.clone(), head.retry_allowance);
        let parent = Arc::new(ActiveCall::new(&head, 0));
        let call = OutboundCall { head, retry_policy: policy.clone(), parent: Arc::clone(&parent) };
        let result = self.dispatcher.run(call, body).await;
        let elapsed_us = self.dispatcher.clock.now_us().saturating_sub(started_us);
        let quality = quality(&result, elapsed_us, route);
        let retries = allowance - parent.retry_allowance().available();
        self.dispatcher.burn_counts.record(&service, &matched.profile, route, quality, retries);
        result
    }

    /// Returns the headers to forward. Drops hop-by-hop headers, `Expect` and internal headers, and
    /// counts the internal ones.
    fn forwarded_headers(&self, from: HeaderMap) -> HeaderMap {
        let mut kept = HeaderMap::with_capacity(from.len());
        for (name, value) in &from {
            if headers::is_internal(name.as_str()) {
                self.dispatcher.stats.increment(Counter::ForgedHeaders);
            } else if !headers::is_hop_by_hop(name.as_str()) && name != header::EXPECT {
                kept.append(name.clone(), value.clone());
            }
        }
        kept
    }

    fn count_result(&self, result: &Result<Answer, CallFailure>) {
        let counter = match result {
            Ok(_) => Counter::CallerAnswered,
            Err(failure) if failure.outcome == Outcome::NotRun => Counter::CallerNotRun,
            Err(_) => Counter::CallerUnknown,
        };
        self.dispatcher.stats.increment(counter);
        if let Err(failure) = result
            && failure.reason.status() == 400
        {
            self.dispatcher.stats.increment(Counter::BadInput);
        }
    }
}

impl Handler for CallerHandler {
    async fn handle(&self, request: Request<Incoming>) -> Response<AnswerBody> {
        self.dispatcher.stats.increment(Counter::CallerRequests);
        let request_id = RequestId::new(rand::random());
        let result = self.dispatch(request_id, request).await;
        self.count_result(&result);
        let mut response = match result {
            Ok(answer) => into_response(answer, request_id),
            Err(failure) => {
                debug!(self.log, "request-failed"; "request" => %request_id,
                    "reason" => failure.reason.as_str(), "outcome" => failure.outcome.as_str());
                failure.into_response(request_id)
            }
        };
        if self.dispatcher.ingress.is_leaving() {
            response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }
}

/// Classifies a request as good or bad by the objective of its route.
///
/// A refusal that the caller caused (status below 499) counts as served.
fn quality(result: &Result<Answer, CallFailure>, elapsed_us: u64, route: &Route) -> Quality {
    let is_served = match result {
        Ok(answer) => !answer.status.is_server_error(),
        Err(failure) => failure.reason.status() < 499,
    };
    match is_served && elapsed_us <= route.objective.latency_ms * US_PER_MS {
        true => Quality::Good,
        false => Quality::Bad,
    }
}

/// Converts the answer of a call into an HTTP response.
pub(crate) fn into_response(answer: Answer, request_id: RequestId) -> Response<AnswerBody> {
    let mut response = Response::new(answer.body);
    *response.status_mut() = answer.status;
    *response.headers_mut() = answer.headers;
    let out = response.headers_mut();
    out.insert(headers::OUTCOME, HeaderValue::from_static(Outcome::Answered.as_str()));
    insert_request_id(out, request_id);
    response
}

/// Returns the idempotency key of a request, or an error if it is malformed.
fn idempotency_key(headers: &HeaderMap) -> Result<Option<String>, Reason> {
    let Some(value) = headers.get(headers::IDEMPOTENCY_KEY) else {
        return Ok(None);
    };
    let key = value.to_str().map_err(|_| Reason::BadRequest)?;
    if key.is_empty() || key.len() > MAX_IDEMPOTENCY_KEY_BYTES {
        return Err(Reason::BadRequest);
    }
    Ok(Some(key.to_owned()))
}

//! Listener for the calls and announcements of the local upstream.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use daemon::Clock;
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use model::{Announcement, CallContext, Class, Outcome, Reason, RequestId, ServiceName, headers};
use policy::US_PER_MS;
use slog::{Logger, info, warn};
use tokio::sync::watch;

use crate::answer::{Answer, CallFailure};
use crate::body::{AnswerBody, BodyError, CallBody};
use crate::call::{ActiveCall, CallHead};
use crate::caller_listener;
use crate::dispatch::{Dispatcher, OutboundCall, RouteMatch};
use crate::http_listener::Handler;
use crate::stats::Counter;

/// Path to which the local upstream posts its announcements.
pub(crate) const ANNOUNCE_PATH: &str = "/.heatherweir/announce";
const MAX_ANNOUNCEMENT_BYTES: u64 = 16 * 1024;
/// Maximum time to receive an announcement.
const ANNOUNCEMENT_TIMEOUT: Duration = Duration::from_secs(2);

/// Accepts the calls and announcements of the local upstream.
pub(crate) struct EgressHandler {
    log: Logger,
    dispatcher: Arc<Dispatcher>,
    report_trigger: watch::Sender<u64>,
}

impl EgressHandler {
    /// Creates a handler. Incrementing `report_trigger` makes the control thread send a report.
    pub(crate) fn new(
        log: Logger,
        dispatcher: Arc<Dispatcher>,
        report_trigger: watch::Sender<u64>,
    ) -> Self {
        Self { log, dispatcher, report_trigger }
    }

    async fn handle_announcement(&self, request: Request<Incoming>) -> Response<AnswerBody> {
        let (body, max_time) = (request.into_body(), ANNOUNCEMENT_TIMEOUT);
        let read = CallBody::read_in_time(body, MAX_ANNOUNCEMENT_BYTES, max_time).await;
        let body = match read {
            Ok(CallBody::Buffered(bytes)) => bytes,
            _ => return self.bad_announcement("the announcement cannot be read"),
        };
        let announcement: Announcement = match serde_json::from_slice(&body) {
            Ok(announcement) => announcement,
            Err(error) => return self.bad_announcement(&error.to_string()),
        };
        if let Err(error) = announcement.validate() {
            return self.bad_announcement(&error.to_string());
        }
        let ingress = &self.dispatcher.ingress;
        let previous = ingress.upstream().map(|upstream| upstream.announcement.clone());
        let is_changed = previous.as_ref() != Some(&announcement);
        if is_changed {
            info!(self.log, "upstream-announced"; "service" => %announcement.service,
                "address" => %announcement.address, "leaving" => announcement.is_leaving);
        }
        ingress.record_announcement(announcement);
        if is_changed {
            self.report_trigger.send_modify(|count| *count += 1);
        }
        let in_flight = ingress.admission_load().in_flight;
        let reply = serde_json::json!({ "in_flight": in_flight }).to_string();
        json_response(StatusCode::OK, reply)
    }

    fn bad_announcement(&self, message: &str) -> Response<AnswerBody> {
        self.dispatcher.stats.increment(Counter::BadInput);
        warn!(self.log, "announcement-refused"; "error" => message.to_owned());
        let reply = serde_json::json!({ "code": "bad-announcement", "message": message });
        json_response(StatusCode::BAD_REQUEST, reply.to_string())
    }

    async fn dispatch(
        &self,
        request_id: RequestId,
        parent: Parent,
        request: Request<Incoming>,
    ) -> Result<Answer, CallFailure> {
        let refuse = |reason| CallFailure::not_run(reason, 0, None);
        let (parts, body) = request.into_parts();
        let service = called_service(&parts.headers).ok_or_else(|| refuse(Reason::BadService))?;
        let path = parts.uri.path_and_query().map_or("/", |path| path.as_str()).to_owned();
        let own_key = parts.headers.get(headers::IDEMPOTENCY_KEY);
        let own_key = own_key.and_then(|key| key.to_str().ok()).map(str::to_owned);
        let parent_key = parent.call.as_ref().and_then(|call| call.idempotency_key.clone());
        let mut head = CallHead {
            request_id,
            service,
            method: parts.method,
            path,
            headers: forwarded_headers(&parts.headers),
            class: parent.class(),
            deadline_us: u64::MAX,
            admitted_unix_us: parent.admitted_unix_us(),
            retry_allowance: 0,
            idempotency_key: own_key.or(parent_key),
        };
        let RouteMatch { route, policy, .. } = self.dispatcher.route(&head).map_err(refuse)?;
        let now_us = self.dispatcher.clock.now_us();
        let own_deadline_us = now_us + route.deadline_ms * US_PER_MS;
        head.deadline_us = parent.deadline_us().min(own_deadline_us);
        if head.deadline_us <= now_us {
            return Err(refuse(Reason::DeadlineExceeded));
        }
        if route.is_claimed && head.idempotency_key.is_none() {
            return Err(refuse(Reason::MissingKey));
        }
        let max_time = Duration::from_micros(head.deadline_us - now_us);
        let body = CallBody::read_in_time(body, route.max_body_bytes, max_time).await;
        let body = body.map_err(|error| match error {
            BodyError::TooLarge => refuse(Reason::BodyTooLarge),
            BodyError::DeadlineExceeded => refuse(Reason::RequestTimeout),
            _ => refuse(Reason::TruncatedRequest),
        })?;
        let parent = parent.call.unwrap_or_else(|| Arc::new(ActiveCall::new(&head, 0)));
        self.dispatcher.run(OutboundCall { head, retry_policy: policy, parent }, body).await
    }

    /// Returns the parent of a new call: the call in progress to which its context header refers.
    fn parent(&self, headers: &HeaderMap) -> Result<Parent, Reason> {
        let Some(value) = headers.get(headers::CONTEXT) else {
            self.dispatcher.stats.increment(Counter::EgressOrphans);
            return Ok(Parent { call: None });
        };
        let text = value.to_str().map_err(|_| Reason::MissingContext)?;
        let context: CallContext = text.parse().map_err(|_| Reason::MissingContext)?;
        let call = self.dispatcher.ingress.calls().find(context);
        let call = call.ok_or(Reason::RequestEnded)?;
        Ok(Parent { call: Some(call) })
    }
}

/// Call in progress on whose behalf the upstream makes a call; none if it sent no context.
struct Parent {
    call: Option<Arc<ActiveCall>>,
}

impl Parent {
    fn request_id(&self) -> RequestId {
        let new_id = || RequestId::new(rand::random());
        self.call.as_ref().map_or_else(new_id, |call| call.request_id)
    }

    fn class(&self) -> Class {
        self.call.as_ref().map_or(Class::Sheddable, |call| call.class)
    }

    fn deadline_us(&self) -> u64 {
        self.call.as_ref().map_or(u64::MAX, |call| call.deadline_us)
    }

    fn admitted_unix_us(&self) -> u64 {
        self.call.as_ref().map_or_else(Clock::unix_us, |call| call.admitted_unix_us)
    }
}

impl Handler for EgressHandler {
    async fn handle(&self, request: Request<Incoming>) -> Response<AnswerBody> {
        if request.uri().path() == ANNOUNCE_PATH && request.method() == Method::POST {
            return self.handle_announcement(request).await;
        }
        self.dispatcher.stats.increment(Counter::EgressCalls);
        let parent = match self.parent(request.headers()) {
            Ok(parent) => parent,
            Err(reason) => {
                self.dispatcher.stats.increment(Counter::BadInput);
                let failure = CallFailure::not_run(reason, 0, None);
                return failure.into_response(RequestId::new(rand::random()));
            }
        };
        let request_id = parent.request_id();
        match self.dispatch(request_id, parent, request).await {
            Ok(answer) => caller_listener::into_response(answer, request_id),
            Err(failure) => failure.into_response(request_id),
        }
    }
}

/// Returns the service that a call is addressed to.
fn called_service(headers: &HeaderMap) -> Option<ServiceName> {
    let value = headers.get(headers::SERVICE)?.to_str().ok()?;
    ServiceName::new(value).ok()
}

/// Returns the headers to forward: all but hop-by-hop headers, internal headers and `Expect`.
fn forwarded_headers(from: &HeaderMap) -> HeaderMap {
    let mut kept = HeaderMap::with_capacity(from.len());
    for (name, value) in from {
        let is_kept = !headers::is_internal(name.as_str())
            && !headers::is_hop_by_hop(name.as_str())
            && name != header::EXPECT;
        if is_kept {
            kept.append(name.clone(), value.clone());
        }
    }
    kept
}

fn json_response(status: StatusCode, body: String) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::buffered(Bytes::from(body)));
    *response.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    let outcome = HeaderValue::from_static(Outcome::Answered.as_str());
    response.headers_mut().insert(headers::OUTCOME, outcome);
    response
}

//! Calls between nodes: HTTP/1.1 with internal headers. Each response carries the load of the node.

#[cfg(test)]
mod tests;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use daemon::Clock;
use http::{HeaderMap, HeaderName, HeaderValue, Request, Response, StatusCode};
use http_body::Body;
use model::{Idempotence, Outcome, Reason, ServiceName, headers};
use policy::placement::PlacementLoad;
use policy::shared_failures::FailureShare;
use policy::slots::CallPriority;
use policy::vm_rates::VmRates;
use quick_error::quick_error;

use crate::body::{self, AnswerBody, CallBody, StreamGuard};
use crate::call::CallHead;
use crate::connection_pool::{ConnectionPool, ReusePolicy, SendError};
use crate::failure::CallFailure;
use crate::forwarded_headers::forwarded_headers;
use crate::http_listener::{Handler, InboundBody};
use crate::ingress::{Answer, Ingress, NodeLoad};
use crate::protocol_adapter::ProtocolAdapter;
use crate::quarantine_peers::{QUARANTINE, QuarantinePeers};
use crate::shared_failures::{self, FAILURE_EXCHANGE, SharedFailures};

/// Version of the internal headers; nodes refuse calls with another version.
const VERSION: &str = "1";
const SERVICE: HeaderName = HeaderName::from_static(headers::SERVICE);
/// Fields of a call, separated by spaces: version, route digest, whether the request is in
/// progress, priority level, sequence, time to the deadline and maximum wait in microseconds,
/// whether it is idempotent, and whether it is a repeat. The last field is absent in calls of older
/// nodes.
const CALL: HeaderName = HeaderName::from_static("heatherweir-call");
/// Service of the VM that the call comes from.
const CALLER: HeaderName = HeaderName::from_static("heatherweir-caller");
/// Name of the client account of the request that the call serves, in UTF-8. Absent without one.
/// Nodes of older versions ignore it.
const ACCOUNT: HeaderName = HeaderName::from_static("heatherweir-account");
/// Fields of a node's load, separated by spaces: calls in flight, queued calls, limit, whether the
/// node is leaving, overload probability in thousandths, arrivals and completions per second, mean
/// service time in microseconds, and time without a completion in milliseconds. The last four are
/// absent in answers of older nodes, which ignore them, and of nodes that do not balance by them.
const LOAD: HeaderName = HeaderName::from_static("heatherweir-load");
/// Number of calls that a run made, over all levels below it. Absent in answers of older nodes.
const CALLS: HeaderName = HeaderName::from_static("heatherweir-calls");
/// Present in a failure that would recur at every upstream. Nodes of older versions ignore it.
const FINAL: HeaderName = HeaderName::from_static("heatherweir-final");
/// Present in the failure of a run whose calls were turned away for lack of capacity. Nodes of older
/// versions ignore it.
const LACKED_CAPACITY: HeaderName = HeaderName::from_static("heatherweir-lacked-capacity");
const OUTCOME: HeaderName = HeaderName::from_static(headers::OUTCOME);
const REASON: HeaderName = HeaderName::from_static(headers::REASON);
/// Expected wait for a slot in microseconds, and whether the call may have reached the upstream.
const REFUSAL: HeaderName = HeaderName::from_static("heatherweir-refusal");

/// Maximum body size accepted from another node, in bytes. Unlimited, since the node that received
/// the request from its caller enforces the configured limit.
const MAX_BODY_BYTES: u64 = u64::MAX;

quick_error! {
    /// Invalid internal headers of a call.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum CallHeaderError {
        /// An internal header is missing or malformed.
        Malformed {
            display("the internal headers are missing or malformed")
        }
        /// The headers have another version.
        Version {
            display("the internal headers have an unsupported version")
        }
    }
}

/// Result of a call, with what the node that answered reported.
pub(crate) struct Forwarded {
    pub(crate) result: Result<Answer, CallFailure>,
    pub(crate) load: Option<NodeLoad>,
    /// Share of the recent runs of the call's route at the node that failed for lack of capacity.
    pub(crate) share: Option<FailureShare>,
}

impl Forwarded {
    pub(crate) fn new(result: Result<Answer, CallFailure>, load: Option<NodeLoad>) -> Self {
        Self { result, load, share: None }
    }
}

/// Forwards a call to another node.
pub(crate) async fn forward(
    pool: &ConnectionPool,
    clock: Clock,
    address: SocketAddr,
    head: &CallHead,
    body: CallBody,
) -> Forwarded {
    let Some(request) = encode_call(clock, head, body) else {
        return Forwarded::new(Err(CallFailure::not_run(Reason::BadRequest)), None);
    };
    // Nodes close connections only after a long idle time, so any idle connection is safe to reuse.
    let (response, connection) = match pool.send(address, request, ReusePolicy::AnyIdle, None).await
    {
        Ok(sent) => sent,
        Err(SendError::NotSent(_)) => {
            return Forwarded::new(Err(CallFailure::not_run(Reason::ConnectFailed)), None);
        }
        Err(SendError::Broken) => {
            return Forwarded::new(Err(CallFailure::unknown(Reason::ConnectionLost)), None);
        }
    };
    let (parts, mut incoming) = response.into_parts();
    let Some(load) = decode_load(&parts.headers) else {
        return Forwarded::new(Err(CallFailure::unknown(Reason::VersionMismatch)), None);
    };
    let share = shared_failures::read_share(&parts.headers);
    let failure = decode_failure(&parts.headers);
    let calls = parts.headers.get(CALLS).and_then(|value| value.to_str().ok()?.parse().ok());
    let is_final = parts.headers.contains_key(FINAL);
    let lacked_capacity = parts.headers.contains_key(LACKED_CAPACITY);
    let read = match incoming.size_hint().lower() > body::MAX_BUFFERED_BYTES as u64 {
        true => Ok((bytes::Bytes::new(), false)),
        false => body::read_buffered(&mut incoming).await,
    };
    let Ok((buffered, is_complete)) = read else {
        return Forwarded::new(Err(CallFailure::unknown(Reason::TruncatedAnswer)), Some(load));
    };
    let body = if is_complete {
        connection.return_to_pool();
        AnswerBody::buffered(buffered)
    } else {
        let remaining_us = head.deadline_us.saturating_sub(clock.now_us());
        let guard = StreamGuard::Peer { connection };
        AnswerBody::streaming(buffered, incoming, guard, Duration::from_micros(remaining_us))
    };
    let result = match failure {
        Some(failure) => Err(failure),
        None => {
            let headers = forwarded_headers(parts.headers, &[]);
            Ok(Answer { status: parts.status, headers, body, calls, is_final, lacked_capacity })
        }
    };
    Forwarded { result, load: Some(load), share }
}

/// Handler of calls from other nodes.
pub(crate) struct PeerHandler<D> {
    clock: Clock,
    ingress: Arc<Ingress<D>>,
    quarantine_peers: Arc<QuarantinePeers>,
    shared_failures: Arc<SharedFailures>,
}

impl<D: ProtocolAdapter> PeerHandler<D> {
    pub(crate) fn new(
        clock: Clock,
        ingress: Arc<Ingress<D>>,
        quarantine_peers: Arc<QuarantinePeers>,
        shared_failures: Arc<SharedFailures>,
    ) -> Self {
        Self { clock, ingress, quarantine_peers, shared_failures }
    }

    /// Serves a call. Returns the result and the share of failed runs of the call's route.
    async fn answer(
        &self,
        request: Request<InboundBody>,
    ) -> (Result<Answer, CallFailure>, Option<FailureShare>) {
        let (parts, incoming) = request.into_parts();
        let head = match decode_call(self.clock, parts, &*self.ingress) {
            Ok(head) => head,
            Err(CallHeaderError::Malformed) => {
                return (Err(CallFailure::not_run(Reason::BadRequest)), None);
            }
            Err(CallHeaderError::Version) => {
                return (Err(CallFailure::not_run(Reason::VersionMismatch)), None);
            }
        };
        let kind = head.kind;
        let result = self.serve(head, incoming).await;
        (result, self.shared_failures.share(kind))
    }

    async fn serve(&self, head: CallHead, incoming: InboundBody) -> Result<Answer, CallFailure> {
        let remaining_us = head.deadline_us.saturating_sub(self.clock.now_us());
        let read = CallBody::read(incoming, MAX_BODY_BYTES);
        let body = tokio::time::timeout(Duration::from_micros(remaining_us), read).await;
        let body = body.map_err(|_| CallFailure::not_run(Reason::RequestTimeout))?;
        let body = body.map_err(|_| CallFailure::not_run(Reason::TruncatedRequest))?;
        self.ingress.serve(head, body).await
    }
}

impl<D: ProtocolAdapter> Handler for PeerHandler<D> {
    async fn handle(
        &self,
        request: Request<InboundBody>,
        _remote: SocketAddr,
    ) -> Response<AnswerBody> {
        if let Some(kind) = request.headers().get(QUARANTINE).cloned() {
            return self.quarantine_peers.handle(&kind, request.into_body()).await;
        }
        if let Some(message) = request.headers().get(FAILURE_EXCHANGE) {
            let mut response = self.shared_failures.handle(message);
            response.headers_mut().insert(LOAD, encode_load(self.ingress.load()));
            return response;
        }
        let (result, share) = self.answer(request).await;
        let mut response = match result {
            Ok(answer) => {
                let mut response = Response::new(answer.body);
                *response.status_mut() = answer.status;
                *response.headers_mut() = answer.headers;
                if let Some(calls) = answer.calls {
                    response.headers_mut().insert(CALLS, HeaderValue::from(calls));
                }
                if answer.is_final {
                    response.headers_mut().insert(FINAL, HeaderValue::from_static("1"));
                }
                if answer.lacked_capacity {
                    response.headers_mut().insert(LACKED_CAPACITY, HeaderValue::from_static("1"));
                }
                response
            }
            Err(failure) => encode_failure(&failure),
        };
        response.headers_mut().insert(LOAD, encode_load(self.ingress.load()));
        shared_failures::write_share(response.headers_mut(), share);
        response
    }
}

fn encode_call(clock: Clock, head: &CallHead, body: CallBody) -> Option<Request<CallBody>> {
    let remaining_us = head.deadline_us.saturating_sub(clock.now_us());
    let is_in_progress = u8::from(head.priority.is_in_progress());
    let (priority_level, sequence) = (head.priority.level(), head.sequence);
    let is_idempotent = u8::from(head.idempotence == Idempotence::Idempotent);
    let is_repeat = u8::from(head.is_repeat);
    let (kind, max_wait_us) = (head.kind, head.max_wait_us);
    let call = format!(
        "{VERSION} {kind} {is_in_progress} {priority_level} {sequence} {remaining_us} \
         {max_wait_us} {is_idempotent} {is_repeat}"
    );
    let mut request = Request::new(body);
    *request.method_mut() = head.method.clone();
    *request.uri_mut() = head.uri.clone();
    let mut headers = head.headers.clone();
    headers.insert(SERVICE, HeaderValue::try_from(head.service.as_str()).ok()?);
    headers.insert(CALLER, HeaderValue::try_from(&*head.caller).ok()?);
    headers.insert(CALL, HeaderValue::try_from(call).ok()?);
    if let Some(account) = &head.account {
        headers.insert(ACCOUNT, HeaderValue::from_bytes(account.as_bytes()).ok()?);
    }
    *request.headers_mut() = headers;
    Some(request)
}

fn decode_call<D: ProtocolAdapter>(
    clock: Clock,
    parts: http::request::Parts,
    ingress: &Ingress<D>,
) -> Result<CallHead, CallHeaderError> {
    let text = |name: &HeaderName| {
        let value = parts.headers.get(name).and_then(|value| value.to_str().ok());
        value.ok_or(CallHeaderError::Malformed)
    };
    let service = ServiceName::new(text(&SERVICE)?).map_err(|_| CallHeaderError::Malformed)?;
    let caller = Arc::from(text(&CALLER)?);
    let account = decode_account(&parts.headers)?;
    let mut fields = text(&CALL)?.split(' ');
    if fields.next() != Some(VERSION) {
        return Err(CallHeaderError::Version);
    }
    let mut number = || {
        let field = fields.next().and_then(|field| field.parse::<u64>().ok());
        field.ok_or(CallHeaderError::Malformed)
    };
    let kind = number()?;
    let is_in_progress = number()? != 0;
    let priority_level = u32::try_from(number()?).map_err(|_| CallHeaderError::Malformed)?;
    let sequence = u32::try_from(number()?).map_err(|_| CallHeaderError::Malformed)?;
    let priority = if is_in_progress {
        CallPriority::InProgress(priority_level)
    } else {
        CallPriority::NewRequest(priority_level)
    };
    let remaining_us = number()?;
    let max_wait_us = number()?;
    let idempotence = match number()? {
        1 => Idempotence::Idempotent,
        _ => Idempotence::NonIdempotent,
    };
    let is_repeat = number().is_ok_and(|field| field != 0);
    let headers = forwarded_headers(parts.headers, &[]);
    let request_id = ingress.request_id(&headers);
    Ok(CallHead {
        service,
        caller,
        account,
        method: parts.method,
        uri: parts.uri,
        request_id,
        headers,
        priority,
        sequence,
        kind,
        idempotence,
        is_repeat,
        deadline_us: clock.now_us().saturating_add(remaining_us).min(ingress.latest_deadline_us()),
        max_wait_us,
    })
}

fn decode_account(headers: &HeaderMap) -> Result<Option<Arc<str>>, CallHeaderError> {
    let Some(value) = headers.get(ACCOUNT) else { return Ok(None) };
    let name = std::str::from_utf8(value.as_bytes()).map_err(|_| CallHeaderError::Malformed)?;
    Ok(Some(Arc::from(name)))
}

fn encode_load(load: NodeLoad) -> HeaderValue {
    let PlacementLoad { in_flight, queued, limit } = load.placement;
    let is_leaving = u8::from(load.is_leaving);
    let overload_permille = load.overload_permille;
    let mut text = format!("{in_flight} {queued} {limit} {is_leaving} {overload_permille}");
    if let Some(rates) = load.rates {
        let VmRates { arrivals_per_s, completions_per_s, service_us, no_completion_ms } = rates;
        text.push_str(&format!(
            " {arrivals_per_s} {completions_per_s} {service_us} {no_completion_ms}"
        ));
    }
    HeaderValue::try_from(text).unwrap_or(HeaderValue::from_static("0 0 1 0 0"))
}

fn decode_load(headers: &HeaderMap) -> Option<NodeLoad> {
    let mut fields = headers.get(LOAD)?.to_str().ok()?.split(' ');
    let mut number = || fields.next()?.parse::<u32>().ok();
    let placement = PlacementLoad { in_flight: number()?, queued: number()?, limit: number()? };
    let is_leaving = number()? != 0;
    let overload_permille = number()?;
    let rates = read_rates(number);
    Some(NodeLoad { placement, rates, is_leaving, overload_permille })
}

/// Reads the rates of a VM. Returns `None` if a field is missing or malformed.
fn read_rates(mut number: impl FnMut() -> Option<u32>) -> Option<VmRates> {
    Some(VmRates {
        arrivals_per_s: number()?,
        completions_per_s: number()?,
        service_us: number()?,
        no_completion_ms: number()?,
    })
}

/// Returns the overload that a node reported with an answer, from zero to one.
pub(crate) fn reported_overload(headers: &HeaderMap) -> f64 {
    decode_load(headers).map_or(0.0, |load| f64::from(load.overload_permille) / 1_000.0)
}

fn encode_failure(failure: &CallFailure) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::default());
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    let headers = response.headers_mut();
    headers.insert(OUTCOME, HeaderValue::from_static(failure.outcome.as_str()));
    headers.insert(REASON, HeaderValue::from_static(failure.reason.as_str()));
    let has_reached_upstream = u8::from(failure.has_reached_upstream);
    let refusal = format!("{} {has_reached_upstream}", failure.expected_wait.as_micros());
    if let Ok(refusal) = HeaderValue::try_from(refusal) {
        headers.insert(REFUSAL, refusal);
    }
    response
}

fn decode_failure(headers: &HeaderMap) -> Option<CallFailure> {
    let text = |name: &HeaderName| headers.get(name).and_then(|value| value.to_str().ok());
    let outcome = match text(&OUTCOME)? {
        "not-run" => Outcome::NotRun,
        _ => Outcome::Unknown,
    };
    let reason = text(&REASON).and_then(Reason::from_code).unwrap_or(Reason::VersionMismatch);
    let mut refusal = text(&REFUSAL).unwrap_or_default().split(' ');
    let wait_us = refusal.next().and_then(|field| field.parse().ok()).unwrap_or(0);
    // A missing field is read as `true`, which may charge a retry to the budget without need.
    let has_reached_upstream = refusal.next() != Some("0");
    Some(CallFailure {
        outcome,
        reason,
        expected_wait: Duration::from_micros(wait_us),
        has_reached_upstream,
        account: None,
    })
}

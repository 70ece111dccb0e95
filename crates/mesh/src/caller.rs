//! Requests of callers and of the upstream beside the node.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::request::Parts;
use http::{HeaderValue, Request, Response, StatusCode, header};
use model::{CallerLimits, Configuration, HostRoute, Outcome, Reason, ServiceName};
use policy::US_PER_MS;
use policy::retry_after;
use policy::slots::Standing;
use slog::info;

use crate::body::{AnswerBody, BodyError, CallBody};
use crate::call::{self, CallHead};
use crate::configuration_holder::ConfigurationHolder;
use crate::dialect::{Dialect, RequestFacts};
use crate::dispatch::Dispatcher;
use crate::entry_throttles::{EntryThrottles, NewRequest};
use crate::failure::Failure;
use crate::ingress::{Answer, forwarded_headers};
use crate::listener::{ConnectionLimits, Handler, InboundBody};
use crate::running_ids::Lineage;

/// Time that a caller waits if neither it nor the route says how long, in milliseconds.
const DEFAULT_TIMEOUT_MS: u64 = 30_000;
/// Part of the latency objective that a new request may wait for a slot. A caller that is refused
/// within it can still be served in time elsewhere or later.
const MAX_WAIT_PART: u64 = 8;
/// Longest wait of a new request without an objective, in milliseconds.
const DEFAULT_MAX_WAIT_MS: u64 = 200;

/// Handler of the caller listener.
pub(crate) struct CallerHandler<D> {
    pub(crate) dialect: Arc<D>,
    pub(crate) dispatcher: Arc<Dispatcher<D>>,
    pub(crate) configuration: Arc<ConfigurationHolder>,
    pub(crate) throttles: EntryThrottles,
    /// Service named in the settings, until the upstream has reported itself.
    pub(crate) service: ServiceName,
}

impl<D: Dialect> CallerHandler<D> {
    async fn answer(
        &self,
        request: Request<InboundBody>,
        facts: &RequestFacts,
        remote: SocketAddr,
    ) -> Result<Answer, Failure> {
        let started_us = self.dispatcher.clock.now_us();
        let (parts, incoming) = request.into_parts();
        let in_force =
            self.configuration.load().ok_or_else(|| Failure::not_run(Reason::NoProfile))?;
        let limits = in_force.configuration.limits();
        let route = find_route(&in_force.configuration, &parts, limits)?;
        let service =
            in_force.next_service(route).ok_or_else(|| Failure::not_run(Reason::UnknownRoute))?;
        let head = self.call_head(parts, facts, route, service, started_us);
        let body = CallBody::read(incoming, limits.max_body_bytes).await;
        let body = body.map_err(|error| {
            Failure::not_run(match error {
                BodyError::TooLarge => Reason::BodyTooLarge,
                BodyError::Transport(_) => Reason::TruncatedRequest,
            })
        })?;
        let result = match head.standing {
            Standing::Begun(_) => self.run_begun(head, body, route).await,
            Standing::Entry(rank) => self.run_entry(head, body, route, rank, remote).await,
        };
        let elapsed_us = self.dispatcher.clock.now_us().saturating_sub(started_us);
        if result.is_ok() && route.objective_ms.is_some_and(|ms| elapsed_us > ms * US_PER_MS) {
            self.log_late(facts, route, elapsed_us);
        }
        result
    }

    fn call_head(
        &self,
        parts: Parts,
        facts: &RequestFacts,
        route: &HostRoute,
        service: ServiceName,
        started_us: u64,
    ) -> CallHead {
        let ingress = &self.dispatcher.ingress;
        let lineage = facts.request_id.as_ref().and_then(|id| ingress.lineage(id));
        let (standing, order) = match lineage {
            Some(Lineage { rank, order }) => (Standing::Begun(rank), order),
            None => (Standing::Entry(route.rank), rand::random()),
        };
        let caller = ingress.upstreams.service().unwrap_or_else(|| self.service.clone());
        CallHead {
            service,
            caller: Arc::from(caller.as_str()),
            method: parts.method,
            uri: parts.uri,
            headers: forwarded_headers(parts.headers),
            request_id: facts.request_id.clone(),
            standing,
            order,
            kind: call::kind_of(route),
            repeatability: route.repeatability,
            deadline_us: started_us + time_left(facts, route).as_micros() as u64,
            max_wait_us: max_wait_us(standing, route),
        }
    }

    fn log_late(&self, facts: &RequestFacts, route: &HostRoute, elapsed_us: u64) {
        let Some(log) = self.dispatcher.request_log.line(&self.dispatcher.metrics) else { return };
        info!(log, "request-late"; "request" => id_text(facts), "route" => &*route.name,
            "elapsed_ms" => elapsed_us / US_PER_MS, "objective_ms" => route.objective_ms,
            "configuration" => self.configuration.version());
    }

    /// Runs a call of the upstream and notes how it fared.
    async fn run_begun(
        &self,
        head: CallHead,
        body: CallBody,
        route: &HostRoute,
    ) -> Result<Answer, Failure> {
        let service = head.service.clone();
        let result = self.dispatcher.run(head, body, route.max_attempts).await;
        let is_refused = result.as_ref().is_err_and(|failure| failure.outcome == Outcome::NotRun);
        let now_us = self.dispatcher.clock.now_us();
        let pressure = match is_refused {
            true => 1.0,
            false => self.dispatcher.endpoints.pressure(now_us, &service),
        };
        self.dispatcher.ingress.record_call(pressure);
        result
    }

    /// Runs a new request unless too many of its kind fail deeper down.
    async fn run_entry(
        &self,
        head: CallHead,
        body: CallBody,
        route: &HostRoute,
        rank: u32,
        remote: SocketAddr,
    ) -> Result<Answer, Failure> {
        let kind = head.kind;
        let request = NewRequest { kind, rank, caller: caller_digest(&head, remote) };
        let now_us = self.dispatcher.clock.now_us();
        let pressure = self.dispatcher.endpoints.pressure(now_us, &head.service);
        self.throttles
            .admit(request, pressure)
            .map_err(|wait| Failure::not_run(Reason::ShedByLevel).with_wait(wait))?;
        let result = self.dispatcher.run(head, body, route.max_attempts).await;
        let has_failed = match &result {
            Ok(answer) => answer.status.is_server_error(),
            Err(failure) => failure.outcome == Outcome::Unknown,
        };
        self.throttles.record_end(kind, has_failed);
        result
    }

    fn log_failure(&self, facts: &RequestFacts, failure: &Failure, elapsed_us: u64) {
        let metrics = &self.dispatcher.metrics;
        let Some(log) = self.dispatcher.request_log.line(metrics) else { return };
        info!(log, "request-failed"; "request" => id_text(facts), "reason" => failure.reason.as_str(),
            "outcome" => failure.outcome.as_str(), "status" => failure.status().as_u16(),
            "wait_ms" => failure.wait.as_millis() as u64, "elapsed_ms" => elapsed_us / US_PER_MS,
            "configuration" => self.configuration.version());
    }

    fn failure_response(&self, facts: &RequestFacts, failure: &Failure) -> Response<AnswerBody> {
        let status = failure.status();
        let mut response = Response::new(AnswerBody::default());
        *response.status_mut() = status;
        let headers = response.headers_mut();
        if status == StatusCode::SERVICE_UNAVAILABLE {
            let wait = retry_after::mesh_advice(failure.wait, rand::random());
            self.dialect.write_retry_after(headers, wait);
        }
        if let Some(request_id) = &facts.request_id {
            self.dialect.write_request_id(headers, request_id);
        }
        if matches!(failure.reason, Reason::BodyTooLarge | Reason::TruncatedRequest) {
            headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }
}

impl<D: Dialect> Handler for CallerHandler<D> {
    async fn handle(
        &self,
        request: Request<InboundBody>,
        remote: SocketAddr,
    ) -> Response<AnswerBody> {
        let dispatcher = &self.dispatcher;
        dispatcher.metrics.requests.inc();
        let started_us = dispatcher.clock.now_us();
        let facts = self.dialect.read_request(request.headers());
        let result = self.answer(request, &facts, remote).await;
        let elapsed_us = dispatcher.clock.now_us().saturating_sub(started_us);
        dispatcher.metrics.latency.observe(elapsed_us as f64 / policy::US_PER_S as f64);
        match result {
            Ok(answer) => {
                dispatcher.metrics.answered.inc();
                let mut response = Response::new(answer.body);
                *response.status_mut() = answer.status;
                *response.headers_mut() = answer.headers;
                response
            }
            Err(failure) => {
                match failure.outcome {
                    Outcome::NotRun => dispatcher.metrics.refused_to_caller.inc(),
                    _ => dispatcher.metrics.failed.inc(),
                }
                self.log_failure(&facts, &failure, elapsed_us);
                self.failure_response(&facts, &failure)
            }
        }
    }

    fn is_stopping(&self) -> bool {
        self.dispatcher.ingress.is_stopping()
    }

    fn connection_limits(&self) -> ConnectionLimits {
        let limits = self.configuration.load().map(|in_force| in_force.configuration.limits());
        let limits = limits.unwrap_or_default();
        ConnectionLimits {
            head_timeout: Duration::from_millis(limits.header_timeout_ms),
            idle_timeout: Duration::from_millis(limits.idle_timeout_ms),
            max_head_bytes: usize::try_from(limits.max_header_bytes).unwrap_or(usize::MAX),
        }
    }
}

/// Returns the id of a request for logs.
fn id_text(facts: &RequestFacts) -> &str {
    facts.request_id.as_ref().and_then(|id| id.to_str().ok()).unwrap_or("-")
}

/// Returns a digest by which a caller that comes back with the same request is known.
fn caller_digest(head: &CallHead, remote: SocketAddr) -> u64 {
    let mut hasher = DefaultHasher::new();
    remote.ip().hash(&mut hasher);
    head.method.hash(&mut hasher);
    head.uri.hash(&mut hasher);
    hasher.finish()
}

/// Finds the route of a request by its host as sent, then without the port.
fn find_route<'a>(
    configuration: &'a Configuration,
    parts: &Parts,
    limits: CallerLimits,
) -> Result<&'a Arc<HostRoute>, Failure> {
    let refuse = |reason| Failure::not_run(reason);
    /// Colon, space and line end of a header.
    const SEPARATOR_BYTES: usize = 4;
    let head_bytes: usize = parts
        .headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + SEPARATOR_BYTES)
        .sum();
    if head_bytes as u64 > limits.max_header_bytes {
        return Err(refuse(Reason::HeadersTooLarge));
    }
    let host = parts.headers.get(header::HOST).and_then(|host| host.to_str().ok());
    let host = host.or_else(|| parts.uri.authority().map(|authority| authority.as_str()));
    let host = host.ok_or_else(|| refuse(Reason::BadRequest))?;
    let path = parts.uri.path();
    let without_port = || configuration.find(host.rsplit_once(':')?.0, path);
    let route = configuration.find(host, path).or_else(without_port);
    route.ok_or_else(|| refuse(Reason::UnknownRoute))
}

fn time_left(facts: &RequestFacts, route: &HostRoute) -> Duration {
    let by_route = route.timeout_ms.map(Duration::from_millis);
    let least = [facts.time_left, by_route].into_iter().flatten().min();
    least.unwrap_or(Duration::from_millis(DEFAULT_TIMEOUT_MS))
}

/// A begun request waits as long as it can still finish; a new one only while that costs it nothing.
fn max_wait_us(standing: Standing, route: &HostRoute) -> u64 {
    match (standing, route.objective_ms) {
        (Standing::Begun(_), _) => DEFAULT_TIMEOUT_MS * US_PER_MS,
        (Standing::Entry(_), Some(objective_ms)) => objective_ms * US_PER_MS / MAX_WAIT_PART,
        (Standing::Entry(_), None) => DEFAULT_MAX_WAIT_MS * US_PER_MS,
    }
}

//! Handler of requests from callers and from the local upstream.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::request::Parts;
use http::{HeaderName, HeaderValue, Request, Response, Uri, header};
use model::{
    CallerLimits, Configuration, HostRoute, KeyDigest, Outcome, Reason, ServiceName, headers,
};
use policy::US_PER_MS;
use policy::overload::RequestEnd;
use policy::retry_after;
use policy::slots::CallPriority;
use slog::info;

use crate::account_access::{ParentLookup, RequestOrigin, account_with_key};
use crate::account_quotas::AccountQuotas;
use crate::body::{AnswerBody, BodyError, CallBody};
use crate::broken_answers::BreakReporter;
use crate::call::{self, CallHead};
use crate::configuration_holder::ConfigurationHolder;
use crate::configuration_lease::ConfigurationLease;
use crate::dispatch::Dispatcher;
use crate::expected_upstream::ExpectedUpstream;
use crate::failure::CallFailure;
use crate::forwarded_headers::forwarded_headers;
use crate::http_listener::{ConnectionLimits, Handler, InboundBody};
use crate::ingress::Answer;
use crate::protocol_adapter::{ProtocolAdapter, RequestMetadata};
use crate::request_throttles::{NewRequest, RequestThrottles};

/// Timeout of a request if neither the caller nor the route sets one, in milliseconds. Also the
/// maximum time that a call of a request in progress may wait for a slot.
const DEFAULT_TIMEOUT_MS: u64 = 30_000;
/// Divisor of the latency objective that gives the maximum time a new request may wait for a slot.
/// A caller that is refused within this time can still meet the objective with a retry.
const MAX_WAIT_DIVISOR: u64 = 8;
/// Maximum time that a new request without a latency objective may wait for a slot, in
/// milliseconds.
const DEFAULT_MAX_WAIT_MS: u64 = 200;

const OUTCOME: HeaderName = HeaderName::from_static(headers::OUTCOME);
const REASON: HeaderName = HeaderName::from_static(headers::REASON);

/// Handler of the caller listener.
pub(crate) struct CallerHandler<D> {
    pub(crate) adapter: Arc<D>,
    pub(crate) dispatcher: Arc<Dispatcher<D>>,
    pub(crate) configuration: Arc<ConfigurationHolder>,
    pub(crate) lease: Arc<ConfigurationLease>,
    pub(crate) throttles: Arc<RequestThrottles>,
    pub(crate) expected_upstream: Arc<ExpectedUpstream>,
    pub(crate) quotas: Arc<AccountQuotas>,
}

impl<D: ProtocolAdapter> CallerHandler<D> {
    /// Routes a request and returns the response of an upstream.
    async fn answer(
        &self,
        request: Request<InboundBody>,
        metadata: &RequestMetadata,
        remote: SocketAddr,
    ) -> Result<Answer, CallFailure> {
        let started_us = self.dispatcher.clock.now_us();
        let (parts, incoming) = request.into_parts();
        let active =
            self.configuration.load().ok_or_else(|| CallFailure::not_run(Reason::NoProfile))?;
        let limits = active.configuration.limits();
        if metadata.request_id.is_none() || !is_unambiguous(&parts) {
            return Err(CallFailure::not_run(Reason::BadRequest));
        }
        let route = find_route(&active.configuration, &parts, limits)?;
        let service =
            active.next_service(route).ok_or_else(|| CallFailure::not_run(Reason::UnknownRoute))?;
        let origin = self.origin(&active.configuration, route, &parts, metadata)?;
        let mut head = self.call_head(parts, metadata, route, service, &origin, started_us);
        if active.configuration.has_client_accounts() {
            self.adapter.remove_account_headers(&mut head.headers);
        }
        let account = head.account.clone();
        let remaining_us = head.deadline_us.saturating_sub(started_us);
        let body = read_body(incoming, limits, Duration::from_micros(remaining_us)).await?;
        self.check_new_accounts(&active.configuration, &mut head)?;
        let result = match head.priority {
            CallPriority::InProgress(_) => self.run_in_progress(head, body, route).await,
            CallPriority::NewRequest(priority_level) => {
                let request = NewRequest {
                    kind: head.kind,
                    priority_level,
                    caller: caller_digest(&head, remote),
                };
                self.run_new(head, body, route, request, origin.key()).await
            }
        };
        let result = result.map_err(|failure| failure.with_account(account));
        let elapsed_us = self.dispatcher.clock.now_us().saturating_sub(started_us);
        if result.is_ok()
            && route.objective_latency_ms.is_some_and(|ms| elapsed_us > ms * US_PER_MS)
        {
            self.log_late_request(metadata, route, elapsed_us);
        }
        result
    }

    /// Determines the sender of a request.
    fn origin(
        &self,
        configuration: &Configuration,
        route: &HostRoute,
        parts: &Parts,
        metadata: &RequestMetadata,
    ) -> Result<RequestOrigin, CallFailure> {
        let ingress = &self.dispatcher.ingress;
        let parent = match &metadata.request_id {
            Some(id) if self.adapter.parent_id(id).is_some() => {
                let running = ingress.parent_request(id);
                running.map_or(ParentLookup::Unknown, ParentLookup::Running)
            }
            _ => ParentLookup::Absent,
        };
        let read_key = || self.adapter.read_account_key(&parts.headers);
        RequestOrigin::new(configuration, route, parent, read_key)
    }

    fn call_head(
        &self,
        parts: Parts,
        metadata: &RequestMetadata,
        route: &HostRoute,
        service: ServiceName,
        origin: &RequestOrigin,
        started_us: u64,
    ) -> CallHead {
        let ingress = &self.dispatcher.ingress;
        let (is_repeat, sequence) = match origin {
            RequestOrigin::Upstream(parent) => (parent.is_repeat, parent.sequence),
            RequestOrigin::Account { .. } | RequestOrigin::Anonymous => (false, rand::random()),
        };
        let priority = origin.priority(route);
        let caller = ingress.upstream_state.service();
        let caller = caller.unwrap_or_else(|| self.expected_upstream.identity().service);
        let deadline_us = started_us + remaining_time(metadata, route).as_micros() as u64;
        CallHead {
            service,
            caller: Arc::from(caller.as_str()),
            account: origin.account_name(),
            method: parts.method,
            uri: origin_form(parts.uri),
            headers: forwarded_headers(parts.headers, self.adapter.end_to_end_headers()),
            request_id: metadata.request_id.clone(),
            priority,
            sequence,
            kind: call::route_kind(route),
            idempotence: route.idempotence,
            is_repeat,
            deadline_us: deadline_us.min(ingress.latest_deadline_us()),
            max_wait_us: max_wait_us(priority, route),
        }
    }

    fn log_late_request(&self, metadata: &RequestMetadata, route: &HostRoute, elapsed_us: u64) {
        let Some(log) = self.dispatcher.request_log.rate_limited_logger(&self.dispatcher.metrics)
        else {
            return;
        };
        info!(log, "request-late"; "request" => id_text(metadata), "route" => &*route.name,
            "elapsed_ms" => elapsed_us / US_PER_MS, "objective_ms" => route.objective_latency_ms,
            "configuration" => self.configuration.version());
    }

    /// Runs a call of a request in progress and records the overload of the called service.
    async fn run_in_progress(
        &self,
        head: CallHead,
        body: CallBody,
        route: &HostRoute,
    ) -> Result<Answer, CallFailure> {
        let service = head.service.clone();
        let request_id = head.request_id.clone();
        let result = self.dispatcher.run(head, body, route.max_attempts).await;
        if let (Ok(answer), Some(request_id)) = (&result, &request_id) {
            let calls = answer.calls.unwrap_or(0).saturating_add(1);
            self.dispatcher.ingress.add_calls(request_id, calls);
        }
        let is_final = match &result {
            Ok(answer) => answer.is_final && answer.status.is_server_error(),
            Err(failure) => failure.reason == Reason::Quarantined,
        };
        if let Some(request_id) = request_id.as_ref().filter(|_| is_final) {
            self.dispatcher.ingress.record_final_failure(request_id);
        }
        // A quarantined call says nothing about the capacity of the service.
        let is_not_run = result.as_ref().is_err_and(|failure| {
            failure.outcome == Outcome::NotRun && failure.reason != Reason::Quarantined
        });
        let lacked_capacity =
            is_not_run || result.as_ref().is_ok_and(|answer| answer.lacked_capacity);
        if let Some(request_id) = request_id.filter(|_| lacked_capacity) {
            self.dispatcher.ingress.record_lack_of_capacity(&request_id);
        }
        let now_us = self.dispatcher.clock.now_us();
        let overload = match is_not_run {
            true => 1.0,
            false => self.dispatcher.endpoints.overload(now_us, &service),
        };
        self.dispatcher.ingress.record_call(overload);
        result
    }

    /// Runs a new request unless its throttle refuses it because of overload at its service or at
    /// the services that this one calls.
    async fn run_new(
        &self,
        mut head: CallHead,
        body: CallBody,
        route: &HostRoute,
        request: NewRequest,
        key: Option<KeyDigest>,
    ) -> Result<Answer, CallFailure> {
        let kind = request.kind;
        let now_us = self.dispatcher.clock.now_us();
        let overload = self.dispatcher.endpoints.overload(now_us, &head.service);
        self.throttles
            .admit(request, overload)
            .map_err(|wait| CallFailure::not_run(Reason::ShedByLevel).with_expected_wait(wait))?;
        // After the throttle, so that a request that it refuses does not use up the quota.
        if let Some(key) = key {
            self.admit_account(&mut head, key).await?;
        }
        let result = self.dispatcher.run(head, body, route.max_attempts).await;
        let end = match &result {
            Ok(answer) if answer.lacked_capacity => RequestEnd::LackedCapacity,
            Ok(answer) if answer.status.is_server_error() => RequestEnd::Failed,
            Err(failure) if failure.outcome == Outcome::Unknown => RequestEnd::Failed,
            Ok(_) | Err(_) => RequestEnd::Succeeded,
        };
        let latency = Duration::from_micros(self.dispatcher.clock.now_us().saturating_sub(now_us));
        self.throttles.record_end(kind, end, latency);
        result
    }

    /// Handles the change from a configuration without client accounts to one with them while the body
    /// of a request was read. The headers of the request then still hold its key, and no account was
    /// looked up.
    ///
    /// # Errors
    ///
    /// Returns a failure if the request is new, since it may need a key now.
    fn check_new_accounts(
        &self,
        routed_by: &Configuration,
        head: &mut CallHead,
    ) -> Result<(), CallFailure> {
        let has_accounts = |configuration: &Configuration| configuration.has_client_accounts();
        let is_newest_with_accounts =
            || self.configuration.load().is_some_and(|active| has_accounts(&active.configuration));
        if has_accounts(routed_by) || !is_newest_with_accounts() {
            return Ok(());
        }
        self.adapter.remove_account_headers(&mut head.headers);
        match head.priority {
            CallPriority::InProgress(_) => Ok(()),
            CallPriority::NewRequest(_) => Err(CallFailure::not_run(Reason::ConfigurationUnproven)),
        }
    }

    /// Checks right before the dispatch of a request with a key that its client account may send it.
    ///
    /// The key is looked up again, since the configuration may have changed while the body was read.
    /// With the account found earlier, a slow body would let a key be used long after it was
    /// withdrawn. The proof that the configuration is recent must precede the lookup, so that it
    /// covers the configuration that the lookup reads.
    ///
    /// # Errors
    ///
    /// Returns a failure if the configuration is not proven recent, if no account has the key any more,
    /// or if the account has used up its quota.
    async fn admit_account(&self, head: &mut CallHead, key: KeyDigest) -> Result<(), CallFailure> {
        let active = self.configuration.load();
        let active = active.filter(|active| active.configuration.has_client_accounts());
        let Some(active) = active else { return Ok(()) };
        if !self.lease.admits_key(&active.configuration) {
            return Err(CallFailure::not_run(Reason::ConfigurationUnproven));
        }
        let account = account_with_key(&active.configuration, &key)?;
        self.quotas.admit(account, Duration::from_micros(head.max_wait_us)).await?;
        head.account = Some(Arc::clone(&account.name));
        Ok(())
    }

    /// Counts a request that needs a key and has no known one.
    fn count_refused_key(&self, failure: &CallFailure) {
        match failure.reason {
            Reason::UnknownAccount => self.dispatcher.metrics.unknown_account.inc(),
            Reason::UnknownParent => self.dispatcher.metrics.unknown_parent.inc(),
            _ => {}
        }
    }

    fn log_failure(&self, metadata: &RequestMetadata, failure: &CallFailure, elapsed_us: u64) {
        let metrics = &self.dispatcher.metrics;
        let Some(log) = self.dispatcher.request_log.rate_limited_logger(metrics) else { return };
        info!(log, "request-failed"; "request" => id_text(metadata),
            "reason" => failure.reason.as_str(), "outcome" => failure.outcome.as_str(),
            "status" => failure.status().as_u16(), "account" => failure.account.as_deref(),
            "wait_ms" => failure.expected_wait.as_millis() as u64,
            "elapsed_ms" => elapsed_us / US_PER_MS,
            "configuration" => self.configuration.version());
    }

    fn break_reporter(&self, metadata: &RequestMetadata, started_us: u64) -> BreakReporter {
        BreakReporter {
            request_log: Arc::clone(&self.dispatcher.request_log),
            metrics: Arc::clone(&self.dispatcher.metrics),
            clock: self.dispatcher.clock,
            started_us,
            request_id: metadata.request_id.clone(),
        }
    }

    fn failure_response(
        &self,
        metadata: &RequestMetadata,
        failure: &CallFailure,
    ) -> Response<AnswerBody> {
        let is_quarantined = failure.reason == Reason::Quarantined;
        let status = match is_quarantined {
            true => self.adapter.quarantined_status(),
            false => failure.status(),
        };
        let mut response = Response::new(AnswerBody::default());
        *response.status_mut() = status;
        let headers = response.headers_mut();
        if is_quarantined {
            headers.insert(OUTCOME, HeaderValue::from_static(failure.outcome.as_str()));
            headers.insert(REASON, HeaderValue::from_static(failure.reason.as_str()));
        }
        if !is_quarantined && failure.advises_retry() {
            let wait = retry_after::mesh_delay(failure.expected_wait, rand::random());
            self.adapter.write_retry_after(headers, wait);
        }
        if let Some(request_id) = &metadata.request_id {
            self.adapter.write_request_id(headers, request_id);
        }
        if matches!(
            failure.reason,
            Reason::BadRequest
                | Reason::BodyTooLarge
                | Reason::TruncatedRequest
                | Reason::RequestTimeout
        ) {
            headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }
}

impl<D: ProtocolAdapter> Handler for CallerHandler<D> {
    async fn handle(
        &self,
        request: Request<InboundBody>,
        remote: SocketAddr,
    ) -> Response<AnswerBody> {
        let dispatcher = &self.dispatcher;
        dispatcher.metrics.requests.inc();
        let started_us = dispatcher.clock.now_us();
        let metadata = self.adapter.read_request(request.headers());
        let result = self.answer(request, &metadata, remote).await;
        let elapsed_us = dispatcher.clock.now_us().saturating_sub(started_us);
        dispatcher.metrics.latency.observe(elapsed_us as f64 / policy::US_PER_S as f64);
        match result {
            Ok(answer) => {
                dispatcher.metrics.answered.inc();
                if !answer.body.is_buffered() {
                    answer.body.report_break_to(self.break_reporter(&metadata, started_us));
                }
                let mut response = Response::new(answer.body);
                *response.status_mut() = answer.status;
                *response.headers_mut() = answer.headers;
                response
            }
            Err(failure) => {
                match failure.outcome {
                    Outcome::NotRun => dispatcher.metrics.not_run.inc(),
                    _ => dispatcher.metrics.outcome_unknown.inc(),
                }
                self.count_refused_key(&failure);
                self.log_failure(&metadata, &failure, elapsed_us);
                self.failure_response(&metadata, &failure)
            }
        }
    }

    fn is_stopping(&self) -> bool {
        self.dispatcher.ingress.is_stopping()
    }

    fn connection_limits(&self) -> ConnectionLimits {
        let limits = self.configuration.load().map(|active| active.configuration.limits());
        let limits = limits.unwrap_or_default();
        ConnectionLimits {
            header_timeout: Duration::from_millis(limits.header_timeout_ms),
            idle_timeout: Duration::from_millis(limits.idle_timeout_ms),
            max_header_bytes: usize::try_from(limits.max_header_bytes).unwrap_or(usize::MAX),
        }
    }
}

/// Reads the body of a request until it ends or is long enough to be streamed.
async fn read_body(
    incoming: InboundBody,
    limits: CallerLimits,
    remaining: Duration,
) -> Result<CallBody, CallFailure> {
    let read = CallBody::read(incoming, limits.max_body_bytes);
    let body = tokio::time::timeout(remaining, read).await;
    let body = body.map_err(|_| CallFailure::not_run(Reason::RequestTimeout))?;
    body.map_err(|error| {
        CallFailure::not_run(match error {
            BodyError::TooLarge => Reason::BodyTooLarge,
            BodyError::Connection(_) | BodyError::DeadlineExceeded => Reason::TruncatedRequest,
        })
    })
}

/// Returns the request id for logs, or `-` if there is none.
fn id_text(metadata: &RequestMetadata) -> &str {
    metadata.request_id.as_ref().and_then(|id| id.to_str().ok()).unwrap_or("-")
}

/// Returns a digest of caller address, method and URI that identifies a retry of the same request.
fn caller_digest(head: &CallHead, remote: SocketAddr) -> u64 {
    let mut hasher = DefaultHasher::new();
    remote.ip().hash(&mut hasher);
    head.method.hash(&mut hasher);
    head.uri.hash(&mut hasher);
    hasher.finish()
}

/// Returns whether the framing and the host of a request mean the same to every recipient.
fn is_unambiguous(parts: &Parts) -> bool {
    let headers = &parts.headers;
    let codings = headers.get_all(header::TRANSFER_ENCODING);
    let is_framed_once = !headers.contains_key(header::TRANSFER_ENCODING)
        || !headers.contains_key(header::CONTENT_LENGTH);
    let is_chunked_only = codings.iter().all(|coding| {
        coding.to_str().is_ok_and(|coding| coding.trim().eq_ignore_ascii_case("chunked"))
    });
    let mut hosts = headers.get_all(header::HOST).iter();
    let host = hosts.next().map(HeaderValue::as_bytes);
    let authority = parts.uri.authority().map(|authority| authority.as_str().as_bytes());
    let is_same_host = authority.is_none() || host.is_none() || authority == host;
    is_framed_once && is_chunked_only && hosts.next().is_none() && is_same_host
}

/// Returns the path and query of a request target, which may name the host too.
fn origin_form(uri: Uri) -> Uri {
    match uri.authority() {
        Some(_) => uri.path_and_query().cloned().map_or(uri, Uri::from),
        None => uri,
    }
}

/// Finds the route of a request by the host as sent, then by the host without its port. Refuses a
/// request whose headers exceed the size limit.
fn find_route<'a>(
    configuration: &'a Configuration,
    parts: &Parts,
    limits: CallerLimits,
) -> Result<&'a Arc<HostRoute>, CallFailure> {
    let refuse = |reason| CallFailure::not_run(reason);
    /// Colon, space, CR and LF of a header line.
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
    let without_port = || configuration.find_route(host.rsplit_once(':')?.0, path);
    let route = configuration.find_route(host, path).or_else(without_port);
    route.ok_or_else(|| refuse(Reason::UnknownRoute))
}

/// Returns the shorter of the caller's remaining time and the route's timeout, or
/// [`DEFAULT_TIMEOUT_MS`] if neither is set.
fn remaining_time(metadata: &RequestMetadata, route: &HostRoute) -> Duration {
    let route_timeout = route.timeout_ms.map(Duration::from_millis);
    let shortest = [metadata.remaining_time, route_timeout].into_iter().flatten().min();
    shortest.unwrap_or(Duration::from_millis(DEFAULT_TIMEOUT_MS))
}

/// Returns the maximum time to wait for a slot, in microseconds. A request in progress may wait for
/// [`DEFAULT_TIMEOUT_MS`], so usually its deadline decides; a new one waits only as long as a
/// refusal still leaves time for a retry.
fn max_wait_us(priority: CallPriority, route: &HostRoute) -> u64 {
    match (priority, route.objective_latency_ms) {
        (CallPriority::InProgress(_), _) => DEFAULT_TIMEOUT_MS * US_PER_MS,
        (CallPriority::NewRequest(_), Some(objective_latency_ms)) => {
            objective_latency_ms * US_PER_MS / MAX_WAIT_DIVISOR
        }
        (CallPriority::NewRequest(_), None) => DEFAULT_MAX_WAIT_MS * US_PER_MS,
    }
}

//! Sends one call in one or more attempts: chooses the endpoint, enforces the deadline, and retries
//! within the retry allowance that the whole request shares.

use std::sync::Arc;
use std::time::Duration;

use daemon::Clock;
use model::{Outcome, ProfileName, Reason, Route, RouteName, Vm, VmName};
use policy::US_PER_MS;
use policy::retry::{self, AttemptLimits, FailedAttempt};
use policy::routing::{AttemptResult, ReportedLoad};

use crate::answer::{Answer, CallFailure, NodeLoad};
use crate::body::{AnswerBody, CallBody};
use crate::burn_counts::BurnCounts;
use crate::call::{ActiveCall, CallHead};
use crate::endpoints::{EndpointTable, PeerEndpoint, ServiceEndpoints};
use crate::ingress::Ingress;
use crate::peer_client::PeerClients;
use crate::profile_store::ProfileStore;
use crate::stats::{Counter, Stats};

/// Interval at which an attempt past its timeout is compared with attempts at other endpoints.
const ATTEMPT_RECHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Sends calls to endpoints. Holds the state that all calls share.
pub(crate) struct Dispatcher {
    pub(crate) clock: Clock,
    pub(crate) vm: Vm,
    pub(crate) ingress: Arc<Ingress>,
    pub(crate) endpoints: Arc<EndpointTable>,
    pub(crate) profiles: Arc<ProfileStore>,
    pub(crate) peers: PeerClients,
    pub(crate) stats: Arc<Stats>,
    pub(crate) burn_counts: BurnCounts,
}

/// Call to a service, with its retry policy.
pub(crate) struct OutboundCall {
    pub(crate) head: CallHead,
    pub(crate) retry_policy: RetryPolicy,
    /// Call on whose behalf this one is sent; its allowance is charged for retries.
    pub(crate) parent: Arc<ActiveCall>,
}

/// Route of a call, the name of the profile that defines it, and its retry policy.
pub(crate) struct RouteMatch {
    pub(crate) profile: ProfileName,
    pub(crate) route: Route,
    pub(crate) policy: RetryPolicy,
}

/// Retry policy for a call, from the profile of the called service.
#[derive(Debug, Clone)]
pub(crate) struct RetryPolicy {
    pub(crate) route: RouteName,
    pub(crate) is_idempotent: bool,
    pub(crate) attempt_timeout_us: u64,
    /// Maximum ratio of retries to recent successful calls, in percent.
    pub(crate) budget_percent: u32,
    /// Number of retries that the whole request may use over its call chain.
    pub(crate) allowance: u32,
}

impl Dispatcher {
    /// Returns the route of a call in its service's profile.
    pub(crate) fn route(&self, head: &CallHead) -> Result<RouteMatch, Reason> {
        let endpoints = self.endpoints.get(&head.service).ok_or(Reason::NoEndpoint)?;
        let name = endpoints.profile().ok_or(Reason::NoEndpoint)?;
        let profile = self.profiles.get(&name).ok_or(Reason::NoProfile)?;
        let path = head.path.split('?').next().unwrap_or_default();
        let route = profile.route(head.method.as_str(), path).ok_or(Reason::UnknownRoute)?;
        let policy = RetryPolicy {
            route: route.name.clone(),
            is_idempotent: route.is_idempotent,
            attempt_timeout_us: profile.retries.attempt_timeout_ms * US_PER_MS,
            budget_percent: profile.retries.budget_percent,
            allowance: profile.retries.allowance,
        };
        Ok(RouteMatch { profile: name, route: route.clone(), policy })
    }

    /// Sends a call and retries it until it is answered or no further attempt is allowed.
    pub(crate) async fn run(
        &self,
        call: OutboundCall,
        body: CallBody,
    ) -> Result<Answer, CallFailure> {
        let Some(endpoints) = self.endpoints.get(&call.head.service) else {
            return Err(CallFailure::not_run(Reason::NoEndpoint, 0, Some(body)));
        };
        endpoints.retry_budget().set_percent(call.retry_policy.budget_percent);
        let mut history = AttemptHistory::default();
        let mut body = body;
        loop {
            let Some(endpoint) = self.choose_endpoint(&endpoints, &history.tried) else {
                let failure = CallFailure::not_run(Reason::NoEndpoint, 0, Some(body));
                return Err(history.combine_outcome(failure));
            };
            history.tried.push(endpoint.vm.clone());
            let body_copy = body.try_clone();
            let result = self.attempt(&call, &endpoints, &history.tried, &endpoint, body).await;
            match self.next_step(&call, &endpoints, &history, result, body_copy) {
                NextStep::Finish(Ok(answer)) => return Ok(answer),
                NextStep::Finish(Err(failure)) => {
                    call.parent.record_child_failure();
                    return Err(history.combine_outcome(CallFailure { is_final: true, ..failure }));
                }
                NextStep::Retry { body: next, outcome } => {
                    self.stats.increment(Counter::Retries);
                    history.may_have_run |= outcome != Outcome::NotRun;
                    body = next;
                }
            }
        }
    }

    fn next_step(
        &self,
        call: &OutboundCall,
        endpoints: &ServiceEndpoints,
        history: &AttemptHistory,
        result: Result<Answer, CallFailure>,
        body_copy: Option<CallBody>,
    ) -> NextStep {
        let failed = match &result {
            Ok(answer) if is_upstream_error(answer) => {
                failed_attempt_from_answer(answer, &body_copy)
            }
            Ok(_) => {
                endpoints.retry_budget().record_success();
                return NextStep::Finish(result);
            }
            Err(failure) => failed_attempt_from_failure(failure, &body_copy),
        };
        if !self.may_retry(call, endpoints, &history.tried, failed) {
            return NextStep::Finish(result);
        }
        let outcome = failed.outcome;
        match (body_copy, result) {
            (Some(body), _) | (None, Err(CallFailure { body: Some(body), .. })) => {
                NextStep::Retry { body, outcome }
            }
            (None, result) => NextStep::Finish(result),
        }
    }

    fn choose_endpoint(
        &self,
        endpoints: &ServiceEndpoints,
        tried: &[VmName],
    ) -> Option<PeerEndpoint> {
        let vm = endpoints.router().choose(self.clock.now_us(), tried, rand::random())?;
        endpoints.endpoint(&vm)
    }

    async fn attempt(
        &self,
        call: &OutboundCall,
        endpoints: &ServiceEndpoints,
        tried: &[VmName],
        endpoint: &PeerEndpoint,
        body: CallBody,
    ) -> Result<Answer, CallFailure> {
        self.stats.increment(Counter::Attempts);
        let granted = call.parent.retry_allowance().grant_to_child();
        let head = CallHead { retry_allowance: granted, ..call.head.clone() };
        let started_us = self.clock.now_us();
        let mut tracker = AttemptTracker {
            clock: self.clock,
            endpoints,
            vm: &endpoint.vm,
            route: &call.retry_policy.route,
            is_done: false,
        };
        let send = self.send(endpoint, head, body);
        let sent = self.await_attempt(call, endpoints, tried, started_us, send).await;
        let result = sent.unwrap_or_else(|| {
            if endpoint.vm != self.vm.name {
                self.peers.reset(endpoint.address);
            }
            Err(CallFailure::unknown(self.timeout_reason(call)))
        });
        let latency_us = self.clock.now_us().saturating_sub(started_us);
        tracker.finish(&result, latency_us);
        match result {
            Ok(answer) => Ok(reclaim_allowance(answer, call, granted)),
            Err(failure) => {
                call.parent.retry_allowance().return_unused(granted, failure.remaining_allowance);
                Err(failure)
            }
        }
    }

    async fn send(
        &self,
        endpoint: &PeerEndpoint,
        head: CallHead,
        body: CallBody,
    ) -> Result<Answer, CallFailure> {
        if endpoint.vm == self.vm.name {
            return self.ingress.serve(head, body).await;
        }
        let remaining_us = head.deadline_us.saturating_sub(self.clock.now_us());
        let remaining = Duration::from_micros(remaining_us);
        self.peers.forward(endpoint.address, &head, remaining, body).await
    }

    /// Awaits an attempt.
    ///
    /// Returns `None` at the deadline of the call, or after the attempt timeout as soon as another
    /// endpoint has answered an attempt that started later.
    ///
    /// A call that is not idempotent may not run twice, so its attempt has until the deadline.
    async fn await_attempt<T>(
        &self,
        call: &OutboundCall,
        endpoints: &ServiceEndpoints,
        tried: &[VmName],
        started_us: u64,
        send: impl Future<Output = T>,
    ) -> Option<T> {
        let remaining_us = call.head.deadline_us.saturating_sub(self.clock.now_us());
        let deadline = tokio::time::sleep(Duration::from_micros(remaining_us));
        let mut pause = Duration::from_micros(call.retry_policy.attempt_timeout_us);
        tokio::pin!(send, deadline);
        loop {
            tokio::select! {
                sent = &mut send => return Some(sent),
                () = &mut deadline => return None,
                () = tokio::time::sleep(pause), if call.retry_policy.is_idempotent => {
                    if endpoints.router().has_faster_endpoint(
                        tried,
                        &call.retry_policy.route,
                        started_us,
                    ) {
                        return None;
                    }
                    pause = ATTEMPT_RECHECK_INTERVAL;
                }
            }
        }
    }

    fn timeout_reason(&self, call: &OutboundCall) -> Reason {
        match self.clock.now_us() >= call.head.deadline_us {
            true => Reason::DeadlineExceeded,
            false => Reason::AttemptTimeout,
        }
    }

    fn may_retry(
        &self,
        call: &OutboundCall,
        endpoints: &ServiceEndpoints,
        tried: &[VmName],
        failed: FailedAttempt,
    ) -> bool {
        let now_us = self.clock.now_us();
        let limits = AttemptLimits {
            is_idempotent: call.retry_policy.is_idempotent,
            remaining_us: call.head.deadline_us.saturating_sub(now_us),
            untried_endpoints: endpoints.router().untried(now_us, tried),
        };
        if !retry::should_retry(failed, limits) || call.parent.retry_allowance().available() == 0 {
            return false;
        }
        if !endpoints.retry_budget().withdraw() {
            self.stats.increment(Counter::BudgetRefusals);
            return false;
        }
        call.parent.retry_allowance().consume()
    }
}

/// Previous attempts of one call.
#[derive(Debug, Default)]
struct AttemptHistory {
    tried: Vec<VmName>,
    may_have_run: bool,
}

impl AttemptHistory {
    /// Sets the outcome of the last failure to unknown if an earlier attempt may have run the call.
    fn combine_outcome(&self, failure: CallFailure) -> CallFailure {
        match self.may_have_run {
            true => CallFailure { outcome: Outcome::Unknown, ..failure },
            false => failure,
        }
    }
}

/// What to do after an attempt.
enum NextStep {
    Finish(Result<Answer, CallFailure>),
    Retry { body: CallBody, outcome: Outcome },
}

/// Returns whether the answer is a server error of the upstream itself, not of a child call.
fn is_upstream_error(answer: &Answer) -> bool {
    answer.status.is_server_error() && !answer.is_final
}

fn failed_attempt_from_answer(answer: &Answer, body_copy: &Option<CallBody>) -> FailedAttempt {
    FailedAttempt {
        outcome: Outcome::Unknown,
        reason: Reason::UpstreamError,
        is_final: answer.is_final,
        is_replayable: body_copy.is_some(),
    }
}

fn failed_attempt_from_failure(
    failure: &CallFailure,
    body_copy: &Option<CallBody>,
) -> FailedAttempt {
    FailedAttempt {
        outcome: failure.outcome,
        reason: failure.reason,
        is_final: failure.is_final,
        is_replayable: body_copy.is_some() || failure.body.is_some(),
    }
}

/// Credits the unused retries of an answered call to its parent: immediately if the answer is
/// buffered, otherwise at the end of its body.
fn reclaim_allowance(mut answer: Answer, call: &OutboundCall, granted: u32) -> Answer {
    match &mut answer.body {
        AnswerBody::Buffered(_) => {
            call.parent.retry_allowance().return_unused(granted, answer.remaining_allowance)
        }
        AnswerBody::Stream { guard, .. } => {
            guard.set_parent(Some(Arc::clone(&call.parent)), granted);
        }
    }
    answer
}

/// Reports the result of an attempt to the router, also when the attempt's future is dropped.
struct AttemptTracker<'a> {
    clock: Clock,
    endpoints: &'a ServiceEndpoints,
    vm: &'a VmName,
    route: &'a RouteName,
    is_done: bool,
}

impl AttemptTracker<'_> {
    fn finish(&mut self, result: &Result<Answer, CallFailure>, latency_us: u64) {
        self.is_done = true;
        let now_us = self.clock.now_us();
        let load = match result {
            Ok(answer) => answer.load,
            Err(failure) => failure.load,
        };
        let attempt_result = match result {
            Ok(answer) if is_upstream_error(answer) => AttemptResult::Failed,
            Ok(_) => AttemptResult::Answered { latency_us },
            Err(failure) => to_attempt_result(failure),
        };
        let mut router = self.endpoints.router();
        router.finish(now_us, self.vm, self.route, attempt_result);
        if let Some(load) = load {
            router.report(now_us, self.vm, to_reported_load(load));
            if load.is_leaving {
                router.mark_leaving(now_us, self.vm);
            }
        }
    }
}

impl Drop for AttemptTracker<'_> {
    fn drop(&mut self) {
        if !self.is_done {
            let now_us = self.clock.now_us();
            self.endpoints.router().finish(now_us, self.vm, self.route, AttemptResult::Cancelled);
        }
    }
}

/// Converts a failure for the router.
///
/// A refusal does not count as a failure of the endpoint, since a node that refuses is alive.
fn to_attempt_result(failure: &CallFailure) -> AttemptResult {
    match (failure.reason, failure.outcome) {
        (Reason::ConnectFailed | Reason::NoUpstream, _) => AttemptResult::Failed,
        (Reason::DeadlineExceeded, _) => AttemptResult::Cancelled,
        (_, Outcome::NotRun) => AttemptResult::Refused,
        _ => AttemptResult::Failed,
    }
}

fn to_reported_load(load: NodeLoad) -> ReportedLoad {
    ReportedLoad {
        in_flight: load.admission.in_flight,
        limit: load.admission.limit,
        queued: load.admission.queued,
    }
}

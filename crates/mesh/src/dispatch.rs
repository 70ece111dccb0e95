//! Sends a call to VMs of its service: VM selection, deadline and retries.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use daemon::Clock;
use http::StatusCode;
use model::{Idempotence, Outcome, Reason, Vm, VmName};
use policy::placement::PlacementResult;
use policy::retry_cost::RetryCosts;
use policy::shared_retry_budget::RetryBounds;
use slog::info;

use crate::balancing_monitor::BalancingMonitor;
use crate::body::CallBody;
use crate::call::CallHead;
use crate::connection_pool::ConnectionPool;
use crate::endpoints::{ChosenVm, EndpointTable, NextVm};
use crate::failure::CallFailure;
use crate::ingress::{Answer, Ingress, NodeLoad};
use crate::metrics::Metrics;
use crate::peer::{self, Forwarded};
use crate::protocol_adapter::ProtocolAdapter;
use crate::request_log::RequestLog;
use crate::request_throttles::RequestThrottles;
use crate::shared_failures::SharedFailures;

/// Maximum number of VMs tried for one call. A VM that refuses before dispatch costs one round
/// trip.
const MAX_VMS_TRIED: usize = 4;
/// Minimum time to the deadline that another attempt requires, in microseconds.
const MIN_REMAINING_US: u64 = 20_000;
/// Overload probability of a service above which an error response is not retried. If the services
/// that it calls lack capacity, a retry would repeat all its calls to them and fail again.
const MAX_RETRY_OVERLOAD: f64 = 0.05;

/// Dispatches calls to VMs that run the called service.
pub(crate) struct Dispatcher<D> {
    pub(crate) clock: Clock,
    pub(crate) vm: Vm,
    pub(crate) ingress: Arc<Ingress<D>>,
    pub(crate) endpoints: Arc<EndpointTable>,
    pub(crate) pool: ConnectionPool,
    pub(crate) retry_bounds: RetryBounds,
    pub(crate) retry_costs: Mutex<RetryCosts>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) request_log: Arc<RequestLog>,
    /// Throttles that get the shares that answers bring.
    pub(crate) throttles: Arc<RequestThrottles>,
    pub(crate) shared_failures: Arc<SharedFailures>,
    pub(crate) balancing_monitor: BalancingMonitor,
}

/// Previous attempts of one call.
#[derive(Default)]
struct AttemptHistory {
    tried: Vec<VmName>,
    /// Number of attempts that may have reached an upstream.
    upstream_attempts: u32,
    may_have_run: bool,
    /// Shortest expected wait of the VMs that refused the call for lack of room.
    shortest_wait: Option<Duration>,
    /// Error response of an upstream, kept while another upstream is tried.
    error_answer: Option<Answer>,
}

impl<D: ProtocolAdapter> Dispatcher<D> {
    /// Sends a call until an upstream responds or no further attempt is allowed.
    pub(crate) async fn run(
        &self,
        head: CallHead,
        body: CallBody,
        max_attempts: u32,
    ) -> Result<Answer, CallFailure> {
        self.record_request(&head);
        let mut history = AttemptHistory::default();
        let (mut head, mut body) = (head, body);
        let mut is_refused = false;
        loop {
            if self.ingress.is_refusing() {
                return history.into_result(CallFailure::not_run(Reason::Leaving));
            }
            let now_us = self.clock.now_us();
            let chosen = match self.choose(&head, &history, is_refused) {
                NextVm::Chosen(chosen) => chosen,
                NextVm::NoneExpected(wait) => {
                    history.add_expected_wait(wait);
                    return history.into_result(CallFailure::not_run(no_vm_reason(is_refused)));
                }
            };
            history.tried.push(chosen.vm.clone());
            let body_copy = body.try_clone();
            let failure = match self.attempt(&head, &chosen, body).await {
                Ok(answer) if is_retryable_error(&answer) => {
                    let overload = self.endpoints.overload(now_us, &head.service);
                    if overload > MAX_RETRY_OVERLOAD {
                        return Ok(answer);
                    }
                    history.error_answer = Some(answer);
                    CallFailure::unknown(Reason::UpstreamError)
                }
                Ok(answer) => {
                    self.record_answer(&head, &answer);
                    return Ok(answer);
                }
                Err(failure) => failure,
            };
            history.upstream_attempts += u32::from(failure.has_reached_upstream);
            history.may_have_run |= failure.outcome != Outcome::NotRun;
            history.record_wait(&failure);
            if let Some(log) = self.request_log.rate_limited_logger(&self.metrics) {
                info!(log, "attempt-failed"; "request" => head.id_text(), "vm" => %chosen.vm,
                    "service" => %head.service, "reason" => failure.reason.as_str(),
                    "outcome" => failure.outcome.as_str(), "asked" => history.tried.len());
            }
            let Some(next) =
                body_copy.filter(|_| self.may_retry(&head, &history, &failure, max_attempts))
            else {
                self.record_refused_with_room(&head, &history, &failure);
                return history.into_result(failure);
            };
            is_refused = failure.reason == Reason::Overloaded && self.endpoints.expects_refusals();
            head.is_repeat |= history.upstream_attempts > 0;
            body = next;
        }
    }

    /// Chooses the VM of the next attempt. After a refusal for lack of room, only a VM that is
    /// expected to take the call is asked, if the balancer can tell.
    fn choose(&self, head: &CallHead, history: &AttemptHistory, is_refused: bool) -> NextVm {
        let now_us = self.clock.now_us();
        let (service, tried) = (&head.service, &history.tried);
        let next = match is_refused {
            true => {
                let max_wait_us = max_wait_us(head, now_us);
                self.endpoints.choose_after_refusal(now_us, service, tried, max_wait_us)
            }
            false => {
                let chosen = self.endpoints.choose(now_us, service, tried);
                chosen.map_or(NextVm::NoneExpected(None), NextVm::Chosen)
            }
        };
        if self.endpoints.expects_refusals()
            && let NextVm::Chosen(chosen) = &next
        {
            self.balancing_monitor.record_choice(now_us, service, chosen);
        }
        next
    }

    fn record_refused_with_room(
        &self,
        head: &CallHead,
        history: &AttemptHistory,
        failure: &CallFailure,
    ) {
        let now_us = self.clock.now_us();
        let max_wait_us = max_wait_us(head, now_us);
        if failure.reason == Reason::Overloaded
            && self.endpoints.has_room(now_us, &head.service, &history.tried, max_wait_us)
        {
            self.balancing_monitor.record_refused_with_room(now_us, &head.service);
        }
    }

    /// Records how many calls a run made, which is the cost of a retry of its kind.
    fn record_answer(&self, head: &CallHead, answer: &Answer) {
        if let Some(calls) = answer.calls.filter(|_| answer.status.is_success()) {
            self.retry_costs().record_answer(head.kind, calls);
        }
    }

    fn retry_costs(&self) -> MutexGuard<'_, RetryCosts> {
        self.retry_costs.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a call in the retry budget of its service.
    fn record_request(&self, head: &CallHead) {
        let now_us = self.clock.now_us();
        match head.is_repeat {
            true => {
                self.metrics.calls_of_retried.inc();
                self.endpoints.charge_repeat(now_us, &head.service, self.retry_bounds);
            }
            false => self.endpoints.record_request(now_us, &head.service, self.retry_bounds),
        }
    }

    /// Returns whether another attempt may be made. Charges it to the retry budget if the last
    /// attempt may have reached an upstream.
    fn may_retry(
        &self,
        head: &CallHead,
        history: &AttemptHistory,
        failure: &CallFailure,
        max_attempts: u32,
    ) -> bool {
        let now_us = self.clock.now_us();
        let is_safe_to_retry =
            failure.outcome == Outcome::NotRun || head.idempotence == Idempotence::Idempotent;
        if !is_safe_to_retry
            || !failure.reason.is_retryable()
            || history.tried.len() >= MAX_VMS_TRIED
            || history.upstream_attempts >= max_attempts.max(1)
            || head.deadline_us < now_us + MIN_REMAINING_US
        {
            return false;
        }
        if !failure.has_reached_upstream {
            return true;
        }
        let cost = self.retry_costs().cost(head.kind);
        let is_within_budget =
            self.endpoints.withdraw_retry(now_us, &head.service, self.retry_bounds, cost);
        if is_within_budget {
            self.metrics.retries.inc();
        }
        is_within_budget
    }

    async fn attempt(
        &self,
        head: &CallHead,
        chosen: &ChosenVm,
        body: CallBody,
    ) -> Result<Answer, CallFailure> {
        self.metrics.attempts.inc();
        let mut tracker = AttemptTracker { dispatcher: self, head, vm: &chosen.vm, is_done: false };
        let remaining_us = head.deadline_us.saturating_sub(self.clock.now_us());
        let remaining = Duration::from_micros(remaining_us);
        let sent = tokio::time::timeout(remaining, self.send(head, chosen, body)).await;
        let Forwarded { result, load, share } = sent.unwrap_or_else(|_| {
            Forwarded::new(Err(CallFailure::unknown(Reason::DeadlineExceeded)), None)
        });
        tracker.finish(&result, load);
        if let (Some(share), Some(load)) = (share, load) {
            self.throttles.record_share(head.kind, &chosen.vm, share, load.overload_permille);
        }
        if let Ok(answer) = &result
            && self.ingress.is_leaving_answer(&answer.headers)
        {
            self.endpoints.record_leaving(&head.service, &chosen.vm);
        }
        result
    }

    async fn send(&self, head: &CallHead, chosen: &ChosenVm, body: CallBody) -> Forwarded {
        if chosen.vm == self.vm.name {
            let result = self.ingress.serve(head.clone(), body).await;
            let share = self.shared_failures.share(head.kind);
            return Forwarded { result, load: Some(self.ingress.load()), share };
        }
        peer::forward(&self.pool, self.clock, chosen.address, head, body).await
    }
}

impl AttemptHistory {
    fn record_wait(&mut self, failure: &CallFailure) {
        if failure.reason == Reason::Overloaded {
            let known = self.shortest_wait.unwrap_or(failure.expected_wait);
            self.shortest_wait = Some(known.min(failure.expected_wait));
        }
    }

    /// Adds the shortest expected wait of the VMs that were not asked.
    fn add_expected_wait(&mut self, wait: Option<Duration>) {
        self.shortest_wait = self.shortest_wait.into_iter().chain(wait).min();
    }

    /// Returns the error response of an upstream if there is one, or else the last failure.
    ///
    /// The outcome is unknown if any attempt may have run, even if the last one was refused. The
    /// expected wait is that of the VM that has room first.
    fn into_result(self, failure: CallFailure) -> Result<Answer, CallFailure> {
        if let Some(answer) = self.error_answer {
            return Ok(answer);
        }
        let failure = match self.shortest_wait {
            Some(wait) => failure.with_expected_wait(wait),
            None => failure,
        };
        Err(match self.may_have_run {
            true => CallFailure { outcome: Outcome::Unknown, ..failure },
            false => failure,
        })
    }
}

/// Returns the failure of a call for which no further VM is asked.
fn no_vm_reason(is_refused: bool) -> Reason {
    if is_refused { Reason::Overloaded } else { Reason::NoEndpoint }
}

/// Returns the longest useful wait of a call for a slot, in microseconds.
fn max_wait_us(head: &CallHead, now_us: u64) -> u64 {
    head.max_wait_us.min(head.deadline_us.saturating_sub(now_us))
}

/// Returns whether a response is an error that another upstream might not return.
///
/// An upstream that exceeds its deadline responds with a timeout status, which is not retried
/// because no time is left. A run that lacked capacity at the services that it calls would repeat all
/// its calls to them.
fn is_retryable_error(answer: &Answer) -> bool {
    let is_error = answer.status == StatusCode::INTERNAL_SERVER_ERROR;
    is_error && answer.body.is_buffered() && !answer.is_final && !answer.lacked_capacity
}

/// Reports the result of an attempt to placement, also if the attempt is cancelled.
struct AttemptTracker<'a, D: ProtocolAdapter> {
    dispatcher: &'a Dispatcher<D>,
    head: &'a CallHead,
    vm: &'a VmName,
    is_done: bool,
}

impl<D: ProtocolAdapter> AttemptTracker<'_, D> {
    fn finish(&mut self, result: &Result<Answer, CallFailure>, load: Option<NodeLoad>) {
        self.is_done = true;
        let attempt_result = match result {
            Ok(answer) if answer.status.is_server_error() => PlacementResult::Failed,
            Ok(_) => PlacementResult::Succeeded,
            Err(failure) => placement_result(failure, load),
        };
        let now_us = self.dispatcher.clock.now_us();
        self.dispatcher.endpoints.finish_attempt(
            now_us,
            &self.head.service,
            self.vm,
            attempt_result,
            load,
        );
    }
}

impl<D: ProtocolAdapter> Drop for AttemptTracker<'_, D> {
    fn drop(&mut self) {
        if !self.is_done {
            self.dispatcher.endpoints.cancel_attempt(&self.head.service, self.vm);
        }
    }
}

/// Returns the placement result of a failed attempt. A node that sent its load is reachable,
/// whatever the result of the call at its upstream.
fn placement_result(failure: &CallFailure, load: Option<NodeLoad>) -> PlacementResult {
    match (failure.reason, load) {
        (Reason::NoUpstream | Reason::Leaving | Reason::ConnectFailed, Some(_)) => {
            PlacementResult::Leaving
        }
        (Reason::DeadlineExceeded, _) => PlacementResult::Failed,
        (Reason::Quarantined, _) => PlacementResult::Succeeded,
        (_, Some(_)) if failure.outcome == Outcome::NotRun => PlacementResult::Refused,
        (_, Some(_)) => PlacementResult::Failed,
        (_, None) => PlacementResult::Unreachable,
    }
}

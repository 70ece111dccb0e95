//! Attempts of one call: choice of the VM, deadline, and what may be sent again.

use std::sync::Arc;
use std::time::Duration;

use daemon::Clock;
use http::StatusCode;
use model::{Outcome, Reason, Repeatability, Vm, VmName};
use policy::placement::PlacementResult;
use policy::repeats::RepeatBounds;
use policy::slots::Standing;
use slog::info;

use crate::body::CallBody;
use crate::call::CallHead;
use crate::dialect::Dialect;
use crate::endpoints::{ChosenVm, Endpoints};
use crate::failure::Failure;
use crate::ingress::{Answer, Ingress, NodeLoad};
use crate::links::Links;
use crate::metrics::Metrics;
use crate::peer;
use crate::request_log::RequestLog;

/// Most VMs that one call asks. Those that refuse before dispatch cost a round trip each.
const MAX_VMS_ASKED: usize = 4;
/// Time that another attempt needs at least, in microseconds.
const MIN_REMAINING_US: u64 = 20_000;
/// Cost of repeating a new request: it makes its calls to other services again.
const ENTRY_REPEAT_COST: f64 = 3.0;
/// Cost of repeating a call of a begun request.
const BEGUN_REPEAT_COST: f64 = 1.0;
/// Pressure at a service above which an answered error is not repeated. Calls that fail deeper down for
/// want of room fail again, and a repeat makes all of them once more.
const MAX_REPEAT_PRESSURE: f64 = 0.05;

/// Sends calls to the VMs that run their service.
pub(crate) struct Dispatcher<D> {
    pub(crate) clock: Clock,
    pub(crate) vm: Vm,
    pub(crate) ingress: Arc<Ingress<D>>,
    pub(crate) endpoints: Arc<Endpoints>,
    pub(crate) links: Links,
    pub(crate) repeats: RepeatBounds,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) request_log: RequestLog,
}

/// Attempts of one call so far.
#[derive(Default)]
struct History {
    asked: Vec<VmName>,
    /// Attempts that may have reached an upstream.
    arrivals: u32,
    has_maybe_run: bool,
    /// Error that an upstream answered, kept while another upstream is asked.
    answered_error: Option<Answer>,
}

impl<D: Dialect> Dispatcher<D> {
    /// Sends a call until it is answered or given up.
    pub(crate) async fn run(
        &self,
        head: CallHead,
        body: CallBody,
        max_attempts: u32,
    ) -> Result<Answer, Failure> {
        self.endpoints.record_request(self.clock.now_us(), &head.service, self.repeats);
        let mut history = History::default();
        let mut body = body;
        loop {
            let now_us = self.clock.now_us();
            let chosen = self.endpoints.choose(now_us, &head.service, &history.asked);
            let Some(chosen) = chosen else {
                return history.give_up(Failure::not_run(Reason::NoEndpoint));
            };
            history.asked.push(chosen.vm.clone());
            let replay = body.replay();
            let failure = match self.attempt(&head, &chosen, body).await {
                Ok(answer) if is_own_error(&answer) => {
                    let pressure = self.endpoints.pressure(now_us, &head.service);
                    if pressure > MAX_REPEAT_PRESSURE {
                        return Ok(answer);
                    }
                    history.answered_error = Some(answer);
                    Failure::unknown(Reason::UpstreamError)
                }
                Ok(answer) => return Ok(answer),
                Err(failure) => failure,
            };
            history.arrivals += u32::from(failure.has_arrived);
            history.has_maybe_run |= failure.outcome != Outcome::NotRun;
            if let Some(log) = self.request_log.line(&self.metrics) {
                info!(log, "attempt-failed"; "request" => head.id_text(), "vm" => %chosen.vm,
                    "service" => %head.service, "reason" => failure.reason.as_str(),
                    "outcome" => failure.outcome.as_str(), "asked" => history.asked.len());
            }
            let Some(next) =
                replay.filter(|_| self.may_go_on(&head, &history, &failure, max_attempts))
            else {
                return history.give_up(failure);
            };
            body = next;
        }
    }

    fn may_go_on(
        &self,
        head: &CallHead,
        history: &History,
        failure: &Failure,
        max_attempts: u32,
    ) -> bool {
        let now_us = self.clock.now_us();
        let may_repeat =
            failure.outcome == Outcome::NotRun || head.repeatability == Repeatability::Idempotent;
        if !may_repeat
            || !failure.reason.is_retryable()
            || history.asked.len() >= MAX_VMS_ASKED
            || history.arrivals >= max_attempts.max(1)
            || head.deadline_us < now_us + MIN_REMAINING_US
        {
            return false;
        }
        if !failure.has_arrived {
            return true;
        }
        let cost = match head.standing {
            Standing::Begun(_) => BEGUN_REPEAT_COST,
            Standing::Entry(_) => ENTRY_REPEAT_COST,
        };
        let is_paid = self.endpoints.withdraw_repeat(now_us, &head.service, self.repeats, cost);
        if is_paid {
            self.metrics.repeats.inc();
        }
        is_paid
    }

    async fn attempt(
        &self,
        head: &CallHead,
        chosen: &ChosenVm,
        body: CallBody,
    ) -> Result<Answer, Failure> {
        self.metrics.attempts.inc();
        let mut tracker = AttemptTracker { dispatcher: self, head, vm: &chosen.vm, is_done: false };
        let left_us = head.deadline_us.saturating_sub(self.clock.now_us());
        let left = Duration::from_micros(left_us);
        let (result, load) = match tokio::time::timeout(left, self.send(head, chosen, body)).await {
            Ok(sent) => sent,
            Err(_) => (Err(Failure::unknown(Reason::DeadlineExceeded)), None),
        };
        tracker.finish(&result, load);
        result
    }

    async fn send(
        &self,
        head: &CallHead,
        chosen: &ChosenVm,
        body: CallBody,
    ) -> (Result<Answer, Failure>, Option<NodeLoad>) {
        if chosen.vm == self.vm.name {
            let result = self.ingress.serve(head.clone(), body).await;
            return (result, Some(self.ingress.load()));
        }
        peer::forward(&self.links, self.clock, chosen.address, head, body).await
    }
}

impl History {
    /// Ends the call with an upstream's own error, if there is one, or with the last failure.
    ///
    /// A last refusal does not hide that an earlier attempt may have run.
    fn give_up(self, failure: Failure) -> Result<Answer, Failure> {
        if let Some(answer) = self.answered_error {
            return Ok(answer);
        }
        Err(match self.has_maybe_run {
            true => Failure { outcome: Outcome::Unknown, ..failure },
            false => failure,
        })
    }
}

/// Returns whether an upstream answered with an error that another upstream may not have.
///
/// At its deadline an upstream answers with a time-out, which leaves no time for another attempt.
fn is_own_error(answer: &Answer) -> bool {
    answer.status == StatusCode::INTERNAL_SERVER_ERROR && answer.body.is_held()
}

/// Tells placement how an attempt ended, also when its future is dropped.
struct AttemptTracker<'a, D: Dialect> {
    dispatcher: &'a Dispatcher<D>,
    head: &'a CallHead,
    vm: &'a VmName,
    is_done: bool,
}

impl<D: Dialect> AttemptTracker<'_, D> {
    fn finish(&mut self, result: &Result<Answer, Failure>, load: Option<NodeLoad>) {
        self.is_done = true;
        let ended = match result {
            Ok(answer) if answer.status.is_server_error() => PlacementResult::Failed,
            Ok(_) => PlacementResult::Reached,
            Err(failure) => placement_result(failure, load),
        };
        let now_us = self.dispatcher.clock.now_us();
        self.dispatcher.endpoints.finish(now_us, &self.head.service, self.vm, ended, load);
    }
}

impl<D: Dialect> Drop for AttemptTracker<'_, D> {
    fn drop(&mut self) {
        if !self.is_done {
            self.dispatcher.endpoints.cancel(&self.head.service, self.vm);
        }
    }
}

/// A node that sends its load is alive, whatever became of the call at its upstream.
fn placement_result(failure: &Failure, load: Option<NodeLoad>) -> PlacementResult {
    match (failure.reason, load) {
        (Reason::NoUpstream | Reason::Leaving | Reason::ConnectFailed, Some(_)) => {
            PlacementResult::Leaving
        }
        (Reason::DeadlineExceeded, _) => PlacementResult::Failed,
        (_, Some(_)) if failure.outcome == Outcome::NotRun => PlacementResult::Refused,
        (_, Some(_)) => PlacementResult::Failed,
        (_, None) => PlacementResult::Unreachable,
    }
}

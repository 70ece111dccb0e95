//! Attempts of one call: choice of the node, deadline, retries within the conserved allowance.

use std::sync::Arc;
use std::time::Duration;

use daemon::Clock;
use model::{Outcome, ProfileName, Reason, Route, RouteName, Vm, VmName};
use policy::US_PER_MS;
use policy::retry::{self, AttemptLimits, FailedAttempt};
use policy::routing::{AttemptResult, ReportedLoad};

use crate::answer::{Answer, CallFailure, NodeLoad};
use crate::body::{AnswerBody, CallBody};
use crate::burn_log::BurnLog;
use crate::call::{ActiveCall, CallHead};
use crate::ingress::Ingress;
use crate::peer_client::PeerClients;
use crate::profile_store::ProfileStore;
use crate::routes::{PeerEndpoint, RouteTable, ServiceRoutes};
use crate::stats::{Counter, Stats};

/// Interval at which a long attempt is compared with others.
const ATTEMPT_RECHECK: Duration = Duration::from_millis(50);

/// Parts that every call shares.
pub(crate) struct Dispatcher {
    pub(crate) clock: Clock,
    pub(crate) vm: Vm,
    pub(crate) ingress: Arc<Ingress>,
    pub(crate) routes: Arc<RouteTable>,
    pub(crate) profiles: Arc<ProfileStore>,
    pub(crate) peers: PeerClients,
    pub(crate) stats: Arc<Stats>,
    pub(crate) burn: BurnLog,
}

/// A call about to be sent.
pub(crate) struct OutboundCall {
    pub(crate) head: CallHead,
    pub(crate) route: RoutePolicy,
    /// Call of the upstream that this one belongs to; its ledger pays for retries.
    pub(crate) parent: Arc<ActiveCall>,
}

/// Route of a call and the profile that it belongs to.
pub(crate) struct RouteMatch {
    pub(crate) profile: ProfileName,
    pub(crate) route: Route,
    pub(crate) policy: RoutePolicy,
}

/// What the callee's profile says of a call.
#[derive(Debug, Clone)]
pub(crate) struct RoutePolicy {
    pub(crate) name: RouteName,
    pub(crate) is_idempotent: bool,
    pub(crate) attempt_timeout_us: u64,
    pub(crate) budget_percent: u32,
    pub(crate) allowance: u32,
}

impl Dispatcher {
    /// Returns the route of a call in its service's profile.
    pub(crate) fn route(&self, head: &CallHead) -> Result<RouteMatch, Reason> {
        let routes = self.routes.get(&head.service).ok_or(Reason::NoEndpoint)?;
        let name = routes.profile().ok_or(Reason::NoEndpoint)?;
        let profile = self.profiles.get(&name).ok_or(Reason::NoProfile)?;
        let path = head.path.split('?').next().unwrap_or_default();
        let route = profile.route(head.method.as_str(), path).ok_or(Reason::UnknownRoute)?;
        let policy = RoutePolicy {
            name: route.name.clone(),
            is_idempotent: route.is_idempotent,
            attempt_timeout_us: profile.retries.attempt_timeout_ms * US_PER_MS,
            budget_percent: profile.retries.budget_percent,
            allowance: profile.retries.allowance,
        };
        Ok(RouteMatch { profile: name, route: route.clone(), policy })
    }

    /// Sends a call until it is answered or given up.
    pub(crate) async fn run(
        &self,
        call: OutboundCall,
        body: CallBody,
    ) -> Result<Answer, CallFailure> {
        let Some(routes) = self.routes.get(&call.head.service) else {
            return Err(CallFailure::not_run(Reason::NoEndpoint, 0, Some(body)));
        };
        routes.budget().set_percent(call.route.budget_percent);
        let mut history = AttemptHistory::default();
        let mut body = body;
        loop {
            let Some(endpoint) = self.choose(&routes, &history.tried) else {
                let failure = CallFailure::not_run(Reason::NoEndpoint, 0, Some(body));
                return Err(history.seal(failure));
            };
            history.tried.push(endpoint.vm.clone());
            let replay = body.replay();
            let result = self.attempt(&call, &routes, &history.tried, &endpoint, body).await;
            match self.next_step(&call, &routes, &history, result, replay) {
                NextStep::Finish(Ok(answer)) => return Ok(answer),
                NextStep::Finish(Err(failure)) => {
                    call.parent.give_up();
                    return Err(history.seal(CallFailure { is_final: true, ..failure }));
                }
                NextStep::Retry { body: next, outcome } => {
                    self.stats.add(Counter::Retries);
                    history.has_maybe_run |= outcome != Outcome::NotRun;
                    body = next;
                }
            }
        }
    }

    fn next_step(
        &self,
        call: &OutboundCall,
        routes: &ServiceRoutes,
        history: &AttemptHistory,
        result: Result<Answer, CallFailure>,
        replay: Option<CallBody>,
    ) -> NextStep {
        let failed = match &result {
            Ok(answer) if is_sick(answer) => sick_attempt(answer, &replay),
            Ok(_) => {
                routes.budget().record_success();
                return NextStep::Finish(result);
            }
            Err(failure) => failed_attempt(failure, &replay),
        };
        if !self.may_retry(call, routes, &history.tried, failed) {
            return NextStep::Finish(result);
        }
        let outcome = failed.outcome;
        match (replay, result) {
            (Some(body), _) | (None, Err(CallFailure { body: Some(body), .. })) => {
                NextStep::Retry { body, outcome }
            }
            (None, result) => NextStep::Finish(result),
        }
    }

    fn choose(&self, routes: &ServiceRoutes, tried: &[VmName]) -> Option<PeerEndpoint> {
        let vm = routes.router().choose(self.clock.now_us(), tried, rand::random())?;
        routes.endpoint(&vm)
    }

    async fn attempt(
        &self,
        call: &OutboundCall,
        routes: &ServiceRoutes,
        tried: &[VmName],
        endpoint: &PeerEndpoint,
        body: CallBody,
    ) -> Result<Answer, CallFailure> {
        self.stats.add(Counter::Attempts);
        let lent = call.parent.ledger().lend();
        let head = CallHead { retry_allowance: lent, ..call.head.clone() };
        let started_us = self.clock.now_us();
        let mut tracker = AttemptTracker {
            clock: self.clock,
            routes,
            vm: &endpoint.vm,
            route: &call.route.name,
            is_done: false,
        };
        let send = self.send(endpoint, head, body);
        let sent = self.limit_attempt(call, routes, tried, started_us, send).await;
        let result = sent.unwrap_or_else(|| {
            if endpoint.vm != self.vm.name {
                self.peers.reset(endpoint.address);
            }
            Err(CallFailure::unknown(self.timeout_reason(call)))
        });
        let latency_us = self.clock.now_us().saturating_sub(started_us);
        tracker.finish(&result, latency_us);
        match result {
            Ok(answer) => Ok(settle_allowance(answer, call, lent)),
            Err(failure) => {
                call.parent.ledger().give_back(lent, failure.unspent);
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
        let left_us = head.deadline_us.saturating_sub(self.clock.now_us());
        let left = Duration::from_micros(left_us);
        self.peers.forward(endpoint.address, &head, left, body).await
    }

    /// Waits for an attempt until the deadline, or until it is known that another endpoint is faster.
    ///
    /// An attempt of a call that may not run twice gets all the time there is.
    async fn limit_attempt<T>(
        &self,
        call: &OutboundCall,
        routes: &ServiceRoutes,
        tried: &[VmName],
        started_us: u64,
        send: impl Future<Output = T>,
    ) -> Option<T> {
        let left_us = call.head.deadline_us.saturating_sub(self.clock.now_us());
        let deadline = tokio::time::sleep(Duration::from_micros(left_us));
        let mut pause = Duration::from_micros(call.route.attempt_timeout_us);
        tokio::pin!(send, deadline);
        loop {
            tokio::select! {
                sent = &mut send => return Some(sent),
                () = &mut deadline => return None,
                () = tokio::time::sleep(pause), if call.route.is_idempotent => {
                    if routes.router().has_faster(tried, &call.route.name, started_us) {
                        return None;
                    }
                    pause = ATTEMPT_RECHECK;
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
        routes: &ServiceRoutes,
        tried: &[VmName],
        failed: FailedAttempt,
    ) -> bool {
        let now_us = self.clock.now_us();
        let limits = AttemptLimits {
            is_idempotent: call.route.is_idempotent,
            remaining_us: call.head.deadline_us.saturating_sub(now_us),
            untried_endpoints: routes.router().untried(now_us, tried),
        };
        if !retry::is_worthwhile(failed, limits) || call.parent.ledger().available() == 0 {
            return false;
        }
        if !routes.budget().withdraw() {
            self.stats.add(Counter::BudgetRefusals);
            return false;
        }
        call.parent.ledger().spend()
    }
}

/// Attempts of one call so far.
#[derive(Debug, Default)]
struct AttemptHistory {
    tried: Vec<VmName>,
    has_maybe_run: bool,
}

impl AttemptHistory {
    /// Keeps a last refusal from hiding that an earlier attempt may have run.
    fn seal(&self, failure: CallFailure) -> CallFailure {
        match self.has_maybe_run {
            true => CallFailure { outcome: Outcome::Unknown, ..failure },
            false => failure,
        }
    }
}

/// What follows an attempt.
enum NextStep {
    Finish(Result<Answer, CallFailure>),
    Retry { body: CallBody, outcome: Outcome },
}

/// Returns whether an upstream answered with an error of its own, not of a service below it.
fn is_sick(answer: &Answer) -> bool {
    answer.status.is_server_error() && !answer.is_final
}

fn sick_attempt(answer: &Answer, replay: &Option<CallBody>) -> FailedAttempt {
    FailedAttempt {
        outcome: Outcome::Unknown,
        reason: Reason::UpstreamError,
        is_final: answer.is_final,
        is_replayable: replay.is_some(),
    }
}

fn failed_attempt(failure: &CallFailure, replay: &Option<CallBody>) -> FailedAttempt {
    FailedAttempt {
        outcome: failure.outcome,
        reason: failure.reason,
        is_final: failure.is_final,
        is_replayable: replay.is_some() || failure.body.is_some(),
    }
}

/// Gives the unspent allowance back now, or with the end of a streaming body.
fn settle_allowance(mut answer: Answer, call: &OutboundCall, lent: u32) -> Answer {
    match &mut answer.body {
        AnswerBody::Full(_) => call.parent.ledger().give_back(lent, answer.unspent),
        AnswerBody::Stream { guard, .. } => {
            guard.set_lender(Some(Arc::clone(&call.parent)), lent);
        }
    }
    answer
}

/// Tells routing how an attempt ended, also when its future is dropped.
struct AttemptTracker<'a> {
    clock: Clock,
    routes: &'a ServiceRoutes,
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
        let ended = match result {
            Ok(answer) if is_sick(answer) => AttemptResult::Failed,
            Ok(_) => AttemptResult::Answered { latency_us },
            Err(failure) => attempt_result(failure),
        };
        let mut router = self.routes.router();
        router.finish(now_us, self.vm, self.route, ended);
        if let Some(load) = load {
            router.report(now_us, self.vm, reported(load));
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
            self.routes.router().finish(now_us, self.vm, self.route, AttemptResult::Cancelled);
        }
    }
}

/// A node that answers is alive, whatever became of the call at its upstream.
fn attempt_result(failure: &CallFailure) -> AttemptResult {
    match (failure.reason, failure.outcome) {
        (Reason::ConnectFailed | Reason::NoUpstream, _) => AttemptResult::Failed,
        (Reason::DeadlineExceeded, _) => AttemptResult::Cancelled,
        (_, Outcome::NotRun) => AttemptResult::Refused,
        _ => AttemptResult::Failed,
    }
}

fn reported(load: NodeLoad) -> ReportedLoad {
    ReportedLoad {
        in_flight: load.admission.in_flight,
        limit: load.admission.limit,
        queued: load.admission.queued,
    }
}

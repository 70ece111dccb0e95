//! Admission control and dispatch of calls to the local upstream.

mod announcements;
mod stopping;

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use daemon::Clock;
use http::{HeaderMap, HeaderName, HeaderValue, Request, Response, StatusCode};
use http_body::Body;
use hyper::body::Incoming;
use model::{Idempotence, Reason, VmName};
use policy::overload::NodeOverload;
use policy::placement::PlacementLoad;
use policy::shared_failures::RunCounts;
use policy::slots::{CallPriority, RefusalCause, SlotRequest};
use policy::vm_rates::VmRates;
use rpc::DepartedUpstream;
use slog::{Logger, info, warn};

use crate::body::{self, AnswerBody, CallBody, StreamGuard};
use crate::call::CallHead;
use crate::connection_pool::{ConnectionPool, PooledConnection, ReusePolicy, SendError};
use crate::crash_monitor::{CrashMonitor, RunGuard};
use crate::endpoints::EndpointTable;
use crate::failure::CallFailure;
use crate::forwarded_headers::forwarded_headers;
use crate::metrics::Metrics;
use crate::protocol_adapter::{
    Announcement, AnswerClassification, DispatchMetadata, InstanceId, ProtocolAdapter,
    UpstreamReport,
};
use crate::request_key::{RequestKey, digest_text};
use crate::request_log::RequestLog;
use crate::running_requests::{ParentRequest, RunningRequests};
use crate::settings::Balancing;
use crate::shared_failures::SharedFailures;
use crate::slot_queue::{Permit, Refusal, SlotQueue};
use crate::suspects::{SuspectCall, SuspectPass, SuspectRefusal, Suspects};
use crate::upstream::{ReportEffect, ServingUpstream, UpstreamState};

/// Divisor of the concurrency limit reported to other nodes while the local upstream is cold. A
/// cold upstream takes about twice as long per call, so half of the calls keep it equally busy.
const COLD_LIMIT_DIVISOR: u32 = 2;

/// Maximum time that a call which was not sent waits until a crash of the upstream is known to the
/// other nodes.
const MAX_CRASH_CHECK_WAIT: Duration = Duration::from_millis(100);
/// Maximum time to read the body of a refusal. It usually arrives together with the head.
const REFUSAL_BODY_TIMEOUT: Duration = Duration::from_millis(50);

/// Response of an upstream, with a buffered body or one that is still streaming.
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: AnswerBody,
    /// Number of calls that the run made, over all levels below it. `None` if a node of an older
    /// version answered.
    pub(crate) calls: Option<u32>,
    /// Whether the failure that the answer reports would recur at every upstream.
    pub(crate) is_final: bool,
    /// Whether the run failed because calls that it made were turned away for lack of capacity.
    pub(crate) lacked_capacity: bool,
}

impl Answer {
    fn new(status: StatusCode, headers: HeaderMap, body: AnswerBody) -> Self {
        Self { status, headers, body, calls: None, is_final: false, lacked_capacity: false }
    }
}

/// Load of a node, sent with each of its responses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct NodeLoad {
    pub(crate) placement: PlacementLoad,
    /// Rates of the upstream. `None` if the node does not measure them, as nodes of older versions.
    pub(crate) rates: Option<VmRates>,
    /// Whether other nodes should send their calls elsewhere.
    pub(crate) is_leaving: bool,
    /// Probability that a request handled by the node fails for lack of capacity, in thousandths.
    pub(crate) overload_permille: u32,
}

/// Components that the ingress uses.
pub(crate) struct IngressDependencies<D> {
    pub(crate) log: Logger,
    pub(crate) clock: Clock,
    pub(crate) vm: VmName,
    pub(crate) adapter: Arc<D>,
    pub(crate) pool: ConnectionPool,
    pub(crate) endpoints: Arc<EndpointTable>,
    pub(crate) upstream_state: Arc<UpstreamState>,
    pub(crate) suspects: Arc<Suspects>,
    pub(crate) crash_monitor: Arc<CrashMonitor>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) shared_failures: Arc<SharedFailures>,
    pub(crate) balancing: Balancing,
}

/// Admits calls to the local upstream and dispatches them.
pub(crate) struct Ingress<D> {
    log: Logger,
    clock: Clock,
    vm: VmName,
    adapter: Arc<D>,
    pool: ConnectionPool,
    endpoints: Arc<EndpointTable>,
    pub(crate) slot_queue: SlotQueue,
    pub(crate) upstream_state: Arc<UpstreamState>,
    suspects: Arc<Suspects>,
    crash_monitor: Arc<CrashMonitor>,
    is_stopping: AtomicBool,
    /// Whether the node reports to other nodes that it is leaving.
    is_withdrawn: AtomicBool,
    /// Whether requests that were not sent yet are refused, since the node ends soon.
    is_refusing: AtomicBool,
    /// Latest deadline of requests, in microseconds: the end of a node that stops.
    latest_deadline_us: AtomicU64,
    /// Overload of the local upstream and of the services that it calls.
    overload: Mutex<NodeOverload>,
    /// Requests that the upstream is running.
    running_requests: Arc<RunningRequests>,
    request_log: RequestLog,
    metrics: Arc<Metrics>,
    shared_failures: Arc<SharedFailures>,
}

impl<D: ProtocolAdapter> Ingress<D> {
    pub(crate) fn new(deps: IngressDependencies<D>) -> Self {
        Self {
            request_log: RequestLog::new(deps.log.clone(), deps.clock),
            log: deps.log,
            clock: deps.clock,
            vm: deps.vm,
            adapter: deps.adapter,
            pool: deps.pool,
            endpoints: deps.endpoints,
            slot_queue: slot_queue(deps.clock, deps.balancing),
            upstream_state: deps.upstream_state,
            suspects: deps.suspects,
            crash_monitor: deps.crash_monitor,
            is_stopping: AtomicBool::new(false),
            is_withdrawn: AtomicBool::new(false),
            is_refusing: AtomicBool::new(false),
            latest_deadline_us: AtomicU64::new(u64::MAX),
            overload: Mutex::default(),
            running_requests: Arc::default(),
            metrics: deps.metrics,
            shared_failures: deps.shared_failures,
        }
    }

    pub(crate) fn load(&self) -> NodeLoad {
        let now_us = self.clock.now_us();
        let (load, rates) = self.slot_queue.load_and_rates();
        let limit = match self.upstream_state.is_cold(now_us) {
            _ if self.suspects.is_isolating() => 1,
            true => (load.limit / COLD_LIMIT_DIVISOR).max(1),
            false => load.limit,
        };
        let placement = PlacementLoad { in_flight: load.in_flight, queued: load.queued, limit };
        let overload_permille = (self.lock_overload().failure_probability(now_us) * 1_000.0) as u32;
        NodeLoad { placement, rates, is_leaving: self.is_leaving(), overload_permille }
    }

    /// Returns the parent request if `request_id` belongs to a call that the
    /// upstream makes on behalf of a request that it is running.
    pub(crate) fn parent_request(&self, request_id: &HeaderValue) -> Option<ParentRequest> {
        self.running_requests.get_by_id(self.adapter.parent_id(request_id)?)
    }

    /// Adds calls to the running request that they were made for. `request_id` is the id of one of
    /// them.
    pub(crate) fn add_calls(&self, request_id: &HeaderValue, calls: u32) {
        if let Some(parent_id) = self.adapter.parent_id(request_id) {
            self.running_requests.add_calls(parent_id, calls);
        }
    }

    /// Records that a call with this request id failed and would fail at every upstream.
    pub(crate) fn record_final_failure(&self, request_id: &HeaderValue) {
        if let Some(parent_id) = self.adapter.parent_id(request_id) {
            self.running_requests.record_final_failure(parent_id);
        }
    }

    /// Records that a call with this request id was turned away for lack of capacity.
    pub(crate) fn record_lack_of_capacity(&self, request_id: &HeaderValue) {
        if let Some(parent_id) = self.adapter.parent_id(request_id) {
            self.running_requests.record_lack_of_capacity(parent_id);
        }
    }

    /// Records a call made by the upstream, with the overload probability of the called service.
    pub(crate) fn record_call(&self, overload: f64) {
        self.lock_overload().record_call(self.clock.now_us(), overload);
    }

    fn lock_overload(&self) -> MutexGuard<'_, NodeOverload> {
        self.overload.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether other nodes should send their calls elsewhere.
    pub(crate) fn is_leaving(&self) -> bool {
        self.is_withdrawn.load(Ordering::Relaxed) || self.upstream_state.serving().is_none()
    }

    /// Restores the state of the upstream from control, unless the upstream has reported to this
    /// node, and the limit that it named, unless it has answered a call of this node.
    pub(crate) fn restore_upstream(&self, report: UpstreamReport, limit_per_s: Option<f64>) {
        if self.upstream_state.service().is_none() {
            info!(self.log, "upstream-recovered"; "instance" => &*report.instance_id,
                "phase" => ?report.phase, "limit_per_s" => limit_per_s);
            self.record_report(report.clone());
        }
        let apply = |limit_per_s| self.apply_limit(limit_per_s);
        self.upstream_state.restore_limit(&report, limit_per_s, apply);
    }

    /// Applies a status report of the upstream.
    pub(crate) fn record_report(&self, report: UpstreamReport) {
        let id = report.instance_id.clone();
        let (address, sequence) = (report.address, report.sequence);
        let previous = self.upstream_state.known_process();
        let effect = self.upstream_state.record_report(self.clock.now_us(), report);
        if matches!(effect, ReportEffect::NewProcess) {
            self.pool.close_idle(address);
            if let Some(previous) = previous {
                drop(self.crash_monitor.check_unreachable(previous));
            }
        }
        if matches!(effect, ReportEffect::NewProcess | ReportEffect::Changed) {
            let is_serving = self.upstream_state.serving().is_some();
            info!(self.log, "upstream-changed"; "instance" => &*id, "sequence" => sequence,
                "effect" => ?effect, "is_serving" => is_serving);
            self.slot_queue.set_slots(self.upstream_state.slots());
            if matches!(effect, ReportEffect::NewProcess) {
                self.slot_queue.forget_upstream();
            }
            self.upstream_state.apply_limit(|limit_per_s| self.apply_limit(limit_per_s));
        }
        self.refuse_queued_if_not_serving();
    }

    /// Records that the processes of the upstream with an id that started up to a time leave.
    pub(crate) fn record_leave(&self, id: &InstanceId, last_started_unix_ms: u64) {
        let is_known = self.upstream_state.record_leave(id, last_started_unix_ms);
        info!(self.log, "upstream-leaves"; "instance" => &**id, "is_known" => is_known);
        self.refuse_queued_if_not_serving();
    }

    /// Records departures of processes of the upstream that control has committed.
    pub(crate) fn record_committed_departures(&self, departed: &[DepartedUpstream]) {
        self.upstream_state.record_committed_departures(departed);
        self.refuse_queued_if_not_serving();
    }

    /// Returns the request id in the headers of a request or an answer.
    pub(crate) fn request_id(&self, headers: &HeaderMap) -> Option<HeaderValue> {
        self.adapter.read_request(headers).request_id
    }

    /// Returns whether an upstream says with an answer that it is about to stop.
    pub(crate) fn is_leaving_answer(&self, headers: &HeaderMap) -> bool {
        self.adapter.read_announcements(headers).is_leaving == Announcement::Value(true)
    }

    /// Runs a call at the upstream once it is admitted.
    ///
    /// # Errors
    ///
    /// Returns a failure if the call is refused, misses its deadline or gets no valid response.
    pub(crate) async fn serve(
        &self,
        head: CallHead,
        body: CallBody,
    ) -> Result<Answer, CallFailure> {
        self.serving_upstream(&head)?;
        let key = RequestKey::new(&head, &body);
        let pass = self.admit_suspect(&head, &key).await?;
        let slot_request = SlotRequest {
            ticket: 0,
            priority: head.priority,
            sequence: head.sequence,
            kind: head.kind,
            deadline_us: head.deadline_us,
            max_wait_us: head.max_wait_us,
        };
        let offered_us = self.clock.now_us();
        let admitted = self.slot_queue.admit(slot_request).await;
        self.record_admission(head.priority, offered_us, admitted.as_ref().err());
        let permit = admitted.map_err(|refusal| {
            self.metrics.refused.inc();
            if refusal.cause == RefusalCause::NamedLimit {
                self.metrics.refused_by_limit.inc();
            }
            self.log_refusal(&head, refusal);
            CallFailure::not_run(Reason::Overloaded).with_expected_wait(refusal.wait)
        })?;
        let run_permit = self.suspects.start(|| key.digest(), pass).await;
        let run_permit = run_permit.map_err(|refusal| self.refuse_suspect(&head, &key, refusal))?;
        // The upstream may have changed while the call waited.
        let upstream = self.serving_upstream(&head)?;
        let remaining_us = head.deadline_us.saturating_sub(self.clock.now_us());
        let remaining = Duration::from_micros(remaining_us);
        let run = self.crash_monitor.start(&upstream, key, run_permit);
        let run = self.dispatch(&head, &upstream, body, permit, run, remaining);
        match tokio::time::timeout(remaining, run).await {
            Ok(result) => result,
            Err(_) => Err(CallFailure::unknown(Reason::DeadlineExceeded)),
        }
    }

    /// Waits until a suspect may take a slot. Other calls do not wait.
    async fn admit_suspect(
        &self,
        head: &CallHead,
        key: &RequestKey,
    ) -> Result<SuspectPass, CallFailure> {
        let remaining_us = head.deadline_us.saturating_sub(self.clock.now_us());
        let call = SuspectCall {
            priority_level: head.priority.level(),
            max_wait: Duration::from_micros(head.max_wait_us.min(remaining_us)),
            load: self.slot_queue.load(),
            other_vms: &self.other_vms(head),
        };
        let admitted = self.suspects.admit(|| key.digest(), call).await;
        admitted.map_err(|refusal| self.refuse_suspect(head, key, refusal))
    }

    /// Returns the other VMs of the called service.
    fn other_vms(&self, head: &CallHead) -> Vec<VmName> {
        match self.suspects.is_empty() {
            true => Vec::new(),
            false => {
                let others = self.endpoints.other_vms(&head.service, &self.vm);
                others.into_iter().map(|(vm, _)| vm).collect()
            }
        }
    }

    fn refuse_suspect(
        &self,
        head: &CallHead,
        key: &RequestKey,
        refusal: SuspectRefusal,
    ) -> CallFailure {
        let reason = match refusal {
            SuspectRefusal::Quarantined => Reason::Quarantined,
            SuspectRefusal::Busy => Reason::Overloaded,
        };
        match refusal {
            SuspectRefusal::Quarantined => self.metrics.quarantine_refused.inc(),
            SuspectRefusal::Busy => self.metrics.refused.inc(),
        }
        if let Some(log) = self.request_log.rate_limited_logger(&self.metrics) {
            info!(log, "suspect-refused"; "request" => head.id_text(),
                "digest" => digest_text(key.digest()), "reason" => reason.as_str());
        }
        CallFailure::not_run(reason)
    }

    fn log_refusal(&self, head: &CallHead, refusal: Refusal) {
        let Some(log) = self.request_log.rate_limited_logger(&self.metrics) else { return };
        let load = self.slot_queue.load();
        info!(log, "call-refused"; "request" => head.id_text(), "standing" => ?head.priority,
            "expected_wait_ms" => refusal.wait.as_millis() as u64, "cause" => ?refusal.cause,
            "in_flight" => load.in_flight, "queued" => load.queued, "limit" => load.limit,
            "limit_per_s" => self.upstream_state.limit_per_s());
    }

    /// Records how long a call of a request in progress waited for a slot, or that it was refused.
    ///
    /// A refusal by a named limit says nothing about the capacity of the service: other upstreams
    /// may take the call. If none does, the node that made the call records that.
    fn record_admission(&self, priority: CallPriority, offered_us: u64, refusal: Option<&Refusal>) {
        let now_us = self.clock.now_us();
        let mut overload = self.lock_overload();
        match (priority, refusal.map(|refusal| refusal.cause)) {
            (CallPriority::InProgress(_), None) => {
                overload.record_wait(now_us, now_us - offered_us)
            }
            (CallPriority::InProgress(_), Some(RefusalCause::Slots)) => {
                overload.record_refusal(now_us);
            }
            (CallPriority::InProgress(_), Some(RefusalCause::NamedLimit))
            | (CallPriority::NewRequest(_), _) => {}
        }
    }

    /// Returns the upstream if it accepts calls and runs the service of the call.
    fn serving_upstream(&self, head: &CallHead) -> Result<ServingUpstream, CallFailure> {
        if self.is_refusing() {
            return Err(CallFailure::not_run(Reason::Leaving));
        }
        let upstream = self.upstream_state.serving();
        let upstream = upstream.filter(|upstream| upstream.service == head.service);
        upstream.ok_or_else(|| CallFailure::not_run(Reason::NoUpstream))
    }

    fn refuse_queued_if_not_serving(&self) {
        if self.upstream_state.serving().is_none() {
            self.slot_queue.refuse_all();
        }
    }

    async fn dispatch(
        &self,
        head: &CallHead,
        upstream: &ServingUpstream,
        body: CallBody,
        permit: Permit,
        run: RunGuard,
        remaining: Duration,
    ) -> Result<Answer, CallFailure> {
        let metadata = DispatchMetadata {
            remaining_time: remaining,
            instance_id: &upstream.instance_id,
            caller: &head.caller,
            account: head.announced_account(),
        };
        let mut request = Request::new(body);
        *request.method_mut() = head.method.clone();
        *request.uri_mut() = head.uri.clone();
        *request.headers_mut() = head.headers.clone();
        self.adapter.write_dispatch(request.headers_mut(), &metadata);
        let reuse = match head.idempotence {
            Idempotence::Idempotent => ReusePolicy::AnyIdle,
            Idempotence::NonIdempotent => ReusePolicy::RecentlyUsed,
        };
        self.metrics.dispatched.inc();
        let parent_request = ParentRequest {
            priority_level: head.priority.level(),
            sequence: head.sequence,
            is_repeat: head.is_repeat,
            account: head.account.clone(),
        };
        let running_guard = RunningRequests::register(
            &self.running_requests,
            head.request_id.as_ref(),
            parent_request,
        );
        let sent = self.pool.send(upstream.address, request, reuse, head.request_id.as_ref()).await;
        let (response, connection) = match sent {
            Ok(sent) => sent,
            Err(SendError::NotSent(_)) => {
                run.finish_not_run();
                self.log_unreachable(upstream, "no connection could be established");
                let check = self.crash_monitor.check_unreachable(upstream.clone());
                let _ = tokio::time::timeout(MAX_CRASH_CHECK_WAIT, check).await;
                self.upstream_state.mark_unreachable(upstream);
                return Err(CallFailure::not_run(Reason::ConnectFailed));
            }
            Err(SendError::Broken) => {
                let _ = run.finish_broken().await;
                return Err(CallFailure::unknown(Reason::ConnectionLost));
            }
        };
        let classification = self.adapter.classify_answer(
            response.status(),
            response.headers(),
            head.request_id.as_ref(),
        );
        if classification.is_from_addressee() {
            self.record_announcements(head, upstream, response.headers());
        }
        match classification {
            AnswerClassification::Answer => {
                let deadline_us = head.deadline_us;
                let remaining_us = deadline_us.saturating_sub(self.clock.now_us());
                let remaining = Duration::from_micros(remaining_us);
                let end_to_end = self.adapter.end_to_end_headers();
                let answer =
                    read_answer(response, connection, permit, run, remaining, end_to_end).await?;
                let is_final = running_guard.has_final_failure();
                let lacked_capacity =
                    answer.status.is_server_error() && running_guard.lacked_capacity();
                let calls = running_guard.calls();
                self.shared_failures.record_run(head.kind, RunCounts::of_run(lacked_capacity));
                if calls > 0 || lacked_capacity {
                    self.lock_overload().record_run(self.clock.now_us(), lacked_capacity);
                }
                Ok(Answer { calls: Some(calls), is_final, lacked_capacity, ..answer })
            }
            AnswerClassification::AtCapacity => {
                run.finish_refused(connection.opened_us());
                permit.finish_at_capacity();
                self.metrics.shed_by_upstream.inc();
                self.return_refused_connection(response, connection).await;
                Err(CallFailure::not_run(Reason::ShedByUpstream).reached_upstream())
            }
            AnswerClassification::NotRun => {
                run.finish_refused(connection.opened_us());
                self.return_refused_connection(response, connection).await;
                Err(CallFailure::not_run(Reason::ShedByUpstream).reached_upstream())
            }
            AnswerClassification::OtherProcess => {
                run.finish_not_run();
                self.log_unreachable(upstream, "another process has the address");
                self.upstream_state.mark_unreachable(upstream);
                Err(CallFailure::not_run(Reason::NoUpstream))
            }
            AnswerClassification::Mismatched => {
                warn!(self.log, "foreign-answer"; "request" => head.id_text().to_owned(),
                    "status" => response.status().as_u16());
                Err(CallFailure::unknown(Reason::ConnectionLost))
            }
        }
    }

    /// Returns the connection of a refused call to the pool if the refusal names the call and its body
    /// fits the buffer and arrives soon. Otherwise the connection is closed: a copy of a refusal
    /// that names no call would seem to answer the next call, and the failure must not wait for a
    /// body.
    async fn return_refused_connection(
        &self,
        response: Response<Incoming>,
        connection: PooledConnection,
    ) {
        let Some(refused_id) = self.request_id(response.headers()) else { return };
        let mut incoming = response.into_body();
        let read = body::read_buffered(&mut incoming);
        if let Ok(Ok((_, true))) = tokio::time::timeout(REFUSAL_BODY_TIMEOUT, read).await {
            connection.return_to_pool_after_refusal(refused_id);
        }
    }

    fn log_unreachable(&self, upstream: &ServingUpstream, detail: &'static str) {
        warn!(self.log, "upstream-unreachable"; "instance" => &*upstream.instance_id,
            "address" => %upstream.address, "detail" => detail);
    }
}

/// Returns the queue of a node. Rates are measured only if the deployment balances by them.
fn slot_queue(clock: Clock, balancing: Balancing) -> SlotQueue {
    match balancing {
        Balancing::TwoChoices => SlotQueue::new(clock),
        Balancing::EstimatedLoad => SlotQueue::new(clock).with_rates(),
    }
}

/// Reads a response and buffers its body up to [`body::MAX_BUFFERED_BYTES`]; a larger one is
/// streamed.
async fn read_answer(
    response: Response<Incoming>,
    connection: PooledConnection,
    permit: Permit,
    run: RunGuard,
    remaining: Duration,
    end_to_end: &[HeaderName],
) -> Result<Answer, CallFailure> {
    let (parts, mut incoming) = response.into_parts();
    let headers = forwarded_headers(parts.headers, end_to_end);
    let is_large = incoming.size_hint().lower() > body::MAX_BUFFERED_BYTES as u64;
    if is_large {
        let guard = StreamGuard::Upstream { _permit: permit, connection, run: Box::new(run) };
        let body = AnswerBody::streaming(bytes::Bytes::new(), incoming, guard, remaining);
        return Ok(Answer::new(parts.status, headers, body));
    }
    let Ok((buffered, is_complete)) = body::read_buffered(&mut incoming).await else {
        let _ = run.finish_broken().await;
        return Err(CallFailure::unknown(Reason::TruncatedAnswer));
    };
    let body = if is_complete {
        run.finish_answered(connection.opened_us());
        match parts.status.is_server_error() {
            true => permit.finish_failed(),
            false => permit.finish_answered(),
        }
        connection.return_to_pool();
        AnswerBody::buffered(buffered)
    } else {
        let guard = StreamGuard::Upstream { _permit: permit, connection, run: Box::new(run) };
        AnswerBody::streaming(buffered, incoming, guard, remaining)
    };
    Ok(Answer::new(parts.status, headers, body))
}

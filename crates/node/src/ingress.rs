//! Runs calls at the local upstream: admission, then the claim, then dispatch.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwapOption;
use bytes::BytesMut;
use daemon::Clock;
use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use model::{
    Announcement, Class, LimitSettings, Outcome, ProfileName, Reason, Route, ServiceName, Vm,
    headers,
};
use policy::admission::{AdmissionConfig, AdmissionLoad, Arrival};
use policy::limit::LimitConfig;
use policy::quarantine::{Digest, RunMode};
use policy::shed::{self, ArrivalResult, LevelController};
use policy::{US_PER_MS, US_PER_S};
use rpc::StoredAnswer;
use tokio::time::Instant;

use crate::admission_gate::{AdmissionGate, Permit};
use crate::answer::{Answer, AnswerGuard, CallFailure, NodeLoad, UpstreamGuard};
use crate::body::{AnswerBody, AnswerStream, CallBody, MAX_BUFFERED_BYTES};
use crate::call::{ActiveCall, CallHead, CallTable};
use crate::claim_client::{ClaimError, ClaimTarget};
use crate::claim_manager::{ClaimManager, ClaimOutcome};
use crate::death_reporter::DeathReporter;
use crate::profile_store::ProfileStore;
use crate::request_digest::request_digest;
use crate::stats::{Counter, Stats};
use crate::suspects::{self, Suspects};
use crate::upstream_client::{SendError, UpstreamClient};
use crate::wire_headers::{answer_headers, from_rpc_headers};

/// Time after its last announcement for which the upstream counts as present, in microseconds.
const ANNOUNCEMENT_LEASE_US: u64 = 3 * US_PER_S;

/// The last announcement of the upstream and the time of its arrival.
#[derive(Debug, Clone)]
pub(crate) struct Upstream {
    pub(crate) announcement: Announcement,
    pub(crate) last_announced_us: u64,
}

/// Components that the ingress uses.
pub(crate) struct IngressDependencies {
    pub(crate) clock: Clock,
    pub(crate) vm: Vm,
    pub(crate) profiles: Arc<ProfileStore>,
    pub(crate) stats: Arc<Stats>,
    pub(crate) claims: ClaimManager,
    pub(crate) death_reporter: DeathReporter,
}

/// Admits calls to the local upstream and runs them there.
pub(crate) struct Ingress {
    deps: IngressDependencies,
    gate: AdmissionGate,
    shed_levels: Mutex<LevelController>,
    upstream: ArcSwapOption<Upstream>,
    client: UpstreamClient,
    calls: Arc<CallTable>,
    suspects: Suspects,
    is_leaving: AtomicBool,
}

impl Ingress {
    pub(crate) fn new(deps: IngressDependencies) -> Self {
        let config = admission_config(1, &LimitSettings::default());
        Self {
            gate: AdmissionGate::new(deps.clock, config),
            shed_levels: Mutex::new(LevelController::new()),
            upstream: ArcSwapOption::empty(),
            client: UpstreamClient::new(),
            calls: Arc::new(CallTable::default()),
            suspects: Suspects::new(deps.clock),
            is_leaving: AtomicBool::new(false),
            deps,
        }
    }

    pub(crate) fn calls(&self) -> &CallTable {
        &self.calls
    }

    pub(crate) fn suspects(&self) -> &Suspects {
        &self.suspects
    }

    pub(crate) fn load(&self) -> NodeLoad {
        let now_us = self.deps.clock.now_us();
        let mut shed_levels = self.shed_levels.lock().unwrap_or_else(PoisonError::into_inner);
        NodeLoad {
            admission: self.gate.load(),
            is_leaving: self.is_leaving(),
            shed_level: shed_levels.level(now_us),
        }
    }

    /// Returns the counts of running and queued calls and the limit.
    pub(crate) fn admission_load(&self) -> AdmissionLoad {
        self.gate.load()
    }

    /// Returns whether the node or its upstream is shutting down and accepts no new calls.
    pub(crate) fn is_leaving(&self) -> bool {
        let upstream = self.upstream.load();
        let is_upstream_leaving =
            upstream.as_ref().is_some_and(|upstream| upstream.announcement.is_leaving);
        self.is_leaving.load(Ordering::Relaxed) || is_upstream_leaving
    }

    /// Refuses all waiting calls and all later ones.
    pub(crate) fn leave(&self) {
        self.is_leaving.store(true, Ordering::Relaxed);
        self.gate.refuse_all(Reason::Leaving);
    }

    /// Returns the upstream, unless its last announcement has expired.
    pub(crate) fn upstream(&self) -> Option<Arc<Upstream>> {
        let upstream = self.upstream.load_full()?;
        let age_us = self.deps.clock.now_us().saturating_sub(upstream.last_announced_us);
        (age_us < ANNOUNCEMENT_LEASE_US).then_some(upstream)
    }

    /// Records an announcement of the upstream and applies its limits.
    ///
    /// Restarts the ramp of the limit for a new upstream process, and refuses the queued calls if
    /// the upstream is leaving. A process that leaves never returns to serving: an announcement
    /// without that was sent before and arrives late.
    pub(crate) fn record_announcement(&self, mut announcement: Announcement) {
        let previous = self.upstream.load_full();
        let same_process = previous
            .as_ref()
            .filter(|previous| previous.announcement.incarnation == announcement.incarnation);
        let is_new_process = same_process.is_none();
        announcement.is_leaving |=
            same_process.is_some_and(|previous| previous.announcement.is_leaving);
        let is_leaving = announcement.is_leaving;
        let last_announced_us = self.deps.clock.now_us();
        self.upstream.store(Some(Arc::new(Upstream { announcement, last_announced_us })));
        self.refresh_limits();
        if is_new_process {
            self.gate.restart();
        }
        if is_leaving {
            self.gate.refuse_all(Reason::Leaving);
        }
    }

    /// Applies the limits of the upstream's current profile.
    pub(crate) fn refresh_limits(&self) {
        let Some(upstream) = self.upstream.load_full() else {
            return;
        };
        let Some(profile) = self.deps.profiles.get(&upstream.announcement.profile) else {
            return;
        };
        let slots = upstream.announcement.slots.min(upstream.announcement.connections);
        self.gate.set_config(admission_config(slots, &profile.limits));
    }

    /// Waits for the claims that are being settled in the background.
    pub(crate) async fn wait_for_settlements(&self) {
        self.deps.claims.wait_for_settlements().await;
    }

    /// Runs a call at the upstream.
    pub(crate) async fn serve(
        self: &Arc<Self>,
        head: CallHead,
        body: CallBody,
    ) -> Result<Answer, CallFailure> {
        self.serve_with_proceed(head, body, || {}).await
    }

    /// Runs a call at the upstream. Calls `proceed` once the call is admitted and claimed,
    /// immediately before the dispatch.
    pub(crate) async fn serve_with_proceed(
        self: &Arc<Self>,
        head: CallHead,
        body: CallBody,
        proceed: impl FnOnce() + Send,
    ) -> Result<Answer, CallFailure> {
        let allowance = head.retry_allowance;
        let refuse = |reason, body| self.not_run(reason, allowance, Some(body));
        if self.is_leaving() {
            return Err(refuse(Reason::Leaving, body));
        }
        let Some(upstream) = self.upstream() else {
            return Err(refuse(Reason::NoUpstream, body));
        };
        if upstream.announcement.service != head.service {
            return Err(refuse(Reason::NoUpstream, body));
        }
        let route = match self.route(&upstream.announcement.profile, &head) {
            Ok(route) => route,
            Err(reason) => return Err(refuse(reason, body)),
        };
        let permit = match self.admit(&head).await {
            Ok(permit) => permit,
            Err(reason) => return Err(refuse(reason, body)),
        };
        let claim = match self.deps.claims.claim(&head, &route, &body, self.remaining(&head)).await
        {
            Ok(ClaimOutcome::NotRequired) => None,
            Ok(ClaimOutcome::Granted(target)) => Some(target),
            Ok(ClaimOutcome::Finished(answer)) if answer.is_truncated => {
                // The body is not stored; without it, the answer would look complete to the caller.
                return Err(CallFailure::unknown(Reason::AnswerNotKept).with_load(self.load()));
            }
            Ok(ClaimOutcome::Finished(answer)) => return Ok(stored_answer(answer, allowance)),
            Err(ClaimError::NoQuorum) => return Err(refuse(Reason::NoQuorum, body)),
            Err(ClaimError::Conflict) => return Err(refuse(Reason::KeyConflict, body)),
            Err(ClaimError::Unknown) => {
                return Err(CallFailure::unknown(Reason::ClaimUnknown).with_load(self.load()));
            }
        };
        if self.deps.clock.now_us() >= head.deadline_us {
            self.deps.claims.release(claim);
            return Err(refuse(Reason::DeadlineExceeded, body));
        }
        proceed();
        let this = Arc::clone(self);
        let is_claimed = claim.is_some();
        let dispatch = async move { this.dispatch(&upstream, head, body, permit, claim).await };
        if !is_claimed {
            return dispatch.await;
        }
        // A claimed call continues if its caller disconnects, so that a retried request gets its
        // answer.
        let ended = tokio::spawn(dispatch).await;
        ended.unwrap_or_else(|_| Err(CallFailure::unknown(Reason::ConnectionLost)))
    }

    fn route(&self, profile: &ProfileName, head: &CallHead) -> Result<Route, Reason> {
        let profile = self.deps.profiles.get(profile).ok_or(Reason::NoProfile)?;
        let path = head.path.split('?').next().unwrap_or_default();
        profile.route(head.method.as_str(), path).cloned().ok_or(Reason::UnknownRoute)
    }

    async fn admit(&self, head: &CallHead) -> Result<Permit, Reason> {
        let arrival = Arrival {
            ticket: 0,
            class: head.class,
            admitted_unix_us: head.admitted_unix_us,
            deadline_us: head.deadline_us,
        };
        let result = self.gate.admit(arrival).await;
        let arrival_result =
            if result.is_ok() { ArrivalResult::Admitted } else { ArrivalResult::Refused };
        let priority = request_priority(head.class, head);
        let mut shed_levels = self.shed_levels.lock().unwrap_or_else(PoisonError::into_inner);
        shed_levels.record(self.deps.clock.now_us(), priority, arrival_result);
        result
    }

    fn remaining(&self, head: &CallHead) -> Duration {
        Duration::from_micros(head.deadline_us.saturating_sub(self.deps.clock.now_us()))
    }

    async fn dispatch(
        &self,
        upstream: &Upstream,
        head: CallHead,
        body: CallBody,
        mut permit: Permit,
        claim: Option<ClaimTarget>,
    ) -> Result<Answer, CallFailure> {
        let digest = request_digest(&head, &body).to_u64();
        let allowance = head.retry_allowance;
        let remaining = self.remaining(&head);
        let run_permit = self.suspects.acquire(digest, head.class, self.gate.load());
        let run_permit = tokio::time::timeout(remaining, run_permit).await;
        let run_permit = match run_permit.unwrap_or(Err(Reason::DeadlineExceeded)) {
            Ok(run_permit) => run_permit,
            Err(reason) => {
                self.deps.claims.release(claim);
                return Err(self.not_run(reason, allowance, Some(body)));
            }
        };
        self.deps.stats.increment(Counter::IngressDispatched);
        let call = Arc::new(ActiveCall::new(&head, rand::random()));
        self.calls.insert(Arc::clone(&call));
        permit.start();
        let guard = UpstreamGuard { permit: Some(permit), calls: Arc::clone(&self.calls), call };
        let body_copy = body.try_clone();
        let request = self.request(&head, body, &guard.call);
        let remaining = self.remaining(&head);
        let address = upstream.announcement.address;
        let sent = tokio::time::timeout(remaining, self.client.send(address, request)).await;
        let response = match sent {
            Ok(Ok(response)) => response,
            Ok(Err(SendError::NotSent)) => {
                self.deps.claims.release(claim);
                return Err(self.not_run(Reason::ConnectFailed, allowance, body_copy));
            }
            Ok(Err(SendError::Broken)) => {
                let reason =
                    self.classify_broken_connection(upstream, digest, run_permit.run_mode()).await;
                return Err(CallFailure::unknown(reason).with_load(self.load()));
            }
            Err(_) => {
                return Err(CallFailure::unknown(Reason::DeadlineExceeded).with_load(self.load()));
            }
        };
        self.suspects.clear(digest);
        drop(run_permit);
        if let Some(refusal) = UpstreamRefusal::from_response(&response) {
            return Err(self.handle_refusal(refusal, guard, claim, body_copy).await);
        }
        let remaining = self.remaining(&head);
        match tokio::time::timeout(remaining, self.collect_answer(&head, response, guard, claim))
            .await
        {
            Ok(result) => result,
            Err(_) => Err(CallFailure::unknown(Reason::DeadlineExceeded).with_load(self.load())),
        }
    }

    /// Counts a refusal and creates its failure.
    fn not_run(&self, reason: Reason, allowance: u32, body: Option<CallBody>) -> CallFailure {
        self.deps.stats.increment(Counter::IngressRefused);
        CallFailure::not_run(reason, allowance, body).with_load(self.load())
    }

    /// Returns why a connection broke: `UpstreamDied` if the upstream process has ended, otherwise
    /// `ConnectionLost`.
    ///
    /// Reports a death to the peers before it returns.
    async fn classify_broken_connection(
        &self,
        upstream: &Upstream,
        digest: Digest,
        run_mode: RunMode,
    ) -> Reason {
        let incarnation = upstream.announcement.incarnation;
        let is_replaced = || {
            let current = self.upstream.load();
            current.as_ref().is_none_or(|now| now.announcement.incarnation != incarnation)
        };
        if !is_replaced() && !suspects::is_listener_closed(upstream.announcement.address).await {
            return Reason::ConnectionLost;
        }
        if !is_replaced() {
            self.upstream.store(None);
        }
        self.deps.stats.increment(Counter::UpstreamDeaths);
        let vm = self.deps.vm.name.as_str();
        let report = suspects::death_report(vm, incarnation, digest, run_mode);
        self.suspects.record(&report);
        self.deps.death_reporter.broadcast(&upstream.announcement.service, report).await;
        Reason::UpstreamDied
    }

    /// Builds the HTTP request to the upstream.
    fn request(
        &self,
        head: &CallHead,
        body: CallBody,
        call: &ActiveCall,
    ) -> Request<crate::body::UpstreamRequestBody> {
        let is_streaming = matches!(body, CallBody::Stream { .. });
        let mut request = Request::new(body.into());
        *request.method_mut() = head.method.clone();
        if let Ok(uri) = head.path.parse() {
            *request.uri_mut() = uri;
        }
        *request.headers_mut() = head.headers.clone();
        let out = request.headers_mut();
        if !is_streaming {
            out.remove(header::CONTENT_LENGTH);
        }
        let remaining_ms = self.remaining(head).as_millis() as u64;
        if let Ok(value) = HeaderValue::try_from(call.context().to_string()) {
            out.insert(headers::CONTEXT, value);
        }
        out.insert(headers::DEADLINE_MS, HeaderValue::from(remaining_ms));
        if let Some(key) = &head.idempotency_key
            && let Ok(value) = HeaderValue::try_from(key.as_str())
        {
            out.insert(headers::IDEMPOTENCY_KEY, value);
        }
        request
    }

    /// Frees the slot and releases the claim of a call that the upstream refused to run.
    async fn handle_refusal(
        &self,
        refusal: UpstreamRefusal,
        guard: UpstreamGuard,
        claim: Option<ClaimTarget>,
        body_copy: Option<CallBody>,
    ) -> CallFailure {
        let remaining_allowance = guard.call.retry_allowance().available();
        let is_final = guard.call.has_child_failure();
        // A refusal by a called service is no reason to lower the limit of this upstream.
        if is_final {
            guard.finish();
        } else {
            guard.finish_shed();
        }
        let load = self.load();
        if let Some(target) = claim
            && !self.deps.claims.try_release(&target).await
        {
            self.deps.claims.release(Some(target));
            return CallFailure::unknown(refusal.reason).with_load(load);
        }
        let failure =
            CallFailure::not_run(refusal.reason, remaining_allowance, body_copy).with_load(load);
        let retry_after_us = refusal.retry_after_us.unwrap_or(failure.retry_after_us);
        CallFailure { is_final, retry_after_us, ..failure }
    }

    /// Reads an answer until it ends or exceeds [`MAX_BUFFERED_BYTES`]; the rest is streamed.
    async fn collect_answer(
        &self,
        head: &CallHead,
        response: Response<Incoming>,
        guard: UpstreamGuard,
        claim: Option<ClaimTarget>,
    ) -> Result<Answer, CallFailure> {
        let (parts, mut body) = response.into_parts();
        let mut buffered = BytesMut::new();
        let is_complete = loop {
            if buffered.len() > MAX_BUFFERED_BYTES {
                break false;
            }
            match body.frame().await {
                None => break true,
                Some(Ok(frame)) => {
                    if let Ok(chunk) = frame.into_data() {
                        buffered.extend_from_slice(&chunk);
                    }
                }
                Some(Err(_)) => {
                    let failure = CallFailure::unknown(Reason::TruncatedAnswer);
                    return Err(failure.with_load(self.load()));
                }
            }
        };
        let buffered = buffered.freeze();
        let headers = answer_headers(parts.headers, &head.method, is_complete);
        self.deps.claims.settle_answer(
            claim,
            parts.status,
            &headers,
            is_complete.then(|| buffered.clone()),
        );
        let is_final = guard.call.has_child_failure();
        let remaining_allowance = guard.call.retry_allowance().available();
        let body = if is_complete {
            guard.finish();
            AnswerBody::buffered(buffered)
        } else {
            let guard = AnswerGuard::upstream(guard);
            let deadline = Instant::now() + self.remaining(head);
            AnswerBody::streaming(buffered, AnswerStream::Upstream(body), guard, deadline)
        };
        let load = Some(self.load());
        Ok(Answer { status: parts.status, headers, body, load, is_final, remaining_allowance })
    }
}

impl UpstreamGuard {
    fn finish(self) {
        self.complete_permit(Permit::finish);
    }

    fn finish_shed(self) {
        self.complete_permit(Permit::finish_shed);
    }

    fn complete_permit(mut self, complete: impl FnOnce(Permit)) {
        if let Some(permit) = self.permit.take() {
            complete(permit);
        }
    }
}

/// Returns the priority of a call, which is the same at every node.
pub(crate) fn request_priority(class: Class, head: &CallHead) -> shed::Priority {
    shed::priority(class, head.request_id.bits() as u32)
}

fn admission_config(slots: u32, limits: &LimitSettings) -> AdmissionConfig {
    AdmissionConfig {
        limit: LimitConfig {
            slots,
            min_limit: limits.min_limit,
            cold_ramp_us: limits.cold_ramp_ms * US_PER_MS,
        },
        max_queue_delay_us: limits.max_queue_delay_ms * US_PER_MS,
        floor_percent: limits.floor_percent,
    }
}

/// Response with which the upstream states that it did not run a call.
struct UpstreamRefusal {
    reason: Reason,
    retry_after_us: Option<u64>,
}

impl UpstreamRefusal {
    /// Returns the refusal, or `None` if the response is an answer.
    fn from_response(response: &Response<Incoming>) -> Option<Self> {
        let is_refusal = response.status() == StatusCode::SERVICE_UNAVAILABLE
            || response.status() == StatusCode::TOO_MANY_REQUESTS;
        let text = |name: &str| response.headers().get(name).and_then(|value| value.to_str().ok());
        if !is_refusal || text(headers::OUTCOME) != Some(Outcome::NotRun.as_str()) {
            return None;
        }
        let reason = text(headers::REASON).and_then(Reason::from_code);
        let retry_after_s = text(header::RETRY_AFTER.as_str()).and_then(|s| s.parse::<u64>().ok());
        Some(Self {
            reason: reason.unwrap_or(Reason::ShedByUpstream),
            retry_after_us: retry_after_s.map(|seconds| seconds.saturating_mul(US_PER_S)),
        })
    }
}

/// Converts an answer that was stored with a claim.
fn stored_answer(answer: StoredAnswer, allowance: u32) -> Answer {
    let status = u16::try_from(answer.status).ok().and_then(|s| StatusCode::from_u16(s).ok());
    Answer {
        status: status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR),
        headers: from_rpc_headers(answer.headers),
        body: AnswerBody::buffered(answer.body),
        load: None,
        is_final: false,
        remaining_allowance: allowance,
    }
}

/// Returns the service of the local upstream, unless its announcement is missing or has expired.
pub(crate) fn announced_service(ingress: &Ingress) -> Option<ServiceName> {
    ingress.upstream().map(|upstream| upstream.announcement.service.clone())
}

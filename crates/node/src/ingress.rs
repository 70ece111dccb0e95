//! Guards the upstream beside the node: admission, then the claim, then dispatch.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwapOption;
use bytes::{Bytes, BytesMut};
use daemon::Clock;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Response, StatusCode, header};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use model::{
    Announcement, Class, LimitSettings, Outcome, ProfileName, Reason, Route, ServiceName, headers,
};
use policy::admission::{AdmissionConfig, AdmissionLoad, Arrival};
use policy::limit::LimitConfig;
use policy::shed::{self, LevelController, Refused};
use policy::{US_PER_MS, US_PER_S};
use rpc::StoredAnswer;
use sha2::{Digest, Sha256};
use tokio::task::JoinSet;

use crate::admission_gate::{AdmissionGate, Permit};
use crate::answer::{Answer, AnswerGuard, CallFailure, NodeLoad, UpstreamGuard};
use crate::body::{AnswerBody, AnswerStream, CallBody, MAX_HELD_BYTES};
use crate::call::{ActiveCall, CallHead, CallTable};
use crate::claim_client::{ClaimClient, ClaimError, ClaimTarget, Claimed};
use crate::profile_store::ProfileStore;
use crate::stats::{Counter, Stats};
use crate::upstream_client::{UpstreamClient, UpstreamError};

/// Time without an announcement after which the upstream counts as gone, in microseconds.
const ANNOUNCEMENT_LEASE_US: u64 = 3 * US_PER_S;
/// Largest answer body that is kept with a claim, in bytes.
const MAX_KEPT_ANSWER_BYTES: usize = MAX_HELD_BYTES;

/// The upstream as it last announced itself.
#[derive(Debug, Clone)]
pub(crate) struct Upstream {
    pub(crate) announcement: Announcement,
    pub(crate) announced_us: u64,
}

/// Parts that the ingress works with.
pub(crate) struct IngressParts {
    pub(crate) clock: Clock,
    pub(crate) profiles: Arc<ProfileStore>,
    pub(crate) stats: Arc<Stats>,
    pub(crate) claims: ClaimClient,
}

/// Guard of the upstream beside the node.
pub(crate) struct Ingress {
    parts: IngressParts,
    gate: AdmissionGate,
    levels: Mutex<LevelController>,
    upstream: ArcSwapOption<Upstream>,
    client: UpstreamClient,
    calls: Arc<CallTable>,
    settlements: Mutex<JoinSet<()>>,
    is_leaving: AtomicBool,
}

impl Ingress {
    pub(crate) fn new(parts: IngressParts) -> Self {
        let config = admission_config(1, &LimitSettings::default());
        Self {
            gate: AdmissionGate::new(parts.clock, config),
            levels: Mutex::new(LevelController::new()),
            upstream: ArcSwapOption::empty(),
            client: UpstreamClient::new(),
            calls: Arc::new(CallTable::default()),
            settlements: Mutex::new(JoinSet::new()),
            is_leaving: AtomicBool::new(false),
            parts,
        }
    }

    pub(crate) fn calls(&self) -> &CallTable {
        &self.calls
    }

    pub(crate) fn load(&self) -> NodeLoad {
        let now_us = self.parts.clock.now_us();
        let mut levels = self.levels.lock().unwrap_or_else(PoisonError::into_inner);
        NodeLoad {
            admission: self.gate.load(),
            is_leaving: self.is_leaving(),
            shed_level: levels.level(now_us),
        }
    }

    pub(crate) fn admission_load(&self) -> AdmissionLoad {
        self.gate.load()
    }

    /// Returns whether the node or its upstream takes no new work.
    pub(crate) fn is_leaving(&self) -> bool {
        let upstream = self.upstream.load();
        let is_upstream_leaving =
            upstream.as_ref().is_some_and(|upstream| upstream.announcement.is_leaving);
        self.is_leaving.load(Ordering::Relaxed) || is_upstream_leaving
    }

    /// Takes no new work from now on.
    pub(crate) fn leave(&self) {
        self.is_leaving.store(true, Ordering::Relaxed);
        self.gate.refuse_all(Reason::Leaving);
    }

    /// Returns the upstream while its announcements are fresh.
    pub(crate) fn upstream(&self) -> Option<Arc<Upstream>> {
        let upstream = self.upstream.load_full()?;
        let age_us = self.parts.clock.now_us().saturating_sub(upstream.announced_us);
        (age_us < ANNOUNCEMENT_LEASE_US).then_some(upstream)
    }

    /// Takes an announcement into account.
    pub(crate) fn announce(&self, announcement: Announcement) {
        let known = self.upstream.load_full();
        let is_new_process = known
            .as_ref()
            .is_none_or(|known| known.announcement.incarnation != announcement.incarnation);
        let is_leaving = announcement.is_leaving;
        let announced_us = self.parts.clock.now_us();
        self.upstream.store(Some(Arc::new(Upstream { announcement, announced_us })));
        self.refresh_limits();
        if is_new_process {
            self.gate.restart();
        }
        if is_leaving {
            self.gate.refuse_all(Reason::Leaving);
        }
    }

    /// Puts the limits of the upstream's profile in force.
    pub(crate) fn refresh_limits(&self) {
        let Some(upstream) = self.upstream.load_full() else { return };
        let Some(profile) = self.parts.profiles.get(&upstream.announcement.profile) else { return };
        let slots = upstream.announcement.slots.min(upstream.announcement.connections);
        self.gate.set_config(admission_config(slots, &profile.limits));
    }

    /// Waits for settlements of claims that run in the background.
    pub(crate) async fn finish_settlements(&self) {
        let mut running = {
            let mut settlements = self.settlements.lock().unwrap_or_else(PoisonError::into_inner);
            std::mem::take(&mut *settlements)
        };
        while running.join_next().await.is_some() {}
    }

    /// Runs a call at the upstream.
    pub(crate) async fn serve(&self, head: CallHead, body: CallBody) -> Result<Answer, CallFailure> {
        self.serve_admitted(head, body, || {}).await
    }

    /// Runs a call at the upstream and tells when it is about to be dispatched.
    pub(crate) async fn serve_admitted(
        &self,
        head: CallHead,
        body: CallBody,
        proceed: impl FnOnce() + Send,
    ) -> Result<Answer, CallFailure> {
        let allowance = head.retry_allowance;
        let refuse = |reason: Reason, body: CallBody| {
            self.parts.stats.add(Counter::IngressRefused);
            CallFailure::not_run(reason, allowance, Some(body)).with_load(self.load())
        };
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
        let claim = match self.claim(&head, &route, &body).await {
            Ok(Claim::None) => None,
            Ok(Claim::Held(target)) => Some(target),
            Ok(Claim::Finished(answer)) => return Ok(stored_answer(answer, allowance)),
            Err(ClaimError::NoQuorum) => return Err(refuse(Reason::NoQuorum, body)),
            Err(ClaimError::Conflict) => return Err(refuse(Reason::KeyConflict, body)),
            Err(ClaimError::Unknown) => {
                return Err(CallFailure::unknown(Reason::ClaimUnknown).with_load(self.load()));
            }
        };
        if self.parts.clock.now_us() >= head.deadline_us {
            self.release(claim);
            return Err(refuse(Reason::DeadlineExceeded, body));
        }
        proceed();
        self.dispatch(upstream.announcement.address, head, body, permit, claim).await
    }

    fn route(&self, profile: &ProfileName, head: &CallHead) -> Result<Route, Reason> {
        let profile = self.parts.profiles.get(profile).ok_or(Reason::NoProfile)?;
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
        let is_refused = if result.is_ok() { Refused::No } else { Refused::Yes };
        let priority = priority_of(head.class, head);
        let mut levels = self.levels.lock().unwrap_or_else(PoisonError::into_inner);
        levels.record(self.parts.clock.now_us(), priority, is_refused);
        result
    }

    async fn claim(
        &self,
        head: &CallHead,
        route: &Route,
        body: &CallBody,
    ) -> Result<Claim, ClaimError> {
        if !route.is_claimed {
            return Ok(Claim::None);
        }
        let Some(key) = head.idempotency_key.clone() else { return Ok(Claim::None) };
        let target = ClaimTarget {
            key,
            service: head.service.to_string(),
            route: route.name.to_string(),
            holder: rand::random(),
        };
        let left = self.remaining(head);
        let claimed =
            tokio::time::timeout(left, self.parts.claims.claim(&target, digest(head, body), left));
        match claimed.await.unwrap_or(Err(ClaimError::NoQuorum)) {
            Ok(Claimed::Granted) => {
                self.parts.stats.add(Counter::ClaimsGranted);
                Ok(Claim::Held(target))
            }
            Ok(Claimed::Finished(answer)) => Ok(Claim::Finished(answer)),
            Err(ClaimError::NoQuorum) => {
                self.parts.stats.add(Counter::ClaimsNoQuorum);
                // The claim may be committed although its answer was lost.
                self.release(Some(target));
                Err(ClaimError::NoQuorum)
            }
            Err(error) => Err(error),
        }
    }

    /// Releases a claim in the background.
    fn release(&self, claim: Option<ClaimTarget>) {
        self.settle(claim, None);
    }

    fn settle(&self, claim: Option<ClaimTarget>, answer: Option<StoredAnswer>) {
        let Some(target) = claim else { return };
        let client = self.parts.claims.clone();
        let mut settlements = self.settlements.lock().unwrap_or_else(PoisonError::into_inner);
        while settlements.try_join_next().is_some() {}
        settlements.spawn(client.settle_persistently(target, answer));
    }

    fn remaining(&self, head: &CallHead) -> Duration {
        Duration::from_micros(head.deadline_us.saturating_sub(self.parts.clock.now_us()))
    }

    async fn dispatch(
        &self,
        address: SocketAddr,
        head: CallHead,
        body: CallBody,
        mut permit: Permit,
        claim: Option<ClaimTarget>,
    ) -> Result<Answer, CallFailure> {
        self.parts.stats.add(Counter::IngressDispatched);
        let call = Arc::new(ActiveCall::new(&head, rand::random()));
        self.calls.insert(Arc::clone(&call));
        permit.start();
        let guard = UpstreamGuard { permit: Some(permit), calls: Arc::clone(&self.calls), call };
        let replay = body.replay();
        let request = self.request(&head, body, &guard.call);
        let left = self.remaining(&head);
        let sent = tokio::time::timeout(left, self.client.send(address, request)).await;
        let response = match sent {
            Ok(Ok(response)) => response,
            Ok(Err(UpstreamError::Connect)) => {
                self.release(claim);
                let allowance = head.retry_allowance;
                let failure = CallFailure::not_run(Reason::ConnectFailed, allowance, replay);
                return Err(failure.with_load(self.load()));
            }
            Ok(Err(UpstreamError::Broken)) => {
                return Err(CallFailure::unknown(Reason::ConnectionLost).with_load(self.load()));
            }
            Err(_) => {
                return Err(CallFailure::unknown(Reason::DeadlineExceeded).with_load(self.load()));
            }
        };
        if is_shed(&response) {
            return Err(self.shed(guard, claim, replay).await);
        }
        let left = self.remaining(&head);
        match tokio::time::timeout(left, self.collect(&head.method, response, guard, claim)).await {
            Ok(result) => result,
            Err(_) => {
                Err(CallFailure::unknown(Reason::DeadlineExceeded).with_load(self.load()))
            }
        }
    }

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
        let left_ms = self.remaining(head).as_millis() as u64;
        if let Ok(value) = HeaderValue::try_from(call.context().to_string()) {
            out.insert(headers::CONTEXT, value);
        }
        out.insert(headers::DEADLINE_MS, HeaderValue::from(left_ms));
        if let Some(key) = &head.idempotency_key
            && let Ok(value) = HeaderValue::try_from(key.as_str())
        {
            out.insert(headers::IDEMPOTENCY_KEY, value);
        }
        request
    }

    /// Handles the upstream's word that it did not run the call.
    async fn shed(
        &self,
        guard: UpstreamGuard,
        claim: Option<ClaimTarget>,
        replay: Option<CallBody>,
    ) -> CallFailure {
        let unspent = guard.call.ledger().available();
        guard.finish_shed();
        let load = self.load();
        if let Some(target) = claim
            && !self.parts.claims.settle(&target, None).await
        {
            self.release(Some(target));
            return CallFailure::unknown(Reason::ShedByUpstream).with_load(load);
        }
        CallFailure::not_run(Reason::ShedByUpstream, unspent, replay).with_load(load)
    }

    async fn collect(
        &self,
        method: &Method,
        response: Response<Incoming>,
        guard: UpstreamGuard,
        claim: Option<ClaimTarget>,
    ) -> Result<Answer, CallFailure> {
        let (parts, mut body) = response.into_parts();
        let mut held = BytesMut::new();
        let is_whole = loop {
            if held.len() > MAX_HELD_BYTES {
                break false;
            }
            match body.frame().await {
                None => break true,
                Some(Ok(frame)) => {
                    if let Ok(chunk) = frame.into_data() {
                        held.extend_from_slice(&chunk);
                    }
                }
                Some(Err(_)) => {
                    let failure = CallFailure::unknown(Reason::TruncatedAnswer);
                    return Err(failure.with_load(self.load()));
                }
            }
        };
        let held = held.freeze();
        let headers = answer_headers(parts.headers, method, is_whole);
        self.settle_answer(claim, parts.status, &headers, is_whole.then(|| held.clone()));
        let is_final = guard.call.has_given_up();
        let unspent = guard.call.ledger().available();
        let body = if is_whole {
            guard.finish();
            AnswerBody::full(held)
        } else {
            let guard = AnswerGuard::upstream(guard);
            let rest = Box::new(AnswerStream::Upstream(body));
            AnswerBody::Stream { held: Some(held), rest, guard }
        };
        let load = Some(self.load());
        Ok(Answer { status: parts.status, headers, body, load, is_final, unspent })
    }

    fn settle_answer(
        &self,
        claim: Option<ClaimTarget>,
        status: StatusCode,
        headers: &HeaderMap,
        body: Option<Bytes>,
    ) {
        if claim.is_none() {
            return;
        }
        let is_kept = body.as_ref().is_some_and(|body| body.len() <= MAX_KEPT_ANSWER_BYTES);
        let answer = StoredAnswer {
            status: u32::from(status.as_u16()),
            headers: to_rpc_headers(headers),
            body: body.filter(|_| is_kept).unwrap_or_default(),
            is_truncated: !is_kept,
        };
        self.settle(claim, Some(answer));
    }
}

impl UpstreamGuard {
    fn finish(self) {
        self.settle(Permit::finish);
    }

    fn finish_shed(self) {
        self.settle(Permit::finish_shed);
    }

    fn settle(mut self, settle: impl FnOnce(Permit)) {
        if let Some(permit) = self.permit.take() {
            settle(permit);
        }
    }
}

enum Claim {
    None,
    Held(ClaimTarget),
    Finished(StoredAnswer),
}

/// Returns the priority of a call within the whole system.
pub(crate) fn priority_of(class: Class, head: &CallHead) -> shed::Priority {
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

fn digest(head: &CallHead, body: &CallBody) -> Bytes {
    let mut digest = Sha256::new();
    digest.update(head.method.as_str());
    digest.update([0]);
    digest.update(&head.path);
    digest.update([0]);
    if let Some(length) = head.headers.get(header::CONTENT_LENGTH) {
        digest.update(length.as_bytes());
    }
    digest.update([0]);
    digest.update(body.held());
    Bytes::copy_from_slice(&digest.finalize())
}

/// Returns whether the upstream says that it did not run the call.
fn is_shed(response: &Response<Incoming>) -> bool {
    let is_refusal = response.status() == StatusCode::SERVICE_UNAVAILABLE
        || response.status() == StatusCode::TOO_MANY_REQUESTS;
    let outcome = response.headers().get(headers::OUTCOME);
    is_refusal && outcome.is_some_and(|value| value == Outcome::NotRun.as_str())
}

/// Drops headers that belong to the connection or to heatherweir.
fn answer_headers(from: HeaderMap, method: &Method, is_whole: bool) -> HeaderMap {
    let mut kept = HeaderMap::with_capacity(from.len());
    for (name, value) in &from {
        let is_kept = !headers::is_hop_by_hop(name.as_str()) && !headers::is_internal(name.as_str());
        if is_kept {
            kept.append(name.clone(), value.clone());
        }
    }
    if is_whole && method != Method::HEAD {
        kept.remove(header::CONTENT_LENGTH);
    }
    kept
}

/// Converts headers for a message.
pub(crate) fn to_rpc_headers(headers: &HeaderMap) -> Vec<rpc::Header> {
    let converted = headers.iter().map(|(name, value)| rpc::Header {
        name: name.as_str().to_owned(),
        value: Bytes::copy_from_slice(value.as_bytes()),
    });
    converted.collect()
}

/// Converts headers of a message; unusable ones are dropped.
pub(crate) fn from_rpc_headers(headers: Vec<rpc::Header>) -> HeaderMap {
    let mut converted = HeaderMap::with_capacity(headers.len());
    for header in headers {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        let value = HeaderValue::from_bytes(&header.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            converted.append(name, value);
        }
    }
    converted
}

fn stored_answer(answer: StoredAnswer, allowance: u32) -> Answer {
    let status = u16::try_from(answer.status).ok().and_then(|s| StatusCode::from_u16(s).ok());
    Answer {
        status: status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR),
        headers: from_rpc_headers(answer.headers),
        body: AnswerBody::full(answer.body),
        load: None,
        is_final: false,
        unspent: allowance,
    }
}

/// Service of the upstream, once it has announced itself.
pub(crate) fn announced_service(ingress: &Ingress) -> Option<ServiceName> {
    ingress.upstream().map(|upstream| upstream.announcement.service.clone())
}

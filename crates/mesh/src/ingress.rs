//! Guards the upstream beside the node: admission, then dispatch.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use daemon::Clock;
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode, header};
use http_body::Body;
use hyper::body::Incoming;
use model::{Reason, Repeatability, headers};
use policy::placement::PlacementLoad;
use policy::pressure::NodePressure;
use policy::slots::{Applicant, Standing};
use slog::{Logger, info, warn};

use crate::body::{self, AnswerBody, CallBody, StreamGuard};
use crate::call::CallHead;
use crate::dialect::{AnswerVerdict, Dialect, DispatchFacts, UpstreamReport};
use crate::failure::Failure;
use crate::gate::{Gate, Permit};
use crate::links::{Lease, LinkError, Links, Reuse};
use crate::metrics::Metrics;
use crate::request_log::RequestLog;
use crate::running_ids::{Lineage, RunningIds};
use crate::upstream::{ReportEffect, ServingUpstream, UpstreamRegistry};

/// Divisor of the slots of a cold upstream that other nodes are told of: it takes about twice as long
/// for a call, so half of the calls keep it as busy.
const COLD_DIVISOR: u32 = 2;

/// An answer, whole or with a body that still streams.
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: AnswerBody,
}

/// Load of a node, sent with each of its answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct NodeLoad {
    pub(crate) placement: PlacementLoad,
    pub(crate) is_leaving: bool,
    /// Chance that a request handled there fails for want of room, in thousandths.
    pub(crate) pressure_permille: u32,
}

/// Guard of the upstream beside the node.
pub(crate) struct Ingress<D> {
    log: Logger,
    clock: Clock,
    dialect: Arc<D>,
    links: Links,
    pub(crate) gate: Gate,
    pub(crate) upstreams: UpstreamRegistry,
    is_stopping: AtomicBool,
    is_withdrawn: AtomicBool,
    pressure: Mutex<NodePressure>,
    /// Ids of the requests that the upstream is running.
    running: Arc<RunningIds>,
    request_log: RequestLog,
    metrics: Arc<Metrics>,
}

impl<D: Dialect> Ingress<D> {
    pub(crate) fn new(
        log: Logger,
        clock: Clock,
        dialect: Arc<D>,
        links: Links,
        metrics: Arc<Metrics>,
    ) -> Self {
        Self {
            request_log: RequestLog::new(log.clone(), clock),
            log,
            clock,
            dialect,
            links,
            gate: Gate::new(clock),
            upstreams: UpstreamRegistry::new(),
            is_stopping: AtomicBool::new(false),
            is_withdrawn: AtomicBool::new(false),
            pressure: Mutex::default(),
            running: Arc::default(),
            metrics,
        }
    }

    /// Notes that the node stops, so that callers go elsewhere. Requests that still arrive are served.
    pub(crate) fn stop(&self) {
        self.is_stopping.store(true, Ordering::Relaxed);
    }

    /// Tells other nodes to send their calls elsewhere. Calls that still arrive are served.
    pub(crate) fn withdraw(&self) {
        self.is_withdrawn.store(true, Ordering::Relaxed);
        self.upstreams.announce();
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::Relaxed)
    }

    pub(crate) fn load(&self) -> NodeLoad {
        let now_us = self.clock.now_us();
        let load = self.gate.load();
        let limit = match self.upstreams.is_cold(now_us) {
            true => (load.limit / COLD_DIVISOR).max(1),
            false => load.limit,
        };
        let placement = PlacementLoad { in_flight: load.in_flight, queued: load.queued, limit };
        let pressure_permille = (self.pressure().value(now_us) * 1_000.0) as u32;
        NodeLoad { placement, is_leaving: self.is_leaving(), pressure_permille }
    }

    /// Returns the rank and order of the request that the upstream makes a call for, if a request is
    /// such a call.
    pub(crate) fn lineage(&self, request_id: &HeaderValue) -> Option<Lineage> {
        self.running.find(self.dialect.parent_id(request_id)?)
    }

    /// Takes a call that the upstream made into account, with the pressure that it met.
    pub(crate) fn record_call(&self, pressure: f64) {
        self.pressure().record_call(self.clock.now_us(), pressure);
    }

    fn pressure(&self) -> MutexGuard<'_, NodePressure> {
        self.pressure.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether other nodes should send their calls elsewhere.
    pub(crate) fn is_leaving(&self) -> bool {
        self.is_withdrawn.load(Ordering::Relaxed) || self.upstreams.serving().is_none()
    }

    /// Takes over what control knows of the upstream, unless it has reported to this node itself.
    pub(crate) fn recover(&self, report: UpstreamReport) {
        if self.upstreams.service().is_none() {
            info!(self.log, "upstream-recovered"; "instance" => &*report.instance_id,
                "phase" => ?report.phase);
            self.record(report);
        }
    }

    /// Takes the upstream's report of itself into account.
    pub(crate) fn record(&self, report: UpstreamReport) {
        let id = report.instance_id.clone();
        let (address, sequence) = (report.address, report.sequence);
        let effect = self.upstreams.record(self.clock.now_us(), report);
        if matches!(effect, ReportEffect::NewProcess) {
            self.links.forget(address);
        }
        if matches!(effect, ReportEffect::NewProcess | ReportEffect::Changed) {
            let is_serving = self.upstreams.serving().is_some();
            info!(self.log, "upstream-changed"; "instance" => &*id, "sequence" => sequence,
                "effect" => ?effect, "is_serving" => is_serving);
            self.gate.set_slots(self.upstreams.slots());
        }
        self.refuse_if_closed();
    }

    /// Takes the upstream's word that it leaves into account.
    pub(crate) fn leave(&self, instance_id: &str) {
        let is_known = self.upstreams.leave(instance_id);
        info!(self.log, "upstream-leaves"; "instance" => instance_id.to_owned(),
            "is_known" => is_known);
        self.refuse_if_closed();
    }

    /// Returns the id that a request names.
    pub(crate) fn request_id(&self, headers: &HeaderMap) -> Option<HeaderValue> {
        self.dialect.read_request(headers).request_id
    }

    /// Runs a call at the upstream.
    pub(crate) async fn serve(&self, head: CallHead, body: CallBody) -> Result<Answer, Failure> {
        self.serving(&head)?;
        let applicant = Applicant {
            ticket: 0,
            standing: head.standing,
            order: head.order,
            kind: head.kind,
            deadline_us: head.deadline_us,
            max_wait_us: head.max_wait_us,
        };
        let offered_us = self.clock.now_us();
        let admitted = self.gate.admit(applicant).await;
        self.record_admission(head.standing, offered_us, admitted.is_ok());
        let permit = admitted.map_err(|wait| {
            self.metrics.refused.inc();
            self.log_refusal(&head, wait);
            Failure::not_run(Reason::Overloaded).with_wait(wait)
        })?;
        // The upstream may have changed while the call waited.
        let upstream = self.serving(&head)?;
        let left_us = head.deadline_us.saturating_sub(self.clock.now_us());
        let left = Duration::from_micros(left_us);
        let run = self.dispatch(&head, &upstream, body, permit, left);
        match tokio::time::timeout(left, run).await {
            Ok(result) => result,
            Err(_) => Err(Failure::unknown(Reason::DeadlineExceeded)),
        }
    }

    fn log_refusal(&self, head: &CallHead, wait: Duration) {
        let Some(log) = self.request_log.line(&self.metrics) else { return };
        let load = self.gate.load();
        info!(log, "call-refused"; "request" => head.id_text(), "standing" => ?head.standing,
            "expected_wait_ms" => wait.as_millis() as u64, "in_flight" => load.in_flight,
            "queued" => load.queued, "limit" => load.limit);
    }

    fn record_admission(&self, standing: Standing, offered_us: u64, is_admitted: bool) {
        let now_us = self.clock.now_us();
        let mut pressure = self.pressure();
        match (standing, is_admitted) {
            (Standing::Begun(_), true) => pressure.record_wait(now_us, now_us - offered_us),
            (Standing::Begun(_), false) => pressure.record_refusal(now_us),
            (Standing::Entry(_), _) => {}
        }
    }

    fn serving(&self, head: &CallHead) -> Result<ServingUpstream, Failure> {
        let upstream = self.upstreams.serving();
        let upstream = upstream.filter(|upstream| upstream.service == head.service);
        upstream.ok_or_else(|| Failure::not_run(Reason::NoUpstream))
    }

    fn refuse_if_closed(&self) {
        if self.upstreams.serving().is_none() {
            self.gate.refuse_all();
        }
    }

    async fn dispatch(
        &self,
        head: &CallHead,
        upstream: &ServingUpstream,
        body: CallBody,
        permit: Permit,
        left: Duration,
    ) -> Result<Answer, Failure> {
        let facts = DispatchFacts {
            time_left: left,
            instance_id: &upstream.instance_id,
            caller: &head.caller,
        };
        let mut request = Request::new(body);
        *request.method_mut() = head.method.clone();
        *request.uri_mut() = head.uri.clone();
        *request.headers_mut() = head.headers.clone();
        self.dialect.write_dispatch(request.headers_mut(), &facts);
        let reuse = match head.repeatability {
            Repeatability::Idempotent => Reuse::Idle,
            Repeatability::AtMostOnce => Reuse::JustUsed,
        };
        self.metrics.dispatched.inc();
        let lineage = Lineage { rank: head.standing.rank(), order: head.order };
        let _running = RunningIds::enter(&self.running, head.request_id.as_ref(), lineage);
        let (response, lease) = self.links.send(upstream.address, request, reuse).await.map_err(
            |error| match error {
                LinkError::NotSent(_) => {
                    self.log_unreachable(upstream, "connection refused");
                    self.upstreams.mark_unreachable(&upstream.instance_id);
                    Failure::not_run(Reason::ConnectFailed)
                }
                LinkError::Broken => Failure::unknown(Reason::ConnectionLost),
            },
        )?;
        let verdict = self.dialect.judge_answer(
            response.status(),
            response.headers(),
            head.request_id.as_ref(),
        );
        match verdict {
            AnswerVerdict::Answer => take_answer(response, lease, permit).await,
            AnswerVerdict::Full => {
                permit.finish_full();
                self.metrics.shed_by_upstream.inc();
                keep_after_refusal(response, lease).await;
                Err(Failure::not_run(Reason::ShedByUpstream).arrived())
            }
            AnswerVerdict::NotRun => {
                keep_after_refusal(response, lease).await;
                Err(Failure::not_run(Reason::ShedByUpstream).arrived())
            }
            AnswerVerdict::OtherProcess => {
                self.log_unreachable(upstream, "another process has the address");
                self.upstreams.mark_unreachable(&upstream.instance_id);
                Err(Failure::not_run(Reason::NoUpstream))
            }
            AnswerVerdict::Foreign => {
                warn!(self.log, "foreign-answer"; "request" => head.id_text().to_owned(),
                    "status" => response.status().as_u16());
                Err(Failure::unknown(Reason::ConnectionLost))
            }
        }
    }

    fn log_unreachable(&self, upstream: &ServingUpstream, detail: &'static str) {
        warn!(self.log, "upstream-unreachable"; "instance" => &*upstream.instance_id,
            "address" => %upstream.address, "detail" => detail);
    }
}

/// Reads an answer as far as it is held; the rest streams.
async fn take_answer(
    response: Response<Incoming>,
    lease: Lease,
    permit: Permit,
) -> Result<Answer, Failure> {
    let (parts, mut incoming) = response.into_parts();
    let headers = forwarded_headers(parts.headers);
    let is_large = incoming.size_hint().lower() > body::MAX_HELD_BYTES as u64;
    if is_large {
        let guard = StreamGuard::Upstream { _permit: permit, lease };
        let body = AnswerBody::streaming(bytes::Bytes::new(), incoming, guard);
        return Ok(Answer { status: parts.status, headers, body });
    }
    let read = body::read_up_to(&mut incoming).await;
    let (held, is_whole) = read.map_err(|_| Failure::unknown(Reason::TruncatedAnswer))?;
    let body = if is_whole {
        permit.finish();
        lease.give_back();
        AnswerBody::full(held)
    } else {
        AnswerBody::streaming(held, incoming, StreamGuard::Upstream { _permit: permit, lease })
    };
    Ok(Answer { status: parts.status, headers, body })
}

/// Keeps the connection of a refused call if the refusal's body is short.
async fn keep_after_refusal(response: Response<Incoming>, lease: Lease) {
    let mut incoming = response.into_body();
    if let Ok((_, true)) = body::read_up_to(&mut incoming).await {
        lease.give_back();
    }
}

/// Drops headers that concern one connection, and internal ones that only nodes may send.
pub(crate) fn forwarded_headers(mut from: HeaderMap) -> HeaderMap {
    let named: Vec<String> = from
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    for name in named {
        from.remove(name);
    }
    for name in headers::HOP_BY_HOP {
        from.remove(name);
    }
    let internal: Vec<_> =
        from.keys().filter(|name| headers::is_internal(name.as_str())).cloned().collect();
    for name in internal {
        from.remove(name);
    }
    from
}

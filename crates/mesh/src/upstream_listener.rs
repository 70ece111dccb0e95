//! Handlers of upstream notifications, readiness probes and metrics.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use daemon::Clock;
use http::{HeaderValue, Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Collected, Limited};
use policy::US_PER_MS;
use policy::quarantine::Digest;
use slog::{Logger, warn};

use crate::body::AnswerBody;
use crate::configuration_holder::ConfigurationHolder;
use crate::expected_upstream::{ExpectedUpstream, ForeignReport, UpstreamIdentity};
use crate::http_listener::{Handler, InboundBody, empty_response};
use crate::ingress::Ingress;
use crate::metrics::Metrics;
use crate::protocol_adapter::{
    DocumentError, InstanceId, ProtocolAdapter, UpstreamNotification, UpstreamPhase, UpstreamReport,
};
use crate::quarantine_peers::QuarantinePeers;
use crate::refusal_log::RefusalLog;
use crate::request_key::digest_text;
use crate::suspects::Suspects;

/// Maximum time that a shutdown notification of the upstream waits until control has committed it.
/// The sender waits for a second.
const LEAVE_COMMIT_TIMEOUT: Duration = Duration::from_millis(800);
/// Delay before it is acknowledged if the attached replica is of a version that commits none. Several
/// times the latency of a message to control.
const UNCOMMITTED_LEAVE_DELAY: Duration = Duration::from_millis(50);
/// Maximum size of an upstream notification, in bytes. Usual ones have a few hundred bytes.
const MAX_NOTIFICATION_BYTES: usize = 16 * 1024;
/// Maximum time to receive an upstream notification. The sender waits for a second.
const NOTIFICATION_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of characters of a refused notification's path that are logged.
const MAX_LOGGED_PATH_CHARS: usize = 128;
/// Maximum number of characters of an error that are logged. Errors may quote the notification.
const MAX_LOGGED_ERROR_CHARS: usize = 256;

/// Handler of notifications from the local upstream.
pub(crate) struct UpstreamHandler<D> {
    pub(crate) log: Logger,
    pub(crate) clock: Clock,
    pub(crate) adapter: Arc<D>,
    pub(crate) ingress: Arc<Ingress<D>>,
    pub(crate) expected: Arc<ExpectedUpstream>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) refusal_log: RefusalLog,
}

impl<D> UpstreamHandler<D> {
    /// Counts a report of another writer and logs it.
    fn refuse_foreign(&self, remote: SocketAddr, report: &UpstreamReport, cause: ForeignReport) {
        self.metrics.reports_refused.inc();
        if !self.refusal_log.admits(self.clock.now_us(), remote.ip(), &report.instance_id) {
            return;
        }
        let UpstreamIdentity { service, address } = self.expected.identity();
        warn!(self.log, "upstream-report-refused"; "remote" => %remote, "reason" => %cause,
            "instance" => &*report.instance_id, "service" => %report.service,
            "address" => %report.address, "phase" => ?report.phase,
            "sequence" => report.sequence, "started_unix_ms" => report.started_unix_ms,
            "expected_service" => %service,
            "expected_address" => address.map(|address| address.to_string()));
    }

    /// Counts a notification that cannot be read and logs it.
    fn refuse_unreadable(&self, remote: SocketAddr, path: &str, error: Option<&DocumentError>) {
        self.metrics.reports_refused.inc();
        let path: String = path.chars().take(MAX_LOGGED_PATH_CHARS).collect();
        if !self.refusal_log.admits(self.clock.now_us(), remote.ip(), &path) {
            return;
        }
        let error = error.map_or_else(|| "incomplete or too long".to_owned(), ToString::to_string);
        let error: String = error.chars().take(MAX_LOGGED_ERROR_CHARS).collect();
        warn!(self.log, "notification-refused"; "remote" => %remote, "path" => path,
            "error" => error);
    }
}

impl<D: ProtocolAdapter> UpstreamHandler<D> {
    /// Returns the latest start of the processes that a notice to leave is about. Without a start
    /// time in the notice, that is the start of the known process, or the present if another one is
    /// known.
    fn last_start_of_leaver(&self, id: &InstanceId, started_unix_ms: Option<u64>) -> u64 {
        let known = self.ingress.upstream_state.last_report();
        let known = known.filter(|report| report.instance_id == *id);
        match (started_unix_ms, known) {
            (Some(started_unix_ms), _) => started_unix_ms,
            (None, Some(report)) => report.started_unix_ms.unwrap_or(0),
            (None, None) => Clock::unix_us() / US_PER_MS,
        }
    }

    /// Waits until the departure of a process is committed, so that it outlasts this node and the
    /// replica that it is attached to. Returns whether it may be acknowledged.
    async fn is_departure_committed(&self, id: &InstanceId) -> bool {
        let departures = &self.ingress.upstream_state.departures;
        let wait =
            departures.wait_until_committed(id, LEAVE_COMMIT_TIMEOUT, UNCOMMITTED_LEAVE_DELAY);
        let is_committed = wait.await;
        if !is_committed {
            warn!(self.log, "departure-uncommitted"; "instance" => &**id);
        }
        is_committed
    }
}

impl<D: ProtocolAdapter> Handler for UpstreamHandler<D> {
    async fn handle(
        &self,
        request: Request<InboundBody>,
        remote: SocketAddr,
    ) -> Response<AnswerBody> {
        let (parts, incoming) = request.into_parts();
        let body = match incoming {
            Some(incoming) => {
                let read = Limited::new(incoming, MAX_NOTIFICATION_BYTES).collect();
                tokio::time::timeout(NOTIFICATION_TIMEOUT, read).await.ok().and_then(Result::ok)
            }
            None => Some(Collected::default()),
        };
        let Some(body) = body.map(Collected::to_bytes) else {
            self.refuse_unreadable(remote, parts.uri.path(), None);
            return empty_response(StatusCode::BAD_REQUEST);
        };
        let notification =
            self.adapter.read_upstream_notification(&parts.method, parts.uri.path(), &body);
        match notification {
            Ok(UpstreamNotification::Report(report)) => {
                let checked =
                    self.expected.check_with_reload(&report, Clock::unix_us() / US_PER_MS);
                if let Err(cause) = checked.await {
                    self.refuse_foreign(remote, &report, cause);
                    return empty_response(StatusCode::BAD_REQUEST);
                }
                let is_draining = report.phase == UpstreamPhase::Draining;
                let instance_id = report.instance_id.clone();
                self.ingress.record_report(report);
                if is_draining && !self.is_departure_committed(&instance_id).await {
                    return empty_response(StatusCode::SERVICE_UNAVAILABLE);
                }
            }
            Ok(UpstreamNotification::Leave { instance_id, started_unix_ms }) => {
                let last_started_unix_ms = self.last_start_of_leaver(&instance_id, started_unix_ms);
                self.ingress.record_leave(&instance_id, last_started_unix_ms);
                if !self.is_departure_committed(&instance_id).await {
                    return empty_response(StatusCode::SERVICE_UNAVAILABLE);
                }
            }
            Err(error) => {
                self.refuse_unreadable(remote, parts.uri.path(), Some(&error));
                return empty_response(StatusCode::BAD_REQUEST);
            }
        }
        let mut response = empty_response(StatusCode::OK);
        *response.body_mut() = AnswerBody::buffered("{}");
        let json = HeaderValue::from_static("application/json");
        response.headers_mut().insert(header::CONTENT_TYPE, json);
        response
    }
}

/// Handler of readiness probes. The node is ready once it has a configuration and until it stops.
pub(crate) struct ReadyHandler<D> {
    pub(crate) adapter: Arc<D>,
    pub(crate) ingress: Arc<Ingress<D>>,
    pub(crate) configuration: Arc<ConfigurationHolder>,
}

impl<D: ProtocolAdapter> Handler for ReadyHandler<D> {
    async fn handle(
        &self,
        request: Request<InboundBody>,
        _remote: SocketAddr,
    ) -> Response<AnswerBody> {
        if !self.adapter.is_readiness_probe(request.method(), request.uri().path()) {
            return empty_response(StatusCode::NOT_FOUND);
        }
        let is_ready = !self.ingress.is_stopping() && self.configuration.version() > 0;
        empty_response(if is_ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE })
    }
}

/// Path of the list of suspects. A POST to one of the digests below it ends the suspicion.
const QUARANTINE_PATH: &str = "/quarantine";
/// Maximum number of suspects listed.
const MAX_LISTED_SUSPECTS: usize = 1_000;

/// Handler that serves the metrics in the Prometheus text format and the suspects.
pub(crate) struct MetricsHandler {
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) suspects: Arc<Suspects>,
    pub(crate) quarantine_peers: Arc<QuarantinePeers>,
}

impl MetricsHandler {
    /// Returns one line for each suspect or quarantined request.
    fn list_suspects(&self) -> String {
        let reports = self.suspects.reports(0, MAX_LISTED_SUSPECTS);
        let suspects = reports.iter().filter(|report| report.evidence.crashes > 0);
        let lines = suspects.map(|report| {
            let status = match self.suspects.is_quarantined(report.digest) {
                true => "quarantined",
                false => "suspect",
            };
            let (digest, crashes) = (digest_text(report.digest), report.evidence.crashes);
            let age_s = report.age_us / policy::US_PER_S;
            format!("digest={digest} status={status} crashes={crashes} age_s={age_s}\n")
        });
        lines.collect()
    }

    /// Ends the suspicion of a request at all nodes of the service.
    fn release(&self, digest: &str) -> Response<AnswerBody> {
        let Ok(digest) = Digest::from_str_radix(digest, 16) else {
            return empty_response(StatusCode::BAD_REQUEST);
        };
        if !self.suspects.release(digest) {
            return empty_response(StatusCode::NOT_FOUND);
        }
        self.quarantine_peers.enqueue([digest]);
        empty_response(StatusCode::OK)
    }
}

impl Handler for MetricsHandler {
    async fn handle(
        &self,
        request: Request<InboundBody>,
        _remote: SocketAddr,
    ) -> Response<AnswerBody> {
        let path = request.uri().path();
        let suffix = path.strip_prefix(QUARANTINE_PATH);
        match (request.method(), suffix.and_then(|suffix| suffix.strip_prefix('/'))) {
            (&Method::POST, Some(digest)) => self.release(digest),
            _ if suffix == Some("") => Response::new(AnswerBody::buffered(self.list_suspects())),
            _ if path == "/metrics" => Response::new(AnswerBody::buffered(self.metrics.to_text())),
            _ => empty_response(StatusCode::NOT_FOUND),
        }
    }
}

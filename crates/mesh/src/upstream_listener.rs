//! Handlers of upstream notifications, readiness probes and metrics.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::{HeaderValue, Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Collected, Limited};
use policy::quarantine::Digest;
use slog::{Logger, warn};

use crate::body::AnswerBody;
use crate::configuration_holder::ConfigurationHolder;
use crate::http_listener::{Handler, InboundBody, empty_response};
use crate::ingress::Ingress;
use crate::metrics::Metrics;
use crate::protocol_adapter::{ProtocolAdapter, UpstreamNotification, UpstreamPhase};
use crate::quarantine_peers::QuarantinePeers;
use crate::request_key::digest_text;
use crate::suspects::Suspects;

/// Delay before a shutdown notification of the upstream is acknowledged. Several times the latency
/// of a message to control, so that control has received the change if this node fails right after
/// the acknowledgement.
const LEAVE_ACK_DELAY: Duration = Duration::from_millis(50);
/// Maximum size of an upstream notification, in bytes. Usual ones have a few hundred bytes.
const MAX_NOTIFICATION_BYTES: usize = 16 * 1024;

/// Handler of notifications from the local upstream.
pub(crate) struct UpstreamHandler<D> {
    pub(crate) log: Logger,
    pub(crate) adapter: Arc<D>,
    pub(crate) ingress: Arc<Ingress<D>>,
}

impl<D: ProtocolAdapter> Handler for UpstreamHandler<D> {
    async fn handle(
        &self,
        request: Request<InboundBody>,
        remote: SocketAddr,
    ) -> Response<AnswerBody> {
        let (parts, incoming) = request.into_parts();
        let body = match incoming {
            Some(incoming) => Limited::new(incoming, MAX_NOTIFICATION_BYTES).collect().await,
            None => Ok(Collected::default()),
        };
        let Ok(body) = body.map(Collected::to_bytes) else {
            warn!(self.log, "notification-unreadable"; "remote" => %remote);
            return empty_response(StatusCode::BAD_REQUEST);
        };
        let notification =
            self.adapter.read_upstream_notification(&parts.method, parts.uri.path(), &body);
        match notification {
            Ok(UpstreamNotification::Report(report)) => {
                let is_draining = report.phase == UpstreamPhase::Draining;
                self.ingress.record_report(report);
                if is_draining {
                    tokio::time::sleep(LEAVE_ACK_DELAY).await;
                }
            }
            Ok(UpstreamNotification::Leave(instance_id)) => {
                self.ingress.record_leave(&instance_id);
                tokio::time::sleep(LEAVE_ACK_DELAY).await;
            }
            Err(error) => {
                warn!(self.log, "notification-refused"; "remote" => %remote, "error" => %error);
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

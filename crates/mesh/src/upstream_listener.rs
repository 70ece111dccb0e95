//! Handlers of upstream notifications, readiness probes and metrics.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Collected, Limited};
use slog::{Logger, warn};

use crate::body::AnswerBody;
use crate::configuration_holder::ConfigurationHolder;
use crate::http_listener::{Handler, InboundBody, empty_response};
use crate::ingress::Ingress;
use crate::metrics::Metrics;
use crate::protocol_adapter::{ProtocolAdapter, UpstreamNotification, UpstreamPhase};

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

/// Handler that serves the metrics in the Prometheus text format.
pub(crate) struct MetricsHandler {
    pub(crate) metrics: Arc<Metrics>,
}

impl Handler for MetricsHandler {
    async fn handle(
        &self,
        request: Request<InboundBody>,
        _remote: SocketAddr,
    ) -> Response<AnswerBody> {
        if request.uri().path() != "/metrics" {
            return empty_response(StatusCode::NOT_FOUND);
        }
        Response::new(AnswerBody::buffered(self.metrics.to_text()))
    }
}

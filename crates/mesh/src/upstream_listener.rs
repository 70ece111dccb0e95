//! Reports of the upstream, readiness probes and metrics.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Collected, Limited};
use slog::{Logger, warn};

use crate::body::AnswerBody;
use crate::configuration_holder::ConfigurationHolder;
use crate::dialect::{Dialect, UpstreamCall, UpstreamPhase};
use crate::ingress::Ingress;
use crate::listener::{Handler, InboundBody, status_only};
use crate::metrics::Metrics;

/// Pause before an upstream's end is acknowledged, so that control knows of it if this node dies right
/// after the acknowledgement: several times the way of a message.
const END_NOTICE: Duration = Duration::from_millis(50);
/// Largest report of an upstream, in bytes; a few hundred are usual.
const MAX_REPORT_BYTES: usize = 16 * 1024;

/// Handler of the upstream's reports.
pub(crate) struct UpstreamHandler<D> {
    pub(crate) log: Logger,
    pub(crate) dialect: Arc<D>,
    pub(crate) ingress: Arc<Ingress<D>>,
}

impl<D: Dialect> Handler for UpstreamHandler<D> {
    async fn handle(
        &self,
        request: Request<InboundBody>,
        remote: SocketAddr,
    ) -> Response<AnswerBody> {
        let (parts, incoming) = request.into_parts();
        let body = match incoming {
            Some(incoming) => Limited::new(incoming, MAX_REPORT_BYTES).collect().await,
            None => Ok(Collected::default()),
        };
        let Ok(body) = body.map(Collected::to_bytes) else {
            warn!(self.log, "report-unreadable"; "remote" => %remote);
            return status_only(StatusCode::BAD_REQUEST);
        };
        let call = self.dialect.read_upstream_call(&parts.method, parts.uri.path(), &body);
        match call {
            Ok(UpstreamCall::Report(report)) => {
                let is_end = report.phase == UpstreamPhase::Draining;
                self.ingress.record(report);
                if is_end {
                    tokio::time::sleep(END_NOTICE).await;
                }
            }
            Ok(UpstreamCall::Leave(instance_id)) => {
                self.ingress.leave(&instance_id);
                tokio::time::sleep(END_NOTICE).await;
            }
            Err(error) => {
                warn!(self.log, "report-refused"; "remote" => %remote, "error" => %error);
                return status_only(StatusCode::BAD_REQUEST);
            }
        }
        let mut response = status_only(StatusCode::OK);
        *response.body_mut() = AnswerBody::full("{}");
        let json = HeaderValue::from_static("application/json");
        response.headers_mut().insert(header::CONTENT_TYPE, json);
        response
    }
}

/// Handler of readiness probes.
pub(crate) struct ReadyHandler<D> {
    pub(crate) dialect: Arc<D>,
    pub(crate) ingress: Arc<Ingress<D>>,
    pub(crate) configuration: Arc<ConfigurationHolder>,
}

impl<D: Dialect> Handler for ReadyHandler<D> {
    async fn handle(
        &self,
        request: Request<InboundBody>,
        _remote: SocketAddr,
    ) -> Response<AnswerBody> {
        if !self.dialect.is_readiness_probe(request.method(), request.uri().path()) {
            return status_only(StatusCode::NOT_FOUND);
        }
        let is_ready = !self.ingress.is_stopping() && self.configuration.version() > 0;
        status_only(if is_ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE })
    }
}

/// Handler of metrics.
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
            return status_only(StatusCode::NOT_FOUND);
        }
        Response::new(AnswerBody::full(self.metrics.to_text()))
    }
}

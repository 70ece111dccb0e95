//! Log lines and counts of answers that begin and do not end.

use std::sync::Arc;

use daemon::Clock;
use http::HeaderValue;
use policy::US_PER_MS;
use slog::info;

use crate::metrics::Metrics;
use crate::request_log::RequestLog;

/// Why an answer is incomplete.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BreakCause {
    /// It did not end before the deadline of the call.
    Deadline,
    /// The connection that it came from broke.
    ConnectionLost,
    /// The caller closed its connection.
    CallerLeft,
}

impl BreakCause {
    fn as_str(self) -> &'static str {
        match self {
            BreakCause::Deadline => "deadline",
            BreakCause::ConnectionLost => "connection-lost",
            BreakCause::CallerLeft => "caller-left",
        }
    }
}

/// Reports the answer to one request if it breaks.
pub(crate) struct BreakReporter {
    pub(crate) request_log: Arc<RequestLog>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) clock: Clock,
    /// Time at which the request arrived, in microseconds.
    pub(crate) started_us: u64,
    pub(crate) request_id: Option<HeaderValue>,
}

impl BreakReporter {
    /// Logs and counts the break.
    pub(crate) fn report(self, cause: BreakCause) {
        self.metrics.answers_broken.inc();
        let Some(log) = self.request_log.rate_limited_logger(&self.metrics) else { return };
        let id = self.request_id.as_ref().and_then(|id| id.to_str().ok()).unwrap_or("-");
        let elapsed_us = self.clock.now_us().saturating_sub(self.started_us);
        info!(log, "answer-broken"; "request" => id, "cause" => cause.as_str(),
            "elapsed_ms" => elapsed_us / US_PER_MS);
    }
}

//! Prometheus metrics of a node.

use prometheus::{
    Encoder, Gauge, Histogram, HistogramOpts, IntCounter, IntGauge, Registry, TextEncoder,
};

use crate::server::MetricsError;

/// Upper bounds of the latency buckets, in seconds. They cover the range from short calls to the
/// longest deadlines.
const LATENCY_BUCKETS_S: &[f64] = &[0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0];

/// Upper bounds of the buckets of report ages, in seconds.
const REPORT_AGE_BUCKETS_S: &[f64] = &[0.03, 0.1, 0.3, 1.0, 3.0, 10.0];

/// Prefix of all metric names.
const PREFIX: &str = "heatherweir_mesh_";

/// Returns the names of all metrics without their prefix.
///
/// # Errors
///
/// Returns an error if a metric cannot be registered.
pub fn metric_names() -> Result<Vec<String>, MetricsError> {
    let families = Metrics::new()?.registry.gather();
    Ok(families.iter().map(|family| family.name().replacen(PREFIX, "", 1)).collect())
}

/// Metrics of a node.
pub(crate) struct Metrics {
    registry: Registry,
    pub(crate) requests: IntCounter,
    pub(crate) answered: IntCounter,
    pub(crate) answers_broken: IntCounter,
    pub(crate) not_run: IntCounter,
    pub(crate) outcome_unknown: IntCounter,
    pub(crate) attempts: IntCounter,
    pub(crate) retries: IntCounter,
    pub(crate) calls_of_retried: IntCounter,
    pub(crate) dispatched: IntCounter,
    pub(crate) refused: IntCounter,
    pub(crate) shed_by_upstream: IntCounter,
    pub(crate) log_lines_suppressed: IntCounter,
    pub(crate) upstream_crashes: IntCounter,
    pub(crate) upstream_silences: IntCounter,
    pub(crate) suspected: IntCounter,
    pub(crate) quarantined: IntCounter,
    pub(crate) quarantine_ended: IntCounter,
    pub(crate) quarantine_refused: IntCounter,
    pub(crate) quarantine_messages: IntCounter,
    pub(crate) suspects_evicted: IntCounter,
    pub(crate) suspects: IntGauge,
    pub(crate) control_suspected: IntCounter,
    pub(crate) control_moved: IntCounter,
    pub(crate) control_lost: IntCounter,
    pub(crate) control_content_age_ms: IntGauge,
    pub(crate) configuration_version: IntGauge,
    pub(crate) upstream_limit_per_s: Gauge,
    pub(crate) upstream_reported_slots: IntGauge,
    pub(crate) announcements_ignored: IntCounter,
    pub(crate) refused_by_limit: IntCounter,
    pub(crate) reports_refused: IntCounter,
    pub(crate) crossed_full: IntCounter,
    pub(crate) crossed_failing: IntCounter,
    pub(crate) crossed_no_vm: IntCounter,
    pub(crate) refused_with_room: IntCounter,
    pub(crate) choices_without_report: IntCounter,
    pub(crate) choice_report_age: Histogram,
    pub(crate) latency: Histogram,
}

impl Metrics {
    /// Registers all metrics.
    ///
    /// # Errors
    ///
    /// Returns an error if a metric name is malformed or already registered.
    pub(crate) fn new() -> Result<Self, MetricsError> {
        let registry = Registry::new();
        let counter = |name: &str, help: &str| -> Result<IntCounter, MetricsError> {
            let counter = IntCounter::new(format!("{PREFIX}{name}"), help)?;
            registry.register(Box::new(counter.clone()))?;
            Ok(counter)
        };
        let gauge = |name: &str, help: &str| -> Result<IntGauge, MetricsError> {
            let gauge = IntGauge::new(format!("{PREFIX}{name}"), help)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok(gauge)
        };
        let upstream_limit_per_s = Gauge::new(
            format!("{PREFIX}upstream_limit_per_s"),
            "Requests per second that the upstream takes, -1 without a limit",
        )?;
        upstream_limit_per_s.set(-1.0);
        registry.register(Box::new(upstream_limit_per_s.clone()))?;
        let latency = Histogram::with_opts(
            HistogramOpts::new(format!("{PREFIX}latency_seconds"), "Time to a caller's answer")
                .buckets(LATENCY_BUCKETS_S.to_vec()),
        )?;
        registry.register(Box::new(latency.clone()))?;
        let choice_report_age = Histogram::with_opts(
            HistogramOpts::new(
                format!("{PREFIX}choice_report_age_seconds"),
                "Age of the report behind a choice by estimated load",
            )
            .buckets(REPORT_AGE_BUCKETS_S.to_vec()),
        )?;
        registry.register(Box::new(choice_report_age.clone()))?;
        Ok(Self {
            requests: counter("requests_total", "Requests of callers and of the upstream")?,
            answered: counter("answered_total", "Requests that got an upstream's answer")?,
            answers_broken: counter("answers_broken_total", "Answers that broke off")?,
            not_run: counter("not_run_total", "Requests that were told they did not run")?,
            outcome_unknown: counter("unknown_total", "Requests that failed and may have run")?,
            attempts: counter("attempts_total", "Calls sent to a node, the own one included")?,
            retries: counter("repeats_total", "Calls sent again after they may have run")?,
            calls_of_retried: counter(
                "calls_of_repeats_total",
                "Calls that the upstream made again for a retried request",
            )?,
            dispatched: counter("dispatched_total", "Calls sent to the upstream")?,
            refused: counter("refused_total", "Calls refused before dispatch")?,
            shed_by_upstream: counter("shed_total", "Calls that the upstream refused")?,
            log_lines_suppressed: counter(
                "log_suppressed_total",
                "Log lines above the rate limit",
            )?,
            upstream_crashes: counter("upstream_crashes_total", "Crashes of the upstream")?,
            upstream_silences: counter(
                "upstream_silences_total",
                "Checks of an upstream that got no answer after a connection broke",
            )?,
            suspected: counter("suspected_total", "Requests that became suspects")?,
            quarantined: counter("quarantined_total", "Requests that were quarantined")?,
            quarantine_ended: counter("quarantine_ended_total", "Ends of suspicions")?,
            quarantine_refused: counter("quarantine_refused_total", "Quarantined calls refused")?,
            quarantine_messages: counter(
                "quarantine_messages_total",
                "Messages about suspects sent to other nodes",
            )?,
            suspects_evicted: counter(
                "suspects_evicted_total",
                "Records of suspects removed because the table was full",
            )?,
            suspects: gauge("suspects", "Requests that are suspected or quarantined")?,
            control_suspected: counter(
                "control_suspected_total",
                "Times that the control replica was silent or stale",
            )?,
            control_moved: counter(
                "control_moved_total",
                "Moves to a control replica that was found current",
            )?,
            control_lost: counter("control_lost_total", "Streams to control replicas lost")?,
            control_content_age_ms: gauge(
                "control_content_age_ms",
                "Age of the control replica's state in its last update",
            )?,
            configuration_version: gauge(
                "configuration_version",
                "Version of the configuration in force",
            )?,
            upstream_limit_per_s,
            upstream_reported_slots: gauge(
                "upstream_reported_slots",
                "Slots in the last report of the upstream that replaced a learned limit, 0 before",
            )?,
            reports_refused: counter(
                "reports_refused_total",
                "Notifications that do not come from the upstream or cannot be read",
            )?,
            refused_by_limit: counter(
                "refused_by_limit_total",
                "Calls refused because of the limit that the upstream named",
            )?,
            announcements_ignored: counter(
                "announcements_ignored_total",
                "Unreadable announcements in answers of the upstream",
            )?,
            crossed_full: counter(
                "crossed_full_total",
                "Calls to other data centres since the own one has less room",
            )?,
            crossed_failing: counter(
                "crossed_failing_total",
                "Calls to other data centres since VMs of the own one fail",
            )?,
            crossed_no_vm: counter(
                "crossed_no_vm_total",
                "Calls to other data centres since the own one has no VM left to try",
            )?,
            refused_with_room: counter(
                "refused_with_room_total",
                "Calls refused while another VM was expected to have room",
            )?,
            choices_without_report: counter(
                "choices_without_report_total",
                "Choices by estimated load of a VM that had not reported",
            )?,
            choice_report_age,
            latency,
            registry,
        })
    }

    /// Encodes all metrics in the Prometheus text format.
    pub(crate) fn to_text(&self) -> String {
        let mut text = Vec::new();
        match TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            Ok(()) => String::from_utf8_lossy(&text).into_owned(),
            Err(error) => format!("# {error}\n"),
        }
    }
}

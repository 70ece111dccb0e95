//! Evaluates a run from the samples of callers and the records of upstreams.
//!
//! The counters of heatherweir itself are not used, so that a fault in them cannot hide a failure.

use std::collections::HashMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use testbed::load::{RequestResult, Sample};
use testbed::upstream::UpstreamRecord;

use super::scenario::{POISON_PATH, Scenario};

/// Minimum share of good requests in a recovered window, as a fraction of the baseline.
const RECOVERED_SHARE: f64 = 0.95;
/// Minimum share of good requests before the fault. Below it, recovery is not evaluated, because it
/// has no meaning.
const MIN_BASELINE_SHARE: f64 = 0.9;
/// Length of the windows in which recovery is checked.
const RECOVERY_WINDOW: Duration = Duration::from_millis(250);
const MAX_LATENCY_US: u64 = 60_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;
/// Period at the start of a run that is left out of the latency and the baseline.
const WARM_UP: Duration = Duration::from_secs(1);

/// Counts of one kind of request; those named `in_fault` are of requests that started during the
/// fault.
#[derive(Debug, Clone, Default)]
struct KindCounts {
    name: &'static str,
    /// Requests that callers sent.
    offered: u64,
    /// Requests with a complete and correct response in time.
    good: u64,
    /// Requests whose last attempt was reported as not run.
    not_run: u64,
    /// Requests whose last attempt failed or has an unknown outcome.
    failed: u64,
    /// Requests with a complete response after the timeout of the caller.
    late: u64,
    /// Requests with a malformed response or the response to another request.
    mismatched: u64,
    good_in_fault: u64,
    offered_in_fault: u64,
}

/// Results of one arm.
#[derive(Debug)]
pub struct Report {
    kinds: Vec<KindCounts>,
    latency_p50_us: u64,
    latency_p99_us: u64,
    /// Good requests through the bottleneck that ended during the fault, per second.
    goodput_in_fault_per_s: f64,
    /// Maximum of the goodput during the fault, from the scenario.
    limit_per_s: f64,
    /// Time from the end of the fault to recovery; `None` if there is no recovery or it is not
    /// evaluated.
    recovery_ms: Option<u64>,
    /// Mean number of attempts that callers made per request.
    caller_attempts_per_request: f64,
    /// Mean number of runs at the bottleneck, over the requests that ran there.
    runs_per_request: f64,
    /// Maximum number of runs of one request at the bottleneck.
    max_runs_of_request: u64,
    /// Requests with an idempotency key that ran more than once.
    doubled: u64,
    /// Requests with an idempotency key and a good response that did not run.
    lost: u64,
    /// Crashes of upstreams caused by requests.
    crashes: u64,
    /// Maximum number of crashes caused by one request; its path identifies it.
    max_crashes_of_request: u64,
    /// Requests that were quarantined, although they don't crash upstreams.
    innocent_quarantined: u64,
}

impl Report {
    /// Evaluates a run.
    ///
    /// `records` holds the records of upstreams by service, `crashes` the request path of each
    /// crash of an upstream.
    pub fn new(
        scenario: &Scenario,
        samples: Vec<Sample>,
        records: &[(String, UpstreamRecord)],
        crashes: &[String],
    ) -> Self {
        let runs = runs_by_tag(records, scenario.bottleneck);
        let charge_runs = runs_by_tag(records, scenario.deployment.purchase_service);
        let latency = read_latency(scenario, &samples);
        let fault_s = (scenario.fault_until - scenario.fault_from).as_secs_f64();
        let passes_bottleneck = |sample: &&Sample| {
            scenario.bottleneck_kinds.contains(&scenario.kinds[sample.kind].name)
        };
        let good_in_fault = samples.iter().filter(passes_bottleneck).filter(|sample| {
            let ended = sample.started + sample.elapsed;
            sample.result == RequestResult::Good
                && (scenario.fault_from..scenario.fault_until).contains(&ended)
        });
        let attempts: u64 = samples.iter().map(|sample| u64::from(sample.attempts)).sum();
        let keyed_samples = samples.iter().filter(|sample| scenario.kinds[sample.kind].is_keyed);
        let charge_run_count = |sample: &Sample| charge_runs.get(&sample.tag).copied().unwrap_or(0);
        let total_runs: u64 = runs.values().sum();
        Self {
            kinds: count_kinds(scenario, &samples),
            latency_p50_us: latency.value_at_quantile(0.5),
            latency_p99_us: latency.value_at_quantile(0.99),
            goodput_in_fault_per_s: good_in_fault.count() as f64 / fault_s,
            limit_per_s: scenario.limit_per_s,
            recovery_ms: recovery_ms(scenario, &samples),
            caller_attempts_per_request: attempts as f64 / samples.len().max(1) as f64,
            runs_per_request: total_runs as f64 / runs.len().max(1) as f64,
            max_runs_of_request: runs.values().copied().max().unwrap_or(0),
            doubled: keyed_samples.clone().filter(|sample| charge_run_count(sample) > 1).count()
                as u64,
            crashes: crashes.len() as u64,
            max_crashes_of_request: crashes
                .iter()
                .map(|path| crashes.iter().filter(|other| *other == path).count() as u64)
                .max()
                .unwrap_or(0),
            innocent_quarantined: samples
                .iter()
                .filter(|sample| sample.reason == "quarantined")
                .filter(|sample| scenario.kinds[sample.kind].path != POISON_PATH)
                .count() as u64,
            lost: keyed_samples
                .filter(|sample| {
                    sample.result == RequestResult::Good && charge_run_count(sample) == 0
                })
                .count() as u64,
        }
    }

    /// Prints the report as lines of text.
    pub fn print(&self, arm: &str) {
        println!(
            "arm={arm} goodput_in_fault_per_s={:.1} limit_per_s={:.1} share={:.3} recovery_ms={} \
             latency_p50_us={} latency_p99_us={} caller_attempts={:.2} runs_per_request={:.2} \
             max_runs={} doubled={} lost={} crashes={} max_crashes={} innocent_quarantined={}",
            self.goodput_in_fault_per_s,
            self.limit_per_s,
            self.goodput_in_fault_per_s / self.limit_per_s,
            self.recovery_ms.map_or("never".to_owned(), |ms| ms.to_string()),
            self.latency_p50_us,
            self.latency_p99_us,
            self.caller_attempts_per_request,
            self.runs_per_request,
            self.max_runs_of_request,
            self.doubled,
            self.lost,
            self.crashes,
            self.max_crashes_of_request,
            self.innocent_quarantined,
        );
        for kind in &self.kinds {
            println!(
                "  kind={} offered={} good={} good_share={:.4} not_run={} failed={} late={} wrong={} \
                 good_share_in_fault={:.4}",
                kind.name,
                kind.offered,
                kind.good,
                share(kind.good, kind.offered),
                kind.not_run,
                kind.failed,
                kind.late,
                kind.mismatched,
                share(kind.good_in_fault, kind.offered_in_fault),
            );
        }
    }

    /// Returns the report as JSON.
    pub fn to_json(&self, arm: &str) -> serde_json::Value {
        let kinds = self.kinds.iter().map(|kind| {
            serde_json::json!({
                "kind": kind.name,
                "offered": kind.offered,
                "good": kind.good,
                "not_run": kind.not_run,
                "failed": kind.failed,
                "late": kind.late,
                "wrong": kind.mismatched,
                "good_share_in_fault": share(kind.good_in_fault, kind.offered_in_fault),
            })
        });
        serde_json::json!({
            "arm": arm,
            "goodput_in_fault_per_s": self.goodput_in_fault_per_s,
            "limit_per_s": self.limit_per_s,
            "recovery_ms": self.recovery_ms,
            "latency_p50_us": self.latency_p50_us,
            "latency_p99_us": self.latency_p99_us,
            "caller_attempts_per_request": self.caller_attempts_per_request,
            "runs_per_request": self.runs_per_request,
            "max_runs_of_request": self.max_runs_of_request,
            "doubled": self.doubled,
            "lost": self.lost,
            "crashes": self.crashes,
            "max_crashes_of_request": self.max_crashes_of_request,
            "innocent_quarantined": self.innocent_quarantined,
            "kinds": kinds.collect::<Vec<_>>(),
        })
    }
}

/// Returns a part as a fraction of the whole; zero if the whole is zero.
fn share(part: u64, whole: u64) -> f64 {
    part as f64 / whole.max(1) as f64
}

/// Returns how often the upstreams of a service ran each tagged request.
fn runs_by_tag(records: &[(String, UpstreamRecord)], service: &str) -> HashMap<String, u64> {
    let mut runs = HashMap::new();
    for (_, record) in records.iter().filter(|(name, _)| name == service) {
        for (tag, count) in &record.runs {
            *runs.entry(tag.clone()).or_insert(0) += count;
        }
    }
    runs
}

fn count_kinds(scenario: &Scenario, samples: &[Sample]) -> Vec<KindCounts> {
    let mut kinds: Vec<KindCounts> = scenario
        .kinds
        .iter()
        .map(|kind| KindCounts { name: kind.name, ..KindCounts::default() })
        .collect();
    for sample in samples {
        let counts = &mut kinds[sample.kind];
        counts.offered += 1;
        let is_in_fault = (scenario.fault_from..scenario.fault_until).contains(&sample.started);
        counts.offered_in_fault += u64::from(is_in_fault);
        match sample.result {
            RequestResult::Good => {
                counts.good += 1;
                counts.good_in_fault += u64::from(is_in_fault);
            }
            RequestResult::NotRun => counts.not_run += 1,
            RequestResult::Failed => counts.failed += 1,
            RequestResult::Late => counts.late += 1,
            RequestResult::Mismatched => counts.mismatched += 1,
        }
    }
    kinds
}

/// Returns the latencies of the good requests of the first kind that started after the warm-up and
/// before the fault, or at any time after the warm-up if there is no fault.
fn read_latency(scenario: &Scenario, samples: &[Sample]) -> Histogram<u64> {
    let Ok(mut histogram) = Histogram::new_with_max(MAX_LATENCY_US, SIGNIFICANT_DIGITS) else {
        unreachable!("the histogram supports this maximum and precision");
    };
    let is_measured = |sample: &&Sample| {
        let is_before = sample.started < scenario.fault_from;
        let is_outside_fault = matches!(scenario.fault, super::scenario::Fault::None) || is_before;
        sample.kind == 0
            && sample.result == RequestResult::Good
            && sample.started > WARM_UP
            && is_outside_fault
    };
    for sample in samples.iter().filter(is_measured) {
        histogram.saturating_record(sample.elapsed.as_micros() as u64);
    }
    histogram
}

/// Returns the time from the end of the fault until the share of good requests stays at or above
/// [`RECOVERED_SHARE`] of its level before the fault, in milliseconds.
///
/// Returns `None` if the share does not recover, or if it was too low before the fault.
fn recovery_ms(scenario: &Scenario, samples: &[Sample]) -> Option<u64> {
    let total: Duration = scenario.phases.iter().map(|phase| phase.duration).sum();
    let baseline = good_share(samples, WARM_UP, scenario.fault_from)?;
    if baseline < MIN_BASELINE_SHARE {
        return None;
    }
    let mut recovered_at = scenario.fault_until;
    let mut from = scenario.fault_until;
    let mut is_good_at_end = true;
    while from + RECOVERY_WINDOW <= total {
        let good = good_share(samples, from, from + RECOVERY_WINDOW).unwrap_or(1.0);
        is_good_at_end = good >= RECOVERED_SHARE * baseline;
        if !is_good_at_end {
            recovered_at = from + RECOVERY_WINDOW;
        }
        from += RECOVERY_WINDOW;
    }
    is_good_at_end.then(|| (recovered_at - scenario.fault_until).as_millis() as u64)
}

/// Returns the share of good requests among those that started in a period, or `None` if none did.
fn good_share(samples: &[Sample], from: Duration, until: Duration) -> Option<f64> {
    let started = samples.iter().filter(|sample| (from..until).contains(&sample.started));
    let offered = started.clone().count();
    let good = started.filter(|sample| sample.result == RequestResult::Good).count();
    (offered > 0).then(|| good as f64 / offered as f64)
}

//! State of the local upstream, based on its status reports.

#[cfg(test)]
mod tests;

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};

use model::ServiceName;
use policy::US_PER_S;
use policy::request_digest::RequestDigest;
use rpc::DepartedUpstream;
use tokio::sync::watch;

use crate::departures::Departures;
use crate::protocol_adapter::{InstanceId, UpstreamPhase, UpstreamReport};

/// Time within which an older report may arrive after a newer one, in microseconds. Later, a report
/// that appears older shows that the newer one came from another writer.
const MAX_REPORT_DELAY_US: u64 = 10 * US_PER_S;

/// Upstream process that accepts calls.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct ServingUpstream {
    pub(crate) instance_id: InstanceId,
    pub(crate) address: SocketAddr,
    pub(crate) service: ServiceName,
    /// Maximum number of concurrent calls.
    pub(crate) slots: u32,
    /// Identifies the process; differs between processes that share an id.
    pub(crate) incarnation: u64,
}

/// Lifecycle phase of the known process as the node sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Serving,
    /// No connection to the process could be established, or another process listens at its
    /// address. The next report of the process ends this phase.
    Unreachable,
    Draining,
    Left,
}

/// Last reported process.
#[derive(Debug)]
struct KnownProcess {
    report: UpstreamReport,
    /// Time at which the report arrived, in microseconds.
    reported_us: u64,
    phase: Phase,
    /// End of the warm-up time of the process, in microseconds.
    cold_until_us: u64,
    incarnation: u64,
    /// Incarnation of the previous process if it was stopping when this one reported first.
    stopped_predecessor: Option<u64>,
    /// Rate of requests that the process announced in its last answer, in requests per second.
    limit_per_s: Option<f64>,
    /// Whether the process has answered a call of this node.
    has_answered: bool,
}

impl KnownProcess {
    fn is_stopping(&self) -> bool {
        matches!(self.phase, Phase::Draining | Phase::Left)
    }

    fn to_upstream(&self) -> ServingUpstream {
        ServingUpstream {
            instance_id: self.report.instance_id.clone(),
            address: self.report.address,
            service: self.report.service.clone(),
            slots: self.report.slots,
            incarnation: self.incarnation,
        }
    }

    fn is_same_process(&self, report: &UpstreamReport) -> bool {
        self.report.instance_id == report.instance_id
            && self.report.started_unix_ms == report.started_unix_ms
    }

    /// Returns whether the known report is at least as recent as `report`.
    fn supersedes(&self, now_us: u64, report: &UpstreamReport) -> bool {
        if now_us.saturating_sub(self.reported_us) >= MAX_REPORT_DELAY_US {
            return false;
        }
        if self.is_same_process(report) {
            return self.report.sequence >= report.sequence;
        }
        match (self.report.started_unix_ms, report.started_unix_ms) {
            (Some(known_ms), Some(reported_ms)) => known_ms > reported_ms,
            _ => false,
        }
    }
}

/// Effect of a status report on the known state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ReportEffect {
    /// The report comes from a process that was not known before.
    NewProcess,
    /// The phase or the slots of the known process changed.
    Changed,
    /// Neither the phase nor the slots changed.
    Unchanged,
    /// The report is not newer than the last one and was ignored.
    Outdated,
}

/// Change of the rate that a process announces.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct LimitChange {
    /// Rate that it announced before, in requests per second; `None` for no limit.
    pub(crate) previous_per_s: Option<f64>,
}

/// Shared state of the local upstream.
#[derive(Debug)]
pub(crate) struct UpstreamState {
    known: Mutex<Option<KnownProcess>>,
    changes: watch::Sender<u64>,
    pub(crate) departures: Departures,
}

impl UpstreamState {
    pub(crate) fn new() -> Self {
        Self {
            known: Mutex::default(),
            changes: watch::channel(0).0,
            departures: Departures::new(),
        }
    }

    /// Returns a receiver that is notified of each change.
    pub(crate) fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Notifies all receivers of a change.
    pub(crate) fn notify_changed(&self) {
        self.changes.send_modify(|count| *count += 1);
    }

    /// Returns the upstream if it accepts calls.
    pub(crate) fn serving(&self) -> Option<ServingUpstream> {
        let known = self.lock();
        known.as_ref().filter(|known| known.phase == Phase::Serving).map(KnownProcess::to_upstream)
    }

    /// Returns the last reported process, in any phase.
    pub(crate) fn known_process(&self) -> Option<ServingUpstream> {
        self.lock().as_ref().map(KnownProcess::to_upstream)
    }

    /// Returns whether another process has reported since `upstream` was known.
    pub(crate) fn is_replaced(&self, upstream: &ServingUpstream) -> bool {
        let known = self.lock();
        known.as_ref().is_none_or(|known| known.incarnation != upstream.incarnation)
    }

    /// Returns whether `upstream` has reported that it is about to stop.
    pub(crate) fn is_planned_stop(&self, upstream: &ServingUpstream) -> bool {
        let known = self.lock();
        known.as_ref().is_some_and(|known| match known.incarnation == upstream.incarnation {
            true => known.is_stopping(),
            false => known.stopped_predecessor == Some(upstream.incarnation),
        })
    }

    /// Returns the service of the last known process.
    pub(crate) fn service(&self) -> Option<ServiceName> {
        self.lock().as_ref().map(|known| known.report.service.clone())
    }

    /// Returns the slots of the last known process, or zero if there is none.
    pub(crate) fn slots(&self) -> u32 {
        self.lock().as_ref().map_or(0, |known| known.report.slots)
    }

    /// Returns whether the process is still warming up after its start.
    pub(crate) fn is_cold(&self, now_us: u64) -> bool {
        self.lock().as_ref().is_some_and(|known| now_us < known.cold_until_us)
    }

    /// Returns the last report with the current phase of the process. A process that left is
    /// reported to control as draining.
    pub(crate) fn last_report(&self) -> Option<UpstreamReport> {
        let known = self.lock();
        let known = known.as_ref()?;
        let phase = match known.phase {
            Phase::Serving | Phase::Unreachable => UpstreamPhase::Serving,
            Phase::Draining | Phase::Left => UpstreamPhase::Draining,
        };
        Some(UpstreamReport { phase, ..known.report.clone() })
    }

    /// Applies a report. A process that drains or has left never returns to serving, also if this
    /// node did not know it when it said so.
    pub(crate) fn record_report(&self, now_us: u64, report: UpstreamReport) -> ReportEffect {
        if report.phase == UpstreamPhase::Draining {
            let last_started_unix_ms = report.started_unix_ms.unwrap_or(0);
            self.departures.record(&report.instance_id, last_started_unix_ms);
        }
        let mut known = self.lock();
        if let Some(process) = known.as_mut().filter(|known| known.supersedes(now_us, &report)) {
            // A process that drains never returns to serving, so this holds in any order.
            let drains =
                process.is_same_process(&report) && report.phase == UpstreamPhase::Draining;
            if !drains || process.is_stopping() {
                return ReportEffect::Outdated;
            }
            process.phase = Phase::Draining;
            drop(known);
            self.notify_changed();
            return ReportEffect::Changed;
        }
        let reported = match report.phase {
            UpstreamPhase::Serving if self.departures.contains(&report) => Phase::Left,
            UpstreamPhase::Serving => Phase::Serving,
            UpstreamPhase::Draining => Phase::Draining,
        };
        let (phase, effect) = match known.as_ref().filter(|known| known.is_same_process(&report)) {
            None => (reported, ReportEffect::NewProcess),
            Some(known) => {
                let phase = match known.phase {
                    Phase::Draining | Phase::Left => known.phase,
                    Phase::Serving | Phase::Unreachable => reported,
                };
                let is_changed = phase != known.phase || known.report.slots != report.slots;
                let effect =
                    if is_changed { ReportEffect::Changed } else { ReportEffect::Unchanged };
                (phase, effect)
            }
        };
        let cold_until_us = now_us + report.cold_remaining.as_micros() as u64;
        let incarnation = incarnation(&report);
        let same_process = known.as_ref().filter(|known| known.incarnation == incarnation);
        let limit_per_s = same_process.and_then(|known| known.limit_per_s);
        let has_answered = same_process.is_some_and(|known| known.has_answered);
        let stopped_predecessor = match known.as_ref() {
            Some(known) if known.incarnation == incarnation => known.stopped_predecessor,
            Some(known) => known.is_stopping().then_some(known.incarnation),
            None => None,
        };
        *known = Some(KnownProcess {
            report,
            reported_us: now_us,
            phase,
            cold_until_us,
            incarnation,
            stopped_predecessor,
            limit_per_s,
            has_answered,
        });
        drop(known);
        if effect != ReportEffect::Unchanged {
            self.notify_changed();
        }
        effect
    }

    /// Records the rate that a process announced with an answer, `None` for no limit. Calls `apply`
    /// and returns the previous rate if it has changed. Ignores answers of a process that is not
    /// the known one.
    pub(crate) fn record_limit(
        &self,
        upstream: &ServingUpstream,
        limit_per_s: Option<f64>,
        apply: impl FnOnce(Option<f64>),
    ) -> Option<LimitChange> {
        let mut known = self.lock();
        let process =
            known.as_mut().filter(|process| process.incarnation == upstream.incarnation)?;
        process.has_answered = true;
        let previous_per_s = process.limit_per_s;
        if previous_per_s == limit_per_s {
            return None;
        }
        process.limit_per_s = limit_per_s;
        apply(limit_per_s);
        Some(LimitChange { previous_per_s })
    }

    /// Restores the rate that an earlier process of this node has recorded, unless the reporting
    /// process has answered since. Calls `apply` if there is one.
    pub(crate) fn restore_limit(
        &self,
        report: &UpstreamReport,
        limit_per_s: Option<f64>,
        apply: impl FnOnce(Option<f64>),
    ) {
        let mut known = self.lock();
        let process = known.as_mut().filter(|process| process.is_same_process(report));
        let Some(process) = process.filter(|process| !process.has_answered) else { return };
        if limit_per_s.is_some() {
            process.limit_per_s = limit_per_s;
            apply(limit_per_s);
        }
    }

    /// Calls `apply` with the rate that the known process announced in its last answer.
    pub(crate) fn apply_limit(&self, apply: impl FnOnce(Option<f64>)) {
        apply(self.lock().as_ref().and_then(|known| known.limit_per_s));
    }

    /// Returns the rate that the known process announced in its last answer.
    pub(crate) fn limit_per_s(&self) -> Option<f64> {
        self.lock().as_ref().and_then(|known| known.limit_per_s)
    }

    /// Records that the processes with an id that started up to a time leave. Returns whether the
    /// known process is one of them.
    pub(crate) fn record_leave(&self, id: &InstanceId, last_started_unix_ms: u64) -> bool {
        self.departures.record(id, last_started_unix_ms);
        let is_known = self.end_departed();
        // Control has to learn of it also if the process is not known.
        self.notify_changed();
        is_known
    }

    /// Records departures that control has committed.
    pub(crate) fn record_committed_departures(&self, departed: &[DepartedUpstream]) {
        self.departures.record_committed(departed);
        if !departed.is_empty() && self.end_departed() {
            self.notify_changed();
        }
    }

    /// Marks the known process as left if it is departed. Returns whether it is.
    fn end_departed(&self) -> bool {
        let mut known = self.lock();
        let departed = known.as_mut().filter(|known| self.departures.contains(&known.report));
        let Some(process) = departed else { return false };
        process.phase = Phase::Left;
        true
    }

    /// Records that a process has announced with an answer that it is about to stop. Returns whether
    /// that was not known.
    pub(crate) fn record_leaving(&self, upstream: &ServingUpstream) -> bool {
        if self.is_replaced(upstream) {
            return false;
        }
        self.set_phase(&upstream.instance_id, |phase| {
            matches!(phase, Phase::Serving | Phase::Unreachable).then_some(Phase::Draining)
        })
    }

    /// Records that a process cannot be reached, unless another one has reported since.
    pub(crate) fn mark_unreachable(&self, upstream: &ServingUpstream) {
        if self.is_replaced(upstream) {
            return;
        }
        self.set_phase(&upstream.instance_id, |phase| {
            (phase == Phase::Serving).then_some(Phase::Unreachable)
        });
    }

    fn set_phase(&self, instance_id: &str, next: impl FnOnce(Phase) -> Option<Phase>) -> bool {
        let mut known = self.lock();
        let Some(process) =
            known.as_mut().filter(|known| *known.report.instance_id == *instance_id)
        else {
            return false;
        };
        let Some(phase) = next(process.phase) else { return false };
        process.phase = phase;
        drop(known);
        self.notify_changed();
        true
    }

    fn lock(&self) -> MutexGuard<'_, Option<KnownProcess>> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns a number that identifies the reporting process.
fn incarnation(report: &UpstreamReport) -> u64 {
    let started_unix_ms = report.started_unix_ms.unwrap_or(0).to_be_bytes();
    RequestDigest::new([report.instance_id.as_bytes(), &started_unix_ms]).to_u64()
}

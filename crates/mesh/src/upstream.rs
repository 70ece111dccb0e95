//! The upstream beside the node, as it reports itself.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};

use model::ServiceName;
use tokio::sync::watch;

use crate::dialect::{InstanceId, UpstreamPhase, UpstreamReport};

/// A process that serves the calls of this node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct ServingUpstream {
    pub(crate) instance_id: InstanceId,
    pub(crate) address: SocketAddr,
    pub(crate) service: ServiceName,
    pub(crate) slots: u32,
}

/// Whether the known process takes calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Serving,
    /// It refused a connection or another process has its address; its next report clears this.
    Unreachable,
    Draining,
    Gone,
}

#[derive(Debug)]
struct Known {
    report: UpstreamReport,
    phase: Phase,
    /// Until when the process is slow after its start, in microseconds.
    cold_until_us: u64,
}

impl Known {
    fn is_same_process(&self, report: &UpstreamReport) -> bool {
        self.report.instance_id == report.instance_id
            && self.report.started_unix_ms == report.started_unix_ms
    }

    /// Returns whether a report was sent before the last known one.
    fn is_newer_than(&self, report: &UpstreamReport) -> bool {
        if self.is_same_process(report) {
            return self.report.sequence >= report.sequence;
        }
        match (self.report.started_unix_ms, report.started_unix_ms) {
            (Some(known_ms), Some(reported_ms)) => known_ms > reported_ms,
            _ => false,
        }
    }
}

/// What a report changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ReportEffect {
    /// A process that was not known before.
    NewProcess,
    /// The known process changed its phase.
    Changed,
    /// Nothing that matters to others.
    Unchanged,
    /// The report is older than what is known.
    Outdated,
}

/// Registry of the upstream beside the node.
#[derive(Debug)]
pub(crate) struct UpstreamRegistry {
    known: Mutex<Option<Known>>,
    changes: watch::Sender<u64>,
}

impl UpstreamRegistry {
    pub(crate) fn new() -> Self {
        Self { known: Mutex::default(), changes: watch::channel(0).0 }
    }

    /// Returns a receiver that sees each change.
    pub(crate) fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Tells everyone who waits for changes to look again.
    pub(crate) fn announce(&self) {
        self.changes.send_modify(|count| *count += 1);
    }

    /// Returns the process, if it takes calls.
    pub(crate) fn serving(&self) -> Option<ServingUpstream> {
        let known = self.lock();
        let known = known.as_ref().filter(|known| known.phase == Phase::Serving)?;
        Some(ServingUpstream {
            instance_id: known.report.instance_id.clone(),
            address: known.report.address,
            service: known.report.service.clone(),
            slots: known.report.slots,
        })
    }

    /// Returns the service of the last known process.
    pub(crate) fn service(&self) -> Option<ServiceName> {
        self.lock().as_ref().map(|known| known.report.service.clone())
    }

    /// Returns the slots of the last known process.
    pub(crate) fn slots(&self) -> u32 {
        self.lock().as_ref().map_or(0, |known| known.report.slots)
    }

    /// Returns whether the process is slow after its start.
    pub(crate) fn is_cold(&self, now_us: u64) -> bool {
        self.lock().as_ref().is_some_and(|known| now_us < known.cold_until_us)
    }

    /// Returns the last known report, with the phase that the process is in by now. A process that left
    /// drains, as far as others are concerned.
    pub(crate) fn last_report(&self) -> Option<UpstreamReport> {
        let known = self.lock();
        let known = known.as_ref()?;
        let phase = match known.phase {
            Phase::Serving | Phase::Unreachable => UpstreamPhase::Serving,
            Phase::Draining | Phase::Gone => UpstreamPhase::Draining,
        };
        Some(UpstreamReport { phase, ..known.report.clone() })
    }

    /// Takes a report into account. A process that drains or left never serves again.
    pub(crate) fn record(&self, now_us: u64, report: UpstreamReport) -> ReportEffect {
        let mut known = self.lock();
        if known.as_ref().is_some_and(|known| known.is_newer_than(&report)) {
            return ReportEffect::Outdated;
        }
        let reported = match report.phase {
            UpstreamPhase::Serving => Phase::Serving,
            UpstreamPhase::Draining => Phase::Draining,
        };
        let (phase, effect) = match known.as_ref().filter(|known| known.is_same_process(&report)) {
            None => (reported, ReportEffect::NewProcess),
            Some(known) => {
                let phase = match known.phase {
                    Phase::Draining | Phase::Gone => known.phase,
                    Phase::Serving | Phase::Unreachable => reported,
                };
                let is_changed = phase != known.phase || known.report.slots != report.slots;
                let effect =
                    if is_changed { ReportEffect::Changed } else { ReportEffect::Unchanged };
                (phase, effect)
            }
        };
        let cold_until_us = now_us + report.cold_left.as_micros() as u64;
        *known = Some(Known { report, phase, cold_until_us });
        drop(known);
        if effect != ReportEffect::Unchanged {
            self.announce();
        }
        effect
    }

    /// Notes that a process leaves. Returns whether it is the known one.
    pub(crate) fn leave(&self, instance_id: &str) -> bool {
        self.set_phase(instance_id, |_| Some(Phase::Gone))
    }

    /// Notes that a process cannot be reached.
    pub(crate) fn mark_unreachable(&self, instance_id: &str) {
        self.set_phase(instance_id, |phase| {
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
        self.announce();
        true
    }

    fn lock(&self) -> MutexGuard<'_, Option<Known>> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

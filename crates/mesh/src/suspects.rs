//! Requests suspected of crashing upstreams: their records, and how they may run at the local
//! upstream.

use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use daemon::Clock;
use model::VmName;
use policy::quarantine::{
    self, Digest, EvidenceReport, ProcessId, Quarantine, QuarantineChange, QuarantineStatus,
    RunMode,
};
use policy::slots::SlotLoad;
use slog::{Logger, info, warn};
use tokio::sync::{Notify, OwnedMutexGuard, OwnedRwLockReadGuard, OwnedRwLockWriteGuard, RwLock};

use crate::metrics::Metrics;
use crate::request_key::digest_text;

/// Successive crashes after which a request is quarantined. With one more than a node that knows
/// why a process ended, an upstream that is killed while it runs an innocent suspect in isolation
/// does not quarantine it.
const CRASHES_TO_QUARANTINE: u32 = 3;
/// Delay between the VMs of a service before they run the same suspect on probation. Longer than it
/// takes to detect a crash at start and to report it.
const PROBATION_STAGGER: Duration = Duration::from_millis(50);
/// The same delay for a run in isolation, which waits for other calls first.
const ISOLATION_STAGGER: Duration = Duration::from_millis(250);
/// Maximum number of VMs that are staggered.
const MAX_STAGGERED_VMS: u32 = 4;
/// Maximum time to wait for another isolated run.
const MAX_ISOLATION_WAIT: Duration = Duration::from_secs(1);
/// Maximum time to wait for the calls that are running before an isolated run. Other calls wait
/// meanwhile.
const MAX_DRAIN_WAIT: Duration = Duration::from_millis(500);
/// Maximum duration of isolation. Other calls run beside a suspect that takes longer.
pub(crate) const MAX_ISOLATION: Duration = Duration::from_secs(1);

/// Why a call may not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SuspectRefusal {
    /// The request is quarantined.
    Quarantined,
    /// The request is a suspect, and the upstream has no capacity for suspects.
    Busy,
}

/// Conditions under which a suspect asks to run.
pub(crate) struct SuspectCall<'a> {
    /// Priority level of the request; zero is the highest.
    pub(crate) priority_level: u32,
    /// Maximum useful wait.
    pub(crate) max_wait: Duration,
    /// Load of the upstream.
    pub(crate) load: SlotLoad,
    /// Other VMs that run the service.
    pub(crate) other_vms: &'a [VmName],
}

/// Permission to take a slot. [`Suspects::start`] turns it into the permission to run.
pub(crate) struct SuspectPass {
    digest: Option<Digest>,
    run_mode: RunMode,
    probation: Option<ProbationPermit>,
    turn: Option<OwnedMutexGuard<Instant>>,
}

/// Permission to run, held until the call ends.
pub(crate) struct RunPermit {
    pub(crate) run_mode: RunMode,
    _probation: Option<ProbationPermit>,
    _shared: Option<OwnedRwLockReadGuard<()>>,
    /// Exclusive use of the upstream, for a run in isolation.
    pub(crate) isolation: Option<Isolation>,
}

/// Exclusive use of the upstream. Ends when it is dropped.
pub(crate) struct Isolation {
    started: Instant,
    turn: OwnedMutexGuard<Instant>,
    _guard: OwnedRwLockWriteGuard<()>,
    _flag: IsolationFlag,
}

impl Drop for Isolation {
    fn drop(&mut self) {
        // Other calls may run for as long as the suspect took.
        *self.turn = Instant::now() + self.started.elapsed();
    }
}

/// Marks the upstream as isolating until it is dropped.
struct IsolationFlag {
    suspects: Arc<Suspects>,
}

impl IsolationFlag {
    fn set(suspects: &Arc<Suspects>) -> Self {
        suspects.is_isolating.store(true, Ordering::Relaxed);
        Self { suspects: Arc::clone(suspects) }
    }
}

impl Drop for IsolationFlag {
    fn drop(&mut self) {
        self.suspects.is_isolating.store(false, Ordering::Relaxed);
    }
}

/// Counts a run on probation until it is dropped.
struct ProbationPermit {
    suspects: Arc<Suspects>,
}

impl Drop for ProbationPermit {
    fn drop(&mut self) {
        self.suspects.probation_runs.fetch_sub(1, Ordering::Relaxed);
        self.suspects.changed.notify_waiters();
    }
}

/// Suspect requests of the local upstream's service.
pub(crate) struct Suspects {
    log: Logger,
    clock: Clock,
    vm: VmName,
    metrics: Arc<Metrics>,
    quarantine: Mutex<Quarantine>,
    /// Notified when a record changes or a run on probation ends.
    changed: Notify,
    probation_runs: AtomicU32,
    /// Write-locked by a run in isolation, read-locked by all other runs.
    isolation: Arc<RwLock<()>>,
    /// Earliest start of the next isolated run; locked while one waits or runs.
    next_isolation: Arc<tokio::sync::Mutex<Instant>>,
    is_isolating: AtomicBool,
}

impl Suspects {
    pub(crate) fn new(log: Logger, clock: Clock, vm: VmName, metrics: Arc<Metrics>) -> Self {
        let quarantine = Quarantine::new().with_crashes_to_quarantine(CRASHES_TO_QUARANTINE);
        Self {
            log,
            clock,
            vm,
            metrics,
            quarantine: Mutex::new(quarantine),
            changed: Notify::new(),
            probation_runs: AtomicU32::new(0),
            isolation: Arc::default(),
            next_isolation: Arc::new(tokio::sync::Mutex::new(Instant::now())),
            is_isolating: AtomicBool::new(false),
        }
    }

    /// Returns whether an isolated run keeps other calls from starting.
    pub(crate) fn is_isolating(&self) -> bool {
        self.is_isolating.load(Ordering::Relaxed)
    }

    /// Returns whether no request is suspected or quarantined.
    pub(crate) fn is_empty(&self) -> bool {
        self.quarantine().is_empty()
    }

    /// Waits until a call may take a slot. `digest` is evaluated only while there are suspects.
    ///
    /// # Errors
    ///
    /// Returns why the call may not run.
    pub(crate) async fn admit(
        self: &Arc<Self>,
        digest: impl FnOnce() -> Digest,
        call: SuspectCall<'_>,
    ) -> Result<SuspectPass, SuspectRefusal> {
        if self.is_empty() {
            let run_mode = RunMode::Shared;
            return Ok(SuspectPass { digest: None, run_mode, probation: None, turn: None });
        }
        let digest = digest();
        let mut deadline = Instant::now() + call.max_wait;
        let mut waited_for = RunMode::Shared;
        loop {
            let changed = self.changed.notified();
            let run_mode = self.run_mode(digest).ok_or(SuspectRefusal::Quarantined)?;
            if run_mode > waited_for {
                waited_for = run_mode;
                deadline += self.wait_for_other_vms(digest, run_mode, call.other_vms).await;
                continue;
            }
            let pass = SuspectPass { digest: Some(digest), run_mode, probation: None, turn: None };
            match run_mode {
                RunMode::Shared => return Ok(pass),
                RunMode::Probation => match self.try_acquire_probation(call.load) {
                    Some(permit) => return Ok(SuspectPass { probation: Some(permit), ..pass }),
                    None => {
                        let wait = tokio::time::timeout_at(deadline.into(), changed);
                        wait.await.map_err(|_| SuspectRefusal::Busy)?;
                    }
                },
                RunMode::Isolated => {
                    let turn = self.acquire_isolation_turn(&call).await?;
                    if self.run_mode(digest) == Some(RunMode::Isolated) {
                        return Ok(SuspectPass { turn: Some(turn), ..pass });
                    }
                }
            }
        }
    }

    /// Waits until a call that holds a slot may be dispatched.
    ///
    /// # Errors
    ///
    /// Returns why the call may not run.
    pub(crate) async fn start(
        self: &Arc<Self>,
        digest: impl FnOnce() -> Digest,
        pass: SuspectPass,
    ) -> Result<RunPermit, SuspectRefusal> {
        let (isolation, shared) = match pass.turn {
            Some(turn) => (Some(self.isolate(turn).await?), None),
            None => (None, Some(Arc::clone(&self.isolation).read_owned().await)),
        };
        // The call may have become a suspect while it waited.
        if !self.is_empty() {
            let digest = pass.digest.unwrap_or_else(digest);
            let required = self.run_mode(digest).ok_or(SuspectRefusal::Quarantined)?;
            if required > pass.run_mode {
                return Err(SuspectRefusal::Busy);
            }
        }
        let run_mode = pass.run_mode;
        Ok(RunPermit { run_mode, _probation: pass.probation, _shared: shared, isolation })
    }

    /// Waits for the VMs that run a suspect before this one, or until its status changes. Returns
    /// the time waited.
    async fn wait_for_other_vms(
        &self,
        digest: Digest,
        run_mode: RunMode,
        other_vms: &[VmName],
    ) -> Duration {
        let others = other_vms.iter().map(VmName::as_str);
        let rank = quarantine::probation_rank(digest, self.vm.as_str(), others);
        let rank = u32::try_from(rank).unwrap_or(u32::MAX).min(MAX_STAGGERED_VMS);
        let stagger = match run_mode {
            RunMode::Isolated => ISOLATION_STAGGER,
            _ => PROBATION_STAGGER,
        };
        let started = Instant::now();
        let _ = tokio::time::timeout(stagger * rank, self.status_change(digest)).await;
        started.elapsed()
    }

    /// Waits until the way in which a request may run changes.
    async fn status_change(&self, digest: Digest) {
        let before = self.run_mode(digest);
        loop {
            let changed = self.changed.notified();
            if self.run_mode(digest) != before {
                return;
            }
            changed.await;
        }
    }

    fn try_acquire_probation(self: &Arc<Self>, load: SlotLoad) -> Option<ProbationPermit> {
        let max_runs = quarantine::max_probation_runs(load.limit);
        let order = Ordering::Relaxed;
        let acquired = self
            .probation_runs
            .fetch_update(order, order, |runs| (runs < max_runs).then_some(runs + 1));
        acquired.is_ok().then(|| ProbationPermit { suspects: Arc::clone(self) })
    }

    async fn acquire_isolation_turn(
        &self,
        call: &SuspectCall<'_>,
    ) -> Result<OwnedMutexGuard<Instant>, SuspectRefusal> {
        let may_isolate = quarantine::may_isolate(call.load.in_flight, call.load.limit);
        if call.priority_level > 0 && !may_isolate {
            return Err(SuspectRefusal::Busy);
        }
        let turn = Arc::clone(&self.next_isolation).lock_owned();
        let turn = tokio::time::timeout(MAX_ISOLATION_WAIT, turn).await;
        let turn = turn.map_err(|_| SuspectRefusal::Busy)?;
        tokio::time::sleep_until((*turn).into()).await;
        Ok(turn)
    }

    /// Waits until no other call runs.
    async fn isolate(
        self: &Arc<Self>,
        turn: OwnedMutexGuard<Instant>,
    ) -> Result<Isolation, SuspectRefusal> {
        let started = Instant::now();
        let flag = IsolationFlag::set(self);
        let guard = Arc::clone(&self.isolation).write_owned();
        let guard = tokio::time::timeout(MAX_DRAIN_WAIT, guard).await;
        let guard = guard.map_err(|_| SuspectRefusal::Busy)?;
        Ok(Isolation { started, turn, _guard: guard, _flag: flag })
    }

    /// Records that a process died while it ran a request. Returns the change of its status.
    pub(crate) fn record_death(
        &self,
        process: &ProcessId,
        digest: Digest,
        run_mode: RunMode,
    ) -> Option<QuarantineChange> {
        let now_us = self.clock.now_us();
        let change = self.quarantine().record_death(now_us, process, digest, run_mode);
        self.apply_change(digest, change, "crash");
        change
    }

    /// Records that the upstream answered a request. `digest` is evaluated only while there are
    /// suspects. Returns the digest if the request is no longer a suspect.
    pub(crate) fn record_answer(&self, digest: impl FnOnce() -> Digest) -> Option<Digest> {
        if self.is_empty() {
            return None;
        }
        let digest = digest();
        let change = self.quarantine().clear(self.clock.now_us(), digest);
        self.apply_change(digest, change, "answered");
        change.map(|_| digest)
    }

    /// Ends the suspicion or quarantine of a request by order of an operator. Returns whether there
    /// was one.
    pub(crate) fn release(&self, digest: Digest) -> bool {
        let change = self.quarantine().release(self.clock.now_us(), digest);
        self.apply_change(digest, change, "operator");
        change.is_some()
    }

    /// Applies the evidence of another node. Returns whether it is news.
    pub(crate) fn merge(&self, report: &EvidenceReport) -> bool {
        let change = self.quarantine().merge(self.clock.now_us(), report);
        self.apply_change(report.digest, change, "reported");
        change.is_some()
    }

    /// Returns whether a request is quarantined.
    pub(crate) fn is_quarantined(&self, digest: Digest) -> bool {
        self.quarantine().status(digest) == QuarantineStatus::Quarantined
    }

    /// Returns the evidence against a request for other nodes.
    pub(crate) fn report(&self, digest: Digest) -> Option<EvidenceReport> {
        self.quarantine().report(self.clock.now_us(), digest)
    }

    /// Returns a page of the evidence for other nodes; see [`Quarantine::reports`].
    pub(crate) fn reports(&self, offset: usize, max: usize) -> Vec<EvidenceReport> {
        self.quarantine().reports(self.clock.now_us(), offset, max)
    }

    fn apply_change(&self, digest: Digest, change: Option<QuarantineChange>, cause: &'static str) {
        let (records, evicted) = {
            let quarantine = self.quarantine();
            (quarantine.len(), quarantine.evicted_records())
        };
        self.metrics.suspects.set(records as i64);
        let newly_evicted = evicted.saturating_sub(self.metrics.suspects_evicted.get());
        self.metrics.suspects_evicted.inc_by(newly_evicted);
        let Some(change) = change else { return };
        self.changed.notify_waiters();
        match change {
            QuarantineChange::Suspected => self.metrics.suspected.inc(),
            QuarantineChange::Cleared => {
                self.metrics.quarantine_ended.inc();
                info!(self.log, "suspicion-ended"; "digest" => digest_text(digest),
                    "cause" => cause);
            }
            QuarantineChange::Quarantined => {
                self.metrics.quarantined.inc();
                warn!(self.log, "request-quarantined"; "digest" => digest_text(digest),
                    "cause" => cause);
            }
        }
    }

    fn run_mode(&self, digest: Digest) -> Option<RunMode> {
        self.quarantine().run_mode(self.clock.now_us(), digest)
    }

    fn quarantine(&self) -> MutexGuard<'_, Quarantine> {
        self.quarantine.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

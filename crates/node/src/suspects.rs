//! Requests suspected of crashing upstreams: their isolation and quarantine, and the reports of
//! upstream deaths.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use daemon::Clock;
use model::{Class, Reason};
use policy::admission::AdmissionLoad;
use policy::quarantine::{Digest, ProcessId, Quarantine, QuarantineStatus, RunMode};
use rpc::{DeathReport, RunningRequest};
use tokio::net::TcpStream;
use tokio::sync::{RwLock, RwLockWriteGuard};

/// Maximum utilization of the concurrency limit at which a suspect below the class critical may
/// run, in percent.
const MAX_ISOLATION_UTILIZATION_PERCENT: u32 = 75;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
const CONNECT_ATTEMPTS: u32 = 5;
const CONNECT_INTERVAL: Duration = Duration::from_millis(5);

/// Suspect requests and their execution at the local upstream.
pub(crate) struct Suspects {
    clock: Clock,
    quarantine: Mutex<Quarantine>,
    /// Write-locked while a suspect runs in isolation. Any other call takes a read lock before it
    /// starts.
    isolation: RwLock<()>,
    /// Earliest start of the next isolated call.
    next_isolation: Mutex<Instant>,
}

/// Permission to start a call.
pub(crate) enum RunPermit<'a> {
    /// The call runs concurrently with others.
    Shared,
    /// The call is a suspect and runs in isolation.
    Isolated {
        /// Ends the isolation when dropped.
        _isolation: IsolationGuard<'a>,
    },
}

/// Prevents other calls from starting until it is dropped.
pub(crate) struct IsolationGuard<'a> {
    suspects: &'a Suspects,
    started: Instant,
    _guard: RwLockWriteGuard<'a, ()>,
}

impl Drop for IsolationGuard<'_> {
    fn drop(&mut self) {
        // Other calls may run for as long as the suspect took.
        *self.suspects.next_isolation() = Instant::now() + self.started.elapsed();
    }
}

impl RunPermit<'_> {
    pub(crate) fn run_mode(&self) -> RunMode {
        match self {
            RunPermit::Shared => RunMode::Shared,
            RunPermit::Isolated { .. } => RunMode::Isolated,
        }
    }
}

impl Suspects {
    pub(crate) fn new(clock: Clock) -> Self {
        Self {
            clock,
            quarantine: Mutex::new(Quarantine::new()),
            isolation: RwLock::new(()),
            next_isolation: Mutex::new(Instant::now()),
        }
    }

    /// Waits until a call may start.
    ///
    /// While a suspect runs in isolation, the upstream starts no other call, so that a busy one
    /// loses all its goodput. A busy upstream therefore refuses suspects below the class
    /// critical.
    pub(crate) async fn acquire(
        &self,
        digest: Digest,
        class: Class,
        load: AdmissionLoad,
    ) -> Result<RunPermit<'_>, Reason> {
        match self.status(digest) {
            QuarantineStatus::Clear => {
                drop(self.isolation.read().await);
                return Ok(RunPermit::Shared);
            }
            QuarantineStatus::Suspect if class < Class::Critical && is_busy(load) => {
                return Err(Reason::Overloaded);
            }
            QuarantineStatus::Suspect | QuarantineStatus::Quarantined => {}
        }
        let next_isolation = *self.next_isolation();
        tokio::time::sleep_until(next_isolation.into()).await;
        let guard = self.isolation.write().await;
        match self.status(digest) {
            QuarantineStatus::Quarantined => Err(Reason::Quarantined),
            // Cleared during the wait, so no isolation is needed.
            QuarantineStatus::Clear => Ok(RunPermit::Shared),
            QuarantineStatus::Suspect => {
                let started = Instant::now();
                let isolation = IsolationGuard { suspects: self, started, _guard: guard };
                Ok(RunPermit::Isolated { _isolation: isolation })
            }
        }
    }

    /// Clears a suspect that the upstream answered. A quarantined request stays quarantined.
    pub(crate) fn clear(&self, digest: Digest) {
        self.quarantine().clear(digest);
    }

    /// Records the requests that an upstream process was running when it died.
    pub(crate) fn record(&self, report: &DeathReport) {
        let process = ProcessId { vm: report.vm.clone(), incarnation: report.incarnation };
        let now_us = self.clock.now_us();
        let mut quarantine = self.quarantine();
        for request in &report.requests {
            let run_mode = match request.is_isolated {
                true => RunMode::Isolated,
                false => RunMode::Shared,
            };
            quarantine.record_death(now_us, &process, request.digest, run_mode);
        }
    }

    /// Returns the number of suspect and quarantined requests.
    pub(crate) fn len(&self) -> usize {
        self.quarantine().len()
    }

    fn status(&self, digest: Digest) -> QuarantineStatus {
        self.quarantine().status(digest)
    }

    fn quarantine(&self) -> MutexGuard<'_, Quarantine> {
        self.quarantine.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn next_isolation(&self) -> MutexGuard<'_, Instant> {
        self.next_isolation.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns whether the utilization is too high to run a suspect below the class critical.
fn is_busy(load: AdmissionLoad) -> bool {
    load.in_flight * 100 > load.limit * MAX_ISOLATION_UTILIZATION_PERCENT
}

/// Creates the report of the death of an upstream process that was running one request.
pub(crate) fn death_report(
    vm: &str,
    incarnation: u64,
    digest: Digest,
    run_mode: RunMode,
) -> DeathReport {
    let request = RunningRequest { digest, is_isolated: run_mode == RunMode::Isolated };
    DeathReport { vm: vm.to_owned(), incarnation, requests: vec![request] }
}

/// Returns whether nothing listens at the address of an upstream any more.
///
/// Tries several times, since a dying process may lose its connections shortly before its listener.
pub(crate) async fn is_listener_closed(address: SocketAddr) -> bool {
    for _ in 0..CONNECT_ATTEMPTS {
        let connect = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
        if matches!(connect.await, Ok(Err(_))) {
            return true;
        }
        tokio::time::sleep(CONNECT_INTERVAL).await;
    }
    false
}

//! Requests suspected of crashing upstreams: their isolation and quarantine, and the reports of
//! upstream deaths.

use std::io;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use daemon::Clock;
use model::{Class, Reason};
use policy::admission::AdmissionLoad;
use policy::quarantine::{self, Digest, ProcessId, Quarantine, RunMode};
use rpc::{DeathReport, RunningRequest};
use tokio::net::TcpStream;
use tokio::sync::{RwLock, RwLockWriteGuard};

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
        match self.run_mode(digest) {
            Some(RunMode::Shared) => {
                drop(self.isolation.read().await);
                return Ok(RunPermit::Shared);
            }
            Some(_)
                if class < Class::Critical
                    && !quarantine::may_isolate(load.in_flight, load.limit) =>
            {
                return Err(Reason::Overloaded);
            }
            Some(_) => {}
            None => return Err(Reason::Quarantined),
        }
        let next_isolation = *self.next_isolation();
        tokio::time::sleep_until(next_isolation.into()).await;
        let guard = self.isolation.write().await;
        match self.run_mode(digest) {
            None => Err(Reason::Quarantined),
            // Cleared during the wait, so no isolation is needed.
            Some(RunMode::Shared) => Ok(RunPermit::Shared),
            Some(_) => {
                let started = Instant::now();
                let isolation = IsolationGuard { suspects: self, started, _guard: guard };
                Ok(RunPermit::Isolated { _isolation: isolation })
            }
        }
    }

    /// Clears a suspect that the upstream answered. A quarantined request stays quarantined.
    pub(crate) fn clear(&self, digest: Digest) {
        self.quarantine().clear(self.clock.now_us(), digest);
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

    fn run_mode(&self, digest: Digest) -> Option<RunMode> {
        self.quarantine().run_mode(self.clock.now_us(), digest)
    }

    fn quarantine(&self) -> MutexGuard<'_, Quarantine> {
        self.quarantine.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn next_isolation(&self) -> MutexGuard<'_, Instant> {
        self.next_isolation.lock().unwrap_or_else(PoisonError::into_inner)
    }
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
        if let Ok(Err(error)) = connect.await
            && error.kind() == io::ErrorKind::ConnectionRefused
        {
            return true;
        }
        tokio::time::sleep(CONNECT_INTERVAL).await;
    }
    false
}

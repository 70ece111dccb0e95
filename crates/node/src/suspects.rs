//! Requests that may crash the upstream: isolation, quarantine and news of deaths.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use daemon::Clock;
use model::{Class, Reason};
use policy::admission::AdmissionLoad;
use policy::quarantine::{Digest, Presence, ProcessId, Quarantine, Standing};
use rpc::{DeathReport, RunningRequest};
use tokio::net::TcpStream;
use tokio::sync::{RwLock, RwLockWriteGuard};

/// Share of the limit in use up to which suspects of lower class run, in percent.
const MAX_BUSY_PERCENT: u32 = 75;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
const CONNECT_ATTEMPTS: u32 = 5;
const CONNECT_PAUSE: Duration = Duration::from_millis(5);

/// Suspects of the upstream beside the node.
pub(crate) struct Suspects {
    clock: Clock,
    quarantine: Mutex<Quarantine>,
    /// Held for writing while a suspect runs; starting any other call takes it for reading.
    isolation: RwLock<()>,
    /// Until when ordinary work has the upstream for itself.
    ordinary_until: Mutex<Instant>,
}

/// Leave to start a call.
pub(crate) enum Turn<'a> {
    /// The call runs among others.
    Ordinary,
    /// The call is a suspect and runs in isolation.
    Isolated {
        /// Ends the isolation when dropped.
        _turn: IsolatedTurn<'a>,
    },
}

/// Keeps other calls from starting.
pub(crate) struct IsolatedTurn<'a> {
    suspects: &'a Suspects,
    started: Instant,
    _guard: RwLockWriteGuard<'a, ()>,
}

impl Drop for IsolatedTurn<'_> {
    fn drop(&mut self) {
        // Ordinary work gets as much time as the suspect took.
        *self.suspects.ordinary_until() = Instant::now() + self.started.elapsed();
    }
}

impl Turn<'_> {
    pub(crate) fn presence(&self) -> Presence {
        match self {
            Turn::Ordinary => Presence::Shared,
            Turn::Isolated { .. } => Presence::Isolated,
        }
    }
}

impl Suspects {
    pub(crate) fn new(clock: Clock) -> Self {
        Self {
            clock,
            quarantine: Mutex::new(Quarantine::new()),
            isolation: RwLock::new(()),
            ordinary_until: Mutex::new(Instant::now()),
        }
    }

    /// Waits for a call's turn to start.
    ///
    /// Isolation costs a busy upstream its whole goodput for as long as the suspect runs, so a suspect of
    /// lower class is refused while there is no room for that.
    pub(crate) async fn turn(
        &self,
        digest: Digest,
        class: Class,
        load: AdmissionLoad,
    ) -> Result<Turn<'_>, Reason> {
        match self.standing(digest) {
            Standing::Clear => {
                drop(self.isolation.read().await);
                return Ok(Turn::Ordinary);
            }
            Standing::Suspect if class < Class::Critical && is_busy(load) => {
                return Err(Reason::Overloaded);
            }
            Standing::Suspect | Standing::Quarantined => {}
        }
        let ordinary_until = *self.ordinary_until();
        tokio::time::sleep_until(ordinary_until.into()).await;
        let guard = self.isolation.write().await;
        match self.standing(digest) {
            Standing::Quarantined => Err(Reason::Quarantined),
            // Cleared while it waited; the isolation is not needed any more.
            Standing::Clear => Ok(Turn::Ordinary),
            Standing::Suspect => {
                let started = Instant::now();
                let turn = IsolatedTurn { suspects: self, started, _guard: guard };
                Ok(Turn::Isolated { _turn: turn })
            }
        }
    }

    /// Clears a call that ran to its end.
    pub(crate) fn clear(&self, digest: Digest) {
        self.quarantine().clear(digest);
    }

    /// Takes news of a death into account.
    pub(crate) fn record(&self, report: &DeathReport) {
        let process = ProcessId { vm: report.vm.clone(), incarnation: report.incarnation };
        let now_us = self.clock.now_us();
        let mut quarantine = self.quarantine();
        for request in &report.requests {
            let presence = match request.is_isolated {
                true => Presence::Isolated,
                false => Presence::Shared,
            };
            quarantine.record_death(now_us, &process, request.digest, presence);
        }
    }

    /// Returns the number of suspect and quarantined requests.
    pub(crate) fn len(&self) -> usize {
        self.quarantine().len()
    }

    fn standing(&self, digest: Digest) -> Standing {
        self.quarantine().standing(digest)
    }

    fn quarantine(&self) -> MutexGuard<'_, Quarantine> {
        self.quarantine.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn ordinary_until(&self) -> MutexGuard<'_, Instant> {
        self.ordinary_until.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn is_busy(load: AdmissionLoad) -> bool {
    load.in_flight * 100 > load.limit * MAX_BUSY_PERCENT
}

/// Makes the report of one request that was running in a death.
pub(crate) fn death_report(
    vm: &str,
    incarnation: u64,
    digest: Digest,
    presence: Presence,
) -> DeathReport {
    let request = RunningRequest { digest, is_isolated: presence == Presence::Isolated };
    DeathReport { vm: vm.to_owned(), incarnation, requests: vec![request] }
}

/// Returns whether nothing listens at the address of an upstream any more.
///
/// A dying process may lose its connections a moment before its listener.
pub(crate) async fn is_dead(address: SocketAddr) -> bool {
    for _ in 0..CONNECT_ATTEMPTS {
        let connect = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
        if matches!(connect.await, Ok(Err(_))) {
            return true;
        }
        tokio::time::sleep(CONNECT_PAUSE).await;
    }
    false
}

//! Quarantine of requests that crash their upstream ("poison" requests).
//!
//! When an upstream process dies, all requests that it was running become suspects. A suspect runs
//! in isolation: no other request is started at the upstream at the same time. A suspect that
//! completes is cleared, one whose upstream dies again is quarantined. Only a death in isolation
//! leads to a quarantine, so a frequent request that was running during many deaths is not
//! quarantined for these. The table is bounded and records expire.

use indexmap::IndexMap;

use crate::US_PER_S;

/// Maximum number of dead processes stored per digest.
const MAX_DEATHS: usize = 8;
/// Maximum number of digests stored.
const MAX_RECORDS: usize = 10_000;
/// Time after the last reported death at which a record expires, in microseconds.
const RETENTION_US: u64 = 600 * US_PER_S;

/// Digest that identifies equal requests.
pub type Digest = u64;

/// Identity of one upstream process.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ProcessId {
    /// Name of the VM that the process ran on.
    pub vm: String,
    /// Incarnation of the upstream; distinguishes successive processes on one VM.
    pub incarnation: u64,
}

/// Whether a request ran alone when its upstream died.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunMode {
    /// The upstream could run other requests at the same time.
    Shared,
    /// The request ran in isolation, as a suspect.
    Isolated,
}

/// Quarantine status of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuarantineStatus {
    /// No upstream death is recorded for the request, or the record was cleared or has expired.
    Clear,
    /// An upstream died while it ran the request; the request runs in isolation.
    Suspect,
    /// An upstream died while it ran the request in isolation; the request is refused.
    Quarantined,
}

#[derive(Debug)]
struct DigestRecord {
    deaths: Vec<ProcessId>,
    is_quarantined: bool,
    last_death_us: u64,
}

/// Table of suspect and quarantined requests.
#[derive(Debug, Default)]
pub struct Quarantine {
    records: IndexMap<Digest, DigestRecord>,
    next_expiry_us: u64,
}

impl Quarantine {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the death of a process that was running a request. Repeated reports of the same
    /// death only postpone the expiry of the record.
    pub fn record_death(
        &mut self,
        now_us: u64,
        process: &ProcessId,
        digest: Digest,
        run_mode: RunMode,
    ) {
        self.expire(now_us);
        let record = self.records.entry(digest).or_insert(DigestRecord {
            deaths: Vec::new(),
            is_quarantined: false,
            last_death_us: now_us,
        });
        record.last_death_us = now_us;
        if record.deaths.contains(process) {
            return;
        }
        if run_mode == RunMode::Isolated {
            record.is_quarantined = true;
        }
        if record.deaths.len() < MAX_DEATHS {
            record.deaths.push(process.clone());
        }
    }

    /// Clears a suspect that completed. A quarantined request stays quarantined.
    pub fn clear(&mut self, digest: Digest) {
        if self.status(digest) == QuarantineStatus::Suspect {
            self.records.shift_remove(&digest);
        }
    }

    /// Returns the quarantine status of a request.
    pub fn status(&self, digest: Digest) -> QuarantineStatus {
        match self.records.get(&digest) {
            None => QuarantineStatus::Clear,
            Some(record) if record.is_quarantined => QuarantineStatus::Quarantined,
            Some(_) => QuarantineStatus::Suspect,
        }
    }

    /// Returns the number of suspect and quarantined digests.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether the table has no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Removes expired records, at most once a second, and the oldest tenth of a full table.
    fn expire(&mut self, now_us: u64) {
        if now_us >= self.next_expiry_us {
            self.next_expiry_us = now_us + US_PER_S;
            self.records
                .retain(|_, record| now_us.saturating_sub(record.last_death_us) < RETENTION_US);
        }
        if self.records.len() >= MAX_RECORDS {
            self.records.drain(..MAX_RECORDS / 10);
        }
    }
}

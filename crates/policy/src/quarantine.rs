//! Requests that crash the upstreams that run them.
//!
//! When an upstream process dies, everything that it was running is suspect. A digest seen in two
//! deaths of different processes is quarantined. The table is bounded and entries expire.

use indexmap::IndexMap;

use crate::US_PER_S;

/// Deaths of different processes after which a digest is quarantined.
const DEATHS_TO_QUARANTINE: usize = 2;
/// Most digests remembered.
const MAX_ENTRIES: usize = 10_000;
/// Time after which an entry is forgotten, in microseconds.
const RETENTION_US: u64 = 600 * US_PER_S;

/// Digest of a request.
pub type Digest = u64;

/// Identifies one upstream process.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ProcessId {
    /// Name of the VM.
    pub vm: String,
    /// Incarnation of the upstream.
    pub incarnation: u64,
}

/// How a request stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// Never seen in a death.
    Clear,
    /// Seen in one death; runs at most one to an upstream.
    Suspect,
    /// Seen in two deaths; not run.
    Quarantined,
}

#[derive(Debug)]
struct Record {
    deaths: Vec<ProcessId>,
    seen_us: u64,
}

/// Table of suspect and quarantined requests.
#[derive(Debug, Default)]
pub struct Quarantine {
    records: IndexMap<Digest, Record>,
    expire_due_us: u64,
}

impl Quarantine {
    /// Starts empty.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes the death of a process into account. Repeated news of a death counts once.
    ///
    /// Returns whether the news was new.
    pub fn record_death(&mut self, now_us: u64, process: &ProcessId, digest: Digest) -> bool {
        self.expire(now_us);
        let record =
            self.records.entry(digest).or_insert(Record { deaths: Vec::new(), seen_us: now_us });
        record.seen_us = now_us;
        if record.deaths.contains(process) || record.deaths.len() >= DEATHS_TO_QUARANTINE {
            return false;
        }
        record.deaths.push(process.clone());
        true
    }

    /// Clears a suspect that ran to its end. A quarantined request stays so.
    pub fn clear(&mut self, digest: Digest) {
        if self.standing(digest) == Standing::Suspect {
            self.records.shift_remove(&digest);
        }
    }

    /// Returns how a request stands.
    pub fn standing(&self, digest: Digest) -> Standing {
        match self.records.get(&digest).map(|record| record.deaths.len()) {
            None | Some(0) => Standing::Clear,
            Some(deaths) if deaths < DEATHS_TO_QUARANTINE => Standing::Suspect,
            Some(_) => Standing::Quarantined,
        }
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Drops what is too old, at most once a second, and the oldest part of a full table.
    fn expire(&mut self, now_us: u64) {
        if now_us >= self.expire_due_us {
            self.expire_due_us = now_us + US_PER_S;
            self.records.retain(|_, record| now_us.saturating_sub(record.seen_us) < RETENTION_US);
        }
        if self.records.len() >= MAX_ENTRIES {
            self.records.drain(..MAX_ENTRIES / 10);
        }
    }
}

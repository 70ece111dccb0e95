//! Requests that crash the upstreams that run them.
//!
//! When an upstream process dies, everything that it was running is suspect. A suspect runs in
//! isolation: nothing is started beside it. One that ends is cleared; one whose upstream dies again is
//! quarantined. A popular request that was merely running in many deaths is never quarantined, since
//! only a death in isolation counts against it. The table is bounded and entries expire.

use indexmap::IndexMap;

use crate::US_PER_S;

/// Deaths remembered of one digest.
const MAX_DEATHS: usize = 8;
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

/// How a request was running when its upstream died.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Presence {
    /// Among others.
    Shared,
    /// As a suspect, with nothing started beside it.
    Isolated,
}

/// How a request stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// Not seen in a death since it last ran to its end.
    Clear,
    /// Seen in a death; runs in isolation.
    Suspect,
    /// Its upstream died while it ran in isolation; not run again.
    Quarantined,
}

#[derive(Debug)]
struct Record {
    deaths: Vec<ProcessId>,
    is_quarantined: bool,
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
    pub fn record_death(
        &mut self,
        now_us: u64,
        process: &ProcessId,
        digest: Digest,
        presence: Presence,
    ) {
        self.expire(now_us);
        let record = self.records.entry(digest).or_insert(Record {
            deaths: Vec::new(),
            is_quarantined: false,
            seen_us: now_us,
        });
        record.seen_us = now_us;
        if record.deaths.contains(process) {
            return;
        }
        if presence == Presence::Isolated {
            record.is_quarantined = true;
        }
        if record.deaths.len() < MAX_DEATHS {
            record.deaths.push(process.clone());
        }
    }

    /// Clears a suspect that ran to its end. A quarantined request stays so.
    pub fn clear(&mut self, digest: Digest) {
        if self.standing(digest) == Standing::Suspect {
            self.records.shift_remove(&digest);
        }
    }

    /// Returns how a request stands.
    pub fn standing(&self, digest: Digest) -> Standing {
        match self.records.get(&digest) {
            None => Standing::Clear,
            Some(record) if record.is_quarantined => Standing::Quarantined,
            Some(_) => Standing::Suspect,
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

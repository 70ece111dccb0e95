//! Quarantine of requests that crash their upstream ("poison" requests).
//!
//! When an upstream process dies, all requests that it was running become suspects. Each further
//! crash of a request that was started as a suspect is stronger evidence, and the next run is more
//! isolated; see [`RunMode`]. Only a death in isolation leads to a quarantine, so a frequent request
//! that was running during many deaths is not quarantined for these. A suspect that completes
//! anywhere is cleared everywhere, since a request that crashes upstreams completes nowhere.
//!
//! Nodes exchange their [`Evidence`]. Merging keeps the greater value, so the order, repetition and
//! path of reports have no effect. The table is bounded and records expire.

use indexmap::IndexMap;

use crate::US_PER_S;
use crate::request_digest::RequestDigest;

/// Maximum number of dead processes stored per digest.
const MAX_DEATHS: usize = 8;
/// Maximum number of digests stored.
const MAX_RECORDS: usize = 10_000;
/// Time after the last change at which a record expires, in microseconds. A quarantine is followed
/// by isolated probation for as long again.
const RETENTION_US: u64 = 600 * US_PER_S;
/// Crashes after which a request is quarantined, unless set otherwise.
const DEFAULT_CRASHES_TO_QUARANTINE: u32 = 2;
/// Maximum utilization of an upstream at which a suspect of low priority may run in isolation, in
/// percent. A busy upstream loses its goodput while nothing else starts.
const MAX_ISOLATION_UTILIZATION_PERCENT: u32 = 75;
/// Divisor of the concurrency limit that gives the number of suspects on probation at a time. It
/// bounds how many become stronger suspects together, and leaves most slots to other requests.
const PROBATION_LIMIT_DIVISOR: u32 = 8;

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

/// How isolated a request runs, in increasing order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RunMode {
    /// Not a suspect when it started: the upstream could run any other requests at the same time.
    Shared,
    /// Started as a suspect: the upstream could run other requests, but only a few suspects.
    Probation,
    /// Started as a suspect, and nothing else was started while it ran.
    Isolated,
}

/// Quarantine status of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuarantineStatus {
    /// No upstream death is recorded for the request, or the record was cleared or has expired.
    Clear,
    /// An upstream died while it ran the request; the request runs on probation or in isolation.
    Suspect,
    /// An upstream died while it ran the request in isolation; the request is refused.
    Quarantined,
}

/// Evidence against a request. The greater value supersedes the other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct Evidence {
    /// Number of times that earlier evidence was withdrawn.
    pub round: u32,
    /// Successive crashes in this round, each of a run that started with knowledge of the last.
    pub crashes: u32,
}

/// Evidence against one request, for other nodes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EvidenceReport {
    /// Digest of the request.
    pub digest: Digest,
    /// Evidence that the reporting node has.
    pub evidence: Evidence,
    /// Time since the last change of the evidence, in microseconds.
    pub age_us: u64,
}

/// Change of the status of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuarantineChange {
    /// The request became a suspect, or a stronger one.
    Suspected,
    /// The request is quarantined.
    Quarantined,
    /// The request is no longer a suspect or quarantined.
    Cleared,
}

#[derive(Debug, Default)]
struct DigestRecord {
    evidence: Evidence,
    deaths: Vec<ProcessId>,
    updated_us: u64,
}

/// Table of suspect and quarantined requests.
#[derive(Debug)]
pub struct Quarantine {
    crashes_to_quarantine: u32,
    /// Records by digest. Those without crashes are kept so that older evidence does not return.
    records: IndexMap<Digest, DigestRecord>,
    /// Number of records with crashes.
    active_records: usize,
    evicted_records: u64,
    next_expiry_us: u64,
}

impl Default for Quarantine {
    fn default() -> Self {
        Self::new()
    }
}

impl Quarantine {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self {
            crashes_to_quarantine: DEFAULT_CRASHES_TO_QUARANTINE,
            records: IndexMap::new(),
            active_records: 0,
            evicted_records: 0,
            next_expiry_us: 0,
        }
    }

    /// Sets the number of successive crashes after which a request is quarantined, at least 2. The
    /// last of them is always in isolation.
    pub fn with_crashes_to_quarantine(self, crashes: u32) -> Self {
        Self { crashes_to_quarantine: crashes.max(2), ..self }
    }

    /// Records the death of a process that was running a request. Repeated reports of the same
    /// death only postpone the expiry of the record.
    pub fn record_death(
        &mut self,
        now_us: u64,
        process: &ProcessId,
        digest: Digest,
        run_mode: RunMode,
    ) -> Option<QuarantineChange> {
        self.expire(now_us);
        let limit = self.crashes_to_quarantine;
        let crashes = match run_mode {
            RunMode::Shared => 1,
            RunMode::Probation => 2.min(limit - 1),
            RunMode::Isolated => limit,
        };
        let record = self.record_mut(digest);
        record.updated_us = now_us;
        if record.deaths.contains(process) {
            return None;
        }
        if record.deaths.len() >= MAX_DEATHS {
            record.deaths.remove(0);
        }
        record.deaths.push(process.clone());
        let evidence = record.evidence;
        let crashes = evidence.crashes.max(crashes);
        self.set_evidence(now_us, digest, Evidence { crashes, ..evidence })
    }

    /// Clears a suspect that completed. A quarantined request stays quarantined.
    pub fn clear(&mut self, now_us: u64, digest: Digest) -> Option<QuarantineChange> {
        match self.status(digest) {
            QuarantineStatus::Suspect => self.release(now_us, digest),
            QuarantineStatus::Clear | QuarantineStatus::Quarantined => None,
        }
    }

    /// Ends the suspicion or the quarantine of a request.
    pub fn release(&mut self, now_us: u64, digest: Digest) -> Option<QuarantineChange> {
        let evidence = self.records.get(&digest)?.evidence;
        let withdrawn = Evidence { round: evidence.round.saturating_add(1), crashes: 0 };
        (evidence.crashes > 0).then(|| self.set_evidence(now_us, digest, withdrawn)).flatten()
    }

    /// Applies the evidence of another node. Returns the change if it is news.
    pub fn merge(&mut self, now_us: u64, report: &EvidenceReport) -> Option<QuarantineChange> {
        self.expire(now_us);
        if report.age_us >= RETENTION_US {
            return None;
        }
        let known = self.records.get(&report.digest).map(|record| record.evidence);
        if known.unwrap_or_default() >= report.evidence {
            return None;
        }
        let crashes = report.evidence.crashes.min(self.crashes_to_quarantine);
        let updated_us = now_us.saturating_sub(report.age_us);
        self.record_mut(report.digest);
        self.set_evidence(updated_us, report.digest, Evidence { crashes, ..report.evidence })
    }

    /// Returns how a request may run, or `None` if it is quarantined.
    pub fn run_mode(&mut self, now_us: u64, digest: Digest) -> Option<RunMode> {
        self.expire(now_us);
        let crashes = self.records.get(&digest).map_or(0, |record| record.evidence.crashes);
        match self.crashes_to_quarantine - crashes {
            0 => None,
            _ if crashes == 0 => Some(RunMode::Shared),
            1 => Some(RunMode::Isolated),
            _ => Some(RunMode::Probation),
        }
    }

    /// Returns the quarantine status of a request.
    pub fn status(&self, digest: Digest) -> QuarantineStatus {
        match self.records.get(&digest).map_or(0, |record| record.evidence.crashes) {
            0 => QuarantineStatus::Clear,
            crashes if crashes >= self.crashes_to_quarantine => QuarantineStatus::Quarantined,
            _ => QuarantineStatus::Suspect,
        }
    }

    /// Returns the evidence against a request for other nodes, or `None` if there is no record.
    pub fn report(&self, now_us: u64, digest: Digest) -> Option<EvidenceReport> {
        let record = self.records.get(&digest)?;
        let age_us = now_us.saturating_sub(record.updated_us);
        Some(EvidenceReport { digest, evidence: record.evidence, age_us })
    }

    /// Returns up to `max` reports: quarantined requests first, then the other records in turn,
    /// starting at the record number `offset`.
    pub fn reports(&self, now_us: u64, offset: usize, max: usize) -> Vec<EvidenceReport> {
        let is_quarantined =
            |record: &DigestRecord| record.evidence.crashes >= self.crashes_to_quarantine;
        let start = offset % self.records.len().max(1);
        let (before, after) = (self.records.iter().take(start), self.records.iter().skip(start));
        let others = after.chain(before).filter(|(_, record)| !is_quarantined(record));
        let quarantined = self.records.iter().filter(|(_, record)| is_quarantined(record));
        let digests = quarantined.chain(others).map(|(digest, _)| *digest).take(max);
        digests.filter_map(|digest| self.report(now_us, digest)).collect()
    }

    /// Returns the number of suspect and quarantined digests.
    pub fn len(&self) -> usize {
        self.active_records
    }

    /// Returns whether no digest is suspect or quarantined.
    pub fn is_empty(&self) -> bool {
        self.active_records == 0
    }

    /// Returns the number of records that were removed because the table was full.
    pub fn evicted_records(&self) -> u64 {
        self.evicted_records
    }

    fn record_mut(&mut self, digest: Digest) -> &mut DigestRecord {
        if self.records.len() >= MAX_RECORDS && !self.records.contains_key(&digest) {
            self.evict_oldest();
        }
        self.records.entry(digest).or_default()
    }

    fn set_evidence(
        &mut self,
        updated_us: u64,
        digest: Digest,
        evidence: Evidence,
    ) -> Option<QuarantineChange> {
        let record = self.records.get_mut(&digest)?;
        record.updated_us = updated_us;
        let previous = std::mem::replace(&mut record.evidence, evidence);
        self.active_records += usize::from(evidence.crashes > 0);
        self.active_records -= usize::from(previous.crashes > 0);
        if previous == evidence {
            return None;
        }
        Some(match self.status(digest) {
            QuarantineStatus::Clear => QuarantineChange::Cleared,
            QuarantineStatus::Suspect => QuarantineChange::Suspected,
            QuarantineStatus::Quarantined => QuarantineChange::Quarantined,
        })
    }

    /// Ends expired quarantines and removes other expired records, at most once a second.
    fn expire(&mut self, now_us: u64) {
        if now_us < self.next_expiry_us {
            return;
        }
        self.next_expiry_us = now_us + US_PER_S;
        let limit = self.crashes_to_quarantine;
        self.records.retain(|_, record| {
            if now_us.saturating_sub(record.updated_us) < RETENTION_US {
                return true;
            }
            let is_quarantined = record.evidence.crashes >= limit;
            if is_quarantined {
                record.evidence =
                    Evidence { round: record.evidence.round.saturating_add(1), crashes: limit - 1 };
                record.updated_us = now_us;
            }
            is_quarantined
        });
        self.count_active_records();
    }

    /// Removes the records without crashes, or else the oldest tenth.
    fn evict_oldest(&mut self) {
        if self.active_records < self.records.len() {
            self.records.retain(|_, record| record.evidence.crashes > 0);
            return;
        }
        let evicted = self.records.drain(..MAX_RECORDS / 10).count();
        self.evicted_records += evicted as u64;
        self.count_active_records();
    }

    fn count_active_records(&mut self) {
        let is_active = |record: &&DigestRecord| record.evidence.crashes > 0;
        self.active_records = self.records.values().filter(is_active).count();
    }
}

/// Returns whether an upstream with this load may run a suspect of low priority in isolation.
pub fn may_isolate(in_flight: u32, limit: u32) -> bool {
    in_flight * 100 <= limit * MAX_ISOLATION_UTILIZATION_PERCENT
}

/// Returns how many suspects an upstream with this concurrency limit may run at a time.
pub fn max_probation_runs(limit: u32) -> u32 {
    (limit / PROBATION_LIMIT_DIVISOR).max(1)
}

/// Returns the position of a VM in the order in which the VMs of a service run a suspect. The order
/// depends on the digest only, so the VMs agree on it without messages.
pub fn probation_rank<'a>(
    digest: Digest,
    vm: &str,
    other_vms: impl IntoIterator<Item = &'a str>,
) -> usize {
    let key = |vm: &str| RequestDigest::new([vm.as_bytes(), &digest.to_be_bytes()]).to_u64();
    let own_key = key(vm);
    other_vms.into_iter().filter(|other| key(other) < own_key).count()
}

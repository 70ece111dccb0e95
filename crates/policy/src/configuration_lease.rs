//! Decision whether a node's configuration is proven recent enough to check keys with it.
//!
//! A proof consists of a stamp, a reading of the node's own boot clock, and a version: no
//! configuration with a higher version was acknowledged before the stamp. A node whose configuration
//! has at least that version was therefore current at the stamp. All times are readings of the same
//! clock, which also counts suspended time.

use crate::US_PER_MS;

/// Part of the maximum age that is not used, in microseconds. It allows for the drift between the
/// clock of the node and the clocks by which a withdrawal is timed: 2 % of a maximum age of 5 s.
const CLOCK_DRIFT_MARGIN_US: u64 = 100 * US_PER_MS;
/// Maximum number of proofs kept. Proofs arrive at most every 250 ms and those that have expired are
/// removed, so a maximum age of 5 s needs 20.
const MAX_PROOFS: usize = 32;

/// Proof that no configuration with a higher version was acknowledged before the stamp.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FreshnessProof {
    /// Time of the node's boot clock, in microseconds.
    pub stamp_us: u64,
    /// Version of the newest configuration that may have been acknowledged before the stamp.
    pub version: u64,
}

/// Proofs that a node has received and that have not expired.
#[derive(Debug, Clone)]
pub struct ConfigurationLease {
    max_age_us: u64,
    /// Proofs that no other proof replaces: both stamps and versions strictly increase.
    proofs: Vec<FreshnessProof>,
}

impl ConfigurationLease {
    /// Creates a lease without a proof. `max_age_ms` is the time after which a withdrawn key must be
    /// refused; the lease ends 100 ms earlier.
    pub fn new(max_age_ms: u64) -> Self {
        let max_age_us = max_age_ms.saturating_mul(US_PER_MS);
        Self {
            max_age_us: max_age_us.saturating_sub(CLOCK_DRIFT_MARGIN_US),
            proofs: Vec::with_capacity(MAX_PROOFS),
        }
    }

    /// Records a proof that arrived at `now_us`. Ignores a proof that has expired, or whose stamp is
    /// in the future, since the clock of this boot has not shown it yet.
    pub fn record(&mut self, now_us: u64, proof: FreshnessProof) {
        self.proofs.retain(|known| is_recent(self.max_age_us, now_us, known));
        if !is_recent(self.max_age_us, now_us, &proof) || self.is_replaced(&proof) {
            return;
        }
        let replaces = |known: &FreshnessProof| {
            known.stamp_us <= proof.stamp_us && known.version >= proof.version
        };
        self.proofs.retain(|known| !replaces(known));
        if self.proofs.len() == MAX_PROOFS {
            // The first proof may be the only one that counts for the active version; the second is
            // the oldest of the others.
            self.proofs.remove(1);
        }
        let position = self.proofs.partition_point(|known| known.stamp_us < proof.stamp_us);
        self.proofs.insert(position, proof);
    }

    /// Returns the newest stamp at which a configuration of this version was the newest one. `None`
    /// if no proof counts for it.
    pub fn proven_us(&self, active_version: u64) -> Option<u64> {
        let counts = |proof: &&FreshnessProof| proof.version <= active_version;
        self.proofs.iter().rev().find(counts).map(|proof| proof.stamp_us)
    }

    /// Returns whether a configuration of this version is proven to have been the newest one at a
    /// time recent enough.
    pub fn is_valid(&self, now_us: u64, active_version: u64) -> bool {
        let mut proofs = self.proofs.iter().rev();
        proofs.any(|proof| {
            proof.version <= active_version && is_recent(self.max_age_us, now_us, proof)
        })
    }

    /// Returns whether a known proof is as new and counts for the same versions.
    fn is_replaced(&self, proof: &FreshnessProof) -> bool {
        let replaces = |known: &FreshnessProof| {
            known.stamp_us >= proof.stamp_us && known.version <= proof.version
        };
        self.proofs.iter().any(replaces)
    }
}

fn is_recent(max_age_us: u64, now_us: u64, proof: &FreshnessProof) -> bool {
    now_us.checked_sub(proof.stamp_us).is_some_and(|age_us| age_us < max_age_us)
}

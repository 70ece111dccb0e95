//! The replicated ledger of claims on non-idempotent work.
//!
//! A claim is final: until its holder releases it, no other attempt is granted. A running claim whose
//! deadline has passed is answered as unknown.

use std::collections::VecDeque;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// What a claim is about.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClaimKey {
    /// Caller's idempotency key.
    pub key: String,
    /// Service.
    pub service: String,
    /// Route.
    pub route: String,
}

/// Asks for a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// What is claimed.
    pub key: ClaimKey,
    /// Digest of the request body.
    pub body_digest: Vec<u8>,
    /// Tells two holders apart.
    pub holder: u64,
    /// Time for which the holder may still work, in milliseconds.
    pub deadline_ms: u64,
    /// Time for which the claim is remembered, in milliseconds.
    pub window_ms: u64,
    /// Leader's wall clock, in Unix milliseconds.
    pub at_unix_ms: u64,
}

/// Ends a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settle {
    /// What was claimed.
    pub key: ClaimKey,
    /// Holder of the claim.
    pub holder: u64,
    /// Answer to keep; none releases the claim because the work did not run.
    pub answer: Option<KeptAnswer>,
}

/// Answer kept with a finished claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeptAnswer {
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: Vec<KeptHeader>,
    /// Body; empty when it was too large to keep.
    pub body: Vec<u8>,
    /// Whether the body was too large to keep.
    pub is_truncated: bool,
}

/// Header kept with an answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeptHeader {
    /// Name.
    pub name: String,
    /// Value.
    pub value: Vec<u8>,
}

/// Answer to a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimResult {
    /// The holder may dispatch.
    Granted {
        /// Number of the attempt, counted from one.
        attempt: u32,
    },
    /// Another holder is at work.
    Running,
    /// The work is done.
    Finished(KeptAnswer),
    /// Another holder did not end its work in time.
    Unknown,
    /// The key was claimed with another body.
    Conflict,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
enum ClaimState {
    Running { holder: u64, deadline_unix_ms: u64 },
    Released,
    Finished { holder: u64, answer: KeptAnswer },
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct ClaimRecord {
    body_digest: Vec<u8>,
    attempt: u32,
    state: ClaimState,
    expires_unix_ms: u64,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Expiry {
    expires_unix_ms: u64,
    key: ClaimKey,
}

/// Ledger of claims.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimLedger {
    records: IndexMap<ClaimKey, ClaimRecord>,
    expiries: VecDeque<Expiry>,
    now_unix_ms: u64,
}

impl ClaimLedger {
    /// Returns the number of remembered claims.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether no claim is remembered.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns what is certain of a claim without applying anything, as without a quorum.
    pub fn lookup(&self, key: &ClaimKey, holder: u64) -> Option<ClaimResult> {
        let record = self.records.get(key)?;
        match &record.state {
            ClaimState::Running { holder: current, .. } if *current == holder => {
                Some(ClaimResult::Granted { attempt: record.attempt })
            }
            ClaimState::Running { .. } => Some(ClaimResult::Unknown),
            ClaimState::Finished { answer, .. } => Some(ClaimResult::Finished(answer.clone())),
            ClaimState::Released => None,
        }
    }

    /// Applies a claim.
    pub fn claim(&mut self, claim: Claim) -> ClaimResult {
        self.advance(claim.at_unix_ms);
        let deadline_unix_ms = self.now_unix_ms + claim.deadline_ms;
        let now_unix_ms = self.now_unix_ms;
        let running = ClaimState::Running { holder: claim.holder, deadline_unix_ms };
        let Some(record) = self.records.get_mut(&claim.key) else {
            return self.insert(claim, running);
        };
        if record.state == ClaimState::Released {
            record.attempt += 1;
            record.body_digest = claim.body_digest;
            record.state = running;
            return ClaimResult::Granted { attempt: record.attempt };
        }
        if record.body_digest != claim.body_digest {
            return ClaimResult::Conflict;
        }
        match &record.state {
            ClaimState::Finished { answer, .. } => ClaimResult::Finished(answer.clone()),
            ClaimState::Running { holder, .. } if *holder == claim.holder => {
                ClaimResult::Granted { attempt: record.attempt }
            }
            ClaimState::Running { deadline_unix_ms, .. } if *deadline_unix_ms > now_unix_ms => {
                ClaimResult::Running
            }
            ClaimState::Running { .. } | ClaimState::Released => ClaimResult::Unknown,
        }
    }

    /// Applies the end of a claim. Returns whether the holder had it.
    pub fn settle(&mut self, settle: Settle) -> bool {
        let Some(record) = self.records.get_mut(&settle.key) else {
            return false;
        };
        match &record.state {
            ClaimState::Running { holder, .. } if *holder == settle.holder => {
                record.state = match settle.answer {
                    Some(answer) => ClaimState::Finished { holder: settle.holder, answer },
                    None => ClaimState::Released,
                };
                true
            }
            ClaimState::Finished { holder, .. } => {
                *holder == settle.holder && settle.answer.is_some()
            }
            ClaimState::Running { .. } => false,
            ClaimState::Released => settle.answer.is_none(),
        }
    }

    fn insert(&mut self, claim: Claim, state: ClaimState) -> ClaimResult {
        // A running claim outlives its deadline, so that it is never granted again while it may run.
        let expires_unix_ms = self.now_unix_ms + claim.window_ms.max(2 * claim.deadline_ms);
        self.expiries.push_back(Expiry { expires_unix_ms, key: claim.key.clone() });
        let record =
            ClaimRecord { body_digest: claim.body_digest, attempt: 1, state, expires_unix_ms };
        self.records.insert(claim.key, record);
        ClaimResult::Granted { attempt: 1 }
    }

    fn advance(&mut self, at_unix_ms: u64) {
        self.now_unix_ms = self.now_unix_ms.max(at_unix_ms);
        while let Some(first) = self.expiries.front()
            && first.expires_unix_ms <= self.now_unix_ms
        {
            let Some(expiry) = self.expiries.pop_front() else {
                return;
            };
            self.records.swap_remove(&expiry.key);
        }
    }
}

//! Replicated table of claims on non-idempotent requests.
//!
//! A claim gives one holder the right to execute a request. No other holder is granted the claim
//! until its holder releases it or it expires. Once its deadline has passed, a running claim gives
//! other holders the result `Unknown`, because the request may have been executed.

use std::collections::VecDeque;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// Identity of a claimed request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClaimKey {
    /// Idempotency key that the caller sent.
    pub key: String,
    /// Name of the called service.
    pub service: String,
    /// Name of the route within the service.
    pub route: String,
}

/// Request for a claim, as a command of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Request to claim.
    pub key: ClaimKey,
    /// Digest of the request body; a key must not be reused with another body.
    pub body_digest: Vec<u8>,
    /// Identifier of the holder that requests the claim.
    pub holder: u64,
    /// Time left for the holder to execute the request, in milliseconds.
    pub deadline_ms: u64,
    /// Minimum time for which the claim is stored, in milliseconds.
    pub window_ms: u64,
    /// Wall clock of the leader that proposed the claim, in Unix milliseconds.
    pub at_unix_ms: u64,
}

/// Request to finish or release a claim, as a command of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settle {
    /// Claimed request.
    pub key: ClaimKey,
    /// Holder of the claim.
    pub holder: u64,
    /// Answer to store. `None` releases the claim, because the request was not executed.
    pub answer: Option<RecordedAnswer>,
}

/// Answer stored with a finished claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedAnswer {
    /// HTTP status code.
    pub status: u16,
    /// HTTP headers.
    pub headers: Vec<RecordedHeader>,
    /// Body; empty if it was too large to store.
    pub body: Vec<u8>,
    /// Whether the body was too large to store.
    pub is_truncated: bool,
}

/// HTTP header of a stored answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedHeader {
    /// Header name.
    pub name: String,
    /// Header value, which need not be UTF-8.
    pub value: Vec<u8>,
}

/// Result of a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimResult {
    /// The holder may dispatch the request.
    Granted {
        /// Number of the attempt, from 1.
        attempt: u32,
    },
    /// Another holder has the claim and its deadline has not passed.
    Running,
    /// The request was executed; holds its answer.
    Finished(RecordedAnswer),
    /// Another holder has, or may have, the claim and did not settle it; the request may have been
    /// executed.
    Unknown,
    /// The key was claimed with another request body.
    Conflict,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
enum ClaimState {
    Running { holder: u64, deadline_unix_ms: u64 },
    Released,
    Finished { holder: u64, answer: RecordedAnswer },
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

/// Stored claims with their expiry times.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimTable {
    records: IndexMap<ClaimKey, ClaimRecord>,
    expiries: VecDeque<Expiry>,
    now_unix_ms: u64,
}

impl ClaimTable {
    /// Returns the number of stored claims.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether no claim is stored.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the result that the stored claim alone proves, for use without a quorum. Returns
    /// `None` if no claim is stored or it was released.
    pub fn known_result(&self, key: &ClaimKey, holder: u64) -> Option<ClaimResult> {
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

    /// Applies a claim. A holder that retries its running claim is granted the same attempt again.
    pub fn claim(&mut self, claim: Claim) -> ClaimResult {
        self.advance_clock(claim.at_unix_ms);
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

    /// Finishes or releases a claim. Returns whether the claim belongs to the holder and is now, or
    /// was already, in the requested state.
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
        // A running claim is stored past its deadline, so that it is not granted again while the
        // request may still be executing.
        let expires_unix_ms = self.now_unix_ms + claim.window_ms.max(2 * claim.deadline_ms);
        self.expiries.push_back(Expiry { expires_unix_ms, key: claim.key.clone() });
        let record =
            ClaimRecord { body_digest: claim.body_digest, attempt: 1, state, expires_unix_ms };
        self.records.insert(claim.key, record);
        ClaimResult::Granted { attempt: 1 }
    }

    /// Moves the clock forward, never back, and removes expired claims.
    fn advance_clock(&mut self, at_unix_ms: u64) {
        self.now_unix_ms = self.now_unix_ms.max(at_unix_ms);
        while let Some(oldest) = self.expiries.front()
            && oldest.expires_unix_ms <= self.now_unix_ms
        {
            let Some(expiry) = self.expiries.pop_front() else {
                return;
            };
            self.records.swap_remove(&expiry.key);
        }
    }
}

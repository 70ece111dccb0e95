//! Counters of a fake upstream that tests compare with the callers' results.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// Calls and uploads that a fake upstream has handled since its start.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamRecord {
    /// Calls that started to run.
    pub started: u64,
    /// Calls that ran to the end and got a response.
    pub finished: u64,
    /// Calls that were cancelled while they were queued or running.
    pub cancelled: u64,
    /// Calls that were refused and did not run.
    pub shed: u64,
    /// Calls that are queued or running now.
    pub in_flight: u64,
    /// Number of response bodies without an end that are being sent.
    pub endless_responses: u64,
    /// Number of runs of each tagged request, by tag.
    pub runs: IndexMap<String, u64>,
    /// SHA-256 digest of the last upload, in hexadecimal.
    pub last_upload_sha256: Option<String>,
    /// Size of the last upload, in bytes.
    pub last_upload_bytes: u64,
    /// Start time of the last call that started to run, in Unix microseconds.
    pub last_started_unix_us: u64,
}

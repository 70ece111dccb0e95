//! What a fake upstream saw, for the judge of a test.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// Counts of a fake upstream.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamRecord {
    /// Calls that it began to run.
    pub started: u64,
    /// Calls that it answered.
    pub finished: u64,
    /// Calls that were cancelled while they ran.
    pub cancelled: u64,
    /// Calls that it refused to run.
    pub shed: u64,
    /// Calls running now.
    pub in_flight: u64,
    /// Times that the work of each tagged request ran.
    pub runs: IndexMap<String, u64>,
    /// SHA-256 of the last upload, in hex.
    pub last_upload_sha256: Option<String>,
    /// Size of the last upload, in bytes.
    pub last_upload_bytes: u64,
    /// Time of the last call that began, in Unix microseconds.
    pub last_started_unix_us: u64,
}

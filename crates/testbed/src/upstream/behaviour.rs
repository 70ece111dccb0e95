//! What a fake upstream does, changeable over its admin listener.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Behaviour of a fake upstream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Behaviour {
    /// Time of one call, in microseconds, without the calls below it.
    pub service_time_us: u64,
    /// Calls at once; others wait.
    pub slots: usize,
    /// Slots that it announces; the true ones when absent.
    pub announced_slots: Option<u32>,
    /// Address that it announces, as that of a proxy; its own when absent.
    pub announced_address: Option<SocketAddr>,
    /// Refuses every call and says that it did not run.
    pub is_shedding: bool,
    /// Never answers.
    pub is_hanging: bool,
    /// Takes no new work and says so with its announcements.
    pub is_leaving: bool,
    /// Aborts the process on a call whose path contains the text.
    pub crash_on: Option<String>,
    /// Share of calls that fail with status 500 after they ran, in percent.
    pub fail_percent: u32,
    /// Cuts the answer after half of its body.
    pub is_truncating: bool,
    /// Extra time of each call, uniform between zero and this, in microseconds.
    pub jitter_us: u64,
    /// Size of the padding in each answer, in bytes.
    pub padding_bytes: usize,
}

impl Default for Behaviour {
    fn default() -> Self {
        Self {
            service_time_us: 1_000,
            slots: 16,
            announced_slots: None,
            announced_address: None,
            is_shedding: false,
            is_hanging: false,
            is_leaving: false,
            crash_on: None,
            fail_percent: 0,
            is_truncating: false,
            jitter_us: 0,
            padding_bytes: 0,
        }
    }
}

//! Behaviour of a fake upstream. It can be changed at run time through the admin listener.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Capacity, timing and injected faults of a fake upstream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Behaviour {
    /// Time that one call takes, in microseconds, without the calls that it makes to other
    /// services.
    pub service_time_us: u64,
    /// Maximum number of concurrent calls; further calls are queued.
    pub slots: usize,
    /// Number of slots in announcements; `slots` if absent.
    pub announced_slots: Option<u32>,
    /// Address in announcements, such as that of a proxy; the upstream's own address if absent.
    pub announced_address: Option<SocketAddr>,
    /// Refuses every call with a response that says that the call did not run.
    pub is_shedding: bool,
    /// Accepts calls and never responds.
    pub is_hanging: bool,
    /// Announces that the upstream is about to stop, so that nodes send it no new calls.
    pub is_leaving: bool,
    /// Aborts the process on a call whose path contains this text.
    pub crash_on: Option<String>,
    /// Share of calls that fail with status 500 after they ran, in percent.
    pub fail_percent: u32,
    /// Closes the connection after half of the response body.
    pub is_truncating: bool,
    /// Sends response bodies without an end until the connection is closed.
    pub is_endless: bool,
    /// Upper bound of the random time that is added to each call, in microseconds. The added time is
    /// uniformly distributed from 0.
    pub jitter_us: u64,
    /// Size of the padding in each response body, in bytes.
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
            is_endless: false,
            jitter_us: 0,
            padding_bytes: 0,
        }
    }
}

//! Monotonic and wall-clock time in microseconds.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Monotonic clock of a process; reads one second when it is created.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Creates a clock that starts at one second.
    pub fn new() -> Self {
        // Some states use time zero for "never", so the clock must not return it.
        let start = Instant::now();
        Self { start: start.checked_sub(Duration::from_secs(1)).unwrap_or(start) }
    }

    /// Returns the current time of this clock, in microseconds.
    pub fn now_us(&self) -> u64 {
        self.start.elapsed().as_micros() as u64
    }

    /// Converts a time of this clock, in microseconds, to an [`Instant`].
    pub fn instant_at(&self, at_us: u64) -> Instant {
        self.start + Duration::from_micros(at_us)
    }

    /// Returns the wall-clock time since the Unix epoch, in microseconds.
    pub fn unix_us() -> u64 {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        since.as_micros() as u64
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}

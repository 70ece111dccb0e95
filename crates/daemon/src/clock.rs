//! The monotonic clock of one process, in microseconds.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Monotonic clock that starts near zero.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Starts the clock.
    pub fn new() -> Self {
        // Zero means "never" in some states, so the clock starts one second in.
        let start = Instant::now();
        Self { start: start.checked_sub(Duration::from_secs(1)).unwrap_or(start) }
    }

    /// Returns the time since the start, in microseconds.
    pub fn now_us(&self) -> u64 {
        self.start.elapsed().as_micros() as u64
    }

    /// Returns the instant of a time on this clock.
    pub fn instant_at(&self, at_us: u64) -> Instant {
        self.start + Duration::from_micros(at_us)
    }

    /// Returns the wall-clock time in Unix microseconds.
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

//! Monotonic time that includes the time in which the machine was suspended.

use nix::time::{ClockId, clock_gettime};

/// Clock that also counts the time in which the machine was suspended, unlike
/// [`Clock`](crate::Clock).
#[derive(Debug, Clone, Copy, Default)]
pub struct BootClock;

impl BootClock {
    /// Returns the time since the machine was started, in microseconds. `None` if the system does not
    /// provide the clock.
    pub fn now_us(self) -> Option<u64> {
        let time = clock_gettime(ClockId::CLOCK_BOOTTIME).ok()?;
        let seconds = u64::try_from(time.tv_sec()).ok()?;
        let nanoseconds = u64::try_from(time.tv_nsec()).ok()?;
        Some(seconds * 1_000_000 + nanoseconds / 1_000)
    }
}

//! Delays after which refused callers are advised to retry.

use std::time::Duration;

use crate::US_PER_MS;

/// Minimum advised delay, in microseconds.
const MIN_DELAY_US: u64 = 200 * US_PER_MS;
/// Maximum width of the window over which retries are spread after the minimum delay, in
/// microseconds.
const MAX_WINDOW_US: u64 = 10_000 * US_PER_MS;

/// Returns a randomised retry delay in microseconds, from a window that widens with the share of
/// refused calls.
///
/// `overload_ratio` is the ratio of offered to admitted calls, 1.0 when nothing is refused.
/// `random` is a uniform sample over all values of `u32`.
pub fn delay_us(overload_ratio: f64, random: u32) -> u64 {
    let window_us = (MIN_DELAY_US as f64 * overload_ratio.max(1.0) * 2.0).min(MAX_WINDOW_US as f64);
    let fraction = f64::from(random) / f64::from(u32::MAX);
    MIN_DELAY_US + (fraction * window_us) as u64
}

/// Minimum delay for callers of the mesh, before randomisation: a few service times, after which
/// the calls that hold the slots at the refusal have ended.
const MESH_MIN_DELAY: Duration = Duration::from_millis(150);
/// Maximum delay for callers of the mesh, before randomisation: the time that a request without any
/// other limit waits for its answer.
const MESH_MAX_DELAY: Duration = Duration::from_secs(30);
/// Maximum time over which callers of the mesh are spread after the wait.
const MESH_MAX_SPREAD: Duration = Duration::from_millis(1_500);

/// Returns a randomised retry delay for a refused caller of the mesh, from the currently expected
/// wait.
///
/// The delay is at least the wait, so that a caller that heeds it finds room, and up to twice that, so
/// that callers do not retry simultaneously. `random` is a uniform sample over all values of `u32`.
pub fn mesh_delay(expected_wait: Duration, random: u32) -> Duration {
    let base_delay = expected_wait.clamp(MESH_MIN_DELAY, MESH_MAX_DELAY);
    let fraction = f64::from(random) / f64::from(u32::MAX);
    base_delay + base_delay.min(MESH_MAX_SPREAD).mul_f64(fraction)
}

/// Retry delay advised when a request is refused on entry to the mesh.
///
/// The admission ratio changes within a few hundred milliseconds, and a caller that retries within
/// its latency objective can still be served in time.
pub const THROTTLE_RETRY_DELAY: Duration = Duration::from_millis(300);

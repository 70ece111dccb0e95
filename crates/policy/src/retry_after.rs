//! When a refused caller is told to come back.

use std::time::Duration;

use crate::US_PER_MS;

/// Shortest advice, in microseconds.
const MIN_US: u64 = 200 * US_PER_MS;
/// Longest advice, in microseconds.
const MAX_US: u64 = 10_000 * US_PER_MS;

/// Spreads returns over a window that grows with the share of refused calls.
///
/// `pressure` is the ratio of offered to admitted calls, one when nothing is refused. `random` is a
/// uniform draw over all values of `u32`.
pub fn advise_us(pressure: f64, random: u32) -> u64 {
    let window_us = (MIN_US as f64 * pressure.max(1.0) * 2.0).min(MAX_US as f64);
    let draw = f64::from(random) / f64::from(u32::MAX);
    MIN_US + (draw * window_us) as u64
}

/// Shortest advice to callers of the mesh: a few service times, so that slots have turned over.
const MESH_MIN: Duration = Duration::from_millis(150);
/// Longest advice to callers of the mesh; later ones find no time left in their deadlines.
const MESH_MAX: Duration = Duration::from_millis(1_500);

/// Advises a refused caller of the mesh by the wait that is expected now.
///
/// Returns are spread over as long again as the wait, so that they do not meet in one moment.
/// `random` is a uniform draw over all values of `u32`.
pub fn mesh_advice(expected_wait: Duration, random: u32) -> Duration {
    let wait = expected_wait.clamp(MESH_MIN, MESH_MAX);
    let draw = f64::from(random) / f64::from(u32::MAX);
    wait + wait.mul_f64(draw)
}

/// Wait advised to a request that is refused where it enters.
///
/// Admission changes within a few hundred milliseconds, and a caller that comes back within its latency
/// objective can still be served in time.
pub const THROTTLE_WAIT: Duration = Duration::from_millis(300);

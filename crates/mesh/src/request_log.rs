//! Rate limit for log lines about single requests, so that the log volume does not grow with load.

use std::sync::{Mutex, PoisonError};

use daemon::Clock;
use policy::US_PER_S;
use slog::{Logger, info};

use crate::metrics::Metrics;

/// Maximum number of lines per second. A line costs a few microseconds, so logging stays below half
/// a percent of a core. Suppressed lines are counted.
const MAX_LINES_PER_S: u32 = 100;

/// Interval of one second in which lines are counted, suppressed ones included.
#[derive(Debug, Default)]
struct Window {
    started_us: u64,
    lines: u32,
}

/// Rate-limited logger of events that concern single requests.
pub(crate) struct RequestLog {
    log: Logger,
    clock: Clock,
    window: Mutex<Window>,
}

impl RequestLog {
    pub(crate) fn new(log: Logger, clock: Clock) -> Self {
        Self { log, clock, window: Mutex::default() }
    }

    /// Returns the logger for one line, or `None` if the rate limit is reached. Counts
    /// suppressed lines.
    pub(crate) fn rate_limited_logger(&self, metrics: &Metrics) -> Option<&Logger> {
        let now_us = self.clock.now_us();
        let mut window = self.window.lock().unwrap_or_else(PoisonError::into_inner);
        if now_us.saturating_sub(window.started_us) >= US_PER_S {
            let suppressed = window.lines.saturating_sub(MAX_LINES_PER_S);
            *window = Window { started_us: now_us, lines: 0 };
            if suppressed > 0 {
                info!(self.log, "lines-suppressed"; "lines" => suppressed);
            }
        }
        window.lines += 1;
        if window.lines > MAX_LINES_PER_S {
            metrics.log_lines_suppressed.inc();
            return None;
        }
        Some(&self.log)
    }
}

//! Log lines about single requests, bounded in number so that load does not turn into log volume.

use std::sync::{Mutex, PoisonError};

use daemon::Clock;
use policy::US_PER_S;
use slog::{Logger, info};

use crate::metrics::Metrics;

/// Most lines in a second. A line costs a few microseconds, so this stays below half a percent of a
/// core; what is left out is counted.
const MAX_LINES_PER_S: u32 = 100;

#[derive(Debug, Default)]
struct Window {
    started_us: u64,
    lines: u32,
}

/// Log of decisions on requests.
pub(crate) struct RequestLog {
    log: Logger,
    clock: Clock,
    window: Mutex<Window>,
}

impl RequestLog {
    pub(crate) fn new(log: Logger, clock: Clock) -> Self {
        Self { log, clock, window: Mutex::default() }
    }

    /// Returns the log if the window has room for a line; otherwise counts it as left out.
    pub(crate) fn line(&self, metrics: &Metrics) -> Option<&Logger> {
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

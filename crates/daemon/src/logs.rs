//! Structured logs: one line of key=value pairs an event, on standard error.

use std::io;

use slog::{Drain, Logger, o};
use slog_async::OverflowStrategy;

const QUEUE_LINES: usize = 4096;

/// Makes the logger of a program. A full queue drops lines and reports how many.
pub fn logger(program: &'static str) -> Logger {
    let format = slog_logfmt::Logfmt::new(io::stderr()).build().fuse();
    let drain = slog_async::Async::new(format)
        .chan_size(QUEUE_LINES)
        .overflow_strategy(OverflowStrategy::DropAndReport)
        .build()
        .fuse();
    let drain = drain.filter_level(slog::Level::Info).fuse();
    Logger::root(drain, o!("program" => program))
}

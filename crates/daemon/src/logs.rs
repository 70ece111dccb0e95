//! Structured logs: one line of key=value pairs an event, on standard output.

use std::io;

use slog::{Drain, FnValue, Logger, o};
use slog_async::OverflowStrategy;

use crate::clock::Clock;

const QUEUE_LINES: usize = 4096;

/// Makes the logger of a program. A full queue drops lines and reports how many.
pub fn logger(program: &'static str) -> Logger {
    let format = slog_logfmt::Logfmt::new(io::stdout())
        .no_prefix()
        .print_level(true)
        .print_msg(true)
        .build()
        .fuse();
    let drain = slog_async::Async::new(format)
        .chan_size(QUEUE_LINES)
        .overflow_strategy(OverflowStrategy::DropAndReport)
        .build()
        .fuse();
    let drain = drain.filter_level(slog::Level::Info).fuse();
    let now = FnValue(|_| Clock::unix_us() / 1_000);
    Logger::root(drain, o!("program" => program, "at_unix_ms" => now))
}

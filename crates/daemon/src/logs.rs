//! Structured logging to standard output: one line of key=value pairs per event.

use std::io;

use slog::{Drain, FnValue, Logger, o};
use slog_async::OverflowStrategy;

use crate::clock::Clock;

const MAX_QUEUED_LINES: usize = 4096;

/// Creates the logger of a program, which writes asynchronously and omits the levels below info.
/// When its queue is full, it drops lines and logs how many.
pub fn logger(program: &'static str) -> Logger {
    let format = slog_logfmt::Logfmt::new(io::stdout())
        .no_prefix()
        .print_level(true)
        .print_msg(true)
        .build()
        .fuse();
    let drain = slog_async::Async::new(format)
        .chan_size(MAX_QUEUED_LINES)
        .overflow_strategy(OverflowStrategy::DropAndReport)
        .build()
        .fuse();
    let drain = drain.filter_level(slog::Level::Info).fuse();
    let now = FnValue(|_| Clock::unix_us() / 1_000);
    Logger::root(drain, o!("program" => program, "at_unix_ms" => now))
}

//! The frame of a long-running program.

use std::fmt::Display;
use std::io;
use std::process::ExitCode;

use slog::{Logger, error};
use tokio::runtime::Runtime;

/// Runs the work of a program on its own threads and turns its end into an exit status.
pub fn run_program<E: Display>(
    log: &Logger,
    threads: usize,
    work: impl Future<Output = Result<(), E>>,
) -> ExitCode {
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(threads).enable_all().build();
    finish(log, runtime, work)
}

/// Runs the work of a program on the calling thread and turns its end into an exit status.
pub fn run_on_one_thread<E: Display>(
    log: &Logger,
    work: impl Future<Output = Result<(), E>>,
) -> ExitCode {
    finish(log, tokio::runtime::Builder::new_current_thread().enable_all().build(), work)
}

fn finish<E: Display>(
    log: &Logger,
    runtime: io::Result<Runtime>,
    work: impl Future<Output = Result<(), E>>,
) -> ExitCode {
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => {
            error!(log, "runtime-failed"; "error" => %error);
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(work) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            error!(log, "program-failed"; "error" => %error);
            ExitCode::FAILURE
        }
    }
}

//! Runs the main task of a long-running program and maps its result to an exit code.

use std::fmt::Display;
use std::io;
use std::process::ExitCode;

use slog::{Logger, error};
use tokio::runtime::Runtime;

use crate::signals;

/// Runs the main task of a program on a runtime with `threads` worker threads. Logs an error of the
/// task and returns the exit code.
pub fn run_program<E: Display>(
    log: &Logger,
    threads: usize,
    main_task: impl Future<Output = Result<(), E>>,
) -> ExitCode {
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(threads).enable_all().build();
    run_to_exit_code(log, runtime, main_task)
}

/// Runs the main task of a program on a single-threaded runtime on the calling thread. Logs an
/// error of the task and returns the exit code.
pub fn run_single_threaded<E: Display>(
    log: &Logger,
    main_task: impl Future<Output = Result<(), E>>,
) -> ExitCode {
    run_to_exit_code(
        log,
        tokio::runtime::Builder::new_current_thread().enable_all().build(),
        main_task,
    )
}

fn run_to_exit_code<E: Display>(
    log: &Logger,
    runtime: io::Result<Runtime>,
    main_task: impl Future<Output = Result<(), E>>,
) -> ExitCode {
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => {
            error!(log, "runtime-failed"; "error" => %error);
            return ExitCode::FAILURE;
        }
    };
    let installed = {
        let _context = runtime.enter();
        signals::install_handlers()
    };
    if let Err(error) = installed {
        error!(log, "signal-handlers-failed"; "error" => %error);
        return ExitCode::FAILURE;
    }
    match runtime.block_on(main_task) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            error!(log, "program-failed"; "error" => %error);
            ExitCode::FAILURE
        }
    }
}

//! `heatherweir-testbed`: fakes for tests, demonstrations and measurements.

use std::process::ExitCode;

use clap::Command;
use slog::error;
use testbed::upstream;

fn main() -> ExitCode {
    let matches = Command::new("heatherweir-testbed")
        .subcommand_required(true)
        .subcommand(upstream::command())
        .get_matches();
    let Some((_, matches)) = matches.subcommand() else {
        return ExitCode::FAILURE;
    };
    let settings = upstream::Settings::new(matches);
    let log = daemon::logger("heatherweir-testbed");
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(1).enable_all().build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => {
            error!(log, "runtime-failed"; "error" => %error);
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(upstream::run(log.clone(), settings)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            error!(log, "upstream-failed"; "error" => %error);
            ExitCode::FAILURE
        }
    }
}

//! `heatherweir-testbed`: runs a fake upstream for tests, demonstrations and measurements.

use std::process::ExitCode;

use clap::Command;
use testbed::upstream;

const WORKER_THREADS: usize = 1;

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
    daemon::run_program(&log, WORKER_THREADS, upstream::run(log.clone(), settings))
}

//! `heatherweir-node`: the process beside an upstream.

use std::process::ExitCode;

use daemon::EXIT_BAD_SETTINGS;
use node::{Settings, command};
use slog::error;

fn main() -> ExitCode {
    let matches = command().get_matches();
    let settings = match Settings::new(&matches) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("heatherweir-node: {error}");
            return ExitCode::from(EXIT_BAD_SETTINGS);
        }
    };
    if daemon::is_check_only(&matches) {
        return ExitCode::SUCCESS;
    }
    let log = daemon::logger("heatherweir-node");
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(settings.traffic_threads)
        .enable_all()
        .build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => {
            error!(log, "runtime-failed"; "error" => %error);
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(node::run(log.clone(), settings)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            error!(log, "node-failed"; "error" => %error);
            ExitCode::FAILURE
        }
    }
}

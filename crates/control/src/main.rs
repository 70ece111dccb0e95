//! `heatherweir-control`: a control replica.

use std::process::ExitCode;

use control::{Settings, command};
use daemon::EXIT_BAD_SETTINGS;
use slog::error;

fn main() -> ExitCode {
    let matches = command().get_matches();
    let settings = match Settings::new(&matches) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("heatherweir-control: {error}");
            return ExitCode::from(EXIT_BAD_SETTINGS);
        }
    };
    if daemon::is_check_only(&matches) {
        return ExitCode::SUCCESS;
    }
    let log = daemon::logger("heatherweir-control");
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => {
            error!(log, "runtime-failed"; "error" => %error);
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(control::run(log.clone(), settings)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            error!(log, "control-failed"; "error" => %error);
            ExitCode::FAILURE
        }
    }
}

//! `heatherweir-control`: runs a control replica.

use std::process::ExitCode;

use control::{Settings, command};
use daemon::EXIT_BAD_SETTINGS;

const TRAFFIC_THREADS: usize = 2;

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
    daemon::run_program(&log, TRAFFIC_THREADS, control::run(log.clone(), settings))
}

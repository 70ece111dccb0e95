//! `heatherweir-node`: the sidecar process of an upstream.

use std::process::ExitCode;

use daemon::EXIT_BAD_SETTINGS;
use node::{Settings, command};

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
    daemon::run_program(&log, settings.traffic_threads, node::run(log.clone(), settings))
}

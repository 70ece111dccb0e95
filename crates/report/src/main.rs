//! `heatherweir-report`: reports error-budget burn rates.

use std::process::ExitCode;

fn main() -> ExitCode {
    let matches = report::command().get_matches();
    match report::run(&matches) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("heatherweir-report: {error}");
            ExitCode::FAILURE
        }
    }
}

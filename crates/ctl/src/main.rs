//! `heatherweirctl`: manages overload profiles and shows the status of the cluster.

use std::process::ExitCode;

fn main() -> ExitCode {
    let matches = ctl::command().get_matches();
    match ctl::run(&matches) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("heatherweirctl: {error}");
            ExitCode::from(error.exit_status())
        }
    }
}

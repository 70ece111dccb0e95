//! Chores of the heatherweir workspace, reached as `cargo xtask`.

mod codegen;
mod error;

use std::process::ExitCode;

use clap::Command;

use crate::error::ChoreError;

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("xtask: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), ChoreError> {
    let matches = Command::new("xtask")
        .subcommand_required(true)
        .subcommand(Command::new("codegen").about("Remakes the generated rpc code"))
        .get_matches();
    match matches.subcommand() {
        Some(("codegen", _)) => codegen::write(),
        _ => Ok(()),
    }
}

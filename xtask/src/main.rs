//! Chores of the heatherweir workspace, reached as `cargo xtask`.

mod codegen;
mod demo;
mod error;
mod tidy;

use std::process::ExitCode;

use clap::{Arg, ArgAction, Command};

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
        .subcommand(
            Command::new("codegen").about("Remakes the generated rpc code").arg(
                Arg::new("check")
                    .long("check")
                    .help("Fails if the committed code is not current")
                    .action(ArgAction::SetTrue),
            ),
        )
        .subcommand(
            Command::new("demo")
                .about("Runs a small deployment and sends requests through it")
                .arg(
                    Arg::new("deployment")
                        .long("deployment")
                        .value_parser(["attica", "accra"])
                        .default_value("attica"),
                )
                .arg(
                    Arg::new("hold")
                        .long("hold")
                        .help("Leaves the deployment running until Ctrl-C or SIGTERM")
                        .action(ArgAction::SetTrue),
                ),
        )
        .subcommand(Command::new("tidy").about("Checks the source text"))
        .get_matches();
    match matches.subcommand() {
        Some(("codegen", arguments)) if arguments.get_flag("check") => codegen::check(),
        Some(("codegen", _)) => codegen::write(),
        Some(("tidy", _)) => tidy::check(),
        Some(("demo", arguments)) => {
            let deployment: String = daemon::required(arguments, "deployment");
            match arguments.get_flag("hold") {
                true => demo::hold(&deployment),
                false => demo::run(&deployment),
            }
        }
        _ => Ok(()),
    }
}

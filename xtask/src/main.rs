//! Development tasks of the heatherweir workspace, run as `cargo xtask`.

mod codegen;
mod demo;
mod error;
mod measure;
mod slopes;
mod soak;
mod tidy;

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Arg, ArgAction, Command, value_parser};

use crate::error::TaskError;
use crate::measure::MeasureSettings;
use crate::soak::SoakSeries;

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("xtask: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), TaskError> {
    let matches = Command::new("xtask")
        .subcommand_required(true)
        .subcommand(
            Command::new("codegen")
                .about("Regenerates the RPC code from the protocol definition")
                .arg(
                    Arg::new("check")
                        .long("check")
                        .help("Checks that the committed code is up to date, without writing it")
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
                        .help("Keeps the deployment running until SIGINT or SIGTERM")
                        .action(ArgAction::SetTrue),
                ),
        )
        .subcommand(measure_command())
        .subcommand(soak_command())
        .subcommand(
            Command::new("slopes")
                .about("Measures the cost of control replicas per node and the latency of claims"),
        )
        .subcommand(
            Command::new("tidy").about("Checks the sources against the conventions of the project"),
        )
        .get_matches();
    match matches.subcommand() {
        Some(("codegen", arguments)) if arguments.get_flag("check") => codegen::check(),
        Some(("codegen", _)) => codegen::write(),
        Some(("measure", arguments)) if arguments.get_flag("list") => {
            for (name, about) in measure::list() {
                println!("{name}: {about}");
            }
            Ok(())
        }
        Some(("measure", arguments)) => measure::run(&MeasureSettings {
            scenario: daemon::required(arguments, "scenario"),
            seed: daemon::required(arguments, "seed"),
            against: daemon::optional(arguments, "against"),
            json: daemon::optional(arguments, "json"),
            arms: daemon::values(arguments, "arm"),
        }),
        Some(("slopes", _)) if cfg!(debug_assertions) => measure::run_release(&["slopes"]),
        Some(("slopes", _)) => slopes::run(),
        Some(("soak", arguments)) => soak::run(&SoakSeries {
            first_seed: daemon::required(arguments, "seed"),
            seed_count: daemon::required(arguments, "seeds"),
            fault_duration_s: daemon::required(arguments, "seconds"),
            callers: daemon::required(arguments, "callers"),
        }),
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

fn soak_command() -> Command {
    let count_option = |name: &'static str, default: &'static str| {
        Arg::new(name).long(name).value_parser(value_parser!(u64)).default_value(default)
    };
    Command::new("soak")
        .about("Runs the programs under seeded random faults and checks the guarantees")
        .arg(count_option("seed", "1").help("First seed"))
        .arg(count_option("seeds", "1").help("Number of consecutive seeds to run"))
        .arg(
            count_option("seconds", "10")
                .help("Duration of fault injection for each seed, in seconds"),
        )
        .arg(
            Arg::new("callers")
                .long("callers")
                .value_parser(value_parser!(usize))
                .default_value("4")
                .help("Number of concurrent callers"),
        )
}

fn measure_command() -> Command {
    let option = |name: &'static str| Arg::new(name).long(name);
    Command::new("measure")
        .about(
            "Measures a scenario with and without heatherweir, and with an earlier build if given",
        )
        .arg(option("list").help("Lists the scenarios").action(ArgAction::SetTrue))
        .arg(option("scenario").required_unless_present("list"))
        .arg(option("seed").value_parser(value_parser!(u64)).default_value("1"))
        .arg(
            option("against")
                .help("Folder with the programs of an earlier build")
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(
            option("json").help("File to write the report to").value_parser(value_parser!(PathBuf)),
        )
        .arg(
            option("arm")
                .help("Arm to run [default: all]")
                .value_parser(["direct", "heatherweir", "against"])
                .action(ArgAction::Append),
        )
}

//! Definition of the command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Arg, Command, value_parser};
use daemon::{list_flag, setting_flag};

/// Returns the parser of the command line.
pub fn command() -> Command {
    let path = || {
        Arg::new("path")
            .help("Profile file, or folder of profile files")
            .value_parser(value_parser!(PathBuf))
            .required(true)
    };
    let name = || Arg::new("name").help("Name of the profile").required(true);
    Command::new("heatherweirctl")
        .about("Manages overload profiles and shows the status of the cluster")
        .after_help(
            "Exit status: 0 done, 2 bad input, 3 conflict, 4 pending, 5 unreachable.\n\n\
             Examples:\n  \
             heatherweirctl validate profiles/\n  \
             heatherweirctl --control 10.0.0.1:7000 --token-file token apply profiles/\n  \
             heatherweirctl --control 10.0.0.1:7000 status",
        )
        .subcommand_required(true)
        .arg(
            list_flag("control", "IP:PORT of control replicas", value_parser!(SocketAddr))
                .global(true),
        )
        .arg(
            setting_flag("token-file", "File with the operator token", value_parser!(PathBuf))
                .global(true),
        )
        .arg(
            setting_flag("output", "Output format", ["text", "json"])
                .default_value("text")
                .global(true),
        )
        .subcommand(
            Command::new("validate")
                .about("Validates profile files without contacting the cluster")
                .arg(path()),
        )
        .subcommand(Command::new("diff").about("Shows what apply would change").arg(path()))
        .subcommand(
            Command::new("apply")
                .about("Applies new and changed profile files; idempotent")
                .arg(path())
                .arg(
                    Arg::new("dry-run")
                        .long("dry-run")
                        .help("Shows the changes without applying them")
                        .action(clap::ArgAction::SetTrue),
                ),
        )
        .subcommand(Command::new("get").about("Prints a profile").arg(name()))
        .subcommand(Command::new("list").about("Lists the profiles"))
        .subcommand(
            Command::new("history").about("Lists the stored versions of a profile").arg(name()),
        )
        .subcommand(
            Command::new("retire").about("Retires a profile").arg(name()).arg(
                Arg::new("base-version")
                    .long("base-version")
                    .help("Version that the change is based on [default: the current version]")
                    .value_parser(value_parser!(u64)),
            ),
        )
        .subcommand(
            Command::new("status").about("Shows control replicas, nodes and profile revisions"),
        )
        .subcommand(Command::new("completion").about("Prints a shell completion script").arg(
            Arg::new("shell").required(true).value_parser(value_parser!(clap_complete::Shell)),
        ))
}

//! Implementation of the subcommands.

use std::io;
use std::path::PathBuf;

use clap::ArgMatches;
use daemon::{optional, required, values};
use rpc::ProfileSet;

use crate::client::OperatorClient;
use crate::command_line::command;
use crate::error::CtlError;
use crate::profile_dir::{ProfileFile, read_profile_dir};
use crate::render::{self, OutputFormat};

/// Runs a parsed command line.
///
/// # Errors
///
/// Returns the error of the subcommand; [`CtlError::exit_status`] maps it to an exit status.
pub fn run(matches: &ArgMatches) -> Result<(), CtlError> {
    let Some((name, arguments)) = matches.subcommand() else {
        return Ok(());
    };
    let format = OutputFormat::from_name(&required::<String>(arguments, "output"));
    match name {
        "validate" => validate(arguments, format),
        "diff" => diff(arguments, format),
        "apply" => apply(arguments, format),
        "get" => get(arguments, format),
        "list" => list(arguments, format),
        "history" => history(arguments, format),
        "retire" => retire(arguments, format),
        "status" => status(arguments, format),
        "completion" => {
            let shell: clap_complete::Shell = required(arguments, "shell");
            clap_complete::generate(shell, &mut command(), "heatherweirctl", &mut io::stdout());
            Ok(())
        }
        _ => Ok(()),
    }
}

/// Change of a profile to the contents of a file.
pub(crate) struct PlannedChange {
    pub(crate) file: ProfileFile,
    /// Version that the change replaces; zero for a new profile.
    pub(crate) base_version: u64,
    /// Text of the current version; empty for a new profile.
    pub(crate) current_text: String,
}

fn validate(arguments: &ArgMatches, format: OutputFormat) -> Result<(), CtlError> {
    let files = read_profile_dir(&required::<PathBuf>(arguments, "path"))?;
    render::print_valid_files(format, &files);
    Ok(())
}

fn diff(arguments: &ArgMatches, format: OutputFormat) -> Result<(), CtlError> {
    let changes = plan_changes(&operator_client(arguments)?, arguments)?;
    render::print_plan(format, &changes);
    Ok(())
}

fn apply(arguments: &ArgMatches, format: OutputFormat) -> Result<(), CtlError> {
    let client = operator_client(arguments)?;
    let changes = plan_changes(&client, arguments)?;
    if arguments.get_flag("dry-run") {
        render::print_plan(format, &changes);
        return Ok(());
    }
    if changes.is_empty() {
        render::print_plan(format, &changes);
    }
    let mut first_error: Option<CtlError> = None;
    for change in changes {
        let name = change.file.profile.name.as_str();
        match client.apply(name, change.base_version, &change.file.text) {
            Ok(version) => render::print_new_version(format, name, version),
            Err(error) => {
                eprintln!("heatherweirctl: {error}");
                first_error.get_or_insert(error);
            }
        }
    }
    first_error.map_or(Ok(()), Err)
}

fn get(arguments: &ArgMatches, format: OutputFormat) -> Result<(), CtlError> {
    let name: String = required(arguments, "name");
    let record = operator_client(arguments)?.get(&name)?;
    let record = record.ok_or_else(|| CtlError::Refused(format!("there is no profile {name}")))?;
    render::print_profile(format, &record);
    Ok(())
}

fn list(arguments: &ArgMatches, format: OutputFormat) -> Result<(), CtlError> {
    let set = operator_client(arguments)?.list()?;
    render::print_profiles(format, &set);
    Ok(())
}

fn history(arguments: &ArgMatches, format: OutputFormat) -> Result<(), CtlError> {
    let set = operator_client(arguments)?.history(&required::<String>(arguments, "name"))?;
    render::print_profiles(format, &set);
    Ok(())
}

fn retire(arguments: &ArgMatches, format: OutputFormat) -> Result<(), CtlError> {
    let client = operator_client(arguments)?;
    let name: String = required(arguments, "name");
    let base_version = match optional(arguments, "base-version") {
        Some(version) => version,
        None => client.get(&name)?.map_or(0, |record| record.version),
    };
    let version = client.retire(&name, base_version)?;
    render::print_new_version(format, &name, version);
    Ok(())
}

fn status(arguments: &ArgMatches, format: OutputFormat) -> Result<(), CtlError> {
    let status = operator_client(arguments)?.status()?;
    render::print_status(format, &status);
    Ok(())
}

fn operator_client(arguments: &ArgMatches) -> Result<OperatorClient, CtlError> {
    let control_addresses = values(arguments, "control");
    let token = match optional::<PathBuf>(arguments, "token-file") {
        None => String::new(),
        Some(path) => match std::fs::read_to_string(&path) {
            Ok(text) => text.trim().to_owned(),
            Err(error) => return Err(CtlError::File(path, error)),
        },
    };
    OperatorClient::new(control_addresses, token)
}

/// Returns the files whose profile is new, retired in the cluster or different from the current
/// version.
fn plan_changes(
    client: &OperatorClient,
    arguments: &ArgMatches,
) -> Result<Vec<PlannedChange>, CtlError> {
    let files = read_profile_dir(&required::<PathBuf>(arguments, "path"))?;
    let current_profiles = client.list()?;
    let changes = files.into_iter().filter_map(|file| plan_file(file, &current_profiles));
    Ok(changes.collect())
}

fn plan_file(file: ProfileFile, current_profiles: &ProfileSet) -> Option<PlannedChange> {
    let name = file.profile.name.as_str();
    let record = current_profiles.profiles.iter().find(|record| record.name == name);
    let Some(record) = record else {
        return Some(PlannedChange { file, base_version: 0, current_text: String::new() });
    };
    if !record.is_retired && record.text == file.text {
        return None;
    }
    let current_text = record.text.clone();
    Some(PlannedChange { file, base_version: record.version, current_text })
}

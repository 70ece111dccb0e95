//! The commands themselves.

use std::io;
use std::path::PathBuf;

use clap::ArgMatches;
use daemon::{optional, required, values};
use rpc::ProfileSet;

use crate::client::OperatorClient;
use crate::command_line::command;
use crate::error::CtlError;
use crate::profile_dir::{ProfileFile, read_profile_dir};
use crate::render::{self, Output};

/// Runs a parsed command line.
///
/// # Errors
///
/// Returns an error whose exit status says what kind of failure it is.
pub fn run(matches: &ArgMatches) -> Result<(), CtlError> {
    let Some((name, arguments)) = matches.subcommand() else {
        return Ok(());
    };
    let output = Output::new(&required::<String>(arguments, "output"));
    match name {
        "validate" => validate(arguments, output),
        "diff" => diff(arguments, output),
        "apply" => apply(arguments, output),
        "get" => get(arguments, output),
        "list" => list(arguments, output),
        "history" => history(arguments, output),
        "retire" => retire(arguments, output),
        "status" => status(arguments, output),
        "completion" => {
            let shell: clap_complete::Shell = required(arguments, "shell");
            clap_complete::generate(shell, &mut command(), "heatherweirctl", &mut io::stdout());
            Ok(())
        }
        _ => Ok(()),
    }
}

/// What applying a file would do.
pub(crate) struct PlannedChange {
    pub(crate) file: ProfileFile,
    pub(crate) base_version: u64,
    pub(crate) current_text: String,
}

fn validate(arguments: &ArgMatches, output: Output) -> Result<(), CtlError> {
    let files = read_profile_dir(&required::<PathBuf>(arguments, "path"))?;
    render::files(output, &files);
    Ok(())
}

fn diff(arguments: &ArgMatches, output: Output) -> Result<(), CtlError> {
    let planned = plan(&client(arguments)?, arguments)?;
    render::plan(output, &planned);
    Ok(())
}

fn apply(arguments: &ArgMatches, output: Output) -> Result<(), CtlError> {
    let client = client(arguments)?;
    let planned = plan(&client, arguments)?;
    if arguments.get_flag("dry-run") {
        render::plan(output, &planned);
        return Ok(());
    }
    if planned.is_empty() {
        render::plan(output, &planned);
    }
    let mut worst: Option<CtlError> = None;
    for change in planned {
        let name = change.file.profile.name.as_str();
        match client.apply(name, change.base_version, &change.file.text) {
            Ok(version) => render::changed(output, name, version),
            Err(error) => {
                eprintln!("heatherweirctl: {error}");
                worst.get_or_insert(error);
            }
        }
    }
    worst.map_or(Ok(()), Err)
}

fn get(arguments: &ArgMatches, output: Output) -> Result<(), CtlError> {
    let name: String = required(arguments, "name");
    let record = client(arguments)?.get(&name)?;
    let record = record.ok_or_else(|| CtlError::Refused(format!("there is no profile {name}")))?;
    render::profile(output, &record);
    Ok(())
}

fn list(arguments: &ArgMatches, output: Output) -> Result<(), CtlError> {
    let set = client(arguments)?.list()?;
    render::profiles(output, &set);
    Ok(())
}

fn history(arguments: &ArgMatches, output: Output) -> Result<(), CtlError> {
    let set = client(arguments)?.history(&required::<String>(arguments, "name"))?;
    render::profiles(output, &set);
    Ok(())
}

fn retire(arguments: &ArgMatches, output: Output) -> Result<(), CtlError> {
    let client = client(arguments)?;
    let name: String = required(arguments, "name");
    let base_version = match optional(arguments, "base-version") {
        Some(version) => version,
        None => client.get(&name)?.map_or(0, |record| record.version),
    };
    let version = client.retire(&name, base_version)?;
    render::changed(output, &name, version);
    Ok(())
}

fn status(arguments: &ArgMatches, output: Output) -> Result<(), CtlError> {
    let status = client(arguments)?.status()?;
    render::status(output, &status);
    Ok(())
}

fn client(arguments: &ArgMatches) -> Result<OperatorClient, CtlError> {
    let controls = values(arguments, "control");
    let token = match optional::<PathBuf>(arguments, "token-file") {
        None => String::new(),
        Some(path) => match std::fs::read_to_string(&path) {
            Ok(text) => text.trim().to_owned(),
            Err(error) => return Err(CtlError::File(path, error)),
        },
    };
    OperatorClient::new(controls, token)
}

/// Returns the files whose profile differs from the one in force.
fn plan(client: &OperatorClient, arguments: &ArgMatches) -> Result<Vec<PlannedChange>, CtlError> {
    let files = read_profile_dir(&required::<PathBuf>(arguments, "path"))?;
    let current = client.list()?;
    let planned = files.into_iter().filter_map(|file| plan_file(file, &current));
    Ok(planned.collect())
}

fn plan_file(file: ProfileFile, current: &ProfileSet) -> Option<PlannedChange> {
    let name = file.profile.name.as_str();
    let record = current.profiles.iter().find(|record| record.name == name);
    let Some(record) = record else {
        return Some(PlannedChange { file, base_version: 0, current_text: String::new() });
    };
    if !record.is_retired && record.text == file.text {
        return None;
    }
    let current_text = record.text.clone();
    Some(PlannedChange { file, base_version: record.version, current_text })
}

//! Flags and the run of the program.

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{ArgMatches, Command, value_parser};
use daemon::{Clock, list_flag, optional, required, setting_flag, values};

use crate::error::ReportError;
use crate::fetch::fetch;
use crate::html::to_html;
use crate::summary::summarize;
use crate::text::{to_json, to_text};

const US_PER_S: u64 = 1_000_000;

/// Returns the command line of the program.
pub fn command() -> Command {
    Command::new("heatherweir-report")
        .about("Service-level burn of each service, profile and class")
        .after_help("Example:\n  heatherweir-report --node 10.1.0.11:7003 --html burn.html")
        .arg(
            list_flag("node", "IP:PORT of nodes' admin listeners", value_parser!(SocketAddr))
                .required(true),
        )
        .arg(setting_flag("output", "Form of the output", ["text", "json"]).default_value("text"))
        .arg(setting_flag("html", "File for a page with plots", value_parser!(PathBuf)))
}

/// Makes the report.
///
/// # Errors
///
/// Returns an error if no node answers or the page cannot be written.
pub fn run(matches: &ArgMatches) -> Result<(), ReportError> {
    let addresses: Vec<SocketAddr> = values(matches, "node");
    let mut nodes = Vec::new();
    let mut missing = Vec::new();
    for address in &addresses {
        match fetch(*address) {
            Ok(burn) => nodes.push(burn),
            Err(error) => missing.push(error.to_string()),
        }
    }
    if nodes.is_empty() {
        return Err(ReportError::Nothing(addresses.len()));
    }
    let summary = summarize(Clock::unix_us() / US_PER_S, &nodes, missing);
    match required::<String>(matches, "output").as_str() {
        "json" => println!("{}", to_json(&summary)),
        _ => print!("{}", to_text(&summary)),
    }
    if let Some(path) = optional::<PathBuf>(matches, "html") {
        fs::write(&path, to_html(&summary)?).map_err(|error| ReportError::File(path, error))?;
    }
    Ok(())
}

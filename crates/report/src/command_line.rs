//! Command line of the program and its execution.

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

/// Returns the parser of the command line.
pub fn command() -> Command {
    Command::new("heatherweir-report")
        .about("Reports error-budget burn rates by service, profile, route and class")
        .after_help("Example:\n  heatherweir-report --node 10.1.0.11:7003 --html burn.html")
        .arg(
            list_flag("node", "IP:PORT of the admin listeners of nodes", value_parser!(SocketAddr))
                .required(true),
        )
        .arg(setting_flag("output", "Output format", ["text", "json"]).default_value("text"))
        .arg(setting_flag(
            "html",
            "File to write an HTML page with plots to",
            value_parser!(PathBuf),
        ))
}

/// Fetches the counts of all nodes, prints the report and writes the HTML page, if requested.
///
/// A node that cannot be read is listed in the report as missing.
///
/// # Errors
///
/// Returns an error if every node fails, or if the page cannot be drawn or written.
pub fn run(matches: &ArgMatches) -> Result<(), ReportError> {
    let addresses: Vec<SocketAddr> = values(matches, "node");
    let mut nodes = Vec::new();
    let mut missing_nodes = Vec::new();
    for address in &addresses {
        match fetch(*address) {
            Ok(counts) => nodes.push(counts),
            Err(error) => missing_nodes.push(error.to_string()),
        }
    }
    if nodes.is_empty() {
        return Err(ReportError::NoNodeAnswered(addresses.len()));
    }
    let summary = summarize(Clock::unix_us() / US_PER_S, &nodes, missing_nodes);
    match required::<String>(matches, "output").as_str() {
        "json" => println!("{}", to_json(&summary)),
        _ => print!("{}", to_text(&summary)),
    }
    if let Some(path) = optional::<PathBuf>(matches, "html") {
        fs::write(&path, to_html(&summary)?).map_err(|error| ReportError::File(path, error))?;
    }
    Ok(())
}

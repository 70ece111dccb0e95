//! Prints results of the subcommands as text or JSON.

use rpc::{ProfileRecord, ProfileSet, StatusReply};
use serde_json::json;

use crate::commands::PlannedChange;
use crate::profile_dir::ProfileFile;

/// Output format selected by `--output`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum OutputFormat {
    Text,
    Json,
}

impl OutputFormat {
    /// Returns the format with a name; the parser of the flag allows `text` and `json` only.
    pub(crate) fn from_name(name: &str) -> Self {
        if name == "json" { OutputFormat::Json } else { OutputFormat::Text }
    }
}

pub(crate) fn print_valid_files(format: OutputFormat, files: &[ProfileFile]) {
    for file in files {
        let name = file.profile.name.as_str();
        match format {
            OutputFormat::Text => println!("{}: {name} is valid", file.path.display()),
            OutputFormat::Json => println!("{}", json!({ "path": file.path, "profile": name })),
        }
    }
}

pub(crate) fn print_plan(format: OutputFormat, changes: &[PlannedChange]) {
    for change in changes {
        let name = change.file.profile.name.as_str();
        match format {
            OutputFormat::Text => {
                println!("{name}: based on version {}", change.base_version);
                print_line_diff(&change.current_text, &change.file.text);
            }
            OutputFormat::Json => {
                println!("{}", json!({ "profile": name, "base_version": change.base_version }));
            }
        }
    }
    if changes.is_empty() && format == OutputFormat::Text {
        println!("no changes");
    }
}

pub(crate) fn print_new_version(format: OutputFormat, name: &str, version: u64) {
    match format {
        OutputFormat::Text => println!("{name}: version {version} is in force"),
        OutputFormat::Json => println!("{}", json!({ "profile": name, "version": version })),
    }
}

pub(crate) fn print_profile(format: OutputFormat, record: &ProfileRecord) {
    match format {
        OutputFormat::Text => print!("{}", record.text),
        OutputFormat::Json => println!("{}", profile_json(record)),
    }
}

pub(crate) fn print_profiles(format: OutputFormat, set: &ProfileSet) {
    for record in &set.profiles {
        match format {
            OutputFormat::Text => {
                let state = if record.is_retired { "retired" } else { "in force" };
                println!("{} version={} {state}", record.name, record.version);
            }
            OutputFormat::Json => println!("{}", profile_json(record)),
        }
    }
}

pub(crate) fn print_status(format: OutputFormat, status: &StatusReply) {
    for replica in &status.replicas {
        match format {
            OutputFormat::Text => {
                println!(
                    "replica={:016x} data_centre={} address={} role={} term={} commit={} last={} \
                     contact_age_ms={} revision={}",
                    replica.replica_id,
                    replica.data_centre,
                    replica.address,
                    replica.role,
                    replica.term,
                    replica.commit_index,
                    replica.last_index,
                    replica.contact_age_ms,
                    replica.profile_revision,
                );
                for node in &replica.nodes {
                    println!(
                        "  node={} data_centre={} revision={}",
                        node.vm, node.data_centre, node.profile_revision
                    );
                }
            }
            OutputFormat::Json => println!("{}", replica_json(replica)),
        }
    }
}

fn profile_json(record: &ProfileRecord) -> serde_json::Value {
    json!({
        "profile": record.name,
        "version": record.version,
        "is_retired": record.is_retired,
        "text": record.text,
    })
}

fn replica_json(replica: &rpc::ReplicaStatus) -> serde_json::Value {
    let nodes = replica.nodes.iter().map(|node| {
        json!({
            "vm": node.vm,
            "data_centre": node.data_centre,
            "profile_revision": node.profile_revision,
        })
    });
    json!({
        "replica": format!("{:016x}", replica.replica_id),
        "data_centre": replica.data_centre,
        "address": replica.address,
        "role": replica.role,
        "term": replica.term,
        "commit_index": replica.commit_index,
        "last_index": replica.last_index,
        "snapshot_index": replica.snapshot_index,
        "contact_age_ms": replica.contact_age_ms,
        "profile_revision": replica.profile_revision,
        "is_reachable": replica.is_reachable,
        "nodes": nodes.collect::<Vec<_>>(),
    })
}

/// Prints the lines that occur in only one of the texts. Moved lines are not shown.
fn print_line_diff(before: &str, after: &str) {
    for line in before.lines().filter(|line| !after.lines().any(|other| other == *line)) {
        println!("- {line}");
    }
    for line in after.lines().filter(|line| !before.lines().any(|other| other == *line)) {
        println!("+ {line}");
    }
}

//! Cases of the review. Each plays events against the programs of the deploy file and checks one
//! rule by what clients and instances see.

mod case_late_beat;
mod case_leave;
mod case_pipeline;
mod case_replacements;
mod deployment;
mod http;
mod instance;
mod record;

use std::path::Path;
use std::process::ExitCode;

/// Result of a case.
pub enum Outcome {
    Held,
    Broken,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, root, folder, record] = &arguments[..] else {
        eprintln!("usage: review-case CASE ROOT FOLDER RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |text| text != "0");
    let (root, folder) = (Path::new(root), Path::new(folder));
    let record = record::Record::create(Path::new(record));
    let result = record.and_then(|record| match case.as_str() {
        "late-beat" => case_late_beat::run(root, folder, &record, has_trouble),
        "leave" => case_leave::run(root, folder, &record, has_trouble),
        "pipeline" => case_pipeline::run(root, folder, &record, has_trouble),
        "replacements" => case_replacements::run(root, folder, &record, has_trouble),
        _ => Err(format!("there is no case {case}")),
    });
    match result {
        Ok(Outcome::Held) => ExitCode::SUCCESS,
        Ok(Outcome::Broken) => ExitCode::from(1),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}

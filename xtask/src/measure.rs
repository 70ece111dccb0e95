//! Measures scenarios with real processes.
//!
//! Each scenario runs in several arms, one after another: without heatherweir, with this build and,
//! if requested, with an earlier build.

mod arm;
mod report;
mod scenario;

use std::path::PathBuf;
use std::process::Command;

use crate::codegen::workspace_root;
use crate::error::TaskError;

pub use self::scenario::list;

/// Settings of a measurement.
#[derive(Debug, Clone)]
pub struct MeasureSettings {
    /// Name of the scenario.
    pub scenario: String,
    /// Seed of the generated load.
    pub seed: u64,
    /// Folder with the programs of an earlier build; adds an arm if given.
    pub against: Option<PathBuf>,
    /// File to write the reports to as JSON.
    pub json: Option<PathBuf>,
    /// Names of the arms to run; empty for all.
    pub arms: Vec<String>,
}

/// Runs a scenario in the selected arms and prints the reports.
///
/// In a debug build, runs the same command as a release build instead.
pub fn run(settings: &MeasureSettings) -> Result<(), TaskError> {
    if cfg!(debug_assertions) {
        return run_release(&arguments(settings));
    }
    let scenario = scenario::find(&settings.scenario)?;
    println!("scenario={} seed={} {}", scenario.name, settings.seed, scenario.about);
    let mut reports = Vec::new();
    for arm in arm::all(settings.against.as_deref()) {
        if !settings.arms.is_empty() && !settings.arms.iter().any(|name| name == arm.name()) {
            continue;
        }
        if scenario.fault.needs_relays() && arm.name() != "heatherweir" {
            println!("arm={} skipped: the arm has no relays, which the fault needs", arm.name());
            continue;
        }
        let report = arm::run(&arm, &scenario, settings.seed)?;
        report.print(arm.name());
        reports.push(report.to_json(arm.name()));
    }
    if let Some(path) = &settings.json {
        let document = serde_json::json!({
            "scenario": scenario.name,
            "seed": settings.seed,
            "arms": reports,
        });
        std::fs::write(path, document.to_string())
            .map_err(|error| TaskError::Io(path.clone(), error))?;
    }
    Ok(())
}

/// Returns the command-line arguments that parse to these settings.
fn arguments(settings: &MeasureSettings) -> Vec<String> {
    let mut arguments: Vec<String> = ["measure", "--scenario"].map(str::to_owned).into();
    arguments.push(settings.scenario.clone());
    arguments.extend(["--seed".to_owned(), settings.seed.to_string()]);
    for (flag, path) in [("--against", &settings.against), ("--json", &settings.json)] {
        if let Some(path) = path {
            arguments.extend([flag.to_owned(), path.display().to_string()]);
        }
    }
    for arm in &settings.arms {
        arguments.extend(["--arm".to_owned(), arm.clone()]);
    }
    arguments
}

/// Runs a task in a release build, because measurements of a debug build are meaningless.
pub fn run_release(arguments: &[impl AsRef<std::ffi::OsStr>]) -> Result<(), TaskError> {
    let mut command = Command::new("cargo");
    command.current_dir(workspace_root());
    command.args(["run", "--quiet", "--release", "--locked", "--package", "xtask", "--"]);
    match command.args(arguments).status()?.success() {
        true => Ok(()),
        false => Err(TaskError::Check("the release build or its run failed".to_owned())),
    }
}

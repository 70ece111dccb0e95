//! Measures scenarios with real processes, each arm in the same call.

mod arm;
mod judge;
mod scenario;

use std::path::PathBuf;
use std::process::Command;

use crate::codegen::workspace_root;
use crate::error::ChoreError;

pub use self::scenario::list;

/// What to measure.
#[derive(Debug, Clone)]
pub struct MeasureSettings {
    /// Name of the scenario.
    pub scenario: String,
    /// Seed of the load.
    pub seed: u64,
    /// Folder of an earlier build's programs.
    pub against: Option<PathBuf>,
    /// File for the report as JSON.
    pub json: Option<PathBuf>,
    /// Arms to run; all when empty.
    pub arms: Vec<String>,
}

/// Runs a scenario in every arm and prints the reports.
pub fn run(settings: &MeasureSettings) -> Result<(), ChoreError> {
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
        if scenario.fault.is_of_links() && arm.name() != "heatherweir" {
            println!("arm={} left out: faults of links need relays", arm.name());
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
            .map_err(|error| ChoreError::Io(path.clone(), error))?;
    }
    Ok(())
}

/// Returns the command line that gives these settings.
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

/// Repeats a chore with optimized programs; figures of a debug build mean nothing.
pub fn run_release(arguments: &[impl AsRef<std::ffi::OsStr>]) -> Result<(), ChoreError> {
    let mut command = Command::new("cargo");
    command.current_dir(workspace_root());
    command.args(["run", "--quiet", "--release", "--locked", "--package", "xtask", "--"]);
    match command.args(arguments).status()?.success() {
        true => Ok(()),
        false => Err(ChoreError::Check("the optimized run failed".to_owned())),
    }
}

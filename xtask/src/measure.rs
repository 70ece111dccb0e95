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
        return run_release(settings);
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

/// Repeats the command with optimized programs; figures of a debug build mean nothing.
fn run_release(settings: &MeasureSettings) -> Result<(), ChoreError> {
    let mut command = Command::new("cargo");
    command.current_dir(workspace_root());
    command.args(["run", "--quiet", "--release", "--locked", "--package", "xtask", "--"]);
    command.args(["measure", "--scenario", &settings.scenario]);
    command.args(["--seed", &settings.seed.to_string()]);
    if let Some(against) = &settings.against {
        command.arg("--against").arg(against);
    }
    if let Some(json) = &settings.json {
        command.arg("--json").arg(json);
    }
    for arm in &settings.arms {
        command.args(["--arm", arm]);
    }
    match command.status()?.success() {
        true => Ok(()),
        false => Err(ChoreError::Check(format!("scenario {}", settings.scenario))),
    }
}

//! Runs soaks seed by seed.

use std::time::Duration;

use testbed::soak::{SoakReport, SoakSettings, run as soak};

use crate::error::ChoreError;

/// Seeds to run, one after another.
pub(crate) struct SoakSeries {
    pub(crate) first_seed: u64,
    pub(crate) seeds: u64,
    pub(crate) seconds: u64,
    pub(crate) callers: usize,
}

pub(crate) fn run(series: &SoakSeries) -> Result<(), ChoreError> {
    let mut failed = Vec::new();
    for seed in series.first_seed..series.first_seed + series.seeds {
        let length = Duration::from_secs(series.seconds);
        let report = soak(SoakSettings { seed, length, callers: series.callers })?;
        println!(
            "seed {seed}: {} faults, {} of {} requests served, {} violations",
            report.faults.len(),
            report.served,
            report.requests,
            report.violations.len()
        );
        if !report.violations.is_empty() {
            print_details(&report);
            failed.push(seed.to_string());
        }
    }
    match failed.is_empty() {
        true => Ok(()),
        false => Err(ChoreError::Check(format!("seeds {}", failed.join(", ")))),
    }
}

fn print_details(report: &SoakReport) {
    for (at_ms, fault) in &report.faults {
        println!("  {at_ms} ms: {fault}");
    }
    for violation in &report.violations {
        println!("  violated: {violation}");
    }
}

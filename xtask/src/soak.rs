//! Runs the soak test of the testbed with consecutive seeds.

use std::time::Duration;

use testbed::soak::{SoakReport, SoakSettings, run as soak};

use crate::error::TaskError;

/// Settings of a series of soak tests.
pub(crate) struct SoakSeries {
    /// Seed of the first run; each further run adds one.
    pub(crate) first_seed: u64,
    /// Number of runs.
    pub(crate) seed_count: u64,
    /// Duration of fault injection in each run, in seconds.
    pub(crate) fault_duration_s: u64,
    /// Number of concurrent callers.
    pub(crate) callers: usize,
}

/// Runs the soak tests and prints the faults and violations of each failed run.
///
/// # Errors
///
/// Returns an error if a run cannot be carried out or violates a guarantee.
pub(crate) fn run(series: &SoakSeries) -> Result<(), TaskError> {
    let mut failed_seeds = Vec::new();
    for seed in series.first_seed..series.first_seed + series.seed_count {
        let fault_duration = Duration::from_secs(series.fault_duration_s);
        let report = soak(SoakSettings { seed, fault_duration, callers: series.callers })?;
        println!(
            "seed {seed}: {} faults, {} of {} requests served, {} violations",
            report.faults.len(),
            report.served,
            report.requests,
            report.violations.len()
        );
        if !report.violations.is_empty() {
            print_faults_and_violations(&report);
            failed_seeds.push(seed.to_string());
        }
    }
    match failed_seeds.is_empty() {
        true => Ok(()),
        false => Err(TaskError::Check(format!(
            "guarantees violated with seeds {}",
            failed_seeds.join(", ")
        ))),
    }
}

fn print_faults_and_violations(report: &SoakReport) {
    for (at_ms, fault) in &report.faults {
        println!("  {at_ms} ms: {fault}");
    }
    for violation in &report.violations {
        println!("  violated: {violation}");
    }
}

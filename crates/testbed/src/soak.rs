//! Randomized soak: the real programs under a seeded series of overlapping faults, judged by what
//! callers, operators and upstreams see.

mod faults;
mod judge;
mod traffic;

use std::time::{Duration, Instant};

use ctl::CtlError;
use quick_error::quick_error;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::caller::Caller;
use crate::cluster::{Cluster, ClusterError};
use crate::deployment::Deployment;
use crate::process::{ProcessError, wait_until};
use crate::soak::faults::Faults;
use crate::soak::judge::Ledger;
use crate::soak::traffic::Traffic;
use crate::upstream_client::UpstreamClientError;

/// Time in which reads are served again after the last fault.
const RECOVERY: Duration = Duration::from_secs(10);
/// Time without faults before the judgement, in which work in flight ends. Longer than the deadline of a
/// purchase.
const SETTLE: Duration = Duration::from_secs(4);
const STEP: Duration = Duration::from_millis(20);

/// A soak to run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SoakSettings {
    /// Seed of the faults and of the callers.
    pub seed: u64,
    /// Time in which faults come.
    pub length: Duration,
    /// Callers that send at once.
    pub callers: usize,
}

/// What a soak saw.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct SoakReport {
    /// Faults in order, each with the time since the start in milliseconds.
    pub faults: Vec<(u64, String)>,
    /// Requests that were answered with success.
    pub served: usize,
    /// Requests in all.
    pub requests: usize,
    /// Promises that did not hold.
    pub violations: Vec<String>,
}

quick_error! {
    /// A soak that could not be run.
    #[derive(Debug)]
    pub enum SoakError {
        /// The cluster failed.
        Cluster(source: ClusterError) {
            display("{}", source)
            from()
        }
        /// A process could not be signalled.
        Process(source: ProcessError) {
            display("{}", source)
            from()
        }
        /// An upstream did not answer.
        Upstream(source: UpstreamClientError) {
            display("{}", source)
            from()
        }
        /// The operator's client failed.
        Operator(source: CtlError) {
            display("{}", source)
            from()
        }
    }
}

/// Runs a soak.
///
/// # Errors
///
/// Returns an error if the cluster cannot be started or judged. A promise that did not hold is no error; it
/// stands in the report.
pub fn run(settings: SoakSettings) -> Result<SoakReport, SoakError> {
    let mut cluster = Cluster::start_relayed(Deployment::pair())?;
    let traffic = Traffic::start(&cluster, settings)?;
    let mut faults = Faults::new(StdRng::seed_from_u64(settings.seed));
    let started = Instant::now();
    while started.elapsed() < settings.length {
        faults.step(&mut cluster, started.elapsed())?;
        std::thread::sleep(STEP);
    }
    faults.end(&mut cluster)?;
    let mut report = SoakReport { faults: faults.history().to_vec(), ..SoakReport::default() };
    judge_recovery(&cluster, &mut report);
    std::thread::sleep(SETTLE);
    let ledger = traffic.stop();
    judge(&mut cluster, &ledger, &mut report)?;
    Ok(report)
}

fn judge_recovery(cluster: &Cluster, report: &mut SoakReport) {
    let caller = Caller::new();
    for entry in cluster.entries() {
        let is_served = || {
            let reply = caller.get(entry, cluster.deployment.read_path);
            reply.is_ok_and(|reply| reply.status == 200)
        };
        if wait_until("reads are served", RECOVERY, is_served).is_err() {
            report
                .violations
                .push(format!("{entry} serves no reads {RECOVERY:?} after the faults"));
        }
    }
}

fn judge(cluster: &mut Cluster, ledger: &Ledger, report: &mut SoakReport) -> Result<(), SoakError> {
    report.served = ledger.served();
    report.requests = ledger.requests();
    report.violations.extend(ledger.violations(&judge::runs(cluster)?));
    report.violations.extend(judge::lost_changes(cluster, ledger.accepted_version)?);
    report.violations.extend(judge::ended_processes(cluster));
    Ok(())
}

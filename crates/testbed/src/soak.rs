//! Randomized soak test: runs the real programs under a seeded sequence of overlapping faults and
//! checks the results that callers, operators and upstreams have recorded.

mod checker;
mod faults;
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
use crate::soak::checker::TrafficRecord;
use crate::soak::faults::FaultSchedule;
use crate::soak::traffic::Traffic;
use crate::upstream_client::UpstreamClientError;

/// Time within which reads must succeed again after the last fault.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(10);
/// Time without faults before the checks, so that requests in flight can end. Longer than the
/// deadline of a purchase.
const DRAIN_TIME: Duration = Duration::from_secs(4);
const STEP_INTERVAL: Duration = Duration::from_millis(20);

/// Settings of a soak test.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SoakSettings {
    /// Seed of the faults and of the callers.
    pub seed: u64,
    /// Time during which faults are injected.
    pub fault_duration: Duration,
    /// Number of concurrent callers.
    pub callers: usize,
}

/// Result of a soak test.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct SoakReport {
    /// Injected faults in order, each with the time since the start in milliseconds.
    pub faults: Vec<(u64, String)>,
    /// Number of attempts of reads and purchases that succeeded.
    pub served: usize,
    /// Total number of attempts of reads and purchases.
    pub requests: usize,
    /// Descriptions of the violated guarantees.
    pub violations: Vec<String>,
}

quick_error! {
    /// Failure to run a soak test.
    #[derive(Debug)]
    pub enum SoakError {
        /// The cluster could not be started or controlled.
        Cluster(source: ClusterError) {
            display("{}", source)
            from()
        }
        /// A process could not be signalled.
        Process(source: ProcessError) {
            display("{}", source)
            from()
        }
        /// An upstream did not respond.
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

/// Runs a soak test.
///
/// # Errors
///
/// Returns an error if the cluster cannot be started, controlled or checked. A violated guarantee
/// is not an error; the report lists it.
pub fn run(settings: SoakSettings) -> Result<SoakReport, SoakError> {
    let mut cluster = Cluster::start_relayed(Deployment::pair())?;
    let traffic = Traffic::start(&cluster, settings)?;
    let mut faults = FaultSchedule::new(StdRng::seed_from_u64(settings.seed));
    let started = Instant::now();
    while started.elapsed() < settings.fault_duration {
        faults.step(&mut cluster, started.elapsed())?;
        std::thread::sleep(STEP_INTERVAL);
    }
    faults.clear_all(&mut cluster)?;
    let mut report = SoakReport { faults: faults.history().to_vec(), ..SoakReport::default() };
    check_recovery(&cluster, &mut report);
    std::thread::sleep(DRAIN_TIME);
    let record = traffic.stop();
    check_guarantees(&mut cluster, &record, &mut report)?;
    Ok(report)
}

fn check_recovery(cluster: &Cluster, report: &mut SoakReport) {
    let caller = Caller::new();
    for entry_address in cluster.entry_addresses() {
        let is_served = || {
            let reply = caller.get(entry_address, cluster.deployment.read_path);
            reply.is_ok_and(|reply| reply.status == 200)
        };
        if wait_until("reads are served", RECOVERY_TIMEOUT, is_served).is_err() {
            report.violations.push(format!(
                "{entry_address} serves no reads {RECOVERY_TIMEOUT:?} after the faults"
            ));
        }
    }
}

fn check_guarantees(
    cluster: &mut Cluster,
    record: &TrafficRecord,
    report: &mut SoakReport,
) -> Result<(), SoakError> {
    report.served = record.served();
    report.requests = record.requests();
    report.violations.extend(record.violations(&checker::runs(cluster)?));
    report.violations.extend(checker::lost_changes(cluster, record.accepted_version)?);
    report.violations.extend(checker::ended_processes(cluster));
    Ok(())
}

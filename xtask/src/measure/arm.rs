//! Arms of a measurement: without the layer, with this build, with an earlier build.

use std::path::{Path, PathBuf};
use std::time::Duration;

use testbed::cluster::{Cluster, ClusterError};
use testbed::load::{Load, LoadSettings};
use testbed::upstream_client;

use super::judge::Report;
use super::scenario::{Fault, Scenario};
use crate::error::ChoreError;

const CALLER_ATTEMPTS: u32 = 4;
const CALLER_RETRY_PAUSE: Duration = Duration::from_millis(100);
const CALLER_PATIENCE: Duration = Duration::from_secs(3);
/// Time for an orderly end of an upstream and its start.
const LEAVE_LIMIT: Duration = Duration::from_secs(15);

/// One arm.
#[derive(Debug, Clone)]
pub enum Arm {
    /// Upstreams call each other, with the usual retries of a client.
    Direct,
    /// This build.
    Heatherweir,
    /// The programs of an earlier build.
    Against(PathBuf),
}

impl Arm {
    /// Returns the name in reports.
    pub fn name(&self) -> &'static str {
        match self {
            Arm::Direct => "direct",
            Arm::Heatherweir => "heatherweir",
            Arm::Against(_) => "against",
        }
    }
}

/// Returns the arms in the order in which they run.
pub fn all(against: Option<&Path>) -> Vec<Arm> {
    let mut arms = vec![Arm::Direct, Arm::Heatherweir];
    arms.extend(against.map(|dir| Arm::Against(dir.to_path_buf())));
    arms
}

/// Runs a scenario in one arm.
pub fn run(arm: &Arm, scenario: &Scenario, seed: u64) -> Result<Report, ChoreError> {
    let deployment = scenario.deployment.clone();
    let mut cluster = match arm {
        Arm::Direct => Cluster::start_direct(deployment)?,
        Arm::Heatherweir => Cluster::start(deployment)?,
        Arm::Against(programs) => Cluster::start_build(deployment, programs)?,
    };
    let load = Load::start(LoadSettings {
        entries: cluster.entries(),
        kinds: scenario.kinds.clone(),
        phases: scenario.phases.clone(),
        attempts: CALLER_ATTEMPTS,
        retry_pause: CALLER_RETRY_PAUSE,
        patience: CALLER_PATIENCE,
        seed,
    })?;
    load.wait_until(scenario.fault_from);
    begin(&scenario.fault, &mut cluster)?;
    if let Fault::Leave { services } = &scenario.fault {
        leave_in_turn(&mut cluster, services)?;
    }
    load.wait_until(scenario.fault_until);
    end(&scenario.fault, &mut cluster)?;
    let samples = load.finish();
    let mut records = Vec::new();
    for instance in &cluster.instances {
        // A record is gone with its process.
        if let Ok(record) = upstream_client::record(instance.upstream_admin) {
            records.push((instance.service.clone(), record));
        }
    }
    Ok(Report::new(scenario, samples, &records))
}

fn begin(fault: &Fault, cluster: &mut Cluster) -> Result<(), ChoreError> {
    match fault {
        Fault::None | Fault::Leave { .. } => {}
        Fault::Slow { service, factor } => {
            for instance in cluster.instances_of(service) {
                upstream_client::change(instance.upstream_admin, |behaviour| {
                    behaviour.service_time_us *= factor;
                })?;
            }
        }
        Fault::Kill { service, count } => {
            let victims =
                cluster.instances.iter_mut().filter(|instance| instance.service == *service);
            for instance in victims.take(*count) {
                instance.upstream.kill();
            }
        }
        Fault::Fail { service, percent } => {
            for instance in cluster.instances_of(service) {
                upstream_client::change(instance.upstream_admin, |behaviour| {
                    behaviour.fail_percent = *percent;
                })?;
            }
        }
    }
    Ok(())
}

fn end(fault: &Fault, cluster: &mut Cluster) -> Result<(), ChoreError> {
    match fault {
        Fault::None | Fault::Leave { .. } => {}
        Fault::Slow { service, factor } => {
            for instance in cluster.instances_of(service) {
                upstream_client::change(instance.upstream_admin, |behaviour| {
                    behaviour.service_time_us /= factor;
                })?;
            }
        }
        Fault::Kill { service, count } => {
            let indices: Vec<usize> = (0..cluster.instances.len())
                .filter(|index| cluster.instances[*index].service == *service)
                .take(*count)
                .collect();
            for index in indices {
                cluster.restart_upstream(index)?;
            }
        }
        Fault::Fail { service, .. } => {
            for instance in cluster.instances_of(service) {
                upstream_client::change(instance.upstream_admin, |behaviour| {
                    behaviour.fail_percent = 0;
                })?;
            }
        }
    }
    Ok(())
}

/// Stops the first upstream of each service in an orderly way and starts it again.
fn leave_in_turn(cluster: &mut Cluster, services: &[&str]) -> Result<(), ChoreError> {
    for service in services {
        let index = cluster.instances.iter().position(|instance| instance.service == *service);
        let Some(index) = index else { continue };
        let instance = &mut cluster.instances[index];
        instance.upstream.terminate()?;
        let status = instance.upstream.wait(LEAVE_LIMIT)?;
        if !status.success() {
            return Err(ClusterError::Exit(instance.vm.clone(), status).into());
        }
        cluster.restart_upstream(index)?;
    }
    Ok(())
}

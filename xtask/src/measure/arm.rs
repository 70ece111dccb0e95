//! Arms of a measurement: without the layer, with this build, with an earlier build.

use std::path::{Path, PathBuf};
use std::time::Duration;

use testbed::cluster::{Cluster, ClusterError, Instance};
use testbed::load::{Load, LoadSettings};
use testbed::process::Process;
use testbed::upstream::Behaviour;
use testbed::upstream_client;

use super::judge::Report;
use super::scenario::{Fault, POISON_PATH, Scenario};
use crate::error::ChoreError;

const CALLER_ATTEMPTS: u32 = 4;
const CALLER_RETRY_PAUSE: Duration = Duration::from_millis(100);
const CALLER_PATIENCE: Duration = Duration::from_secs(3);
const SUPERVISION_INTERVAL: Duration = Duration::from_millis(20);
const RESTART_ATTEMPTS: usize = 50;
const LIE_FACTOR: u32 = 10;
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
        Arm::Heatherweir if scenario.fault.is_of_links() => Cluster::start_relayed(deployment)?,
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
    match &scenario.fault {
        Fault::Leave { services } => leave_in_turn(&mut cluster, services)?,
        Fault::Poison { .. } => supervise(&mut cluster, &load, scenario)?,
        _ => {}
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
    let crashes = cluster.instances.iter().map(|instance| crashes_of(&instance.upstream));
    Ok(Report::new(scenario, samples, &records, &crashes.flatten().collect::<Vec<_>>()))
}

/// Returns the paths of the requests that crashed an upstream, as its log names them.
fn crashes_of(upstream: &Process) -> Vec<String> {
    let text = upstream.log_text();
    let paths = text.lines().filter_map(|line| line.strip_prefix("crash path="));
    paths.map(str::to_owned).collect()
}

/// Starts dead upstreams again until the fault ends.
fn supervise(cluster: &mut Cluster, load: &Load, scenario: &Scenario) -> Result<(), ChoreError> {
    while load.elapsed() < scenario.fault_until {
        for index in 0..cluster.instances.len() {
            if !cluster.instances[index].upstream.is_running() {
                cluster.restart_upstream(index)?;
                begin_at(&scenario.fault, &cluster.instances[index]);
            }
        }
        std::thread::sleep(SUPERVISION_INTERVAL);
    }
    Ok(())
}

/// Puts a restarted upstream under the fault, as soon as it answers.
fn begin_at(fault: &Fault, instance: &Instance) {
    let Fault::Poison { service } = fault else { return };
    if instance.service != *service {
        return;
    }
    for _ in 0..RESTART_ATTEMPTS {
        let crashing = |behaviour: &mut Behaviour| {
            behaviour.crash_on = Some(POISON_PATH.to_owned());
        };
        if upstream_client::change(instance.upstream_admin, crashing).is_ok() {
            return;
        }
        std::thread::sleep(SUPERVISION_INTERVAL);
    }
}

fn begin(fault: &Fault, cluster: &mut Cluster) -> Result<(), ChoreError> {
    match fault {
        Fault::None | Fault::Leave { .. } => {}
        Fault::Slow { service, factor } => {
            cluster.change_behaviour(service, |behaviour| behaviour.service_time_us *= factor)?;
        }
        Fault::Partition { data_centre } => {
            if let Some(links) = cluster.links() {
                links.isolate(data_centre, cluster.deployment.data_centres);
            }
        }
        Fault::Silence => {
            if let Some(links) = cluster.links() {
                links.silence_open_connections();
            }
        }
        Fault::Poison { service } => {
            cluster.change_behaviour(service, |behaviour| {
                behaviour.crash_on = Some(POISON_PATH.to_owned());
            })?;
        }
        Fault::Lie { service } => {
            if let Some(instance) = cluster.instances_of(service).next() {
                upstream_client::change(instance.upstream_admin, |behaviour| {
                    behaviour.announced_slots = Some(behaviour.slots as u32 * LIE_FACTOR);
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
            cluster.change_behaviour(service, |behaviour| behaviour.fail_percent = *percent)?;
        }
    }
    Ok(())
}

fn end(fault: &Fault, cluster: &mut Cluster) -> Result<(), ChoreError> {
    match fault {
        Fault::None | Fault::Leave { .. } | Fault::Silence => {}
        Fault::Slow { service, factor } => {
            cluster.change_behaviour(service, |behaviour| behaviour.service_time_us /= factor)?;
        }
        Fault::Partition { .. } => {
            if let Some(links) = cluster.links() {
                links.heal();
            }
        }
        Fault::Poison { service } => {
            cluster.change_behaviour(service, |behaviour| behaviour.crash_on = None)?;
        }
        Fault::Lie { service } => {
            cluster.change_behaviour(service, |behaviour| behaviour.announced_slots = None)?;
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
            cluster.change_behaviour(service, |behaviour| behaviour.fail_percent = 0)?;
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

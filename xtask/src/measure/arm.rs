//! Arms of a measurement: without heatherweir, with this build and with an earlier build.

use std::path::{Path, PathBuf};
use std::time::Duration;

use testbed::cluster::{Cluster, ClusterError, Instance};
use testbed::load::{Load, LoadSettings};
use testbed::process::Process;
use testbed::upstream::Behaviour;
use testbed::upstream_client;

use super::report::Report;
use super::scenario::{Fault, POISON_PATH, Scenario};
use crate::error::TaskError;

const CALLER_ATTEMPTS: u32 = 4;
const CALLER_RETRY_DELAY: Duration = Duration::from_millis(100);
const CALLER_TIMEOUT: Duration = Duration::from_secs(3);
const RESTART_CHECK_INTERVAL: Duration = Duration::from_millis(20);
const REINJECTION_ATTEMPTS: usize = 50;
const SLOT_INFLATION_FACTOR: u32 = 10;
/// Maximum time for the graceful shutdown of an upstream.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(15);

/// Variant of the system that a scenario runs with.
#[derive(Debug, Clone)]
pub enum Arm {
    /// Upstreams call each other directly, with the retries of a plain client.
    Direct,
    /// Calls pass through nodes of this build.
    Heatherweir,
    /// Calls pass through nodes of an earlier build, whose programs are in this folder.
    Against(PathBuf),
}

impl Arm {
    /// Returns the name on the command line and in reports.
    pub fn name(&self) -> &'static str {
        match self {
            Arm::Direct => "direct",
            Arm::Heatherweir => "heatherweir",
            Arm::Against(_) => "against",
        }
    }
}

/// Returns the arms in their order of execution; `against` is the folder of an earlier build.
pub fn all(against: Option<&Path>) -> Vec<Arm> {
    let mut arms = vec![Arm::Direct, Arm::Heatherweir];
    arms.extend(against.map(|dir| Arm::Against(dir.to_path_buf())));
    arms
}

/// Runs a scenario in one arm and evaluates it.
///
/// # Errors
///
/// Returns an error if a process does not start, stop or answer as expected.
pub fn run(arm: &Arm, scenario: &Scenario, seed: u64) -> Result<Report, TaskError> {
    let deployment = scenario.deployment.clone();
    let mut cluster = match arm {
        Arm::Direct => Cluster::start_direct(deployment)?,
        Arm::Heatherweir if scenario.fault.needs_relays() => Cluster::start_relayed(deployment)?,
        Arm::Heatherweir => Cluster::start(deployment)?,
        Arm::Against(programs_dir) => Cluster::start_with_programs(deployment, programs_dir)?,
    };
    let load = Load::start(LoadSettings {
        entry_addresses: cluster.entry_addresses(),
        kinds: scenario.kinds.clone(),
        phases: scenario.phases.clone(),
        max_attempts: CALLER_ATTEMPTS,
        retry_delay: CALLER_RETRY_DELAY,
        answer_timeout: CALLER_TIMEOUT,
        seed,
    })?;
    load.wait_until(scenario.fault_from);
    inject_fault(&scenario.fault, &mut cluster)?;
    match &scenario.fault {
        Fault::RollingRestart { services } => restart_in_turn(&mut cluster, services)?,
        Fault::Poison { .. } => restart_crashed_upstreams(&mut cluster, &load, scenario)?,
        _ => {}
    }
    load.wait_until(scenario.fault_until);
    clear_fault(&scenario.fault, &mut cluster)?;
    let samples = load.finish();
    let mut records = Vec::new();
    for instance in &cluster.instances {
        // Fails for an upstream that is not running: its record is kept in memory only.
        if let Ok(record) = upstream_client::record(instance.upstream_admin) {
            records.push((instance.service.clone(), record));
        }
    }
    let crashes = cluster.instances.iter().map(|instance| crash_paths(&instance.upstream));
    Ok(Report::new(scenario, samples, &records, &crashes.flatten().collect::<Vec<_>>()))
}

/// Returns the paths of the requests that crashed an upstream, according to its log.
fn crash_paths(upstream: &Process) -> Vec<String> {
    let text = upstream.log_text();
    let paths = text.lines().filter_map(|line| line.strip_prefix("crash path="));
    paths.map(str::to_owned).collect()
}

/// Restarts crashed upstreams until the fault ends.
fn restart_crashed_upstreams(
    cluster: &mut Cluster,
    load: &Load,
    scenario: &Scenario,
) -> Result<(), TaskError> {
    while load.elapsed() < scenario.fault_until {
        for index in 0..cluster.instances.len() {
            if !cluster.instances[index].upstream.is_running() {
                cluster.restart_upstream(index)?;
                reinject_fault(&scenario.fault, &cluster.instances[index]);
            }
        }
        std::thread::sleep(RESTART_CHECK_INTERVAL);
    }
    Ok(())
}

/// Injects [`Fault::Poison`] into a restarted upstream again, as soon as its admin listener answers.
/// Does nothing for other faults.
fn reinject_fault(fault: &Fault, instance: &Instance) {
    let Fault::Poison { service } = fault else { return };
    if instance.service != *service {
        return;
    }
    for _ in 0..REINJECTION_ATTEMPTS {
        let set_crash_path = |behaviour: &mut Behaviour| {
            behaviour.crash_on = Some(POISON_PATH.to_owned());
        };
        if upstream_client::change(instance.upstream_admin, set_crash_path).is_ok() {
            return;
        }
        std::thread::sleep(RESTART_CHECK_INTERVAL);
    }
}

/// Injects a fault into a cluster. Does nothing for a rolling restart, which [`run`] performs.
fn inject_fault(fault: &Fault, cluster: &mut Cluster) -> Result<(), TaskError> {
    match fault {
        Fault::None | Fault::RollingRestart { .. } => {}
        Fault::Slow { service, factor } => {
            cluster.change_behaviour(service, |behaviour| behaviour.service_time_us *= factor)?;
        }
        Fault::Partition { data_centre } => {
            if let Some(links) = cluster.links() {
                links.isolate(data_centre, cluster.deployment.data_centres);
            }
        }
        Fault::SilentConnections => {
            if let Some(links) = cluster.links() {
                links.silence_open_connections();
            }
        }
        Fault::Poison { service } => {
            cluster.change_behaviour(service, |behaviour| {
                behaviour.crash_on = Some(POISON_PATH.to_owned());
            })?;
        }
        Fault::InflatedSlots { service } => {
            if let Some(instance) = cluster.instances_of(service).next() {
                upstream_client::change(instance.upstream_admin, |behaviour| {
                    behaviour.announced_slots =
                        Some(behaviour.slots as u32 * SLOT_INFLATION_FACTOR);
                })?;
            }
        }
        Fault::Kill { service, count } => {
            let upstreams_to_kill =
                cluster.instances.iter_mut().filter(|instance| instance.service == *service);
            for instance in upstreams_to_kill.take(*count) {
                instance.upstream.kill();
            }
        }
        Fault::Fail { service, percent } => {
            cluster.change_behaviour(service, |behaviour| behaviour.fail_percent = *percent)?;
        }
    }
    Ok(())
}

/// Ends a fault. Silent connections stay silent.
fn clear_fault(fault: &Fault, cluster: &mut Cluster) -> Result<(), TaskError> {
    match fault {
        Fault::None | Fault::RollingRestart { .. } | Fault::SilentConnections => {}
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
        Fault::InflatedSlots { service } => {
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

/// Shuts down the first upstream of each service gracefully and restarts it, one service at a time.
fn restart_in_turn(cluster: &mut Cluster, services: &[&str]) -> Result<(), TaskError> {
    for service in services {
        let index = cluster.instances.iter().position(|instance| instance.service == *service);
        let Some(index) = index else { continue };
        let instance = &mut cluster.instances[index];
        instance.upstream.terminate()?;
        let status = instance.upstream.wait(SHUTDOWN_TIMEOUT)?;
        if !status.success() {
            return Err(ClusterError::Exit(instance.vm.clone(), status).into());
        }
        cluster.restart_upstream(index)?;
    }
    Ok(())
}

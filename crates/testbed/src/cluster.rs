//! All processes of a small deployment on loopback.

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use ctl::{CtlError, OperatorClient, read_profile_dir};
use quick_error::quick_error;
use tempfile::TempDir;

use crate::deployment::{Deployment, ServiceSpec};
use crate::process::{Process, ProcessError, free_address, program_dir, wait_until};

const READY_LIMIT: Duration = Duration::from_secs(30);
const STOP_LIMIT: Duration = Duration::from_secs(30);
const STATUS_TIMEOUT: Duration = Duration::from_secs(2);
/// Token of the operators of a test cluster.
pub const OPERATOR_TOKEN: &str = "testbed-operator";

quick_error! {
    /// Failure to start or stop a cluster.
    #[derive(Debug)]
    pub enum ClusterError {
        /// A process failed.
        Process(source: ProcessError) {
            display("{}", source)
            from()
        }
        /// An operator command failed.
        Operator(source: CtlError) {
            display("{}", source)
            from()
        }
        /// A file could not be written.
        Io(source: std::io::Error) {
            display("{}", source)
            from()
        }
        /// A process ended with a failure.
        Exit(name: String, status: std::process::ExitStatus) {
            display("{} ended with {}", name, status)
        }
    }
}

/// A control replica of a cluster.
#[derive(Debug)]
pub struct ControlReplica {
    /// Process.
    pub process: Process,
    /// Data centre.
    pub data_centre: String,
    /// Address for nodes and replicas.
    pub address: SocketAddr,
    /// Address of the admin listener.
    pub admin: SocketAddr,
    /// Folder of its files.
    pub data_dir: PathBuf,
}

/// A node and the upstream beside it.
#[derive(Debug)]
pub struct Instance {
    /// VM.
    pub vm: String,
    /// Service.
    pub service: String,
    /// Data centre.
    pub data_centre: String,
    /// Node process.
    pub node: Process,
    /// Upstream process.
    pub upstream: Process,
    /// Listener for callers.
    pub caller: SocketAddr,
    /// Listener for the upstream.
    pub egress: SocketAddr,
    /// Listener for nodes.
    pub peer: SocketAddr,
    /// Admin listener of the node.
    pub node_admin: SocketAddr,
    /// Listener of the upstream.
    pub upstream_listen: SocketAddr,
    /// Admin listener of the upstream.
    pub upstream_admin: SocketAddr,
    node_arguments: Vec<String>,
    upstream_arguments: Vec<String>,
}

/// Running processes of a deployment.
#[derive(Debug)]
pub struct Cluster {
    /// Deployment.
    pub deployment: Deployment,
    /// Control replicas, one in each data centre.
    pub controls: Vec<ControlReplica>,
    /// Instances of all services.
    pub instances: Vec<Instance>,
    programs: PathBuf,
    dir: TempDir,
    member_arguments: Vec<String>,
}

impl Cluster {
    /// Starts every process, puts the profiles in force and waits until all is ready.
    ///
    /// # Errors
    ///
    /// Returns an error if a process cannot be started or does not become ready.
    pub fn start(deployment: Deployment) -> Result<Self, ClusterError> {
        let mut cluster = Self::start_controls(deployment)?;
        cluster.apply_profiles()?;
        cluster.start_instances()?;
        cluster.wait_ready()?;
        Ok(cluster)
    }

    /// Starts the control replicas only.
    ///
    /// # Errors
    ///
    /// Returns an error if a process cannot be started.
    pub fn start_controls(deployment: Deployment) -> Result<Self, ClusterError> {
        let programs = program_dir()?;
        let dir = TempDir::new()?;
        fs::write(dir.path().join("token"), OPERATOR_TOKEN)?;
        let mut members = Vec::new();
        for data_centre in deployment.data_centres {
            members.push((*data_centre, free_address()?));
        }
        let member_arguments = members
            .iter()
            .flat_map(|(data_centre, address)| {
                ["--member".to_owned(), format!("{data_centre}@{address}")]
            })
            .collect();
        let mut cluster = Self {
            deployment,
            controls: Vec::new(),
            instances: Vec::new(),
            programs,
            dir,
            member_arguments,
        };
        for (data_centre, address) in members {
            let replica = cluster.start_control(data_centre, address, free_address()?)?;
            cluster.controls.push(replica);
        }
        Ok(cluster)
    }

    /// Returns a client with the operators' token.
    ///
    /// # Errors
    ///
    /// Returns an error if its runtime cannot be started.
    pub fn operator(&self) -> Result<OperatorClient, ClusterError> {
        let controls: Vec<SocketAddr> = self.controls.iter().map(|c| c.address).collect();
        Ok(OperatorClient::new(controls, OPERATOR_TOKEN)?)
    }

    /// Puts every profile of the deployment in force, trying until there is a quorum.
    ///
    /// # Errors
    ///
    /// Returns an error if a profile is refused.
    pub fn apply_profiles(&self) -> Result<(), ClusterError> {
        let operator = self.operator()?;
        for file in read_profile_dir(&self.deployment.profile_dir)? {
            let name = file.profile.name.as_str();
            let mut result = Ok(0);
            wait_until(format!("profile {name}"), READY_LIMIT, || {
                result = operator.apply(name, 0, &file.text);
                !matches!(result, Err(CtlError::Unreachable(_)))
            })?;
            result?;
        }
        Ok(())
    }

    /// Returns the instances of a service.
    pub fn instances_of(&self, service: &str) -> impl Iterator<Item = &Instance> {
        self.instances.iter().filter(move |instance| instance.service == service)
    }

    /// Returns the caller listeners of the front service.
    pub fn entries(&self) -> Vec<SocketAddr> {
        let front = self.deployment.front().name;
        self.instances_of(front).map(|instance| instance.caller).collect()
    }

    /// Starts a control replica again with its old files.
    ///
    /// # Errors
    ///
    /// Returns an error if the process cannot be started.
    pub fn restart_control(&mut self, index: usize) -> Result<(), ClusterError> {
        self.controls[index].process.kill();
        let old = &self.controls[index];
        let (data_centre, address, admin) = (old.data_centre.clone(), old.address, old.admin);
        self.controls[index] = self.start_control(&data_centre, address, admin)?;
        Ok(())
    }

    /// Starts an upstream again.
    ///
    /// # Errors
    ///
    /// Returns an error if the process cannot be started.
    pub fn restart_upstream(&mut self, index: usize) -> Result<(), ClusterError> {
        let program = self.programs.join("heatherweir-testbed");
        let instance = &mut self.instances[index];
        instance.upstream.kill();
        instance.upstream = Process::start(
            format!("{}-upstream", instance.vm),
            &program,
            instance.upstream_arguments.clone(),
            self.dir.path(),
        )?;
        Ok(())
    }

    /// Starts a node again.
    ///
    /// # Errors
    ///
    /// Returns an error if the process cannot be started.
    pub fn restart_node(&mut self, index: usize) -> Result<(), ClusterError> {
        let program = self.programs.join("heatherweir-node");
        let instance = &mut self.instances[index];
        instance.node.kill();
        instance.node = Process::start(
            format!("{}-node", instance.vm),
            &program,
            instance.node_arguments.clone(),
            self.dir.path(),
        )?;
        Ok(())
    }

    /// Waits until every node has an upstream, its profile and the endpoints that it calls.
    ///
    /// # Errors
    ///
    /// Returns an error that names a node which is not ready in time.
    pub fn wait_ready(&self) -> Result<(), ClusterError> {
        for instance in &self.instances {
            let endpoints = self.expected_endpoints(instance);
            wait_until(format!("{} ready", instance.vm), READY_LIMIT, || {
                let Some(status) = node_status(instance.node_admin) else {
                    return false;
                };
                let known = status["endpoints"].as_u64().unwrap_or(0);
                status["service"].is_string()
                    && status["profile_revision"].as_u64() > Some(0)
                    && known >= endpoints as u64
            })?;
        }
        Ok(())
    }

    /// Stops everything in order and checks that each process ends well.
    ///
    /// # Errors
    ///
    /// Returns an error if a process does not end in time or ends with a failure.
    pub fn stop(mut self) -> Result<(), ClusterError> {
        for instance in &self.instances {
            instance.upstream.terminate()?;
        }
        for instance in &mut self.instances {
            expect_success(&mut instance.upstream)?;
        }
        for instance in &self.instances {
            instance.node.terminate()?;
        }
        for instance in &mut self.instances {
            expect_success(&mut instance.node)?;
        }
        for control in &self.controls {
            control.process.terminate()?;
        }
        for control in &mut self.controls {
            expect_success(&mut control.process)?;
        }
        Ok(())
    }

    fn expected_endpoints(&self, instance: &Instance) -> usize {
        let spec = self.deployment.services.iter().find(|spec| spec.name == instance.service);
        let Some(spec) = spec else { return 0 };
        let called = spec.calls.iter().filter_map(|call| call.split('=').nth(1));
        let mut services: Vec<&str> = called.collect();
        services.push(spec.name);
        services.sort_unstable();
        services.dedup();
        let wanted = self.instances.iter().filter(|i| services.contains(&i.service.as_str()));
        wanted.count()
    }

    fn start_control(
        &self,
        data_centre: &str,
        address: SocketAddr,
        admin: SocketAddr,
    ) -> Result<ControlReplica, ClusterError> {
        let name = format!("control-{data_centre}");
        let data_dir = self.dir.path().join(&name);
        let token = self.dir.path().join("token");
        let mut arguments = flags(&[
            ("--data-centre", data_centre.to_owned()),
            ("--listen", address.to_string()),
            ("--admin-listen", admin.to_string()),
            ("--data-dir", data_dir.display().to_string()),
            ("--operator-token-file", token.display().to_string()),
        ]);
        arguments.extend(self.member_arguments.iter().cloned());
        let program = self.programs.join("heatherweir-control");
        let process = Process::start(name, &program, arguments, self.dir.path())?;
        Ok(ControlReplica {
            process,
            data_centre: data_centre.to_owned(),
            address,
            admin,
            data_dir,
        })
    }

    fn start_instances(&mut self) -> Result<(), ClusterError> {
        for spec in self.deployment.services.clone() {
            for number in 0..spec.instances {
                let data_centres = self.deployment.data_centres;
                let data_centre = data_centres[number % data_centres.len()];
                let instance = self.start_instance(&spec, number, data_centre)?;
                self.instances.push(instance);
            }
        }
        Ok(())
    }

    fn start_instance(
        &self,
        spec: &ServiceSpec,
        number: usize,
        data_centre: &str,
    ) -> Result<Instance, ClusterError> {
        let vm = format!("{}-{}", spec.name, number + 1);
        let [caller, egress, peer, node_admin, upstream_listen, upstream_admin] = free_addresses()?;
        let node_arguments =
            self.node_arguments(&vm, data_centre, caller, egress, peer, node_admin);
        let mut upstream_arguments = vec!["upstream".to_owned()];
        upstream_arguments.extend(flags(&[
            ("--vm", vm.clone()),
            ("--service", spec.name.to_owned()),
            ("--profile", spec.profile.to_owned()),
            ("--listen", upstream_listen.to_string()),
            ("--admin-listen", upstream_admin.to_string()),
            ("--egress", egress.to_string()),
            ("--slots", spec.slots.to_string()),
            ("--connections", spec.connections.to_string()),
            ("--service-time-us", spec.service_time_us.to_string()),
        ]));
        for call in spec.calls {
            upstream_arguments.extend(flags(&[("--call", (*call).to_owned())]));
        }
        let log_dir = self.dir.path();
        let node = Process::start(
            format!("{vm}-node"),
            &self.programs.join("heatherweir-node"),
            node_arguments.clone(),
            log_dir,
        )?;
        let upstream = Process::start(
            format!("{vm}-upstream"),
            &self.programs.join("heatherweir-testbed"),
            upstream_arguments.clone(),
            log_dir,
        )?;
        Ok(Instance {
            vm,
            service: spec.name.to_owned(),
            data_centre: data_centre.to_owned(),
            node,
            upstream,
            caller,
            egress,
            peer,
            node_admin,
            upstream_listen,
            upstream_admin,
            node_arguments,
            upstream_arguments,
        })
    }

    fn node_arguments(
        &self,
        vm: &str,
        data_centre: &str,
        caller: SocketAddr,
        egress: SocketAddr,
        peer: SocketAddr,
        admin: SocketAddr,
    ) -> Vec<String> {
        let mut arguments = flags(&[
            ("--vm", vm.to_owned()),
            ("--data-centre", data_centre.to_owned()),
            ("--caller-listen", caller.to_string()),
            ("--egress-listen", egress.to_string()),
            ("--peer-listen", peer.to_string()),
            ("--admin-listen", admin.to_string()),
        ]);
        let (own, others): (Vec<_>, Vec<_>) =
            self.controls.iter().partition(|control| control.data_centre == data_centre);
        for control in own.into_iter().chain(others) {
            arguments.extend(flags(&[("--control", control.address.to_string())]));
        }
        arguments
    }
}

/// Reads the status of a node.
pub fn node_status(admin: SocketAddr) -> Option<serde_json::Value> {
    let agent: ureq::Agent =
        ureq::Agent::config_builder().timeout_global(Some(STATUS_TIMEOUT)).build().into();
    let mut response = agent.get(format!("http://{admin}/status")).call().ok()?;
    response.body_mut().read_json().ok()
}

fn expect_success(process: &mut Process) -> Result<(), ClusterError> {
    let status = process.wait(STOP_LIMIT)?;
    if status.success() {
        return Ok(());
    }
    Err(ClusterError::Exit(process.name().to_owned(), status))
}

fn free_addresses<const N: usize>() -> Result<[SocketAddr; N], ProcessError> {
    let mut addresses = [SocketAddr::from(([127, 0, 0, 1], 0)); N];
    for address in &mut addresses {
        *address = free_address()?;
    }
    Ok(addresses)
}

fn flags(pairs: &[(&str, String)]) -> Vec<String> {
    pairs.iter().flat_map(|(flag, value)| [(*flag).to_owned(), value.clone()]).collect()
}

//! Runs all processes of a small deployment on loopback addresses.

mod error;
mod plan;

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use ctl::{CtlError, OperatorClient, read_profile_dir};
use tempfile::TempDir;

pub use self::error::ClusterError;
use self::plan::{CallMode, InstanceAddresses, InstancePlan, NodeListenAddresses, flags};
use crate::deployment::Deployment;
use crate::process::{Process, ProcessError, free_address, program_dir, wait_until};
use crate::relay::{Links, Relays};
use crate::upstream::Behaviour;
use crate::upstream_client::{self, UpstreamClientError};

const READY_TIMEOUT: Duration = Duration::from_secs(30);
const STOP_TIMEOUT: Duration = Duration::from_secs(30);
const STATUS_TIMEOUT: Duration = Duration::from_secs(2);
/// Environment variable that, if set, prevents the removal of the logs and files of a cluster.
const KEEP_FILES_VARIABLE: &str = "HEATHERWEIR_TESTBED_KEEP";
/// Operator token of every test cluster.
pub const OPERATOR_TOKEN: &str = "testbed-operator";

/// A control replica and its addresses.
#[derive(Debug)]
pub struct ControlReplica {
    /// Child process.
    pub process: Process,
    /// Name of its data centre.
    pub data_centre: String,
    /// Address that nodes and other replicas connect to: that of the relay, if there is one.
    pub address: SocketAddr,
    /// Address that the process listens on.
    pub listen: SocketAddr,
    /// Address of the admin listener.
    pub admin: SocketAddr,
    /// Directory of its files.
    pub data_dir: PathBuf,
}

/// A node and the upstream on the same VM.
#[derive(Debug)]
pub struct Instance {
    /// Name of the VM.
    pub vm: String,
    /// Name of the service.
    pub service: String,
    /// Name of its data centre.
    pub data_centre: String,
    /// Node process; absent if upstreams call each other directly.
    pub node: Option<Process>,
    /// Upstream process.
    pub upstream: Process,
    /// Address of the node's listener for callers: that of the relay, if there is one.
    pub caller: SocketAddr,
    /// Address of the node's egress listener, which its upstream calls.
    pub egress: SocketAddr,
    /// Address of the node's listener for other nodes: that of the relay, if there is one.
    pub peer: SocketAddr,
    /// Address of the node's admin listener.
    pub node_admin: SocketAddr,
    /// Address of the upstream's listener for calls.
    pub upstream_listen: SocketAddr,
    /// Address of the upstream's admin listener.
    pub upstream_admin: SocketAddr,
    node_arguments: Vec<String>,
    upstream_arguments: Vec<String>,
}

/// Directories that the programs are started from.
#[derive(Debug, Clone)]
struct ProgramDirs {
    /// Directory of the node and control programs, which may be from another build.
    under_test: PathBuf,
    /// Directory of the program of the fake upstreams, always from this build.
    fake_upstream: PathBuf,
}

/// The running processes of a deployment; they are killed when it is dropped.
#[derive(Debug)]
pub struct Cluster {
    /// Deployment that the processes belong to.
    pub deployment: Deployment,
    /// Control replicas, one in each data centre.
    pub controls: Vec<ControlReplica>,
    /// Instances of all services, grouped by service in the order of the deployment.
    pub instances: Vec<Instance>,
    program_dirs: ProgramDirs,
    dir: TempDir,
    member_arguments: Vec<String>,
    relays: Option<Relays>,
}

impl Cluster {
    /// Starts every process, applies the profiles and waits until every node is ready.
    ///
    /// # Errors
    ///
    /// Returns an error if a process cannot be started or does not become ready.
    pub fn start(deployment: Deployment) -> Result<Self, ClusterError> {
        let mut cluster = Self::start_controls(deployment)?;
        cluster.start_instances()?;
        Ok(cluster)
    }

    /// Starts every process, with relays on the connections between them so that links can be cut.
    ///
    /// # Errors
    ///
    /// Returns an error if a process cannot be started or does not become ready.
    pub fn start_relayed(deployment: Deployment) -> Result<Self, ClusterError> {
        let mut cluster = Self::start_relayed_controls(deployment)?;
        cluster.start_instances()?;
        Ok(cluster)
    }

    /// Returns the links between the data centres, if the cluster was started with relays.
    pub fn links(&self) -> Option<&Links> {
        self.relays.as_ref().map(Relays::links)
    }

    /// Starts every process; the node and control programs are those in the given directory.
    ///
    /// # Errors
    ///
    /// Returns an error if a process cannot be started or does not become ready.
    pub fn start_with_programs(deployment: Deployment, dir: &Path) -> Result<Self, ClusterError> {
        let mut cluster = Self::new(deployment, Some(dir))?;
        cluster.start_all_controls()?;
        cluster.start_instances()?;
        Ok(cluster)
    }

    /// Starts only the control replicas.
    ///
    /// # Errors
    ///
    /// Returns an error if a process cannot be started.
    pub fn start_controls(deployment: Deployment) -> Result<Self, ClusterError> {
        let mut cluster = Self::new(deployment, None)?;
        cluster.start_all_controls()?;
        Ok(cluster)
    }

    /// Starts only the control replicas, with relays on the connections to them.
    ///
    /// # Errors
    ///
    /// Returns an error if a process cannot be started.
    pub fn start_relayed_controls(deployment: Deployment) -> Result<Self, ClusterError> {
        let mut cluster = Self::new(deployment, None)?;
        cluster.relays = Some(Relays::new()?);
        cluster.start_all_controls()?;
        Ok(cluster)
    }

    /// Starts only the upstreams, which call each other directly, without nodes.
    ///
    /// # Errors
    ///
    /// Returns an error if a process cannot be started or does not become ready.
    pub fn start_direct(deployment: Deployment) -> Result<Self, ClusterError> {
        let mut cluster = Self::new(deployment, None)?;
        let plans = cluster.plan_instances()?;
        let direct: Vec<String> = plans
            .iter()
            .flat_map(|plan| {
                let target = format!("{}@{}", plan.spec.name, plan.addresses.upstream);
                flags(&[("--direct", target)])
            })
            .collect();
        for plan in plans {
            let instance = cluster.start_instance(&plan, CallMode::Direct(&direct))?;
            cluster.instances.push(instance);
        }
        for instance in &cluster.instances {
            wait_until(format!("{} ready", instance.vm), READY_TIMEOUT, || {
                upstream_client::record(instance.upstream_admin).is_ok()
            })?;
        }
        Ok(cluster)
    }

    fn new(deployment: Deployment, dir_under_test: Option<&Path>) -> Result<Self, ClusterError> {
        let fake_upstream = program_dir()?;
        let under_test = dir_under_test.map_or_else(|| fake_upstream.clone(), Path::to_path_buf);
        let mut dir = TempDir::new()?;
        if std::env::var_os(KEEP_FILES_VARIABLE).is_some() {
            dir.disable_cleanup(true);
            eprintln!("logs and files are kept in {}", dir.path().display());
        }
        fs::write(dir.path().join("token"), OPERATOR_TOKEN)?;
        Ok(Self {
            deployment,
            controls: Vec::new(),
            instances: Vec::new(),
            program_dirs: ProgramDirs { under_test, fake_upstream },
            dir,
            member_arguments: Vec::new(),
            relays: None,
        })
    }

    fn start_all_controls(&mut self) -> Result<(), ClusterError> {
        let mut members = Vec::new();
        for data_centre in self.deployment.data_centres {
            members.push((*data_centre, free_address()?));
        }
        for (data_centre, address) in &members {
            let member = format!("{data_centre}@{address}");
            self.member_arguments.extend(flags(&[("--member", member)]));
        }
        for (data_centre, address) in members {
            let listen = self.relay(address, data_centre)?;
            let replica = self.start_control(data_centre, address, listen, free_address()?)?;
            self.controls.push(replica);
        }
        Ok(())
    }

    fn start_instances(&mut self) -> Result<(), ClusterError> {
        self.apply_profiles()?;
        for plan in self.plan_instances()? {
            let instance = self.start_instance(&plan, CallMode::ViaNodes)?;
            self.instances.push(instance);
        }
        self.wait_ready()
    }

    fn plan_instances(&self) -> Result<Vec<InstancePlan>, ClusterError> {
        let mut plans = Vec::new();
        for spec in &self.deployment.services {
            for number in 0..spec.instances {
                let data_centres = self.deployment.data_centres;
                let data_centre = data_centres[number % data_centres.len()];
                let vm = format!("{}-{}", spec.name, number + 1);
                plans.push(InstancePlan {
                    spec: spec.clone(),
                    vm,
                    data_centre,
                    addresses: InstanceAddresses::new()?,
                });
            }
        }
        Ok(plans)
    }

    /// Returns an operator's client for all control replicas.
    ///
    /// # Errors
    ///
    /// Returns an error if its runtime cannot be started.
    pub fn operator(&self) -> Result<OperatorClient, ClusterError> {
        let controls: Vec<SocketAddr> = self.controls.iter().map(|c| c.address).collect();
        Ok(OperatorClient::new(controls, OPERATOR_TOKEN)?)
    }

    /// Applies every profile of the deployment, retrying each until there is a quorum.
    ///
    /// # Errors
    ///
    /// Returns an error if a profile cannot be read, is refused, or finds no quorum in time.
    pub fn apply_profiles(&self) -> Result<(), ClusterError> {
        let operator = self.operator()?;
        for file in read_profile_dir(&self.deployment.profile_dir)? {
            let name = file.profile.name.as_str();
            let mut result = Ok(0);
            wait_until(format!("profile {name}"), READY_TIMEOUT, || {
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

    /// Returns the addresses that callers send requests to: those of the front service's nodes, or
    /// of its upstreams if there are no nodes.
    pub fn entry_addresses(&self) -> Vec<SocketAddr> {
        let front_instances = self.instances_of(self.deployment.front().name);
        let entry_address = |instance: &Instance| match instance.node {
            Some(_) => instance.caller,
            None => instance.upstream_listen,
        };
        front_instances.map(entry_address).collect()
    }

    /// Returns the index of the leader if its commit index is above 0, which requires a quorum.
    pub fn leader(&self) -> Option<usize> {
        self.controls.iter().position(|control| {
            let status = admin_status(control.admin);
            status.is_some_and(|status| status["role"] == "leader" && status["commit_index"] != 0)
        })
    }

    /// Returns the ids of the voters according to the leader; none if there is no leader.
    pub fn voter_ids(&self) -> Vec<String> {
        self.member_ids("voter_ids")
    }

    /// Returns the number of learners according to the leader; 0 if there is no leader.
    pub fn learner_count(&self) -> usize {
        self.member_ids("learner_ids").len()
    }

    fn member_ids(&self, field: &str) -> Vec<String> {
        let leader = self.leader().map(|index| self.controls[index].admin);
        let Some(status) = leader.and_then(admin_status) else { return Vec::new() };
        let ids = status[field].as_array().cloned().unwrap_or_default();
        ids.iter().filter_map(|id| id.as_str().map(str::to_owned)).collect()
    }

    /// Returns how often a tagged request ran at the upstreams of a service.
    ///
    /// # Errors
    ///
    /// Returns an error if an upstream does not respond.
    pub fn runs_of(&self, tag: &str, service: &str) -> Result<u64, UpstreamClientError> {
        let mut runs = 0;
        for instance in self.instances_of(service) {
            let record = upstream_client::record(instance.upstream_admin)?;
            runs += record.runs.get(tag).copied().unwrap_or(0);
        }
        Ok(runs)
    }

    /// Changes the behaviour of every upstream of a service.
    ///
    /// # Errors
    ///
    /// Returns an error if an upstream does not respond.
    pub fn change_behaviour(
        &self,
        service: &str,
        change: impl Fn(&mut Behaviour),
    ) -> Result<(), UpstreamClientError> {
        for instance in self.instances_of(service) {
            upstream_client::change(instance.upstream_admin, &change)?;
        }
        Ok(())
    }

    /// Kills a control replica and starts it again with the same files and addresses.
    ///
    /// # Errors
    ///
    /// Returns an error if the process cannot be started.
    pub fn restart_control(&mut self, index: usize) -> Result<(), ClusterError> {
        self.controls[index].process.kill();
        let old = &self.controls[index];
        let (data_centre, address, listen, admin) =
            (old.data_centre.clone(), old.address, old.listen, old.admin);
        self.controls[index] = self.start_control(&data_centre, address, listen, admin)?;
        Ok(())
    }

    /// Kills an upstream and starts it again with the same arguments.
    ///
    /// # Errors
    ///
    /// Returns an error if the process cannot be started.
    pub fn restart_upstream(&mut self, index: usize) -> Result<(), ClusterError> {
        self.instances[index].upstream.kill();
        let instance = &self.instances[index];
        let upstream = self.start_upstream(&instance.vm, &instance.upstream_arguments)?;
        self.instances[index].upstream = upstream;
        Ok(())
    }

    /// Kills a node and starts it again with the same arguments.
    ///
    /// # Errors
    ///
    /// Returns an error if the process cannot be started.
    pub fn restart_node(&mut self, index: usize) -> Result<(), ClusterError> {
        self.instances[index].node = None;
        let instance = &self.instances[index];
        let node = self.start_node(&instance.vm, &instance.node_arguments)?;
        self.register_process(&node, &instance.data_centre);
        self.instances[index].node = Some(node);
        Ok(())
    }

    /// Waits until every node has an upstream, a profile and the endpoints of its own service and
    /// of those that it calls.
    ///
    /// # Errors
    ///
    /// Returns an error that names a node which is not ready in time.
    pub fn wait_ready(&self) -> Result<(), ClusterError> {
        for instance in &self.instances {
            let expected = self.expected_endpoint_count(instance);
            wait_until(format!("{} ready", instance.vm), READY_TIMEOUT, || {
                let Some(status) = node_status(instance.node_admin) else {
                    return false;
                };
                let known = status["endpoints"].as_u64().unwrap_or(0);
                status["service"].is_string()
                    && status["profile_revision"].as_u64() > Some(0)
                    && known >= expected as u64
            })?;
        }
        Ok(())
    }

    /// Stops upstreams, nodes and control replicas, in this order, and checks that each process
    /// ends with success.
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
        for node in self.instances.iter().filter_map(|instance| instance.node.as_ref()) {
            node.terminate()?;
        }
        for node in self.instances.iter_mut().filter_map(|instance| instance.node.as_mut()) {
            expect_success(node)?;
        }
        for control in &self.controls {
            control.process.terminate()?;
        }
        for control in &mut self.controls {
            expect_success(&mut control.process)?;
        }
        Ok(())
    }

    fn expected_endpoint_count(&self, instance: &Instance) -> usize {
        let spec = self.deployment.services.iter().find(|spec| spec.name == instance.service);
        let Some(spec) = spec else { return 0 };
        let called = spec.calls.iter().filter_map(|call| call.split('=').nth(1));
        let mut services: Vec<&str> = called.collect();
        services.push(spec.name);
        services.sort_unstable();
        services.dedup();
        let endpoints = self.instances.iter().filter(|i| services.contains(&i.service.as_str()));
        endpoints.count()
    }

    /// Starts a relay on an address and returns the address to listen on behind it. Without relays,
    /// returns the address itself.
    fn relay(&self, address: SocketAddr, data_centre: &str) -> Result<SocketAddr, ClusterError> {
        let Some(relays) = &self.relays else { return Ok(address) };
        let listen = free_address()?;
        relays.add(address, listen, data_centre)?;
        Ok(listen)
    }

    /// Does the same as `relay`, for connections from callers, which are in no data centre.
    fn relay_for_callers(
        &self,
        address: SocketAddr,
        data_centre: &str,
    ) -> Result<SocketAddr, ClusterError> {
        let Some(relays) = &self.relays else { return Ok(address) };
        let listen = free_address()?;
        relays.add_for_callers(address, listen, data_centre)?;
        Ok(listen)
    }

    fn register_process(&self, process: &Process, data_centre: &str) {
        if let Some(relays) = &self.relays {
            relays.links().register_process(process.pid(), data_centre);
        }
    }

    fn start_control(
        &self,
        data_centre: &str,
        address: SocketAddr,
        listen: SocketAddr,
        admin: SocketAddr,
    ) -> Result<ControlReplica, ClusterError> {
        let name = format!("control-{data_centre}");
        let data_dir = self.dir.path().join(&name);
        let token = self.dir.path().join("token");
        let mut arguments = flags(&[
            ("--data-centre", data_centre.to_owned()),
            ("--listen", listen.to_string()),
            ("--advertise", address.to_string()),
            ("--admin-listen", admin.to_string()),
            ("--data-dir", data_dir.display().to_string()),
            ("--operator-token-file", token.display().to_string()),
        ]);
        arguments.extend(self.member_arguments.iter().cloned());
        let program = self.program_dirs.under_test.join("heatherweir-control");
        let process = Process::start(name, &program, arguments, self.dir.path())?;
        self.register_process(&process, data_centre);
        Ok(ControlReplica {
            process,
            data_centre: data_centre.to_owned(),
            address,
            listen,
            admin,
            data_dir,
        })
    }

    fn start_instance(
        &self,
        plan: &InstancePlan,
        call_mode: CallMode<'_>,
    ) -> Result<Instance, ClusterError> {
        let (spec, addresses, vm) = (&plan.spec, &plan.addresses, &plan.vm);
        let listen_addresses = NodeListenAddresses {
            caller: self.relay_for_callers(addresses.caller, plan.data_centre)?,
            peer: self.relay(addresses.peer, plan.data_centre)?,
        };
        let node_arguments = plan.node_arguments(&listen_addresses, &self.controls);
        let mut upstream_arguments = plan.upstream_arguments();
        let mut node = None;
        match call_mode {
            CallMode::Direct(targets) => upstream_arguments.extend(targets.iter().cloned()),
            CallMode::ViaNodes => {
                upstream_arguments.extend(flags(&[("--egress", addresses.egress.to_string())]));
                let process = self.start_node(vm, &node_arguments)?;
                self.register_process(&process, plan.data_centre);
                node = Some(process);
            }
        }
        Ok(Instance {
            vm: vm.clone(),
            service: spec.name.to_owned(),
            data_centre: plan.data_centre.to_owned(),
            node,
            upstream: self.start_upstream(vm, &upstream_arguments)?,
            caller: addresses.caller,
            egress: addresses.egress,
            peer: addresses.peer,
            node_admin: addresses.node_admin,
            upstream_listen: addresses.upstream,
            upstream_admin: addresses.upstream_admin,
            node_arguments,
            upstream_arguments,
        })
    }

    fn start_node(&self, vm: &str, arguments: &[String]) -> Result<Process, ProcessError> {
        let program = self.program_dirs.under_test.join("heatherweir-node");
        Process::start(format!("{vm}-node"), &program, arguments.to_vec(), self.dir.path())
    }

    fn start_upstream(&self, vm: &str, arguments: &[String]) -> Result<Process, ProcessError> {
        let program = self.program_dirs.fake_upstream.join("heatherweir-testbed");
        Process::start(format!("{vm}-upstream"), &program, arguments.to_vec(), self.dir.path())
    }
}

/// Returns the status of a node, or `None` if it does not respond.
pub fn node_status(admin: SocketAddr) -> Option<serde_json::Value> {
    admin_status(admin)
}

fn admin_status(admin: SocketAddr) -> Option<serde_json::Value> {
    let agent: ureq::Agent =
        ureq::Agent::config_builder().timeout_global(Some(STATUS_TIMEOUT)).build().into();
    let mut response = agent.get(format!("http://{admin}/status")).call().ok()?;
    response.body_mut().read_json().ok()
}

fn expect_success(process: &mut Process) -> Result<(), ClusterError> {
    let status = process.wait(STOP_TIMEOUT)?;
    if status.success() {
        return Ok(());
    }
    Err(ClusterError::Exit(process.name().to_owned(), status))
}

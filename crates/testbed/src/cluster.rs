//! All processes of a small deployment on loopback.

mod plan;

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use ctl::{CtlError, OperatorClient, read_profile_dir};
use quick_error::quick_error;
use tempfile::TempDir;

use self::plan::{InstancePlan, Layer, NodeListens, Ports, flags};
use crate::deployment::Deployment;
use crate::process::{Process, ProcessError, free_address, program_dir, wait_until};
use crate::relay::{Links, Relays};
use crate::upstream::Behaviour;
use crate::upstream_client::{self, UpstreamClientError};

const READY_LIMIT: Duration = Duration::from_secs(30);
const STOP_LIMIT: Duration = Duration::from_secs(30);
const STATUS_TIMEOUT: Duration = Duration::from_secs(2);
/// Environment variable that keeps the logs and files of a cluster.
const KEEP_VARIABLE: &str = "HEATHERWEIR_TESTBED_KEEP";
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
    /// Address for nodes and replicas, that of a relay if there is one.
    pub address: SocketAddr,
    /// Address on which the process itself listens.
    pub listen: SocketAddr,
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
    /// Node process; none in a direct deployment.
    pub node: Option<Process>,
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

/// Folders of the programs.
#[derive(Debug, Clone)]
struct Programs {
    /// Nodes and control replicas.
    system: PathBuf,
    /// Fakes.
    fakes: PathBuf,
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
    programs: Programs,
    dir: TempDir,
    member_arguments: Vec<String>,
    relays: Option<Relays>,
}

impl Cluster {
    /// Starts every process, puts the profiles in force and waits until all is ready.
    ///
    /// # Errors
    ///
    /// Returns an error if a process cannot be started or does not become ready.
    pub fn start(deployment: Deployment) -> Result<Self, ClusterError> {
        let mut cluster = Self::start_controls(deployment)?;
        cluster.finish_start()?;
        Ok(cluster)
    }

    /// Starts every process with relays on the ways between them.
    ///
    /// # Errors
    ///
    /// Returns an error if a process cannot be started or does not become ready.
    pub fn start_relayed(deployment: Deployment) -> Result<Self, ClusterError> {
        let mut cluster = Self::new(deployment, None)?;
        cluster.relays = Some(Relays::new()?);
        cluster.add_controls()?;
        cluster.finish_start()?;
        Ok(cluster)
    }

    /// Returns the faults of the ways between processes, if there are relays.
    pub fn links(&self) -> Option<&Links> {
        self.relays.as_ref().map(Relays::links)
    }

    /// Starts every process with nodes and control replicas of another build.
    ///
    /// # Errors
    ///
    /// Returns an error if a process cannot be started or does not become ready.
    pub fn start_build(deployment: Deployment, system: &Path) -> Result<Self, ClusterError> {
        let mut cluster = Self::new(deployment, Some(system))?;
        cluster.add_controls()?;
        cluster.finish_start()?;
        Ok(cluster)
    }

    /// Starts the control replicas only.
    ///
    /// # Errors
    ///
    /// Returns an error if a process cannot be started.
    pub fn start_controls(deployment: Deployment) -> Result<Self, ClusterError> {
        let mut cluster = Self::new(deployment, None)?;
        cluster.add_controls()?;
        Ok(cluster)
    }

    /// Starts upstreams that call each other without the layer.
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
                let target = format!("{}@{}", plan.spec.name, plan.ports.upstream);
                flags(&[("--direct", target)])
            })
            .collect();
        for plan in plans {
            let instance = cluster.start_instance(&plan, Layer::Direct(&direct))?;
            cluster.instances.push(instance);
        }
        for instance in &cluster.instances {
            wait_until(format!("{} ready", instance.vm), READY_LIMIT, || {
                upstream_client::record(instance.upstream_admin).is_ok()
            })?;
        }
        Ok(cluster)
    }

    fn new(deployment: Deployment, system: Option<&Path>) -> Result<Self, ClusterError> {
        let fakes = program_dir()?;
        let system = system.map_or_else(|| fakes.clone(), Path::to_path_buf);
        let mut dir = TempDir::new()?;
        if std::env::var_os(KEEP_VARIABLE).is_some() {
            dir.disable_cleanup(true);
            eprintln!("logs and files stay in {}", dir.path().display());
        }
        fs::write(dir.path().join("token"), OPERATOR_TOKEN)?;
        Ok(Self {
            deployment,
            controls: Vec::new(),
            instances: Vec::new(),
            programs: Programs { system, fakes },
            dir,
            member_arguments: Vec::new(),
            relays: None,
        })
    }

    fn add_controls(&mut self) -> Result<(), ClusterError> {
        let mut members = Vec::new();
        for data_centre in self.deployment.data_centres {
            members.push((*data_centre, free_address()?));
        }
        for (data_centre, address) in &members {
            let member = format!("{data_centre}@{address}");
            self.member_arguments.extend(flags(&[("--member", member)]));
        }
        for (data_centre, address) in members {
            let listen = self.relayed(address, data_centre)?;
            let replica = self.start_control(data_centre, address, listen, free_address()?)?;
            self.controls.push(replica);
        }
        Ok(())
    }

    fn finish_start(&mut self) -> Result<(), ClusterError> {
        self.apply_profiles()?;
        for plan in self.plan_instances()? {
            let instance = self.start_instance(&plan, Layer::Nodes)?;
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
                    ports: Ports::new()?,
                });
            }
        }
        Ok(plans)
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

    /// Returns the addresses to which callers send: nodes, or upstreams in a direct deployment.
    pub fn entries(&self) -> Vec<SocketAddr> {
        let front = self.instances_of(self.deployment.front().name);
        let entry = |instance: &Instance| match instance.node {
            Some(_) => instance.caller,
            None => instance.upstream_listen,
        };
        front.map(entry).collect()
    }

    /// Returns the index of the control replica that leads with a quorum.
    pub fn leader(&self) -> Option<usize> {
        self.controls.iter().position(|control| {
            let status = admin_status(control.admin);
            status.is_some_and(|status| status["role"] == "leader" && status["commit_index"] != 0)
        })
    }

    /// Returns the ids of the voters, as the leader knows them.
    pub fn voter_ids(&self) -> Vec<String> {
        self.member_ids("voter_ids")
    }

    /// Returns the number of learners, as the leader knows them.
    pub fn learner_count(&self) -> usize {
        self.member_ids("learner_ids").len()
    }

    fn member_ids(&self, field: &str) -> Vec<String> {
        let leader = self.leader().map(|index| self.controls[index].admin);
        let Some(status) = leader.and_then(admin_status) else { return Vec::new() };
        let ids = status[field].as_array().cloned().unwrap_or_default();
        ids.iter().filter_map(|id| id.as_str().map(str::to_owned)).collect()
    }

    /// Returns how often the work of a tagged request ran at a service.
    ///
    /// # Errors
    ///
    /// Returns an error if an upstream does not answer.
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
    /// Returns an error if an upstream does not answer.
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

    /// Starts a control replica again with its old files.
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

    /// Starts an upstream again.
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

    /// Starts a node again.
    ///
    /// # Errors
    ///
    /// Returns an error if the process cannot be started.
    pub fn restart_node(&mut self, index: usize) -> Result<(), ClusterError> {
        self.instances[index].node = None;
        let instance = &self.instances[index];
        let node = self.start_node(&instance.vm, &instance.node_arguments)?;
        self.register(&node, &instance.data_centre);
        self.instances[index].node = Some(node);
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

    /// Returns the address to listen on behind a relay, or the address itself without one.
    fn relayed(&self, address: SocketAddr, place: &str) -> Result<SocketAddr, ClusterError> {
        let Some(relays) = &self.relays else { return Ok(address) };
        let listen = free_address()?;
        relays.add(address, listen, place)?;
        Ok(listen)
    }

    fn relayed_for_callers(
        &self,
        address: SocketAddr,
        place: &str,
    ) -> Result<SocketAddr, ClusterError> {
        let Some(relays) = &self.relays else { return Ok(address) };
        let listen = free_address()?;
        relays.add_for_callers(address, listen, place)?;
        Ok(listen)
    }

    fn register(&self, process: &Process, place: &str) {
        if let Some(relays) = &self.relays {
            relays.links().register(process.pid(), place);
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
        let program = self.programs.system.join("heatherweir-control");
        let process = Process::start(name, &program, arguments, self.dir.path())?;
        self.register(&process, data_centre);
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
        layer: Layer<'_>,
    ) -> Result<Instance, ClusterError> {
        let (spec, ports, vm) = (&plan.spec, &plan.ports, &plan.vm);
        let listens = NodeListens {
            caller: self.relayed_for_callers(ports.caller, plan.data_centre)?,
            peer: self.relayed(ports.peer, plan.data_centre)?,
        };
        let node_arguments = plan.node_arguments(&listens, &self.controls);
        let mut upstream_arguments = plan.upstream_arguments();
        let mut node = None;
        match layer {
            Layer::Direct(targets) => upstream_arguments.extend(targets.iter().cloned()),
            Layer::Nodes => {
                upstream_arguments.extend(flags(&[("--egress", ports.egress.to_string())]));
                let process = self.start_node(vm, &node_arguments)?;
                self.register(&process, plan.data_centre);
                node = Some(process);
            }
        }
        Ok(Instance {
            vm: vm.clone(),
            service: spec.name.to_owned(),
            data_centre: plan.data_centre.to_owned(),
            node,
            upstream: self.start_upstream(vm, &upstream_arguments)?,
            caller: ports.caller,
            egress: ports.egress,
            peer: ports.peer,
            node_admin: ports.node_admin,
            upstream_listen: ports.upstream,
            upstream_admin: ports.upstream_admin,
            node_arguments,
            upstream_arguments,
        })
    }

    fn start_node(&self, vm: &str, arguments: &[String]) -> Result<Process, ProcessError> {
        let program = self.programs.system.join("heatherweir-node");
        Process::start(format!("{vm}-node"), &program, arguments.to_vec(), self.dir.path())
    }

    fn start_upstream(&self, vm: &str, arguments: &[String]) -> Result<Process, ProcessError> {
        let program = self.programs.fakes.join("heatherweir-testbed");
        Process::start(format!("{vm}-upstream"), &program, arguments.to_vec(), self.dir.path())
    }
}

/// Reads the status of a node.
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
    let status = process.wait(STOP_LIMIT)?;
    if status.success() {
        return Ok(());
    }
    Err(ClusterError::Exit(process.name().to_owned(), status))
}

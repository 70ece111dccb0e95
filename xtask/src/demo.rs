//! Runs a small deployment, sends requests through it and checks the responses.

use std::net::SocketAddr;
use std::time::Duration;

use sha2::{Digest, Sha256};
use testbed::caller::{Caller, Reply};
use testbed::cluster::Cluster;
use testbed::deployment::Deployment;
use testbed::process::wait_until;
use testbed::upstream_client;
use ureq::http::Request;

use crate::error::TaskError;

const UPLOAD_BYTES: usize = 64 * 1024 * 1024;
const QUORUM_TIMEOUT: Duration = Duration::from_secs(10);
const WARM_UP_REQUESTS: usize = 20;

/// Starts a deployment, checks reads, charges, uploads and the loss of the quorum, and stops it.
pub fn run(name: &str) -> Result<(), TaskError> {
    let cluster = Cluster::start(deployment(name))?;
    println!("started deployment={name} processes={}", process_count(&cluster));
    let demo = Demo::new(&cluster);
    demo.warm_up()?;
    demo.read()?;
    demo.repeat_charge()?;
    demo.upload()?;
    demo.charge_without_quorum()?;
    cluster.stop()?;
    println!("stopped: every process exited with status 0");
    Ok(())
}

/// Starts a deployment and keeps it running until SIGTERM or SIGINT.
pub fn hold(name: &str) -> Result<(), TaskError> {
    let cluster = Cluster::start(deployment(name))?;
    print_processes(&cluster);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(daemon::stop_requested())?;
    cluster.stop()?;
    Ok(())
}

fn deployment(name: &str) -> Deployment {
    match name {
        "accra" => Deployment::accra(),
        _ => Deployment::attica(),
    }
}

fn process_count(cluster: &Cluster) -> usize {
    cluster.controls.len() + 2 * cluster.instances.len()
}

fn print_processes(cluster: &Cluster) {
    for control in &cluster.controls {
        println!(
            "role=control data_centre={} pid={} listen={} admin={}",
            control.data_centre,
            control.process.pid(),
            control.address,
            control.admin
        );
    }
    for instance in &cluster.instances {
        println!(
            "role=node service={} data_centre={} vm={} pid={} callers={} egress={} peers={} admin={}",
            instance.service,
            instance.data_centre,
            instance.vm,
            instance.node.as_ref().map_or(0, |node| node.pid()),
            instance.caller,
            instance.egress,
            instance.peer,
            instance.node_admin
        );
        println!(
            "role=upstream service={} data_centre={} vm={} pid={} listen={} admin={}",
            instance.service,
            instance.data_centre,
            instance.vm,
            instance.upstream.pid(),
            instance.upstream_listen,
            instance.upstream_admin
        );
    }
}

struct Demo<'a> {
    cluster: &'a Cluster,
    caller: Caller,
    entry_address: SocketAddr,
}

impl<'a> Demo<'a> {
    fn new(cluster: &'a Cluster) -> Self {
        Self { cluster, caller: Caller::new(), entry_address: cluster.entry_addresses()[0] }
    }

    fn warm_up(&self) -> Result<(), TaskError> {
        for _ in 0..WARM_UP_REQUESTS {
            self.get(self.cluster.deployment.read_path)?;
        }
        Ok(())
    }

    fn read(&self) -> Result<(), TaskError> {
        let path = self.cluster.deployment.read_path;
        let reply = self.get(path)?;
        self.print("read", path, &reply);
        check("the read is answered", reply.status == 200)?;
        check("the response of the read belongs to its path", reply.body["path"] == path)
    }

    fn repeat_charge(&self) -> Result<(), TaskError> {
        let path = self.cluster.deployment.purchase_path;
        let first = self.charge(path, "demo-key-1")?;
        self.print("charge", path, &first);
        let second = self.charge(path, "demo-key-1")?;
        self.print("charge-again", path, &second);
        check("the charge is answered", first.status == 200 && second.status == 200)?;
        check("both responses of the charge are the same", first.text == second.text)?;
        let runs = self.cluster.runs_of("demo-key-1", self.cluster.deployment.purchase_service)?;
        println!("  ran {runs} time(s) at {}", self.cluster.deployment.purchase_service);
        check("the charge was run exactly once", runs == 1)
    }

    fn upload(&self) -> Result<(), TaskError> {
        let path = "/uploads/master-1";
        let content: Vec<u8> = (0..UPLOAD_BYTES).map(|i| (i * 31 % 251) as u8).collect();
        let expected = hex(&Sha256::digest(&content));
        let request = Request::put(format!("http://{}{path}", self.entry_address));
        let reply = self.caller.send(request, content.as_slice())?;
        self.print("upload", path, &reply);
        check("the upload is answered", reply.status == 200)?;
        check(
            "the upstream received the bytes that were sent",
            reply.body["body_sha256"] == expected,
        )?;
        let service = self.cluster.deployment.upload_service;
        let mut stored = Vec::new();
        for instance in self.cluster.instances_of(service) {
            stored.push(upstream_client::record(instance.upstream_admin)?.last_upload_sha256);
        }
        println!("  digest {expected} at {service}");
        check(
            "the upload service stored the bytes that were sent",
            stored.contains(&Some(expected)),
        )
    }

    /// Suspends the control replicas of the other data centres, so that there is no quorum, and
    /// checks that a charge is refused and reads still work.
    fn charge_without_quorum(&self) -> Result<(), TaskError> {
        let remote_controls = &self.cluster.controls[1..];
        for control in remote_controls {
            control.process.freeze()?;
        }
        let path = self.cluster.deployment.purchase_path;
        let reply = self.charge(path, "demo-key-2")?;
        self.print("charge-cut-off", path, &reply);
        let read = self.get(self.cluster.deployment.read_path)?;
        self.print("read-cut-off", self.cluster.deployment.read_path, &read);
        for control in remote_controls {
            control.process.thaw()?;
        }
        check("the charge without a quorum is refused", reply.status == 503)?;
        check("the refusal has the outcome not-run", reply.outcome == "not-run")?;
        check("the refusal has a retry-after header", reply.retry_after_s.is_some())?;
        check("reads are answered without a quorum", read.status == 200)?;
        let runs = self.cluster.runs_of("demo-key-2", self.cluster.deployment.purchase_service)?;
        check("the refused charge was not run", runs == 0)?;
        let mut reply_after_recovery = None;
        wait_until("the charge succeeds with the restored quorum", QUORUM_TIMEOUT, || {
            reply_after_recovery = self.charge(path, "demo-key-2").ok();
            reply_after_recovery.as_ref().is_some_and(|reply| reply.status == 200)
        })?;
        if let Some(reply) = &reply_after_recovery {
            self.print("charge-healed", path, reply);
        }
        let runs = self.cluster.runs_of("demo-key-2", self.cluster.deployment.purchase_service)?;
        check("the charge was run exactly once after the quorum was restored", runs == 1)
    }

    fn get(&self, path: &str) -> Result<Reply, TaskError> {
        Ok(self.caller.get(self.entry_address, path)?)
    }

    fn charge(&self, path: &str, key: &str) -> Result<Reply, TaskError> {
        Ok(self.caller.purchase(self.entry_address, path, key)?)
    }

    /// Prints a response with the VMs that the request passed through and the latency beyond the sum
    /// of the service times of their upstreams.
    fn print(&self, step: &str, path: &str, reply: &Reply) {
        let trail: Vec<&str> = reply.body["trail"]
            .as_array()
            .into_iter()
            .flatten()
            .filter_map(|v| v.as_str())
            .collect();
        let service_us: u64 = trail.iter().map(|vm| self.service_time_us(vm)).sum();
        let added_us = (reply.elapsed.as_micros() as u64).saturating_sub(service_us);
        println!(
            "{step} path={path} status={} outcome={} reason={} retry_after_s={:?} trail={} \
             elapsed_us={} added_us={added_us}",
            reply.status,
            reply.outcome,
            reply.reason,
            reply.retry_after_s,
            trail.join(">"),
            reply.elapsed.as_micros(),
        );
    }

    fn service_time_us(&self, vm: &str) -> u64 {
        let instance = self.cluster.instances.iter().find(|instance| instance.vm == vm);
        let service = instance.map(|instance| instance.service.as_str());
        let mut services = self.cluster.deployment.services.iter();
        services.find(|spec| Some(spec.name) == service).map_or(0, |spec| spec.service_time_us)
    }
}

fn check(condition: &str, is_met: bool) -> Result<(), TaskError> {
    match is_met {
        true => Ok(()),
        false => Err(TaskError::Check(condition.to_owned())),
    }
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

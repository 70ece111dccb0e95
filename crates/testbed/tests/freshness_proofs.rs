//! Proofs that real replicas give to nodes hold whatever happens to the replicas: no configuration
//! that was acknowledged before a stamp has a higher version than the proof with that stamp.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use control_link::{AttachedNode, ControlLink};
use daemon::BootClock;
use rpc::configurations_client::ConfigurationsClient;
use rpc::{ControlUpdate, NodeReport, PutConfigurationRequest, PutOutcome};
use slog::{Discard, Logger, o};
use testbed::cluster::Cluster;
use testbed::deployment::Deployment;
use testbed::process::wait_until;
use tokio::sync::watch;

const TIMEOUT: Duration = Duration::from_secs(20);
/// Interval between two changes.
const CHANGE_INTERVAL: Duration = Duration::from_millis(20);
/// Timeout after which the operator sends a change to another replica.
const OPERATOR_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for which a replica is cut off or frozen: longer than the time of revocation.
const FAULT_DURATION: Duration = Duration::from_secs(6);
/// Proofs that each node receives before the fault.
const MIN_PROOFS: usize = 5;
/// Time for messages that were sent before a cut.
const SETTLE_TIME: Duration = Duration::from_millis(200);
/// Data centre of the nodes, whose links are not cut.
const NODE_DATA_CENTRE: &str = "nodes";

/// Returns the time of the clock by which nodes and test measure, in microseconds.
fn now_us() -> u64 {
    BootClock.now_us().expect("the system has the clock")
}

#[derive(Debug, Clone, Copy)]
struct ReceivedProof {
    stamp_us: u64,
    version: u64,
    received_us: u64,
}

/// Version and time of each acknowledged change.
type Acknowledgements = Arc<Mutex<Vec<(u64, u64)>>>;
type Proofs = Arc<Mutex<Vec<ReceivedProof>>>;

fn lock<T>(values: &Mutex<Vec<T>>) -> MutexGuard<'_, Vec<T>> {
    values.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Node that is attached to one replica only and records its proofs.
struct AskingNode {
    name: String,
    control: SocketAddr,
    proofs: Proofs,
}

impl AttachedNode for AskingNode {
    fn control_addresses(&self) -> Vec<SocketAddr> {
        vec![self.control]
    }

    fn report(&mut self) -> NodeReport {
        NodeReport {
            protocol_version: rpc::PROTOCOL_VERSION,
            cluster_id: "heatherweir".to_owned(),
            vm: self.name.clone(),
            data_centre: NODE_DATA_CENTRE.to_owned(),
            profile_revision: u64::MAX,
            configuration_version: u64::MAX,
            created_boot_us: now_us(),
            wants_freshness_proof: true,
            ..NodeReport::default()
        }
    }

    fn apply_update(&mut self, update: ControlUpdate) -> bool {
        if let Some(proof) = update.freshness_proof {
            lock(&self.proofs).push(ReceivedProof {
                stamp_us: proof.report_created_boot_us,
                version: proof.configuration_version,
                received_us: now_us(),
            });
        }
        false
    }
}

/// One node for each replica, on a runtime of their own.
struct Nodes {
    /// Proofs by replica.
    proofs: Vec<Proofs>,
    stop: watch::Sender<bool>,
    thread: JoinHandle<()>,
}

impl Nodes {
    fn start(cluster: &Cluster) -> Self {
        let links = cluster.links().expect("the cluster has relays");
        links.register_process(std::process::id(), NODE_DATA_CENTRE);
        let proofs: Vec<Proofs> = cluster.controls.iter().map(|_| Proofs::default()).collect();
        let nodes: Vec<AskingNode> = cluster
            .controls
            .iter()
            .zip(&proofs)
            .map(|(control, proofs)| AskingNode {
                name: format!("node-{}", control.data_centre),
                control: control.address,
                proofs: Arc::clone(proofs),
            })
            .collect();
        let (stop, stopped) = watch::channel(false);
        let thread = thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            runtime.expect("a runtime").block_on(async {
                let (_trigger, report_trigger) = watch::channel(0);
                let log = Logger::root(Discard, o!());
                let links = nodes.into_iter().map(|node| {
                    ControlLink::new(log.clone(), node, report_trigger.clone(), stopped.clone())
                });
                let tasks: Vec<_> = links.map(|link| tokio::spawn(link.run())).collect();
                for task in tasks {
                    task.await.expect("the link does not panic");
                }
            });
        });
        Self { proofs, stop, thread }
    }
}

/// Changes the configuration again and again until it is stopped.
struct Operator {
    acknowledgements: Acknowledgements,
    is_stopping: Arc<AtomicBool>,
    thread: JoinHandle<()>,
}

impl Operator {
    fn start(cluster: &Cluster) -> Self {
        let addresses: Vec<SocketAddr> =
            cluster.controls.iter().map(|control| control.address).collect();
        let acknowledgements = Acknowledgements::default();
        let is_stopping = Arc::new(AtomicBool::new(false));
        let thread = thread::spawn({
            let (acknowledgements, is_stopping) =
                (Arc::clone(&acknowledgements), Arc::clone(&is_stopping));
            move || {
                let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
                let runtime = runtime.expect("a runtime");
                let mut version = 0;
                for address in addresses.iter().cycle() {
                    while let Some(current) = runtime.block_on(put(*address, version)) {
                        version = current;
                        lock(&acknowledgements).push((version, now_us()));
                        if is_stopping.load(Ordering::Relaxed) {
                            return;
                        }
                        thread::sleep(CHANGE_INTERVAL);
                    }
                }
            }
        });
        Self { acknowledgements, is_stopping, thread }
    }
}

/// Puts the version after `base_version`. Returns the version that the replica acknowledged.
async fn put(address: SocketAddr, base_version: u64) -> Option<u64> {
    let endpoint = control_link::endpoint(address).ok()?;
    let mut client = ConfigurationsClient::new(endpoint.connect_lazy());
    let version = base_version + 1;
    let request = PutConfigurationRequest { base_version, version, text: "{}".into() };
    let reply = tokio::time::timeout(OPERATOR_TIMEOUT, client.put(request)).await.ok()?.ok()?;
    let reply = reply.into_inner();
    match reply.outcome() {
        PutOutcome::Accepted => Some(reply.version),
        PutOutcome::Conflict | PutOutcome::NoQuorum | PutOutcome::Unspecified => None,
    }
}

/// Times between which a replica was at fault, in microseconds.
struct Fault {
    replica: usize,
    begin_us: u64,
    end_us: u64,
}

/// Causes a fault while the configuration changes, and checks all proofs. Returns the proofs that
/// the node of the faulty replica received, and the fault.
///
/// One cluster exists at a time: the relays look up the source of each connection in `/proc`, and if
/// several clusters do so at once a lookup takes longer than the timeouts of the programs.
fn check_proofs(
    begin: impl FnOnce(&Cluster, usize) -> usize,
    end: impl FnOnce(&Cluster, usize),
) -> (Vec<ReceivedProof>, Fault) {
    static CLUSTER_LOCK: Mutex<()> = Mutex::new(());
    let _guard = CLUSTER_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    let cluster = Cluster::start_relayed_controls(Deployment::attica());
    let cluster = cluster.expect("the replicas start");
    wait_until("there is a leader", TIMEOUT, || cluster.leader().is_some()).expect("a quorum");
    let leader = cluster.leader().expect("there is a leader");
    let nodes = Nodes::start(&cluster);
    let operator = Operator::start(&cluster);
    let has_proofs = |proofs: &Proofs| lock(proofs).len() >= MIN_PROOFS;
    let started =
        wait_until("every replica gives proofs", TIMEOUT, || nodes.proofs.iter().all(has_proofs));
    if let Err(error) = started {
        let counts: Vec<usize> = nodes.proofs.iter().map(|proofs| lock(proofs).len()).collect();
        let logs: Vec<String> =
            cluster.controls.iter().map(|control| control.process.log_text()).collect();
        let lookup = cluster.links().expect("the cluster has relays").max_source_lookup();
        panic!(
            "{error}: {counts:?} proofs by replica, {lookup:?} for a lookup by a relay\n{}",
            logs.join("\n")
        );
    }
    let replica = begin(&cluster, leader);
    thread::sleep(SETTLE_TIME);
    let begin_us = now_us();
    thread::sleep(FAULT_DURATION);
    let end_us = now_us();
    end(&cluster, replica);
    let resumed = || lock(&nodes.proofs[replica]).iter().any(|proof| proof.stamp_us > end_us);
    wait_until("the replica proves stamps again", TIMEOUT, resumed).expect("proofs resume");
    operator.is_stopping.store(true, Ordering::Relaxed);
    operator.thread.join().expect("the operator does not panic");
    nodes.stop.send_replace(true);
    nodes.thread.join().expect("the nodes do not panic");
    let lookup = cluster.links().expect("the cluster has relays").max_source_lookup();
    println!("longest lookup of the source of a connection by a relay: {lookup:?}");
    let acknowledgements = lock(&operator.acknowledgements);
    assert!(acknowledgements.len() > 10, "only {} changes", acknowledgements.len());
    for (index, proofs) in nodes.proofs.iter().enumerate() {
        check_versions(index, &lock(proofs), &acknowledgements);
    }
    let proofs = lock(&nodes.proofs[replica]).clone();
    (proofs, Fault { replica, begin_us, end_us })
}

/// Checks the definition of a proof against all acknowledgements.
fn check_versions(node: usize, proofs: &[ReceivedProof], acknowledgements: &[(u64, u64)]) {
    for proof in proofs {
        let before = acknowledgements.iter().take_while(|(_, at_us)| *at_us < proof.stamp_us);
        let newest = before.map(|(version, _)| *version).last().unwrap_or(0);
        assert!(newest <= proof.version, "node {node}: {newest} was acknowledged before {proof:?}");
    }
}

fn isolate(cluster: &Cluster, replica: usize) {
    let data_centres: Vec<&str> =
        cluster.controls.iter().map(|control| control.data_centre.as_str()).collect();
    cluster.links().expect("the cluster has relays").isolate(data_centres[replica], &data_centres);
}

fn heal(cluster: &Cluster) {
    cluster.links().expect("the cluster has relays").heal();
}

/// Guards against a replica that was frozen, thaws with reports and answers of the leader in its
/// buffers and treats them as new.
#[test]
fn replica_that_thaws_gives_no_proof_that_is_younger_than_it_is() {
    let (proofs, fault) = check_proofs(
        |cluster, leader| {
            let replica = (leader + 1) % cluster.controls.len();
            cluster.controls[replica].process.freeze().expect("the replica freezes");
            replica
        },
        |cluster, replica| cluster.controls[replica].process.thaw().expect("it continues"),
    );
    let during =
        |proof: &&ReceivedProof| (fault.begin_us..fault.end_us).contains(&proof.received_us);
    assert_eq!(proofs.iter().filter(during).count(), 0, "replica {} is frozen", fault.replica);
}

/// Guards against the same at the leader, whose successor has acknowledged changes meanwhile.
#[test]
fn leader_that_thaws_gives_no_proof_that_is_younger_than_it_is() {
    check_proofs(
        |cluster, leader| {
            cluster.controls[leader].process.freeze().expect("the leader freezes");
            leader
        },
        |cluster, leader| cluster.controls[leader].process.thaw().expect("it continues"),
    );
}

/// Guards against proofs of a leader that is cut off and has not noticed it: only a committed entry
/// confirms a read.
#[test]
fn leader_that_is_cut_off_gives_no_proof() {
    let (proofs, fault) = check_proofs(
        |cluster, leader| {
            isolate(cluster, leader);
            leader
        },
        |cluster, _| heal(cluster),
    );
    let during =
        |proof: &&ReceivedProof| (fault.begin_us..fault.end_us).contains(&proof.received_us);
    assert_eq!(proofs.iter().filter(during).count(), 0, "replica {} is cut off", fault.replica);
}

/// Guards against proofs that wait for the next periodic update or depend on the number of rounds:
/// their age at arrival bounds how long the lease outlasts a loss of contact.
#[test]
fn proofs_arrive_soon_after_their_stamp() {
    let (proofs, fault) = check_proofs(
        |cluster, leader| {
            let replica = (leader + 1) % cluster.controls.len();
            cluster.controls[replica].process.freeze().expect("the replica freezes");
            replica
        },
        |cluster, replica| cluster.controls[replica].process.thaw().expect("it continues"),
    );
    let ages = proofs.iter().filter(|proof| proof.received_us < fault.begin_us);
    let ages: Vec<u64> = ages.map(|proof| (proof.received_us - proof.stamp_us) / 1_000).collect();
    println!("ages at arrival, in milliseconds: {ages:?}");
    let median = {
        let mut sorted = ages.clone();
        sorted.sort_unstable();
        sorted[ages.len() / 2]
    };
    assert!(median < 450, "{ages:?}");
}

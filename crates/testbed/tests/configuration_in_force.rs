//! An acknowledged configuration is in force in time at nodes that reach a majority of the replicas,
//! whatever happens to the replica that they are attached to.

use std::fs;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use control_link::{AttachedNode, ControlLink};
use rpc::configurations_client::ConfigurationsClient;
use rpc::{ControlUpdate, NodeReport, PutConfigurationRequest, PutOutcome};
use slog::{Discard, Logger, o};
use testbed::cluster::Cluster;
use testbed::deployment::Deployment;
use testbed::process::wait_until;
use tokio::sync::watch;

const TIMEOUT: Duration = Duration::from_secs(20);
/// Time after an acknowledgement within which nodes act by the version or a newer one.
const MAX_CHANGE_DELAY: Duration = Duration::from_secs(2);
/// Interval between two changes.
const CHANGE_INTERVAL: Duration = Duration::from_millis(150);
/// Timeout after which the operator sends a change to another replica.
const OPERATOR_TIMEOUT: Duration = Duration::from_secs(1);
/// Nodes that are first attached to each replica.
const NODES_PER_REPLICA: usize = 2;
/// Size of a configuration of about 400 routes, in bytes.
const CONFIGURATION_BYTES: usize = 100_000;
/// Data centre of the nodes, whose links are not cut.
const NODE_DATA_CENTRE: &str = "nodes";

/// A version and the time of its acknowledgement or activation.
type VersionTimes = Arc<Mutex<Vec<(u64, Instant)>>>;

/// Node that records when it received each version.
struct RecordingNode {
    name: String,
    control_addresses: Vec<SocketAddr>,
    version: u64,
    activations: VersionTimes,
}

impl AttachedNode for RecordingNode {
    fn control_addresses(&self) -> Vec<SocketAddr> {
        self.control_addresses.clone()
    }

    fn report(&mut self) -> NodeReport {
        NodeReport {
            protocol_version: rpc::PROTOCOL_VERSION,
            cluster_id: "heatherweir".to_owned(),
            vm: self.name.clone(),
            data_centre: NODE_DATA_CENTRE.to_owned(),
            profile_revision: u64::MAX,
            configuration_version: self.version,
            ..NodeReport::default()
        }
    }

    fn apply_update(&mut self, update: ControlUpdate) -> bool {
        let Some(configuration) = update.configuration else { return false };
        let is_newer = configuration.version > self.version;
        if is_newer {
            self.version = configuration.version;
            self.activations.lock().unwrap().push((self.version, Instant::now()));
        }
        is_newer
    }
}

/// Nodes in this process, on a runtime of their own.
struct Nodes {
    activations: Vec<VersionTimes>,
    stop: watch::Sender<bool>,
    thread: JoinHandle<()>,
}

impl Nodes {
    fn start(cluster: &Cluster) -> Self {
        let links = cluster.links().expect("the cluster has relays");
        links.register_process(std::process::id(), NODE_DATA_CENTRE);
        let addresses: Vec<SocketAddr> =
            cluster.controls.iter().map(|control| control.address).collect();
        let (stop, stopped) = watch::channel(false);
        let mut activations = Vec::new();
        let mut nodes = Vec::new();
        for index in 0..NODES_PER_REPLICA * addresses.len() {
            let mut control_addresses = addresses.clone();
            control_addresses.rotate_left(index % addresses.len());
            activations.push(VersionTimes::default());
            nodes.push(RecordingNode {
                name: format!("node-{index}"),
                control_addresses,
                version: 0,
                activations: Arc::clone(&activations[index]),
            });
        }
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
        Self { activations, stop, thread }
    }
}

/// Changes the configuration again and again until it is stopped.
struct Operator {
    acknowledgements: VersionTimes,
    is_stopping: Arc<AtomicBool>,
    thread: JoinHandle<()>,
}

impl Operator {
    fn start(cluster: &Cluster) -> Self {
        let addresses: Vec<SocketAddr> =
            cluster.controls.iter().map(|control| control.address).collect();
        let acknowledgements = VersionTimes::default();
        let is_stopping = Arc::new(AtomicBool::new(false));
        let thread = thread::spawn({
            let (acknowledgements, is_stopping) =
                (Arc::clone(&acknowledgements), Arc::clone(&is_stopping));
            move || {
                let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
                let runtime = runtime.expect("a runtime");
                let mut version = 0;
                for address in addresses.iter().cycle() {
                    while runtime.block_on(put(*address, version)) {
                        version += 1;
                        acknowledgements.lock().unwrap().push((version, Instant::now()));
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

/// Puts the version after `base_version`. Returns whether the replica acknowledged it.
async fn put(address: SocketAddr, base_version: u64) -> bool {
    let Ok(endpoint) = control_link::endpoint(address) else { return false };
    let mut client = ConfigurationsClient::new(endpoint.connect_lazy());
    let version = base_version + 1;
    let text = format!("{version} ").repeat(CONFIGURATION_BYTES / 4);
    let request = PutConfigurationRequest { base_version, version, text: text.into() };
    let reply = tokio::time::timeout(OPERATOR_TIMEOUT, client.put(request)).await;
    matches!(reply, Ok(Ok(reply)) if reply.get_ref().outcome() == PutOutcome::Accepted)
}

/// Returns the versions that were late at a node.
fn late_versions(acknowledgements: &VersionTimes, activations: &VersionTimes) -> Vec<String> {
    let activations = activations.lock().unwrap();
    let acknowledgements = acknowledgements.lock().unwrap();
    let delay = |version: u64, acknowledged: Instant| {
        let active = activations.iter().find(|(active, _)| *active >= version);
        active.map_or(TIMEOUT, |(_, at)| at.saturating_duration_since(acknowledged))
    };
    let delays = acknowledgements.iter().map(|(version, at)| (*version, delay(*version, *at)));
    let late = delays.filter(|(_, delay)| *delay > MAX_CHANGE_DELAY);
    late.map(|(version, delay)| format!("{version} after {delay:?}")).collect()
}

/// Runs `faults` while the configuration changes, and checks every node for every change.
///
/// One cluster exists at a time: the relays look up the source of each connection in `/proc`, and if
/// several clusters do so at once a lookup takes longer than the timeouts of the programs.
fn check_versions_in_time(faults: impl FnOnce(&mut Cluster, usize)) {
    static CLUSTER_LOCK: Mutex<()> = Mutex::new(());
    let _guard = CLUSTER_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    let cluster = Cluster::start_relayed_controls(Deployment::attica());
    let mut cluster = cluster.expect("the replicas start");
    wait_until("there is a leader", TIMEOUT, || cluster.leader().is_some()).expect("a quorum");
    let leader = cluster.leader().expect("there is a leader");
    let nodes = Nodes::start(&cluster);
    let operator = Operator::start(&cluster);
    thread::sleep(Duration::from_secs(2));
    faults(&mut cluster, leader);
    operator.is_stopping.store(true, Ordering::Relaxed);
    operator.thread.join().expect("the operator does not panic");
    thread::sleep(MAX_CHANGE_DELAY);
    nodes.stop.send_replace(true);
    nodes.thread.join().expect("the nodes do not panic");
    let changes = operator.acknowledgements.lock().unwrap().len();
    assert!(changes > 10, "only {changes} changes were acknowledged");
    for (index, activations) in nodes.activations.iter().enumerate() {
        let late = late_versions(&operator.acknowledgements, activations);
        assert!(late.is_empty(), "node {index} of {changes} changes: {late:?}");
    }
}

fn data_centres(cluster: &Cluster) -> Vec<String> {
    cluster.controls.iter().map(|control| control.data_centre.clone()).collect()
}

/// Direction in which the links between a replica and the others are cut.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Cut {
    Both,
    FromReplica,
    ToReplica,
}

fn cut(cluster: &Cluster, replica: usize, cut: Cut) {
    let links = cluster.links().expect("the cluster has relays");
    let data_centres = data_centres(cluster);
    let own = &data_centres[replica];
    for other in data_centres.iter().filter(|other| *other != own) {
        if cut != Cut::ToReplica {
            links.cut(own, other);
        }
        if cut != Cut::FromReplica {
            links.cut(other, own);
        }
    }
}

fn heal(cluster: &Cluster) {
    cluster.links().expect("the cluster has relays").heal();
}

/// Checks nodes while a replica at this distance from the leader is cut off.
macro_rules! replicas_cut_off {
    ($($name:ident: $distance:literal, $cut:expr;)*) => {
        $(
            #[test]
            fn $name() {
                check_versions_in_time(|cluster, leader| {
                    let replica = (leader + $distance) % cluster.controls.len();
                    cut(cluster, replica, $cut);
                    thread::sleep(Duration::from_secs(5));
                    heal(cluster);
                    thread::sleep(Duration::from_secs(2));
                });
            }
        )*
    };
}

replicas_cut_off! {
    changes_reach_nodes_of_a_follower_that_is_cut_off: 1, Cut::Both;
    changes_reach_nodes_of_a_leader_that_is_cut_off: 0, Cut::Both;
    changes_reach_nodes_of_a_follower_that_cannot_answer_its_leader: 1, Cut::FromReplica;
    changes_reach_nodes_of_a_follower_that_does_not_hear_its_leader: 1, Cut::ToReplica;
    changes_reach_nodes_of_a_leader_that_cannot_send: 0, Cut::FromReplica;
    changes_reach_nodes_of_a_leader_that_hears_no_answers: 0, Cut::ToReplica;
}

/// The day that the users reported: one replica is cut off and restarted, then the two others.
#[test]
fn changes_reach_nodes_when_replicas_restart_behind_a_cut() {
    check_versions_in_time(|cluster, leader| {
        let isolated = (leader + 1) % cluster.controls.len();
        cut(cluster, isolated, Cut::Both);
        thread::sleep(Duration::from_secs(1));
        cluster.restart_control(isolated).expect("the replica starts again");
        thread::sleep(Duration::from_secs(2));
        for other in (0..cluster.controls.len()).filter(|index| *index != isolated) {
            cluster.controls[other].process.kill();
        }
        for other in (0..cluster.controls.len()).filter(|index| *index != isolated) {
            cluster.restart_control(other).expect("the replica starts again");
        }
        thread::sleep(Duration::from_secs(6));
        heal(cluster);
        thread::sleep(Duration::from_secs(2));
    });
}

#[test]
fn changes_reach_nodes_when_replicas_are_cut_off_one_after_the_other() {
    check_versions_in_time(|cluster, leader| {
        for distance in 1..=2 {
            cut(cluster, (leader + distance) % cluster.controls.len(), Cut::Both);
            thread::sleep(Duration::from_millis(1_200));
            heal(cluster);
        }
        thread::sleep(Duration::from_secs(2));
    });
}

/// A replica that is frozen for less than the time in which its silence is noticed.
#[test]
fn changes_reach_nodes_of_a_replica_that_is_frozen_again_and_again() {
    check_versions_in_time(|cluster, leader| {
        let replica = (leader + 1) % cluster.controls.len();
        for _ in 0..6 {
            cluster.controls[replica].process.freeze().expect("the replica freezes");
            thread::sleep(Duration::from_millis(700));
            cluster.controls[replica].process.thaw().expect("the replica continues");
            thread::sleep(Duration::from_millis(250));
        }
    });
}

#[test]
fn changes_reach_nodes_of_a_replica_with_an_emptied_disk() {
    check_versions_in_time(|cluster, leader| {
        let replica = (leader + 1) % cluster.controls.len();
        cluster.controls[replica].process.kill();
        fs::remove_dir_all(&cluster.controls[replica].data_dir).expect("the disk is emptied");
        cluster.restart_control(replica).expect("the replica starts again");
        thread::sleep(Duration::from_secs(5));
    });
}

#[test]
fn changes_reach_nodes_when_links_go_silent() {
    check_versions_in_time(|cluster, _| {
        for _ in 0..3 {
            cluster.links().expect("the cluster has relays").silence_open_connections();
            thread::sleep(Duration::from_secs(3));
        }
    });
}

//! Fault tolerance: cut links, silent connections and requests that crash upstreams.

use std::ops::{Deref, DerefMut};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use ctl::{CtlError, OperatorClient};
use testbed::caller::Caller;
use testbed::cluster::{Cluster, OPERATOR_TOKEN, node_status};
use testbed::deployment::Deployment;
use testbed::process::wait_until;
use testbed::relay::Links;

const TIMEOUT: Duration = Duration::from_secs(20);
/// Time within which reads must succeed again after connections went silent.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(2);
const DATA_CENTRES: &[&str] = &["kifisia", "peiraias", "marousi"];

/// A cluster with relays. Only one exists at a time.
///
/// The relays look up each connection's source in `/proc`. If several clusters do so at once, a
/// lookup can take longer than the ping timeout of the programs.
struct RelayedCluster {
    cluster: Cluster,
    _guard: MutexGuard<'static, ()>,
}

impl Deref for RelayedCluster {
    type Target = Cluster;

    fn deref(&self) -> &Cluster {
        &self.cluster
    }
}

impl DerefMut for RelayedCluster {
    fn deref_mut(&mut self) -> &mut Cluster {
        &mut self.cluster
    }
}

fn start_relayed_cluster() -> RelayedCluster {
    static CLUSTER_LOCK: Mutex<()> = Mutex::new(());
    let guard = CLUSTER_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    let cluster = Cluster::start_relayed(Deployment::pair()).expect("the cluster starts");
    RelayedCluster { cluster, _guard: guard }
}

/// Returns the text of the front service's profile with another `cold_ramp_ms`.
fn front_profile_text(cluster: &Cluster, cold_ramp_ms: u64) -> String {
    let path = cluster.deployment.profile_dir.join("front.toml");
    let text = std::fs::read_to_string(path).expect("the profile is there");
    text.replace("cold_ramp_ms = 0", &format!("cold_ramp_ms = {cold_ramp_ms}"))
}

fn profile_revision(cluster: &Cluster, index: usize) -> u64 {
    let status = node_status(cluster.instances[index].node_admin);
    status.and_then(|status| status["profile_revision"].as_u64()).unwrap_or(0)
}

#[test]
fn isolated_data_centre_serves_reads_and_receives_missed_changes() {
    let cluster = start_relayed_cluster();
    let links = cluster.links().expect("there are relays");
    let caller = Caller::new();
    // The first front node and the first back node are in the same data centre.
    let entry_address = cluster.entry_addresses()[0];
    let data_centre = cluster.instances[0].data_centre.clone();
    links.isolate(&data_centre, DATA_CENTRES);
    let others: Vec<_> = cluster
        .controls
        .iter()
        .filter(|c| c.data_centre != data_centre)
        .map(|c| c.address)
        .collect();
    let operator = OperatorClient::new(others, OPERATOR_TOKEN).expect("a client");
    let mut result = Ok(0);
    wait_until("the others have a quorum", TIMEOUT, || {
        result = operator.apply("front", 1, &front_profile_text(&cluster, 1));
        !matches!(result, Err(CtlError::Unreachable(_)))
    })
    .expect("the others have a quorum");
    match result {
        Err(CtlError::Pending(_, 2, data_centres)) => assert_eq!(data_centres, vec![data_centre]),
        other => panic!("unexpected result of a change that is not in force everywhere: {other:?}"),
    }
    for _ in 0..20 {
        let reply = caller.get(entry_address, "/pages/1").expect("the read is answered");
        assert_eq!(reply.status, 200, "{reply:?}, lookup {:?}", links.max_source_lookup());
    }
    let reply =
        caller.purchase(entry_address, "/purchases/1", "cut").expect("the refusal is answered");
    assert_ne!(reply.status, 200, "{reply:?}");
    assert_eq!(cluster.runs_of("cut", "back").expect("the upstreams answer"), 0);
    links.heal();
    wait_until("the change is in force", Duration::from_secs(5), || {
        (0..cluster.instances.len()).all(|index| profile_revision(&cluster, index) == 3)
    })
    .expect("the change is in force after the links are restored");
}

/// Cuts links of the leader and checks that the other replicas accept changes, and that the old
/// leader has all of them after the links are restored.
fn check_cut_leader(cut: impl Fn(&Links, &str, &str)) {
    let cluster = start_relayed_cluster();
    let links = cluster.links().expect("there are relays");
    let mut leader = None;
    wait_until("there is a leader", TIMEOUT, || {
        leader = cluster.leader();
        leader.is_some()
    })
    .expect("a quorum");
    let leader = &cluster.controls[leader.expect("the condition held")];
    let others: Vec<_> =
        cluster.controls.iter().filter(|c| c.data_centre != leader.data_centre).collect();
    for other in &others {
        cut(links, &leader.data_centre, &other.data_centre);
    }
    let addresses: Vec<_> = others.iter().map(|other| other.address).collect();
    let operator = OperatorClient::new(addresses, OPERATOR_TOKEN).expect("a client");
    for version in 1..4 {
        let text = front_profile_text(&cluster, version);
        let mut result = Ok(0);
        wait_until("the others have a quorum", TIMEOUT, || {
            result = operator.apply("front", version, &text);
            !matches!(result, Err(CtlError::Unreachable(_)))
        })
        .expect("the others elect a leader");
        assert!(matches!(result, Ok(_) | Err(CtlError::Pending(..))), "{result:?}");
    }
    links.heal();
    let healed = OperatorClient::new([leader.address], OPERATOR_TOKEN).expect("a client");
    wait_until("the old leader follows", TIMEOUT, || {
        let record = healed.get("front").ok().flatten();
        record.is_some_and(|record| record.version == 4)
    })
    .expect("the old leader has every accepted change");
}

#[test]
fn no_change_is_lost_when_the_leader_is_isolated() {
    check_cut_leader(|links, leader, other| {
        links.cut(leader, other);
        links.cut(other, leader);
    });
}

#[test]
fn no_change_is_lost_when_the_leader_cannot_send() {
    check_cut_leader(|links, leader, other| links.cut(leader, other));
}

#[test]
fn no_change_is_lost_when_the_leader_cannot_receive() {
    check_cut_leader(|links, leader, other| links.cut(other, leader));
}

#[test]
fn node_that_starts_in_an_isolated_data_centre_has_the_accepted_profiles() {
    let mut cluster = start_relayed_cluster();
    let data_centre = cluster.instances[0].data_centre.clone();
    let entry_address = cluster.entry_addresses()[0];
    cluster.links().expect("there are relays").isolate(&data_centre, DATA_CENTRES);
    cluster.restart_node(0).expect("the node starts");
    let caller = Caller::new();
    wait_until("reads are served", TIMEOUT, || {
        caller.get(entry_address, "/pages/1").is_ok_and(|reply| reply.status == 200)
    })
    .expect("the node comes up with its data centre's replica");
    assert_eq!(profile_revision(&cluster, 0), 2);
}

#[test]
fn silent_connections_are_replaced() {
    let cluster = start_relayed_cluster();
    let entry_addresses = cluster.entry_addresses();
    let caller = Caller::new();
    for number in 0..20 {
        let entry_address = entry_addresses[number % entry_addresses.len()];
        assert_eq!(caller.get(entry_address, "/pages/1").expect("answered").status, 200);
    }
    cluster.links().expect("there are relays").silence_open_connections();
    thread::sleep(RECOVERY_TIMEOUT);
    // A new caller opens new connections; those between the programs must be replaced by the
    // programs.
    let caller = Caller::new();
    for number in 0..20 {
        let entry_address = entry_addresses[number % entry_addresses.len()];
        let reply = caller.get(entry_address, "/pages/1").expect("the read is answered");
        assert_eq!(reply.status, 200, "{reply:?}");
        assert!(reply.elapsed < RECOVERY_TIMEOUT, "{:?}", reply.elapsed);
    }
}

#[test]
fn request_that_crashes_upstreams_is_quarantined_after_two_crashes() {
    let mut cluster = Cluster::start(Deployment::pair()).expect("the cluster starts");
    let crash_on_poison = |cluster: &Cluster| {
        // An upstream that has just started may not respond yet.
        cluster.change_behaviour("back", |b| b.crash_on = Some("poison".to_owned())).is_ok()
    };
    let caller = Caller::new();
    let entry_addresses = cluster.entry_addresses();
    let mut statuses = Vec::new();
    for round in 0..6 {
        wait_until("the upstreams are up", TIMEOUT, || crash_on_poison(&cluster))
            .expect("they answer");
        wait_until("reads are served", TIMEOUT, || {
            caller.get(entry_addresses[0], "/pages/1").is_ok_and(|reply| reply.status == 200)
        })
        .expect("an innocent read is served");
        let reply = caller.get(entry_addresses[round % 2], "/pages/poison").expect("answered");
        statuses.push(reply.status);
        for index in 0..cluster.instances.len() {
            if !cluster.instances[index].upstream.is_running() {
                cluster.restart_upstream(index).expect("the upstream starts again");
            }
        }
    }
    let crashes: usize = cluster
        .instances
        .iter()
        .map(|instance| instance.upstream.log_text().matches("crash path=").count())
        .sum();
    assert_eq!(crashes, 2, "{statuses:?}");
    assert_eq!(statuses.last(), Some(&422), "{statuses:?}");
}

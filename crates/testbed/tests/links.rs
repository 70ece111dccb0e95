//! Cut links, silent connections and requests that crash upstreams.

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

const LIMIT: Duration = Duration::from_secs(20);
/// Time in which things are normal again after a fault.
const RECOVERY: Duration = Duration::from_secs(2);
const DATA_CENTRES: &[&str] = &["kifisia", "peiraias", "marousi"];

/// A cluster behind relays, one at a time.
///
/// The relays look up each connection's source in the system, which takes longer than the programs wait
/// for an answer to a ping when several clusters do so at once.
struct Relayed {
    cluster: Cluster,
    _turn: MutexGuard<'static, ()>,
}

impl Deref for Relayed {
    type Target = Cluster;

    fn deref(&self) -> &Cluster {
        &self.cluster
    }
}

impl DerefMut for Relayed {
    fn deref_mut(&mut self) -> &mut Cluster {
        &mut self.cluster
    }
}

fn relayed() -> Relayed {
    static TURN: Mutex<()> = Mutex::new(());
    let turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    let cluster = Cluster::start_relayed(Deployment::pair()).expect("the cluster starts");
    Relayed { cluster, _turn: turn }
}

fn front_text(cluster: &Cluster, delay_ms: u64) -> String {
    let path = cluster.deployment.profile_dir.join("front.toml");
    let text = std::fs::read_to_string(path).expect("the profile is there");
    text.replace("cold_ramp_ms = 0", &format!("cold_ramp_ms = {delay_ms}"))
}

fn revision(cluster: &Cluster, index: usize) -> u64 {
    let status = node_status(cluster.instances[index].node_admin);
    status.and_then(|status| status["profile_revision"].as_u64()).unwrap_or(0)
}

#[test]
fn cut_off_data_centre_goes_on_and_misses_no_change() {
    let cluster = relayed();
    let links = cluster.links().expect("there are relays");
    let caller = Caller::new();
    // The first front and the first back stand in the same data centre.
    let entry = cluster.entries()[0];
    let place = cluster.instances[0].data_centre.clone();
    links.isolate(&place, DATA_CENTRES);
    let others: Vec<_> =
        cluster.controls.iter().filter(|c| c.data_centre != place).map(|c| c.address).collect();
    let operator = OperatorClient::new(others, OPERATOR_TOKEN).expect("a client");
    let mut result = Ok(0);
    wait_until("the others have a quorum", LIMIT, || {
        result = operator.apply("front", 1, &front_text(&cluster, 1));
        !matches!(result, Err(CtlError::Unreachable(_)))
    })
    .expect("the others have a quorum");
    match result {
        Err(CtlError::Pending(_, 2, data_centres)) => assert_eq!(data_centres, vec![place]),
        other => panic!("a change that is not in force everywhere was called {other:?}"),
    }
    for _ in 0..20 {
        let reply = caller.get(entry, "/pages/1").expect("the read is answered");
        assert_eq!(reply.status, 200, "{reply:?}, lookup {:?}", links.slowest_lookup());
    }
    let reply = caller.charge(entry, "/purchases/1", "cut").expect("the refusal is answered");
    assert_ne!(reply.status, 200, "{reply:?}");
    assert_eq!(cluster.runs_of("cut", "back").expect("the upstreams answer"), 0);
    links.heal();
    wait_until("the change is in force", Duration::from_secs(5), || {
        (0..cluster.instances.len()).all(|index| revision(&cluster, index) == 3)
    })
    .expect("the change takes hold when the data centre returns");
}

/// Cuts the leader's ways in one or both directions while changes go on elsewhere.
fn check_cut_leader(cut: impl Fn(&Links, &str, &str)) {
    let cluster = relayed();
    let links = cluster.links().expect("there are relays");
    let mut leader = None;
    wait_until("there is a leader", LIMIT, || {
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
        let text = front_text(&cluster, version);
        let mut result = Ok(0);
        wait_until("the others have a quorum", LIMIT, || {
            result = operator.apply("front", version, &text);
            !matches!(result, Err(CtlError::Unreachable(_)))
        })
        .expect("the others elect a leader");
        assert!(matches!(result, Ok(_) | Err(CtlError::Pending(..))), "{result:?}");
    }
    links.heal();
    let healed = OperatorClient::new([leader.address], OPERATOR_TOKEN).expect("a client");
    wait_until("the old leader follows", LIMIT, || {
        let record = healed.get("front").ok().flatten();
        record.is_some_and(|record| record.version == 4)
    })
    .expect("nothing accepted is missing after the heal");
}

#[test]
fn leader_that_is_cut_off_loses_nothing() {
    check_cut_leader(|links, leader, other| {
        links.cut(leader, other);
        links.cut(other, leader);
    });
}

#[test]
fn leader_that_is_not_heard_loses_nothing() {
    check_cut_leader(|links, leader, other| links.cut(leader, other));
}

#[test]
fn leader_that_hears_nothing_loses_nothing() {
    check_cut_leader(|links, leader, other| links.cut(other, leader));
}

#[test]
fn node_that_starts_in_a_cut_off_data_centre_has_the_accepted_profiles() {
    let mut cluster = relayed();
    let place = cluster.instances[0].data_centre.clone();
    let entry = cluster.entries()[0];
    cluster.links().expect("there are relays").isolate(&place, DATA_CENTRES);
    cluster.restart_node(0).expect("the node starts");
    let caller = Caller::new();
    wait_until("reads are served", LIMIT, || {
        caller.get(entry, "/pages/1").is_ok_and(|reply| reply.status == 200)
    })
    .expect("the node comes up with its data centre's replica");
    assert_eq!(revision(&cluster, 0), 2);
}

#[test]
fn silent_connections_are_replaced() {
    let cluster = relayed();
    let entries = cluster.entries();
    let caller = Caller::new();
    for number in 0..20 {
        let entry = entries[number % entries.len()];
        assert_eq!(caller.get(entry, "/pages/1").expect("answered").status, 200);
    }
    cluster.links().expect("there are relays").silence_open_connections();
    thread::sleep(RECOVERY);
    // A new connection of the caller; those between the programs are theirs to replace.
    let caller = Caller::new();
    for number in 0..20 {
        let entry = entries[number % entries.len()];
        let reply = caller.get(entry, "/pages/1").expect("the read is answered");
        assert_eq!(reply.status, 200, "{reply:?}");
        assert!(reply.elapsed < RECOVERY, "{:?}", reply.elapsed);
    }
}

#[test]
fn request_that_crashes_upstreams_is_quarantined_after_two_deaths() {
    let mut cluster = Cluster::start(Deployment::pair()).expect("the cluster starts");
    let poison = |cluster: &Cluster| {
        // An upstream that has just started may not answer yet.
        cluster.change_behaviour("back", |b| b.crash_on = Some("poison".to_owned())).is_ok()
    };
    let caller = Caller::new();
    let entries = cluster.entries();
    let mut reasons = Vec::new();
    for round in 0..6 {
        wait_until("the upstreams are up", LIMIT, || poison(&cluster)).expect("they answer");
        wait_until("reads are served", LIMIT, || {
            caller.get(entries[0], "/pages/1").is_ok_and(|reply| reply.status == 200)
        })
        .expect("an innocent read is served");
        let reply = caller.get(entries[round % 2], "/pages/poison").expect("answered");
        reasons.push(reply.status);
        for index in 0..cluster.instances.len() {
            if !cluster.instances[index].upstream.is_running() {
                cluster.restart_upstream(index).expect("the upstream starts again");
            }
        }
    }
    let deaths: usize = cluster
        .instances
        .iter()
        .map(|instance| instance.upstream.log_text().matches("crash path=").count())
        .sum();
    assert_eq!(deaths, 2, "{reasons:?}");
    assert_eq!(reasons.last(), Some(&422), "{reasons:?}");
}

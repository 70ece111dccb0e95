//! Accepted changes of profiles survive concurrent operators, lost answers, lost disks and killed
//! or frozen replicas.

use std::fs;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use ctl::{CtlError, OperatorClient, change_id};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rpc::ChangeRequest;
use testbed::cluster::{Cluster, OPERATOR_TOKEN};
use testbed::deployment::Deployment;
use testbed::process::wait_until;

const TIMEOUT: Duration = Duration::from_secs(20);
/// Time within which all replicas must serve again after a restart.
const RESTART_TIMEOUT: Duration = Duration::from_secs(2);

fn start_controls() -> Cluster {
    let cluster = Cluster::start_controls(Deployment::pair()).expect("the replicas start");
    wait_until("there is a leader", TIMEOUT, || cluster.leader().is_some()).expect("a quorum");
    cluster
}

fn operator(address: SocketAddr) -> OperatorClient {
    OperatorClient::new([address], OPERATOR_TOKEN).expect("a client")
}

fn profile_text(name: &str, delay_ms: u64) -> String {
    format!(
        "name = \"{name}\"\n[limits]\nmax_queue_delay_ms = {delay_ms}\n\n[[route]]\n\
         name = \"read\"\npath_prefix = \"/\"\nclass = \"sheddable-plus\"\nidempotent = true\n\
         deadline_ms = 1000\n"
    )
}

/// Applies a change, retrying until there is a quorum, and returns its version. A pending change is
/// committed too; it is only not yet in force in every data centre.
fn apply(operator: &OperatorClient, name: &str, base_version: u64, text: &str) -> u64 {
    let mut version = 0;
    wait_until("the change is committed", TIMEOUT, || {
        match operator.apply(name, base_version, text) {
            Ok(accepted) | Err(CtlError::Pending(_, accepted, _)) => version = accepted,
            Err(CtlError::Unreachable(_)) => return false,
            Err(error) => panic!("{error}"),
        }
        true
    })
    .expect("there is a quorum");
    version
}

fn version_of(operator: &OperatorClient, name: &str) -> Option<u64> {
    operator.get(name).ok().flatten().map(|record| record.version)
}

#[test]
fn one_of_two_concurrent_changes_wins() {
    const ROUNDS: u64 = 200;
    let cluster = start_controls();
    let addresses = [cluster.controls[0].address, cluster.controls[1].address];
    let first = operator(addresses[0]);
    apply(&first, "raced", 0, &profile_text("raced", 1));
    for round in 1..=ROUNDS {
        let handles = addresses.map(|address| {
            let delay_ms = if address == addresses[0] { round } else { 5_000 + round };
            thread::spawn(move || {
                let result =
                    operator(address).apply("raced", round, &profile_text("raced", delay_ms));
                (change_id("raced", round, Some(&profile_text("raced", delay_ms))), result)
            })
        });
        let results = handles.map(|handle| handle.join().expect("no panic"));
        let winners = results.iter().filter(|(_, result)| result.is_ok()).count();
        assert_eq!(winners, 1, "round {round}: {results:?}");
        let winner = &results.iter().find(|(_, result)| result.is_ok()).expect("one").0;
        for (_, result) in &results {
            if let Err(error) = result {
                let CtlError::Conflict(_, version, winner_in_error) = error else {
                    panic!("{error}")
                };
                assert_eq!((*version, winner_in_error), (round + 1, winner));
            }
        }
    }
}

#[test]
fn change_through_a_follower_is_pending_while_the_leader_is_frozen() {
    let cluster = start_controls();
    let leader = cluster.leader().expect("there is a leader");
    let follower = (leader + 1) % cluster.controls.len();
    cluster.controls[leader].process.freeze().expect("the leader freezes");
    // The follower has not detected the loss of its leader yet.
    let result = operator(cluster.controls[follower].address).apply(
        "outlasting",
        0,
        &profile_text("outlasting", 1),
    );
    let data_centre = cluster.controls[leader].data_centre.clone();
    cluster.controls[leader].process.thaw().expect("the replica continues");
    match result {
        Err(CtlError::Pending(_, 1, pending)) => assert_eq!(pending, [data_centre]),
        other => panic!("unexpected result of a change without the old leader: {other:?}"),
    }
}

#[test]
fn resent_change_gets_its_first_answer_and_is_applied_once() {
    let mut cluster = start_controls();
    let all: Vec<SocketAddr> = cluster.controls.iter().map(|control| control.address).collect();
    let operator = OperatorClient::new(all, OPERATOR_TOKEN).expect("a client");
    let request = ChangeRequest {
        change_id: "first".to_owned(),
        name: "resent".to_owned(),
        text: profile_text("resent", 1),
        operator_token: OPERATOR_TOKEN.to_owned(),
        ..ChangeRequest::default()
    };
    let send_request = |operator: &OperatorClient| {
        let mut version = 0;
        wait_until("the resend is answered", TIMEOUT, || {
            match operator.change(request.clone()) {
                Ok(accepted) | Err(CtlError::Pending(_, accepted, _)) => version = accepted,
                Err(_) => return false,
            }
            true
        })
        .expect("the resend is answered");
        version
    };
    assert_eq!(send_request(&operator), 1);
    assert_eq!(send_request(&operator), 1, "at once");
    assert_eq!(apply(&operator, "resent", 1, &profile_text("resent", 2)), 2);
    assert_eq!(send_request(&operator), 1, "after a newer change");
    let leader = cluster.leader().expect("there is a leader");
    cluster.controls[leader].process.kill();
    assert_eq!(send_request(&operator), 1, "after a fail-over");
    assert_eq!(version_of(&operator, "resent"), Some(2), "nothing was reverted");
    let reused =
        ChangeRequest { name: "other".to_owned(), text: profile_text("other", 1), ..request };
    assert!(matches!(operator.change(reused), Err(CtlError::Refused(_))));
}

#[test]
fn invalid_and_unauthorized_changes_are_refused_and_store_nothing() {
    let cluster = start_controls();
    let operator = cluster.operator().expect("a client");
    let refused = |result: Result<u64, CtlError>, part: &str| match result {
        Err(CtlError::Refused(detail)) => assert!(detail.contains(part), "{detail}"),
        other => panic!("{other:?}"),
    };
    refused(operator.apply("bad", 0, "name = 5"), "line 1");
    refused(operator.apply("bad", 0, &profile_text("other", 1)), "the text defines other");
    refused(operator.retire("bad", 0), "unknown profile");
    let addresses: Vec<SocketAddr> = cluster.controls.iter().map(|c| c.address).collect();
    let unauthorized_operator = OperatorClient::new(addresses, "wrong token").expect("a client");
    refused(unauthorized_operator.apply("bad", 0, &profile_text("bad", 1)), "unauthorized");
    assert_eq!(operator.list().expect("the list is answered").profiles, Vec::new());
}

#[test]
fn frozen_leader_is_replaced_and_catches_up_when_it_resumes() {
    let cluster = start_controls();
    let leader = cluster.leader().expect("there is a leader");
    let other_addresses: Vec<SocketAddr> = cluster
        .controls
        .iter()
        .enumerate()
        .filter(|(index, _)| *index != leader)
        .map(|(_, control)| control.address)
        .collect();
    apply(&operator(cluster.controls[leader].address), "kept", 0, &profile_text("kept", 1));
    cluster.controls[leader].process.freeze().expect("the leader freezes");
    let operator_of_others =
        OperatorClient::new(other_addresses, OPERATOR_TOKEN).expect("a client");
    assert_eq!(apply(&operator_of_others, "kept", 1, &profile_text("kept", 2)), 2);
    cluster.controls[leader].process.thaw().expect("the leader resumes");
    let old_leader = operator(cluster.controls[leader].address);
    wait_until("the old leader follows", TIMEOUT, || version_of(&old_leader, "kept") == Some(2))
        .expect("it catches up");
    assert_eq!(apply(&old_leader, "kept", 2, &profile_text("kept", 3)), 3);
}

#[test]
fn replica_with_an_emptied_disk_is_replaced_as_a_voter() {
    let mut cluster = start_controls();
    let operator_of_all = cluster.operator().expect("a client");
    for version in 0..30 {
        apply(&operator_of_all, "kept", version, &profile_text("kept", version + 1));
    }
    let wiped = (cluster.leader().expect("there is a leader") + 1) % 3;
    let old_ids = cluster.voter_ids();
    cluster.controls[wiped].process.kill();
    let data_dir = cluster.controls[wiped].data_dir.clone();
    fs::remove_dir_all(&data_dir).expect("the disk is emptied");
    cluster.restart_control(wiped).expect("the replica starts again");
    wait_until("the repair is done", TIMEOUT, || {
        let ids = cluster.voter_ids();
        ids.len() == 3 && ids != old_ids && cluster.learner_count() == 0
    })
    .expect("the fresh replica votes and the lost one is removed");
    let killed = cluster.leader().expect("there is a leader");
    cluster.controls[killed].process.kill();
    fs::remove_dir_all(&cluster.controls[killed].data_dir)
        .expect("the files of the second replica are removed");
    assert_eq!(apply(&operator_of_all, "kept", 30, &profile_text("kept", 31)), 31);
    assert_eq!(version_of(&operator_of_all, "kept"), Some(31));
}

#[test]
fn replica_with_an_emptied_disk_does_not_count_towards_a_quorum() {
    let mut cluster = start_controls();
    let operator_of_all = cluster.operator().expect("a client");
    apply(&operator_of_all, "kept", 0, &profile_text("kept", 1));
    let leader = cluster.leader().expect("there is a leader");
    let (wiped, other) = ((leader + 1) % 3, (leader + 2) % 3);
    cluster.controls[other].process.kill();
    cluster.controls[wiped].process.kill();
    fs::remove_dir_all(&cluster.controls[wiped].data_dir).expect("the disk is emptied");
    cluster.restart_control(wiped).expect("the replica starts again");
    // Only one replica of three holds the accepted change, so there must be no quorum.
    thread::sleep(Duration::from_secs(2));
    let result = operator_of_all.apply("kept", 1, &profile_text("kept", 2));
    assert!(matches!(result, Err(CtlError::Unreachable(_))), "{result:?}");
    cluster.restart_control(other).expect("the replica starts again");
    assert_eq!(apply(&operator_of_all, "kept", 1, &profile_text("kept", 2)), 2);
}

#[test]
fn accepted_changes_survive_a_kill_of_all_replicas() {
    const CHANGES: u64 = 300;
    let mut cluster = start_controls();
    let operator_of_all = cluster.operator().expect("a client");
    for version in 0..CHANGES {
        apply(&operator_of_all, "kept", version, &profile_text("kept", version + 1));
    }
    for control in &mut cluster.controls {
        control.process.kill();
    }
    let started = Instant::now();
    for index in 0..cluster.controls.len() {
        cluster.restart_control(index).expect("the replica starts again");
    }
    wait_until("the quorum is back", RESTART_TIMEOUT, || {
        cluster.leader().is_some() && version_of(&operator_of_all, "kept") == Some(CHANGES)
    })
    .expect("the restart is quick and complete");
    println!("restart after {CHANGES} changes took {:?}", started.elapsed());
    for control in &cluster.controls {
        let log_bytes = fs::metadata(control.data_dir.join("log")).expect("the log is there").len();
        assert!(log_bytes < 16 * 1024 * 1024, "{log_bytes}");
    }
}

/// Kills all replicas at a random time while changes are applied, once for each seed.
#[test]
fn accepted_changes_survive_kills_at_random_times() {
    const SEEDS: u64 = 20;
    let mut cluster = start_controls();
    let addresses: Vec<SocketAddr> = cluster.controls.iter().map(|c| c.address).collect();
    let operator_of_all = cluster.operator().expect("a client");
    let mut version = 0;
    for seed in 0..SEEDS {
        let accepted = Arc::new(AtomicU64::new(version));
        let stop = Arc::new(AtomicBool::new(false));
        let changes = {
            let (accepted, stop) = (Arc::clone(&accepted), Arc::clone(&stop));
            let operator = OperatorClient::new(addresses.clone(), OPERATOR_TOKEN);
            let operator = operator.expect("a client");
            thread::spawn(move || apply_until(&operator, version, &accepted, &stop))
        };
        let pause = StdRng::seed_from_u64(seed).random_range(20..400);
        thread::sleep(Duration::from_millis(pause));
        for control in &mut cluster.controls {
            control.process.kill();
        }
        stop.store(true, Ordering::Relaxed);
        changes.join().expect("no panic");
        for index in 0..cluster.controls.len() {
            cluster.restart_control(index).expect("the replica starts again");
        }
        let accepted = accepted.load(Ordering::Relaxed);
        let mut record = None;
        wait_until("all accepted changes are readable", TIMEOUT, || {
            record = operator_of_all.get("kept").ok().flatten();
            version = record.as_ref().map_or(0, |record| record.version);
            cluster.leader().is_some() && version >= accepted
        })
        .expect("no accepted change is lost");
        // The change whose answer was lost may have been committed, too.
        assert!((accepted..=accepted + 1).contains(&version), "seed {seed}: {version}, {accepted}");
        if let Some(record) = record {
            assert_eq!(record.text, profile_text("kept", version), "seed {seed}");
        }
    }
    assert!(version > SEEDS, "changes were accepted between the kills");
}

/// Applies one change after another and stores the version of the last accepted one.
fn apply_until(operator: &OperatorClient, from: u64, accepted: &AtomicU64, stop: &AtomicBool) {
    for version in from.. {
        match operator.apply("kept", version, &profile_text("kept", version + 1)) {
            Ok(applied) | Err(CtlError::Pending(_, applied, _)) => {
                accepted.store(applied, Ordering::Relaxed);
            }
            Err(_) => return,
        }
        if stop.load(Ordering::Relaxed) {
            return;
        }
    }
}

#[test]
fn damaged_log_stops_the_replica_with_an_error_that_names_file_and_offset() {
    let mut cluster = start_controls();
    let operator_of_all = cluster.operator().expect("a client");
    for version in 0..5 {
        apply(&operator_of_all, "kept", version, &profile_text("kept", version + 1));
    }
    cluster.controls[0].process.kill();
    let path = cluster.controls[0].data_dir.join("log");
    let mut bytes = fs::read(&path).expect("the log is there");
    let middle = bytes.len() / 2;
    bytes[middle] ^= 1;
    fs::write(&path, &bytes).expect("the log is damaged");
    cluster.restart_control(0).expect("the process starts");
    let status = cluster.controls[0].process.wait(TIMEOUT).expect("the process ends");
    assert!(!status.success());
    let log = cluster.controls[0].process.log_text();
    assert!(log.contains("is damaged at byte") && log.contains("/log"), "{log}");
    assert_eq!(fs::read(&path).expect("the log is there"), bytes, "nothing was reset");
    assert_eq!(version_of(&operator_of_all, "kept"), Some(5), "the other replicas still serve");
}

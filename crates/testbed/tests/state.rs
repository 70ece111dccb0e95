//! Profiles and claims survive races, lost answers, lost disks and kills.

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

const LIMIT: Duration = Duration::from_secs(20);
/// Time in which a replica is back after a restart.
const RESTART_LIMIT: Duration = Duration::from_secs(2);

fn controls() -> Cluster {
    let cluster = Cluster::start_controls(Deployment::pair()).expect("the replicas start");
    wait_until("there is a leader", LIMIT, || cluster.leader().is_some()).expect("a quorum");
    cluster
}

fn operator(address: SocketAddr) -> OperatorClient {
    OperatorClient::new([address], OPERATOR_TOKEN).expect("a client")
}

fn text(name: &str, delay_ms: u64) -> String {
    format!(
        "name = \"{name}\"\n[limits]\nmax_queue_delay_ms = {delay_ms}\n\n[[route]]\n\
         name = \"read\"\npath_prefix = \"/\"\nclass = \"sheddable-plus\"\nidempotent = true\n\
         deadline_ms = 1000\n"
    )
}

/// Applies a change, waiting for a quorum. A change that is pending is committed too.
fn apply(operator: &OperatorClient, name: &str, base_version: u64, text: &str) -> u64 {
    let mut version = 0;
    wait_until("the change is committed", LIMIT, || {
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
fn one_of_two_racing_operators_wins() {
    const ROUNDS: u64 = 200;
    let cluster = controls();
    let addresses = [cluster.controls[0].address, cluster.controls[1].address];
    let first = operator(addresses[0]);
    apply(&first, "raced", 0, &text("raced", 1));
    for round in 1..=ROUNDS {
        let racers = addresses.map(|address| {
            let delay_ms = if address == addresses[0] { round } else { 5_000 + round };
            thread::spawn(move || {
                let result = operator(address).apply("raced", round, &text("raced", delay_ms));
                (change_id("raced", round, Some(&text("raced", delay_ms))), result)
            })
        });
        let results = racers.map(|racer| racer.join().expect("no panic"));
        let winners = results.iter().filter(|(_, result)| result.is_ok()).count();
        assert_eq!(winners, 1, "round {round}: {results:?}");
        let winner = &results.iter().find(|(_, result)| result.is_ok()).expect("one").0;
        for (_, result) in &results {
            if let Err(error) = result {
                let CtlError::Conflict(_, version, named) = error else { panic!("{error}") };
                assert_eq!((*version, named), (round + 1, winner));
            }
        }
    }
}

#[test]
fn change_through_one_replica_outlasts_a_frozen_leader() {
    let cluster = controls();
    let leader = cluster.leader().expect("there is a leader");
    let follower = (leader + 1) % cluster.controls.len();
    cluster.controls[leader].process.freeze().expect("the leader freezes");
    // The follower does not know yet that its leader is lost.
    let result =
        operator(cluster.controls[follower].address).apply("outlasting", 0, &text("outlasting", 1));
    let place = cluster.controls[leader].data_centre.clone();
    cluster.controls[leader].process.thaw().expect("the replica continues");
    match result {
        Err(CtlError::Pending(_, 1, pending)) => assert_eq!(pending, [place]),
        other => panic!("a change without the old leader was called {other:?}"),
    }
}

#[test]
fn resent_change_gets_its_first_answer_and_is_applied_once() {
    let mut cluster = controls();
    let all: Vec<SocketAddr> = cluster.controls.iter().map(|control| control.address).collect();
    let operator = OperatorClient::new(all, OPERATOR_TOKEN).expect("a client");
    let request = ChangeRequest {
        change_id: "first".to_owned(),
        name: "resent".to_owned(),
        text: text("resent", 1),
        operator_token: OPERATOR_TOKEN.to_owned(),
        ..ChangeRequest::default()
    };
    let resend = |operator: &OperatorClient| {
        let mut version = 0;
        wait_until("the resend is answered", LIMIT, || {
            match operator.change(request.clone()) {
                Ok(accepted) | Err(CtlError::Pending(_, accepted, _)) => version = accepted,
                Err(_) => return false,
            }
            true
        })
        .expect("the resend is answered");
        version
    };
    assert_eq!(resend(&operator), 1);
    assert_eq!(resend(&operator), 1, "at once");
    assert_eq!(apply(&operator, "resent", 1, &text("resent", 2)), 2);
    assert_eq!(resend(&operator), 1, "after a newer change");
    let leader = cluster.leader().expect("there is a leader");
    cluster.controls[leader].process.kill();
    assert_eq!(resend(&operator), 1, "after a fail-over");
    assert_eq!(version_of(&operator, "resent"), Some(2), "nothing was reverted");
    let reused = ChangeRequest { name: "other".to_owned(), text: text("other", 1), ..request };
    assert!(matches!(operator.change(reused), Err(CtlError::Refused(_))));
}

#[test]
fn bad_changes_are_refused_and_change_nothing() {
    let cluster = controls();
    let operator = cluster.operator().expect("a client");
    let refused = |result: Result<u64, CtlError>, part: &str| match result {
        Err(CtlError::Refused(detail)) => assert!(detail.contains(part), "{detail}"),
        other => panic!("{other:?}"),
    };
    refused(operator.apply("bad", 0, "name = 5"), "line 1");
    refused(operator.apply("bad", 0, &text("other", 1)), "the text defines other");
    refused(operator.retire("bad", 0), "unknown profile");
    let addresses: Vec<SocketAddr> = cluster.controls.iter().map(|c| c.address).collect();
    let stranger = OperatorClient::new(addresses, "wrong token").expect("a client");
    refused(stranger.apply("bad", 0, &text("bad", 1)), "unauthorized");
    assert_eq!(operator.list().expect("the list is answered").profiles, Vec::new());
}

#[test]
fn frozen_leader_loses_nothing_and_follows_when_it_wakes() {
    let cluster = controls();
    let leader = cluster.leader().expect("there is a leader");
    let others: Vec<SocketAddr> = cluster
        .controls
        .iter()
        .enumerate()
        .filter(|(index, _)| *index != leader)
        .map(|(_, control)| control.address)
        .collect();
    apply(&operator(cluster.controls[leader].address), "kept", 0, &text("kept", 1));
    cluster.controls[leader].process.freeze().expect("the leader freezes");
    let operator_of_others = OperatorClient::new(others, OPERATOR_TOKEN).expect("a client");
    assert_eq!(apply(&operator_of_others, "kept", 1, &text("kept", 2)), 2);
    cluster.controls[leader].process.thaw().expect("the leader wakes");
    let old_leader = operator(cluster.controls[leader].address);
    wait_until("the old leader follows", LIMIT, || version_of(&old_leader, "kept") == Some(2))
        .expect("it catches up");
    assert_eq!(apply(&old_leader, "kept", 2, &text("kept", 3)), 3);
}

#[test]
fn emptied_disk_is_repaired_before_it_counts() {
    let mut cluster = controls();
    let operator_of_all = cluster.operator().expect("a client");
    for version in 0..30 {
        apply(&operator_of_all, "kept", version, &text("kept", version + 1));
    }
    let victim = (cluster.leader().expect("there is a leader") + 1) % 3;
    let old_ids = cluster.voter_ids();
    cluster.controls[victim].process.kill();
    let data_dir = cluster.controls[victim].data_dir.clone();
    fs::remove_dir_all(&data_dir).expect("the disk is emptied");
    cluster.restart_control(victim).expect("the replica starts again");
    wait_until("the repair is done", LIMIT, || {
        let ids = cluster.voter_ids();
        ids.len() == 3 && ids != old_ids && cluster.learner_count() == 0
    })
    .expect("the fresh replica votes and the lost one is removed");
    let lost = cluster.leader().expect("there is a leader");
    cluster.controls[lost].process.kill();
    fs::remove_dir_all(&cluster.controls[lost].data_dir).expect("the second VM is lost");
    assert_eq!(apply(&operator_of_all, "kept", 30, &text("kept", 31)), 31);
    assert_eq!(version_of(&operator_of_all, "kept"), Some(31));
}

#[test]
fn loss_before_the_repair_loses_nothing() {
    let mut cluster = controls();
    let operator_of_all = cluster.operator().expect("a client");
    apply(&operator_of_all, "kept", 0, &text("kept", 1));
    let leader = cluster.leader().expect("there is a leader");
    let (victim, other) = ((leader + 1) % 3, (leader + 2) % 3);
    cluster.controls[other].process.kill();
    cluster.controls[victim].process.kill();
    fs::remove_dir_all(&cluster.controls[victim].data_dir).expect("the disk is emptied");
    cluster.restart_control(victim).expect("the replica starts again");
    // One replica of three holds what was accepted: no quorum, and no pretence of one.
    thread::sleep(Duration::from_secs(2));
    let result = operator_of_all.apply("kept", 1, &text("kept", 2));
    assert!(matches!(result, Err(CtlError::Unreachable(_))), "{result:?}");
    cluster.restart_control(other).expect("the replica starts again");
    assert_eq!(apply(&operator_of_all, "kept", 1, &text("kept", 2)), 2);
}

#[test]
fn kill_of_everything_after_many_changes_loses_nothing() {
    const CHANGES: u64 = 300;
    let mut cluster = controls();
    let operator_of_all = cluster.operator().expect("a client");
    for version in 0..CHANGES {
        apply(&operator_of_all, "kept", version, &text("kept", version + 1));
    }
    for control in &mut cluster.controls {
        control.process.kill();
    }
    let started = Instant::now();
    for index in 0..cluster.controls.len() {
        cluster.restart_control(index).expect("the replica starts again");
    }
    wait_until("the quorum is back", RESTART_LIMIT, || {
        cluster.leader().is_some() && version_of(&operator_of_all, "kept") == Some(CHANGES)
    })
    .expect("the restart is quick and complete");
    println!("restart after {CHANGES} changes took {:?}", started.elapsed());
    for control in &cluster.controls {
        let log_bytes = fs::metadata(control.data_dir.join("log")).expect("the log is there").len();
        assert!(log_bytes < 16 * 1024 * 1024, "{log_bytes}");
    }
}

/// Kills every replica at a random moment while changes come in, over and over.
#[test]
fn kills_at_random_moments_lose_nothing() {
    const SEEDS: u64 = 20;
    let mut cluster = controls();
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
        wait_until("everything accepted is there", LIMIT, || {
            record = operator_of_all.get("kept").ok().flatten();
            version = record.as_ref().map_or(0, |record| record.version);
            cluster.leader().is_some() && version >= accepted
        })
        .expect("nothing accepted is lost");
        // The change whose answer was lost may have been committed.
        assert!((accepted..=accepted + 1).contains(&version), "seed {seed}: {version}, {accepted}");
        if let Some(record) = record {
            assert_eq!(record.text, text("kept", version), "seed {seed}");
        }
    }
    assert!(version > SEEDS, "changes were accepted between the kills");
}

/// Applies one version after another and notes the last accepted one.
fn apply_until(operator: &OperatorClient, from: u64, accepted: &AtomicU64, stop: &AtomicBool) {
    for version in from.. {
        match operator.apply("kept", version, &text("kept", version + 1)) {
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
fn damaged_file_stops_the_replica_with_its_name_and_offset() {
    let mut cluster = controls();
    let operator_of_all = cluster.operator().expect("a client");
    for version in 0..5 {
        apply(&operator_of_all, "kept", version, &text("kept", version + 1));
    }
    cluster.controls[0].process.kill();
    let path = cluster.controls[0].data_dir.join("log");
    let mut bytes = fs::read(&path).expect("the log is there");
    let middle = bytes.len() / 2;
    bytes[middle] ^= 1;
    fs::write(&path, &bytes).expect("the log is damaged");
    cluster.restart_control(0).expect("the program starts");
    let status = cluster.controls[0].process.wait(LIMIT).expect("the program ends");
    assert!(!status.success());
    let log = cluster.controls[0].process.log_text();
    assert!(log.contains("is damaged at byte") && log.contains("/log"), "{log}");
    assert_eq!(fs::read(&path).expect("the log is there"), bytes, "nothing was reset");
    assert_eq!(version_of(&operator_of_all, "kept"), Some(5), "the others go on");
}

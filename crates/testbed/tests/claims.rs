//! Purchases run at most once, even if a component fails between the claim and the answer.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use testbed::caller::{Caller, CallerError, Reply};
use testbed::cluster::{Cluster, Instance};
use testbed::deployment::Deployment;
use testbed::fault_proxy::FaultProxy;
use testbed::process::{free_address, wait_until};
use testbed::upstream_client;
use ureq::http::Request;

const TIMEOUT: Duration = Duration::from_secs(20);
const SLOW_SERVICE_TIME_US: u64 = 800_000;
const PURCHASE_PATH: &str = "/purchases/1";

fn start_cluster(service_time_us: u64) -> Cluster {
    let cluster = Cluster::start(Deployment::pair()).expect("the cluster starts");
    cluster
        .change_behaviour("back", |behaviour| behaviour.service_time_us = service_time_us)
        .expect("the upstreams answer");
    cluster
}

/// Returns the caller addresses of the back service's nodes, so that answers come directly from the
/// node that makes the claim.
fn back_entry_addresses(cluster: &Cluster) -> Vec<SocketAddr> {
    cluster.instances_of("back").map(|instance| instance.caller).collect()
}

fn purchase_in_background(
    entry_address: SocketAddr,
    key: &'static str,
) -> JoinHandle<Result<Reply, CallerError>> {
    thread::spawn(move || Caller::new().purchase(entry_address, PURCHASE_PATH, key))
}

fn runs(cluster: &Cluster, key: &str) -> u64 {
    let records = cluster.instances_of("back").filter_map(|instance| {
        // Skips killed upstreams. Their runs are not counted: the record is lost with the process.
        upstream_client::record(instance.upstream_admin).ok()
    });
    records.map(|record| record.runs.get(key).copied().unwrap_or(0)).sum()
}

/// Waits until a purchase runs at an upstream and returns the index of its instance.
fn wait_running(cluster: &Cluster, key: &str) -> usize {
    let is_running = |instance: &Instance| {
        upstream_client::record(instance.upstream_admin)
            .is_ok_and(|record| record.runs.contains_key(key))
    };
    let mut found = None;
    wait_until("the purchase runs", TIMEOUT, || {
        found = cluster.instances.iter().position(|i| i.service == "back" && is_running(i));
        found.is_some()
    })
    .expect("the purchase reaches the back");
    found.expect("the condition held")
}

/// Sends a purchase again through every front node and checks that it does not run again.
fn check_resends(cluster: &Cluster, key: &'static str) {
    let caller = Caller::new();
    for entry_address in cluster.entry_addresses().into_iter().cycle().take(4) {
        let reply =
            caller.purchase(entry_address, PURCHASE_PATH, key).expect("the resend is answered");
        let is_valid = reply.status == 200 || reply.outcome != "not-run";
        assert!(is_valid, "{reply:?}");
    }
    assert!(runs(cluster, key) <= 1, "{} runs", runs(cluster, key));
}

#[test]
fn resend_through_another_node_gets_the_first_answer() {
    let cluster = start_cluster(SLOW_SERVICE_TIME_US);
    let entry_addresses = back_entry_addresses(&cluster);
    let first = purchase_in_background(entry_addresses[0], "waits");
    wait_running(&cluster, "waits");
    let second = Caller::new()
        .purchase(entry_addresses[1], PURCHASE_PATH, "waits")
        .expect("the resend is answered");
    let first = first.join().expect("no panic").expect("the purchase is answered");
    assert_eq!((first.status, second.status), (200, 200), "{second:?}");
    assert_eq!(first.text, second.text);
    let third = Caller::new()
        .purchase(entry_addresses[1], PURCHASE_PATH, "waits")
        .expect("the resend is answered");
    assert_eq!(first.text, third.text);
    assert_eq!(runs(&cluster, "waits"), 1);
}

#[test]
fn reused_key_with_another_body_is_a_conflict() {
    let cluster = start_cluster(1_000);
    let entry_address = back_entry_addresses(&cluster)[0];
    let caller = Caller::new();
    assert_eq!(
        caller.purchase(entry_address, PURCHASE_PATH, "same").expect("answered").status,
        200
    );
    let request = Request::post(format!("http://{entry_address}{PURCHASE_PATH}"))
        .header("idempotency-key", "same");
    let reply = caller.send(request, "another body").expect("the conflict is answered");
    let code = reply.body["code"].as_str();
    assert_eq!((reply.status, code), (409, Some("idempotency-key-conflict")), "{reply:?}");
}

#[test]
fn purchase_whose_node_is_killed_does_not_run_again() {
    let mut cluster = start_cluster(SLOW_SERVICE_TIME_US);
    let first = purchase_in_background(cluster.entry_addresses()[0], "node-killed");
    let index = wait_running(&cluster, "node-killed");
    cluster.instances[index].node.as_mut().expect("a node").kill();
    if let Ok(reply) = first.join().expect("no panic") {
        assert_ne!(reply.outcome, "not-run", "{reply:?}");
    }
    check_resends(&cluster, "node-killed");
}

#[test]
fn purchase_whose_upstream_is_killed_does_not_run_again() {
    let mut cluster = start_cluster(SLOW_SERVICE_TIME_US);
    let first = purchase_in_background(cluster.entry_addresses()[0], "upstream-killed");
    let index = wait_running(&cluster, "upstream-killed");
    cluster.restart_upstream(index).expect("the upstream starts again");
    if let Ok(reply) = first.join().expect("no panic") {
        assert_ne!(reply.outcome, "not-run", "{reply:?}");
    }
    // The restarted upstream has an empty record, so any run that it reports is a second one.
    let caller = Caller::new();
    for entry_address in cluster.entry_addresses() {
        let reply =
            caller.purchase(entry_address, PURCHASE_PATH, "upstream-killed").expect("answered");
        assert_ne!(reply.outcome, "not-run", "{reply:?}");
    }
    assert_eq!(runs(&cluster, "upstream-killed"), 0);
}

#[test]
fn purchase_whose_node_freezes_does_not_run_again() {
    let cluster = start_cluster(SLOW_SERVICE_TIME_US);
    let first = purchase_in_background(cluster.entry_addresses()[0], "node-frozen");
    let index = wait_running(&cluster, "node-frozen");
    let node = cluster.instances[index].node.as_ref().expect("a node");
    node.freeze().expect("the node freezes");
    if let Ok(reply) = first.join().expect("no panic") {
        assert_ne!(reply.outcome, "not-run", "{reply:?}");
    }
    check_resends(&cluster, "node-frozen");
    node.thaw().expect("the node continues");
    check_resends(&cluster, "node-frozen");
}

#[test]
fn purchase_is_answered_when_the_leader_is_killed() {
    let mut cluster = start_cluster(SLOW_SERVICE_TIME_US);
    let entry_addresses = back_entry_addresses(&cluster);
    let first = purchase_in_background(entry_addresses[0], "leader-killed");
    wait_running(&cluster, "leader-killed");
    let leader = cluster.leader().expect("there is a leader");
    cluster.controls[leader].process.kill();
    let reply = first.join().expect("no panic").expect("the purchase is answered");
    assert_eq!(reply.status, 200, "{reply:?}");
    check_resends(&cluster, "leader-killed");
    let caller = Caller::new();
    wait_until("the answer is kept by the new quorum", TIMEOUT, || {
        let resent = caller.purchase(entry_addresses[1], PURCHASE_PATH, "leader-killed");
        resent.is_ok_and(|resent| resent.status == 200 && resent.text == reply.text)
    })
    .expect("the resend gets the first answer");
    assert_eq!(runs(&cluster, "leader-killed"), 1);
}

#[test]
fn without_a_quorum_purchases_are_refused_and_reads_succeed() {
    let cluster = start_cluster(1_000);
    let caller = Caller::new();
    let entry_address = cluster.entry_addresses()[0];
    assert_eq!(
        caller.purchase(entry_address, PURCHASE_PATH, "before").expect("answered").status,
        200
    );
    for control in &cluster.controls[1..] {
        control.process.freeze().expect("the replica freezes");
    }
    let reply =
        caller.purchase(entry_address, PURCHASE_PATH, "during").expect("the refusal is answered");
    assert_eq!((reply.outcome.as_str(), reply.reason.as_str()), ("not-run", "no-quorum"));
    assert!(reply.retry_after_s.is_some());
    let resent =
        caller.purchase(entry_address, PURCHASE_PATH, "before").expect("the resend is answered");
    assert_ne!(resent.outcome, "not-run", "the purchase with this key ran: {resent:?}");
    assert_eq!(caller.get(entry_address, "/pages/1").expect("answered").status, 200);
    for control in &cluster.controls[1..] {
        control.process.thaw().expect("the replica continues");
    }
    wait_until("purchases succeed", TIMEOUT, || {
        caller
            .purchase(entry_address, PURCHASE_PATH, "during")
            .is_ok_and(|reply| reply.status == 200)
    })
    .expect("the quorum comes back");
    assert_eq!(runs(&cluster, "during"), 1);
    assert_eq!(runs(&cluster, "before"), 1);
}

#[test]
fn purchase_of_a_disconnected_caller_completes_and_its_resend_gets_the_answer() {
    let cluster = start_cluster(SLOW_SERVICE_TIME_US);
    let entry_addresses = back_entry_addresses(&cluster);
    let mut stream = TcpStream::connect(entry_addresses[0]).expect("the node listens");
    let request = "POST /purchases/1 HTTP/1.1\r\nhost: x\r\nidempotency-key: gone\r\n\
                   x-tag: gone\r\ncontent-length: 6\r\n\r\ncharge";
    stream.write_all(request.as_bytes()).expect("the request is sent");
    wait_running(&cluster, "gone");
    drop(stream);
    let resent = Caller::new()
        .purchase(entry_addresses[1], PURCHASE_PATH, "gone")
        .expect("the resend is answered");
    assert_eq!(resent.status, 200, "{resent:?}");
    assert_eq!(runs(&cluster, "gone"), 1);
}

#[test]
fn upload_whose_upstream_is_killed_is_neither_repeated_nor_reported_as_stored() {
    let mut cluster = start_cluster(SLOW_SERVICE_TIME_US);
    let entry_address = cluster.entry_addresses()[0];
    let upload = thread::spawn(move || {
        let request =
            Request::put(format!("http://{entry_address}/uploads/1")).header("x-tag", "lost");
        Caller::new().send(request, &vec![7u8; 300_000][..])
    });
    let index = wait_running(&cluster, "lost");
    cluster.instances[index].upstream.kill();
    if let Ok(reply) = upload.join().expect("no panic") {
        assert_ne!(reply.status, 200, "{reply:?}");
        assert_ne!(reply.outcome, "not-run", "{reply:?}");
    }
    assert_eq!(runs(&cluster, "lost"), 0, "no other upstream ran it again");
}

#[test]
fn purchase_whose_front_upstream_is_killed_is_not_sent_to_another_front() {
    let mut cluster = start_cluster(SLOW_SERVICE_TIME_US);
    let first = purchase_in_background(cluster.entry_addresses()[0], "front-killed");
    wait_running(&cluster, "front-killed");
    // A node prefers its own data centre, so the purchase runs at the upstream of the first front.
    cluster.instances[0].upstream.kill();
    let reply = first.join().expect("no panic").expect("the failure is answered");
    assert_eq!((reply.status, reply.outcome.as_str()), (502, "unknown"), "{reply:?}");
    assert_eq!(cluster.instances_of("front").count(), 2);
    let other = upstream_client::record(cluster.instances[1].upstream_admin).expect("it answers");
    assert_eq!(other.runs.get("front-killed"), None);
}

#[test]
fn resend_is_refused_when_the_answer_was_too_large_to_keep() {
    let cluster = start_cluster(1_000);
    cluster
        .change_behaviour("back", |behaviour| behaviour.padding_bytes = 200_000)
        .expect("the upstreams answer");
    let entry_address = back_entry_addresses(&cluster)[0];
    let caller = Caller::new();
    let first =
        caller.purchase(entry_address, PURCHASE_PATH, "large").expect("the purchase is answered");
    assert_eq!(first.body["padding"].as_str().map(str::len), Some(200_000));
    let resent =
        caller.purchase(entry_address, PURCHASE_PATH, "large").expect("the resend is answered");
    let code = resent.body["code"].as_str();
    assert_eq!((resent.status, code), (409, Some("answer-not-kept")), "{resent:?}");
    assert_eq!(runs(&cluster, "large"), 1);
}

/// A proxy between the upstream and its node closes the connection in the middle of the answer.
#[test]
fn purchase_whose_answer_is_lost_does_not_run_again() {
    let cluster = start_cluster(1_000);
    let mut proxies = Vec::new();
    for instance in cluster.instances_of("back") {
        let listen = free_address().expect("a port is free");
        let proxy = FaultProxy::truncating_responses(listen, instance.upstream_listen, 20);
        proxies.push(proxy.expect("the proxy starts"));
        upstream_client::change(instance.upstream_admin, |b| b.announced_address = Some(listen))
            .expect("the upstream answers");
    }
    let entry_addresses = back_entry_addresses(&cluster);
    let caller = Caller::new();
    let status = || caller.get(entry_addresses[0], "/pages/1").map_or(0, |reply| reply.status);
    wait_until("answers are cut", TIMEOUT, || status() != 200).expect("the proxies are in use");
    let first =
        caller.purchase(entry_addresses[0], PURCHASE_PATH, "cut").expect("the failure is answered");
    assert_eq!(first.outcome, "unknown", "{first:?}");
    assert_eq!(runs(&cluster, "cut"), 1);
    cluster
        .change_behaviour("back", |behaviour| behaviour.announced_address = None)
        .expect("the upstreams answer");
    wait_until("answers are whole", TIMEOUT, || status() == 200)
        .expect("the proxies are no longer used");
    let resent =
        caller.purchase(entry_addresses[1], PURCHASE_PATH, "cut").expect("the resend is answered");
    assert_eq!(resent.outcome, "unknown", "{resent:?}");
    assert_eq!(runs(&cluster, "cut"), 1);
}

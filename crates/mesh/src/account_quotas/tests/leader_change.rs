//! Quotas of nodes at three replicas, of which the leader stops.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};

use tokio::runtime::{Builder, Runtime};
use tokio::task::JoinHandle;

use super::*;

/// Time without changes before the leader stops and after the account is served again.
const CALM_TIME: Duration = Duration::from_secs(3);
/// Interval in which a node whose share is renewed admits requests. A change of leader takes an
/// election timeout, and the bucket refills meanwhile.
const SERVED_INTERVAL: Duration = Duration::from_secs(1);
const ADMIN_TIMEOUT: Duration = Duration::from_secs(5);

/// Replica on a runtime of its own, so that its connections end when it stops.
struct Replica {
    address: SocketAddr,
    runtime: Option<Runtime>,
    _data_dir: TempDir,
}

impl Replica {
    fn start(address: SocketAddr, members: &[SocketAddr]) -> Self {
        let data_dir = TempDir::new().expect("the data folder can be created");
        let settings = replica_settings(address, members.to_vec(), &data_dir);
        let runtime = Builder::new_multi_thread().worker_threads(1).enable_all().build();
        let runtime = runtime.expect("a runtime");
        runtime.spawn(control::run(log(), settings));
        Self { address, runtime: Some(runtime), _data_dir: data_dir }
    }

    fn stop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }

    /// Returns the term in which this replica lends quotas, `None` if it has lent none or is stopped.
    fn lending_term(&self) -> Option<u64> {
        self.runtime.as_ref()?;
        let mut connection = TcpStream::connect(admin_address(self.address)).ok()?;
        connection.set_read_timeout(Some(ADMIN_TIMEOUT)).ok()?;
        let request = b"GET /quotas HTTP/1.1\r\nHost: control\r\nConnection: close\r\n\r\n";
        connection.write_all(request).ok()?;
        let mut reply = String::new();
        connection.read_to_string(&mut reply).ok()?;
        let (_, term) = reply.split_once("\"term\":")?;
        term.split(|character: char| !character.is_ascii_digit()).next()?.parse().ok()
    }
}

impl Drop for Replica {
    fn drop(&mut self) {
        self.stop();
    }
}

/// Returns the index of the replica that lends in the newest term.
fn lender(replicas: &[Replica]) -> Option<usize> {
    let terms = replicas.iter().map(Replica::lending_term).enumerate();
    terms.filter(|(_, term)| term.is_some()).max_by_key(|(_, term)| *term).map(|(index, _)| index)
}

/// Node with a load far above the quota.
struct LoadedNode {
    node: TestNode,
    load: JoinHandle<Vec<Instant>>,
}

impl LoadedNode {
    fn start(node: TestNode, is_over: &Arc<AtomicBool>) -> Self {
        let load = tokio::spawn(offer(Arc::clone(&node.quotas), Arc::clone(is_over)));
        Self { node, load }
    }
}

/// Returns the longest time between two admissions from `begin` to `end`.
fn longest_gap(admitted: &[Instant], begin: Instant, end: Instant) -> Duration {
    let mut times: Vec<Instant> =
        admitted.iter().copied().filter(|time| (begin..end).contains(time)).collect();
    times.extend([begin, end]);
    times.sort();
    times.windows(2).map(|pair| pair[1] - pair[0]).max().unwrap_or_default()
}

/// Guards against a leader that does not lend to the nodes of other replicas, and against a successor
/// that lends what its predecessor has lent, drops the held shares or never lends again.
#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn shares_outlast_a_change_of_leader_within_the_bound() {
    let addresses = [11, 12, 13].map(replica_address);
    let mut replicas = addresses.map(|address| Replica::start(address, &addresses));
    // Each node knows one replica only, so those of the others are served by forwarded demands.
    let nodes = ["vm-1", "vm-2", "vm-3"].into_iter().zip(&addresses);
    let nodes: Vec<TestNode> =
        nodes.map(|(vm, address)| TestNode::attach(vm, &[*address])).collect();
    for node in &nodes {
        wait_until_admitted(&node.quotas).await;
    }
    let is_over = Arc::new(AtomicBool::new(false));
    let loaded: Vec<LoadedNode> =
        nodes.into_iter().map(|node| LoadedNode::start(node, &is_over)).collect();
    tokio::time::sleep(AFTER_LOAN).await;
    let leader = lender(&replicas).expect("a replica lends");

    replicas[leader].stop();
    let stopped = Instant::now();
    // A new holder, which knows all replicas, gets a share when the earlier loans have ended.
    let new_holder = TestNode::attach("vm-4", &addresses);
    let failure = new_holder.quotas.admit(&account(Some(QUOTA)), MAX_WAIT).await;
    assert_eq!(failure.expect_err("no share").reason, Reason::QuotaUnavailable);
    wait_until_admitted(&new_holder.quotas).await;
    let lent_again = Instant::now();
    let new_holder = LoadedNode::start(new_holder, &is_over);
    tokio::time::sleep(CALM_TIME).await;
    is_over.store(true, Ordering::Relaxed);
    let over = Instant::now();
    let next_leader = lender(&replicas).expect("a replica lends");
    assert_ne!(next_leader, leader);

    let mut admitted = Vec::new();
    for LoadedNode { load, node } in loaded {
        admitted.push(load.await.expect("no load panics"));
        drop(node);
    }
    let lapsed = admitted[leader].iter().all(|time| *time < stopped + AFTER_LOAN);
    assert!(lapsed, "the share of the node at the stopped replica ends");
    let renewed = admitted.iter().enumerate().filter(|(index, _)| *index != leader);
    for (index, times) in renewed {
        let gap = longest_gap(times, stopped - CALM_TIME, lent_again);
        println!("vm-{}: longest time without an admission {gap:?}", index + 1);
        assert!(gap < SERVED_INTERVAL, "vm-{}: no request was admitted for {gap:?}", index + 1);
    }
    admitted.push(new_holder.load.await.expect("no load panics"));
    println!("the new holder has a share after {:?}", lent_again - stopped);
    let served = admitted.iter().flatten().filter(|time| (lent_again..over).contains(time)).count();
    // The whole rate, less the noise of a busy machine.
    assert!(served as f64 >= 0.7 * CALM_TIME.as_secs_f64() * QUOTA.rate_per_s, "{served}");
    let holders = admitted.len() as f64;
    let total = max_in_window(admitted.into_iter().flatten().collect());
    let bound = QUOTA.rate_per_s * 5.0 + QUOTA.burst + holders;
    println!("{total} requests in a window, bound {bound}");
    assert!(total as f64 <= bound, "{total} requests in a window, bound {bound}");
}

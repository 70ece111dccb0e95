//! Tests of the quotas of nodes that are attached to a control replica by real connections.

mod leader_change;

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use control::Formation;
use control_link::{AttachedNode, ControlLink};
use daemon::{BootClock, Clock};
use model::{ClientAccount, DataCentreName, Quota, Reason};
use rpc::{ControlUpdate, NodeReport};
use slog::{Discard, Logger, o};
use tempfile::TempDir;
use tokio::sync::watch;

use super::AccountQuotas;
use crate::metrics::Metrics;
use crate::request_log::RequestLog;

const CLUSTER_ID: &str = "quota-test";
const MAX_WAIT: Duration = Duration::from_millis(200);
const QUOTA: Quota = Quota { rate_per_s: 60.0, burst: 60.0 };
/// Time for a replica to form a cluster and for nodes to attach, while the machine is busy.
const START_TIMEOUT: Duration = Duration::from_secs(60);
/// Loan period with a reserve for a busy machine.
const AFTER_LOAN: Duration = Duration::from_millis(5_500);

fn log() -> Logger {
    Logger::root(Discard, o!())
}

fn new_quotas() -> Arc<AccountQuotas> {
    let metrics = Arc::new(Metrics::new().expect("the metrics register"));
    let request_log = Arc::new(RequestLog::new(log(), Clock::new()));
    Arc::new(AccountQuotas::new(request_log, metrics, None))
}

fn account(quota: Option<Quota>) -> ClientAccount {
    ClientAccount { name: "acme".into(), key_digests: Vec::new(), priority: None, quota }
}

/// Node that only reports the demands of its accounts.
struct QuotaNode {
    vm: String,
    controls: Vec<SocketAddr>,
    quotas: Arc<AccountQuotas>,
}

impl AttachedNode for QuotaNode {
    fn control_addresses(&self) -> Vec<SocketAddr> {
        self.controls.clone()
    }

    fn report(&mut self) -> NodeReport {
        let created_boot_us = BootClock.now_us().expect("the clock is read");
        NodeReport {
            protocol_version: rpc::PROTOCOL_VERSION,
            cluster_id: CLUSTER_ID.to_owned(),
            vm: self.vm.clone(),
            data_centre: "osu".to_owned(),
            created_boot_us,
            incarnation: 1,
            quota_demands: self.quotas.report(created_boot_us),
            ..NodeReport::default()
        }
    }

    fn apply_update(&mut self, update: ControlUpdate) -> bool {
        update.quota_grants.iter().for_each(|grants| self.quotas.apply(grants));
        false
    }
}

/// Attached node; its link ends when the sender is dropped or set.
struct TestNode {
    quotas: Arc<AccountQuotas>,
    stop: watch::Sender<bool>,
    _report_trigger: watch::Sender<u64>,
}

impl TestNode {
    fn attach(vm: &str, controls: &[SocketAddr]) -> Self {
        let quotas = new_quotas();
        let controls = controls.to_vec();
        let node = QuotaNode { vm: vm.to_owned(), controls, quotas: Arc::clone(&quotas) };
        let (stop, stopped) = watch::channel(false);
        let (report_trigger, triggered) = watch::channel(0);
        let link = ControlLink::new(log(), node, triggered, stopped)
            .with_demand_trigger(quotas.report_requests());
        tokio::spawn(link.run());
        let surplus = Arc::clone(&quotas);
        tokio::spawn(async move { surplus.report_surplus().await });
        Self { quotas, stop, _report_trigger: report_trigger }
    }
}

/// Returns an address for a replica of a test, which no other test process uses at this time.
fn replica_address(host: u8) -> SocketAddr {
    let process_id = std::process::id();
    let ip = Ipv4Addr::new(127, 160 + (process_id >> 8) as u8 % 64, process_id as u8, host);
    SocketAddr::new(IpAddr::V4(ip), 7620)
}

fn admin_address(replica: SocketAddr) -> SocketAddr {
    SocketAddr::new(replica.ip(), 7621)
}

fn replica_settings(
    address: SocketAddr,
    members: Vec<SocketAddr>,
    data_dir: &TempDir,
) -> control::Settings {
    control::Settings {
        cluster_id: CLUSTER_ID.to_owned(),
        data_centre: DataCentreName::new("osu").expect("the name is valid"),
        listen: address,
        advertise: address,
        admin_listen: admin_address(address),
        data_dir: data_dir.path().to_owned(),
        members,
        formation: Formation::InitialMembers,
        operator_token: None,
        claim_window_ms: 60_000,
        election_timeout_ms: 300,
    }
}

/// Starts a replica in this process.
async fn start_control(data_dir: &TempDir) -> SocketAddr {
    let address = replica_address(1);
    let settings = replica_settings(address, vec![address], data_dir);
    tokio::spawn(async move {
        control::run(log(), settings).await.expect("the replica runs");
    });
    address
}

async fn wait_until_admitted(quotas: &AccountQuotas) {
    let deadline = Instant::now() + START_TIMEOUT;
    while quotas.admit(&account(Some(QUOTA)), MAX_WAIT).await.is_err() {
        assert!(Instant::now() < deadline, "no share was lent");
    }
}

/// Offers requests at five times the quota until the flag is set. Returns the times of the admitted
/// ones.
async fn offer(quotas: Arc<AccountQuotas>, is_over: Arc<AtomicBool>) -> Vec<Instant> {
    let mut admitted = Vec::new();
    let mut requests = tokio::task::JoinSet::new();
    let mut ticks = tokio::time::interval(Duration::from_secs_f64(1.0 / QUOTA.rate_per_s / 5.0));
    while !is_over.load(Ordering::Relaxed) {
        ticks.tick().await;
        let quotas = Arc::clone(&quotas);
        requests.spawn(async move {
            let result = quotas.admit(&account(Some(QUOTA)), MAX_WAIT).await;
            result.is_ok().then(Instant::now)
        });
        while let Some(result) = requests.try_join_next() {
            admitted.extend(result.expect("no request panics"));
        }
    }
    admitted
}

fn max_in_window(mut admitted: Vec<Instant>) -> usize {
    const WINDOW: Duration = Duration::from_secs(5);
    admitted.sort();
    let starts = admitted.iter().enumerate();
    starts
        .map(|(index, start)| {
            admitted[index..].partition_point(|time| time.duration_since(*start) <= WINDOW)
        })
        .max()
        .unwrap_or(0)
}

/// Guards against messages or waits for accounts that have no limit.
#[tokio::test]
async fn accounts_without_quota_are_admitted_without_state() {
    let quotas = new_quotas();
    let unlimited = account(None);
    let rate_of_zero = account(Some(Quota { rate_per_s: 0.0, burst: 1.0 }));
    assert!(quotas.admit(&unlimited, Duration::ZERO).await.is_ok());
    assert!(quotas.admit(&rate_of_zero, Duration::ZERO).await.is_ok());
    assert!(quotas.report(1).is_empty());
    assert!(!quotas.report_requests().has_changed().expect("the sender lives"));
}

/// Guards against requests that run, or wait for ever, while no share can be had.
#[tokio::test]
async fn a_node_without_control_refuses_as_unavailable() {
    let quotas = new_quotas();
    let started = Instant::now();
    let failure = quotas.admit(&account(Some(QUOTA)), MAX_WAIT).await.expect_err("no share");
    assert_eq!(failure.reason, Reason::QuotaUnavailable);
    assert_eq!(failure.status().as_u16(), 503);
    assert!(started.elapsed() >= MAX_WAIT);
    assert_eq!(quotas.metrics.quota_unavailable.get(), 1);
    assert_eq!(quotas.metrics.quota_waits.get(), 1);
}

/// Guards against a node that is cut off and keeps its share while the others get it too.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_sum_over_nodes_stays_in_the_bound_when_a_node_is_cut_off() {
    let data_dir = TempDir::new().expect("the data folder can be created");
    let control = start_control(&data_dir).await;
    let nodes = ["vm-1", "vm-2", "vm-3"].map(|vm| TestNode::attach(vm, &[control]));
    for node in &nodes {
        wait_until_admitted(&node.quotas).await;
    }
    let is_over = Arc::new(AtomicBool::new(false));
    let offers = nodes
        .each_ref()
        .map(|node| tokio::spawn(offer(Arc::clone(&node.quotas), Arc::clone(&is_over))));
    tokio::time::sleep(Duration::from_secs(3)).await;
    let cut_off = Instant::now();
    nodes[0].stop.send(true).expect("the link runs");
    tokio::time::sleep(AFTER_LOAN).await;
    let loan_ended = Instant::now();
    tokio::time::sleep(Duration::from_secs(3)).await;
    is_over.store(true, Ordering::Relaxed);
    let mut admitted = Vec::new();
    for offer in offers {
        admitted.push(offer.await.expect("no load panics"));
    }
    let of_cut_off = admitted[0].iter().filter(|time| **time > cut_off).count();
    assert!(of_cut_off > 0, "the share is valid for its loan period");
    assert!(admitted[0].iter().all(|time| *time < loan_ended), "the loan ends");
    let failure = nodes[0].quotas.admit(&account(Some(QUOTA)), MAX_WAIT).await;
    assert_eq!(failure.expect_err("no share").reason, Reason::QuotaUnavailable);
    let failure = nodes[1].quotas.admit(&account(Some(QUOTA)), Duration::ZERO).await;
    if let Err(failure) = failure {
        assert_eq!(failure.reason, Reason::QuotaExceeded);
        assert_eq!(failure.status().as_u16(), 429);
    }
    let of_others = admitted[1..].iter().flatten().filter(|time| **time > loan_ended).count();
    // Three seconds at the whole rate, less the noise of a busy machine.
    assert!(of_others as f64 >= 0.7 * 3.0 * QUOTA.rate_per_s, "{of_others}");
    let total = max_in_window(admitted.into_iter().flatten().collect());
    let bound = QUOTA.rate_per_s * 5.0 + QUOTA.burst + nodes.len() as f64;
    assert!(total as f64 <= bound, "{total} requests in a window, bound {bound}");
}

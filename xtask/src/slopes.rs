//! Measures how the cost of control replicas grows with the number of nodes, and the latency of
//! claims, for `docs/CAPACITY.md`.

use std::fs;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use control_link::{AttachedNode, ControlLink, LinkEvent};
use daemon::BootClock;
use hdrhistogram::Histogram;
use prost::Message;
use rpc::claims_client::ClaimsClient;
use rpc::directory_client::DirectoryClient;
use rpc::{ClaimRequest, ClaimStatus, ControlUpdate, Endpoint, NodeReport, UpstreamProcess};
use slog::{Discard, Logger, o};
use testbed::cluster::Cluster;
use testbed::deployment::Deployment;
use testbed::process::wait_until;
use tokio::runtime::Runtime;
use tokio::sync::{mpsc, watch};
use tokio_stream::StreamExt;
use tokio_stream::wrappers::ReceiverStream;
use tonic::transport::Channel;

use crate::error::TaskError;

const NODE_COUNTS: [usize; 4] = [50, 100, 200, 400];
/// Numbers of mesh nodes, each of which calls all services.
const MESH_NODE_COUNTS: [usize; 3] = [100, 200, 400];
/// Reports of a mesh node between two changes of its endpoint: each upstream changes the limit that
/// it reports every 20 s.
const REPORTS_PER_CHANGE: u64 = 20;
const SEARCHING_NODE_COUNTS: [usize; 3] = [30, 60, 120];
const NODES_PER_SERVICE: usize = 9;
const CALLED_SERVICES_PER_NODE: usize = 3;
const CLAIM_CONCURRENCIES: [usize; 4] = [1, 16, 64, 256];
const MEASUREMENT_DURATION: Duration = Duration::from_secs(5);
const START_TIMEOUT: Duration = Duration::from_secs(20);
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Clock ticks per second, the unit of the CPU times in `/proc/PID/stat`.
const TICKS_PER_S: f64 = 100.0;
/// Size of a page, the unit of the resident set size in `/proc/PID/stat`.
const PAGE_BYTES: f64 = 4_096.0;
const MB: f64 = 1_000_000.0;

/// Prints the measurements, and for each quantity a linear fit over the number of nodes.
pub fn run() -> Result<(), TaskError> {
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
    let points: Result<Vec<NodePoint>, TaskError> =
        NODE_COUNTS.iter().map(|count| measure_nodes(&runtime, *count, first_report)).collect();
    print_slopes(&points?);
    println!("mesh nodes, all services called, an endpoint changes every {REPORTS_PER_CHANGE} s");
    let points: Result<Vec<NodePoint>, TaskError> =
        MESH_NODE_COUNTS.iter().map(|count| measure_nodes(&runtime, *count, mesh_report)).collect();
    print_slopes(&points?);
    for node_count in SEARCHING_NODE_COUNTS {
        measure_search(&runtime, node_count)?;
    }
    for concurrency in CLAIM_CONCURRENCIES {
        measure_claims(&runtime, concurrency)?;
    }
    Ok(())
}

/// Measurement with one number of nodes.
struct NodePoint {
    nodes: f64,
    /// CPU usage of a replica, in percent of one core; maximum over the replicas.
    replica_cpu_percent: f64,
    /// Resident memory of a replica; maximum over the replicas.
    replica_mb: f64,
    /// Bytes that a node receives from control; mean over the nodes.
    received_bytes_per_s: f64,
    /// Bytes that a node sends to control; mean over the nodes.
    sent_bytes_per_s: f64,
    /// Time until a profile change is in force in every data centre.
    in_force_ms: f64,
}

/// CPU time and resident memory of a process.
#[derive(Clone, Copy)]
struct ProcessUsage {
    cpu_ticks: f64,
    resident_bytes: f64,
}

/// Reads the usage of a process from `/proc`; zero if the process is gone.
fn process_usage(pid: u32) -> ProcessUsage {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let after_name = stat.rsplit(") ").next().unwrap_or_default();
    let fields: Vec<f64> =
        after_name.split_whitespace().map(|field| field.parse().unwrap_or(0.0)).collect();
    // Indices count from the process state, the first field after the name: 11 is utime, 12 is
    // stime and 21 is rss.
    let field = |index: usize| fields.get(index).copied().unwrap_or(0.0);
    ProcessUsage { cpu_ticks: field(11) + field(12), resident_bytes: field(21) * PAGE_BYTES }
}

/// Measures nodes whose first reports `first_report` returns for an index and the number of nodes.
fn measure_nodes(
    runtime: &Runtime,
    node_count: usize,
    first_report: fn(usize, usize) -> NodeReport,
) -> Result<NodePoint, TaskError> {
    let cluster = Cluster::start_controls(Deployment::pair())?;
    cluster.apply_profiles()?;
    let counters = Arc::new(NodeCounters::default());
    for node_index in 0..node_count {
        let control = cluster.controls[node_index % cluster.controls.len()].address;
        let report = first_report(node_index, node_count);
        runtime.spawn(simulate_node(control, report, Arc::clone(&counters)));
    }
    wait_until("every simulated node is attached", START_TIMEOUT, || {
        counters.attached.load(Ordering::Relaxed) >= node_count as u64
    })?;
    std::thread::sleep(MEASUREMENT_DURATION / 2);
    let before: Vec<ProcessUsage> =
        cluster.controls.iter().map(|c| process_usage(c.process.pid())).collect();
    let (received, sent) = counters.read();
    std::thread::sleep(MEASUREMENT_DURATION);
    let after: Vec<ProcessUsage> =
        cluster.controls.iter().map(|c| process_usage(c.process.pid())).collect();
    let (received_after, sent_after) = counters.read();
    let seconds = MEASUREMENT_DURATION.as_secs_f64();
    let cpu_fractions =
        before.iter().zip(&after).map(|(b, a)| (a.cpu_ticks - b.cpu_ticks) / TICKS_PER_S / seconds);
    let per_node = |bytes: u64| bytes as f64 / seconds / node_count as f64;
    let started = Instant::now();
    let operator = cluster.operator()?;
    let record = operator.get("front").ok().flatten();
    let (version, text) = record.map_or((0, String::new()), |record| (record.version, record.text));
    let new_text = text.replace("cold_ramp_ms = 0", "cold_ramp_ms = 1");
    operator.apply("front", version, &new_text).map_err(|e| TaskError::Check(e.to_string()))?;
    let point = NodePoint {
        nodes: node_count as f64,
        replica_cpu_percent: cpu_fractions.fold(0.0, f64::max) * 100.0,
        replica_mb: after.iter().map(|usage| usage.resident_bytes / MB).fold(0.0, f64::max),
        received_bytes_per_s: per_node(received_after - received),
        sent_bytes_per_s: per_node(sent_after - sent),
        in_force_ms: started.elapsed().as_secs_f64() * 1_000.0,
    };
    println!(
        "nodes={node_count} replica_cpu_percent={:.2} replica_mb={:.1} \
         node_received_bytes_per_s={:.0} node_sent_bytes_per_s={:.0} in_force_ms={:.0}",
        point.replica_cpu_percent,
        point.replica_mb,
        point.received_bytes_per_s,
        point.sent_bytes_per_s,
        point.in_force_ms
    );
    Ok(point)
}

/// Node that only counts the moves of its link.
struct SearchingNode {
    report: NodeReport,
    replicas: Vec<SocketAddr>,
    moves: Arc<AtomicU64>,
}

impl AttachedNode for SearchingNode {
    fn control_addresses(&self) -> Vec<SocketAddr> {
        self.replicas.clone()
    }

    fn report(&mut self) -> NodeReport {
        self.report.clone()
    }

    fn apply_update(&mut self, _update: ControlUpdate) -> bool {
        false
    }

    fn record_event(&mut self, event: LinkEvent) {
        if event == LinkEvent::Moved {
            self.moves.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// Measures what nodes cost the replicas while no replica has a quorum, because all are cut off from
/// each other and nodes look for a current one.
fn measure_search(runtime: &Runtime, node_count: usize) -> Result<(), TaskError> {
    let cluster = Cluster::start_relayed_controls(Deployment::attica())?;
    wait_until("there is a leader", START_TIMEOUT, || cluster.leader().is_some())?;
    let links = cluster.links().ok_or(TaskError::Check("the cluster has no relays".to_owned()))?;
    links.register_process(std::process::id(), "nodes");
    let moves = Arc::new(AtomicU64::new(0));
    let (_trigger, report_trigger) = watch::channel(0);
    let (stop, stopped) = watch::channel(false);
    for node_index in 0..node_count {
        let mut replicas: Vec<SocketAddr> =
            cluster.controls.iter().map(|control| control.address).collect();
        replicas.rotate_left(node_index % cluster.controls.len());
        let node = SearchingNode {
            report: first_report(node_index, node_count),
            replicas,
            moves: Arc::clone(&moves),
        };
        let log = Logger::root(Discard, o!());
        let link = ControlLink::new(log, node, report_trigger.clone(), stopped.clone());
        runtime.spawn(link.run());
    }
    std::thread::sleep(MEASUREMENT_DURATION / 2);
    let attached_cpu_percent = max_cpu_percent(&cluster);
    let data_centres: Vec<&str> =
        cluster.controls.iter().map(|control| control.data_centre.as_str()).collect();
    data_centres.iter().for_each(|name| links.isolate(name, &data_centres));
    std::thread::sleep(MEASUREMENT_DURATION / 2);
    let searching_cpu_percent = max_cpu_percent(&cluster);
    println!(
        "searching nodes={node_count} replica_cpu_percent={searching_cpu_percent:.2} \
         with_quorum={attached_cpu_percent:.2} moves={}",
        moves.load(Ordering::Relaxed)
    );
    stop.send_replace(true);
    Ok(())
}

/// Returns the CPU usage of the busiest replica over the measurement duration, in percent of a core.
fn max_cpu_percent(cluster: &Cluster) -> f64 {
    let usage = || cluster.controls.iter().map(|control| process_usage(control.process.pid()));
    let before: Vec<ProcessUsage> = usage().collect();
    std::thread::sleep(MEASUREMENT_DURATION);
    let ticks =
        before.iter().zip(usage()).map(|(before, after)| after.cpu_ticks - before.cpu_ticks);
    ticks.fold(0.0, f64::max) / TICKS_PER_S / MEASUREMENT_DURATION.as_secs_f64() * 100.0
}

/// Totals over all simulated nodes.
#[derive(Default)]
struct NodeCounters {
    attached: AtomicU64,
    received_bytes: AtomicU64,
    sent_bytes: AtomicU64,
}

impl NodeCounters {
    fn read(&self) -> (u64, u64) {
        (self.received_bytes.load(Ordering::Relaxed), self.sent_bytes.load(Ordering::Relaxed))
    }
}

/// Simulates the reports of a node and counts the encoded bytes of its messages.
async fn simulate_node(control: SocketAddr, mut report: NodeReport, counters: Arc<NodeCounters>) {
    let Ok(endpoint) = Channel::from_shared(format!("http://{control}")) else { return };
    let mut client = DirectoryClient::new(endpoint.connect_lazy());
    let (reports, receiver) = mpsc::channel(4);
    // Cannot fail: the channel is empty.
    let _ = reports.try_send(report.clone());
    let Ok(updates) = client.attach(ReceiverStream::new(receiver)).await else { return };
    let mut updates = updates.into_inner();
    counters.attached.fetch_add(1, Ordering::Relaxed);
    let mut interval = tokio::time::interval(REPORT_INTERVAL);
    loop {
        let must_report = tokio::select! {
            update = updates.next() => {
                let Some(Ok(update)) = update else { return };
                let bytes = update.encoded_len() as u64;
                counters.received_bytes.fetch_add(bytes, Ordering::Relaxed);
                copy_revision(&mut report, &update)
            }
            _ = interval.tick() => true,
        };
        if must_report {
            renew_report(&mut report);
            counters.sent_bytes.fetch_add(report.encoded_len() as u64, Ordering::Relaxed);
            if reports.send(report.clone()).await.is_err() {
                return;
            }
        }
    }
}

/// Gives a report the next sequence number, and that of a mesh node a new stamp and sometimes a new
/// limit.
fn renew_report(report: &mut NodeReport) {
    let Some(endpoint) = &mut report.endpoint else { return };
    endpoint.sequence += 1;
    if let Some(upstream) = &mut endpoint.upstream {
        upstream.limit_per_s = Some((endpoint.sequence / REPORTS_PER_CHANGE) as f64);
        report.created_boot_us = BootClock.now_us().unwrap_or_default();
    }
}

/// Copies the profile revision of an update into the report. Returns whether there was one.
fn copy_revision(report: &mut NodeReport, update: &ControlUpdate) -> bool {
    let Some(profiles) = &update.profiles else { return false };
    report.profile_revision = profiles.revision;
    true
}

fn first_report(node_index: usize, node_count: usize) -> NodeReport {
    let service_count = (node_count / NODES_PER_SERVICE).max(1);
    let service = |offset: usize| format!("service-{}", (node_index + offset) % service_count);
    let port = 1_024 + (node_index % 60_000) as u16;
    NodeReport {
        protocol_version: rpc::PROTOCOL_VERSION,
        cluster_id: "heatherweir".to_owned(),
        vm: format!("vm-{node_index}"),
        data_centre: "kifisia".to_owned(),
        profile_revision: 0,
        endpoint: Some(Endpoint {
            vm: format!("vm-{node_index}"),
            data_centre: "kifisia".to_owned(),
            service: service(0),
            profile: "front".to_owned(),
            peer_address: format!("127.0.0.1:{port}"),
            slots: 40,
            incarnation: 1,
            ..Endpoint::default()
        }),
        configuration_version: 0,
        is_probe: false,
        called_services: (0..=CALLED_SERVICES_PER_NODE).map(service).collect(),
        ..NodeReport::default()
    }
}

/// Returns the first report of a mesh node, which calls all services and asks for freshness proofs.
/// Its profile revision stays that of other nodes, so that the time until a change is in force can be
/// measured.
fn mesh_report(node_index: usize, node_count: usize) -> NodeReport {
    let report = first_report(node_index, node_count);
    let service_count = (node_count / NODES_PER_SERVICE).max(1);
    let upstream = UpstreamProcess {
        instance_id: format!("instance-{node_index}"),
        address: "127.0.0.1:8080".to_owned(),
        started_unix_ms: 1_700_000_000_000,
        ..UpstreamProcess::default()
    };
    // The changes of the nodes are spread evenly over the time between two changes of one of them.
    let sequence = node_index as u64 % REPORTS_PER_CHANGE;
    NodeReport {
        endpoint: report.endpoint.map(|endpoint| Endpoint {
            upstream: Some(upstream),
            sequence,
            ..endpoint
        }),
        called_services: (0..service_count).map(|index| format!("service-{index}")).collect(),
        wants_freshness_proof: true,
        ..report
    }
}

/// Prints the least-squares fit of each quantity over the number of nodes.
fn print_slopes(points: &[NodePoint]) {
    let print_fit = |name: &str, value: fn(&NodePoint) -> f64| {
        let (slope, intercept) = linear_fit(points, value);
        println!("fit {name} = {intercept:.3} + {slope:.5} * nodes");
    };
    print_fit("replica_cpu_percent", |point| point.replica_cpu_percent);
    print_fit("replica_mb", |point| point.replica_mb);
    print_fit("node_received_bytes_per_s", |point| point.received_bytes_per_s);
    print_fit("node_sent_bytes_per_s", |point| point.sent_bytes_per_s);
    print_fit("in_force_ms", |point| point.in_force_ms);
}

/// Returns the slope and the intercept of the least-squares fit.
fn linear_fit(points: &[NodePoint], value: fn(&NodePoint) -> f64) -> (f64, f64) {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|point| point.nodes).sum::<f64>() / count;
    let mean_y = points.iter().map(value).sum::<f64>() / count;
    let covariance: f64 = points.iter().map(|p| (p.nodes - mean_x) * (value(p) - mean_y)).sum();
    let variance: f64 = points.iter().map(|p| (p.nodes - mean_x).powi(2)).sum();
    let slope = covariance / variance;
    (slope, mean_y - slope * mean_x)
}

fn measure_claims(runtime: &Runtime, concurrency: usize) -> Result<(), TaskError> {
    let cluster = Cluster::start_controls(Deployment::pair())?;
    wait_until("the control replicas have a leader", START_TIMEOUT, || cluster.leader().is_some())?;
    let control = cluster.controls[0].address;
    let workers: Vec<_> =
        (0..concurrency).map(|worker| runtime.spawn(claim_repeatedly(control, worker))).collect();
    let mut latencies_us = Vec::new();
    for worker in workers {
        latencies_us.extend(runtime.block_on(worker).unwrap_or_default());
    }
    let Ok(mut histogram) = Histogram::<u64>::new_with_max(60_000_000, 3) else { return Ok(()) };
    latencies_us.iter().for_each(|latency_us| histogram.saturating_record(*latency_us));
    println!(
        "claims concurrency={concurrency} per_s={:.0} p50_us={} p99_us={}",
        latencies_us.len() as f64 / MEASUREMENT_DURATION.as_secs_f64(),
        histogram.value_at_quantile(0.5),
        histogram.value_at_quantile(0.99)
    );
    Ok(())
}

/// Claims new keys one after another and returns the latency of each granted claim, in
/// microseconds.
async fn claim_repeatedly(control: SocketAddr, worker: usize) -> Vec<u64> {
    let Ok(endpoint) = Channel::from_shared(format!("http://{control}")) else {
        return Vec::new();
    };
    let mut client = ClaimsClient::new(endpoint.connect_lazy());
    let started = Instant::now();
    let mut latencies_us = Vec::new();
    for number in 0.. {
        if started.elapsed() > MEASUREMENT_DURATION {
            break;
        }
        let sent_at = Instant::now();
        let request = ClaimRequest {
            key: format!("{worker}-{number}"),
            service: "billing".to_owned(),
            route: "rental".to_owned(),
            holder: 1,
            deadline_ms: 1_000,
            ..ClaimRequest::default()
        };
        let reply = client.claim(request).await;
        if reply.is_ok_and(|reply| reply.into_inner().status() == ClaimStatus::Granted) {
            latencies_us.push(sent_at.elapsed().as_micros() as u64);
        }
    }
    latencies_us
}

//! Measures what control costs against the number of nodes, for `docs/CAPACITY.md`.

use std::fs;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use prost::Message;
use rpc::claims_client::ClaimsClient;
use rpc::directory_client::DirectoryClient;
use rpc::{ClaimRequest, ClaimStatus, ControlUpdate, Endpoint, NodeReport};
use testbed::cluster::Cluster;
use testbed::deployment::Deployment;
use testbed::process::wait_until;
use tokio::runtime::Runtime;
use tokio::sync::mpsc;
use tokio_stream::StreamExt;
use tokio_stream::wrappers::ReceiverStream;
use tonic::transport::Channel;

use crate::error::ChoreError;

const NODE_POINTS: [usize; 4] = [50, 100, 200, 400];
const NODES_PER_SERVICE: usize = 9;
const CALLED_SERVICES: usize = 3;
const CLAIM_POINTS: [usize; 4] = [1, 16, 64, 256];
const MEASURED: Duration = Duration::from_secs(5);
const LIMIT: Duration = Duration::from_secs(20);
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Kernel ticks a second in `/proc/PID/stat`.
const TICKS_PER_S: f64 = 100.0;
const PAGE_BYTES: f64 = 4_096.0;
const MB: f64 = 1_000_000.0;

/// Prints the points and their slopes.
pub fn run() -> Result<(), ChoreError> {
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
    let points: Result<Vec<NodePoint>, ChoreError> =
        NODE_POINTS.iter().map(|nodes| measure_nodes(&runtime, *nodes)).collect();
    print_slopes(&points?);
    for concurrency in CLAIM_POINTS {
        measure_claims(&runtime, concurrency)?;
    }
    Ok(())
}

struct NodePoint {
    nodes: f64,
    replica_cpu_percent: f64,
    replica_mb: f64,
    received_bytes_per_s: f64,
    sent_bytes_per_s: f64,
    in_force_ms: f64,
}

/// Usage of the busiest replica.
#[derive(Clone, Copy)]
struct Usage {
    ticks: f64,
    bytes: f64,
}

fn usage(pid: u32) -> Usage {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let after_name = stat.rsplit(") ").next().unwrap_or_default();
    let fields: Vec<f64> =
        after_name.split_whitespace().map(|field| field.parse().unwrap_or(0.0)).collect();
    let field = |index: usize| fields.get(index).copied().unwrap_or(0.0);
    Usage { ticks: field(11) + field(12), bytes: field(21) * PAGE_BYTES }
}

fn measure_nodes(runtime: &Runtime, nodes: usize) -> Result<NodePoint, ChoreError> {
    let cluster = Cluster::start_controls(Deployment::pair())?;
    cluster.apply_profiles()?;
    let counts = Arc::new(Counts::default());
    for number in 0..nodes {
        let control = cluster.controls[number % cluster.controls.len()].address;
        runtime.spawn(stand_in(control, number, nodes, Arc::clone(&counts)));
    }
    wait_until("every stand-in is attached", LIMIT, || {
        counts.attached.load(Ordering::Relaxed) >= nodes as u64
    })?;
    std::thread::sleep(MEASURED / 2);
    let before: Vec<Usage> = cluster.controls.iter().map(|c| usage(c.process.pid())).collect();
    let (received, sent) = counts.read();
    std::thread::sleep(MEASURED);
    let after: Vec<Usage> = cluster.controls.iter().map(|c| usage(c.process.pid())).collect();
    let (received_after, sent_after) = counts.read();
    let seconds = MEASURED.as_secs_f64();
    let busiest =
        before.iter().zip(&after).map(|(b, a)| (a.ticks - b.ticks) / TICKS_PER_S / seconds);
    let per_node = |bytes: u64| bytes as f64 / seconds / nodes as f64;
    let started = Instant::now();
    let operator = cluster.operator()?;
    let record = operator.get("front").ok().flatten();
    let (version, text) = record.map_or((0, String::new()), |record| (record.version, record.text));
    let changed = text.replace("cold_ramp_ms = 0", "cold_ramp_ms = 1");
    operator.apply("front", version, &changed).map_err(|e| ChoreError::Check(e.to_string()))?;
    let point = NodePoint {
        nodes: nodes as f64,
        replica_cpu_percent: busiest.fold(0.0, f64::max) * 100.0,
        replica_mb: after.iter().map(|usage| usage.bytes / MB).fold(0.0, f64::max),
        received_bytes_per_s: per_node(received_after - received),
        sent_bytes_per_s: per_node(sent_after - sent),
        in_force_ms: started.elapsed().as_secs_f64() * 1_000.0,
    };
    println!(
        "nodes={nodes} replica_cpu_percent={:.2} replica_mb={:.1} node_received_bytes_per_s={:.0} \
         node_sent_bytes_per_s={:.0} in_force_ms={:.0}",
        point.replica_cpu_percent,
        point.replica_mb,
        point.received_bytes_per_s,
        point.sent_bytes_per_s,
        point.in_force_ms
    );
    Ok(point)
}

#[derive(Default)]
struct Counts {
    attached: AtomicU64,
    received_bytes: AtomicU64,
    sent_bytes: AtomicU64,
}

impl Counts {
    fn read(&self) -> (u64, u64) {
        (self.received_bytes.load(Ordering::Relaxed), self.sent_bytes.load(Ordering::Relaxed))
    }
}

/// Reports like a node and counts the bytes of its messages.
async fn stand_in(control: SocketAddr, number: usize, nodes: usize, counts: Arc<Counts>) {
    let Ok(endpoint) = Channel::from_shared(format!("http://{control}")) else { return };
    let mut client = DirectoryClient::new(endpoint.connect_lazy());
    let (reports, receiver) = mpsc::channel(4);
    let mut report = first_report(number, nodes);
    // The queue is empty, so the first report fits.
    let _ = reports.try_send(report.clone());
    let Ok(updates) = client.attach(ReceiverStream::new(receiver)).await else { return };
    let mut updates = updates.into_inner();
    counts.attached.fetch_add(1, Ordering::Relaxed);
    let mut interval = tokio::time::interval(REPORT_INTERVAL);
    loop {
        let is_news = tokio::select! {
            update = updates.next() => {
                let Some(Ok(update)) = update else { return };
                let bytes = update.encoded_len() as u64;
                counts.received_bytes.fetch_add(bytes, Ordering::Relaxed);
                take_revision(&mut report, &update)
            }
            _ = interval.tick() => true,
        };
        if is_news {
            if let Some(endpoint) = &mut report.endpoint {
                endpoint.sequence += 1;
            }
            counts.sent_bytes.fetch_add(report.encoded_len() as u64, Ordering::Relaxed);
            if reports.send(report.clone()).await.is_err() {
                return;
            }
        }
    }
}

fn take_revision(report: &mut NodeReport, update: &ControlUpdate) -> bool {
    let Some(profiles) = &update.profiles else { return false };
    report.profile_revision = profiles.revision;
    true
}

fn first_report(number: usize, nodes: usize) -> NodeReport {
    let services = (nodes / NODES_PER_SERVICE).max(1);
    let service = |offset: usize| format!("service-{}", (number + offset) % services);
    let port = 1_024 + (number % 60_000) as u16;
    NodeReport {
        protocol_version: rpc::PROTOCOL_VERSION,
        cluster_id: "heatherweir".to_owned(),
        vm: format!("vm-{number}"),
        data_centre: "kifisia".to_owned(),
        profile_revision: 0,
        endpoint: Some(Endpoint {
            vm: format!("vm-{number}"),
            data_centre: "kifisia".to_owned(),
            service: service(0),
            profile: "front".to_owned(),
            peer_address: format!("127.0.0.1:{port}"),
            slots: 40,
            incarnation: 1,
            ..Endpoint::default()
        }),
        configuration_version: 0,
        called_services: (0..=CALLED_SERVICES).map(service).collect(),
    }
}

/// Prints the least-squares line through the points of each quantity.
fn print_slopes(points: &[NodePoint]) {
    let print = |name: &str, value: fn(&NodePoint) -> f64| {
        let (slope, base) = fit(points, value);
        println!("fit {name} = {base:.3} + {slope:.5} * nodes");
    };
    print("replica_cpu_percent", |point| point.replica_cpu_percent);
    print("replica_mb", |point| point.replica_mb);
    print("node_received_bytes_per_s", |point| point.received_bytes_per_s);
    print("node_sent_bytes_per_s", |point| point.sent_bytes_per_s);
    print("in_force_ms", |point| point.in_force_ms);
}

fn fit(points: &[NodePoint], value: fn(&NodePoint) -> f64) -> (f64, f64) {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|point| point.nodes).sum::<f64>() / count;
    let mean_y = points.iter().map(value).sum::<f64>() / count;
    let covariance: f64 = points.iter().map(|p| (p.nodes - mean_x) * (value(p) - mean_y)).sum();
    let variance: f64 = points.iter().map(|p| (p.nodes - mean_x).powi(2)).sum();
    let slope = covariance / variance;
    (slope, mean_y - slope * mean_x)
}

fn measure_claims(runtime: &Runtime, concurrency: usize) -> Result<(), ChoreError> {
    let cluster = Cluster::start_controls(Deployment::pair())?;
    wait_until("there is a leader", LIMIT, || cluster.leader().is_some())?;
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
        latencies_us.len() as f64 / MEASURED.as_secs_f64(),
        histogram.value_at_quantile(0.5),
        histogram.value_at_quantile(0.99)
    );
    Ok(())
}

/// Claims new keys one after another and returns how long each took, in microseconds.
async fn claim_repeatedly(control: SocketAddr, worker: usize) -> Vec<u64> {
    let Ok(endpoint) = Channel::from_shared(format!("http://{control}")) else {
        return Vec::new();
    };
    let mut client = ClaimsClient::new(endpoint.connect_lazy());
    let started = Instant::now();
    let mut latencies_us = Vec::new();
    for number in 0.. {
        if started.elapsed() > MEASURED {
            break;
        }
        let asked = Instant::now();
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
            latencies_us.push(asked.elapsed().as_micros() as u64);
        }
    }
    latencies_us
}

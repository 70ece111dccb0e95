//! A node moves away from a replica that has lost its quorum or fallen silent.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use control_link::{AttachedNode, ControlLink};
use rpc::directory_server::{Directory, DirectoryServer};
use rpc::{ControlUpdate, NodeReport, PackedConfiguration};
use slog::{Discard, Logger, o};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio_stream::wrappers::{ReceiverStream, TcpListenerStream};
use tonic::{Request, Response, Status, Streaming};

/// Time in which a change must reach a node behind a replica that lost its quorum just before.
const IN_FORCE: Duration = Duration::from_secs(2);

/// A replica that says how long ago it heard from a quorum, growing while it is isolated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Replica {
    Healthy,
    Isolated,
    /// It has no quorum for the first second, then one, then none again.
    Regained,
    Silent,
    /// It has had no quorum for long.
    Lost,
    /// It has no quorum for the first second of its life, then one.
    Recovering,
    /// It has a quorum for the first second of its life, then none.
    Failing,
}

struct Server {
    replica: Replica,
    born: Instant,
}

impl Server {
    /// Returns what the replica is like now.
    fn present(&self) -> Replica {
        let is_young = self.born.elapsed() < Duration::from_secs(1);
        match (self.replica, is_young) {
            (Replica::Recovering, true) => Replica::Lost,
            (Replica::Recovering, false) => Replica::Healthy,
            (replica, _) => replica,
        }
    }
}

#[tonic::async_trait]
impl Directory for Server {
    type AttachStream = ReceiverStream<Result<ControlUpdate, Status>>;

    async fn attach(
        &self,
        _request: Request<Streaming<NodeReport>>,
    ) -> Result<Response<Self::AttachStream>, Status> {
        let (updates, receiver) = mpsc::channel(4);
        let replica = self.present();
        let born = self.born;
        tokio::spawn(async move {
            let started = Instant::now();
            let is_without = matches!(replica, Replica::Regained | Replica::Lost);
            let mut contact_age_ms = if is_without { 5_000 } else { 0 };
            if replica == Replica::Silent {
                return std::future::pending().await;
            }
            loop {
                let configuration = (replica == Replica::Healthy)
                    .then(|| PackedConfiguration { version: 9, packed_text: "".into() });
                let update =
                    ControlUpdate { contact_age_ms, configuration, ..ControlUpdate::default() };
                if updates.send(Ok(update)).await.is_err() {
                    return;
                }
                tokio::time::sleep(Duration::from_millis(500)).await;
                let has_quorum = match replica {
                    Replica::Healthy => true,
                    Replica::Failing => born.elapsed() < Duration::from_secs(1),
                    _ => false,
                };
                contact_age_ms += if has_quorum { 0 } else { 500 };
                if replica == Replica::Regained && started.elapsed() < Duration::from_secs(2) {
                    let is_early = started.elapsed() < Duration::from_secs(1);
                    contact_age_ms = if is_early { 5_000 } else { 0 };
                }
            }
        });
        Ok(Response::new(ReceiverStream::new(receiver)))
    }
}

struct Node {
    controls: Vec<SocketAddr>,
    version: Arc<Mutex<u64>>,
}

impl AttachedNode for Node {
    fn controls(&self) -> Vec<SocketAddr> {
        self.controls.clone()
    }

    fn report(&mut self) -> NodeReport {
        NodeReport::default()
    }

    fn take(&mut self, update: ControlUpdate) -> bool {
        if let Some(configuration) = update.configuration {
            *self.version.lock().unwrap() = configuration.version;
        }
        false
    }
}

async fn start(replica: Replica) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    let server = Server { replica, born: Instant::now() };
    let server = tonic::transport::Server::builder().add_service(DirectoryServer::new(server));
    tokio::spawn(server.serve_with_incoming(TcpListenerStream::new(listener)));
    address
}

/// Checks that a node which begins at a bad replica has the version of a healthy one in time.
async fn check(bad: Replica) {
    let controls = vec![start(bad).await, start(Replica::Healthy).await];
    check_in_force(controls, IN_FORCE).await;
}

async fn check_in_force(controls: Vec<SocketAddr>, limit: Duration) {
    let version = Arc::new(Mutex::new(0));
    let node = Node { controls, version: Arc::clone(&version) };
    let (_announce, announced) = watch::channel(0);
    let (_stop, stop) = watch::channel(false);
    let link = ControlLink::new(Logger::root(Discard, o!()), node, announced, stop);
    let ended = tokio::time::timeout(limit, link.run()).await;
    assert!(ended.is_err(), "the link ended");
    assert_eq!(*version.lock().unwrap(), 9);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn node_leaves_a_replica_that_lost_its_quorum() {
    check(Replica::Isolated).await;
}

/// Replicas that were tried without success before a sound one say nothing about the time after it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn node_does_not_stay_without_a_quorum_because_of_replicas_that_it_tried_long_ago() {
    let mut controls = Vec::new();
    for replica in [Replica::Lost, Replica::Recovering, Replica::Failing] {
        controls.push(start(replica).await);
    }
    // The third replica has a quorum for a second; from then on the bound counts.
    check_in_force(controls, Duration::from_secs(1) + IN_FORCE).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn node_leaves_a_silent_replica() {
    check(Replica::Silent).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn replica_that_was_accepted_without_a_quorum_is_left_when_it_loses_one_again() {
    let controls = vec![start(Replica::Regained).await];
    let (_announce, announced) = watch::channel(0);
    let (_stop, stop) = watch::channel(false);
    let attachments = Arc::new(Mutex::new(0));
    let node = Counting { controls, attachments: Arc::clone(&attachments) };
    let link = ControlLink::new(Logger::root(Discard, o!()), node, announced, stop);
    let _ = tokio::time::timeout(Duration::from_millis(4_500), link.run()).await;
    // The first attachment finds no quorum, the second is accepted without one and left later.
    assert!(*attachments.lock().unwrap() >= 3, "{attachments:?}");
}

struct Counting {
    controls: Vec<SocketAddr>,
    attachments: Arc<Mutex<u32>>,
}

impl AttachedNode for Counting {
    fn controls(&self) -> Vec<SocketAddr> {
        *self.attachments.lock().unwrap() += 1;
        self.controls.clone()
    }

    fn report(&mut self) -> NodeReport {
        NodeReport::default()
    }

    fn take(&mut self, _update: ControlUpdate) -> bool {
        false
    }
}

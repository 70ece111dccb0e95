//! Search for a replica whose state is current, while the node stays attached to another one.

use std::net::SocketAddr;
use std::time::Duration;

use rpc::NodeReport;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio_stream::StreamExt;

use crate::replica_health::suspicion;
use crate::stream::open_stream;

/// Delay between the probes of the first round, which does not wait for answers. A replica that is
/// cut off delays the search by no more than this.
const FIRST_ROUND_DELAY: Duration = Duration::from_millis(100);
/// Delay between the probes of the next rounds.
const PROBE_DELAY: Duration = Duration::from_millis(300);
/// Number of probes after which a search backs off.
const FAST_PROBES: usize = 10;
/// Delay between later probes. While no replica has a quorum, every node sends one probe per delay,
/// which costs it less than 2 KB a second.
const BACKOFF_DELAY: Duration = Duration::from_millis(550);
/// Timeout of a probe, the connection included.
const PROBE_TIMEOUT: Duration = Duration::from_millis(600);

/// Probes of other replicas, one after the other, until one is current.
pub(crate) struct ReplicaSearch {
    /// Index of the next replica to probe.
    next_index: usize,
    probes_sent: usize,
    next_probe_at: Instant,
    probes: JoinSet<Option<SocketAddr>>,
}

impl ReplicaSearch {
    /// Creates a search that sends its first probe at `start`.
    pub(crate) fn new(first_index: usize, start: Instant) -> Self {
        Self {
            next_index: first_index,
            probes_sent: 0,
            next_probe_at: start,
            probes: JoinSet::new(),
        }
    }

    /// Lets the search begin with the delay of a long one.
    pub(crate) fn with_backoff(self) -> Self {
        Self { probes_sent: FAST_PROBES, ..self }
    }

    /// Waits until a replica other than `attached` answers that its state is current and not behind
    /// the node. `report` is the last report of the node. Cancel-safe.
    pub(crate) async fn find(
        &mut self,
        replicas: &[SocketAddr],
        attached: SocketAddr,
        report: &NodeReport,
    ) -> SocketAddr {
        let others: Vec<SocketAddr> =
            replicas.iter().copied().filter(|address| *address != attached).collect();
        loop {
            tokio::select! {
                () = tokio::time::sleep_until(self.next_probe_at), if !others.is_empty() => {
                    self.send_probe(&others, report);
                }
                Some(probe) = self.probes.join_next() => {
                    if let Ok(Some(address)) = probe {
                        return address;
                    }
                }
                else => std::future::pending().await,
            }
        }
    }

    fn send_probe(&mut self, others: &[SocketAddr], report: &NodeReport) {
        let address = others[self.next_index % others.len()];
        self.next_index += 1;
        self.probes_sent += 1;
        let delay = match self.probes_sent {
            sent if sent < others.len() => FIRST_ROUND_DELAY,
            sent if sent < FAST_PROBES => PROBE_DELAY,
            _ => BACKOFF_DELAY,
        };
        self.next_probe_at = Instant::now() + delay;
        let own_version = report.configuration_version;
        let report = probe_report(report);
        self.probes.spawn(async move {
            let probe = tokio::time::timeout(PROBE_TIMEOUT, probe(address, report, own_version));
            probe.await.unwrap_or(false).then_some(address)
        });
    }
}

/// Returns a report that asks a replica only for the age of its state. A replica of an older version
/// attaches the node, but sends it no endpoints and no documents.
fn probe_report(report: &NodeReport) -> NodeReport {
    NodeReport {
        endpoint: None,
        called_services: Vec::new(),
        profile_revision: u64::MAX,
        configuration_version: u64::MAX,
        is_probe: true,
        ..report.clone()
    }
}

/// Returns whether the replica is reachable, current and not behind the node.
async fn probe(address: SocketAddr, report: NodeReport, own_version: u64) -> bool {
    let reports = tokio_stream::once(report).chain(tokio_stream::pending());
    let Ok(mut updates) = open_stream(address, reports).await else { return false };
    let update = updates.next().await;
    update
        .is_some_and(|update| update.is_ok_and(|update| suspicion(&update, own_version).is_none()))
}

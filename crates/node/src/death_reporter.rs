//! Sends reports of upstream deaths to the other nodes of the same service.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use model::ServiceName;
use rpc::DeathReport;
use rpc::peer_client::PeerClient;
use tokio::task::JoinSet;

use crate::endpoints::EndpointTable;
use crate::peer_client;

/// Maximum time for which the answer to the caller is delayed until the peers have the report.
const BROADCAST_TIMEOUT: Duration = Duration::from_millis(50);
const SEND_TIMEOUT: Duration = Duration::from_millis(500);
const SEND_ATTEMPTS: usize = 3;

/// Sends reports of upstream deaths to the nodes of a service.
pub(crate) struct DeathReporter {
    endpoints: Arc<EndpointTable>,
}

impl DeathReporter {
    pub(crate) fn new(endpoints: Arc<EndpointTable>) -> Self {
        Self { endpoints }
    }

    /// Sends a report to every node of a service; waits for at most [`BROADCAST_TIMEOUT`].
    ///
    /// The wait makes it likely that every node has the report when the caller retries its request.
    /// Sends that take longer continue in the background.
    pub(crate) async fn broadcast(&self, service: &ServiceName, report: DeathReport) {
        let Some(endpoints) = self.endpoints.get(service) else { return };
        let mut sends = JoinSet::new();
        for address in endpoints.addresses() {
            sends.spawn(send(address, report.clone()));
        }
        let all = async { while sends.join_next().await.is_some() {} };
        if tokio::time::timeout(BROADCAST_TIMEOUT, all).await.is_err() {
            sends.detach_all();
        }
    }
}

async fn send(address: SocketAddr, report: DeathReport) {
    let Ok(channel) = peer_client::lazy_channel(address) else { return };
    let mut client = PeerClient::new(channel);
    for _ in 0..SEND_ATTEMPTS {
        let call = tokio::time::timeout(SEND_TIMEOUT, client.report_death(report.clone()));
        if matches!(call.await, Ok(Ok(_))) {
            return;
        }
    }
}

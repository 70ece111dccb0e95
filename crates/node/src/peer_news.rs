//! News of deaths for the other nodes of the own service.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use model::ServiceName;
use rpc::DeathReport;
use rpc::peer_client::PeerClient;
use tokio::task::JoinSet;

use crate::peer_client;
use crate::routes::RouteTable;

/// Time that the answer to the caller waits for the news to arrive.
const SPREAD_LIMIT: Duration = Duration::from_millis(50);
const SEND_TIMEOUT: Duration = Duration::from_millis(500);
const SEND_ATTEMPTS: usize = 3;

/// Sends news to the nodes that serve the same service.
pub(crate) struct PeerNews {
    routes: Arc<RouteTable>,
}

impl PeerNews {
    pub(crate) fn new(routes: Arc<RouteTable>) -> Self {
        Self { routes }
    }

    /// Sends a report to every node of a service and waits for a short while.
    ///
    /// A caller that sends its request again should find every node informed.
    pub(crate) async fn spread(&self, service: &ServiceName, report: DeathReport) {
        let Some(routes) = self.routes.get(service) else { return };
        let mut sends = JoinSet::new();
        for address in routes.addresses() {
            sends.spawn(send(address, report.clone()));
        }
        let all = async { while sends.join_next().await.is_some() {} };
        if tokio::time::timeout(SPREAD_LIMIT, all).await.is_err() {
            sends.detach_all();
        }
    }
}

async fn send(address: SocketAddr, report: DeathReport) {
    let Ok(channel) = peer_client::open(address) else { return };
    let mut client = PeerClient::new(channel);
    for _ in 0..SEND_ATTEMPTS {
        let call = tokio::time::timeout(SEND_TIMEOUT, client.report_death(report.clone()));
        if matches!(call.await, Ok(Ok(_))) {
            return;
        }
    }
}

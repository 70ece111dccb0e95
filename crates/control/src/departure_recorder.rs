//! Commits the departures that nodes report.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use indexmap::IndexSet;
use rpc::replica_client::ReplicaClient;
use rpc::{DepartedUpstream, NodeReport, RecordDepartureRequest};
use slog::info;

use crate::departures::Departure;
use crate::service::ServiceContext;
use crate::state::Command;

/// Maximum time to commit a departure, retries included: shorter than the interval of the reports,
/// which contain it again.
const COMMIT_TIMEOUT: Duration = Duration::from_millis(900);
/// Delay before a failed attempt is repeated, for example during an election.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Timeout of one call to the leader, after which the leader is looked up again.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(300);

/// Departures whose commit is in progress.
#[derive(Debug, Default)]
pub(crate) struct DepartureRecorder {
    in_progress: Mutex<IndexSet<(String, String)>>,
}

impl DepartureRecorder {
    fn lock(&self) -> MutexGuard<'_, IndexSet<(String, String)>> {
        self.in_progress.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether no other commit of the departure is in progress.
    fn start(&self, departure: &Departure) -> bool {
        self.lock().insert((departure.vm.clone(), departure.instance_id.clone()))
    }

    fn finish(&self, departure: &Departure) {
        self.lock().swap_remove(&(departure.vm.clone(), departure.instance_id.clone()));
    }
}

/// Starts to commit the departures in a report that are not committed yet.
pub(crate) fn record_departures(context: &ServiceContext, report: &NodeReport) {
    for departed in &report.departing {
        let departure = Departure::new(report.vm.clone(), departed.clone());
        let is_known = context.replica.view().departures.contains(&departure);
        if is_known || !context.departures.start(&departure) {
            continue;
        }
        let context = context.clone();
        tokio::spawn(async move {
            let commit = commit_with_retries(&context, &departure);
            let is_committed = tokio::time::timeout(COMMIT_TIMEOUT, commit).await.is_ok();
            context.departures.finish(&departure);
            info!(context.log, "upstream-departure"; "vm" => &departure.vm,
                "instance" => &departure.instance_id, "is_committed" => is_committed);
        });
    }
}

async fn commit_with_retries(context: &ServiceContext, departure: &Departure) {
    while !commit(context, departure).await {
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

/// Commits a departure through the leader. Returns whether it is committed.
async fn commit(context: &ServiceContext, departure: &Departure) -> bool {
    let Some(channel) = context.leader_channel() else {
        return commit_as_leader(context, departure.clone()).await;
    };
    let request = RecordDepartureRequest {
        cluster_id: context.settings.cluster_id.clone(),
        vm: departure.vm.clone(),
        departed: Some(DepartedUpstream {
            instance_id: departure.instance_id.clone(),
            last_started_unix_ms: departure.last_started_unix_ms,
        }),
    };
    let mut client = ReplicaClient::new(channel);
    let call = tokio::time::timeout(FORWARD_TIMEOUT, client.record_departure(request)).await;
    match call {
        Ok(Ok(reply)) => reply.into_inner().is_committed,
        _ => {
            context.reset_leader_channel();
            false
        }
    }
}

/// Proposes a departure to this replica. Returns whether it led the cluster and committed it.
pub(crate) async fn commit_as_leader(context: &ServiceContext, departure: Departure) -> bool {
    context.replica.propose(Command::Depart(departure)).await.is_ok()
}

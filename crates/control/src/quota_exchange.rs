//! Exchange of quota demands and grants between the nodes of this replica and the leader, and the
//! lender of the leader.
//!
//! A replica keeps the newest demands of each node until the next batch, and has one batch on the
//! way at a time. While the leader does not answer, newer demands replace older ones, so the memory
//! is bounded by the number of nodes. Demands whose batch fails are dropped, since reports repeat.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use consensus::Term;
use daemon::BootClock;
use indexmap::IndexMap;
use policy::quota_bucket::ShareDemand;
use policy::quota_lender::{LeaderHistory, QuotaLender, Reporter};
use rpc::replica_client::ReplicaClient;
use rpc::{
    LendQuotaRequest, NodeQuotaDemands, NodeQuotaGrants, NodeReport, QuotaGrant, QuotaGrants,
};
use slog::{debug, info};
use tokio::sync::Notify;
use tokio::sync::mpsc::Sender;
use tonic::transport::Channel;

use crate::replica::ProposalReceiver;
use crate::service::ServiceContext;
use crate::state::{Applied, Command, QuotaCeilings};

/// Maximum number of grants that wait for the stream of a node. Grants for a node that reads slowly
/// are dropped, since its next report gets new ones.
pub(crate) const MAX_QUEUED_GRANTS: usize = 4;
/// Time in which demands are gathered before they are sent to the leader.
const BATCH_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum number of nodes in a batch; 980 nodes with 20 accounts each are about 1.4 MB together.
const MAX_BATCH_NODES: usize = 256;
/// Timeout of a batch. A commit takes a few milliseconds, and nodes report again after 200 ms.
const BATCH_TIMEOUT: Duration = Duration::from_millis(500);
/// Units of a ceiling in the replicated state that make the whole quota.
const CEILING_UNITS: f64 = 1_000_000.0;
/// Term of the first leader of a cluster. Terms only grow, so nothing was lent before it.
const FIRST_TERM: Term = 1;

/// Receiver of the grants of one node.
#[derive(Debug, Clone)]
pub(crate) struct QuotaSubscriber {
    /// Start time of the node process.
    pub(crate) incarnation: u64,
    pub(crate) grants: Sender<QuotaGrants>,
}

/// Demand of a node that waits for the next batch.
#[derive(Debug)]
struct PendingNode {
    demands: NodeQuotaDemands,
    subscriber: QuotaSubscriber,
}

/// Lender of the term in which this replica leads.
#[derive(Debug)]
struct LeaderState {
    term: Term,
    lender: QuotaLender,
}

/// Demands of the nodes of this replica, and its lender while it leads.
#[derive(Debug, Default)]
pub(crate) struct QuotaExchange {
    pending: Mutex<IndexMap<String, PendingNode>>,
    submitted: Notify,
    leader: Mutex<Option<LeaderState>>,
}

impl QuotaExchange {
    /// Queues the demands of a report for the next batch, in place of earlier ones of the node.
    pub(crate) fn submit(&self, report: &NodeReport, subscriber: QuotaSubscriber) {
        let demands = NodeQuotaDemands {
            vm: report.vm.clone(),
            incarnation: report.incarnation,
            created_boot_us: report.created_boot_us,
            demands: report.quota_demands.clone(),
        };
        self.lock_pending().insert(report.vm.clone(), PendingNode { demands, subscriber });
        self.submitted.notify_one();
    }

    /// Returns who holds which share, as far as this replica has lent it as the leader.
    pub(crate) fn status_json(&self) -> serde_json::Value {
        let leader = self.lock_leader();
        let Some(leader) = &*leader else { return serde_json::json!({ "accounts": {} }) };
        let accounts = leader.lender.loans().map(|loans| {
            let shares = loans.shares.iter().map(|(vm, share)| (vm.to_string(), (*share).into()));
            let shares: serde_json::Map<String, serde_json::Value> = shares.collect();
            let account = serde_json::json!({ "pool": loans.pool_tokens, "shares": shares });
            (loans.account.to_string(), account)
        });
        let accounts: serde_json::Map<String, serde_json::Value> = accounts.collect();
        serde_json::json!({ "term": leader.term, "accounts": accounts })
    }

    fn lock_pending(&self) -> MutexGuard<'_, IndexMap<String, PendingNode>> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_leader(&self) -> MutexGuard<'_, Option<LeaderState>> {
        self.leader.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn take_batch(&self) -> Vec<PendingNode> {
        let mut pending = self.lock_pending();
        let count = pending.len().min(MAX_BATCH_NODES);
        pending.drain(..count).map(|(_, node)| node).collect()
    }
}

/// Sends the demands of the nodes of this replica to the leader until the process stops. Waits
/// without any work while no node reports a demand.
pub(crate) async fn run(context: ServiceContext) {
    let mut stop = context.stop.clone();
    loop {
        tokio::select! {
            () = context.quotas.submitted.notified() => {}
            _ = stop.changed() => return,
        }
        tokio::time::sleep(BATCH_INTERVAL).await;
        loop {
            let batch = context.quotas.take_batch();
            if batch.is_empty() {
                break;
            }
            exchange_batch(&context, batch).await;
        }
    }
}

/// Gets the grants for a batch from the leader and passes them to the streams of the nodes.
async fn exchange_batch(context: &ServiceContext, batch: Vec<PendingNode>) {
    let (demands, subscribers): (Vec<_>, Vec<_>) =
        batch.into_iter().map(|node| (node.demands, node.subscriber)).unzip();
    let vms = demands.iter().map(|node| node.vm.clone());
    let subscribers: HashMap<String, QuotaSubscriber> = vms.zip(subscribers).collect();
    let lent = match context.leader_channel() {
        Some(channel) => forward(context, channel, demands).await,
        None => tokio::time::timeout(BATCH_TIMEOUT, lend_as_leader(context, demands))
            .await
            .unwrap_or_default(),
    };
    let Some(lent) = lent else {
        debug!(context.log, "quota-batch-unanswered"; "nodes" => subscribers.len());
        return;
    };
    for node in lent {
        let subscriber = subscribers.get(&node.vm);
        let subscriber = subscriber.filter(|known| known.incarnation == node.incarnation);
        if let (Some(subscriber), Some(grants)) = (subscriber, node.grants) {
            let _ = subscriber.grants.try_send(grants);
        }
    }
}

async fn forward(
    context: &ServiceContext,
    channel: Channel,
    nodes: Vec<NodeQuotaDemands>,
) -> Option<Vec<NodeQuotaGrants>> {
    let request = LendQuotaRequest { cluster_id: context.settings.cluster_id.clone(), nodes };
    let mut client = ReplicaClient::new(channel).max_decoding_message_size(usize::MAX);
    match tokio::time::timeout(BATCH_TIMEOUT, client.lend_quota(request)).await {
        Ok(Ok(reply)) => Some(reply.into_inner()).filter(|reply| reply.is_confirmed),
        _ => {
            context.reset_leader_channel();
            None
        }
    }
    .map(|reply| reply.nodes)
}

/// Lends quota to nodes as the leader. Returns `None` if this replica could not prove that it still
/// led the cluster after the demands had arrived.
///
/// The lender decides before the proof is committed: its state at the time of the decision then
/// precedes the first commit of any later leader, which applies the ceilings of the decision.
pub(crate) async fn lend_as_leader(
    context: &ServiceContext,
    nodes: Vec<NodeQuotaDemands>,
) -> Option<Vec<NodeQuotaGrants>> {
    let term = context.replica.view().term;
    if !context.replica.view().is_leader() {
        return None;
    }
    start_lender(context, term).await?;
    let (grants, proof) = decide(context, term, &nodes)?;
    proof.await.ok()?.ok()?;
    is_leader(context, term).then_some(grants)
}

/// Creates the lender of a term after the first commit in it, unless there is one already.
///
/// The commit follows all commits of earlier leaders, so the ceilings that it returns bound what they
/// have lent.
async fn start_lender(context: &ServiceContext, term: Term) -> Option<()> {
    if context.quotas.lock_leader().as_ref().is_some_and(|leader| leader.term == term) {
        return Some(());
    }
    let command = Command::LimitQuota(QuotaCeilings::new());
    let Applied::LimitQuota(ceilings) = context.replica.propose(command).await.ok()? else {
        return None;
    };
    if !is_leader(context, term) {
        return None;
    }
    let now_us = BootClock.now_us()?;
    let history = match term {
        FIRST_TERM => LeaderHistory::First,
        _ => LeaderHistory::Successor,
    };
    let ceilings = ceilings
        .iter()
        .map(|(name, ceiling)| (Arc::from(name.as_str()), f64::from(*ceiling) / CEILING_UNITS));
    let mut leader = context.quotas.lock_leader();
    // Another batch may have created it while this one waited, also for a later term.
    if leader.as_ref().is_none_or(|leader| leader.term < term) {
        info!(context.log, "quota-lender-started"; "term" => term, "history" => ?history,
            "lent_accounts" => ceilings.len());
        let lender = QuotaLender::new(now_us, history).with_ceilings(ceilings);
        *leader = Some(LeaderState { term, lender });
    }
    Some(())
}

fn is_leader(context: &ServiceContext, term: Term) -> bool {
    let view = context.replica.view();
    view.is_leader() && view.term == term
}

/// Decides the grants of a batch and proposes the ceilings that they change. The proposal is made
/// under the lock of the lender, so that ceilings are committed in the order of the decisions.
fn decide(
    context: &ServiceContext,
    term: Term,
    nodes: &[NodeQuotaDemands],
) -> Option<(Vec<NodeQuotaGrants>, ProposalReceiver)> {
    let mut leader = context.quotas.lock_leader();
    let leader = leader.as_mut().filter(|leader| leader.term == term)?;
    let now_us = BootClock.now_us()?;
    let lender = &mut leader.lender;
    let grants = nodes.iter().map(|node| lend_to_node(lender, now_us, node)).collect();
    let changed = lender.take_changed_ceilings();
    let command = match changed.is_empty() {
        true => Command::Barrier,
        false => Command::LimitQuota(
            changed
                .into_iter()
                .map(|(name, ceiling)| (name.to_string(), (ceiling * CEILING_UNITS).ceil() as u32))
                .collect(),
        ),
    };
    Some((grants, context.replica.submit(command)))
}

fn lend_to_node(lender: &mut QuotaLender, now_us: u64, node: &NodeQuotaDemands) -> NodeQuotaGrants {
    let reporter =
        Reporter { vm: &node.vm, incarnation: node.incarnation, report_us: node.created_boot_us };
    let grants = node.demands.iter().filter_map(|demand| {
        let needed = ShareDemand {
            wanted_share: demand.wanted_share,
            held_share: demand.held_share,
            basis_us: demand.basis_boot_us,
            refill_per_s: demand.refill_per_s,
            wanted_burst_share: demand.wanted_burst_share,
            returned_burst_share: demand.returned_burst_share,
        };
        let grant = lender.lend(now_us, reporter, &demand.account, &needed)?;
        Some(QuotaGrant {
            account: demand.account.clone(),
            share: grant.share,
            initial_burst_share: grant.initial_burst_share,
        })
    });
    let grants =
        QuotaGrants { report_created_boot_us: node.created_boot_us, grants: grants.collect() };
    NodeQuotaGrants { vm: node.vm.clone(), incarnation: node.incarnation, grants: Some(grants) }
}

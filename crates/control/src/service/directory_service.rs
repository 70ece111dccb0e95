//! gRPC service that streams profiles, endpoints and the configuration to the nodes.

use std::time::Duration;

use indexmap::IndexSet;
use rpc::directory_server::Directory;
use rpc::{
    ControlUpdate, DepartedUpstream, NodeReport, PackedConfiguration, ProfileRecord, ProfileSet,
    QuotaGrants,
};
use slog::{info, o};
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio_stream::wrappers::ReceiverStream;
use tonic::{Request, Response, Status, Streaming};

use super::ServiceContext;
use crate::departure_recorder::record_departures;
use crate::directory::{EndpointDifference, Origin, SentEndpoints};
use crate::profiles::ProfileTable;
use crate::quota_exchange::{MAX_QUEUED_GRANTS, QuotaSubscriber};

/// Capacity of the update queue of a node, in updates. With a capacity of 1, a node that reads
/// slowly skips intermediate states.
const MAX_QUEUED_UPDATES: usize = 1;
/// Interval at which a node receives the age of the replica's state.
const CONTENT_AGE_INTERVAL: Duration = Duration::from_millis(500);
/// Time for which changes of endpoints are collected before they are sent. When many nodes change
/// their endpoints at once, each stream sends at most 33 updates per second instead of one for each
/// change. It must be short against the 300 ms in which nodes must learn of a drain.
const COALESCING_DELAY: Duration = Duration::from_millis(30);

pub(super) struct DirectoryService {
    context: ServiceContext,
}

impl DirectoryService {
    pub(super) fn new(context: ServiceContext) -> Self {
        Self { context }
    }
}

#[tonic::async_trait]
impl Directory for DirectoryService {
    type AttachStream = ReceiverStream<Result<ControlUpdate, Status>>;

    async fn attach(
        &self,
        request: Request<Streaming<NodeReport>>,
    ) -> Result<Response<Self::AttachStream>, Status> {
        let mut reports = request.into_inner();
        let first = reports.message().await?;
        let first = first.ok_or_else(|| Status::invalid_argument("the stream has no report"))?;
        self.context.check_cluster(&first.cluster_id)?;
        if first.protocol_version != rpc::PROTOCOL_VERSION {
            return Err(Status::failed_precondition("unsupported protocol version"));
        }
        let (updates, receiver) = mpsc::channel(MAX_QUEUED_UPDATES);
        if first.is_probe {
            let update = update_with_state(&self.context, ControlUpdate::default());
            // The queue is empty, so the update fits.
            let _ = updates.try_send(Ok(update));
            return Ok(Response::new(ReceiverStream::new(receiver)));
        }
        let log = self.context.log.new(o!("vm" => first.vm.clone()));
        info!(log, "node-attached"; "data_centre" => first.data_centre.clone());
        let stream = NodeStream {
            context: self.context.clone(),
            sent_endpoints: SentEndpoints::default(),
            services: first.called_services.iter().cloned().collect(),
            sent_profile_revision: first.profile_revision,
            sent_configuration_version: first.configuration_version,
            sent_departures: Vec::new(),
            is_first_update: true,
            grants: mpsc::channel(MAX_QUEUED_GRANTS).0,
            report: first,
        };
        tokio::spawn(async move {
            let _ = stream.run(reports, updates).await;
            info!(log, "node-detached");
        });
        Ok(Response::new(ReceiverStream::new(receiver)))
    }
}

/// Error of a send to a node that has closed its stream.
struct StreamClosed;

/// State of the stream to one node.
struct NodeStream {
    context: ServiceContext,
    report: NodeReport,
    /// Services that the node lists as called.
    services: IndexSet<String>,
    sent_endpoints: SentEndpoints,
    sent_profile_revision: u64,
    sent_configuration_version: u64,
    /// Departures of the node's VM that were sent last.
    sent_departures: Vec<DepartedUpstream>,
    /// Whether no update with contents was sent yet; the first one is complete.
    is_first_update: bool,
    /// Queue of the grants for the node.
    grants: mpsc::Sender<QuotaGrants>,
}

impl NodeStream {
    /// Handles reports and sends updates until the stream ends or the process stops.
    async fn run(
        mut self,
        mut reports: Streaming<NodeReport>,
        updates: mpsc::Sender<Result<ControlUpdate, Status>>,
    ) -> Result<(), StreamClosed> {
        let mut directory_revision = self.context.directory_revision.subscribe();
        let mut profile_revision = self.context.replica.profile_revision();
        let mut configurations = self.context.packed_configurations.subscribe();
        let mut departure_revision = self.context.replica.departure_revision();
        let mut is_current = self.context.replica.is_current();
        let mut stop = self.context.stop.clone();
        let mut content_age_ticks = tokio::time::interval(CONTENT_AGE_INTERVAL);
        let mut endpoints_due: Option<Instant> = None;
        let mut stamps = self.context.stamps.register();
        stamps.record(&self.report);
        let (grant_sender, mut grants) = mpsc::channel(MAX_QUEUED_GRANTS);
        self.grants = grant_sender;
        self.record_report();
        loop {
            let may_have_changes = tokio::select! {
                report = reports.message() => match report {
                    Ok(Some(report)) => {
                        let has_new_services =
                            report.called_services != self.report.called_services;
                        stamps.record(&report);
                        self.report = report;
                        if has_new_services {
                            self.services = self.report.called_services.iter().cloned().collect();
                        }
                        self.record_report();
                        has_new_services
                    }
                    _ => break,
                },
                proof = stamps.next_proof() => {
                    let freshness_proof = Some(proof);
                    let update = ControlUpdate { freshness_proof, ..ControlUpdate::default() };
                    self.send(&updates, update).await?;
                    false
                }
                Some(grants) = grants.recv() => {
                    let update = ControlUpdate { quota_grants: Some(grants), ..Default::default() };
                    self.send(&updates, update).await?;
                    false
                }
                _ = directory_revision.changed(), if endpoints_due.is_none() => {
                    endpoints_due = Some(Instant::now() + COALESCING_DELAY);
                    false
                }
                () = sleep_until(endpoints_due) => true,
                _ = profile_revision.changed() => true,
                _ = configurations.changed() => true,
                _ = departure_revision.changed() => true,
                _ = is_current.changed() => {
                    self.send(&updates, ControlUpdate::default()).await?;
                    false
                }
                _ = content_age_ticks.tick() => {
                    self.send(&updates, ControlUpdate::default()).await?;
                    false
                }
                _ = stop.changed() => break,
            };
            if may_have_changes || self.is_first_update {
                endpoints_due = None;
                self.send_changes(&updates).await?;
            }
        }
        self.context.directory().remove_node(&self.report.vm);
        Ok(())
    }

    /// Records the last report of the node in the directory.
    fn record_report(&self) {
        let now_us = self.context.clock.now_us();
        let report = &self.report;
        let mut directory = self.context.directory();
        directory.record_node(now_us, &report.vm, &report.data_centre, report.profile_revision);
        if let Some(endpoint) = &report.endpoint {
            directory.record_endpoint(now_us, endpoint.clone(), Origin::Local);
        }
        drop(directory);
        self.context.notify_directory_change();
        record_departures(&self.context, report);
        if !report.quota_demands.is_empty() {
            let subscriber =
                QuotaSubscriber { incarnation: report.incarnation, grants: self.grants.clone() };
            self.context.quotas.submit(report, subscriber);
        }
    }

    /// Sends what changed since the last update, if anything. The first update is always sent.
    async fn send_changes(
        &mut self,
        updates: &mpsc::Sender<Result<ControlUpdate, Status>>,
    ) -> Result<(), StreamClosed> {
        let difference = self.take_endpoint_difference();
        let is_full = difference.is_none();
        let endpoints = difference.unwrap_or_else(|| self.take_all_endpoints());
        let profiles = self.new_profiles();
        let configuration = self.new_configuration();
        let has_endpoint_changes =
            !endpoints.endpoints.is_empty() || !endpoints.removed_vms.is_empty();
        let departed = self.new_departures();
        let has_document_changes =
            profiles.is_some() || configuration.is_some() || !departed.is_empty();
        if !is_full && !has_endpoint_changes && !has_document_changes {
            return Ok(());
        }
        let update = ControlUpdate {
            profiles,
            configuration,
            endpoints: endpoints.endpoints,
            removed_vms: endpoints.removed_vms,
            is_full,
            departed,
            ..ControlUpdate::default()
        };
        self.is_first_update = false;
        self.send(updates, update).await
    }

    /// Returns the endpoints that have changed since the last update and counts them as sent. `None`
    /// before the first update, or if the changes are no longer known.
    fn take_endpoint_difference(&mut self) -> Option<EndpointDifference> {
        if self.is_first_update {
            return None;
        }
        let directory = self.context.directory();
        let difference = directory.difference(&self.sent_endpoints, &self.services)?;
        self.sent_endpoints.revision = directory.revision();
        drop(directory);
        if self.sent_endpoints.services != self.services {
            self.sent_endpoints.services = self.services.clone();
        }
        Some(difference)
    }

    /// Returns the endpoints of all services that the node lists as called, and counts them as sent.
    fn take_all_endpoints(&mut self) -> EndpointDifference {
        let directory = self.context.directory();
        let endpoints = directory.endpoints_of(&self.services);
        self.sent_endpoints =
            SentEndpoints { revision: directory.revision(), services: self.services.clone() };
        EndpointDifference { endpoints, ..EndpointDifference::default() }
    }

    fn new_profiles(&mut self) -> Option<ProfileSet> {
        let view = self.context.replica.view();
        if view.profiles.revision() <= self.sent_profile_revision {
            return None;
        }
        let set = profile_set(&view.profiles, self.sent_profile_revision);
        self.sent_profile_revision = set.revision;
        Some(set)
    }

    fn new_configuration(&mut self) -> Option<PackedConfiguration> {
        let packed =
            self.context.packed_configurations.newer_than(self.sent_configuration_version)?;
        self.sent_configuration_version = packed.version;
        Some(packed)
    }

    /// Returns the departures of the node's VM if they have changed since they were sent.
    fn new_departures(&mut self) -> Vec<DepartedUpstream> {
        let departed = self.context.replica.view().departures.of_vm(&self.report.vm);
        if departed == self.sent_departures {
            return Vec::new();
        }
        self.sent_departures.clone_from(&departed);
        departed
    }

    /// Sends an update with the state of the replica.
    async fn send(
        &self,
        updates: &mpsc::Sender<Result<ControlUpdate, Status>>,
        update: ControlUpdate,
    ) -> Result<(), StreamClosed> {
        let update = update_with_state(&self.context, update);
        updates.send(Ok(update)).await.map_err(|_| StreamClosed)
    }
}

/// Waits until a time. Waits forever without one.
async fn sleep_until(at: Option<Instant>) {
    match at {
        Some(at) => tokio::time::sleep_until(at).await,
        None => std::future::pending().await,
    }
}

/// Returns an update with the age and version of the replica's state and the replica addresses.
fn update_with_state(context: &ServiceContext, update: ControlUpdate) -> ControlUpdate {
    let view = context.replica.view();
    let age_us = context.clock.now_us().saturating_sub(view.content_us);
    let members = view.membership.members.values();
    ControlUpdate {
        content_age_ms: age_us / 1_000,
        replica_configuration_version: view.configurations.version(),
        replica_addresses: members.map(|member| member.address.clone()).collect(),
        records_departures: true,
        ..update
    }
}

/// Returns the profiles that changed after a revision.
pub(super) fn profile_set(table: &ProfileTable, after_revision: u64) -> ProfileSet {
    let changed = table.current().filter(|(_, version)| version.revision > after_revision);
    let records = changed.map(|(name, version)| ProfileRecord {
        name: name.to_owned(),
        version: version.version,
        text: version.text.clone(),
        is_retired: version.is_retired,
    });
    ProfileSet { revision: table.revision(), profiles: records.collect() }
}

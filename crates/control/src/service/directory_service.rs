//! Streams of profiles and endpoints to the nodes.

use std::time::Duration;

use indexmap::IndexMap;
use rpc::directory_server::Directory;
use rpc::{ControlUpdate, Endpoint, NodeReport, PackedConfiguration, ProfileRecord, ProfileSet};
use slog::{info, o};
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use tonic::{Request, Response, Status, Streaming};

use super::Shared;
use crate::directory::Origin;
use crate::profiles::ProfileTable;

/// One update waits for a node, so that a node which takes them slowly skips to the newest.
const QUEUE_UPDATES: usize = 1;
/// Pause between two messages that tell a node how long ago the replica heard from a quorum.
const CONTACT_INTERVAL: Duration = Duration::from_millis(500);

pub(super) struct DirectoryService {
    shared: Shared,
}

impl DirectoryService {
    pub(super) fn new(shared: Shared) -> Self {
        Self { shared }
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
        self.shared.check_cluster(&first.cluster_id)?;
        if first.protocol_version != rpc::PROTOCOL_VERSION {
            return Err(Status::failed_precondition("unsupported protocol version"));
        }
        let (updates, receiver) = mpsc::channel(QUEUE_UPDATES);
        let log = self.shared.log.new(o!("vm" => first.vm.clone()));
        info!(log, "node-attached"; "data_centre" => first.data_centre.clone());
        let attached = AttachedStream {
            shared: self.shared.clone(),
            sent: IndexMap::new(),
            sent_profile_revision: first.profile_revision,
            sent_configuration_version: first.configuration_version,
            is_first: true,
            report: first,
        };
        tokio::spawn(async move {
            let _ = attached.run(reports, updates).await;
            info!(log, "node-detached");
        });
        Ok(Response::new(ReceiverStream::new(receiver)))
    }
}

/// The other end of the stream is gone.
struct Closed;

struct AttachedStream {
    shared: Shared,
    report: NodeReport,
    /// Endpoints as the node knows them.
    sent: IndexMap<String, Endpoint>,
    sent_profile_revision: u64,
    sent_configuration_version: u64,
    is_first: bool,
}

impl AttachedStream {
    async fn run(
        mut self,
        mut reports: Streaming<NodeReport>,
        updates: mpsc::Sender<Result<ControlUpdate, Status>>,
    ) -> Result<(), Closed> {
        let mut directory_revision = self.shared.directory_revision.subscribe();
        let mut profile_revision = self.shared.replica.profile_revision();
        let mut configuration_version = self.shared.replica.configuration_version();
        let mut stop = self.shared.stop.clone();
        let mut contact = tokio::time::interval(CONTACT_INTERVAL);
        self.record();
        loop {
            let is_due = tokio::select! {
                report = reports.message() => match report {
                    Ok(Some(report)) => {
                        let is_interest_new =
                            report.called_services != self.report.called_services;
                        self.report = report;
                        self.record();
                        is_interest_new
                    }
                    _ => break,
                },
                _ = directory_revision.changed() => true,
                _ = profile_revision.changed() => true,
                _ = configuration_version.changed() => true,
                _ = contact.tick() => {
                    self.send(&updates, ControlUpdate::default()).await?;
                    false
                }
                _ = stop.changed() => break,
            };
            if is_due || self.is_first {
                self.send_changes(&updates).await?;
            }
        }
        self.shared.directory().detach(&self.report.vm);
        Ok(())
    }

    /// Enters the node's report into the directory.
    fn record(&self) {
        let now_us = self.shared.clock.now_us();
        let report = &self.report;
        let mut directory = self.shared.directory();
        directory.record_node(now_us, &report.vm, &report.data_centre, report.profile_revision);
        if let Some(endpoint) = &report.endpoint {
            directory.record(now_us, endpoint.clone(), Origin::Local);
        }
        drop(directory);
        self.shared.announce_directory();
    }

    async fn send_changes(
        &mut self,
        updates: &mpsc::Sender<Result<ControlUpdate, Status>>,
    ) -> Result<(), Closed> {
        let wanted = self.wanted_endpoints();
        let changed = wanted.values().filter(|e| self.sent.get(&e.vm) != Some(e)).cloned();
        let changed: Vec<Endpoint> = changed.collect();
        let gone = self.sent.keys().filter(|vm| !wanted.contains_key(*vm)).cloned();
        let gone: Vec<String> = gone.collect();
        let profiles = self.new_profiles();
        let configuration = self.new_configuration();
        let has_endpoint_news = !changed.is_empty() || !gone.is_empty();
        let has_document_news = profiles.is_some() || configuration.is_some();
        if !self.is_first && !has_endpoint_news && !has_document_news {
            return Ok(());
        }
        let update = ControlUpdate {
            profiles,
            configuration,
            endpoints: changed,
            removed_vms: gone,
            is_full: self.is_first,
            ..ControlUpdate::default()
        };
        self.is_first = false;
        self.sent = wanted;
        self.send(updates, update).await
    }

    /// Returns the endpoints of the node's own service and of those that it calls.
    fn wanted_endpoints(&self) -> IndexMap<String, Endpoint> {
        let directory = self.shared.directory();
        let is_wanted = |e: &&Endpoint| self.report.called_services.contains(&e.service);
        let wanted = directory.endpoints().filter(is_wanted);
        // The sequence grows with every heartbeat and is no news to other nodes.
        wanted.map(|e| (e.vm.clone(), Endpoint { sequence: 0, ..e.clone() })).collect()
    }

    fn new_profiles(&mut self) -> Option<ProfileSet> {
        let view = self.shared.replica.view();
        if view.profiles.revision() <= self.sent_profile_revision {
            return None;
        }
        let set = profile_set(&view.profiles, self.sent_profile_revision);
        self.sent_profile_revision = set.revision;
        Some(set)
    }

    fn new_configuration(&mut self) -> Option<PackedConfiguration> {
        let view = self.shared.replica.view();
        let current = view.configurations.current()?;
        if current.version <= self.sent_configuration_version {
            return None;
        }
        let packed = self.shared.packed_configuration(current)?;
        self.sent_configuration_version = current.version;
        Some(packed)
    }

    async fn send(
        &self,
        updates: &mpsc::Sender<Result<ControlUpdate, Status>>,
        update: ControlUpdate,
    ) -> Result<(), Closed> {
        let view = self.shared.replica.view();
        let age_us = self.shared.clock.now_us().saturating_sub(view.quorum_contact_us);
        let members = view.membership.members.values();
        let update = ControlUpdate {
            contact_age_ms: age_us / 1_000,
            replica_addresses: members.map(|member| member.address.clone()).collect(),
            ..update
        };
        updates.send(Ok(update)).await.map_err(|_| Closed)
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

//! gRPC services that a replica provides to nodes, operators and other replicas.

mod claim_service;
mod configuration_service;
mod directory_service;
mod profile_service;
mod replica_service;

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use consensus::Role;
use daemon::Clock;
use rpc::SyncDirectoryRequest;
use rpc::claims_server::ClaimsServer;
use rpc::configurations_server::ConfigurationsServer;
use rpc::directory_server::DirectoryServer;
use rpc::profiles_server::ProfilesServer;
use rpc::replica_client::ReplicaClient;
use rpc::replica_server::ReplicaServer;
use slog::Logger;
use tokio::sync::watch;
use tonic::transport::server::Router;
use tonic::transport::{Channel, Server};

use crate::configuration_packing::PackedConfigurations;
use crate::configuration_store::ConfigurationStore;
use crate::departure_recorder::DepartureRecorder;
use crate::directory::Directory;
use crate::distribution::{DocumentRewriter, distribute_unchanged};
use crate::freshness_proofs::{self, StampRegistry};
use crate::peers::Channels;
use crate::quota_exchange::QuotaExchange;
use crate::replica::ReplicaHandle;
use crate::settings::Settings;

/// Delay between two copies of the other replicas' endpoints. Nodes attached to other replicas must
/// learn of a drain well within 300 ms, of which [`directory_service`] uses up to 30 ms.
const SYNC_INTERVAL: Duration = Duration::from_millis(100);
const SYNC_TIMEOUT: Duration = Duration::from_millis(500);
const MAX_MESSAGE_BYTES: usize = 64 * 1024 * 1024;

/// State that all services share.
#[derive(Clone)]
pub(crate) struct ServiceContext {
    pub(crate) log: Logger,
    pub(crate) clock: Clock,
    pub(crate) settings: Arc<Settings>,
    pub(crate) replica: ReplicaHandle,
    pub(crate) directory: Arc<Mutex<Directory>>,
    pub(crate) directory_revision: watch::Sender<u64>,
    pub(crate) stop: watch::Receiver<bool>,
    pub(crate) channels: Arc<Channels>,
    pub(crate) stamps: StampRegistry,
    pub(crate) quotas: Arc<QuotaExchange>,
    pub(crate) departures: Arc<DepartureRecorder>,
    pub(crate) rewrite_document: DocumentRewriter,
    pub(crate) packed_configurations: PackedConfigurations,
}

impl ServiceContext {
    pub(crate) fn new(
        log: Logger,
        clock: Clock,
        settings: Settings,
        replica: ReplicaHandle,
        stop: watch::Receiver<bool>,
    ) -> Self {
        let first_revision = Clock::unix_us();
        Self {
            log,
            clock,
            settings: Arc::new(settings),
            replica,
            directory: Arc::new(Mutex::new(Directory::new(first_revision))),
            directory_revision: watch::channel(first_revision).0,
            stop,
            channels: Arc::new(Channels::default()),
            rewrite_document: distribute_unchanged,
            stamps: StampRegistry::new(),
            quotas: Arc::default(),
            departures: Arc::default(),
            packed_configurations: PackedConfigurations::default(),
        }
    }

    /// Sets the form in which nodes receive the configuration.
    pub(crate) fn with_document_rewriter(self, rewrite_document: DocumentRewriter) -> Self {
        Self { rewrite_document, ..self }
    }

    pub(crate) fn directory(&self) -> MutexGuard<'_, Directory> {
        self.directory.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notifies the streams to nodes if the endpoints in the directory have changed.
    pub(crate) fn notify_directory_change(&self) {
        let revision = self.directory().revision();
        self.directory_revision.send_if_modified(|known| {
            let is_changed = *known != revision;
            *known = revision;
            is_changed
        });
    }

    /// Returns a channel to the leader, `None` if this replica is the leader or the address of the
    /// leader is unknown.
    pub(crate) fn leader_channel(&self) -> Option<Channel> {
        let view = self.replica.view();
        if view.is_leader() {
            return None;
        }
        self.channels.get(view.leader_address()?)
    }

    /// Removes the channel to a leader that did not respond, so that the next call reconnects.
    pub(crate) fn reset_leader_channel(&self) {
        if let Some(address) = self.replica.view().leader_address() {
            self.channels.reset(address);
        }
    }

    /// Returns an error if a message belongs to another cluster.
    #[allow(clippy::result_large_err)] // The signature of tonic's services.
    pub(crate) fn check_cluster(&self, cluster_id: &str) -> Result<(), tonic::Status> {
        if cluster_id == self.settings.cluster_id {
            return Ok(());
        }
        Err(tonic::Status::permission_denied("the message belongs to another cluster"))
    }
}

/// Adds all services to a server.
pub(crate) fn add_services(mut server: Server, context: &ServiceContext) -> Router {
    let replica = ReplicaServer::new(replica_service::ReplicaService::new(context.clone()))
        .max_decoding_message_size(MAX_MESSAGE_BYTES);
    let store = ConfigurationStore::new(context.clone());
    let configurations =
        ConfigurationsServer::new(configuration_service::ConfigurationService::new(store))
            .max_decoding_message_size(MAX_MESSAGE_BYTES);
    server
        .add_service(configurations)
        .add_service(ClaimsServer::new(claim_service::ClaimService::new(context.clone())))
        .add_service(DirectoryServer::new(directory_service::DirectoryService::new(
            context.clone(),
        )))
        .add_service(ProfilesServer::new(profile_service::ProfileService::new(context.clone())))
        .add_service(replica)
}

/// Returns the name of a role as status reports show it.
pub(crate) fn role_name(role: Role) -> &'static str {
    match role {
        Role::Follower => "follower",
        Role::PreCandidate => "pre-candidate",
        Role::Candidate => "candidate",
        Role::Leader => "leader",
    }
}

/// Sends freshness proofs to the attached nodes that ask for them, until the process stops.
pub(crate) async fn prove_freshness(context: ServiceContext) {
    let store = ConfigurationStore::new(context.clone());
    let read_version = || store.read_version();
    let mut stop = context.stop.clone();
    tokio::select! {
        () = freshness_proofs::prove_new_stamps(context.log, context.stamps, read_version) => {}
        _ = stop.changed() => {}
    }
}

/// Copies the local endpoints of the other replicas until the process stops, and expires leases.
pub(crate) async fn sync_directories(context: ServiceContext) {
    let mut known_revisions = indexmap::IndexMap::new();
    let mut stop = context.stop.clone();
    loop {
        let view = context.replica.view();
        let others = view.membership.members.iter().filter(|(id, _)| **id != view.id);
        for (id, member) in others {
            let known_revision = known_revisions.entry(*id).or_insert(0);
            sync_with_replica(&context, id.0, &member.address, known_revision).await;
        }
        context.directory().expire(context.clock.now_us());
        context.notify_directory_change();
        tokio::select! {
            () = tokio::time::sleep(SYNC_INTERVAL) => {}
            _ = stop.changed() => return,
        }
    }
}

async fn sync_with_replica(
    context: &ServiceContext,
    replica: u64,
    address: &str,
    known_revision: &mut u64,
) {
    let Some(channel) = context.channels.get(address) else { return };
    let mut client = ReplicaClient::new(channel).max_decoding_message_size(MAX_MESSAGE_BYTES);
    let request = SyncDirectoryRequest {
        cluster_id: context.settings.cluster_id.clone(),
        known_revision: *known_revision,
    };
    let call = tokio::time::timeout(SYNC_TIMEOUT, client.sync_directory(request)).await;
    let Ok(Ok(reply)) = call else {
        context.channels.reset(address);
        return;
    };
    let reply = reply.into_inner();
    let now_us = context.clock.now_us();
    if reply.is_unchanged {
        context.directory().renew_remote(now_us, replica);
    } else {
        context.directory().replace_remote(now_us, replica, reply.endpoints);
        *known_revision = reply.revision;
    }
}

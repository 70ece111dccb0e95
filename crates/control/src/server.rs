//! Start and graceful shutdown of a replica: files, control thread and listeners.

use std::io;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use consensus::ReplicaId;
use daemon::{AdminError, AdminReply, AdminServer, Clock};
use quick_error::quick_error;
use slog::{Logger, info, warn};
use storage::{ReplicaFiles, StorageError};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tonic::transport::Server;
use tonic::transport::server::TcpIncoming;

use crate::configuration_packing;
use crate::configuration_store::ConfigurationStore;
use crate::directory::Directory;
use crate::distribution::{DocumentRewriter, distribute_unchanged};
use crate::formation;
use crate::peers::{self, PeerStreams};
use crate::quota_exchange;
use crate::replica::{self, Input, ReplicaError, ReplicaHandle};
use crate::service::{self, ServiceContext};
use crate::settings::Settings;
use crate::view::View;

/// Maximum time for calls in progress to end after a stop request.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(2);
const PING_INTERVAL: Duration = Duration::from_secs(2);
const PING_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of concurrent HTTP/2 streams per connection.
const MAX_CONCURRENT_STREAMS: u32 = 10_000;

quick_error! {
    /// Failure that ends the program.
    #[derive(Debug)]
    pub enum ServerError {
        /// The listener could not be bound or a signal handler could not be installed.
        Io(source: io::Error) {
            display("{}", source)
            from()
        }
        /// The admin listener could not be started.
        Admin(source: AdminError) {
            display("{}", source)
            from()
        }
        /// The files of the replica could not be read or written.
        Storage(source: StorageError) {
            display("{}", source)
            from()
        }
        /// The control thread failed.
        Replica(source: ReplicaError) {
            display("{}", source)
            from()
        }
        /// The control thread panicked; holds the data folder of the replica.
        Panicked(folder: PathBuf) {
            display("the control thread of the replica in {} panicked", folder.display())
        }
        /// The gRPC server failed.
        Transport(source: tonic::transport::Error) {
            display("{}", source)
            from()
        }
    }
}

/// Runs a replica until the process is requested to stop.
///
/// # Errors
///
/// Returns an error if the files are unusable, a listener cannot be bound or the replica fails.
pub async fn run(log: Logger, settings: Settings) -> Result<(), ServerError> {
    run_with(log, settings, distribute_unchanged, |_| std::future::ready(())).await
}

/// Runs a replica as [`run`] does, and with it the future that `serve_operators` returns, such as a
/// listener through which operators change the configuration. Nodes receive documents as
/// `rewrite_document` returns them.
///
/// # Errors
///
/// Returns an error if the files are unusable, a listener cannot be bound or the replica fails.
pub async fn run_with<F>(
    log: Logger,
    settings: Settings,
    rewrite_document: DocumentRewriter,
    serve_operators: impl FnOnce(ConfigurationStore) -> F,
) -> Result<(), ServerError>
where
    F: Future<Output = ()> + Send + 'static,
{
    let clock = Clock::new();
    let id = load_or_create_id(&settings)?;
    let (files, recovered) = ReplicaFiles::open(&settings.data_dir)?;
    if recovered.truncated_bytes > 0 {
        warn!(log, "torn-end-cut"; "bytes" => recovered.truncated_bytes);
    }
    let listener = TcpListener::bind(settings.listen).await?;
    let identity = peers::SenderIdentity {
        cluster_id: settings.cluster_id.clone(),
        id,
        address: settings.advertise.to_string(),
    };
    let outbox = PeerStreams::new(tokio::runtime::Handle::current(), log.clone(), identity);
    let election_timeout_us = settings.election_timeout_ms * 1_000;
    let (replica, thread) = replica::start(
        log.clone(),
        clock,
        id,
        files,
        recovered.persistent_state,
        outbox,
        election_timeout_us,
    )?;
    let (stop_sender, stop) = watch::channel(false);
    let context = ServiceContext::new(log.clone(), clock, settings.clone(), replica.clone(), stop)
        .with_document_rewriter(rewrite_document);
    let admin = start_admin(&settings, &context)?;
    info!(log, "control-started"; "replica" => %id, "listen" => %listener.local_addr()?,
        "admin" => %admin.address(), "data_centre" => %settings.data_centre);
    tokio::spawn(formation::run(log.clone(), clock, settings.clone(), replica.clone()));
    tokio::spawn(service::sync_directories(context.clone()));
    tokio::spawn(service::prove_freshness(context.clone()));
    tokio::spawn(configuration_packing::pack_configurations(context.clone()));
    tokio::spawn(quota_exchange::run(context.clone()));
    tokio::spawn(serve_operators(ConfigurationStore::new(context.clone())));
    let serve = serve(listener, context, stop_sender);
    let result = run_until_either_ends(serve, thread, &replica, &settings).await;
    info!(log, "control-stopped"; "replica" => %id);
    drop(admin);
    result
}

/// Returns the id in the data folder. A new data folder gets a random id.
fn load_or_create_id(settings: &Settings) -> Result<ReplicaId, ServerError> {
    if let Some(id) = ReplicaFiles::read_identity(&settings.data_dir)? {
        return Ok(id);
    }
    let id = ReplicaId(rand::random());
    ReplicaFiles::write_identity(&settings.data_dir, id)?;
    Ok(id)
}

fn start_admin(settings: &Settings, context: &ServiceContext) -> Result<AdminServer, ServerError> {
    let replica = context.replica.clone();
    let clock = context.clock;
    let directory = Arc::clone(&context.directory);
    let quotas = Arc::clone(&context.quotas);
    let handler = move |method: &str, path: &str, _body: &str| match (method, path) {
        ("GET", "/status") => {
            let json = status_json(&replica.view(), &directory, clock.now_us());
            AdminReply::json(200, json.to_string())
        }
        ("GET", "/quotas") => AdminReply::json(200, quotas.status_json().to_string()),
        _ => AdminReply::not_found(),
    };
    Ok(AdminServer::start(settings.admin_listen, handler)?)
}

fn status_json(view: &View, directory: &Mutex<Directory>, now_us: u64) -> serde_json::Value {
    let endpoints = directory.lock().map_or(0, |directory| directory.endpoints().count());
    serde_json::json!({
        "replica": view.id.to_string(),
        "role": service::role_name(view.role),
        "term": view.term,
        "leader": view.leader.map(|id| id.to_string()),
        "members": view.membership.members.len(),
        "voter_ids": member_ids(view, true),
        "learner_ids": member_ids(view, false),
        "commit_index": view.commit_index,
        "last_index": view.last_index,
        "snapshot_index": view.snapshot_index,
        "quorum_contact_age_ms": now_us.saturating_sub(view.quorum_contact_us) / 1_000,
        "content_age_ms": now_us.saturating_sub(view.content_us) / 1_000,
        "profile_revision": view.profiles.revision(),
        "configuration_version": view.configurations.version(),
        "claims": view.claim_count,
        "endpoints": endpoints,
    })
}

fn member_ids(view: &View, is_voter: bool) -> Vec<String> {
    let members = view.membership.members.iter();
    members
        .filter(|(_, member)| member.is_voter == is_voter)
        .map(|(id, _)| id.to_string())
        .collect()
}

/// Serves RPCs until a stop request, then shuts the server down.
async fn serve(
    listener: TcpListener,
    context: ServiceContext,
    stop_sender: watch::Sender<bool>,
) -> Result<(), ServerError> {
    let server = Server::builder()
        .http2_keepalive_interval(Some(PING_INTERVAL))
        .http2_keepalive_timeout(Some(PING_TIMEOUT))
        .initial_stream_window_size(peers::RECEIVE_WINDOW_BYTES)
        .initial_connection_window_size(peers::RECEIVE_WINDOW_BYTES)
        .max_concurrent_streams(MAX_CONCURRENT_STREAMS);
    // `Server::tcp_nodelay` has no effect on a listener that the caller has bound.
    let incoming = TcpIncoming::from(listener).with_nodelay(Some(true));
    let (shutdown_sender, shutdown) = tokio::sync::oneshot::channel::<()>();
    let router = service::add_services(server, &context);
    let serving = router.serve_with_incoming_shutdown(incoming, async {
        let _ = shutdown.await;
    });
    let serving = tokio::spawn(serving);
    daemon::stop_requested().await?;
    info!(context.log, "stop-requested");
    formation::leave(&context).await;
    // Ends the long-lived streams first: the graceful shutdown waits for all calls in progress.
    let _ = stop_sender.send(true);
    let _ = shutdown_sender.send(());
    let _ = tokio::time::timeout(SHUTDOWN_TIMEOUT, serving).await;
    Ok(())
}

/// Runs the server until it or the control thread ends. Stops the thread after the server.
async fn run_until_either_ends(
    serve: impl Future<Output = Result<(), ServerError>>,
    thread: std::thread::JoinHandle<Result<(), ReplicaError>>,
    replica: &ReplicaHandle,
    settings: &Settings,
) -> Result<(), ServerError> {
    let joined = tokio::task::spawn_blocking(move || thread.join());
    tokio::pin!(joined);
    let panicked = || ServerError::Panicked(settings.data_dir.clone());
    tokio::select! {
        result = serve => {
            replica.input(Input::Stop);
            result?;
            let ended = joined.await.map_err(|_| panicked())?;
            Ok(ended.map_err(|_| panicked())??)
        }
        ended = &mut joined => {
            let ended = ended.map_err(|_| panicked())?;
            Ok(ended.map_err(|_| panicked())??)
        }
    }
}

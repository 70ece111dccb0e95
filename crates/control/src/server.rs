//! The program: files, control thread, listeners and an orderly end.

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

use crate::configuration_store::ConfigurationStore;
use crate::directory::Directory;
use crate::formation;
use crate::peers::{self, PeerStreams};
use crate::replica::{self, Input, ReplicaError, ReplicaHandle};
use crate::service::{self, Shared};
use crate::settings::Settings;
use crate::view::View;

const STOP_GRACE: Duration = Duration::from_secs(2);
const PING_INTERVAL: Duration = Duration::from_secs(2);
const PING_TIMEOUT: Duration = Duration::from_secs(1);
const MAX_STREAMS: u32 = 10_000;

quick_error! {
    /// Failure that ends the program.
    #[derive(Debug)]
    pub enum ServerError {
        /// The listener cannot be opened or a signal handler not be installed.
        Io(source: io::Error) {
            display("{}", source)
            from()
        }
        /// The admin listener cannot be opened.
        Admin(source: AdminError) {
            display("{}", source)
            from()
        }
        /// The replica's files are unusable.
        Storage(source: StorageError) {
            display("{}", source)
            from()
        }
        /// The control thread ended with a failure.
        Replica(source: ReplicaError) {
            display("{}", source)
            from()
        }
        /// The control thread panicked.
        Panicked(folder: PathBuf) {
            display("the control thread of {} panicked", folder.display())
        }
        /// The listener failed.
        Transport(source: tonic::transport::Error) {
            display("{}", source)
            from()
        }
    }
}

/// Runs a replica until it is told to stop.
///
/// # Errors
///
/// Returns an error if the files are unusable, a listener cannot be opened or the replica fails.
pub async fn run(log: Logger, settings: Settings) -> Result<(), ServerError> {
    run_with(log, settings, |_| std::future::ready(())).await
}

/// Runs a replica and, beside it, a listener that offers its configuration to operators.
///
/// # Errors
///
/// Returns an error if the files are unusable, a listener cannot be opened or the replica fails.
pub async fn run_with<F>(
    log: Logger,
    settings: Settings,
    operators: impl FnOnce(ConfigurationStore) -> F,
) -> Result<(), ServerError>
where
    F: Future<Output = ()> + Send + 'static,
{
    let clock = Clock::new();
    let id = own_identity(&settings)?;
    let (files, recovered) = ReplicaFiles::open(&settings.data_dir)?;
    if recovered.cut_bytes > 0 {
        warn!(log, "torn-end-cut"; "bytes" => recovered.cut_bytes);
    }
    let listener = TcpListener::bind(settings.listen).await?;
    let sender = peers::Sender {
        cluster_id: settings.cluster_id.clone(),
        id,
        address: settings.advertise.to_string(),
    };
    let outbox = PeerStreams::new(tokio::runtime::Handle::current(), log.clone(), sender);
    let election_timeout_us = settings.election_timeout_ms * 1_000;
    let (replica, thread) = replica::start(
        log.clone(),
        clock,
        id,
        files,
        recovered.stored,
        outbox,
        election_timeout_us,
    )?;
    let (stop_sender, stop) = watch::channel(false);
    let shared = Shared::new(log.clone(), clock, settings.clone(), replica.clone(), stop);
    let admin = start_admin(&settings, &shared)?;
    info!(log, "control-started"; "replica" => %id, "listen" => %listener.local_addr()?,
        "admin" => %admin.address(), "data_centre" => %settings.data_centre);
    tokio::spawn(formation::run(log.clone(), clock, settings.clone(), replica.clone()));
    tokio::spawn(service::sync_directories(shared.clone()));
    tokio::spawn(operators(ConfigurationStore::new(shared.clone())));
    let serve = serve(listener, shared, stop_sender);
    let result = watch_thread(serve, thread, &replica, &settings).await;
    info!(log, "control-stopped"; "replica" => %id);
    drop(admin);
    result
}

fn own_identity(settings: &Settings) -> Result<ReplicaId, ServerError> {
    if let Some(id) = ReplicaFiles::read_identity(&settings.data_dir)? {
        return Ok(id);
    }
    let id = ReplicaId(rand::random());
    ReplicaFiles::write_identity(&settings.data_dir, id)?;
    Ok(id)
}

fn start_admin(settings: &Settings, shared: &Shared) -> Result<AdminServer, ServerError> {
    let replica = shared.replica.clone();
    let clock = shared.clock;
    let directory = Arc::clone(&shared.directory);
    let handler = move |method: &str, path: &str, _body: &str| match (method, path) {
        ("GET", "/status") => {
            let json = status_json(&replica.view(), &directory, clock.now_us());
            AdminReply::json(200, json.to_string())
        }
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
        "profile_revision": view.profiles.revision(),
        "configuration_version": view.configurations.version(),
        "claims": view.claims,
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

async fn serve(
    listener: TcpListener,
    shared: Shared,
    stop_sender: watch::Sender<bool>,
) -> Result<(), ServerError> {
    let server = Server::builder()
        .http2_keepalive_interval(Some(PING_INTERVAL))
        .http2_keepalive_timeout(Some(PING_TIMEOUT))
        .max_concurrent_streams(MAX_STREAMS);
    // The server's own option does not reach sockets of a listener that is handed over.
    let incoming = TcpIncoming::from(listener).with_nodelay(Some(true));
    let (finish, finished) = tokio::sync::oneshot::channel::<()>();
    let router = service::add_services(server, &shared);
    let serving = router.serve_with_incoming_shutdown(incoming, async {
        let _ = finished.await;
    });
    let serving = tokio::spawn(serving);
    daemon::stop_requested().await?;
    info!(shared.log, "stop-requested");
    // Long streams end first, so that the listener can close after the last short call.
    let _ = stop_sender.send(true);
    let _ = finish.send(());
    let _ = tokio::time::timeout(STOP_GRACE, serving).await;
    Ok(())
}

async fn watch_thread(
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

//! Starts the listeners and the control thread, and shuts them down in order.

use std::io;
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use control_link::ControlLink;
use daemon::{AdminError, AdminReply, AdminServer, Clock};
use quick_error::quick_error;
use rpc::peer_server::PeerServer;
use slog::{Logger, info};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tonic::transport::Server;
use tonic::transport::server::TcpIncoming;

use crate::burn_counts::BurnCounts;
use crate::caller_listener::CallerHandler;
use crate::claim_client::ClaimClient;
use crate::claim_manager::ClaimManager;
use crate::control_link::Attachment;
use crate::death_reporter::DeathReporter;
use crate::dispatch::Dispatcher;
use crate::egress_listener::EgressHandler;
use crate::endpoints::EndpointTable;
use crate::http_listener;
use crate::ingress::{Ingress, IngressDependencies};
use crate::peer_client::PeerClients;
use crate::peer_service::PeerService;
use crate::profile_store::ProfileStore;
use crate::settings::Settings;
use crate::stats::{self, Stats, StatsError};

/// Time between the announcement that the node is leaving and the close of its listeners, in which
/// control replicas, peers and callers stop sending new calls.
const DRAIN_PERIOD: Duration = Duration::from_secs(2);
const PING_INTERVAL: Duration = Duration::from_secs(1);
const PING_TIMEOUT: Duration = Duration::from_secs(1);
/// HTTP/2 flow-control window of one stream; the window of a connection is 4 times as large.
const STREAM_WINDOW_BYTES: u32 = 4 * 1024 * 1024;

quick_error! {
    /// Failure that ends the program.
    #[derive(Debug)]
    pub enum ServerError {
        /// A call to the operating system failed, such as opening a listener or starting a thread.
        Io(source: io::Error) {
            display("{}", source)
            from()
        }
        /// The admin listener cannot be opened.
        Admin(source: AdminError) {
            display("{}", source)
            from()
        }
        /// The sender of metrics cannot be started.
        Stats(source: StatsError) {
            display("{}", source)
            from()
        }
        /// The peer listener failed or the address of a control replica is invalid.
        Transport(source: tonic::transport::Error) {
            display("{}", source)
            from()
        }
        /// A listener task panicked.
        Task(source: tokio::task::JoinError) {
            display("{}", source)
            from()
        }
    }
}

/// Runs a node until the process receives a signal to stop.
///
/// # Errors
///
/// Returns an error if a listener cannot be opened or fails.
pub async fn run(log: Logger, settings: Settings) -> Result<(), ServerError> {
    let callers = TcpListener::bind(settings.caller_listen).await?;
    let egress = TcpListener::bind(settings.egress_listen).await?;
    let peers = TcpListener::bind(settings.peer_listen).await?;
    let dispatcher = new_dispatcher(&log, &settings)?;
    if let Some(statsd) = settings.statsd {
        stats::start_sender(Arc::clone(&dispatcher.stats), statsd)?;
    }
    let (report_trigger, report_trigger_receiver) = watch::channel(0);
    let (stop_control, control_stop) = watch::channel(false);
    let (stop_traffic, traffic_stop) = watch::channel(false);
    let admin = start_admin(&settings, &dispatcher)?;
    info!(log, "node-started"; "vm" => %settings.vm.name,
        "data_centre" => %settings.vm.data_centre, "callers" => %callers.local_addr()?,
        "egress" => %egress.local_addr()?, "peers" => %peers.local_addr()?,
        "admin" => %admin.address());
    let attachment = Attachment::new(settings.clone(), Arc::clone(&dispatcher));
    let control = start_control(log.clone(), attachment, report_trigger_receiver, control_stop)?;

    let caller_handler = Arc::new(CallerHandler::new(log.clone(), Arc::clone(&dispatcher)));
    let egress_handler =
        EgressHandler::new(log.clone(), Arc::clone(&dispatcher), report_trigger.clone());
    let caller_task = tokio::spawn(http_listener::serve(
        log.clone(),
        callers,
        caller_handler,
        traffic_stop.clone(),
    ));
    let egress_task = tokio::spawn(http_listener::serve(
        log.clone(),
        egress,
        Arc::new(egress_handler),
        traffic_stop.clone(),
    ));
    let peer_task = tokio::spawn(serve_peers(peers, Arc::clone(&dispatcher), traffic_stop));

    daemon::stop_requested().await?;
    info!(log, "stop-requested");
    dispatcher.ingress.leave();
    report_trigger.send_modify(|count| *count += 1);
    tokio::time::sleep(DRAIN_PERIOD).await;
    let _ = stop_traffic.send(true);
    caller_task.await?;
    peer_task.await??;
    egress_task.await?;
    dispatcher.ingress.wait_for_settlements().await;
    let _ = stop_control.send(true);
    let _ = tokio::task::spawn_blocking(move || control.join()).await;
    info!(log, "node-stopped");
    drop(admin);
    Ok(())
}

fn new_dispatcher(log: &Logger, settings: &Settings) -> Result<Arc<Dispatcher>, ServerError> {
    let clock = Clock::new();
    let stats = Arc::new(Stats::new());
    let profiles = Arc::new(ProfileStore::new(log.clone()));
    let claims =
        ClaimManager::new(ClaimClient::new(&settings.control_addresses)?, Arc::clone(&stats));
    let endpoints = Arc::new(EndpointTable::new(settings.vm.data_centre.clone()));
    let ingress = Arc::new(Ingress::new(IngressDependencies {
        clock,
        vm: settings.vm.clone(),
        death_reporter: DeathReporter::new(Arc::clone(&endpoints)),
        profiles: Arc::clone(&profiles),
        stats: Arc::clone(&stats),
        claims,
    }));
    let vm = settings.vm.clone();
    let peers = PeerClients::default();
    let burn_counts = BurnCounts::new();
    Ok(Arc::new(Dispatcher { clock, vm, ingress, endpoints, profiles, peers, stats, burn_counts }))
}

fn start_control(
    log: Logger,
    attachment: Attachment,
    report_trigger_receiver: watch::Receiver<u64>,
    stop: watch::Receiver<bool>,
) -> io::Result<JoinHandle<()>> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let thread = thread::Builder::new().name("control".to_owned());
    thread.spawn(move || {
        runtime.block_on(async {
            attachment.fetch_profiles_from_peers().await;
            ControlLink::new(log, attachment, report_trigger_receiver, stop).run().await;
        });
    })
}

fn start_admin(
    settings: &Settings,
    dispatcher: &Arc<Dispatcher>,
) -> Result<AdminServer, ServerError> {
    let dispatcher = Arc::clone(dispatcher);
    let handler = move |method: &str, path: &str, _body: &str| match (method, path) {
        ("GET", "/status") => AdminReply::json(200, status_json(&dispatcher).to_string()),
        ("GET", "/burn") => AdminReply::json(200, dispatcher.burn_counts.to_json().to_string()),
        _ => AdminReply::not_found(),
    };
    Ok(AdminServer::start(settings.admin_listen, handler)?)
}

fn status_json(dispatcher: &Dispatcher) -> serde_json::Value {
    let load = dispatcher.ingress.load();
    let upstream = dispatcher.ingress.upstream();
    serde_json::json!({
        "vm": dispatcher.vm.name.as_str(),
        "data_centre": dispatcher.vm.data_centre.as_str(),
        "service": upstream.as_ref().map(|u| u.announcement.service.to_string()),
        "profile": upstream.as_ref().map(|u| u.announcement.profile.to_string()),
        "profile_revision": dispatcher.profiles.revision(),
        "endpoints": dispatcher.endpoints.endpoint_count(),
        "is_leaving": load.is_leaving,
        "in_flight": load.admission.in_flight,
        "limit": load.admission.limit,
        "queued": load.admission.queued,
        "shed_level": load.shed_level,
        "suspects": dispatcher.ingress.suspects().len(),
        "counters": dispatcher.stats.to_json(),
    })
}

async fn serve_peers(
    listener: TcpListener,
    dispatcher: Arc<Dispatcher>,
    mut stop: watch::Receiver<bool>,
) -> Result<(), tonic::transport::Error> {
    let service = PeerService::new(
        dispatcher.clock,
        Arc::clone(&dispatcher.ingress),
        Arc::clone(&dispatcher.profiles),
    );
    let service = PeerServer::new(service)
        .max_decoding_message_size(usize::MAX)
        .max_encoding_message_size(usize::MAX);
    // `Server::tcp_nodelay` has no effect on connections of an existing listener.
    let incoming = TcpIncoming::from(listener).with_nodelay(Some(true));
    Server::builder()
        .http2_keepalive_interval(Some(PING_INTERVAL))
        .http2_keepalive_timeout(Some(PING_TIMEOUT))
        .initial_stream_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(STREAM_WINDOW_BYTES * 4)
        .add_service(service)
        .serve_with_incoming_shutdown(incoming, async move {
            let _ = stop.wait_for(|is_stopping| *is_stopping).await;
        })
        .await
}

//! The program: listeners, the control thread, settings and an orderly end.

use std::io;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use control_link::ControlLink;
use daemon::Clock;
use quick_error::quick_error;
use slog::{Logger, info, warn};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::attachment::{Attachment, AttachmentParts, SharedControls};
use crate::caller::CallerHandler;
use crate::configuration_holder::ConfigurationHolder;
use crate::dialect::Dialect;
use crate::dispatch::Dispatcher;
use crate::endpoints::Endpoints;
use crate::entry_throttles::EntryThrottles;
use crate::ingress::Ingress;
use crate::links::Links;
use crate::listener;
use crate::metrics::Metrics;
use crate::peer::PeerHandler;
use crate::request_log::RequestLog;
use crate::settings::{MeshSettings, SettingsSource};
use crate::upstream_listener::{MetricsHandler, ReadyHandler, UpstreamHandler};

/// Time in which callers learn that the node stops, before it closes its listeners. Two readiness probes a
/// second apart fit.
const LEAVE_NOTICE: Duration = Duration::from_millis(2_500);
/// Time in which other nodes learn that the node stops: a report of it and the answers at hand. Until then
/// they use its upstream, which serves on while its node is replaced.
const WITHDRAW_NOTICE: Duration = Duration::from_millis(600);
/// Part of the stop timeout kept for the end itself.
const STOP_RESERVE: Duration = Duration::from_millis(400);
/// Interval at which the settings are looked at, since they may change without a signal.
const SETTINGS_INTERVAL: Duration = Duration::from_secs(1);

quick_error! {
    /// Failure to set up metrics.
    #[derive(Debug)]
    pub enum MetricsError {
        /// A metric cannot be registered.
        Register(source: prometheus::Error) {
            display("{}", source)
            from()
        }
    }
}

quick_error! {
    /// Failure that ends the program.
    #[derive(Debug)]
    pub enum ServerError {
        /// A listener cannot be opened, or a thread or signal handler not be set up.
        Io(source: io::Error) {
            display("{}", source)
            from()
        }
        /// The metrics cannot be set up.
        Metrics(source: MetricsError) {
            display("{}", source)
            from()
        }
    }
}

/// Parts that live as long as the program.
struct Node<D> {
    log: Logger,
    dialect: Arc<D>,
    settings: MeshSettings,
    ingress: Arc<Ingress<D>>,
    endpoints: Arc<Endpoints>,
    configuration: Arc<ConfigurationHolder>,
    dispatcher: Arc<Dispatcher<D>>,
    metrics: Arc<Metrics>,
}

/// Runs a node until it is told to stop.
///
/// # Errors
///
/// Returns an error if a listener cannot be opened or the control thread not be started.
pub async fn run(
    log: Logger,
    settings: MeshSettings,
    dialect: impl Dialect,
    source: impl SettingsSource,
) -> Result<(), ServerError> {
    let node = Node::new(&log, settings, dialect)?;
    let (stop_traffic, traffic_stop) = watch::channel(false);
    let listeners = node.listen(&traffic_stop).await?;
    info!(log, "node-started"; "vm" => %node.settings.vm.name,
        "data_centre" => %node.settings.vm.data_centre, "service" => %node.settings.service);
    let controls: SharedControls = Arc::new(Mutex::new(node.settings.controls.clone()));
    let (stop_control, control_stop) = watch::channel(false);
    let control = node.start_control(&controls, control_stop)?;
    let gate = node.ingress.gate.clone();
    let timekeeper = tokio::spawn(async move { gate.keep_time().await });
    let own = tokio::spawn(track_own_upstream(node.own_endpoint()));
    let reloads = tokio::spawn(reload_settings(log.clone(), source, controls));

    daemon::stop_requested().await?;
    info!(log, "stop-requested");
    node.ingress.stop();
    let timeout = Duration::from_millis(node.settings.stop_timeout_ms);
    let notice = LEAVE_NOTICE.min(timeout / 2);
    tokio::time::sleep(notice.saturating_sub(WITHDRAW_NOTICE)).await;
    node.ingress.withdraw();
    tokio::time::sleep(WITHDRAW_NOTICE).await;
    stop_listeners(&log, listeners, stop_traffic, timeout.saturating_sub(notice)).await;
    let _ = stop_control.send(true);
    let _ = tokio::task::spawn_blocking(move || control.join()).await;
    for task in [timekeeper, own, reloads] {
        task.abort();
    }
    info!(log, "node-stopped");
    Ok(())
}

impl<D: Dialect> Node<D> {
    fn new(log: &Logger, settings: MeshSettings, dialect: D) -> Result<Self, ServerError> {
        let clock = Clock::new();
        let dialect = Arc::new(dialect);
        let metrics = Arc::new(Metrics::new()?);
        let links = Links::new(clock);
        let ingress = Arc::new(Ingress::new(
            log.clone(),
            clock,
            Arc::clone(&dialect),
            links.clone(),
            Arc::clone(&metrics),
        ));
        let endpoints = Endpoints::new(log.clone(), settings.vm.data_centre.clone());
        let endpoints = Arc::new(endpoints);
        let dispatcher = Arc::new(Dispatcher {
            clock,
            vm: settings.vm.clone(),
            ingress: Arc::clone(&ingress),
            endpoints: Arc::clone(&endpoints),
            links,
            repeats: settings.repeats,
            metrics: Arc::clone(&metrics),
            request_log: RequestLog::new(log.clone(), clock),
        });
        let configuration = Arc::new(ConfigurationHolder::new(log.clone()));
        let log = log.clone();
        Ok(Self { log, dialect, settings, ingress, endpoints, configuration, dispatcher, metrics })
    }

    /// Opens every listener and serves it until told to stop.
    async fn listen(&self, stop: &watch::Receiver<bool>) -> Result<JoinSet<()>, ServerError> {
        let settings = &self.settings;
        let callers = TcpListener::bind(settings.caller_listen).await?;
        let peers = TcpListener::bind(settings.peer_listen).await?;
        let upstream = TcpListener::bind(settings.upstream_listen).await?;
        let ready = TcpListener::bind(settings.ready_listen).await?;
        // Requests are served also where the metrics cannot be.
        let metrics = match TcpListener::bind(settings.metrics_listen).await {
            Ok(listener) => Some(listener),
            Err(error) => {
                warn!(self.log, "metrics-unavailable"; "address" => %settings.metrics_listen,
                    "error" => %error);
                None
            }
        };
        let caller_handler = CallerHandler {
            dialect: Arc::clone(&self.dialect),
            dispatcher: Arc::clone(&self.dispatcher),
            configuration: Arc::clone(&self.configuration),
            throttles: EntryThrottles::new(self.dispatcher.clock),
            service: settings.service.clone(),
        };
        let peer_handler = PeerHandler::new(self.dispatcher.clock, Arc::clone(&self.ingress));
        let upstream_handler = UpstreamHandler {
            log: self.log.clone(),
            dialect: Arc::clone(&self.dialect),
            ingress: Arc::clone(&self.ingress),
        };
        let ready_handler = ReadyHandler {
            dialect: Arc::clone(&self.dialect),
            ingress: Arc::clone(&self.ingress),
            configuration: Arc::clone(&self.configuration),
        };
        let metrics_handler = MetricsHandler { metrics: Arc::clone(&self.metrics) };
        let (log, stop) = (|| self.log.clone(), || stop.clone());
        let mut tasks = JoinSet::new();
        tasks.spawn(listener::serve(log(), callers, Arc::new(caller_handler), stop()));
        tasks.spawn(listener::serve(log(), peers, Arc::new(peer_handler), stop()));
        tasks.spawn(listener::serve(log(), upstream, Arc::new(upstream_handler), stop()));
        tasks.spawn(listener::serve(log(), ready, Arc::new(ready_handler), stop()));
        if let Some(metrics) = metrics {
            tasks.spawn(listener::serve(log(), metrics, Arc::new(metrics_handler), stop()));
        }
        Ok(tasks)
    }

    fn start_control(
        &self,
        controls: &SharedControls,
        stop: watch::Receiver<bool>,
    ) -> io::Result<JoinHandle<()>> {
        let attachment = Attachment::new(AttachmentParts {
            log: self.log.clone(),
            clock: self.dispatcher.clock,
            settings: self.settings.clone(),
            dialect: Arc::clone(&self.dialect),
            ingress: Arc::clone(&self.ingress),
            endpoints: Arc::clone(&self.endpoints),
            configuration: Arc::clone(&self.configuration),
            controls: Arc::clone(controls),
        });
        let announced = self.ingress.upstreams.changes();
        let link = ControlLink::new(self.log.clone(), attachment, announced, stop);
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let thread = thread::Builder::new().name("control".to_owned());
        thread.spawn(move || runtime.block_on(link.run()))
    }

    fn own_endpoint(&self) -> OwnEndpoint<D> {
        OwnEndpoint {
            settings: self.settings.clone(),
            ingress: Arc::clone(&self.ingress),
            endpoints: Arc::clone(&self.endpoints),
        }
    }
}

struct OwnEndpoint<D> {
    settings: MeshSettings,
    ingress: Arc<Ingress<D>>,
    endpoints: Arc<Endpoints>,
}

/// Keeps the upstream beside the node among its own endpoints.
async fn track_own_upstream<D: Dialect>(own: OwnEndpoint<D>) {
    let mut changes = own.ingress.upstreams.changes();
    loop {
        let service = own.ingress.upstreams.service();
        let is_closed = own.ingress.upstreams.serving().is_none();
        let address = own.settings.peer_listen;
        own.endpoints.set_own(&own.settings.vm, service.as_ref(), address, is_closed);
        if changes.changed().await.is_err() {
            return;
        }
    }
}

/// Looks for new settings at a signal and at an interval. Never returns.
async fn reload_settings(log: Logger, mut source: impl SettingsSource, controls: SharedControls) {
    let mut signals = daemon::ReloadSignals::new();
    loop {
        tokio::select! {
            () = signals.next() => info!(log, "reload-requested"),
            () = tokio::time::sleep(SETTINGS_INTERVAL) => {}
        }
        if let Some(settings) = source.reload() {
            info!(log, "settings-reloaded"; "controls" => ?settings.controls);
            *controls.lock().unwrap_or_else(PoisonError::into_inner) = settings.controls;
        }
    }
}

async fn stop_listeners(
    log: &Logger,
    mut listeners: JoinSet<()>,
    stop: watch::Sender<bool>,
    timeout: Duration,
) {
    let _ = stop.send(true);
    let left = timeout.saturating_sub(STOP_RESERVE);
    let ended =
        tokio::time::timeout(left, async { while listeners.join_next().await.is_some() {} });
    if ended.await.is_err() {
        info!(log, "stop-timed-out"; "open_listeners" => listeners.len());
    }
}

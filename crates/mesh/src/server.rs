//! Main program of a node: listeners, control thread, settings reload and graceful shutdown.

use std::io;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use control_link::ControlLink;
use daemon::{BootClock, Clock};
use quick_error::quick_error;
use slog::{Logger, info, warn};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::account_quotas::AccountQuotas;
use crate::attachment::{Attachment, AttachmentParts, SharedControlAddresses};
use crate::balancing_monitor::BalancingMonitor;
use crate::caller_listener::CallerHandler;
use crate::configuration_holder::ConfigurationHolder;
use crate::configuration_lease::ConfigurationLease;
use crate::connection_pool::ConnectionPool;
use crate::crash_monitor::{CrashMonitor, CrashMonitorDependencies};
use crate::dispatch::Dispatcher;
use crate::endpoints::EndpointTable;
use crate::expected_upstream::ExpectedUpstream;
use crate::http_listener;
use crate::ingress::{Ingress, IngressDependencies};
use crate::metrics::Metrics;
use crate::peer::PeerHandler;
use crate::protocol_adapter::ProtocolAdapter;
use crate::quarantine_peers::{QuarantinePeers, QuarantinePeersDependencies};
use crate::refusal_log::RefusalLog;
use crate::request_log::RequestLog;
use crate::request_throttles::RequestThrottles;
use crate::settings::{FailureEvidence, MeshSettings, SettingsSource};
use crate::shared_failures::{FailureExchanges, SharedFailures};
use crate::suspects::Suspects;
use crate::upstream::UpstreamState;
use crate::upstream_listener::{MetricsHandler, ReadyHandler, UpstreamHandler};

/// Time between a stop request and the close of the listeners, in which callers detect the
/// shutdown. Covers two readiness probes at an interval of one second; reduced to half of the stop
/// timeout if that is shorter.
const CALLER_DRAIN_PERIOD: Duration = Duration::from_millis(2_500);
/// Final part of [`CALLER_DRAIN_PERIOD`], in which other nodes detect the shutdown through updates
/// from control and through the load in this node's responses. Before that they continue to use the
/// upstream, which keeps serving while its node is replaced.
const PEER_DRAIN_PERIOD: Duration = Duration::from_millis(600);
/// Part of the stop timeout that is reserved for the steps after the listeners have closed.
const SHUTDOWN_RESERVE: Duration = Duration::from_millis(400);
/// Time before the end of the listeners in which the answers of upstreams to requests that have
/// reached their deadline are passed on.
const ANSWER_RESERVE: Duration = Duration::from_millis(200);
/// Interval at which the settings are polled, since they may change without a reload signal.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Minimum time between two reads of the settings. Reports that do not match the settings ask for
/// one.
const MIN_RELOAD_INTERVAL: Duration = Duration::from_millis(100);

quick_error! {
    /// Failure to set up the metrics.
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
        /// A listener, thread or signal handler cannot be set up.
        Io(source: io::Error) {
            display("{}", source)
            from()
        }
        /// The metrics cannot be registered.
        Metrics(source: MetricsError) {
            display("{}", source)
            from()
        }
    }
}

/// Components that live as long as the program.
struct Node<D> {
    log: Logger,
    adapter: Arc<D>,
    settings: MeshSettings,
    expected_upstream: Arc<ExpectedUpstream>,
    ingress: Arc<Ingress<D>>,
    endpoints: Arc<EndpointTable>,
    suspects: Arc<Suspects>,
    quarantine_peers: Arc<QuarantinePeers>,
    configuration: Arc<ConfigurationHolder>,
    lease: Arc<ConfigurationLease>,
    dispatcher: Arc<Dispatcher<D>>,
    metrics: Arc<Metrics>,
    quotas: Arc<AccountQuotas>,
}

/// Runs a node until a stop is requested.
///
/// # Errors
///
/// Returns an error if a listener, thread or signal handler or the metrics cannot be set up.
pub async fn run(
    log: Logger,
    settings: MeshSettings,
    adapter: impl ProtocolAdapter,
    source: impl SettingsSource,
) -> Result<(), ServerError> {
    let node = Node::new(&log, settings, adapter)?;
    let (stop_traffic, traffic_stop) = watch::channel(false);
    let listeners = node.listen(&traffic_stop).await?;
    info!(log, "node-started"; "vm" => %node.settings.vm.name,
        "data_centre" => %node.settings.vm.data_centre, "service" => %node.settings.service);
    let control_addresses: SharedControlAddresses =
        Arc::new(Mutex::new(node.settings.control_addresses.clone()));
    let (stop_control, control_stop) = watch::channel(false);
    let control = node.start_control_thread(&control_addresses, control_stop)?;
    let slot_queue = node.ingress.slot_queue.clone();
    let queue_expiry = tokio::spawn(async move { slot_queue.expire_queued_calls().await });
    let quarantine_peers = Arc::clone(&node.quarantine_peers);
    let evidence_exchange = tokio::spawn(async move { quarantine_peers.run().await });
    let quotas = Arc::clone(&node.quotas);
    let quota_surplus = tokio::spawn(async move { quotas.report_surplus().await });
    let failure_exchanges = tokio::spawn(exchange_failures(node.failure_exchanges()));
    let upstream_tracking = tokio::spawn(track_local_upstream(node.local_endpoint()));
    let lease = Arc::clone(&node.lease);
    let lease_watch = tokio::spawn(async move { lease.watch().await });
    let reloads = tokio::spawn(reload_settings(
        log.clone(),
        source,
        control_addresses,
        Arc::clone(&node.expected_upstream),
    ));

    daemon::stop_requested().await?;
    info!(log, "stop-requested");
    let timeout = Duration::from_millis(node.settings.stop_timeout_ms);
    let end = timeout.saturating_sub(SHUTDOWN_RESERVE + ANSWER_RESERVE);
    node.ingress.stop(end.max(timeout * 3 / 4));
    let drain_period = CALLER_DRAIN_PERIOD.min(timeout / 2);
    tokio::time::sleep(drain_period.saturating_sub(PEER_DRAIN_PERIOD)).await;
    node.ingress.withdraw();
    tokio::time::sleep(PEER_DRAIN_PERIOD).await;
    let remaining = timeout.saturating_sub(drain_period);
    let ingress = Arc::clone(&node.ingress);
    let late_refusal = tokio::spawn(async move {
        tokio::time::sleep(remaining / 2).await;
        ingress.refuse_unsent();
    });
    stop_listeners(&log, listeners, stop_traffic, remaining).await;
    let _ = stop_control.send(true);
    let _ = tokio::task::spawn_blocking(move || control.join()).await;
    let tasks = [
        queue_expiry,
        evidence_exchange,
        failure_exchanges,
        quota_surplus,
        upstream_tracking,
        lease_watch,
        reloads,
        late_refusal,
    ];
    for task in tasks {
        task.abort();
    }
    info!(log, "node-stopped");
    Ok(())
}

impl<D: ProtocolAdapter> Node<D> {
    fn new(log: &Logger, settings: MeshSettings, adapter: D) -> Result<Self, ServerError> {
        let clock = Clock::new();
        let adapter = Arc::new(adapter);
        let metrics = Arc::new(Metrics::new()?);
        let pool = ConnectionPool::new(clock);
        let vm = settings.vm.name.clone();
        let endpoints = EndpointTable::new(log.clone(), settings.vm.data_centre.clone());
        let endpoints = Arc::new(endpoints.with_balancing(settings.balancing));
        let upstream_state = Arc::new(UpstreamState::new());
        let suspects = Suspects::new(log.clone(), clock, vm.clone(), Arc::clone(&metrics));
        let suspects = Arc::new(suspects);
        let quarantine_peers = Arc::new(QuarantinePeers::new(QuarantinePeersDependencies {
            vm: vm.clone(),
            pool: pool.clone(),
            endpoints: Arc::clone(&endpoints),
            upstream_state: Arc::clone(&upstream_state),
            suspects: Arc::clone(&suspects),
            metrics: Arc::clone(&metrics),
        }));
        let configuration = Arc::new(ConfigurationHolder::new(log.clone()));
        let lease = Arc::new(ConfigurationLease::new(
            log.clone(),
            BootClock,
            settings.max_configuration_age_ms,
            Arc::clone(&configuration),
            Arc::clone(&metrics),
        ));
        let crash_monitor = Arc::new(CrashMonitor::new(CrashMonitorDependencies {
            log: log.clone(),
            clock,
            vm: vm.clone(),
            pool: pool.clone(),
            upstream_state: Arc::clone(&upstream_state),
            suspects: Arc::clone(&suspects),
            peers: Arc::clone(&quarantine_peers),
            metrics: Arc::clone(&metrics),
            configuration: Arc::clone(&configuration),
            health_id_header: adapter.health_id_header(),
        }));
        let shared_failures = Arc::new(SharedFailures::new(clock, settings.failure_evidence));
        let ingress = Arc::new(Ingress::new(IngressDependencies {
            log: log.clone(),
            clock,
            vm,
            adapter: Arc::clone(&adapter),
            pool: pool.clone(),
            endpoints: Arc::clone(&endpoints),
            upstream_state,
            suspects: Arc::clone(&suspects),
            crash_monitor,
            metrics: Arc::clone(&metrics),
            shared_failures: Arc::clone(&shared_failures),
            balancing: settings.balancing,
        }));
        let request_log = Arc::new(RequestLog::new(log.clone(), clock));
        let quotas = AccountQuotas::new(
            Arc::clone(&request_log),
            Arc::clone(&metrics),
            settings.quota_bound,
        );
        let throttles = RequestThrottles::new(
            log.clone(),
            clock,
            settings.failure_evidence,
            Arc::clone(&metrics),
        );
        let dispatcher = Arc::new(Dispatcher {
            balancing_monitor: BalancingMonitor::new(log.clone(), Arc::clone(&metrics)),
            clock,
            vm: settings.vm.clone(),
            ingress: Arc::clone(&ingress),
            endpoints: Arc::clone(&endpoints),
            pool,
            retry_bounds: settings.retry_bounds,
            retry_costs: Mutex::default(),
            metrics: Arc::clone(&metrics),
            request_log,
            throttles: Arc::new(throttles),
            shared_failures,
        });
        let log = log.clone();
        Ok(Self {
            log,
            adapter,
            expected_upstream: Arc::new(ExpectedUpstream::new(&settings)),
            settings,
            ingress,
            endpoints,
            suspects,
            quarantine_peers,
            configuration,
            lease,
            dispatcher,
            metrics,
            quotas: Arc::new(quotas),
        })
    }

    /// Opens all listeners and serves them until `stop` is set.
    async fn listen(&self, stop: &watch::Receiver<bool>) -> Result<JoinSet<()>, ServerError> {
        let settings = &self.settings;
        let callers = TcpListener::bind(settings.caller_listen).await?;
        let peers = TcpListener::bind(settings.peer_listen).await?;
        let upstream = TcpListener::bind(settings.upstream_listen).await?;
        let ready = TcpListener::bind(settings.ready_listen).await?;
        // A failure to serve metrics must not prevent the node from serving requests.
        let metrics = match TcpListener::bind(settings.metrics_listen).await {
            Ok(listener) => Some(listener),
            Err(error) => {
                warn!(self.log, "metrics-unavailable"; "address" => %settings.metrics_listen,
                    "error" => %error);
                None
            }
        };
        let caller_handler = CallerHandler {
            adapter: Arc::clone(&self.adapter),
            dispatcher: Arc::clone(&self.dispatcher),
            configuration: Arc::clone(&self.configuration),
            lease: Arc::clone(&self.lease),
            throttles: Arc::clone(&self.dispatcher.throttles),
            expected_upstream: Arc::clone(&self.expected_upstream),
            quotas: Arc::clone(&self.quotas),
        };
        let peer_handler = PeerHandler::new(
            self.dispatcher.clock,
            Arc::clone(&self.ingress),
            Arc::clone(&self.quarantine_peers),
            Arc::clone(&self.dispatcher.shared_failures),
        );
        let upstream_handler = UpstreamHandler {
            log: self.log.clone(),
            clock: self.dispatcher.clock,
            adapter: Arc::clone(&self.adapter),
            ingress: Arc::clone(&self.ingress),
            expected: Arc::clone(&self.expected_upstream),
            metrics: Arc::clone(&self.metrics),
            refusal_log: RefusalLog::default(),
        };
        let ready_handler = ReadyHandler {
            adapter: Arc::clone(&self.adapter),
            ingress: Arc::clone(&self.ingress),
            configuration: Arc::clone(&self.configuration),
        };
        let metrics_handler = MetricsHandler {
            metrics: Arc::clone(&self.metrics),
            suspects: Arc::clone(&self.suspects),
            quarantine_peers: Arc::clone(&self.quarantine_peers),
        };
        let (log, stop) = (|| self.log.clone(), || stop.clone());
        let mut tasks = JoinSet::new();
        tasks.spawn(http_listener::serve(log(), callers, Arc::new(caller_handler), stop()));
        tasks.spawn(http_listener::serve(log(), peers, Arc::new(peer_handler), stop()));
        tasks.spawn(http_listener::serve(log(), upstream, Arc::new(upstream_handler), stop()));
        tasks.spawn(http_listener::serve(log(), ready, Arc::new(ready_handler), stop()));
        if let Some(metrics) = metrics {
            tasks.spawn(http_listener::serve(log(), metrics, Arc::new(metrics_handler), stop()));
        }
        Ok(tasks)
    }

    /// Starts the thread that runs the link to control.
    fn start_control_thread(
        &self,
        control_addresses: &SharedControlAddresses,
        stop: watch::Receiver<bool>,
    ) -> io::Result<JoinHandle<()>> {
        let attachment = Attachment::new(AttachmentParts {
            log: self.log.clone(),
            clock: self.dispatcher.clock,
            settings: self.settings.clone(),
            adapter: Arc::clone(&self.adapter),
            ingress: Arc::clone(&self.ingress),
            expected_upstream: Arc::clone(&self.expected_upstream),
            endpoints: Arc::clone(&self.endpoints),
            configuration: Arc::clone(&self.configuration),
            lease: Arc::clone(&self.lease),
            control_addresses: Arc::clone(control_addresses),
            metrics: Arc::clone(&self.metrics),
            quotas: Arc::clone(&self.quotas),
        });
        let report_trigger = self.ingress.upstream_state.changes();
        let link = ControlLink::new(self.log.clone(), attachment, report_trigger, stop)
            .with_demand_trigger(self.quotas.report_requests());
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let thread = thread::Builder::new().name("control".to_owned());
        thread.spawn(move || runtime.block_on(link.run()))
    }

    /// Returns the exchange of failure data, unless the node uses its own data only.
    fn failure_exchanges(&self) -> Option<FailureExchanges> {
        let is_shared = self.settings.failure_evidence == FailureEvidence::Shared;
        is_shared.then(|| FailureExchanges {
            vm: self.settings.vm.name.clone(),
            pool: self.dispatcher.pool.clone(),
            endpoints: Arc::clone(&self.endpoints),
            configuration: Arc::clone(&self.configuration),
            throttles: Arc::clone(&self.dispatcher.throttles),
            shared_failures: Arc::clone(&self.dispatcher.shared_failures),
        })
    }

    fn local_endpoint(&self) -> LocalEndpoint<D> {
        LocalEndpoint {
            settings: self.settings.clone(),
            ingress: Arc::clone(&self.ingress),
            endpoints: Arc::clone(&self.endpoints),
        }
    }
}

/// State that is needed to track the local upstream.
struct LocalEndpoint<D> {
    settings: MeshSettings,
    ingress: Arc<Ingress<D>>,
    endpoints: Arc<EndpointTable>,
}

/// Keeps the endpoint of the local upstream in sync with its reported state.
async fn track_local_upstream<D: ProtocolAdapter>(local: LocalEndpoint<D>) {
    let mut changes = local.ingress.upstream_state.changes();
    loop {
        let service = local.ingress.upstream_state.service();
        let is_leaving = local.ingress.upstream_state.serving().is_none();
        let address = local.settings.peer_listen;
        local.endpoints.set_local(&local.settings.vm, service.as_ref(), address, is_leaving);
        if changes.changed().await.is_err() {
            return;
        }
    }
}

/// Exchanges failure data with other nodes, if the node uses those of others.
async fn exchange_failures(exchanges: Option<FailureExchanges>) {
    if let Some(exchanges) = exchanges {
        exchanges.run().await;
    }
}

/// Reloads the settings on a signal and at a fixed interval. Never returns.
async fn reload_settings(
    log: Logger,
    mut source: impl SettingsSource,
    control_addresses: SharedControlAddresses,
    expected_upstream: Arc<ExpectedUpstream>,
) {
    let mut signals = daemon::ReloadSignals::new();
    loop {
        tokio::select! {
            () = signals.next() => info!(log, "reload-requested"),
            () = expected_upstream.reload_requested() => {}
            () = tokio::time::sleep(SETTINGS_POLL_INTERVAL) => {}
        }
        expected_upstream.start_reload();
        let reloaded = source.reload();
        expected_upstream.finish_reload(reloaded.as_ref());
        if let Some(settings) = reloaded {
            info!(log, "settings-reloaded"; "controls" => ?settings.control_addresses,
                "service" => %settings.service,
                "upstream_address" => settings.upstream_address.map(|address| address.to_string()));
            *control_addresses.lock().unwrap_or_else(PoisonError::into_inner) =
                settings.control_addresses;
        }
        tokio::time::sleep(MIN_RELOAD_INTERVAL).await;
    }
}

/// Stops the listeners and waits for their requests, up to the timeout less [`SHUTDOWN_RESERVE`].
async fn stop_listeners(
    log: &Logger,
    mut listeners: JoinSet<()>,
    stop: watch::Sender<bool>,
    timeout: Duration,
) {
    let _ = stop.send(true);
    let remaining = timeout.saturating_sub(SHUTDOWN_RESERVE);
    let drained =
        tokio::time::timeout(remaining, async { while listeners.join_next().await.is_some() {} });
    if drained.await.is_err() {
        info!(log, "stop-timed-out"; "open_listeners" => listeners.len());
    }
}

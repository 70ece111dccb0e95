//! The control thread: reports the node, and takes profiles and endpoints.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use daemon::Clock;
use rpc::directory_client::DirectoryClient;
use rpc::peer_client::PeerClient;
use rpc::{ControlUpdate, FetchProfilesRequest, NodeReport};
use slog::{Logger, info, warn};
use tokio::sync::{mpsc, watch};
use tokio_stream::StreamExt;
use tokio_stream::wrappers::ReceiverStream;
use tonic::transport::Endpoint;
use tonic::{Status, Streaming};

use crate::dispatch::Dispatcher;
use crate::peer_client;
use crate::settings::Settings;

const REPORT_INTERVAL: Duration = Duration::from_secs(1);
const RECONNECT_PAUSE: Duration = Duration::from_millis(200);
const ATTACH_TIMEOUT: Duration = Duration::from_secs(1);
const FETCH_TIMEOUT: Duration = Duration::from_millis(500);
const PING_INTERVAL: Duration = Duration::from_secs(1);
const PING_TIMEOUT: Duration = Duration::from_secs(1);
const QUEUE_REPORTS: usize = 16;
/// Silence after which a stream counts as lost; control sends at least once a second.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(3);
/// Age of a replica's contact with its quorum from which another one is preferred.
const MAX_CONTACT_AGE_MS: u64 = 3_000;

/// Link of the node to the control replicas.
pub(crate) struct ControlLink {
    log: Logger,
    settings: Settings,
    dispatcher: Arc<Dispatcher>,
    announced: watch::Receiver<u64>,
    stop: watch::Receiver<bool>,
    incarnation: u64,
    sequence: u64,
}

/// Why a stream ended.
enum StreamEnd {
    Stopping,
    Lost,
    Isolated,
}

impl ControlLink {
    pub(crate) fn new(
        log: Logger,
        settings: Settings,
        dispatcher: Arc<Dispatcher>,
        announced: watch::Receiver<u64>,
        stop: watch::Receiver<bool>,
    ) -> Self {
        let incarnation = Clock::unix_us();
        Self { log, settings, dispatcher, announced, stop, incarnation, sequence: 0 }
    }

    /// Keeps a stream to one replica, the next one when it fails or is cut off from its quorum.
    pub(crate) async fn run(mut self) {
        self.fetch_from_peers().await;
        let controls = self.settings.controls.clone();
        let mut index = 0;
        let mut isolated_in_row = 0;
        loop {
            let address = controls[index % controls.len()];
            // When every replica is cut off, the node stays with the one it has.
            let accepts_isolation = isolated_in_row >= controls.len();
            match self.attach(address, accepts_isolation).await {
                StreamEnd::Stopping => return,
                StreamEnd::Isolated => isolated_in_row += 1,
                StreamEnd::Lost => isolated_in_row = 0,
            }
            index += 1;
            tokio::time::sleep(RECONNECT_PAUSE).await;
        }
    }

    async fn attach(&mut self, address: SocketAddr, accepts_isolation: bool) -> StreamEnd {
        let (reports, receiver) = mpsc::channel(QUEUE_REPORTS);
        // The queue is empty, so the first report fits.
        let _ = reports.try_send(self.report());
        let opened = tokio::time::timeout(ATTACH_TIMEOUT, open(address, receiver)).await;
        let mut updates = match opened {
            Ok(Ok(updates)) => updates,
            Ok(Err(status)) => {
                warn!(self.log, "control-refused"; "control" => %address,
                    "error" => status.message().to_owned());
                return StreamEnd::Lost;
            }
            Err(_) => {
                warn!(self.log, "control-silent"; "control" => %address);
                return StreamEnd::Lost;
            }
        };
        info!(self.log, "control-attached"; "control" => %address);
        let mut interval = tokio::time::interval(REPORT_INTERVAL);
        let mut stop = self.stop.clone();
        loop {
            tokio::select! {
                update = tokio::time::timeout(SILENCE_TIMEOUT, updates.next()) => {
                    let Ok(Some(Ok(update))) = update else {
                        warn!(self.log, "control-lost"; "control" => %address);
                        return StreamEnd::Lost;
                    };
                    let is_isolated = update.contact_age_ms > MAX_CONTACT_AGE_MS;
                    if self.take(update) && reports.send(self.report()).await.is_err() {
                        return StreamEnd::Lost;
                    }
                    if is_isolated && !accepts_isolation {
                        warn!(self.log, "control-isolated"; "control" => %address);
                        return StreamEnd::Isolated;
                    }
                }
                _ = interval.tick() => {
                    if reports.send(self.report()).await.is_err() {
                        return StreamEnd::Lost;
                    }
                }
                changed = self.announced.changed() => {
                    if changed.is_err() || reports.send(self.report()).await.is_err() {
                        return StreamEnd::Lost;
                    }
                }
                _ = stop.wait_for(|is_stopping| *is_stopping) => return StreamEnd::Stopping,
            }
        }
    }

    /// Applies an update. Returns whether new profiles came in force.
    fn take(&self, update: ControlUpdate) -> bool {
        let routes = &self.dispatcher.routes;
        if update.is_full {
            routes.retain(&update.endpoints);
        }
        for vm in &update.removed_vms {
            routes.remove(vm);
        }
        for endpoint in &update.endpoints {
            routes.upsert(endpoint);
        }
        let Some(profiles) = update.profiles else {
            return false;
        };
        let is_new = self.dispatcher.profiles.apply(profiles);
        self.dispatcher.ingress.refresh_limits();
        is_new
    }

    fn report(&mut self) -> NodeReport {
        self.sequence += 1;
        let upstream = self.dispatcher.ingress.upstream();
        let vm = &self.settings.vm;
        let mut called_services = Vec::new();
        let endpoint = upstream.map(|upstream| {
            let announcement = &upstream.announcement;
            called_services.push(announcement.service.to_string());
            called_services.extend(announcement.calls.iter().map(ToString::to_string));
            rpc::Endpoint {
                vm: vm.name.to_string(),
                data_centre: vm.data_centre.to_string(),
                service: announcement.service.to_string(),
                profile: announcement.profile.to_string(),
                peer_address: self.settings.peer_advertise.to_string(),
                slots: announcement.slots,
                is_leaving: self.dispatcher.ingress.is_leaving(),
                incarnation: self.incarnation,
                sequence: self.sequence,
            }
        });
        NodeReport {
            protocol_version: rpc::PROTOCOL_VERSION,
            cluster_id: self.settings.cluster_id.clone(),
            vm: vm.name.to_string(),
            data_centre: vm.data_centre.to_string(),
            profile_revision: self.dispatcher.profiles.revision(),
            endpoint,
            called_services,
        }
    }

    /// Takes the profiles that other nodes have, so that a start needs no control replica.
    async fn fetch_from_peers(&self) {
        for address in &self.settings.peer_seeds {
            let Ok(channel) = peer_client::open(*address) else {
                continue;
            };
            let mut client = PeerClient::new(channel);
            let call = client.fetch_profiles(FetchProfilesRequest::default());
            if let Ok(Ok(set)) = tokio::time::timeout(FETCH_TIMEOUT, call).await {
                self.dispatcher.profiles.apply(set.into_inner());
            }
        }
    }
}

async fn open(
    address: SocketAddr,
    reports: mpsc::Receiver<NodeReport>,
) -> Result<Streaming<ControlUpdate>, Status> {
    let endpoint = Endpoint::from_shared(format!("http://{address}"))
        .map_err(|error| Status::from_error(error.into()))?
        .connect_timeout(ATTACH_TIMEOUT)
        .http2_keep_alive_interval(PING_INTERVAL)
        .keep_alive_timeout(PING_TIMEOUT)
        .tcp_nodelay(true);
    let channel = endpoint.connect_lazy();
    let mut client = DirectoryClient::new(channel).max_decoding_message_size(usize::MAX);
    Ok(client.attach(ReceiverStream::new(reports)).await?.into_inner())
}

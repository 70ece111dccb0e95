//! Reports of the node to the control replicas, and the profiles and endpoints received from them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use control_link::AttachedNode;
use daemon::Clock;
use rpc::peer_client::PeerClient;
use rpc::{ControlUpdate, FetchProfilesRequest, NodeReport};

use crate::dispatch::Dispatcher;
use crate::peer_client;
use crate::settings::Settings;

const PROFILE_FETCH_TIMEOUT: Duration = Duration::from_millis(500);

/// State of this node that the control link reports and updates.
pub(crate) struct Attachment {
    settings: Settings,
    dispatcher: Arc<Dispatcher>,
    incarnation: u64,
    sequence: u64,
}

impl Attachment {
    pub(crate) fn new(settings: Settings, dispatcher: Arc<Dispatcher>) -> Self {
        Self { settings, dispatcher, incarnation: Clock::unix_us(), sequence: 0 }
    }

    /// Fetches the profiles of other nodes, so that the node can start while no control replica is
    /// reachable.
    pub(crate) async fn fetch_profiles_from_peers(&self) {
        for address in &self.settings.peer_seeds {
            let Ok(channel) = peer_client::lazy_channel(*address) else {
                continue;
            };
            let mut client = PeerClient::new(channel);
            let call = client.fetch_profiles(FetchProfilesRequest::default());
            if let Ok(Ok(set)) = tokio::time::timeout(PROFILE_FETCH_TIMEOUT, call).await {
                self.dispatcher.profiles.apply(set.into_inner());
            }
        }
    }
}

impl AttachedNode for Attachment {
    fn control_addresses(&self) -> Vec<SocketAddr> {
        self.settings.control_addresses.clone()
    }

    fn apply_update(&mut self, update: ControlUpdate) -> bool {
        let endpoints = &self.dispatcher.endpoints;
        if update.is_full {
            endpoints.retain(&update.endpoints);
        }
        for vm in &update.removed_vms {
            endpoints.remove(vm);
        }
        for endpoint in &update.endpoints {
            endpoints.upsert(endpoint);
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
                upstream: None,
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
            configuration_version: 0,
            is_probe: false,
            ..NodeReport::default()
        }
    }
}

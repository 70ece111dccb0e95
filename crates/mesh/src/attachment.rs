//! Reports from the node to control, and updates of configuration and endpoints from control.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use control_link::{AttachedNode, LinkEvent};
use daemon::{BootClock, Clock};
use indexmap::IndexSet;
use model::ServiceName;
use policy::US_PER_MS;
use policy::control_order::sort_replicas;
use rpc::{ControlUpdate, NodeReport};
use slog::{Logger, error, warn};

use crate::account_quotas::AccountQuotas;
use crate::configuration_holder::ConfigurationHolder;
use crate::configuration_lease::ConfigurationLease;
use crate::endpoints::EndpointTable;
use crate::expected_upstream::ExpectedUpstream;
use crate::ingress::Ingress;
use crate::metrics::Metrics;
use crate::protocol_adapter::{ProtocolAdapter, UpstreamPhase, UpstreamReport};
use crate::settings::MeshSettings;

/// Addresses of control replicas from the settings, which may change while the node runs.
pub(crate) type SharedControlAddresses = Arc<Mutex<Vec<SocketAddr>>>;

/// State that an attachment shares with the rest of the node.
pub(crate) struct AttachmentParts<D> {
    pub(crate) log: Logger,
    pub(crate) clock: Clock,
    pub(crate) settings: MeshSettings,
    pub(crate) adapter: Arc<D>,
    pub(crate) ingress: Arc<Ingress<D>>,
    pub(crate) expected_upstream: Arc<ExpectedUpstream>,
    pub(crate) endpoints: Arc<EndpointTable>,
    pub(crate) configuration: Arc<ConfigurationHolder>,
    pub(crate) lease: Arc<ConfigurationLease>,
    pub(crate) control_addresses: SharedControlAddresses,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) quotas: Arc<AccountQuotas>,
}

/// Node side of the link to control.
pub(crate) struct Attachment<D> {
    parts: AttachmentParts<D>,
    /// Addresses of control replicas from the last update that listed any.
    discovered_controls: IndexSet<SocketAddr>,
    /// Start time of this node process in Unix microseconds.
    incarnation: u64,
    /// Number of reports sent.
    sequence: u64,
}

impl<D: ProtocolAdapter> Attachment<D> {
    pub(crate) fn new(parts: AttachmentParts<D>) -> Self {
        Self {
            parts,
            discovered_controls: IndexSet::new(),
            incarnation: Clock::unix_us(),
            sequence: 0,
        }
    }

    fn apply_configuration(&self, packed: &rpc::PackedConfiguration) -> bool {
        let text = match packed.unpack() {
            Ok(text) => text,
            Err(error) => {
                error!(self.parts.log, "configuration-unreadable"; "version" => packed.version,
                    "error" => %error);
                return false;
            }
        };
        match self.parts.adapter.read_configuration(&text) {
            Ok(configuration) => self.parts.configuration.apply(configuration),
            Err(error) => {
                // Control accepts only valid documents, so another program version wrote this one.
                error!(self.parts.log, "configuration-unreadable"; "version" => packed.version,
                    "error" => %error);
                false
            }
        }
    }

    /// Restores the upstream state that an earlier process of this node reported to control.
    fn restore_upstream(&self, endpoint: &rpc::Endpoint) {
        let Some(process) = &endpoint.upstream else { return };
        let (Ok(address), Ok(service)) =
            (process.address.parse(), ServiceName::new(&endpoint.service))
        else {
            warn!(self.parts.log, "own-endpoint-ignored"; "address" => process.address.clone());
            return;
        };
        let report = UpstreamReport {
            instance_id: process.instance_id.as_str().into(),
            started_unix_ms: (process.started_unix_ms > 0).then_some(process.started_unix_ms),
            sequence: 0,
            address,
            service,
            slots: endpoint.slots,
            phase: match process.is_draining {
                true => UpstreamPhase::Draining,
                false => UpstreamPhase::Serving,
            },
            cold_remaining: Duration::ZERO,
        };
        // An earlier build of this node may have taken a report of another writer.
        let now_unix_ms = Clock::unix_us() / US_PER_MS;
        if let Err(cause) = self.parts.expected_upstream.check(&report, now_unix_ms) {
            self.parts.metrics.reports_refused.inc();
            warn!(self.parts.log, "own-endpoint-ignored"; "reason" => %cause,
                "instance" => &*report.instance_id, "service" => %report.service,
                "address" => %report.address);
            return;
        }
        self.parts.ingress.restore_upstream(report, process.limit_per_s);
    }

    fn client_account_count(&self) -> i64 {
        let active = self.parts.configuration.load();
        let count = active.map_or(0, |active| active.configuration.client_account_count());
        i64::try_from(count).unwrap_or(i64::MAX)
    }

    fn called_services(&self) -> Vec<String> {
        let active = self.parts.configuration.load();
        let services = active.iter().flat_map(|active| active.configuration.services());
        services.map(ServiceName::to_string).collect()
    }
}

impl<D: ProtocolAdapter> AttachedNode for Attachment<D> {
    fn control_addresses(&self) -> Vec<SocketAddr> {
        let configured =
            self.parts.control_addresses.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let replicas: IndexSet<_> =
            configured.into_iter().chain(self.discovered_controls.clone()).collect();
        let mut replicas: Vec<_> = replicas.into_iter().collect();
        sort_replicas(&self.parts.settings.vm.name, &mut replicas);
        replicas
    }

    fn apply_update(&mut self, update: ControlUpdate) -> bool {
        let metrics = &self.parts.metrics;
        let content_age_ms = i64::try_from(update.content_age_ms).unwrap_or(i64::MAX);
        metrics.control_content_age_ms.set(content_age_ms);
        let discovered = update.replica_addresses.iter().filter_map(|text| match text.parse() {
            Ok(address) => Some(address),
            Err(_) => {
                warn!(self.parts.log, "replica-ignored"; "address" => text.clone());
                None
            }
        });
        let discovered: IndexSet<SocketAddr> = discovered.collect();
        if !discovered.is_empty() {
            self.discovered_controls = discovered;
        }
        let ingress = &self.parts.ingress;
        ingress.upstream_state.departures.set_recorded(update.records_departures);
        ingress.record_committed_departures(&update.departed);
        let local_vm = self.parts.settings.vm.name.as_str();
        let now_us = self.parts.clock.now_us();
        self.parts.endpoints.remove_expired(now_us);
        if update.is_full {
            self.parts.endpoints.unlist_missing(
                now_us,
                &self.parts.settings.vm.name,
                &update.endpoints,
            );
        }
        for vm in update.removed_vms.iter().filter(|vm| *vm != local_vm) {
            self.parts.endpoints.unlist(now_us, vm);
        }
        for endpoint in &update.endpoints {
            match endpoint.vm == local_vm {
                true => self.restore_upstream(endpoint),
                false => self.parts.endpoints.upsert(endpoint),
            }
        }
        if let Some(grants) = &update.quota_grants {
            self.parts.quotas.apply(grants);
        }
        let is_applied =
            update.configuration.is_some_and(|packed| self.apply_configuration(&packed));
        if let Some(proof) = &update.freshness_proof {
            self.parts.lease.record_proof(proof);
        }
        let version = i64::try_from(self.parts.configuration.version()).unwrap_or(i64::MAX);
        metrics.configuration_version.set(version);
        metrics.client_accounts.set(self.client_account_count());
        is_applied
    }

    fn record_event(&mut self, event: LinkEvent) {
        let metrics = &self.parts.metrics;
        match event {
            LinkEvent::Suspected(_) => metrics.control_suspected.inc(),
            LinkEvent::Moved => metrics.control_moved.inc(),
            LinkEvent::Lost => metrics.control_lost.inc(),
            LinkEvent::Cleared => {}
        }
    }

    fn report(&mut self) -> NodeReport {
        self.sequence += 1;
        let vm = &self.parts.settings.vm;
        let upstream = self.parts.ingress.upstream_state.last_report();
        let endpoint = upstream.map(|upstream| rpc::Endpoint {
            vm: vm.name.to_string(),
            data_centre: vm.data_centre.to_string(),
            service: upstream.service.to_string(),
            profile: String::new(),
            peer_address: self.parts.settings.peer_advertise.to_string(),
            slots: upstream.slots,
            is_leaving: self.parts.ingress.is_leaving(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            upstream: Some(rpc::UpstreamProcess {
                instance_id: upstream.instance_id.to_string(),
                address: upstream.address.to_string(),
                started_unix_ms: upstream.started_unix_ms.unwrap_or(0),
                is_draining: upstream.phase == UpstreamPhase::Draining,
                limit_per_s: self.parts.ingress.upstream_state.limit_per_s(),
            }),
        });
        let stamp_us = self.parts.lease.stamp();
        let now_boot_us = stamp_us.or_else(|| BootClock.now_us()).unwrap_or(0);
        let quota_demands = self.parts.quotas.report(now_boot_us);
        let is_stamped = stamp_us.is_some() || !quota_demands.is_empty();
        NodeReport {
            protocol_version: rpc::PROTOCOL_VERSION,
            cluster_id: self.parts.settings.cluster_id.clone(),
            vm: vm.name.to_string(),
            data_centre: vm.data_centre.to_string(),
            // Mesh nodes use no profiles; the highest revision keeps control from sending any.
            profile_revision: u64::MAX,
            endpoint,
            called_services: self.called_services(),
            configuration_version: self.parts.configuration.version(),
            is_probe: false,
            created_boot_us: if is_stamped { now_boot_us } else { 0 },
            wants_freshness_proof: stamp_us.is_some(),
            incarnation: self.incarnation,
            quota_demands,
            departing: self.parts.ingress.upstream_state.departures.uncommitted(),
        }
    }
}

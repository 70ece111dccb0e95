//! VMs that run each service, as control and this node's own calls tell.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use indexmap::{IndexMap, IndexSet};
use model::{DataCentreName, ServiceName, Vm, VmName};
use policy::US_PER_S;
use policy::fading::FadingShare;
use policy::placement::{Placement, PlacementResult};
use policy::pressure::MEMORY_US;
use policy::repeats::{RepeatBounds, RepeatBudget};
use slog::{Logger, info, warn};

use crate::ingress::NodeLoad;

/// A VM that was chosen for a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct ChosenVm {
    pub(crate) vm: VmName,
    pub(crate) address: SocketAddr,
}

/// Time for which a VM that control no longer lists is still used while it answers, in microseconds.
/// A control replica that starts anew lists VMs only as they report, and a VM that is cut off from
/// control may well be in reach of this node.
const UNLISTED_US: u64 = 20 * US_PER_S;

#[derive(Debug)]
struct Peer {
    address: SocketAddr,
    incarnation: u64,
    /// Since when control no longer lists the VM, in microseconds.
    unlisted_since_us: Option<u64>,
}

#[derive(Debug)]
struct ServiceEndpoints {
    placement: Placement,
    peers: IndexMap<VmName, Peer>,
    budget: Option<RepeatBudget>,
    /// Pressure that the VMs reported with their answers.
    pressure: FadingShare,
}

#[derive(Debug, Default)]
struct Table {
    services: IndexMap<ServiceName, ServiceEndpoints>,
    /// Every VM of any service, to share the repeats among them.
    vms: IndexSet<VmName>,
}

/// VMs by service.
#[derive(Debug)]
pub(crate) struct Endpoints {
    log: Logger,
    own_data_centre: DataCentreName,
    table: Arc<Mutex<Table>>,
}

impl Endpoints {
    pub(crate) fn new(log: Logger, own_data_centre: DataCentreName) -> Self {
        Self { log, own_data_centre, table: Arc::default() }
    }

    /// Enters the upstream beside the node, or takes it out.
    pub(crate) fn set_own(
        &self,
        vm: &Vm,
        service: Option<&ServiceName>,
        address: SocketAddr,
        is_leaving: bool,
    ) {
        let mut table = self.lock();
        for (name, endpoints) in &mut table.services {
            if Some(name) != service {
                endpoints.placement.remove(&vm.name);
                endpoints.peers.shift_remove(&vm.name);
            }
        }
        table.vms.insert(vm.name.clone());
        let Some(service) = service else { return };
        let endpoints = table.service(service, &self.own_data_centre);
        endpoints.placement.upsert(&vm.name, &vm.data_centre, is_leaving);
        endpoints
            .peers
            .insert(vm.name.clone(), Peer { address, incarnation: 0, unlisted_since_us: None });
    }

    /// Takes an endpoint as control knows it into account.
    pub(crate) fn upsert(&self, endpoint: &rpc::Endpoint) {
        let Some((vm, data_centre, service, address)) = parse(endpoint) else {
            warn!(self.log, "endpoint-ignored"; "vm" => endpoint.vm.clone(),
                "detail" => "a name or address is malformed");
            return;
        };
        info!(self.log, "endpoint-changed"; "vm" => %vm, "service" => %service,
            "is_leaving" => endpoint.is_leaving, "incarnation" => endpoint.incarnation);
        let mut table = self.lock();
        for (name, endpoints) in &mut table.services {
            if *name != service {
                endpoints.placement.remove(&vm);
                endpoints.peers.shift_remove(&vm);
            }
        }
        table.vms.insert(vm.clone());
        let endpoints = table.service(&service, &self.own_data_centre);
        endpoints.placement.upsert(&vm, &data_centre, endpoint.is_leaving);
        let peer = Peer { address, incarnation: endpoint.incarnation, unlisted_since_us: None };
        let known = endpoints.peers.insert(vm.clone(), peer);
        if known.is_some_and(|known| known.incarnation != endpoint.incarnation) {
            endpoints.placement.restart(&vm);
        }
    }

    /// Notes that control no longer lists a VM.
    pub(crate) fn unlist(&self, now_us: u64, vm: &str) {
        info!(self.log, "endpoint-unlisted"; "vm" => vm.to_owned());
        let mut table = self.lock();
        let peers = table.services.values_mut().flat_map(|endpoints| &mut endpoints.peers);
        for (_, peer) in peers.filter(|(name, _)| name.as_str() == vm) {
            peer.unlisted_since_us.get_or_insert(now_us);
        }
    }

    /// Unlists every VM but the own one and the listed ones.
    pub(crate) fn retain(&self, now_us: u64, own: &VmName, listed: &[rpc::Endpoint]) {
        let known: Vec<VmName> = self.lock().vms.iter().cloned().collect();
        for vm in known {
            if vm != *own && !listed.iter().any(|endpoint| endpoint.vm == vm.as_str()) {
                self.unlist(now_us, vm.as_str());
            }
        }
    }

    /// Removes VMs that control has not listed for long.
    pub(crate) fn expire(&self, now_us: u64) {
        let mut table = self.lock();
        let is_expired = |peer: &Peer| {
            peer.unlisted_since_us.is_some_and(|since| now_us.saturating_sub(since) > UNLISTED_US)
        };
        let mut expired = IndexSet::new();
        for endpoints in table.services.values_mut() {
            let gone = endpoints.peers.iter().filter(|(_, peer)| is_expired(peer));
            let gone: Vec<VmName> = gone.map(|(vm, _)| vm.clone()).collect();
            for vm in gone {
                endpoints.placement.remove(&vm);
                endpoints.peers.shift_remove(&vm);
                expired.insert(vm);
            }
        }
        for vm in expired {
            info!(self.log, "endpoint-removed"; "vm" => %vm);
            table.vms.shift_remove(&vm);
        }
    }

    /// Chooses a VM for a call and counts the call against it.
    pub(crate) fn choose(
        &self,
        now_us: u64,
        service: &ServiceName,
        tried: &[VmName],
    ) -> Option<ChosenVm> {
        let mut table = self.lock();
        let endpoints = table.services.get_mut(service)?;
        let vm = endpoints.placement.choose(now_us, tried, rand::random())?;
        let address = endpoints.peers.get(&vm)?.address;
        Some(ChosenVm { vm, address })
    }

    /// Takes the end of an attempt into account.
    pub(crate) fn finish(
        &self,
        now_us: u64,
        service: &ServiceName,
        vm: &VmName,
        result: PlacementResult,
        load: Option<NodeLoad>,
    ) {
        let mut table = self.lock();
        let Some(endpoints) = table.services.get_mut(service) else { return };
        let has_left = load.is_some_and(|load| load.is_leaving);
        let result = match result {
            PlacementResult::Refused if has_left => PlacementResult::Leaving,
            result => result,
        };
        endpoints.placement.finish(now_us, vm, result);
        if let Some(load) = load {
            endpoints.placement.report(vm, load.placement);
            endpoints.pressure.record(now_us, f64::from(load.pressure_permille) / 1_000.0);
        }
    }

    /// Returns the chance that a request to a service fails for want of room.
    pub(crate) fn pressure(&self, now_us: u64, service: &ServiceName) -> f64 {
        let table = self.lock();
        table.services.get(service).map_or(0.0, |endpoints| endpoints.pressure.value(now_us))
    }

    /// Takes back an attempt that its caller abandoned.
    pub(crate) fn cancel(&self, service: &ServiceName, vm: &VmName) {
        if let Some(endpoints) = self.lock().services.get_mut(service) {
            endpoints.placement.cancel(vm);
        }
    }

    /// Takes a request for a service into account.
    pub(crate) fn record_request(&self, now_us: u64, service: &ServiceName, bounds: RepeatBounds) {
        let mut table = self.lock();
        let nodes = table.vms.len();
        if let Some(endpoints) = table.services.get_mut(service) {
            endpoints.budget(now_us, bounds, nodes).record_request(now_us, bounds, nodes);
        }
    }

    /// Takes a repeat out of the budget of a service. Returns whether there was enough.
    pub(crate) fn withdraw_repeat(
        &self,
        now_us: u64,
        service: &ServiceName,
        bounds: RepeatBounds,
        cost: f64,
    ) -> bool {
        let mut table = self.lock();
        let nodes = table.vms.len();
        let Some(endpoints) = table.services.get_mut(service) else { return false };
        endpoints.budget(now_us, bounds, nodes).withdraw(now_us, bounds, nodes, cost)
    }

    fn lock(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ServiceEndpoints {
    fn budget(&mut self, now_us: u64, bounds: RepeatBounds, nodes: usize) -> &mut RepeatBudget {
        self.budget.get_or_insert_with(|| RepeatBudget::new(now_us, bounds, nodes))
    }
}

impl Table {
    fn service(
        &mut self,
        service: &ServiceName,
        own_data_centre: &DataCentreName,
    ) -> &mut ServiceEndpoints {
        self.services.entry(service.clone()).or_insert_with(|| ServiceEndpoints {
            placement: Placement::new(own_data_centre.clone()),
            peers: IndexMap::new(),
            budget: None,
            pressure: FadingShare::new(MEMORY_US),
        })
    }
}

fn parse(endpoint: &rpc::Endpoint) -> Option<(VmName, DataCentreName, ServiceName, SocketAddr)> {
    Some((
        VmName::new(&endpoint.vm).ok()?,
        DataCentreName::new(&endpoint.data_centre).ok()?,
        ServiceName::new(&endpoint.service).ok()?,
        endpoint.peer_address.parse().ok()?,
    ))
}

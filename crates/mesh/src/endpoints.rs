//! Table of the VMs that run each service, updated by control and by the results of calls.

#[cfg(test)]
mod tests;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use model::{DataCentreName, ServiceName, Vm, VmName};
use policy::US_PER_S;
use policy::balancer::Balancer;
use policy::decaying_mean::DecayingMean;
use policy::estimated_load::{Choice, CrossingCause, EstimatedLoad, NextChoice};
use policy::overload::OVERLOAD_TIME_CONSTANT_US;
use policy::placement::{Placement, PlacementResult};
use policy::shared_retry_budget::{RetryBounds, SharedRetryBudget};
use slog::{Logger, info, warn};

use crate::ingress::NodeLoad;
use crate::settings::Balancing;

/// VM selected for a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct ChosenVm {
    pub(crate) vm: VmName,
    pub(crate) address: SocketAddr,
    /// Why the VM is in another data centre, if the balancer tells.
    pub(crate) crossing: Option<CrossingCause>,
    /// Age of the VM's last report, if the balancer tells.
    pub(crate) report_age_us: Option<u64>,
}

/// VM to ask after a refusal.
pub(crate) enum NextVm {
    Chosen(ChosenVm),
    /// No VM is expected to take the call. The shortest expected wait, if there is another VM.
    NoneExpected(Option<Duration>),
}

/// Time for which a VM that control no longer lists stays in use, in microseconds. A restarted
/// control replica lists VMs only once they have reported, and a VM that is partitioned from
/// control may still be reachable from this node.
const UNLISTED_GRACE_US: u64 = 20 * US_PER_S;

#[derive(Debug)]
struct PeerEndpoint {
    address: SocketAddr,
    /// Identifies the node process; changes when the node restarts.
    incarnation: u64,
    /// When control stopped listing the VM, in microseconds. `None` while it is listed.
    unlisted_since_us: Option<u64>,
    /// Upstream process on the VM, if control lists it.
    process: Option<UpstreamProcess>,
    /// Whether an answer of that process said that it is about to stop.
    has_left: bool,
}

/// Identity of an upstream process.
#[derive(Debug, Clone, PartialEq, Eq)]
struct UpstreamProcess {
    instance_id: String,
    started_unix_ms: u64,
}

impl PeerEndpoint {
    fn new(address: SocketAddr, incarnation: u64, process: Option<UpstreamProcess>) -> Self {
        Self { address, incarnation, unlisted_since_us: None, process, has_left: false }
    }
}

#[derive(Debug)]
struct ServiceEndpoints {
    placement: Balancer,
    peers: IndexMap<VmName, PeerEndpoint>,
    retry_budget: Option<SharedRetryBudget>,
    /// Decaying mean of the overload probabilities that VMs report with their responses.
    overload: DecayingMean,
}

#[derive(Debug, Default)]
struct TableState {
    services: IndexMap<ServiceName, ServiceEndpoints>,
    /// VMs of all services; the retry budget is divided by their number.
    vms: IndexSet<VmName>,
}

/// Endpoints and retry budgets of all services.
#[derive(Debug)]
pub(crate) struct EndpointTable {
    log: Logger,
    own_data_centre: DataCentreName,
    balancing: Balancing,
    table: Arc<Mutex<TableState>>,
}

impl EndpointTable {
    pub(crate) fn new(log: Logger, own_data_centre: DataCentreName) -> Self {
        let balancing = Balancing::TwoChoices;
        Self { log, own_data_centre, balancing, table: Arc::default() }
    }

    /// Selects how the VM of a call is chosen. Applies to services that are added later.
    pub(crate) fn with_balancing(self, balancing: Balancing) -> Self {
        Self { balancing, ..self }
    }

    /// Returns whether a refused call ends once no other VM is expected to take it.
    pub(crate) fn expects_refusals(&self) -> bool {
        self.balancing == Balancing::EstimatedLoad
    }

    /// Registers the local upstream under its service and removes it from all others.
    pub(crate) fn set_local(
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
        let endpoints = table.service(service, || self.balancer());
        endpoints.placement.upsert(&vm.name, &vm.data_centre, is_leaving);
        endpoints.peers.insert(vm.name.clone(), PeerEndpoint::new(address, 0, None));
    }

    /// Adds or updates an endpoint that control reported.
    pub(crate) fn upsert(&self, endpoint: &rpc::Endpoint) {
        let Some((vm, data_centre, service, address)) = parse_endpoint(endpoint) else {
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
        let endpoints = table.service(&service, || self.balancer());
        let process = endpoint.upstream.as_ref().map(|process| UpstreamProcess {
            instance_id: process.instance_id.clone(),
            started_unix_ms: process.started_unix_ms,
        });
        let mut peer = PeerEndpoint::new(address, endpoint.incarnation, process);
        // Control may not know yet that the process has said that it leaves.
        let known = endpoints.peers.get(&vm);
        peer.has_left = known.is_some_and(|known| known.has_left && known.process == peer.process);
        endpoints.placement.upsert(&vm, &data_centre, endpoint.is_leaving || peer.has_left);
        let known = endpoints.peers.insert(vm.clone(), peer);
        if known.is_some_and(|known| known.incarnation != endpoint.incarnation) {
            endpoints.placement.restart(&vm);
        }
    }

    /// Records that control no longer lists a VM.
    pub(crate) fn unlist(&self, now_us: u64, vm: &str) {
        info!(self.log, "endpoint-unlisted"; "vm" => vm.to_owned());
        let mut table = self.lock();
        let peers = table.services.values_mut().flat_map(|endpoints| &mut endpoints.peers);
        for (_, peer) in peers.filter(|(name, _)| name.as_str() == vm) {
            peer.unlisted_since_us.get_or_insert(now_us);
        }
    }

    /// Unlists every known VM except the local one and those in `listed`.
    pub(crate) fn unlist_missing(&self, now_us: u64, local_vm: &VmName, listed: &[rpc::Endpoint]) {
        let known: Vec<VmName> = self.lock().vms.iter().cloned().collect();
        for vm in known {
            if vm != *local_vm && !listed.iter().any(|endpoint| endpoint.vm == vm.as_str()) {
                self.unlist(now_us, vm.as_str());
            }
        }
    }

    /// Removes VMs that have been unlisted for longer than [`UNLISTED_GRACE_US`].
    pub(crate) fn remove_expired(&self, now_us: u64) {
        let mut table = self.lock();
        let is_expired = |peer: &PeerEndpoint| {
            peer.unlisted_since_us
                .is_some_and(|since| now_us.saturating_sub(since) > UNLISTED_GRACE_US)
        };
        let mut expired = IndexSet::new();
        for endpoints in table.services.values_mut() {
            let expired_vms = endpoints.peers.iter().filter(|(_, peer)| is_expired(peer));
            let expired_vms: Vec<VmName> = expired_vms.map(|(vm, _)| vm.clone()).collect();
            for vm in expired_vms {
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

    /// Selects a VM that was not tried yet and counts the call as in flight there. Returns `None`
    /// if there is no such VM.
    pub(crate) fn choose(
        &self,
        now_us: u64,
        service: &ServiceName,
        tried: &[VmName],
    ) -> Option<ChosenVm> {
        let mut table = self.lock();
        let endpoints = table.services.get_mut(service)?;
        let choice = endpoints.placement.choose(now_us, tried, rand::random())?;
        endpoints.chosen(choice)
    }

    /// Selects the VM to ask after a refusal, one that is expected to start the call within
    /// `max_wait_us`, and counts the call as in flight there.
    pub(crate) fn choose_after_refusal(
        &self,
        now_us: u64,
        service: &ServiceName,
        tried: &[VmName],
        max_wait_us: u64,
    ) -> NextVm {
        let mut table = self.lock();
        let Some(endpoints) = table.services.get_mut(service) else {
            return NextVm::NoneExpected(None);
        };
        let random = rand::random();
        match endpoints.placement.choose_after_refusal(now_us, tried, max_wait_us, random) {
            NextChoice::Vm(choice) => {
                endpoints.chosen(choice).map_or(NextVm::NoneExpected(None), NextVm::Chosen)
            }
            NextChoice::NoneExpected { wait_us } => {
                NextVm::NoneExpected(wait_us.map(Duration::from_micros))
            }
        }
    }

    /// Returns whether a VM that was not tried is expected to start a call within `max_wait_us`.
    pub(crate) fn has_room(
        &self,
        now_us: u64,
        service: &ServiceName,
        tried: &[VmName],
        max_wait_us: u64,
    ) -> bool {
        let table = self.lock();
        let endpoints = table.services.get(service);
        endpoints.is_some_and(|known| known.placement.has_room(now_us, tried, max_wait_us))
    }

    /// Returns the number of nodes of the deployment.
    pub(crate) fn node_count(&self) -> usize {
        self.lock().vms.len()
    }

    /// Returns the VMs of a service with the addresses of their nodes.
    pub(crate) fn vms(&self, service: &ServiceName) -> Vec<(VmName, SocketAddr)> {
        let table = self.lock();
        let peers = table.services.get(service).map(|endpoints| &endpoints.peers);
        peers.into_iter().flatten().map(|(vm, peer)| (vm.clone(), peer.address)).collect()
    }

    /// Returns the VMs of a service with the addresses of their nodes, except one VM.
    pub(crate) fn other_vms(
        &self,
        service: &ServiceName,
        except: &VmName,
    ) -> Vec<(VmName, SocketAddr)> {
        let table = self.lock();
        let peers = table.services.get(service).map(|endpoints| &endpoints.peers);
        let others = peers.into_iter().flatten().filter(|(vm, _)| *vm != except);
        others.map(|(vm, peer)| (vm.clone(), peer.address)).collect()
    }

    /// Records the result of an attempt and the load that the node reported with it.
    pub(crate) fn finish_attempt(
        &self,
        now_us: u64,
        service: &ServiceName,
        vm: &VmName,
        result: PlacementResult,
        load: Option<NodeLoad>,
    ) {
        let mut table = self.lock();
        let Some(endpoints) = table.services.get_mut(service) else { return };
        let is_leaving = load.is_some_and(|load| load.is_leaving);
        let result = match result {
            PlacementResult::Refused if is_leaving => PlacementResult::Leaving,
            result => result,
        };
        endpoints.placement.finish(now_us, vm, result);
        if let Some(load) = load {
            endpoints.placement.report(now_us, vm, load.placement, load.rates);
            endpoints.overload.record(now_us, f64::from(load.overload_permille) / 1_000.0);
        }
        // The grace of unlisted VMs covers a control that has not heard from them yet, not a node
        // that reports itself that its upstream is gone.
        let is_unlisted =
            endpoints.peers.get(vm).is_some_and(|peer| peer.unlisted_since_us.is_some());
        if result == PlacementResult::Leaving && is_unlisted {
            endpoints.placement.remove(vm);
            endpoints.peers.shift_remove(vm);
            info!(self.log, "endpoint-removed"; "vm" => %vm, "service" => %service,
                "detail" => "unlisted, and its node reports no upstream");
        }
    }

    /// Records that an answer of the upstream on a VM said that it is about to stop. The node of the
    /// VM may forget that when it restarts.
    pub(crate) fn record_leaving(&self, service: &ServiceName, vm: &VmName) {
        let mut table = self.lock();
        let Some(endpoints) = table.services.get_mut(service) else { return };
        let Some(peer) = endpoints.peers.get_mut(vm) else { return };
        if !std::mem::replace(&mut peer.has_left, true) {
            endpoints.placement.set_leaving(vm);
            info!(self.log, "endpoint-leaving"; "vm" => %vm, "service" => %service);
        }
    }

    /// Returns the probability that a request to a service fails for lack of capacity, from zero to
    /// one.
    pub(crate) fn overload(&self, now_us: u64, service: &ServiceName) -> f64 {
        let table = self.lock();
        table.services.get(service).map_or(0.0, |endpoints| endpoints.overload.value(now_us))
    }

    /// Cancels an attempt that its caller abandoned.
    pub(crate) fn cancel_attempt(&self, service: &ServiceName, vm: &VmName) {
        if let Some(endpoints) = self.lock().services.get_mut(service) {
            endpoints.placement.cancel(vm);
        }
    }

    /// Records a request to a service, which adds to its retry budget.
    pub(crate) fn record_request(&self, now_us: u64, service: &ServiceName, bounds: RetryBounds) {
        let mut table = self.lock();
        let nodes = table.vms.len();
        if let Some(endpoints) = table.services.get_mut(service) {
            endpoints.retry_budget(now_us, bounds, nodes).record_request(now_us, bounds, nodes);
        }
    }

    /// Charges a call of a retried request to the retry budget of a service.
    pub(crate) fn charge_repeat(&self, now_us: u64, service: &ServiceName, bounds: RetryBounds) {
        let mut table = self.lock();
        let nodes = table.vms.len();
        if let Some(endpoints) = table.services.get_mut(service) {
            endpoints.retry_budget(now_us, bounds, nodes).charge(now_us, bounds, nodes);
        }
    }

    /// Withdraws the cost of a retry from the budget of a service. Returns whether the budget
    /// sufficed.
    pub(crate) fn withdraw_retry(
        &self,
        now_us: u64,
        service: &ServiceName,
        bounds: RetryBounds,
        cost: f64,
    ) -> bool {
        let mut table = self.lock();
        let nodes = table.vms.len();
        let Some(endpoints) = table.services.get_mut(service) else { return false };
        endpoints.retry_budget(now_us, bounds, nodes).withdraw(now_us, bounds, nodes, cost)
    }

    fn balancer(&self) -> Balancer {
        let own_data_centre = self.own_data_centre.clone();
        match self.balancing {
            Balancing::TwoChoices => Balancer::TwoChoices(Placement::new(own_data_centre)),
            Balancing::EstimatedLoad => {
                Balancer::EstimatedLoad(EstimatedLoad::new(own_data_centre))
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, TableState> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ServiceEndpoints {
    fn chosen(&self, choice: Choice) -> Option<ChosenVm> {
        let Choice { vm, crossing, report_age_us } = choice;
        let address = self.peers.get(&vm)?.address;
        Some(ChosenVm { vm, address, crossing, report_age_us })
    }

    fn retry_budget(
        &mut self,
        now_us: u64,
        bounds: RetryBounds,
        nodes: usize,
    ) -> &mut SharedRetryBudget {
        self.retry_budget.get_or_insert_with(|| SharedRetryBudget::new(now_us, bounds, nodes))
    }
}

impl TableState {
    fn service(
        &mut self,
        service: &ServiceName,
        balancer: impl FnOnce() -> Balancer,
    ) -> &mut ServiceEndpoints {
        self.services.entry(service.clone()).or_insert_with(|| ServiceEndpoints {
            placement: balancer(),
            peers: IndexMap::new(),
            retry_budget: None,
            overload: DecayingMean::new(OVERLOAD_TIME_CONSTANT_US),
        })
    }
}

fn parse_endpoint(
    endpoint: &rpc::Endpoint,
) -> Option<(VmName, DataCentreName, ServiceName, SocketAddr)> {
    Some((
        VmName::new(&endpoint.vm).ok()?,
        DataCentreName::new(&endpoint.data_centre).ok()?,
        ServiceName::new(&endpoint.service).ok()?,
        endpoint.peer_address.parse().ok()?,
    ))
}

//! Endpoints of the services that the node calls, with the state for choosing among them.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use arc_swap::ArcSwap;
use indexmap::IndexMap;
use model::{DataCentreName, ProfileName, ServiceName, VmName};
use policy::retry_budget::RetryBudget;
use policy::routing::{EndpointState, Router};
use rpc::Endpoint;

/// Retry budget until a profile sets another one, in percent of recent successful calls.
const DEFAULT_RETRY_BUDGET_PERCENT: u32 = 10;

/// A node that serves a service, and the address at which other nodes reach it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct PeerEndpoint {
    pub(crate) vm: VmName,
    pub(crate) data_centre: DataCentreName,
    pub(crate) address: SocketAddr,
    pub(crate) profile: ProfileName,
    pub(crate) is_leaving: bool,
}

/// Endpoints of one service, with their router and retry budget.
#[derive(Debug)]
pub(crate) struct ServiceEndpoints {
    router: Mutex<Router>,
    retry_budget: Mutex<RetryBudget>,
    endpoints: ArcSwap<IndexMap<VmName, PeerEndpoint>>,
}

impl ServiceEndpoints {
    fn new(own_data_centre: &DataCentreName) -> Self {
        Self {
            router: Mutex::new(Router::new(own_data_centre.clone())),
            retry_budget: Mutex::new(RetryBudget::new(DEFAULT_RETRY_BUDGET_PERCENT)),
            endpoints: ArcSwap::from_pointee(IndexMap::new()),
        }
    }

    pub(crate) fn router(&self) -> MutexGuard<'_, Router> {
        self.router.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn retry_budget(&self) -> MutexGuard<'_, RetryBudget> {
        self.retry_budget.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn endpoint(&self, vm: &VmName) -> Option<PeerEndpoint> {
        self.endpoints.load().get(vm).cloned()
    }

    /// Returns the addresses of all nodes of the service.
    pub(crate) fn addresses(&self) -> Vec<SocketAddr> {
        self.endpoints.load().values().map(|endpoint| endpoint.address).collect()
    }

    /// Returns the profile that the first endpoint of the service announces.
    pub(crate) fn profile(&self) -> Option<ProfileName> {
        self.endpoints.load().values().next().map(|endpoint| endpoint.profile.clone())
    }

    fn upsert(&self, endpoint: PeerEndpoint) {
        let state = match endpoint.is_leaving {
            true => EndpointState::Leaving,
            false => EndpointState::Serving,
        };
        self.router().upsert(&endpoint.vm, &endpoint.data_centre, state);
        let mut endpoints = IndexMap::clone(&self.endpoints.load());
        endpoints.insert(endpoint.vm.clone(), endpoint);
        self.endpoints.store(Arc::new(endpoints));
    }

    fn remove(&self, vm: &VmName) {
        if !self.endpoints.load().contains_key(vm) {
            return;
        }
        self.router().remove(vm);
        let mut endpoints = IndexMap::clone(&self.endpoints.load());
        endpoints.shift_remove(vm);
        self.endpoints.store(Arc::new(endpoints));
    }

    fn vms(&self) -> Vec<VmName> {
        self.endpoints.load().keys().cloned().collect()
    }
}

/// Endpoints by service. Only the control thread changes the table.
#[derive(Debug)]
pub(crate) struct EndpointTable {
    own_data_centre: DataCentreName,
    services: ArcSwap<IndexMap<ServiceName, Arc<ServiceEndpoints>>>,
}

impl EndpointTable {
    pub(crate) fn new(own_data_centre: DataCentreName) -> Self {
        Self { own_data_centre, services: ArcSwap::from_pointee(IndexMap::new()) }
    }

    pub(crate) fn get(&self, service: &ServiceName) -> Option<Arc<ServiceEndpoints>> {
        self.services.load().get(service).cloned()
    }

    /// Returns the number of endpoints of all services.
    pub(crate) fn endpoint_count(&self) -> usize {
        self.services.load().values().map(|endpoints| endpoints.vms().len()).sum()
    }

    /// Adds or updates an endpoint received from a control replica. Ignores a malformed one.
    pub(crate) fn upsert(&self, endpoint: &Endpoint) {
        let Some((service, endpoint)) = to_peer_endpoint(endpoint) else {
            return;
        };
        self.get_or_insert(&service).upsert(endpoint);
    }

    pub(crate) fn remove(&self, vm: &str) {
        let Ok(vm) = VmName::new(vm) else { return };
        for endpoints in self.services.load().values() {
            endpoints.remove(&vm);
        }
    }

    /// Removes every endpoint that is not in `listed`, the full list of a control replica.
    pub(crate) fn retain(&self, listed: &[Endpoint]) {
        for endpoints in self.services.load().values() {
            for vm in endpoints.vms() {
                if !listed.iter().any(|endpoint| endpoint.vm == vm.as_str()) {
                    endpoints.remove(&vm);
                }
            }
        }
    }

    /// Returns the endpoints of a service, after adding an empty entry if the table has none.
    fn get_or_insert(&self, service: &ServiceName) -> Arc<ServiceEndpoints> {
        if let Some(endpoints) = self.get(service) {
            return endpoints;
        }
        let endpoints = Arc::new(ServiceEndpoints::new(&self.own_data_centre));
        let mut services = IndexMap::clone(&self.services.load());
        services.insert(service.clone(), Arc::clone(&endpoints));
        self.services.store(Arc::new(services));
        endpoints
    }
}

fn to_peer_endpoint(endpoint: &Endpoint) -> Option<(ServiceName, PeerEndpoint)> {
    let service = ServiceName::new(&endpoint.service).ok()?;
    let peer = PeerEndpoint {
        vm: VmName::new(&endpoint.vm).ok()?,
        data_centre: DataCentreName::new(&endpoint.data_centre).ok()?,
        address: endpoint.peer_address.parse().ok()?,
        profile: ProfileName::new(&endpoint.profile).ok()?,
        is_leaving: endpoint.is_leaving,
    };
    Some((service, peer))
}

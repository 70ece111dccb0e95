//! Directory of the nodes and their upstream endpoints: soft state with a lease for each entry.

use std::collections::VecDeque;

use indexmap::{IndexMap, IndexSet};
use rpc::Endpoint;

/// Lease of a node, and of an endpoint whose node reports to this replica, in microseconds.
const LEASE_US: u64 = 3_000_000;
/// Lease of an endpoint that was copied from another replica, in microseconds.
const REMOTE_LEASE_US: u64 = 30_000_000;

/// Source of the last report of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// The node of the endpoint reports to this replica.
    Local,
    /// The endpoint was copied from the replica with this id.
    Remote(u64),
}

/// Number of changes that are kept for nodes that have not received them. A node that lags further
/// behind receives all endpoints instead.
const MAX_CHANGES: usize = 4_096;

#[derive(Debug, Clone)]
struct EndpointLease {
    endpoint: Endpoint,
    origin: Origin,
    expires_us: u64,
}

/// Last report of a node that is attached to this replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AttachedNode {
    /// Name of the node's VM.
    pub vm: String,
    /// Name of the node's data centre.
    pub data_centre: String,
    /// Revision of the profiles in force on the node.
    pub profile_revision: u64,
    expires_us: u64,
}

/// Change of the endpoint of a VM, one for each revision.
#[derive(Debug)]
struct EndpointChange {
    vm: String,
    /// Service of the endpoint before the change, if there was one.
    previous_service: Option<String>,
}

/// Endpoints that a node has received: those of some services at a revision.
#[derive(Debug, Clone, Default)]
pub struct SentEndpoints {
    /// Revision of the directory.
    pub revision: u64,
    /// Services whose endpoints the node has received.
    pub services: IndexSet<String>,
}

/// Difference between the endpoints that a node has received and those that it should have.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct EndpointDifference {
    /// Endpoints that are new or have changed, without sequence numbers.
    pub endpoints: Vec<Endpoint>,
    /// VMs whose endpoint is gone or belongs to another service now.
    pub removed_vms: Vec<String>,
    /// Number of changes and endpoints that were examined: the cost of the call.
    pub examined: usize,
}

/// Endpoints and attached nodes known to this replica.
#[derive(Debug, Default)]
pub struct Directory {
    leases: IndexMap<String, EndpointLease>,
    nodes: IndexMap<String, AttachedNode>,
    revision: u64,
    local_revision: u64,
    /// The last changes, the newest of which has the current revision.
    changes: VecDeque<EndpointChange>,
}

impl Directory {
    /// Creates an empty directory. No earlier process of this replica may have used
    /// `first_revision`, because the other replicas do not copy the same revision twice.
    pub fn new(first_revision: u64) -> Self {
        Self { revision: first_revision, local_revision: first_revision, ..Self::default() }
    }

    /// Returns the revision, which increases with every change to the endpoints.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the revision of the local endpoints, which increases with every change to them.
    pub fn local_revision(&self) -> u64 {
        self.local_revision
    }

    /// Records a report of an attached node and renews its lease. `revision` is that of the
    /// profiles in force on the node.
    pub fn record_node(&mut self, now_us: u64, vm: &str, data_centre: &str, revision: u64) {
        let node = AttachedNode {
            vm: vm.to_owned(),
            data_centre: data_centre.to_owned(),
            profile_revision: revision,
            expires_us: now_us + LEASE_US,
        };
        self.nodes.insert(vm.to_owned(), node);
    }

    /// Returns the nodes that are attached to this replica.
    pub fn nodes(&self) -> impl Iterator<Item = &AttachedNode> {
        self.nodes.values()
    }

    /// Removes a node whose stream has ended.
    pub fn remove_node(&mut self, vm: &str) {
        self.nodes.swap_remove(vm);
    }

    /// Records a report of an endpoint and renews its lease. Ignores a report that is older than
    /// the recorded one.
    pub fn record_endpoint(&mut self, now_us: u64, endpoint: Endpoint, origin: Origin) {
        let expires_us = now_us + lease_duration_us(origin);
        let report_order = |e: &Endpoint| (e.incarnation, e.sequence);
        match self.leases.get_mut(&endpoint.vm) {
            Some(lease) if report_order(&lease.endpoint) > report_order(&endpoint) => {}
            Some(lease) if is_equal_except_sequence(&lease.endpoint, &endpoint) => {
                let is_origin_changed = lease.origin != origin;
                lease.expires_us = lease.expires_us.max(expires_us);
                lease.endpoint = endpoint;
                lease.origin = origin;
                if is_origin_changed && origin == Origin::Local {
                    self.local_revision += 1;
                }
            }
            _ => {
                let vm = endpoint.vm.clone();
                let lease = EndpointLease { endpoint, origin, expires_us };
                let previous = self.leases.insert(vm.clone(), lease);
                let previous_service = previous.map(|lease| lease.endpoint.service);
                self.record_change(origin, EndpointChange { vm, previous_service });
            }
        }
    }

    /// Replaces the endpoints that were copied from a replica.
    pub fn replace_remote(&mut self, now_us: u64, replica: u64, endpoints: Vec<Endpoint>) {
        let origin = Origin::Remote(replica);
        let listed: IndexSet<&str> =
            endpoints.iter().map(|endpoint| endpoint.vm.as_str()).collect();
        self.remove_unless(|vm, lease| lease.origin != origin || listed.contains(vm));
        for endpoint in endpoints {
            self.record_endpoint(now_us, endpoint, origin);
        }
    }

    /// Renews the leases of the endpoints that were copied from a replica.
    pub fn renew_remote(&mut self, now_us: u64, replica: u64) {
        let origin = Origin::Remote(replica);
        for lease in self.leases.values_mut().filter(|lease| lease.origin == origin) {
            lease.expires_us = now_us + REMOTE_LEASE_US;
        }
    }

    /// Removes nodes and endpoints whose lease has expired.
    pub fn expire(&mut self, now_us: u64) {
        self.nodes.retain(|_, node| node.expires_us > now_us);
        self.remove_unless(|_, lease| lease.expires_us > now_us);
    }

    /// Removes the endpoints that are not kept.
    fn remove_unless(&mut self, is_kept: impl Fn(&str, &EndpointLease) -> bool) {
        let mut removed = Vec::new();
        self.leases.retain(|vm, lease| {
            let is_kept = is_kept(vm, lease);
            if !is_kept {
                removed.push((lease.origin, vm.clone(), lease.endpoint.service.clone()));
            }
            is_kept
        });
        for (origin, vm, service) in removed {
            self.record_change(origin, EndpointChange { vm, previous_service: Some(service) });
        }
    }

    /// Returns the endpoints of services, without sequence numbers, which increase with every report
    /// and are not a change of the endpoint.
    pub fn endpoints_of(&self, services: &IndexSet<String>) -> Vec<Endpoint> {
        let subscribed = self.endpoints().filter(|endpoint| services.contains(&endpoint.service));
        subscribed.map(without_sequence).collect()
    }

    /// Returns what a node must receive to have the endpoints of `services`. Its cost depends on the
    /// number of changes since, and on the number of endpoints only if the services differ. `None` if
    /// the changes are no longer known, so that the node needs all endpoints.
    pub fn difference(
        &self,
        sent: &SentEndpoints,
        services: &IndexSet<String>,
    ) -> Option<EndpointDifference> {
        let change_count = usize::try_from(self.revision.checked_sub(sent.revision)?).ok()?;
        let first_change = self.changes.len().checked_sub(change_count)?;
        // Whether the node may have received an endpoint of the VM.
        let mut is_known: IndexMap<&str, bool> = IndexMap::new();
        for change in self.changes.range(first_change..) {
            let previous_service = change.previous_service.as_ref();
            let is_sent = previous_service.is_some_and(|service| sent.services.contains(service));
            *is_known.entry(&change.vm).or_default() |= is_sent;
        }
        let mut examined = change_count;
        if sent.services != *services {
            examined += self.leases.len();
            for endpoint in self.endpoints() {
                let is_sent = sent.services.contains(&endpoint.service);
                if is_sent != services.contains(&endpoint.service) {
                    *is_known.entry(&endpoint.vm).or_default() |= is_sent;
                }
            }
        }
        let mut difference = EndpointDifference { examined, ..EndpointDifference::default() };
        for (vm, is_known) in is_known {
            let endpoint = self.leases.get(vm).map(|lease| &lease.endpoint);
            match endpoint.filter(|endpoint| services.contains(&endpoint.service)) {
                Some(endpoint) => difference.endpoints.push(without_sequence(endpoint)),
                None if is_known => difference.removed_vms.push(vm.to_owned()),
                None => {}
            }
        }
        Some(difference)
    }

    /// Returns the endpoints of all origins.
    pub fn endpoints(&self) -> impl Iterator<Item = &Endpoint> {
        self.leases.values().map(|lease| &lease.endpoint)
    }

    /// Returns the endpoints whose node reports to this replica.
    pub fn local_endpoints(&self) -> impl Iterator<Item = &Endpoint> {
        let is_local = |lease: &&EndpointLease| lease.origin == Origin::Local;
        self.leases.values().filter(is_local).map(|lease| &lease.endpoint)
    }

    /// Records a change, and increases the revisions that a change of this origin affects.
    fn record_change(&mut self, origin: Origin, change: EndpointChange) {
        if self.changes.len() == MAX_CHANGES {
            self.changes.pop_front();
        }
        self.changes.push_back(change);
        self.revision += 1;
        if origin == Origin::Local {
            self.local_revision += 1;
        }
    }
}

fn lease_duration_us(origin: Origin) -> u64 {
    match origin {
        Origin::Local => LEASE_US,
        Origin::Remote(_) => REMOTE_LEASE_US,
    }
}

fn without_sequence(endpoint: &Endpoint) -> Endpoint {
    Endpoint { sequence: 0, ..endpoint.clone() }
}

/// Returns whether two reports are equal apart from their sequence numbers.
fn is_equal_except_sequence(a: &Endpoint, b: &Endpoint) -> bool {
    Endpoint { sequence: b.sequence, ..a.clone() } == *b
}

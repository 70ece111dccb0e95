//! Directory of the nodes and their upstream endpoints: soft state with a lease for each entry.

use indexmap::IndexMap;
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

/// Endpoints and attached nodes known to this replica.
#[derive(Debug, Default)]
pub struct Directory {
    leases: IndexMap<String, EndpointLease>,
    nodes: IndexMap<String, AttachedNode>,
    revision: u64,
    local_revision: u64,
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
                self.increase_revisions(origin);
                let lease = EndpointLease { endpoint, origin, expires_us };
                self.leases.insert(lease.endpoint.vm.clone(), lease);
            }
        }
    }

    /// Replaces the endpoints that were copied from a replica.
    pub fn replace_remote(&mut self, now_us: u64, replica: u64, endpoints: Vec<Endpoint>) {
        let origin = Origin::Remote(replica);
        let removed: Vec<String> = self
            .leases
            .iter()
            .filter(|(vm, lease)| lease.origin == origin && !endpoints.iter().any(|e| e.vm == **vm))
            .map(|(vm, _)| vm.clone())
            .collect();
        for vm in removed {
            self.leases.swap_remove(&vm);
            self.increase_revisions(origin);
        }
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
        let mut expired = Vec::new();
        self.leases.retain(|_, lease| {
            let is_kept = lease.expires_us > now_us;
            if !is_kept {
                expired.push(lease.origin);
            }
            is_kept
        });
        for origin in expired {
            self.increase_revisions(origin);
        }
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

    /// Increases the revisions that a change of this origin affects.
    fn increase_revisions(&mut self, origin: Origin) {
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

/// Returns whether two reports are equal apart from their sequence numbers.
fn is_equal_except_sequence(a: &Endpoint, b: &Endpoint) -> bool {
    Endpoint { sequence: b.sequence, ..a.clone() } == *b
}

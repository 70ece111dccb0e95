//! Soft state: the endpoints that nodes announce, each with a lease.

use indexmap::IndexMap;
use rpc::Endpoint;

/// Time for which an endpoint is kept without news of it, in microseconds.
const LEASE_US: u64 = 3_000_000;
/// Time for which the endpoints of another replica are kept without contact, in microseconds.
const REMOTE_LEASE_US: u64 = 30_000_000;

/// Where news of an endpoint came from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// The node reports here.
    Local,
    /// The node reports to another replica.
    Remote(u64),
}

#[derive(Debug, Clone)]
struct Listing {
    endpoint: Endpoint,
    origin: Origin,
    expires_us: u64,
}

/// What a node last said of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AttachedNode {
    /// VM.
    pub vm: String,
    /// Data centre.
    pub data_centre: String,
    /// Revision of the profiles in force there.
    pub profile_revision: u64,
    expires_us: u64,
}

/// Endpoints known to one replica.
#[derive(Debug, Default)]
pub struct Directory {
    listings: IndexMap<String, Listing>,
    nodes: IndexMap<String, AttachedNode>,
    revision: u64,
    local_revision: u64,
}

impl Directory {
    /// Starts empty. The revisions start at a value that no earlier process used.
    pub fn new(first_revision: u64) -> Self {
        Self { revision: first_revision, local_revision: first_revision, ..Self::default() }
    }

    /// Returns the revision, which grows with every change to the endpoints.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the revision of the endpoints that report here.
    pub fn local_revision(&self) -> u64 {
        self.local_revision
    }

    /// Takes a node's report of itself into account.
    pub fn record_node(&mut self, now_us: u64, vm: &str, data_centre: &str, revision: u64) {
        let node = AttachedNode {
            vm: vm.to_owned(),
            data_centre: data_centre.to_owned(),
            profile_revision: revision,
            expires_us: now_us + LEASE_US,
        };
        self.nodes.insert(vm.to_owned(), node);
    }

    /// Returns the nodes that report here.
    pub fn nodes(&self) -> impl Iterator<Item = &AttachedNode> {
        self.nodes.values()
    }

    /// Forgets a node that ended its stream.
    pub fn detach(&mut self, vm: &str) {
        self.nodes.swap_remove(vm);
    }

    /// Takes news of an endpoint into account. Older news than known is ignored.
    pub fn record(&mut self, now_us: u64, endpoint: Endpoint, origin: Origin) {
        let expires_us = now_us + lease_us(origin);
        let position = |e: &Endpoint| (e.incarnation, e.sequence);
        match self.listings.get_mut(&endpoint.vm) {
            Some(listing) if position(&listing.endpoint) > position(&endpoint) => {}
            Some(listing) if is_same(&listing.endpoint, &endpoint) => {
                let is_moved = listing.origin != origin;
                listing.expires_us = listing.expires_us.max(expires_us);
                listing.endpoint = endpoint;
                listing.origin = origin;
                if is_moved && origin == Origin::Local {
                    self.local_revision += 1;
                }
            }
            _ => {
                self.bump(origin);
                let listing = Listing { endpoint, origin, expires_us };
                self.listings.insert(listing.endpoint.vm.clone(), listing);
            }
        }
    }

    /// Replaces the endpoints that report to another replica.
    pub fn replace_remote(&mut self, now_us: u64, replica: u64, endpoints: Vec<Endpoint>) {
        let origin = Origin::Remote(replica);
        let gone: Vec<String> = self
            .listings
            .iter()
            .filter(|(vm, listing)| {
                listing.origin == origin && !endpoints.iter().any(|e| e.vm == **vm)
            })
            .map(|(vm, _)| vm.clone())
            .collect();
        for vm in gone {
            self.listings.swap_remove(&vm);
            self.bump(origin);
        }
        for endpoint in endpoints {
            self.record(now_us, endpoint, origin);
        }
    }

    /// Renews the endpoints that report to another replica.
    pub fn renew_remote(&mut self, now_us: u64, replica: u64) {
        let origin = Origin::Remote(replica);
        for listing in self.listings.values_mut().filter(|listing| listing.origin == origin) {
            listing.expires_us = now_us + REMOTE_LEASE_US;
        }
    }

    /// Drops what was not renewed in time.
    pub fn expire(&mut self, now_us: u64) {
        self.nodes.retain(|_, node| node.expires_us > now_us);
        let mut expired = Vec::new();
        self.listings.retain(|_, listing| {
            let is_kept = listing.expires_us > now_us;
            if !is_kept {
                expired.push(listing.origin);
            }
            is_kept
        });
        for origin in expired {
            self.bump(origin);
        }
    }

    /// Returns every endpoint.
    pub fn endpoints(&self) -> impl Iterator<Item = &Endpoint> {
        self.listings.values().map(|listing| &listing.endpoint)
    }

    /// Returns the endpoints that report here.
    pub fn local_endpoints(&self) -> impl Iterator<Item = &Endpoint> {
        let is_local = |listing: &&Listing| listing.origin == Origin::Local;
        self.listings.values().filter(is_local).map(|listing| &listing.endpoint)
    }

    fn bump(&mut self, origin: Origin) {
        self.revision += 1;
        if origin == Origin::Local {
            self.local_revision += 1;
        }
    }
}

fn lease_us(origin: Origin) -> u64 {
    match origin {
        Origin::Local => LEASE_US,
        Origin::Remote(_) => REMOTE_LEASE_US,
    }
}

/// Returns whether two reports differ in nothing but their sequence.
fn is_same(a: &Endpoint, b: &Endpoint) -> bool {
    Endpoint { sequence: b.sequence, ..a.clone() } == *b
}

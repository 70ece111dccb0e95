//! Order in which a node tries the control replicas (rendezvous hashing).
//!
//! Each node has an order of its own, so that the nodes of a replica that is lost spread over all
//! others, and the order of the remaining replicas does not change when one is added or removed.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;

use model::VmName;

/// Sorts the addresses of the control replicas in the order in which the node of a VM tries them.
pub fn sort_replicas(vm: &VmName, replicas: &mut [SocketAddr]) {
    replicas.sort_by_cached_key(|address| {
        let mut hasher = DefaultHasher::new();
        vm.hash(&mut hasher);
        address.hash(&mut hasher);
        hasher.finish()
    });
}

//! Nodes spread over the control replicas, also over those that remain when one is lost.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use model::VmName;
use policy::control_order::sort_replicas;

/// Nodes of the deployment that the project is designed for.
const NODES: usize = 980;
const REPLICAS: u16 = 7;

fn replicas() -> Vec<SocketAddr> {
    (1..=REPLICAS).map(|port| SocketAddr::from(([127, 0, 0, 1], port))).collect()
}

fn orders(replicas: &[SocketAddr]) -> Vec<Vec<SocketAddr>> {
    let order = |index: usize| {
        let vm = VmName::new(format!("vm-{index}")).expect("the name is valid");
        let mut order = replicas.to_vec();
        sort_replicas(&vm, &mut order);
        order
    };
    (0..NODES).map(order).collect()
}

/// Returns how many nodes try each replica first.
fn first_counts<'a>(
    orders: impl Iterator<Item = &'a Vec<SocketAddr>>,
) -> BTreeMap<SocketAddr, usize> {
    let mut counts = BTreeMap::new();
    for order in orders {
        *counts.entry(order[0]).or_default() += 1;
    }
    counts
}

#[test]
fn nodes_spread_over_all_replicas() {
    let counts = first_counts(orders(&replicas()).iter());
    let mean = NODES / usize::from(REPLICAS);
    assert_eq!(counts.len(), usize::from(REPLICAS));
    assert!(counts.values().all(|count| *count < mean * 3 / 2), "{counts:?}");
}

/// Without this, all nodes of a lost replica attach to the same other one at the same moment.
#[test]
fn nodes_of_a_lost_replica_spread_over_all_others() {
    let lost = replicas()[2];
    let orders = orders(&replicas());
    let moved: Vec<_> =
        orders.into_iter().filter(|order| order[0] == lost).map(|o| o[1..].to_vec()).collect();
    let counts = first_counts(moved.iter());
    let mean = moved.len() / usize::from(REPLICAS - 1);
    assert_eq!(counts.len(), usize::from(REPLICAS - 1));
    assert!(counts.values().all(|count| *count < mean * 2), "{counts:?}");
}

#[test]
fn order_of_the_others_is_kept_when_a_replica_is_removed() {
    let mut fewer = replicas();
    let removed = fewer.remove(4);
    for (mut before, after) in orders(&replicas()).into_iter().zip(orders(&fewer)) {
        before.retain(|address| *address != removed);
        assert_eq!(before, after);
    }
}

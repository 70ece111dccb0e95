//! Endpoints that a node receives, and the work that a change of the directory causes.

use control::directory::{Directory, EndpointDifference, Origin, SentEndpoints};
use indexmap::{IndexMap, IndexSet};
use proptest::prelude::*;
use rpc::Endpoint;

const NODES_PER_SERVICE: usize = 9;

fn endpoint(vm: usize, service: usize, slots: u32, sequence: u64) -> Endpoint {
    Endpoint {
        vm: format!("vm-{vm}"),
        service: format!("service-{service}"),
        slots,
        incarnation: 1,
        sequence,
        ..Endpoint::default()
    }
}

fn services(numbers: impl IntoIterator<Item = usize>) -> IndexSet<String> {
    numbers.into_iter().map(|number| format!("service-{number}")).collect()
}

/// Sends what a stream to a node sends. Returns the number of entries examined.
fn send(directory: &Directory, sent: &mut SentEndpoints, wanted: &IndexSet<String>) -> usize {
    let difference = directory.difference(sent, wanted).expect("the changes are known");
    *sent = SentEndpoints { revision: directory.revision(), services: wanted.clone() };
    difference.examined
}

/// Returns the work of sending one change of an endpoint to all nodes, each of which has the
/// endpoints of all services, as mesh nodes do.
fn work_per_change(node_count: usize) -> usize {
    let mut directory = Directory::new(1);
    for vm in 0..node_count {
        directory.record_endpoint(0, endpoint(vm, vm / NODES_PER_SERVICE, 1, 1), Origin::Local);
    }
    let wanted = services(0..=node_count / NODES_PER_SERVICE);
    let sent = SentEndpoints { revision: directory.revision(), services: wanted.clone() };
    let mut streams = vec![sent; node_count];
    directory.record_endpoint(0, endpoint(0, 0, 2, 2), Origin::Local);
    streams.iter_mut().map(|sent| send(&directory, sent, &wanted)).sum()
}

/// Guards against work that grows with the square of the number of nodes: each of N streams compared
/// all N endpoints for each change.
#[test]
fn work_for_a_change_is_linear_in_the_number_of_nodes() {
    assert_eq!(work_per_change(100), 100);
    assert_eq!(work_per_change(800), 800);
}

/// Guards against work for reports that change nothing.
#[test]
fn reports_without_a_change_cause_no_work() {
    let mut directory = Directory::new(1);
    directory.record_endpoint(0, endpoint(0, 0, 1, 1), Origin::Local);
    let wanted = services([0]);
    let mut sent = SentEndpoints { revision: directory.revision(), services: wanted.clone() };
    for sequence in 2..100 {
        directory.record_endpoint(0, endpoint(0, 0, 1, sequence), Origin::Local);
        assert_eq!(send(&directory, &mut sent, &wanted), 0);
    }
}

/// Guards against a node that keeps stale endpoints after it has lagged far behind.
#[test]
fn node_that_lags_far_behind_needs_all_endpoints() {
    let mut directory = Directory::new(1);
    let sent = SentEndpoints { revision: directory.revision(), services: services([0]) };
    for change in 0..10_000 {
        directory.record_endpoint(0, endpoint(0, 0, change, u64::from(change)), Origin::Local);
    }
    assert_eq!(directory.difference(&sent, &services([0])), None);
}

/// Guards against an unknown revision, such as that of another process, that is taken as current.
#[test]
fn node_with_an_unknown_revision_needs_all_endpoints() {
    let directory = Directory::new(100);
    for revision in [0, 99, 101] {
        let sent = SentEndpoints { revision, services: services([0]) };
        assert_eq!(directory.difference(&sent, &services([0])), None, "{revision}");
    }
}

#[derive(Debug, Clone)]
enum Step {
    Report { vm: usize, service: usize, slots: u32 },
    Copy { vms: Vec<usize>, service: usize },
    Expire,
    Subscribe(Vec<usize>),
    Send,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..6_usize, 0..4_usize, 0..3_u32)
            .prop_map(|(vm, service, slots)| Step::Report { vm, service, slots }),
        1 => (prop::collection::vec(4..9_usize, 0..4), 0..4_usize)
            .prop_map(|(vms, service)| Step::Copy { vms, service }),
        1 => Just(Step::Expire),
        1 => prop::collection::vec(0..4_usize, 0..4).prop_map(Step::Subscribe),
        3 => Just(Step::Send),
    ]
}

fn apply(known: &mut IndexMap<String, Endpoint>, difference: EndpointDifference) {
    for vm in difference.removed_vms {
        known.swap_remove(&vm);
    }
    for endpoint in difference.endpoints {
        known.insert(endpoint.vm.clone(), endpoint);
    }
}

proptest! {
    /// Guards against a difference between the endpoints that a node has and those in the directory,
    /// whatever changes, expires, or is subscribed between two updates.
    #[test]
    fn node_has_the_endpoints_of_its_services(steps in prop::collection::vec(step(), 0..60)) {
        let mut directory = Directory::new(1);
        let mut wanted = services([0, 1]);
        let mut sent = SentEndpoints { revision: directory.revision(), services: wanted.clone() };
        let mut known = IndexMap::new();
        let mut now_us = 0;
        for (sequence, step) in steps.into_iter().enumerate() {
            now_us += 500_000;
            match step {
                Step::Report { vm, service, slots } => {
                    let report = endpoint(vm, service, slots, sequence as u64);
                    directory.record_endpoint(now_us, report, Origin::Local);
                }
                Step::Copy { vms, service } => {
                    let copies = vms.into_iter();
                    let copies = copies.map(|vm| endpoint(vm, service, 1, sequence as u64));
                    directory.replace_remote(now_us, 7, copies.collect());
                }
                Step::Expire => directory.expire(now_us),
                Step::Subscribe(numbers) => wanted = services(numbers),
                Step::Send => {
                    let difference = directory.difference(&sent, &wanted).expect("known changes");
                    apply(&mut known, difference);
                    sent = SentEndpoints {
                        revision: directory.revision(),
                        services: wanted.clone(),
                    };
                    let expected = directory.endpoints_of(&wanted);
                    let expected: IndexMap<_, _> =
                        expected.into_iter().map(|e| (e.vm.clone(), e)).collect();
                    prop_assert_eq!(&known, &expected);
                }
            }
        }
    }
}

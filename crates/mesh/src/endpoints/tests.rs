//! A node does not forget that an upstream has said that it leaves, whatever others report.

use model::{DataCentreName, ServiceName, VmName};
use policy::placement::{PlacementLoad, PlacementResult};
use slog::{Discard, Logger, o};

use super::EndpointTable;
use crate::ingress::NodeLoad;

const INCARNATION: u64 = 1;
const RESTARTED_INCARNATION: u64 = 2;

fn endpoint(incarnation: u64, started_unix_ms: u64) -> rpc::Endpoint {
    rpc::Endpoint {
        vm: "vm-1".to_owned(),
        data_centre: "osu".to_owned(),
        service: "books".to_owned(),
        peer_address: "127.0.0.1:8300".to_owned(),
        slots: 20,
        incarnation,
        upstream: Some(rpc::UpstreamProcess {
            instance_id: "i-1".to_owned(),
            address: "127.0.0.1:8301".to_owned(),
            started_unix_ms,
            ..rpc::UpstreamProcess::default()
        }),
        ..rpc::Endpoint::default()
    }
}

/// Returns whether the VM is chosen after these endpoints, the first of which said that it leaves.
fn is_chosen_after(later: &[rpc::Endpoint]) -> bool {
    let data_centre = DataCentreName::new("osu").expect("the name is valid");
    let service = ServiceName::new("books").expect("the name is valid");
    let table = EndpointTable::new(Logger::root(Discard, o!()), data_centre);
    table.upsert(&endpoint(INCARNATION, 1_000));
    assert!(table.choose(0, &service, &[]).is_some());
    table.record_leaving(&service, &VmName::new("vm-1").expect("the name is valid"));
    for endpoint in later {
        table.upsert(endpoint);
    }
    table.choose(0, &service, &[]).is_some()
}

macro_rules! endpoints_after_a_notice {
    ($($name:ident: $later:expr => $is_chosen:literal;)*) => {
        $(
            #[test]
            fn $name() {
                assert_eq!(is_chosen_after(&$later), $is_chosen);
            }
        )*
    };
}

endpoints_after_a_notice! {
    leaving_upstream_is_not_chosen: [] => false;
    leaving_upstream_is_not_chosen_when_control_lists_it_as_ready:
        [endpoint(INCARNATION, 1_000)] => false;
    leaving_upstream_is_not_chosen_when_its_node_has_restarted_and_forgot:
        [endpoint(RESTARTED_INCARNATION, 1_000)] => false;
    upstream_that_started_again_under_its_id_is_chosen: [endpoint(INCARNATION, 2_000)] => true;
}

const LOAD: NodeLoad = NodeLoad {
    placement: PlacementLoad { in_flight: 0, queued: 0, limit: 20 },
    rates: None,
    is_leaving: true,
    overload_permille: 0,
};

/// Returns whether a VM that control has unlisted is chosen after an attempt with this result.
fn is_chosen_when_unlisted(result: PlacementResult, load: Option<NodeLoad>) -> bool {
    let data_centre = DataCentreName::new("osu").expect("the name is valid");
    let service = ServiceName::new("books").expect("the name is valid");
    let vm = VmName::new("vm-1").expect("the name is valid");
    let table = EndpointTable::new(Logger::root(Discard, o!()), data_centre);
    table.upsert(&endpoint(INCARNATION, 1_000));
    table.unlist(0, "vm-1");
    assert!(table.choose(0, &service, &[]).is_some());
    table.finish_attempt(0, &service, &vm, result, load);
    table.choose(0, &service, &[]).is_some()
}

macro_rules! unlisted_vms {
    ($($name:ident: $result:expr, $load:expr => $is_chosen:literal;)*) => {
        $(
            #[test]
            fn $name() {
                assert_eq!(is_chosen_when_unlisted($result, $load), $is_chosen);
            }
        )*
    };
}

unlisted_vms! {
    unlisted_vm_whose_node_reports_no_upstream_is_not_chosen:
        PlacementResult::Leaving, Some(LOAD) => false;
    unlisted_vm_that_answers_is_chosen:
        PlacementResult::Succeeded, Some(NodeLoad { is_leaving: false, ..LOAD }) => true;
    unlisted_vm_that_cannot_be_reached_is_chosen_as_a_last_resort:
        PlacementResult::Unreachable, None => true;
}

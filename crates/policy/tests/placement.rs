//! Tests of placement, weighted splits and the shared retry budget.

use model::{DataCentreName, VmName};
use policy::placement::{Placement, PlacementLoad, PlacementResult};
use policy::shared_retry_budget::{RetryBounds, SharedRetryBudget};
use policy::weighted_split::WeightedSplit;
use proptest::prelude::*;

const S: u64 = 1_000_000;
const MS: u64 = 1_000;

fn vm(name: &str) -> VmName {
    VmName::new(name).expect("the name is valid")
}

/// Returns a placement in data centre `a` over these VMs. The first letter of a VM is its data
/// centre.
fn placement(vms: &[&str]) -> Placement {
    let data_centre = |name: &str| DataCentreName::new(&name[..1]).expect("the name is valid");
    let mut placement = Placement::new(data_centre("a"));
    for name in vms {
        placement.upsert(&vm(name), &data_centre(name), false);
    }
    placement
}

fn load(in_flight: u32, queued: u32) -> PlacementLoad {
    PlacementLoad { in_flight, queued, limit: 10 }
}

/// Checks which VM is chosen after reports of `(vm, in_flight, queued)`.
fn check(reports: &[(&str, u32, u32)], expected: &str) {
    let names: Vec<&str> = reports.iter().map(|(name, ..)| *name).collect();
    let mut placement = placement(&names);
    for (name, in_flight, queued) in reports {
        placement.report(&vm(name), load(*in_flight, *queued));
    }
    assert_eq!(placement.choose(S, &[], 7), Some(vm(expected)));
}

macro_rules! placement_cases {
    ($($name:ident: $reports:expr => $expected:literal;)*) => {
        $(
            #[test]
            fn $name() {
                check(&$reports, $expected);
            }
        )*
    };
}

placement_cases! {
    own_data_centre_is_preferred_below_spill_utilization: [("a1", 5, 0), ("b1", 0, 0)] => "a1";
    full_own_data_centre_spills_over_to_another: [("a1", 10, 3), ("b1", 1, 0)] => "b1";
    own_data_centre_is_preferred_when_all_are_full: [("a1", 10, 0), ("b1", 10, 0)] => "a1";
    less_loaded_vm_is_chosen: [("a1", 6, 0), ("a2", 2, 0)] => "a2";
    queued_calls_count_as_load: [("a1", 3, 6), ("a2", 5, 0)] => "a2";
}

#[test]
fn calls_sent_since_report_count_as_load() {
    let mut placement = placement(&["a1", "a2"]);
    placement.report(&vm("a1"), load(2, 0));
    placement.report(&vm("a2"), load(3, 0));
    let chosen: Vec<_> = (0..6).filter_map(|_| placement.choose(S, &[], 7)).collect();
    assert!(chosen.contains(&vm("a2")), "{chosen:?}");
}

#[test]
fn unreachable_vm_is_avoided_then_probed_by_one_call() {
    let mut placement = placement(&["a1", "b1"]);
    assert_eq!(placement.choose(S, &[], 7), Some(vm("a1")));
    placement.finish(S, &vm("a1"), PlacementResult::Unreachable);
    assert_eq!(placement.choose(S + 100 * MS, &[], 7), Some(vm("b1")));
    assert_eq!(placement.choose(S + 300 * MS, &[], 7), Some(vm("a1")), "a probe");
    assert_eq!(placement.choose(S + 300 * MS, &[], 7), Some(vm("b1")), "one probe at a time");
    placement.finish(S + 310 * MS, &vm("a1"), PlacementResult::Succeeded);
    assert_eq!(placement.choose(S + 320 * MS, &[], 7), Some(vm("a1")));
}

#[test]
fn unreachable_vm_is_chosen_if_it_is_the_only_one() {
    let mut placement = placement(&["a1"]);
    placement.finish(S, &vm("a1"), PlacementResult::Unreachable);
    assert_eq!(placement.choose(S, &[], 7), Some(vm("a1")));
    assert_eq!(placement.choose(S, &[vm("a1")], 7), None);
}

/// Simulates calls to two VMs, one of which fails a percentage of its calls. Returns the failed
/// share of all calls.
fn simulate_failed_share(failing_percent: u64) -> f64 {
    let mut placement = placement(&["a1", "a2"]);
    let mut failed = 0;
    for call in 0..400u64 {
        let now_us = S + call * 10 * MS;
        let random = call.wrapping_mul(0x9E37_79B9_7F4A_7C15);
        let chosen = placement.choose(now_us, &[], random).expect("a VM");
        let has_failed = chosen == vm("a1") && call * 37 % 100 < failing_percent;
        failed += u64::from(has_failed);
        let result = if has_failed { PlacementResult::Failed } else { PlacementResult::Succeeded };
        placement.finish(now_us + MS, &chosen, result);
        placement.report(&chosen, load(1, 0));
    }
    failed as f64 / 400.0
}

#[test]
fn calls_move_away_from_partially_failing_vm() {
    // With an even split, half of the 40 % would fail.
    assert!(simulate_failed_share(40) < 0.05, "{}", simulate_failed_share(40));
}

#[test]
fn vm_without_report_is_chosen_first() {
    let mut placement = placement(&["a1", "a2"]);
    placement.report(&vm("a1"), PlacementLoad { limit: 19, ..load(0, 0) });
    for random in 0..20 {
        assert_eq!(placement.choose(S, &[], random), Some(vm("a2")));
        placement.cancel(&vm("a2"));
    }
}

#[test]
fn leaving_vm_is_not_chosen() {
    let mut placement = placement(&["a1", "b1"]);
    placement.upsert(&vm("a1"), &DataCentreName::new("a").unwrap(), true);
    assert_eq!(placement.choose(S, &[], 7), Some(vm("b1")));
}

proptest! {
    #[test]
    fn weighted_split_matches_weights(first in 1u32..100, second in 0u32..100, start: u64) {
        let weights = [f64::from(first), f64::from(second)];
        let weighted_split = WeightedSplit::new(weights, start);
        let count = (0..300).filter(|_| weighted_split.next() == 0).count() as f64;
        let share = weights[0] / (weights[0] + weights[1]);
        prop_assert!((count / 300.0 - share).abs() < 0.02, "{count} of 300, share {share}");
    }

    #[test]
    fn retries_of_all_nodes_stay_within_bounds(
        nodes in 1usize..80,
        requests_per_s in 0u64..200,
        seed: u64,
    ) {
        let bounds = RetryBounds { ratio: 0.2, slack: 60.0, window_s: 10.0 };
        let mut budget = SharedRetryBudget::new(0, bounds, nodes);
        let mut granted = 0u64;
        for step in 0..1_000 {
            let now_us = step * 10 * MS;
            if (step * requests_per_s / 100) != ((step + 1) * requests_per_s / 100) {
                budget.record_request(now_us, bounds, nodes);
            }
            if (seed >> (step % 64)) & 1 == 0 && budget.withdraw(now_us, bounds, nodes, 1.0) {
                granted += 1;
            }
        }
        let requests = requests_per_s.min(100) as f64 * 10.0 * nodes as f64;
        let allowed = bounds.ratio * requests + bounds.slack;
        prop_assert!(
            (granted * nodes as u64) as f64 <= allowed,
            "{granted} retries per node, {allowed} allowed over all nodes"
        );
    }
}

#[test]
fn retries_earned_before_fault_are_available_during_fault() {
    let bounds = RetryBounds { ratio: 0.2, slack: 60.0, window_s: 10.0 };
    let mut budget = SharedRetryBudget::new(0, bounds, 12);
    // Ten requests per second for ten seconds, then a fault in which ten calls fail once each.
    for step in 0..100 {
        budget.record_request(step * 100 * MS, bounds, 12);
    }
    let granted = (0..10).filter(|_| budget.withdraw(10 * S, bounds, 12, 1.0)).count();
    assert!(granted >= 5, "{granted} of 10 retries granted");
}

#[test]
fn retry_with_cost_three_is_granted_from_earned_retries() {
    let bounds = RetryBounds { ratio: 0.2, slack: 60.0, window_s: 10.0 };
    let mut budget = SharedRetryBudget::new(0, bounds, 12);
    for step in 0..100 {
        budget.record_request(step * 100 * MS, bounds, 12);
    }
    assert!(budget.withdraw(10 * S, bounds, 12, 3.0));
}

//! Tests of placement, weighted splits and the shared retry budget.

use model::{DataCentreName, VmName};
use policy::placement::{Placement, PlacementLoad, PlacementResult};
use policy::retry_cost::RetryCosts;
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

/// A chain of services in which each call is lost with the same probability and retried as the
/// budgets of one node allow. Counts the arrivals at each service.
struct LossyChain {
    now_us: u64,
    is_fault: bool,
    budgets: Vec<SharedRetryBudget>,
    costs: RetryCosts,
    random: u64,
    /// Arrivals at the last service, first and repeated ones.
    deep_requests: Vec<u64>,
    deep_repeats: Vec<u64>,
}

impl LossyChain {
    const NODES: usize = 12;
    const BOUNDS: RetryBounds = RetryBounds { ratio: 0.2, slack: 60.0, window_s: 10.0 };
    /// Calls that a run at each service makes to the next one.
    const FAN_OUT: [u32; 4] = [1, 1, 5, 0];

    /// Calls a service, with a retry if the answer is lost. Returns the calls made below, or `None`
    /// if the call fails.
    fn call(&mut self, service: usize, is_repeat: bool) -> Option<u32> {
        let now_us = self.now_us;
        match is_repeat {
            true => self.budgets[service].charge(now_us, Self::BOUNDS, Self::NODES),
            false => self.budgets[service].record_request(now_us, Self::BOUNDS, Self::NODES),
        }
        if let Some(calls) = self.run(service, is_repeat) {
            return Some(calls);
        }
        let cost = self.costs.cost(service as u64);
        let budget = &mut self.budgets[service];
        match budget.withdraw(now_us, Self::BOUNDS, Self::NODES, cost) {
            true => self.run(service, true),
            false => None,
        }
    }

    fn run(&mut self, service: usize, is_repeat: bool) -> Option<u32> {
        if service == Self::FAN_OUT.len() - 1 {
            let arrivals = if is_repeat { &mut self.deep_repeats } else { &mut self.deep_requests };
            arrivals.push(self.now_us);
        }
        let mut calls = 0;
        for _ in 0..Self::FAN_OUT[service] {
            calls += 1 + self.call(service + 1, is_repeat)?;
        }
        self.random = self.random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        let is_lost = self.is_fault && self.random >> 33 & 0xff < 0x40;
        (!is_lost).then(|| {
            self.costs.record_answer(service as u64, calls);
            calls
        })
    }
}

/// Lost answers at every level of a call chain: a retried request repeats all its calls, which are
/// retried themselves.
#[test]
fn repeats_below_retried_requests_stay_within_bounds() {
    const REQUESTS_PER_S: u64 = 14;
    let budget = SharedRetryBudget::new(0, LossyChain::BOUNDS, LossyChain::NODES);
    let mut chain = LossyChain {
        now_us: 0,
        is_fault: false,
        budgets: vec![budget; LossyChain::FAN_OUT.len()],
        costs: RetryCosts::new(),
        random: 1,
        deep_requests: Vec::new(),
        deep_repeats: Vec::new(),
    };
    for step in 0..40 * REQUESTS_PER_S {
        chain.now_us = step * S / REQUESTS_PER_S;
        chain.is_fault = (10 * S..25 * S).contains(&chain.now_us);
        chain.call(0, false);
    }
    let count = |arrivals: &[u64], window: &std::ops::Range<u64>| {
        arrivals.iter().filter(|arrival| window.contains(arrival)).count() as f64
    };
    for start_s in 0..30 {
        let window = start_s * S..(start_s + 10) * S;
        // The node's part of the slack counts here, since only one node is simulated.
        let slack = LossyChain::BOUNDS.slack / LossyChain::NODES as f64;
        let allowed = LossyChain::BOUNDS.ratio * count(&chain.deep_requests, &window) + slack;
        let repeats = count(&chain.deep_repeats, &window);
        assert!(repeats <= allowed, "{repeats} repeats from {start_s} s, {allowed} allowed");
    }
}

#[test]
fn overdrawn_budget_covers_retries_again_after_some_windows() {
    let bounds = RetryBounds { ratio: 0.2, slack: 60.0, window_s: 10.0 };
    let mut budget = SharedRetryBudget::new(0, bounds, 12);
    for _ in 0..50 {
        budget.charge(0, bounds, 12);
    }
    assert!(!budget.withdraw(0, bounds, 12, 1.0));
    for step in 0..600 {
        budget.record_request(step * 100 * MS, bounds, 12);
    }
    assert!(budget.withdraw(60 * S, bounds, 12, 1.0));
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

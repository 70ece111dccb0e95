//! What one node expects of VMs that it knows little of, or that are cold, full, failing or stuck.

use model::VmName;
use policy::estimated_load::{CrossingCause, EstimatedLoad, NextChoice};
use policy::placement::{PlacementLoad, PlacementResult};
use policy::vm_rates::VmRates;

use crate::simulation::{MS, S, data_centre};

const RATES: VmRates = VmRates {
    arrivals_per_s: 250,
    completions_per_s: 250,
    service_us: 40_000,
    no_completion_ms: 2,
};
const USUAL: PlacementLoad = PlacementLoad { in_flight: 10, queued: 0, limit: 19 };
const FULL: PlacementLoad = PlacementLoad { in_flight: 19, queued: 60, limit: 19 };
const IDLE: PlacementLoad = PlacementLoad { in_flight: 0, queued: 0, limit: 19 };
const IDLE_RATES: VmRates = VmRates { arrivals_per_s: 0, completions_per_s: 0, ..RATES };

fn vm(name: &str) -> VmName {
    VmName::new(name).expect("the name is valid")
}

/// Returns a balancer in data centre 0. The number after the letter `d` of a VM's name is its data
/// centre.
fn balancer(vms: &[&str]) -> EstimatedLoad {
    let mut balancer = EstimatedLoad::new(data_centre(0));
    for name in vms {
        let index = usize::from(name.as_bytes()[1] - b'0');
        balancer.upsert(&vm(name), &data_centre(index), false);
    }
    balancer
}

/// Returns how many of 1,000 calls go to a VM, each ended at once without a report.
fn calls_of_1000(balancer: &mut EstimatedLoad, now_us: u64, name: &str) -> usize {
    let choose = |seed: u64| {
        let random = seed.wrapping_mul(0x9E37_79B9_7F4A_7C15);
        let chosen = balancer.choose(now_us, &[], random).expect("there is a VM").vm;
        balancer.cancel(&chosen);
        chosen
    };
    (0..1_000).map(choose).filter(|chosen| *chosen == vm(name)).count()
}

/// Returns the calls of a VM that reported once, an age ago, while three others report each 100 ms.
fn calls_after_report(load: PlacementLoad, rates: VmRates, age_us: u64) -> usize {
    let mut balancer = balancer(&["d0-a", "d0-b", "d0-c", "d0-d"]);
    balancer.report(S, &vm("d0-a"), load, Some(rates));
    let now_us = S + age_us;
    for step in 0..=age_us / (100 * MS) {
        for name in ["d0-b", "d0-c", "d0-d"] {
            balancer.report(S + step * 100 * MS, &vm(name), USUAL, Some(RATES));
        }
    }
    calls_of_1000(&mut balancer, now_us, "d0-a")
}

macro_rules! reports_by_age {
    ($($name:ident: $load:expr, $rates:expr, $age_us:expr => $calls:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let found = calls_after_report($load, $rates, $age_us);
                assert!($calls.contains(&found), "{found} of 1,000");
            }
        )*
    };
}

reports_by_age! {
    vm_that_just_reported_that_it_is_full_gets_no_calls: FULL, RATES, 0 => 0..=20;
    vm_that_was_full_long_ago_gets_its_share: FULL, RATES, 10 * S => 150..=350;
    vm_that_just_reported_that_it_is_idle_gets_most_calls: IDLE, IDLE_RATES, 0 => 450..=750;
    vm_that_was_idle_long_ago_gets_its_share: IDLE, IDLE_RATES, 10 * S => 150..=350;
    vm_that_was_half_as_fast_a_moment_ago_gets_half:
        USUAL, VmRates { service_us: 80_000, completions_per_s: 125, ..RATES }, 500 * MS => 60..=180;
    vm_that_was_half_as_fast_long_ago_gets_its_share:
        USUAL, VmRates { service_us: 80_000, completions_per_s: 125, ..RATES }, 60 * S => 190..=330;
    stuck_vm_gets_no_calls_but_a_probe:
        USUAL, VmRates { no_completion_ms: 900, ..RATES }, 0 => 0..=1;
    cold_vm_with_half_the_limit_gets_half:
        PlacementLoad { in_flight: 5, queued: 0, limit: 9 }, VmRates { completions_per_s: 125, arrivals_per_s: 125, ..RATES }, 200 * MS => 60..=190;
}

/// Guards against all nodes sending their calls to a VM that none of them has seen.
#[test]
fn vm_that_was_never_seen_is_not_fast() {
    let mut balancer = balancer(&["d0-a", "d0-b", "d0-c", "d0-d"]);
    for name in ["d0-b", "d0-c", "d0-d"] {
        balancer.report(S, &vm(name), USUAL, Some(RATES));
    }
    let calls = calls_of_1000(&mut balancer, S, "d0-a");
    assert!((50..=250).contains(&calls), "{calls} of 1,000");
}

/// Guards against nodes of older versions, which report no rates, getting no calls or all.
#[test]
fn vm_that_reports_no_rates_gets_its_share() {
    let mut balancer = balancer(&["d0-a", "d0-b", "d0-c", "d0-d"]);
    balancer.report(S, &vm("d0-a"), USUAL, None);
    for name in ["d0-b", "d0-c", "d0-d"] {
        balancer.report(S, &vm(name), USUAL, Some(RATES));
    }
    let calls = calls_of_1000(&mut balancer, S, "d0-a");
    assert!((150..=350).contains(&calls), "{calls} of 1,000");
}

/// Returns the choice between a VM of the own data centre and one of another.
fn crossing(own: PlacementLoad, other: PlacementLoad) -> Option<CrossingCause> {
    let mut balancer = balancer(&["d0-a", "d1-a"]);
    balancer.report(S, &vm("d0-a"), own, Some(RATES));
    balancer.report(S, &vm("d1-a"), other, Some(RATES));
    balancer.choose(S, &[], 7).expect("there is a VM").crossing
}

macro_rules! crossings {
    ($($name:ident: $own:expr, $other:expr => $cause:expr;)*) => {
        $(
            #[test]
            fn $name() {
                assert_eq!(crossing($own, $other), $cause);
            }
        )*
    };
}

crossings! {
    call_stays_while_the_own_data_centre_has_room: USUAL, IDLE => None;
    call_crosses_if_the_own_data_centre_is_full: FULL, USUAL => Some(CrossingCause::Full);
    call_stays_if_all_are_equally_full: FULL, FULL => None;
    call_stays_if_the_hop_costs_more_than_the_wait:
        PlacementLoad { in_flight: 17, ..USUAL }, PlacementLoad { in_flight: 14, ..USUAL } => None;
}

#[test]
fn crossing_away_from_failing_vms_has_its_own_cause() {
    let mut balancer = balancer(&["d0-a", "d1-a"]);
    for _ in 0..20 {
        balancer.finish(S, &vm("d0-a"), PlacementResult::Failed);
        balancer.report(S, &vm("d0-a"), USUAL, Some(RATES));
    }
    balancer.report(S, &vm("d1-a"), USUAL, Some(RATES));
    let choice = balancer.choose(S, &[], 7).expect("there is a VM");
    assert_eq!(choice.crossing, Some(CrossingCause::Failing));
}

#[test]
fn crossing_away_from_unreachable_vms_has_the_cause_failing() {
    let mut balancer = balancer(&["d0-a", "d1-a"]);
    balancer.finish(S, &vm("d0-a"), PlacementResult::Unreachable);
    let choice = balancer.choose(S, &[], 7).expect("there is a VM");
    assert_eq!((choice.vm, choice.crossing), (vm("d1-a"), Some(CrossingCause::Failing)));
}

#[test]
fn crossing_without_own_vm_has_its_own_cause() {
    let mut balancer = balancer(&["d1-a"]);
    let choice = balancer.choose(S, &[], 7).expect("there is a VM");
    assert_eq!(choice.crossing, Some(CrossingCause::NoVm));
}

/// Returns what is chosen after `d0-a` refused a call, with `d0-b` in this state.
fn after_refusal(other: PlacementLoad) -> NextChoice {
    let mut balancer = balancer(&["d0-a", "d0-b"]);
    balancer.report(S, &vm("d0-b"), other, Some(RATES));
    balancer.choose(S, &[vm("d0-b")], 7).expect("there is a VM");
    balancer.finish(S, &vm("d0-a"), PlacementResult::Refused);
    balancer.report(S, &vm("d0-a"), FULL, Some(RATES));
    balancer.choose_after_refusal(S, &[vm("d0-a")], 100 * MS, 7)
}

#[test]
fn vm_with_room_is_asked_after_a_refusal() {
    assert!(matches!(after_refusal(USUAL), NextChoice::Vm(choice) if choice.vm == vm("d0-b")));
}

/// Guards against a refused call that is told to come back at once, or never.
#[test]
fn full_vm_is_not_asked_after_a_refusal_and_its_wait_is_known() {
    let next = after_refusal(FULL);
    let NextChoice::NoneExpected { wait_us: Some(wait_us) } = next else { panic!("{next:?}") };
    assert!((100 * MS..200 * MS).contains(&wait_us), "{wait_us}");
}

/// Guards against a VM that cannot be reached being probed by more than one call at a time.
#[test]
fn unreachable_vm_is_probed_by_one_call_after_its_backoff() {
    let mut balancer = balancer(&["d0-a", "d0-b"]);
    balancer.finish(S, &vm("d0-a"), PlacementResult::Unreachable);
    assert_eq!(calls_of_1000(&mut balancer, S + 100 * MS, "d0-a"), 0);
    assert_eq!(calls_of_1000(&mut balancer, S + 300 * MS, "d0-a"), 1);
    assert_eq!(calls_of_1000(&mut balancer, S + 400 * MS, "d0-a"), 0);
}

#[test]
fn unreachable_vm_is_chosen_if_it_is_the_only_one() {
    let mut balancer = balancer(&["d0-a"]);
    balancer.finish(S, &vm("d0-a"), PlacementResult::Unreachable);
    assert!(balancer.choose(S, &[], 7).is_some());
    assert!(balancer.choose(S, &[vm("d0-a")], 7).is_none());
}

#[test]
fn leaving_vm_is_not_chosen() {
    let mut balancer = balancer(&["d0-a", "d0-b"]);
    balancer.set_leaving(&vm("d0-a"));
    assert_eq!(calls_of_1000(&mut balancer, S, "d0-a"), 0);
}

#[test]
fn removed_vm_is_not_chosen() {
    let mut balancer = balancer(&["d0-a", "d0-b"]);
    assert!(balancer.choose(S, &[], 7).is_some());
    balancer.remove(&vm("d0-a"));
    assert_eq!(calls_of_1000(&mut balancer, S, "d0-a"), 0);
}

/// Guards against sending call after call to a VM that answers none, while others answer.
#[test]
fn vm_that_answers_no_call_gets_no_further_ones() {
    let mut balancer = balancer(&["d0-a", "d0-b"]);
    for name in ["d0-a", "d0-b"] {
        balancer.report(S, &vm(name), USUAL, Some(RATES));
    }
    balancer.choose(S, &[vm("d0-b")], 7).expect("there is a VM");
    let later_us = S + 2 * S;
    balancer.report(later_us, &vm("d0-b"), USUAL, Some(RATES));
    assert!(calls_of_1000(&mut balancer, later_us, "d0-a") <= 1);
}

/// Guards against a sum of numbers from the network that wraps around, after which a VM with the most
/// calls would look idle, or the node would panic. A call in 64 has no other VM among those drawn.
#[test]
fn vm_that_reports_the_largest_numbers_looks_full() {
    let most = PlacementLoad { in_flight: u32::MAX, queued: 1, limit: 19 };
    let calls = calls_after_report(most, RATES, 10 * MS);
    assert!(calls < 40, "{calls} of 1,000");
}

macro_rules! odd_reports {
    ($($name:ident: $load:expr, $rates:expr;)*) => {
        $(
            /// Guards against a panic and against a cost that is not a number, after which a VM that
            /// reports usual numbers would get no calls.
            #[test]
            fn $name() {
                let mut balancer = balancer(&["d0-a", "d0-b"]);
                for step in 0..100 {
                    balancer.report(S + step * MS, &vm("d0-a"), $load, Some($rates));
                    balancer.report(S + step * MS, &vm("d0-b"), USUAL, Some(RATES));
                }
                assert!(calls_of_1000(&mut balancer, S + 110 * MS, "d0-b") > 0);
                balancer.remove(&vm("d0-a"));
                assert_eq!(calls_of_1000(&mut balancer, S + 120 * MS, "d0-b"), 1_000);
            }
        )*
    };
}

const ZERO_RATES: VmRates =
    VmRates { arrivals_per_s: 0, completions_per_s: 0, service_us: 0, no_completion_ms: 0 };
const LARGEST_RATES: VmRates = VmRates {
    arrivals_per_s: u32::MAX,
    completions_per_s: u32::MAX,
    service_us: u32::MAX,
    no_completion_ms: u32::MAX,
};

odd_reports! {
    report_of_zeros: PlacementLoad { in_flight: 0, queued: 0, limit: 0 }, ZERO_RATES;
    report_of_the_largest_numbers:
        PlacementLoad { in_flight: u32::MAX, queued: u32::MAX, limit: u32::MAX }, LARGEST_RATES;
    report_of_calls_without_a_limit:
        PlacementLoad { in_flight: u32::MAX, queued: 1, limit: 0 }, LARGEST_RATES;
}

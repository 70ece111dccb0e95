//! Tests of the retry allowance over call trees, the retry budget, retry decisions and retry
//! delays.

use model::{Outcome, Reason};
use policy::retry::{AttemptLimits, FailedAttempt, should_retry};
use policy::retry_after;
use policy::retry_allowance::RetryAllowance;
use policy::retry_budget::RetryBudget;
use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Simulates a call tree in which calls fail and answers are lost at random. Every caller retries
/// while its allowance has retries left.
struct CallTree {
    rng: StdRng,
    retries: u32,
}

impl CallTree {
    /// Runs one call with its child calls. Returns the number of unused retries.
    fn call(&mut self, depth: u32, fan_out: u32, allowance: u32) -> u32 {
        let mut allowance = RetryAllowance::new(allowance);
        if depth == 0 {
            return allowance.available();
        }
        for _ in 0..fan_out {
            self.child_call(depth, fan_out, &mut allowance);
        }
        allowance.available()
    }

    fn child_call(&mut self, depth: u32, fan_out: u32, allowance: &mut RetryAllowance) {
        loop {
            let granted = allowance.grant_to_child();
            let unused = self.call(depth - 1, fan_out, granted);
            let is_lost = self.rng.random_ratio(1, 5);
            allowance.return_unused(granted, if is_lost { 0 } else { unused });
            let has_failed = is_lost || self.rng.random_ratio(1, 2);
            if !has_failed || !allowance.consume() {
                return;
            }
            self.retries += 1;
        }
    }
}

proptest! {
    #[test]
    fn retries_of_call_tree_stay_within_allowance(
        seed: u64,
        depth in 1u32..10,
        fan_out in 1u32..4,
        allowance in 0u32..8,
    ) {
        let fan_out = if depth > 5 { fan_out.min(2) } else { fan_out };
        let mut tree = CallTree { rng: StdRng::seed_from_u64(seed), retries: 0 };
        let unused = tree.call(depth, fan_out, allowance);
        prop_assert!(tree.retries + unused <= allowance);
    }

    #[test]
    fn retry_delay_is_within_bounds(overload_ratio in 0.0f64..1e9, random: u32) {
        let delay_us = retry_after::delay_us(overload_ratio, random);
        prop_assert!((200_000..=10_200_000).contains(&delay_us));
    }
}

#[test]
fn returned_retries_are_limited_to_granted() {
    let mut allowance = RetryAllowance::new(4);
    let granted = allowance.grant_to_child();
    allowance.return_unused(granted, 100);
    assert_eq!(allowance.available(), 4);
}

#[test]
fn budget_limits_retries_to_capacity_and_share_of_successes() {
    let mut budget = RetryBudget::new(10);
    let retries = (0..1_000).filter(|_| budget.withdraw()).count();
    assert_eq!(retries, 20);
    (0..100).for_each(|_| budget.record_success());
    assert_eq!((0..1_000).filter(|_| budget.withdraw()).count(), 10);
}

fn check(outcome: Outcome, reason: Reason, is_idempotent: bool, expected: bool) {
    let failed = FailedAttempt { outcome, reason, is_final: false, is_replayable: true };
    let limits = AttemptLimits { is_idempotent, remaining_us: 1_000_000, untried_endpoints: 2 };
    assert_eq!(should_retry(failed, limits), expected);
    let final_failure = FailedAttempt { is_final: true, ..failed };
    assert!(!should_retry(final_failure, limits));
    let not_replayable = FailedAttempt { is_replayable: false, ..failed };
    assert!(!should_retry(not_replayable, limits));
    let late = AttemptLimits { remaining_us: 1_000, ..limits };
    assert!(!should_retry(failed, late));
    let all_tried = AttemptLimits { untried_endpoints: 0, ..limits };
    assert!(!should_retry(failed, all_tried));
}

macro_rules! retry_cases {
    ($(
        $name:ident: $outcome:ident, $reason:ident, idempotent $idempotent:literal
            => $expected:literal;
    )*) => {
        $(#[test]
        fn $name() {
            check(Outcome::$outcome, Reason::$reason, $idempotent, $expected);
        })*
    };
}

retry_cases! {
    refused_idempotent_call_is_retried: NotRun, Overloaded, idempotent true => true;
    refused_non_idempotent_call_is_retried: NotRun, Overloaded, idempotent false => true;
    lost_idempotent_call_is_retried: Unknown, ConnectionLost, idempotent true => true;
    lost_non_idempotent_call_is_not_retried: Unknown, ConnectionLost, idempotent false => false;
    timed_out_non_idempotent_call_is_not_retried:
        Unknown, AttemptTimeout, idempotent false => false;
    call_without_quorum_is_not_retried: NotRun, NoQuorum, idempotent true => false;
    quarantined_call_is_not_retried: NotRun, Quarantined, idempotent true => false;
    call_that_crashed_its_upstream_is_not_retried: Unknown, UpstreamDied, idempotent true => false;
}

//! The retry bound over whole call chains.

use model::{Outcome, Reason};
use policy::allowance::Ledger;
use policy::budget::RetryBudget;
use policy::retry::{AttemptLimits, FailedAttempt, is_worthwhile};
use policy::retry_after;
use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// A random call tree: every call fails often, answers get lost, everyone retries while they may.
struct Chain {
    rng: StdRng,
    retries: u32,
}

impl Chain {
    /// Runs one call with its children. Returns what came back unspent.
    fn call(&mut self, depth: u32, fan_out: u32, allowance: u32) -> u32 {
        let mut ledger = Ledger::new(allowance);
        if depth == 0 {
            return ledger.available();
        }
        for _ in 0..fan_out {
            self.child(depth, fan_out, &mut ledger);
        }
        ledger.available()
    }

    fn child(&mut self, depth: u32, fan_out: u32, ledger: &mut Ledger) {
        loop {
            let lent = ledger.lend();
            let unspent = self.call(depth - 1, fan_out, lent);
            let is_lost = self.rng.random_ratio(1, 5);
            ledger.give_back(lent, if is_lost { 0 } else { unspent });
            let fails = is_lost || self.rng.random_ratio(1, 2);
            if !fails || !ledger.spend() {
                return;
            }
            self.retries += 1;
        }
    }
}

proptest! {
    #[test]
    fn retries_stay_within_the_allowance(
        seed: u64,
        depth in 1u32..10,
        fan_out in 1u32..4,
        allowance in 0u32..8,
    ) {
        let fan_out = if depth > 5 { fan_out.min(2) } else { fan_out };
        let mut chain = Chain { rng: StdRng::seed_from_u64(seed), retries: 0 };
        let unspent = chain.call(depth, fan_out, allowance);
        prop_assert!(chain.retries + unspent <= allowance);
    }

    #[test]
    fn advice_is_spread_and_bounded(pressure in 0.0f64..1e9, random: u32) {
        let advice_us = retry_after::advise_us(pressure, random);
        prop_assert!((200_000..=10_200_000).contains(&advice_us));
    }
}

#[test]
fn more_than_was_lent_does_not_come_back() {
    let mut ledger = Ledger::new(4);
    let lent = ledger.lend();
    ledger.give_back(lent, 100);
    assert_eq!(ledger.available(), 4);
}

#[test]
fn budget_stops_retries_in_a_surge() {
    let mut budget = RetryBudget::new(10);
    let retries = (0..1_000).filter(|_| budget.withdraw()).count();
    assert_eq!(retries, 20);
    (0..100).for_each(|_| budget.record_success());
    assert_eq!((0..1_000).filter(|_| budget.withdraw()).count(), 10);
}

fn check(outcome: Outcome, reason: Reason, is_idempotent: bool, expected: bool) {
    let failed = FailedAttempt { outcome, reason, is_final: false, is_replayable: true };
    let limits = AttemptLimits { is_idempotent, remaining_us: 1_000_000, untried_endpoints: 2 };
    assert_eq!(is_worthwhile(failed, limits), expected);
    let final_failure = FailedAttempt { is_final: true, ..failed };
    assert!(!is_worthwhile(final_failure, limits));
    let consumed = FailedAttempt { is_replayable: false, ..failed };
    assert!(!is_worthwhile(consumed, limits));
    let late = AttemptLimits { remaining_us: 1_000, ..limits };
    assert!(!is_worthwhile(failed, late));
    let nowhere = AttemptLimits { untried_endpoints: 0, ..limits };
    assert!(!is_worthwhile(failed, nowhere));
}

macro_rules! retry_cases {
    ($($name:ident: $outcome:ident, $reason:ident, idempotent $idempotent:literal => $expected:literal;)*) => {
        $(#[test]
        fn $name() {
            check(Outcome::$outcome, Reason::$reason, $idempotent, $expected);
        })*
    };
}

retry_cases! {
    refused_read: NotRun, Overloaded, idempotent true => true;
    refused_purchase: NotRun, Overloaded, idempotent false => true;
    lost_read: Unknown, ConnectionLost, idempotent true => true;
    lost_purchase: Unknown, ConnectionLost, idempotent false => false;
    timed_out_purchase: Unknown, AttemptTimeout, idempotent false => false;
    read_without_quorum: NotRun, NoQuorum, idempotent true => false;
    quarantined_read: NotRun, Quarantined, idempotent true => false;
    crashed_read: Unknown, UpstreamDied, idempotent true => false;
}

//! Single rules of the bucket and the lender.

use model::Quota;
use policy::US_PER_S;
use policy::quota_bucket::{
    GrantEffect, LOAN_US, QuotaBucket, QuotaDecision, ShareDemand, ShareGrant,
};
use policy::quota_lender::{Grant, LeaderHistory, QuotaLender, Reporter};

const QUOTA: Quota = Quota { rate_per_s: 10.0, burst: 10.0 };
const START_US: u64 = 50 * US_PER_S;

fn full_grant(report_us: u64) -> ShareGrant {
    ShareGrant { report_us, share: 1.0, initial_burst_share: 1.0 }
}

fn demand(wanted_share: f64, held_share: f64, basis_us: u64) -> ShareDemand {
    ShareDemand {
        wanted_share,
        held_share,
        basis_us,
        refill_per_s: 1.0,
        wanted_burst_share: 0.1,
        returned_burst_share: 0.0,
    }
}

fn lend(lender: &mut QuotaLender, now_us: u64, vm: &str, demand: ShareDemand) -> Option<Grant> {
    let reporter = Reporter { vm, incarnation: 1, report_us: now_us };
    lender.lend(now_us, reporter, "account", &demand)
}

/// Guards against a retry delay after which there is still no room.
#[test]
fn a_refusal_tells_when_there_is_room() {
    let mut bucket = QuotaBucket::new(START_US, QUOTA);
    bucket.apply(START_US, full_grant(START_US));
    for _ in 0..10 {
        assert_eq!(bucket.admit(START_US, QUOTA, 0), QuotaDecision::Admitted);
    }
    let QuotaDecision::Refused { room_in_us } = bucket.admit(START_US, QUOTA, 0) else {
        panic!("the bucket is empty");
    };
    assert_eq!(bucket.admit(START_US + room_in_us, QUOTA, 0), QuotaDecision::Admitted);
}

/// Guards against a request that overtakes those that wait.
#[test]
fn a_request_leaves_tokens_to_those_that_wait() {
    let mut bucket = QuotaBucket::new(START_US, QUOTA);
    bucket.apply(START_US, full_grant(START_US));
    assert!(matches!(bucket.admit(START_US, QUOTA, 10), QuotaDecision::Refused { .. }));
    assert_eq!(bucket.admit(START_US, QUOTA, 9), QuotaDecision::Admitted);
}

/// Guards against a lowered quota that applies only to tokens to come.
#[test]
fn a_lower_quota_applies_to_the_tokens_at_hand() {
    let lowered = Quota { rate_per_s: 1.0, burst: 2.0 };
    let mut bucket = QuotaBucket::new(START_US, QUOTA);
    bucket.apply(START_US, full_grant(START_US));
    let decisions = (0..4).map(|_| bucket.admit(START_US, lowered, 0));
    let admitted = decisions.filter(|decision| *decision == QuotaDecision::Admitted).count();
    assert_eq!(admitted, 2);
}

/// Guards against the use of a share after its loan.
#[test]
fn a_share_ends_with_its_loan() {
    let mut bucket = QuotaBucket::new(START_US, QUOTA);
    bucket.apply(START_US, full_grant(START_US));
    let end_us = START_US + LOAN_US;
    assert_eq!(bucket.admit(end_us - 1, QUOTA, 0), QuotaDecision::Admitted);
    assert_eq!(bucket.admit(end_us, QUOTA, 0), QuotaDecision::NoShare);
    // The report claimed the share that ended before the grant arrived.
    let renewal = full_grant(START_US + US_PER_S);
    assert_eq!(bucket.apply(end_us, renewal), GrantEffect::Ignored);
}

/// Guards against demand that stays with the node for ever.
#[test]
fn demand_falls_when_requests_end() {
    let mut bucket = QuotaBucket::new(START_US, QUOTA);
    for index in 0..100 {
        bucket.record_offered(START_US + index * US_PER_S / 10);
    }
    let end_us = START_US + 10 * US_PER_S;
    let busy = bucket.report(end_us).expect("there is demand").wanted_share;
    assert!((0.8..1.6).contains(&busy), "{busy}");
    assert_eq!(bucket.report(end_us + 3 * US_PER_S), None);
}

/// Guards against values of a faulty node that spoil the sums of all others.
#[test]
fn demands_that_are_not_numbers_are_refused() {
    let mut lender = QuotaLender::new(START_US, LeaderHistory::First);
    for value in [f64::NAN, f64::INFINITY, -1.0] {
        assert_eq!(lend(&mut lender, START_US, "vm-1", demand(value, 0.0, 0)), None);
    }
    let grant = lend(&mut lender, START_US, "vm-1", demand(0.5, 0.0, 0)).expect("a grant");
    assert!(grant.share >= 0.5);
}

/// Guards against a holder whose share is given away before it has confirmed the smaller one.
#[test]
fn a_reduction_frees_the_rest_when_it_is_confirmed() {
    let mut lender = QuotaLender::new(START_US, LeaderHistory::First);
    let first = lend(&mut lender, START_US, "vm-1", demand(1.0, 0.0, 0)).expect("a grant");
    assert_eq!(first, Grant { share: 1.0, initial_burst_share: 1.0 });
    let waiting = lend(&mut lender, START_US + 1, "vm-2", demand(1.0, 0.0, 0)).expect("a grant");
    assert_eq!(waiting.share, 0.0);
    let held = demand(1.0, 1.0, START_US);
    let reduced = lend(&mut lender, START_US + 2, "vm-1", held).expect("a grant");
    assert_eq!(reduced.share, 0.5);
    let waiting = lend(&mut lender, START_US + 3, "vm-2", demand(1.0, 0.0, 0)).expect("a grant");
    assert_eq!(waiting.share, 0.0);
    let confirmed = demand(1.0, 0.5, START_US + 2);
    lend(&mut lender, START_US + 4, "vm-1", confirmed).expect("a grant");
    let freed = lend(&mut lender, START_US + 5, "vm-2", demand(1.0, 0.0, 0)).expect("a grant");
    assert!((freed.share - 0.5).abs() < 1e-9, "{freed:?}");
    assert!(freed.initial_burst_share < 1e-3, "used tokens came back: {freed:?}");
}

fn successor(ceiling: f64) -> QuotaLender {
    QuotaLender::new(START_US, LeaderHistory::Successor)
        .with_ceilings([("account".into(), ceiling)])
}

/// Guards against a new leader that lends nothing for a loan period although its predecessors
/// cannot have lent all of the quota.
#[test]
fn a_new_leader_lends_what_its_predecessors_cannot_have_lent() {
    let mut lender = successor(0.4);
    let held = lend(&mut lender, START_US, "vm-1", demand(0.2, 0.3, 7)).expect("a grant");
    assert_eq!(held.share, 0.3);
    let new = lend(&mut lender, START_US, "vm-2", demand(1.0, 0.0, 0)).expect("a grant");
    assert!((new.share - 0.6).abs() < 1e-9, "{new:?}");
    assert_eq!(new.initial_burst_share, 0.0);
    let third = lend(&mut lender, START_US, "vm-3", demand(1.0, 0.0, 0)).expect("a grant");
    assert_eq!(third.share, 0.0);
    assert_eq!(lender.take_changed_ceilings().get("account"), Some(&1.0));
}

/// Guards against ceilings below what is lent, and against a log entry for each loan.
#[test]
fn ceilings_bound_what_is_lent_and_change_seldom() {
    let mut lender = QuotaLender::new(START_US, LeaderHistory::First);
    let mut changes = 0;
    for step in 0..100 {
        let wanted = 0.2 + 0.001 * f64::from(step);
        let now_us = START_US + u64::from(step as u32) * 1_000;
        lend(&mut lender, now_us, "vm-1", demand(wanted, 0.0, 0)).expect("a grant");
        let lent: f64 = lender.loans().flat_map(|loans| loans.shares).map(|(_, share)| share).sum();
        let ceilings = lender.take_changed_ceilings();
        changes += ceilings.len();
        if let Some(ceiling) = ceilings.get("account") {
            assert!(*ceiling >= lent - 1e-9, "ceiling {ceiling}, lent {lent}");
        }
    }
    assert!((1..=5).contains(&changes), "{changes}");
}

/// Guards against a new leader that lends what an earlier one has lent.
#[test]
fn a_new_leader_renews_held_shares_and_lends_nothing_that_may_be_lent() {
    let mut lender = successor(1.0);
    let held = lend(&mut lender, START_US, "vm-1", demand(1.0, 0.3, 7)).expect("a grant");
    assert_eq!(held, Grant { share: 0.3, initial_burst_share: 0.0 });
    let new = lend(&mut lender, START_US, "vm-2", demand(1.0, 0.0, 0)).expect("a grant");
    assert_eq!(new, Grant { share: 0.0, initial_burst_share: 0.0 });
    let later_us = START_US + LOAN_US + US_PER_S;
    let new = lend(&mut lender, later_us, "vm-2", demand(1.0, 0.0, 0)).expect("a grant");
    assert!(new.share > 0.9);
}

/// Guards against a pool that refills while holders that the new leader does not know still use the
/// loans of its predecessor: it would count the same part of the quota twice.
#[test]
fn the_pool_of_a_new_leader_is_empty_until_earlier_loans_have_ended() {
    let mut lender = successor(1.0);
    let renewals = (1..=5).map(|second| START_US + second * US_PER_S);
    for now_us in renewals {
        let basis_us = now_us - US_PER_S;
        let grant = lend(&mut lender, now_us, "vm-1", demand(0.5, 0.5, basis_us));
        assert_eq!(grant, Some(Grant { share: 0.5, initial_burst_share: 0.0 }));
    }
    let lendable_us = START_US + LOAN_US + US_PER_S / 20;
    let held = demand(0.9, 0.5, START_US + 5 * US_PER_S);
    let grant = lend(&mut lender, lendable_us, "vm-1", held).expect("the report is new");
    assert!(grant.share > 0.5, "{grant:?}");
    assert_eq!(grant.initial_burst_share, 0.0);
}

/// Guards against a delayed report of a process that has ended.
#[test]
fn reports_of_an_earlier_process_are_ignored() {
    let mut lender = QuotaLender::new(START_US, LeaderHistory::First);
    let mut lend = |incarnation, report_us, demand: ShareDemand| {
        let reporter = Reporter { vm: "vm-1", incarnation, report_us };
        lender.lend(START_US, reporter, "account", &demand)
    };
    assert!(lend(1, 10, demand(0.9, 0.0, 0)).is_some());
    let restarted = lend(2, 5, demand(0.9, 0.0, 0)).expect("the loan passes to the new process");
    assert!(restarted.share >= 0.9);
    assert!(restarted.initial_burst_share < 0.2, "used tokens came back: {restarted:?}");
    assert_eq!(lend(1, 11, demand(0.9, 0.9, 10)), None);
}

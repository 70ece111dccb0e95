//! Tests of the lent quota: whatever its holders do, no window exceeds the bound of the deployment.

use model::Quota;
use policy::quota_bucket::{QuotaBucket, QuotaDecision, ShareGrant};
use policy::{US_PER_MS, US_PER_S};

use super::QuotaBound;

/// Window of the deployments, in seconds.
const WINDOW_S: u64 = 5;
const START_US: u64 = 50 * US_PER_S;
/// Time in which buckets fill before the window, in seconds.
const FILL_S: u64 = 10;
/// Share of a holder with hardly any demand: its bucket holds one token as a rule.
const SMALL_SHARE: f64 = 1e-4;

fn bound(excess: f64, slack: f64) -> QuotaBound {
    QuotaBound { window_s: WINDOW_S as f64, excess, slack }
}

/// Returns the requests that any window may have.
fn bound_in_window(bound: QuotaBound, quota: Quota) -> f64 {
    (quota.rate_per_s * bound.window_s + quota.burst) * (1.0 + bound.excess) + bound.slack
}

/// Returns the most requests that the holder of a share can get admitted in a window: its bucket
/// fills before the window, and it uses every token.
fn most_in_window(lent: Quota, share: f64) -> usize {
    let mut bucket = QuotaBucket::new(START_US, lent);
    for second in 0..FILL_S {
        renew(&mut bucket, START_US + second * US_PER_S, share);
    }
    let mut admitted = 0;
    for elapsed_ms in 0..=WINDOW_S * 1_000 {
        let now_us = START_US + FILL_S * US_PER_S + elapsed_ms * US_PER_MS;
        if elapsed_ms % 1_000 == 0 {
            renew(&mut bucket, now_us, share);
        }
        while bucket.admit(now_us, lent, 0) == QuotaDecision::Admitted {
            admitted += 1;
        }
    }
    admitted
}

/// Renews a share. The first grant brings the tokens of the whole burst.
fn renew(bucket: &mut QuotaBucket, now_us: u64, share: f64) {
    let initial_burst_share = if now_us == START_US { 1.0 } else { 0.0 };
    bucket.apply(now_us, ShareGrant { report_us: now_us, share, initial_burst_share });
}

/// Returns the number of holders for which the part of the excess that is not lent has room. The
/// first one needs none, since the lent burst is one request at least.
fn max_holders(bound: QuotaBound, quota: Quota) -> usize {
    let lent = bound.lent_quota(quota);
    let in_window = lent.rate_per_s * bound.window_s + lent.burst;
    1 + (bound_in_window(bound, quota) - in_window).max(0.0).floor() as usize
}

/// Checks the bound for one holder, for holders of equal shares, and for one holder of nearly all
/// beside others that hold hardly more than a token.
fn check(bound: QuotaBound, quota: Quota) {
    let lent = bound.lent_quota(quota);
    let in_window = lent.rate_per_s * bound.window_s + lent.burst;
    let target = quota.rate_per_s * bound.window_s + quota.burst;
    assert!(in_window >= target * (1.0 - 1e-9), "{in_window} of {target} requests are lent");
    let holders = max_holders(bound, quota);
    let small = (holders - 1) as f64 * SMALL_SHARE;
    let equal = holders * most_in_window(lent, 1.0 / holders as f64);
    let unequal =
        most_in_window(lent, 1.0 - small) + (holders - 1) * most_in_window(lent, SMALL_SHARE);
    let allowed = bound_in_window(bound, quota);
    let single = most_in_window(lent, 1.0);
    for (name, admitted) in [("single", single), ("equal", equal), ("unequal", unequal)] {
        assert!(
            admitted as f64 <= allowed * (1.0 + 1e-9),
            "{name}: {admitted} requests of {holders} holders, {allowed} are allowed",
        );
    }
    assert!(lent.burst >= 1.0 && lent.rate_per_s > 0.0, "{lent:?}");
}

/// Guards against a lent quota whose rate, burst and single tokens of holders together exceed the
/// bound of the deployment in a window, and against one that is below the quota.
macro_rules! bound_cases {
    ($($name:ident: $rate_per_s:expr, $burst:expr, excess $excess:expr, slack $slack:expr;)*) => {$(
        #[test]
        fn $name() {
            check(bound($excess, $slack), Quota { rate_per_s: $rate_per_s, burst: $burst });
        }
    )*};
}

bound_cases! {
    small_account_stays_within_the_bound: 1.0, 1.0, excess 0.1, slack 20.0;
    usual_account_stays_within_the_bound: 40.0, 40.0, excess 0.1, slack 20.0;
    large_account_stays_within_the_bound: 1_000.0, 1_000.0, excess 0.1, slack 20.0;
    burst_of_one_stays_within_the_bound: 50.0, 1.0, excess 0.1, slack 20.0;
    no_slack_stays_within_the_bound: 40.0, 40.0, excess 0.1, slack 0.0;
    no_slack_of_a_small_account_stays_within_the_bound: 1.0, 1.0, excess 0.1, slack 0.0;
    zero_excess_stays_within_the_bound: 40.0, 40.0, excess 0.0, slack 20.0;
    neither_excess_nor_slack_stays_within_the_bound: 40.0, 40.0, excess 0.0, slack 0.0;
    less_than_two_requests_in_a_window_stay_within_the_bound: 0.1, 1.0, excess 0.0, slack 0.0;
}

/// Guards against a lent quota that depends on the length of the window beside the bound itself.
#[test]
fn requests_of_the_window_are_lent_for_each_length() {
    let quota = Quota { rate_per_s: 40.0, burst: 40.0 };
    for window_s in [0.5, 1.0, 60.0] {
        let lent = QuotaBound { window_s, ..bound(0.0, 0.0) }.lent_quota(quota);
        let in_window = lent.rate_per_s * window_s + lent.burst;
        assert!((in_window - (40.0 * window_s + 40.0)).abs() < 1e-6, "{lent:?}");
    }
}

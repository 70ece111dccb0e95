//! Tests of burn rates and bucket series.

use policy::burn::{BUCKET_S, BurnBucket, BurnSeries, MAX_BUCKETS, Quality, burn_rate};

const NOW_S: u64 = 1_800_000_000;

fn series(bad: u64, good: u64, at_unix_s: u64) -> BurnSeries {
    let mut series = BurnSeries::new();
    (0..bad).for_each(|_| series.record(at_unix_s, Quality::Bad, 2));
    (0..good).for_each(|_| series.record(at_unix_s, Quality::Good, 0));
    series
}

fn check(bad: u64, good: u64, objective_percent: f64, expected: Option<f64>) {
    let counts = series(bad, good, NOW_S).sum(NOW_S, 3_600);
    let rate = burn_rate(counts, objective_percent);
    match (rate, expected) {
        (Some(rate), Some(expected)) => assert!((rate - expected).abs() < 1e-9, "{rate}"),
        (rate, expected) => assert_eq!(rate, expected),
    }
}

macro_rules! burn_cases {
    ($(
        $name:ident: $bad:literal bad, $good:literal good, $objective:literal => $expected:expr;
    )*) => {
        $(#[test]
        fn $name() {
            check($bad, $good, $objective, $expected);
        })*
    };
}

burn_cases! {
    no_requests_have_no_burn_rate: 0 bad, 0 good, 99.0 => None;
    only_good_requests_have_burn_rate_zero: 0 bad, 100 good, 99.0 => Some(0.0);
    bad_share_equal_to_budget_has_burn_rate_one: 1 bad, 99 good, 99.0 => Some(1.0);
    ten_times_budget_has_burn_rate_ten: 10 bad, 90 good, 99.0 => Some(10.0);
    stricter_objective_raises_burn_rate: 1 bad, 99 good, 99.9 => Some(10.0);
}

#[test]
fn sum_counts_only_buckets_inside_window() {
    let mut series = series(5, 0, NOW_S - 7_200);
    series.record(NOW_S, Quality::Good, 1);
    assert_eq!(series.sum(NOW_S, 3_600).total, 1);
    assert_eq!(series.sum(NOW_S, 10_800).total, 6);
    assert_eq!(series.sum(NOW_S, 10_800).retries, 11);
}

#[test]
fn full_series_drops_oldest_buckets() {
    let mut series = BurnSeries::new();
    for number in 0..2_000 {
        series.record(NOW_S + number * BUCKET_S, Quality::Good, 0);
    }
    assert_eq!(series.buckets().count(), MAX_BUCKETS);
    let newest = series.buckets().last().map(|bucket| bucket.start_unix_s);
    assert_eq!(newest, Some((NOW_S + 1_999 * BUCKET_S) / BUCKET_S * BUCKET_S));
}

#[test]
fn merge_adds_buckets_in_any_order() {
    let mut series = BurnSeries::new();
    let bucket = |start_unix_s| BurnBucket { start_unix_s, total: 2, good: 1, retries: 0 };
    for start_unix_s in [600, 0, 300, 0, 600] {
        series.merge(bucket(start_unix_s));
    }
    let totals: Vec<u64> = series.buckets().map(|bucket| bucket.total).collect();
    assert_eq!(totals, [4, 2, 4]);
}

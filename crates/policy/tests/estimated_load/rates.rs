//! Rates that the node beside an upstream measures.

use policy::vm_rates::RateMeter;

use crate::simulation::{MS, S};

/// Returns a meter after a second of calls, one each 5 ms, that each take 40 ms.
fn meter_of_steady_calls() -> RateMeter {
    let mut meter = RateMeter::new(0);
    for step in 0..200 {
        let now_us = step * 5 * MS;
        meter.record_arrival(now_us);
        if step >= 8 {
            meter.record_end(now_us);
            meter.record_service_time(now_us, 40 * MS);
        }
    }
    meter
}

#[test]
fn rates_of_steady_calls_are_measured() {
    let rates = meter_of_steady_calls().rates(S);
    assert!(rates.arrivals_per_s.abs_diff(200) <= 10, "{rates:?}");
    assert!(rates.completions_per_s.abs_diff(200) <= 10, "{rates:?}");
    assert_eq!(rates.service_us, 40_000, "{rates:?}");
}

#[test]
fn time_without_completion_grows_while_calls_run() {
    let meter = meter_of_steady_calls();
    let last_us = 995 * MS;
    assert_eq!(meter.rates(last_us + 700 * MS).no_completion_ms, 700);
}

#[test]
fn time_without_completion_starts_with_the_first_call() {
    let mut meter = RateMeter::new(0);
    assert_eq!(meter.rates(5 * S).no_completion_ms, 0, "no calls");
    meter.record_arrival(5 * S);
    assert_eq!(meter.rates(5 * S + 30 * MS).no_completion_ms, 30);
}

/// Returns the service time after the upstream has reported these slowdown factors, 100 ms apart.
fn service_us_after(factors: &[f64]) -> u32 {
    let mut meter = meter_of_steady_calls();
    let mut now_us = S;
    for factor in factors {
        now_us += 100 * MS;
        meter.record_slowdown(now_us, *factor);
    }
    meter.rates(now_us).service_us
}

macro_rules! slowdowns {
    ($($name:ident: $factors:expr => $range:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let found = service_us_after(&$factors);
                assert!($range.contains(&found), "{found}");
            }
        )*
    };
}

slowdowns! {
    usual_slowdown_changes_nothing: [1.0; 10] => 39_900..=40_100;
    first_slowdown_is_used_at_once: [2.5] => 99_000..=101_000;
    single_slowdown_among_usual_ones_is_smoothed: [1.0, 1.0, 2.5] => 50_000..=52_000;
    lasting_slowdown_takes_over: [1.0, 2.5, 2.5, 2.5, 2.5, 2.5, 2.5, 2.5, 2.5, 2.5] => 86_000..=92_000;
}

#[test]
fn slowdown_that_is_no_longer_reported_is_forgotten() {
    let mut meter = meter_of_steady_calls();
    meter.record_slowdown(S, 2.5);
    assert_eq!(meter.rates(4 * S).service_us, 40_000);
}

#[test]
fn slow_answers_during_a_slowdown_count_once() {
    let mut meter = meter_of_steady_calls();
    meter.record_slowdown(S, 2.5);
    for step in 0..100 {
        meter.record_service_time(S + step * 5 * MS, 100 * MS);
    }
    let service_us = meter.rates(S + 500 * MS).service_us;
    assert!(service_us.abs_diff(100_000) < 2_000, "{service_us}");
}

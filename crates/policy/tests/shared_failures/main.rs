//! Tests of admission on shared failure data.

mod replay;

use replay::{CHAIN, DIRECT, Evidence, S, Scenario, URGENT_CHAIN, replay};

/// Time of the replayed load without its first two seconds, in which admission converges.
const CONVERGED_US: std::ops::Range<u64> = 5 * S..11 * S;
/// Requirement of the design page for requests that fail after work.
const MAX_FAILED_SHARE: f64 = 0.02;

/// Checks the load of the design page against its requirements with shared failure data, and that the
/// decision that it replaces misses the target for failed requests.
fn check_rejecting(entries: usize) {
    let shared = replay(&Scenario::rejecting(entries, Evidence::Shared));
    let own = replay(&Scenario::rejecting(entries, Evidence::Own));
    let (failed, own_failed) = (shared.failed_share(CONVERGED_US), own.failed_share(CONVERGED_US));
    println!("{entries} entries: failed after work {failed:.4}, own sample {own_failed:.4}");
    assert!(failed < MAX_FAILED_SHARE, "{failed} failed");
    assert!(own_failed > 5.0 * MAX_FAILED_SHARE, "{own_failed} failed with the own sample");
    for kind in [CHAIN, URGENT_CHAIN] {
        let reduced_s = shared.seconds_until(kind, 3 * S, |admitted| admitted < 0.1);
        let returned_s = shared.seconds_until(kind, 11 * S, |admitted| admitted > 0.9);
        let ratios = &shared.ratios[100][kind];
        let highest = ratios.iter().copied().fold(0.0, f64::max);
        println!("kind {kind}: reduced {reduced_s} s, returned {returned_s} s, highest {highest}");
        assert!(reduced_s <= 2.0, "reduced after {reduced_s} s");
        assert!(returned_s <= 2.0, "returned {returned_s} s after the end");
        assert!(highest <= 0.1, "an entry admits {highest} in the middle of the load");
    }
    let direct = shared.sum(DIRECT, CONVERGED_US);
    let served = f64::from(direct.succeeded) / f64::from(direct.offered);
    println!("direct: served {served:.3}");
    assert_eq!(direct.admitted, direct.offered, "direct requests are refused on entry");
    // A call at the bottleneck succeeds in 45 of 100 cases; the sample has a deviation of 0.012.
    assert!(served > 0.41, "{served} of the direct requests are served");
}

macro_rules! rejecting_cases {
    ($($name:ident: $entries:literal;)*) => {
        $(
            #[test]
            fn $name() {
                check_rejecting($entries);
            }
        )*
    };
}

rejecting_cases! {
    chains_are_reduced_to_probes_with_20_entries: 20;
    chains_are_reduced_to_probes_with_91_entries: 91;
    chains_are_reduced_to_probes_with_300_entries: 300;
}

/// The next collector takes over while the first one of each route does not answer.
#[test]
fn admission_returns_after_the_loss_of_a_collector() {
    let load = Scenario { lost_us: 7 * S..15 * S, ..Scenario::rejecting(91, Evidence::Shared) };
    let shared = replay(&load);
    let failed = shared.failed_share(CONVERGED_US);
    println!("lost collector: failed after work {failed:.4}");
    assert!(failed < MAX_FAILED_SHARE, "{failed} failed");
    for kind in [CHAIN, URGENT_CHAIN] {
        let returned_s = shared.seconds_until(kind, 11 * S, |admitted| admitted > 0.9);
        println!("kind {kind}: returned {returned_s} s");
        assert!(returned_s <= 2.0, "returned {returned_s} s after the end");
    }
}

/// Nodes of older versions do not answer as collectors; the node's own results then decide more.
#[test]
fn without_collectors_fewer_requests_fail_than_with_the_own_sample() {
    let without = replay(&Scenario::rejecting(91, Evidence::SharedWithoutCollector));
    let own = replay(&Scenario::rejecting(91, Evidence::Own));
    let (failed, own_failed) = (without.failed_share(CONVERGED_US), own.failed_share(CONVERGED_US));
    println!("without collectors: failed after work {failed:.4}, own sample {own_failed:.4}");
    assert!(failed < own_failed / 3.0, "{failed} failed, {own_failed} with the own sample");
}

//! Comparison with the decisions that were weighed in `docs/design/even-load.md`.

use crate::policies::{Ranking, SmallPolicy};
use crate::scenarios::{MAX_BUSIEST, estimated, half_speed, jumps, same_start, stale, two_choices};
use crate::simulation::{Outcome, Scenario, simulate};

/// Runs a decision in each scenario and prints what callers lose.
fn run_all(name: &str, run: impl Fn(&Scenario) -> Outcome) -> [Outcome; 4] {
    let outcomes = [same_start(), half_speed(), jumps(), stale()].map(|scenario| run(&scenario));
    for (scenario, outcome) in ["start", "half", "jumps", "stale"].iter().zip(&outcomes) {
        println!("{name} {scenario} {outcome:?}");
    }
    outcomes
}

fn worst_wait_us(outcomes: &[Outcome]) -> Option<u64> {
    outcomes.iter().map(|outcome| outcome.p99_wait_us).max()
}

/// Guards against a decision that is good under one load pattern and bad under another. The worst
/// wait over the patterns is lower than that of each decision that asks the VMs no more often.
/// Probing sends three messages more for each call, so only its evenness is compared.
#[test]
fn worst_wait_is_lower_than_that_of_other_decisions() {
    let small = |ranking: Ranking| {
        move |scenario: &Scenario| simulate(scenario, |_| SmallPolicy::new(ranking, scenario.nodes))
    };
    let new = run_all("estimated", estimated);
    let worst = worst_wait_us(&new);
    let others = [
        run_all("two-choices", two_choices),
        run_all("least-loaded", small(Ranking::LeastLoaded)),
        run_all("latency-weighted", small(Ranking::LatencyWeighted)),
        run_all("replica-ranking", small(Ranking::ReplicaScore)),
    ];
    for other in others {
        assert!(worst < worst_wait_us(&other), "{new:?}, {other:?}");
    }
    let [_, half, ..] = run_all("probing", small(Ranking::Probing));
    assert!(half.busiest_in_a_second > MAX_BUSIEST, "{half:?}");
}

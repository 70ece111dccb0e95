//! Load patterns, each with the decision that was replaced beside the new one.

use policy::estimated_load::EstimatedLoad;
use policy::placement::Placement;

use crate::policies::{Ranking, SmallPolicy};
use crate::simulation::{MS, Outcome, S, Scenario, simulate};

/// Busiest over mean utilisation that is the target on a calm day.
const MAX_BUSIEST: f64 = 1.15;
/// Share of the refused calls that may be refused while a VM is below 0.7 of its slots.
const MAX_WRONG_REFUSALS: f64 = 0.01;

fn estimated(scenario: &Scenario) -> Outcome {
    simulate(scenario, EstimatedLoad::new)
}

fn two_choices(scenario: &Scenario) -> Outcome {
    simulate(scenario, Placement::new)
}

#[test]
#[ignore]
fn explore() {
    for (name, scenario) in [
        ("start", same_start()),
        ("half", half_speed()),
        ("jumps", jumps()),
        ("stale", stale()),
        ("300", large()),
        ("wave", wave()),
        ("burst", burst()),
        ("over", overload()),
        ("overj", Scenario { speed_at: jumping_speed, demand: 0.85, ..Scenario::default() }),
        ("stuck", stuck()),
    ] {
        let small = |ranking| simulate(&scenario, |_| SmallPolicy::new(ranking, scenario.nodes));
        if std::env::var("ONLY").is_ok() {
            let o = estimated(&scenario);
            println!("{name:6} refused {:5} wrong {:5} byvm {:6} p99w {:6} p99l {:6} busiest {:.3} 1s {:.3} crossed {}", o.refused, o.refused_with_room, o.refusals_by_vms, o.p99_wait_us, o.p99_latency_us, o.busiest, o.busiest_in_a_second, o.crossed);
            continue;
        }
        for (policy, outcome) in [
            ("estimated", estimated(&scenario)),
            ("two", two_choices(&scenario)),
            ("least", small(Ranking::LeastLoaded)),
            ("latency", small(Ranking::LatencyWeighted)),
            ("prequal", small(Ranking::Probing)),
            ("c3", small(Ranking::ReplicaRanking)),
        ] {
            let Outcome {
                calls,
                refused,
                refused_with_room,
                refusals_by_vms,
                p99_wait_us,
                p99_latency_us,
                busiest,
                busiest_in_a_second,
                crossed,
            } = outcome;
            println!(
                "{name:6} {policy:9} calls {calls:6} refused {refused:6} wrong {refused_with_room:6} byvm {refusals_by_vms:6} p99w {p99_wait_us:6} p99l {p99_latency_us:6} busiest {busiest:.3} 1s {busiest_in_a_second:.3} crossed {crossed}"
            );
        }
    }
}

fn same_start() -> Scenario {
    Scenario { duration_us: 4 * S, measure_from_us: 0, demand: 0.7, ..Scenario::default() }
}

fn half_speed() -> Scenario {
    let speed: fn(usize) -> f64 = |vm| if vm == 0 { 0.5 } else { 1.0 };
    Scenario {
        demand: 0.7,
        speed_at: |_, vm| if vm == 0 { 0.5 } else { 1.0 },
        usual_speed: speed,
        ..Scenario::default()
    }
}

/// Speed of a VM that becomes 2.5 times slower for 0.1 to 0.6 s at a time, 15 % of the time.
fn jumping_speed(now_us: u64, vm: usize) -> f64 {
    let shifted_us = now_us + vm as u64 * 217 * MS;
    let period = shifted_us / (600 * MS);
    let hash = (period ^ (vm as u64) << 32).wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 33;
    let length_us = (100 + hash / 16 % 500) * MS;
    // A period in 3.9 has a jump, which lasts 0.35 s on average.
    let is_slow = hash % 1_000 < 257 && shifted_us % (600 * MS) < length_us;
    if is_slow { 0.4 } else { 1.0 }
}

fn jumps() -> Scenario {
    Scenario { speed_at: jumping_speed, ..Scenario::default() }
}

fn stale() -> Scenario {
    Scenario { demand: 0.7, report_delay_us: 2 * S, ..Scenario::default() }
}

fn large() -> Scenario {
    Scenario { nodes: 300, vms: 30, demand: 0.7, duration_us: 8 * S, ..Scenario::default() }
}

fn wave() -> Scenario {
    Scenario {
        data_centres: 3,
        vms: 12,
        demand: 0.625,
        demand_at: |now_us, _| {
            let phase = now_us as f64 / (15 * S) as f64 * std::f64::consts::TAU;
            1.0 + 0.55 * phase.sin()
        },
        duration_us: 18 * S,
        ..Scenario::default()
    }
}

fn burst() -> Scenario {
    Scenario {
        data_centres: 3,
        demand: 0.5,
        demand_at: |now_us, data_centre| match data_centre == 0 && now_us > 5 * S {
            true => 2.5,
            false => 1.0,
        },
        duration_us: 10 * S,
        ..Scenario::default()
    }
}

fn overload() -> Scenario {
    Scenario { demand: 1.4, duration_us: 5 * S, measure_from_us: S, ..Scenario::default() }
}

fn stuck() -> Scenario {
    Scenario {
        speed_at: |now_us, vm| if vm == 0 && (3 * S..7 * S).contains(&now_us) { 0.0 } else { 1.0 },
        ..Scenario::default()
    }
}

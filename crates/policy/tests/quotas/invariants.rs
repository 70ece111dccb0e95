//! Bounds that hold whatever messages are lost or delayed and whichever machines fail.

use model::Quota;
use policy::quota_bucket::QuotaDecision;
use policy::{US_PER_MS, US_PER_S};
use proptest::prelude::*;

use crate::world::{Delays, World};

const NODE_COUNT: usize = 5;
const QUOTA: Quota = Quota { rate_per_s: 40.0, burst: 40.0 };
/// Delay of a message that never arrives within a test.
const LOST_US: u64 = 1_000 * US_PER_S;

/// Delays of an idle network.
const PROMPT: Delays = Delays { up_us: US_PER_MS, commit_us: US_PER_MS, down_us: US_PER_MS };

#[derive(Debug, Clone, Copy)]
enum Step {
    Report { node: usize, delays: Delays },
    Requests { node: usize, count: u32 },
    Pass { elapsed_us: u64 },
    ChangeLeader,
    Restart { node: usize },
    Freeze { node: usize, duration_us: u64 },
}

fn delay() -> impl Strategy<Value = u64> {
    prop_oneof![
        8 => 0..20 * US_PER_MS,
        2 => 0..2 * US_PER_S,
        1 => 0..12 * US_PER_S,
        1 => Just(LOST_US),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    let delays = (delay(), 0..40 * US_PER_MS, delay());
    let delays =
        delays.prop_map(|(up_us, commit_us, down_us)| Delays { up_us, commit_us, down_us });
    let node = || 0..NODE_COUNT;
    prop_oneof![
        30 => (node(), delays).prop_map(|(node, delays)| Step::Report { node, delays }),
        30 => (node(), 1..60_u32).prop_map(|(node, count)| Step::Requests { node, count }),
        30 => (0..400 * US_PER_MS).prop_map(|elapsed_us| Step::Pass { elapsed_us }),
        3 => (0..6 * US_PER_S).prop_map(|elapsed_us| Step::Pass { elapsed_us }),
        2 => Just(Step::ChangeLeader),
        2 => node().prop_map(|node| Step::Restart { node }),
        2 => (node(), 0..9 * US_PER_S)
            .prop_map(|(node, duration_us)| Step::Freeze { node, duration_us }),
    ]
}

fn send_requests(world: &mut World, node: usize, count: u32) {
    let boot_us = world.boot_us(node);
    for _ in 0..count {
        world.nodes[node].bucket.record_offered(boot_us);
        if world.nodes[node].bucket.admit(boot_us, QUOTA, 0) == QuotaDecision::Admitted {
            world.record_admission(node);
        }
    }
}

fn run(steps: &[Step]) -> World {
    let mut world = World::new(NODE_COUNT, QUOTA);
    for step in steps {
        match *step {
            Step::Report { node, delays } if !world.is_frozen(node) => world.report(node, delays),
            Step::Requests { node, count } if !world.is_frozen(node) => {
                send_requests(&mut world, node, count);
            }
            Step::Report { .. } | Step::Requests { .. } => {}
            Step::Pass { elapsed_us } => world.advance(elapsed_us),
            Step::ChangeLeader => world.change_leader(),
            Step::Restart { node } => world.restart(node),
            Step::Freeze { node, duration_us } => {
                world.nodes[node].frozen_until_us = world.now_us + duration_us;
            }
        }
    }
    world
}

/// Guards against a share that a new leader renews by a report from before the holder gave it up: the
/// earlier leader has lent it to others since.
#[test]
fn a_delayed_report_does_not_bring_back_a_share_that_was_given_up() {
    let mut world = World::new(2, QUOTA);
    let round = |world: &mut World, node: usize| {
        world.report(node, PROMPT);
        world.advance(10 * US_PER_MS);
    };
    for _ in 0..100 {
        send_requests(&mut world, 0, 2);
        round(&mut world, 0);
    }
    let now_us = world.boot_us(0);
    assert!(world.nodes[0].bucket.share(now_us) > 0.9);
    // Both want more than half. The report arrives after the change of leader.
    send_requests(&mut world, 1, 60);
    round(&mut world, 1);
    world.report(0, PROMPT);
    world.advance(US_PER_MS);
    world.report(0, Delays { up_us: 500 * US_PER_MS, ..PROMPT });
    world.advance(10 * US_PER_MS);
    // The answer to the report that confirms the reduction is lost.
    world.report(0, Delays { down_us: LOST_US, ..PROMPT });
    world.advance(10 * US_PER_MS);
    send_requests(&mut world, 1, 60);
    round(&mut world, 1);
    let now_us = world.boot_us(1);
    assert!(world.nodes[1].bucket.share(now_us) > 0.3, "the share has moved");
    world.change_leader();
    // The world checks the sum of the shares.
    world.advance(US_PER_S);
}

/// Guards against tokens that a new leader lends from the part of a holder that is cut off from it and
/// still uses that part.
#[test]
fn a_change_of_leader_lends_no_tokens_of_a_holder_that_is_cut_off() {
    const TICK_US: u64 = 10 * US_PER_MS;
    let mut world = World::new(2, QUOTA);
    // Both nodes want more than half.
    for _ in 0..300 {
        (0..2).for_each(|node| send_requests(&mut world, node, 2));
        (0..2).for_each(|node| world.report(node, PROMPT));
        world.advance(TICK_US);
    }
    world.change_leader();
    for tick in 0..600 {
        if tick >= 450 {
            (0..2).for_each(|node| send_requests(&mut world, node, 2));
        }
        world.report(1, PROMPT);
        world.advance(TICK_US);
    }
    let of_cut_off = world
        .admissions
        .iter()
        .filter(|(at_us, node)| *node == 0 && *at_us > world.now_us - 150 * TICK_US);
    assert!(of_cut_off.count() >= 20, "the share is valid for its loan period");
    let excess = world.max_excess(QUOTA);
    assert!(excess <= 0.0, "a window exceeds its bound by {excess}");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, ..ProptestConfig::default() })]

    /// Guards against a share that two nodes may use at once (checked in the world at every event),
    /// and against tokens that are counted twice when a share moves.
    #[test]
    fn shares_and_admissions_stay_within_the_quota(
        steps in proptest::collection::vec(step(), 1..250),
    ) {
        let world = run(&steps);
        let excess = world.max_excess(QUOTA);
        prop_assert!(excess <= 0.0, "a window exceeds its bound by {excess}");
    }

    /// Guards against a share that brings tokens which its last holder has used already.
    #[test]
    fn shares_that_move_bring_no_used_tokens(
        bursts in proptest::collection::vec((0..NODE_COUNT, 20..80_u32, 0..300_u64), 1..40),
    ) {
        let mut world = World::new(NODE_COUNT, QUOTA);
        for (node, count, elapsed_ms) in bursts {
            send_requests(&mut world, node, count);
            for _ in 0..3 {
                send_requests(&mut world, node, 2);
                (0..NODE_COUNT).for_each(|node| world.report(node, PROMPT));
                world.advance(10 * US_PER_MS);
            }
            send_requests(&mut world, node, count);
            world.advance(elapsed_ms * US_PER_MS);
        }
        let excess = world.max_excess(QUOTA);
        prop_assert!(excess <= 0.0, "a window exceeds its bound by {excess}");
    }
}

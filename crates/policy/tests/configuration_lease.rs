//! Whether a configuration is proven recent enough, from proofs, the active version and the time.

use policy::US_PER_MS;
use policy::configuration_lease::{ConfigurationLease, FreshnessProof};
use proptest::prelude::*;

const MAX_AGE_MS: u64 = 5_000;
const MARGIN_MS: u64 = 100;

/// A proof and the time of its arrival, in milliseconds of the boot clock.
#[derive(Debug, Clone, Copy)]
struct Arrival {
    arrived_ms: u64,
    stamp_ms: u64,
    version: u64,
}

fn lease_with(arrivals: &[Arrival]) -> ConfigurationLease {
    let mut lease = ConfigurationLease::new(MAX_AGE_MS);
    for arrival in arrivals {
        let proof =
            FreshnessProof { stamp_us: arrival.stamp_ms * US_PER_MS, version: arrival.version };
        lease.record(arrival.arrived_ms * US_PER_MS, proof);
    }
    lease
}

/// Checks leases; a proof is written as `stamp arrived version`, all times in milliseconds.
macro_rules! leases {
    ($($(#[$attribute:meta])* $name:ident:
        [$($stamp:literal arrived $arrived:literal version $version:literal),*],
        active $active:literal at $now:literal => $expected:literal;)*) => {
        $(
            $(#[$attribute])*
            #[test]
            fn $name() {
                let arrivals: &[Arrival] = &[$(Arrival {
                    arrived_ms: $arrived, stamp_ms: $stamp, version: $version,
                }),*];
                let lease = lease_with(arrivals);
                assert_eq!(lease.is_valid($now * US_PER_MS, $active), $expected, "{lease:?}");
            }
        )*
    };
}

leases! {
    /// Guards against a restarted node that serves keyed requests from a stored configuration.
    no_proof_is_no_lease: [], active 7 at 1_000 => false;
    recent_proof_of_the_active_version_counts:
        [1_000 arrived 1_100 version 7], active 7 at 5_000 => true;
    /// The active version may be newer than the one that the proof was read with.
    proof_of_an_older_version_counts:
        [1_000 arrived 1_100 version 6], active 7 at 5_000 => true;
    /// Guards against a node that counts a proof for a configuration that it has not received.
    proof_of_a_newer_version_does_not_count:
        [1_000 arrived 1_100 version 8], active 7 at 1_200 => false;
    /// Guards against refusals while a new configuration is on its way to the node.
    newer_version_does_not_hide_an_older_proof:
        [1_000 arrived 1_100 version 7, 2_000 arrived 2_100 version 8],
        active 7 at 5_000 => true;
    /// Guards against an extension of the old lease by the proof of the newer version.
    newer_version_does_not_extend_an_older_proof:
        [1_000 arrived 1_100 version 7, 2_000 arrived 2_100 version 8],
        active 7 at 6_000 => false;
    /// Guards against a second proof that is needed after the newer version becomes active.
    proof_counts_once_its_version_is_active:
        [1_000 arrived 1_100 version 7, 2_000 arrived 2_100 version 8],
        active 8 at 6_800 => true;
    lease_lasts_until_the_margin: [1_000 arrived 1_100 version 7], active 7 at 5_899 => true;
    /// Guards against a lease that uses the margin for the drift of clocks.
    lease_ends_at_the_margin: [1_000 arrived 1_100 version 7], active 7 at 5_900 => false;
    /// Guards against an age that is counted from the arrival of a proof that waited in a buffer.
    late_proof_counts_from_its_stamp: [1_000 arrived 5_000 version 7], active 7 at 5_900 => false;
    late_proof_counts_for_the_rest: [1_000 arrived 5_000 version 7], active 7 at 5_899 => true;
    /// Guards against a proof that is accepted after its end.
    expired_proof_does_not_count: [1_000 arrived 9_000 version 7], active 7 at 9_000 => false;
    /// Guards against an older proof, from another stream, that shortens the lease.
    overtaken_proof_does_not_replace_a_newer_one:
        [4_000 arrived 4_100 version 7, 1_000 arrived 4_200 version 7],
        active 7 at 8_800 => true;
    /// An older proof of a lower version counts where the newer one does not.
    overtaken_proof_of_a_lower_version_counts:
        [4_000 arrived 4_100 version 8, 3_000 arrived 4_200 version 7],
        active 7 at 7_800 => true;
    /// Guards against a lease that outlasts the suspension of the machine: the clock counts it.
    suspended_time_counts: [1_000 arrived 1_100 version 7], active 7 at 3_601_100 => false;
    /// Guards against stamps of an earlier boot, whose clock was further ahead.
    stamp_of_the_future_does_not_count:
        [90_000 arrived 1_000 version 7], active 7 at 90_100 => false;
    /// Guards against a clock that runs backwards.
    time_before_the_stamp_does_not_count:
        [1_000 arrived 1_100 version 7], active 7 at 900 => false;
    /// A lower version in a later proof is impossible while control works; the claim that it makes
    /// is still true of a node with a higher version.
    later_proof_of_a_lower_version_replaces_the_earlier:
        [1_000 arrived 1_100 version 8, 2_000 arrived 2_100 version 7],
        active 7 at 6_000 => true;
}

/// Guards against an underflow that makes a lease endless.
#[test]
fn maximum_age_within_the_margin_gives_no_lease() {
    let mut lease = ConfigurationLease::new(MARGIN_MS);
    lease.record(1_000, FreshnessProof { stamp_us: 1_000, version: 1 });
    assert!(!lease.is_valid(1_000, 1));
}

/// Guards against growth without a bound, and against the loss of the only proof that counts, while
/// versions arrive faster than the node can load them.
#[test]
fn proof_of_the_active_version_outlasts_many_newer_versions() {
    let newer = (0..1_000).map(|index| Arrival {
        arrived_ms: 1_001 + index,
        stamp_ms: 1_001 + index,
        version: 8 + index,
    });
    let first = Arrival { arrived_ms: 1_000, stamp_ms: 1_000, version: 7 };
    let lease = lease_with(&std::iter::once(first).chain(newer).collect::<Vec<_>>());
    assert!(lease.is_valid(5_800 * US_PER_MS, 7));
    assert_eq!(lease.proven_us(7), Some(1_000 * US_PER_MS));
    assert_eq!(lease.proven_us(1_007), Some(2_000 * US_PER_MS));
}

fn arrival() -> impl Strategy<Value = Arrival> {
    (0..40_u64, 0..8_000_u64, 1..6_u64).prop_map(|(stamp, delay_ms, version)| {
        let stamp_ms = stamp * 250;
        Arrival { arrived_ms: stamp_ms + delay_ms, stamp_ms, version }
    })
}

proptest! {
    /// Guards against a difference between the bounded list and the definition: valid if and only if
    /// one of the received proofs counts by its version and its age.
    #[test]
    fn lease_is_valid_if_and_only_if_a_proof_counts(
        mut arrivals in prop::collection::vec(arrival(), 0..25),
        active_version in 1..6_u64,
        later_ms in 0..6_000_u64,
    ) {
        arrivals.sort_by_key(|arrival| arrival.arrived_ms);
        let now_ms = arrivals.last().map_or(0, |last| last.arrived_ms) + later_ms;
        let counts = |a: &Arrival| {
            a.version <= active_version && now_ms - a.stamp_ms < MAX_AGE_MS - MARGIN_MS
        };
        let lease = lease_with(&arrivals);
        prop_assert_eq!(
            lease.is_valid(now_ms * US_PER_MS, active_version),
            arrivals.iter().any(counts),
        );
    }
}

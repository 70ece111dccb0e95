//! Selection of the member to remove from the cluster.

use consensus::{Member, Membership, ReplicaId};
use control::membership::member_to_remove;

const MICROS_PER_SECOND: u64 = 1_000_000;

/// Checks which voter is removed; `voters` holds the address and the contact age in seconds of
/// each.
fn check(voters: &[(&str, u64)], expected: Option<u64>) {
    let members = voters.iter().enumerate().map(|(index, (address, _))| {
        let member =
            Member { address: (*address).to_owned(), data_centre: "a".to_owned(), is_voter: true };
        (ReplicaId(index as u64), member)
    });
    let membership = Membership { members: members.collect() };
    let contact_age_us = |id: ReplicaId| voters[id.0 as usize].1 * MICROS_PER_SECOND;
    assert_eq!(member_to_remove(&membership, contact_age_us), expected.map(ReplicaId));
}

macro_rules! cases {
    ($($name:ident: $voters:expr => $expected:expr;)*) => {
        $(
            #[test]
            fn $name() {
                check(&$voters, $expected);
            }
        )*
    };
}

cases! {
    reachable_voters_are_kept: [("1", 0), ("2", 0), ("3", 0), ("4", 0)] => None;
    older_voter_at_same_address_is_removed: [("1", 0), ("2", 0), ("3", 0), ("2", 0)] => Some(1);
    one_lost_voter_of_four_is_removed: [("1", 0), ("2", 30), ("3", 0), ("4", 0)] => Some(1);
    voter_below_removal_contact_age_is_kept: [("1", 0), ("2", 5), ("3", 0), ("4", 0)] => None;
    lost_voter_of_three_is_kept: [("1", 0), ("2", 30), ("3", 0)] => None;
    two_lost_voters_of_four_are_kept: [("1", 0), ("2", 30), ("3", 30), ("4", 0)] => None;
    lost_voter_is_kept_while_another_is_unreachable:
        [("1", 0), ("2", 30), ("3", 3), ("4", 0)] => None;
    lost_voter_of_two_is_kept: [("1", 0), ("2", 30)] => None;
}

//! Which members a cluster goes on without.

use consensus::{Member, Membership, ReplicaId};
use control::membership::superfluous_member;

const S: u64 = 1_000_000;

/// Checks which member is removed, given the address and the silence in seconds of each voter.
fn check(voters: &[(&str, u64)], expected: Option<u64>) {
    let members = voters.iter().enumerate().map(|(index, (address, _))| {
        let member =
            Member { address: (*address).to_owned(), data_centre: "a".to_owned(), is_voter: true };
        (ReplicaId(index as u64), member)
    });
    let membership = Membership { members: members.collect() };
    let silence_us = |id: ReplicaId| voters[id.0 as usize].1 * S;
    assert_eq!(superfluous_member(&membership, silence_us), expected.map(ReplicaId));
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
    sound_voters_stay: [("1", 0), ("2", 0), ("3", 0), ("4", 0)] => None;
    replaced_at_the_same_address: [("1", 0), ("2", 0), ("3", 0), ("2", 0)] => Some(1);
    replaced_at_another_address: [("1", 0), ("2", 30), ("3", 0), ("4", 0)] => Some(1);
    restart_is_no_reason: [("1", 0), ("2", 5), ("3", 0), ("4", 0)] => None;
    odd_number_keeps_a_silent_voter: [("1", 0), ("2", 30), ("3", 0)] => None;
    two_silent_voters_stay: [("1", 0), ("2", 30), ("3", 30), ("4", 0)] => None;
    silent_voter_stays_while_another_is_doubtful: [("1", 0), ("2", 30), ("3", 3), ("4", 0)] => None;
    two_voters_stay: [("1", 0), ("2", 30)] => None;
}

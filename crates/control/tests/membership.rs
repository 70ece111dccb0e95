//! Choice of the next change of the membership.

use consensus::{Member, Membership, ReplicaId};
use control::membership::{MemberHealth, MembershipStep, is_removed_at_stop, next_step};

const MICROS_PER_MILLI: u64 = 1_000;

/// Contact ages in milliseconds by the index of the member. All members are caught up and have been
/// known for this time, in milliseconds.
struct ContactAges(Vec<u64>, u64);

impl MemberHealth for ContactAges {
    fn contact_age_us(&self, id: ReplicaId) -> u64 {
        self.0[id.0 as usize] * MICROS_PER_MILLI
    }

    fn known_us(&self, _id: ReplicaId) -> u64 {
        self.1 * MICROS_PER_MILLI
    }

    fn is_caught_up(&self, _id: ReplicaId) -> bool {
        true
    }
}

/// Address, contact age in milliseconds and whether the member votes.
type MemberState = (&'static str, u64, Role);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Role {
    Voter,
    Learner,
}

use Role::{Learner, Voter};

fn membership(members: &[MemberState]) -> Membership {
    let members = members.iter().enumerate().map(|(index, (address, _, role))| {
        let member = Member {
            address: (*address).to_owned(),
            data_centre: "a".to_owned(),
            is_voter: *role == Voter,
        };
        (ReplicaId(index as u64), member)
    });
    Membership { members: members.collect() }
}

fn check(members: &[MemberState], known_ms: u64, expected: Option<MembershipStep>) {
    let health = ContactAges(members.iter().map(|(_, age_ms, _)| *age_ms).collect(), known_ms);
    assert_eq!(next_step(&membership(members), &health), expected);
}

fn remove(index: u64) -> Option<MembershipStep> {
    Some(MembershipStep::Remove(ReplicaId(index)))
}

fn promote(index: u64) -> Option<MembershipStep> {
    Some(MembershipStep::Promote(ReplicaId(index)))
}

macro_rules! cases {
    ($($name:ident: $members:expr => $expected:expr;)*) => {
        $(
            #[test]
            fn $name() {
                check(&$members, 60_000, $expected);
            }
        )*
    };
}

cases! {
    reachable_voters_are_kept:
        [("1", 0, Voter), ("2", 0, Voter), ("3", 0, Voter), ("4", 0, Voter)] => None;
    older_voter_at_same_address_is_removed:
        [("1", 0, Voter), ("2", 0, Voter), ("3", 0, Voter), ("2", 0, Voter)] => remove(1);
    older_voter_is_removed_before_learner_at_same_address_is_promoted:
        [("1", 0, Voter), ("2", 500, Voter), ("3", 0, Voter), ("2", 0, Learner)] => remove(1);
    one_lost_voter_of_four_is_removed:
        [("1", 0, Voter), ("2", 30_000, Voter), ("3", 0, Voter), ("4", 0, Voter)] => remove(1);
    voter_of_four_is_removed_once_it_counts_as_lost:
        [("1", 0, Voter), ("2", 1_501, Voter), ("3", 0, Voter), ("4", 0, Voter)] => remove(1);
    voter_below_removal_contact_age_is_kept:
        [("1", 0, Voter), ("2", 1_500, Voter), ("3", 0, Voter), ("4", 0, Voter)] => None;
    lost_voter_of_three_is_kept:
        [("1", 0, Voter), ("2", 30_000, Voter), ("3", 0, Voter)] => None;
    two_lost_voters_of_four_are_kept:
        [("1", 0, Voter), ("2", 30_000, Voter), ("3", 30_000, Voter), ("4", 0, Voter)] => None;
    lost_voter_is_kept_while_another_is_unreachable:
        [("1", 0, Voter), ("2", 30_000, Voter), ("3", 3_000, Voter), ("4", 0, Voter)] => None;
    lost_voter_of_two_is_kept:
        [("1", 0, Voter), ("2", 30_000, Voter)] => None;
    one_of_two_lost_voters_of_six_is_removed:
        [("1", 0, Voter), ("2", 3_000, Voter), ("3", 4_000, Voter), ("4", 0, Voter),
         ("5", 0, Voter), ("6", 0, Voter)] => remove(2);
    one_lost_voter_of_five_is_kept:
        [("1", 0, Voter), ("2", 30_000, Voter), ("3", 0, Voter), ("4", 0, Voter),
         ("5", 0, Voter)] => None;
    one_of_two_lost_voters_of_five_is_removed:
        [("1", 0, Voter), ("2", 30_000, Voter), ("3", 9_000, Voter), ("4", 0, Voter),
         ("5", 0, Voter)] => remove(1);
    two_voters_of_five_that_are_away_for_a_restart_are_kept:
        [("1", 0, Voter), ("2", 8_000, Voter), ("3", 8_000, Voter), ("4", 0, Voter),
         ("5", 0, Voter)] => None;
    learner_is_promoted_beside_reachable_voters:
        [("1", 0, Voter), ("2", 0, Voter), ("3", 0, Voter), ("4", 0, Learner)] => promote(3);
    lost_voter_is_removed_before_its_successor_is_promoted:
        [("1", 0, Voter), ("2", 1_501, Voter), ("3", 0, Voter), ("4", 0, Learner)] => remove(1);
    learner_waits_while_a_silent_voter_may_be_lost:
        [("1", 0, Voter), ("2", 1_200, Voter), ("3", 0, Voter), ("4", 0, Learner)] => None;
    learner_is_promoted_after_the_lost_voter_was_removed:
        [("1", 0, Voter), ("3", 0, Voter), ("4", 0, Learner)] => promote(2);
    silent_learner_is_not_promoted:
        [("1", 0, Voter), ("2", 0, Voter), ("3", 0, Voter), ("4", 3_000, Learner)] => None;
    abandoned_learner_is_removed:
        [("1", 0, Voter), ("2", 0, Voter), ("3", 0, Voter), ("4", 9_000, Learner)] => remove(3);
}

/// Guards against a learner that is promoted beside a voter that has just been lost.
#[test]
fn learner_waits_until_voters_lost_before_its_admission_count_as_lost() {
    let members = [("1", 0, Voter), ("2", 300, Voter), ("3", 0, Voter), ("4", 0, Learner)];
    check(&members, 300, None);
    check(&members, 1_500, None);
    check(&members, 1_501, promote(3));
}

macro_rules! stops {
    ($($name:ident: $voters:literal => $expected:literal;)*) => {
        $(
            #[test]
            fn $name() {
                let addresses = ["1", "2", "3", "4", "5", "6", "7"];
                let members: Vec<MemberState> =
                    addresses[..$voters].iter().map(|address| (*address, 0, Voter)).collect();
                assert_eq!(is_removed_at_stop(&membership(&members), ReplicaId(0)), $expected);
            }
        )*
    };
}

stops! {
    stopping_voter_of_two_is_kept: 2 => false;
    stopping_voter_of_three_is_kept: 3 => false;
    stopping_voter_of_four_is_removed: 4 => true;
    stopping_voter_of_five_is_kept: 5 => false;
    stopping_voter_of_six_is_removed: 6 => true;
}

//! Changes of the membership that a leader makes on its own: promotion of learners, and removal of
//! members that are gone.

use consensus::{Member, Membership, ReplicaId};

/// Contact age above which a voter counts as lost, in microseconds. A voter that was only slow to
/// return joins again, so a wrong guess costs no fault tolerance; a late one leaves a dead voter in
/// the quorum beside its successor when the next one is lost.
const LOST_CONTACT_AGE_US: u64 = 1_500_000;
/// Contact age below which a voter counts as reachable, in microseconds: several heartbeat
/// intervals.
const MAX_REACHABLE_CONTACT_AGE_US: u64 = 1_000_000;
/// Contact age above which a member is removed although that alone gains nothing, in microseconds:
/// longer than a restart or a short network failure.
const ABANDONED_CONTACT_AGE_US: u64 = 8_000_000;
/// Number of voters at or below which none is removed without a successor.
const MIN_VOTERS: usize = 3;

/// Change of the membership by one member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MembershipStep {
    /// Makes a learner a voter.
    Promote(ReplicaId),
    /// Removes a member.
    Remove(ReplicaId),
}

/// What a leader knows about its members.
pub trait MemberHealth {
    /// Returns the time since the last message from a member, in microseconds; zero for the leader.
    fn contact_age_us(&self, id: ReplicaId) -> u64;
    /// Returns the time for which the leader has known a member, in microseconds.
    fn known_us(&self, id: ReplicaId) -> u64;
    /// Returns whether the log of a member holds all committed entries.
    fn is_caught_up(&self, id: ReplicaId) -> bool;
}

/// Returns the next change of the membership, if any.
///
/// A lost voter is removed before its successor is promoted. The quorum of the remaining voters is
/// never larger than that of all of them, while a successor that is added first raises it: of three
/// voters, one of them lost, and a successor, three would have to live. A learner waits until a voter
/// that was lost before its admission counts as lost.
pub fn next_step(membership: &Membership, health: &impl MemberHealth) -> Option<MembershipStep> {
    if let Some(id) = superseded_member(membership) {
        return Some(MembershipStep::Remove(id));
    }
    let voters = Voters::new(membership, health);
    if voters.live_count() < membership.quorum() {
        return None;
    }
    let mut learners = membership.members.iter().filter(|(_, member)| !member.is_voter);
    let is_ready = |id: ReplicaId| {
        health.is_caught_up(id) && health.contact_age_us(id) < MAX_REACHABLE_CONTACT_AGE_US
    };
    let successor = learners.clone().map(|(id, _)| *id).find(|id| is_ready(*id));
    if let Some(id) = successor {
        return match voters.longest_lost(LOST_CONTACT_AGE_US) {
            Some(lost) => Some(MembershipStep::Remove(lost)),
            None if health.known_us(id) <= LOST_CONTACT_AGE_US => None,
            None => voters.are_reachable().then_some(MembershipStep::Promote(id)),
        };
    }
    if let Some(id) = voters.surplus() {
        return Some(MembershipStep::Remove(id));
    }
    let abandoned = learners.find(|(id, _)| health.contact_age_us(**id) > ABANDONED_CONTACT_AGE_US);
    abandoned.map(|(id, _)| MembershipStep::Remove(*id))
}

/// Returns whether a replica that stops is to be removed: the others tolerate as many losses without
/// it as they do while it runs. It joins again if it returns.
pub fn is_removed_at_stop(membership: &Membership, id: ReplicaId) -> bool {
    let voters = membership.voters().count();
    membership.is_voter(id) && voters > MIN_VOTERS && voters.is_multiple_of(2)
}

/// Returns a member that has the address of a member that was added after it. The later one runs
/// with an empty disk, so the earlier one is gone with its disk.
fn superseded_member(membership: &Membership) -> Option<ReplicaId> {
    let is_superseded = |index: usize, member: &Member| {
        let mut later = membership.members.values().skip(index + 1);
        later.any(|other| other.address == member.address)
    };
    let mut members = membership.members.iter().enumerate();
    let superseded = members.find(|(index, (_, member))| is_superseded(*index, member));
    superseded.map(|(_, (id, _))| *id)
}

/// Contact ages of the voters, in microseconds.
struct Voters(Vec<(ReplicaId, u64)>);

impl Voters {
    fn new(membership: &Membership, health: &impl MemberHealth) -> Self {
        Self(membership.voters().map(|id| (id, health.contact_age_us(id))).collect())
    }

    fn are_reachable(&self) -> bool {
        self.0.iter().all(|(_, age_us)| *age_us < MAX_REACHABLE_CONTACT_AGE_US)
    }

    fn live_count(&self) -> usize {
        self.0.iter().filter(|(_, age_us)| *age_us <= LOST_CONTACT_AGE_US).count()
    }

    /// Returns the voter that has been silent for longest, if that is longer than a time.
    fn longest_lost(&self, min_age_us: u64) -> Option<ReplicaId> {
        let lost = self.0.iter().filter(|(_, age_us)| *age_us > min_age_us);
        lost.max_by_key(|(_, age_us)| *age_us).map(|(id, _)| *id)
    }

    /// Returns a lost voter without which the others tolerate more losses than with it.
    ///
    /// Of an even number, that is any lost one: the quorum becomes smaller by one. Of an odd number,
    /// two have to be removed before the quorum becomes smaller.
    fn surplus(&self) -> Option<ReplicaId> {
        if self.0.len() <= MIN_VOTERS {
            return None;
        }
        if self.0.len().is_multiple_of(2) {
            return self.longest_lost(LOST_CONTACT_AGE_US);
        }
        let is_abandoned = |(_, age_us): &&(ReplicaId, u64)| *age_us > ABANDONED_CONTACT_AGE_US;
        match self.0.iter().filter(is_abandoned).count() {
            0 | 1 => None,
            _ => self.longest_lost(ABANDONED_CONTACT_AGE_US),
        }
    }
}

//! Selection of the member to remove from the cluster.

use consensus::{Membership, ReplicaId};

/// Contact age above which a voter may be removed as permanently lost, in microseconds: longer than
/// a restart or a short network failure, and shorter than the usual time until another voter is
/// lost.
const REMOVAL_CONTACT_AGE_US: u64 = 8_000_000;
/// Contact age below which a voter counts as reachable, in microseconds: several heartbeat
/// intervals.
const MAX_REACHABLE_CONTACT_AGE_US: u64 = 1_000_000;
/// Number of voters at or below which no unreachable voter is removed.
const MIN_VOTERS: usize = 3;

/// Returns the member to remove, if any: one that another replica has replaced, at the same or at
/// another address.
///
/// `contact_age_us` returns the time since the last message from a voter, in microseconds.
pub fn member_to_remove(
    membership: &Membership,
    contact_age_us: impl Fn(ReplicaId) -> u64,
) -> Option<ReplicaId> {
    replaced_member(membership).or_else(|| permanently_lost_voter(membership, contact_age_us))
}

/// Returns a member that has the address of a voter that was added after it.
fn replaced_member(membership: &Membership) -> Option<ReplicaId> {
    let is_replaced = |id: ReplicaId, address: &str| {
        let position = membership.members.get_index_of(&id);
        membership.members.iter().enumerate().any(|(index, (_, other))| {
            Some(index) > position && other.is_voter && other.address == address
        })
    };
    let mut members = membership.members.iter();
    members.find(|(id, member)| is_replaced(**id, &member.address)).map(|(id, _)| *id)
}

/// Returns the voter that counts as permanently lost: the only unreachable one of an even number of
/// voters, if all the others are reachable.
///
/// An even number of voters means that a replacement has been added. It tolerates no more failures
/// than the odd number below it, so the removal costs no fault tolerance. A removed voter that
/// comes back joins again as a learner.
fn permanently_lost_voter(
    membership: &Membership,
    contact_age_us: impl Fn(ReplicaId) -> u64,
) -> Option<ReplicaId> {
    let voters: Vec<ReplicaId> = membership.voters().collect();
    if voters.len() <= MIN_VOTERS || !voters.len().is_multiple_of(2) {
        return None;
    }
    let (lost, others): (Vec<ReplicaId>, Vec<ReplicaId>) =
        voters.into_iter().partition(|id| contact_age_us(*id) > REMOVAL_CONTACT_AGE_US);
    let are_others_reachable =
        others.iter().all(|id| contact_age_us(*id) < MAX_REACHABLE_CONTACT_AGE_US);
    match lost[..] {
        [id] if are_others_reachable => Some(id),
        _ => None,
    }
}

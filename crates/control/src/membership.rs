//! Selection of the member to remove from the cluster.

use consensus::{Membership, ReplicaId};

/// Silence after which a voter may be removed as permanently lost, in microseconds: longer than a
/// restart or a short network cut, and shorter than the usual time until another voter is lost.
const REMOVAL_SILENCE_US: u64 = 8_000_000;
/// Silence below which a voter counts as reachable, in microseconds: several heartbeat intervals.
const MAX_REACHABLE_SILENCE_US: u64 = 1_000_000;
/// Number of voters at or below which no silent voter is removed.
const MIN_VOTERS: usize = 3;

/// Returns the member to remove, if any: one that another replica has replaced, at the same or at
/// another address.
///
/// `silence_us` returns the time since the last message from a voter, in microseconds.
pub fn member_to_remove(
    membership: &Membership,
    silence_us: impl Fn(ReplicaId) -> u64,
) -> Option<ReplicaId> {
    replaced_member(membership).or_else(|| permanently_silent_voter(membership, silence_us))
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

/// Returns the voter that counts as permanently lost: the only silent one of an even number of
/// voters, if all the others are reachable.
///
/// An even number of voters means that a replacement has been added. It tolerates no more failures
/// than the odd number below it, so the removal costs no fault tolerance. A removed voter that
/// comes back joins again as a learner.
fn permanently_silent_voter(
    membership: &Membership,
    silence_us: impl Fn(ReplicaId) -> u64,
) -> Option<ReplicaId> {
    let voters: Vec<ReplicaId> = membership.voters().collect();
    if voters.len() <= MIN_VOTERS || !voters.len().is_multiple_of(2) {
        return None;
    }
    let (silent, others): (Vec<ReplicaId>, Vec<ReplicaId>) =
        voters.into_iter().partition(|id| silence_us(*id) > REMOVAL_SILENCE_US);
    let are_others_reachable = others.iter().all(|id| silence_us(*id) < MAX_REACHABLE_SILENCE_US);
    match silent[..] {
        [id] if are_others_reachable => Some(id),
        _ => None,
    }
}

//! Which members a cluster goes on without.

use consensus::{Membership, ReplicaId};

/// Silence after which a voter may count as gone for good, in microseconds: longer than a restart or a
/// short cut, shorter than the time to the next loss on an ordinary day.
const GONE_US: u64 = 8_000_000;
/// Silence up to which the other voters count as sound, in microseconds: several heartbeats.
const SOUND_US: u64 = 1_000_000;
/// Voters that are kept in any case.
const MIN_VOTERS: usize = 3;

/// Returns a member to remove: one that another replica replaces, at its address or elsewhere.
///
/// `silence_us` tells how long a voter has not been heard, in microseconds.
pub fn superfluous_member(
    membership: &Membership,
    silence_us: impl Fn(ReplicaId) -> u64,
) -> Option<ReplicaId> {
    replaced_member(membership).or_else(|| silent_voter(membership, silence_us))
}

/// Returns an older member at the same address as a newer voter.
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

/// Returns a voter that seems gone for good where another one has come in its place.
///
/// An even number of voters bears no more losses than the odd number below it. A voter that comes back
/// is admitted again as a learner.
fn silent_voter(
    membership: &Membership,
    silence_us: impl Fn(ReplicaId) -> u64,
) -> Option<ReplicaId> {
    let voters: Vec<ReplicaId> = membership.voters().collect();
    if voters.len() <= MIN_VOTERS || !voters.len().is_multiple_of(2) {
        return None;
    }
    let (silent, heard): (Vec<ReplicaId>, Vec<ReplicaId>) =
        voters.into_iter().partition(|id| silence_us(*id) > GONE_US);
    let is_rest_sound = heard.iter().all(|id| silence_us(*id) < SOUND_US);
    match silent[..] {
        [id] if is_rest_sound => Some(id),
        _ => None,
    }
}

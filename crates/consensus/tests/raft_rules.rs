//! Individual Raft rules, each with the shortest message exchange in which a violation shows.

use consensus::{
    Entry, HardState, Member, Membership, Message, Payload, PersistentState, ProposeError, Raft,
    ReplicaId, Role, Settings, Snapshot, Term,
};

const NOW_US: u64 = 10_000_000;
const ELECTION_TIMEOUT_US: u64 = 100_000;

fn membership() -> Membership {
    let member = |id: u64| {
        let member = Member { address: id.to_string(), data_centre: String::new(), is_voter: true };
        (ReplicaId(id), member)
    };
    Membership { members: (1..=3).map(member).collect() }
}

fn entry(term: Term, index: u64) -> Entry {
    Entry { term, index, payload: Payload::Command(vec![term as u8, index as u8]) }
}

/// Returns replica 1 of three voters, started with these entries on its disk.
fn replica_with_entries(term: Term, entries: Vec<Entry>) -> Raft {
    let settings = Settings {
        id: ReplicaId(1),
        election_timeout_us: ELECTION_TIMEOUT_US,
        heartbeat_interval_us: ELECTION_TIMEOUT_US / 5,
        snapshot_chunk_bytes: 4,
        seed: 1,
    };
    let snapshot = Snapshot { membership: membership(), ..Snapshot::default() };
    let hard_state = HardState { term, voted_for: None };
    Raft::new(settings, PersistentState { hard_state, snapshot, entries }, NOW_US)
}

/// Returns replica 1 as the leader of the next term, elected with the vote of replica 2.
fn elected_leader(term: Term, entries: Vec<Entry>) -> Raft {
    let mut raft = replica_with_entries(term, entries);
    let now_us = NOW_US + 3 * ELECTION_TIMEOUT_US;
    raft.tick(now_us);
    let next_term = term + 1;
    let granted = Message::PreVoteReply { term, next_term, is_granted: true };
    raft.step(now_us, ReplicaId(2), granted);
    raft.step(now_us, ReplicaId(2), Message::VoteReply { term: next_term, is_granted: true });
    assert_eq!(raft.role(), Role::Leader);
    raft
}

/// Syncs all entries of the leader and acknowledges those up to `index` as replica 2.
fn sync_and_acknowledge(raft: &mut Raft, term: Term, index: u64) {
    let now_us = NOW_US + 3 * ELECTION_TIMEOUT_US;
    let last_index = raft.last_index();
    raft.take_ready();
    raft.mark_synced(now_us, last_index);
    let reply = Message::AppendReply { term, is_match: true, index };
    raft.step(now_us, ReplicaId(2), reply);
}

#[test]
fn leader_commits_entries_of_earlier_terms_only_with_one_of_its_own_term() {
    let mut raft = elected_leader(2, vec![entry(1, 1), entry(2, 2)]);
    sync_and_acknowledge(&mut raft, 3, 2);
    assert_eq!(raft.commit_index(), 0);
    sync_and_acknowledge(&mut raft, 3, 3);
    assert_eq!(raft.commit_index(), 3);
}

#[test]
fn membership_change_is_refused_until_leader_commits_in_its_term() {
    let mut raft = elected_leader(2, vec![entry(1, 1)]);
    let now_us = NOW_US + 3 * ELECTION_TIMEOUT_US;
    let mut next = membership();
    next.members.shift_remove(&ReplicaId(3));
    let result_before_commit = raft.propose_membership(now_us, next.clone());
    assert_eq!(result_before_commit, Err(ProposeError::ChangeInProgress));
    sync_and_acknowledge(&mut raft, 3, 2);
    assert_eq!(raft.propose_membership(now_us, next), Ok(3));
}

#[test]
fn heartbeat_commits_no_entries_after_the_matching_one() {
    let mut raft = replica_with_entries(2, vec![entry(1, 1), entry(2, 2), entry(2, 3)]);
    let heartbeat = Message::Append {
        term: 3,
        prev_index: 1,
        prev_term: 1,
        entries: Vec::new(),
        commit_index: 3,
    };
    raft.step(NOW_US, ReplicaId(2), heartbeat);
    assert_eq!(raft.commit_index(), 1);
}

#[test]
fn duplicated_and_reordered_chunks_install_one_complete_snapshot() {
    let mut raft = replica_with_entries(0, Vec::new());
    let chunk = |offset_bytes: u64, data: &[u8], is_last| Message::SnapshotChunk {
        term: 1,
        index: 9,
        index_term: 1,
        membership: membership(),
        offset_bytes,
        data: data.to_vec(),
        is_last,
    };
    raft.step(NOW_US, ReplicaId(2), chunk(0, b"abcd", false));
    raft.step(NOW_US, ReplicaId(2), chunk(0, b"abcd", false));
    raft.step(NOW_US, ReplicaId(2), chunk(8, b"ij", true));
    raft.step(NOW_US, ReplicaId(2), chunk(4, b"efgh", false));
    assert_eq!(raft.take_ready().snapshot, None);
    raft.step(NOW_US, ReplicaId(2), chunk(8, b"ij", true));
    let snapshot = raft.take_ready().snapshot.map(|snapshot| snapshot.data);
    assert_eq!(snapshot, Some(b"abcdefghij".to_vec()));
}

#[test]
fn voter_with_recent_leader_contact_ignores_candidate() {
    let mut raft = replica_with_entries(1, Vec::new());
    let heartbeat = Message::Append {
        term: 1,
        prev_index: 0,
        prev_term: 0,
        entries: Vec::new(),
        commit_index: 0,
    };
    raft.step(NOW_US, ReplicaId(2), heartbeat);
    raft.step(NOW_US, ReplicaId(3), Message::Vote { term: 9, last_index: 5, last_term: 1 });
    assert_eq!(raft.term(), 1);
    assert_eq!(raft.leader(), Some(ReplicaId(2)));
}

#[test]
fn replica_without_membership_stays_follower_after_election_timeout() {
    let settings = Settings {
        id: ReplicaId(7),
        election_timeout_us: ELECTION_TIMEOUT_US,
        heartbeat_interval_us: ELECTION_TIMEOUT_US / 5,
        snapshot_chunk_bytes: 4,
        seed: 1,
    };
    let mut raft = Raft::new(settings, PersistentState::default(), NOW_US);
    raft.tick(NOW_US + 10 * ELECTION_TIMEOUT_US);
    assert_eq!(raft.role(), Role::Follower);
    assert!(raft.take_ready().messages.is_empty());
}

const LEADER: ReplicaId = ReplicaId(2);
/// Interval between the messages of the leader in the tests of the content age.
const STEP_US: u64 = 1_000_000;

fn append(term: Term, prev: (Term, u64), entries: Vec<Entry>, commit_index: u64) -> Message {
    let (prev_term, prev_index) = prev;
    Message::Append { term, prev_index, prev_term, entries, commit_index }
}

#[test]
fn follower_that_holds_the_commits_of_its_leader_is_current() {
    let mut raft = replica_with_entries(1, Vec::new());
    assert!(raft.content_age_us(NOW_US) >= NOW_US, "no leader yet");
    raft.step(NOW_US, LEADER, append(1, (0, 0), vec![entry(1, 1)], 1));
    assert_eq!(raft.content_age_us(NOW_US + 5), 5);
}

/// Contact with a leader does not show that the replica holds what the leader has committed.
#[test]
fn follower_that_hears_its_leader_and_lacks_its_commits_is_stale() {
    let mut raft = replica_with_entries(1, Vec::new());
    raft.step(NOW_US, LEADER, append(1, (0, 0), vec![entry(1, 1)], 1));
    let now_us = NOW_US + STEP_US;
    // The entries up to 7 were lost, for example because no reply reaches the leader.
    raft.step(now_us, LEADER, append(1, (1, 7), Vec::new(), 7));
    assert_eq!(raft.contact_age_us(now_us), 0);
    assert_eq!(raft.content_age_us(now_us), STEP_US);
}

#[test]
fn follower_that_receives_a_snapshot_is_stale() {
    let mut raft = replica_with_entries(1, Vec::new());
    let chunk = Message::SnapshotChunk {
        term: 1,
        index: 9,
        index_term: 1,
        membership: membership(),
        offset_bytes: 0,
        data: vec![1],
        is_last: false,
    };
    raft.step(NOW_US, LEADER, chunk);
    assert_eq!(raft.contact_age_us(NOW_US), 0);
    assert!(raft.content_age_us(NOW_US) >= NOW_US);
}

/// A leader learns what earlier terms have committed only by a commit of its own term.
#[test]
fn follower_of_a_leader_without_a_commit_of_its_term_is_stale() {
    let mut raft = replica_with_entries(1, vec![entry(1, 1)]);
    raft.step(NOW_US, LEADER, append(2, (1, 1), vec![entry(2, 2)], 1));
    assert!(raft.content_age_us(NOW_US) >= NOW_US);
    raft.step(NOW_US + STEP_US, LEADER, append(2, (2, 2), Vec::new(), 2));
    assert_eq!(raft.content_age_us(NOW_US + STEP_US), 0);
}

#[test]
fn follower_that_catches_up_slowly_is_current_up_to_the_commits_it_has_reached() {
    let mut raft = replica_with_entries(1, Vec::new());
    raft.step(NOW_US, LEADER, append(1, (0, 0), vec![entry(1, 1)], 3));
    let now_us = NOW_US + STEP_US;
    raft.step(now_us, LEADER, append(1, (1, 1), vec![entry(1, 2), entry(1, 3)], 8));
    assert_eq!(raft.content_age_us(now_us), STEP_US);
}

#[test]
fn new_leader_is_stale_until_it_commits_an_entry_of_its_term() {
    let mut raft = elected_leader(1, vec![entry(1, 1)]);
    let now_us = NOW_US + 3 * ELECTION_TIMEOUT_US;
    assert!(raft.content_age_us(now_us) >= now_us);
    let last_index = raft.last_index();
    sync_and_acknowledge(&mut raft, 2, last_index);
    assert_eq!(raft.content_age_us(now_us), 0);
}

/// Guards against a leader that takes itself for lost because it has written nothing for long.
#[test]
fn leader_is_in_contact_with_itself() {
    let mut raft = elected_leader(1, vec![entry(1, 1)]);
    let last_index = raft.last_index();
    sync_and_acknowledge(&mut raft, 2, last_index);
    let now_us = NOW_US + 100 * ELECTION_TIMEOUT_US;
    assert_eq!(raft.member_contact_age_us(now_us, ReplicaId(1)), Some(0));
    let other = raft.member_contact_age_us(now_us, ReplicaId(2));
    assert_eq!(other, Some(97 * ELECTION_TIMEOUT_US));
}

//! Raft state machine of one replica: elections, log replication, snapshot transfer and membership
//! changes.

use std::collections::BTreeSet;
use std::mem;

use indexmap::IndexMap;
use quick_error::quick_error;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::log::Log;
use crate::progress::{Progress, SnapshotTransfer};
use crate::{
    Entry, Envelope, HardState, Index, Membership, Message, Payload, ReplicaId, Snapshot, Term,
};

/// Maximum number of entries in one [`Message::Append`].
const MAX_ENTRIES_PER_APPEND: usize = 256;

quick_error! {
    /// Reason why a proposal was not appended to the log.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum ProposeError {
        /// This replica is not the leader. Carries the id of the leader, if known.
        NotLeader(leader: Option<ReplicaId>) {
            display("this replica is not the leader")
        }
        /// An earlier membership change, or the first entry of the leader's term, is not committed.
        ChangeInProgress {
            display("an earlier membership change is not committed yet")
        }
        /// The new membership differs in more than one voter, or has no voter.
        NotSingleVoterChange {
            display("a membership change may add or remove at most one voter and must leave one")
        }
    }
}

/// Settings of a [`Raft`] replica.
#[derive(Debug, Clone, Copy)]
pub struct Settings {
    /// Id of this replica.
    pub id: ReplicaId,
    /// Minimum election timeout, in microseconds. Timeouts are drawn at random from one to two
    /// times this value.
    pub election_timeout_us: u64,
    /// Interval between the heartbeats of a leader, in microseconds.
    pub heartbeat_interval_us: u64,
    /// Maximum size of the snapshot data in one [`Message::SnapshotChunk`], in bytes.
    pub snapshot_chunk_bytes: usize,
    /// Seed of the random election timeouts.
    pub seed: u64,
}

/// Persisted state from which a replica starts.
#[derive(Debug, Clone, Default)]
pub struct PersistentState {
    /// Term and vote.
    pub hard_state: HardState,
    /// Last snapshot; its membership applies until a later entry changes it.
    pub snapshot: Snapshot,
    /// Entries after the snapshot.
    pub entries: Vec<Entry>,
}

/// Work for the owner, to be done in the order of the fields.
#[derive(Debug, Default)]
pub struct Ready {
    /// Snapshot received from the leader, to persist in place of the log and to load into the state
    /// machine.
    pub snapshot: Option<Snapshot>,
    /// Term and vote to persist, if they changed.
    pub hard_state: Option<HardState>,
    /// Entries to persist; they replace all stored entries from the index of the first one on.
    pub entries: Vec<Entry>,
    /// Messages to send after the fields above are synced to disk.
    pub messages: Vec<Envelope>,
    /// Newly committed entries to apply to the state machine, in order.
    pub committed: Vec<Entry>,
}

impl Ready {
    /// Returns whether there is state to sync to disk before the messages are sent.
    pub fn must_sync(&self) -> bool {
        self.snapshot.is_some() || self.hard_state.is_some() || !self.entries.is_empty()
    }
}

/// Role of a replica in its term.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Replicates from a leader, or waits for one to appear.
    Follower,
    /// Collects pre-votes before it raises its term.
    PreCandidate,
    /// Collects votes for its term.
    Candidate,
    /// Replicates its log to the other members.
    Leader,
}

/// Raft state machine of one replica. Times are microseconds of any monotonic clock.
#[derive(Debug)]
pub struct Raft {
    settings: Settings,
    rng: SmallRng,
    hard_state: HardState,
    /// Hard state at the start or in the last [`Ready`].
    persisted_hard_state: HardState,
    log: Log,
    /// First index to hand out for persistence in the next [`Ready`].
    next_persist_index: Index,
    role: Role,
    leader: Option<ReplicaId>,
    commit_index: Index,
    applied_index: Index,
    /// Replicas that granted a pre-vote or vote in the current campaign.
    votes: BTreeSet<ReplicaId>,
    /// Progress of each member, the leader included; empty unless this replica leads.
    progress: IndexMap<ReplicaId, Progress>,
    election_due_us: u64,
    heartbeat_due_us: u64,
    /// Time of the last message of a leader, or of the last quorum contact before stepping down.
    leader_contact_us: u64,
    /// Latest time up to which all entries that a leader had committed are committed here; 0 if
    /// unknown.
    content_us: u64,
    /// Commit index of the leader that this replica has not reached yet, and when it was received.
    pending_commit: Option<(Index, u64)>,
    /// Snapshot whose chunks are being received.
    incoming_snapshot: Option<Snapshot>,
    /// Complete snapshot that the next [`Ready`] hands out.
    installed_snapshot: Option<Snapshot>,
    messages: Vec<Envelope>,
}

impl Raft {
    /// Creates a follower from its persisted state.
    pub fn new(settings: Settings, persistent_state: PersistentState, now_us: u64) -> Self {
        let log = Log::new(persistent_state.snapshot, persistent_state.entries);
        let snapshot_index = log.snapshot().index;
        let mut raft = Self {
            settings,
            rng: SmallRng::seed_from_u64(settings.seed),
            hard_state: persistent_state.hard_state,
            persisted_hard_state: persistent_state.hard_state,
            next_persist_index: log.last_index() + 1,
            log,
            role: Role::Follower,
            leader: None,
            commit_index: snapshot_index,
            applied_index: snapshot_index,
            votes: BTreeSet::new(),
            progress: IndexMap::new(),
            election_due_us: 0,
            heartbeat_due_us: 0,
            leader_contact_us: 0,
            content_us: 0,
            pending_commit: None,
            incoming_snapshot: None,
            installed_snapshot: None,
            messages: Vec::new(),
        };
        raft.reset_election_timer(now_us);
        raft
    }

    /// Returns the id of this replica.
    pub fn id(&self) -> ReplicaId {
        self.settings.id
    }

    /// Returns the current role.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Returns the leader of the current term, if known.
    pub fn leader(&self) -> Option<ReplicaId> {
        self.leader
    }

    /// Returns the current term.
    pub fn term(&self) -> Term {
        self.hard_state.term
    }

    /// Returns the highest index known to be committed.
    pub fn commit_index(&self) -> Index {
        self.commit_index
    }

    /// Returns the index of the last entry in the log.
    pub fn last_index(&self) -> Index {
        self.log.last_index()
    }

    /// Returns the entries of the log that are not known to be committed.
    pub fn uncommitted_entries(&self) -> &[Entry] {
        self.log.entries_from(self.commit_index + 1, usize::MAX)
    }

    /// Returns the last index that the snapshot covers.
    pub fn snapshot_index(&self) -> Index {
        self.log.snapshot().index
    }

    /// Returns the membership in force, committed or not.
    pub fn membership(&self) -> &Membership {
        self.log.membership_at(Index::MAX)
    }

    /// Returns the last index of a member that is known to match the log of this leader, or `None`
    /// unless this replica leads and `id` is a member.
    pub fn match_index(&self, id: ReplicaId) -> Option<Index> {
        self.progress.get(&id).map(|progress| progress.match_index)
    }

    /// Returns the time since the last reply of a member to this leader, in microseconds, or
    /// `None` unless this replica leads and `id` is a member. The leader itself counts as in contact
    /// now.
    pub fn member_contact_age_us(&self, now_us: u64, id: ReplicaId) -> Option<u64> {
        let progress = self.progress.get(&id)?;
        match id == self.settings.id {
            true => Some(0),
            false => Some(now_us.saturating_sub(progress.last_contact_us)),
        }
    }

    /// Returns the time for which this leader has known a member, in microseconds, or `None` unless
    /// this replica leads and `id` is a member.
    pub fn member_known_us(&self, now_us: u64, id: ReplicaId) -> Option<u64> {
        self.progress.get(&id).map(|progress| now_us.saturating_sub(progress.created_us))
    }

    /// Returns whether this replica leads and has committed an entry of its current term.
    pub fn is_leader_with_current_term_commit(&self) -> bool {
        let committed_term = self.log.term_at(self.commit_index);
        self.role == Role::Leader && committed_term == Some(self.hard_state.term)
    }

    /// Returns the time since the last known contact with a quorum, in microseconds. A follower
    /// counts a message of its leader as such a contact.
    pub fn contact_age_us(&self, now_us: u64) -> u64 {
        let contact_us = match self.role {
            Role::Leader => self.quorum_contact_us(now_us),
            _ => self.leader_contact_us,
        };
        now_us.saturating_sub(contact_us)
    }

    /// Returns the age of the committed state, in microseconds: the time since which entries may have
    /// been committed that this replica does not hold as committed. Unlike
    /// [`Raft::contact_age_us`], it grows while the replica hears its leader and cannot keep up.
    ///
    /// A leader that has lost its quorum is noticed after its election timeout, so that the age may
    /// be too low by as much.
    pub fn content_age_us(&self, now_us: u64) -> u64 {
        let content_us = match self.is_leader_with_current_term_commit() {
            true => self.quorum_contact_us(now_us),
            false => self.content_us,
        };
        now_us.saturating_sub(content_us)
    }

    /// Processes the timers that have expired by `now_us`.
    pub fn tick(&mut self, now_us: u64) {
        match self.role {
            Role::Leader => self.tick_leader(now_us),
            _ if now_us >= self.election_due_us => self.start_pre_vote(now_us),
            _ => {}
        }
    }

    /// Appends a command to the log and returns its index.
    ///
    /// # Errors
    ///
    /// Returns an error unless this replica is the leader.
    pub fn propose(&mut self, now_us: u64, command: Vec<u8>) -> Result<Index, ProposeError> {
        self.check_is_leader()?;
        Ok(self.append(now_us, Payload::Command(command)))
    }

    /// Appends a membership that differs in at most one voter and returns its index.
    ///
    /// # Errors
    ///
    /// Returns an error unless this replica is the leader, has committed an entry of its term and
    /// all earlier membership changes, and the new membership has a voter and differs in at most
    /// one.
    pub fn propose_membership(
        &mut self,
        now_us: u64,
        membership: Membership,
    ) -> Result<Index, ProposeError> {
        self.check_is_leader()?;
        if !self.is_leader_with_current_term_commit()
            || self.log.has_membership_change_after(self.commit_index)
        {
            return Err(ProposeError::ChangeInProgress);
        }
        let has_voters = membership.voters().next().is_some();
        if !has_voters || !self.membership().is_single_voter_change(&membership) {
            return Err(ProposeError::NotSingleVoterChange);
        }
        let index = self.append(now_us, Payload::Membership(membership));
        self.reconcile_progress(now_us);
        Ok(index)
    }

    /// Processes a message from another replica.
    pub fn step(&mut self, now_us: u64, from: ReplicaId, message: Message) {
        if let Some(term) = message.term()
            && term > self.hard_state.term
        {
            if matches!(message, Message::Vote { .. }) && self.has_recent_leader_contact(now_us) {
                return;
            }
            self.become_follower(now_us, term, None);
        }
        match message {
            Message::PreVote { next_term, last_index, last_term } => {
                self.handle_pre_vote(now_us, from, next_term, (last_term, last_index));
            }
            Message::PreVoteReply { next_term, is_granted, .. } => {
                self.handle_pre_vote_reply(now_us, from, next_term, is_granted);
            }
            Message::Vote { term, last_index, last_term } => {
                self.handle_vote(now_us, from, term, (last_term, last_index));
            }
            Message::VoteReply { term, is_granted } => {
                self.handle_vote_reply(now_us, from, term, is_granted);
            }
            Message::Append { term, prev_index, prev_term, entries, commit_index } => {
                if self.accept_leader(now_us, from, term) {
                    self.handle_append(from, prev_index, prev_term, entries, commit_index);
                    self.record_leader_commit(now_us, commit_index);
                }
            }
            Message::AppendReply { term, is_match, index } => {
                if self.role == Role::Leader && term == self.hard_state.term {
                    self.handle_append_reply(now_us, from, is_match, index);
                }
            }
            Message::SnapshotChunk {
                term,
                index,
                index_term,
                membership,
                offset_bytes,
                data,
                is_last,
            } => {
                if self.accept_leader(now_us, from, term) {
                    let chunk = Snapshot { index, term: index_term, membership, data };
                    self.handle_snapshot_chunk(from, chunk, offset_bytes, is_last);
                }
            }
            Message::SnapshotReply { term, index, received_bytes } => {
                if self.role == Role::Leader && term == self.hard_state.term {
                    self.handle_snapshot_reply(now_us, from, index, received_bytes);
                }
            }
        }
    }

    /// Takes the pending work for the owner, which must call [`Raft::mark_synced`] after it has
    /// synced the state.
    pub fn take_ready(&mut self) -> Ready {
        let mut ready = Ready { snapshot: self.installed_snapshot.take(), ..Ready::default() };
        if let Some(snapshot) = &ready.snapshot {
            self.applied_index = self.applied_index.max(snapshot.index);
        }
        if self.hard_state != self.persisted_hard_state {
            self.persisted_hard_state = self.hard_state;
            ready.hard_state = Some(self.hard_state);
        }
        if self.next_persist_index <= self.log.last_index() {
            ready.entries = self.log.entries_from(self.next_persist_index, usize::MAX).to_vec();
            self.next_persist_index = self.log.last_index() + 1;
        }
        ready.messages = mem::take(&mut self.messages);
        let count = self.commit_index.saturating_sub(self.applied_index) as usize;
        ready.committed = self.log.entries_from(self.applied_index + 1, count).to_vec();
        self.applied_index = self.applied_index.max(self.commit_index);
        ready
    }

    /// Records that the state of all earlier [`Ready`] values is synced to disk up to an index, so
    /// that a leader counts itself towards the quorum of these entries.
    pub fn mark_synced(&mut self, now_us: u64, last_index: Index) {
        if self.role != Role::Leader {
            return;
        }
        let id = self.settings.id;
        if let Some(own) = self.progress.get_mut(&id) {
            own.match_index = own.match_index.max(last_index);
            own.last_contact_us = now_us;
        }
        self.advance_commit(now_us);
    }

    /// Replaces the log up to an applied index by a snapshot with the given data. Returns the
    /// snapshot to persist, or `None` if the index is already compacted or not yet applied.
    pub fn compact(&mut self, index: Index, data: Vec<u8>) -> Option<Snapshot> {
        if index <= self.log.snapshot().index || index > self.applied_index {
            return None;
        }
        let term = self.log.term_at(index)?;
        let membership = self.log.membership_at(index).clone();
        let snapshot = Snapshot { index, term, membership, data };
        self.log.compact(snapshot.clone());
        Some(snapshot)
    }

    /// Returns the complete state to persist when the stored snapshot and log are rewritten.
    pub fn to_persistent_state(&self) -> PersistentState {
        PersistentState {
            hard_state: self.hard_state,
            snapshot: self.log.snapshot().clone(),
            entries: self.log.entries_from(self.log.snapshot().index + 1, usize::MAX).to_vec(),
        }
    }

    fn check_is_leader(&self) -> Result<(), ProposeError> {
        match self.role {
            Role::Leader => Ok(()),
            _ => Err(ProposeError::NotLeader(self.leader)),
        }
    }

    /// Steps down after an election timeout without a quorum; otherwise sends due heartbeats.
    fn tick_leader(&mut self, now_us: u64) {
        let contact_age_us = now_us.saturating_sub(self.quorum_contact_us(now_us));
        if contact_age_us > self.settings.election_timeout_us {
            self.become_follower(now_us, self.hard_state.term, None);
            return;
        }
        if now_us >= self.heartbeat_due_us {
            self.heartbeat_due_us = now_us + self.settings.heartbeat_interval_us;
            self.broadcast_heartbeat();
        }
    }

    /// Returns the latest time at or after which each voter of some quorum was in contact. The
    /// leader itself counts as in contact now.
    fn quorum_contact_us(&self, now_us: u64) -> u64 {
        let contact_time_us = |id: ReplicaId| match self.progress.get(&id) {
            _ if id == self.settings.id => now_us,
            Some(progress) => progress.last_contact_us,
            None => 0,
        };
        let mut contact_times_us: Vec<u64> =
            self.membership().voters().map(contact_time_us).collect();
        contact_times_us.sort_unstable_by(|a, b| b.cmp(a));
        contact_times_us.get(self.membership().quorum() - 1).copied().unwrap_or(0)
    }

    /// Returns whether a leader was in contact within the minimum election timeout; votes are
    /// refused then, so that a replica that missed messages does not disrupt a live leader.
    fn has_recent_leader_contact(&self, now_us: u64) -> bool {
        let age_us = now_us.saturating_sub(self.leader_contact_us);
        let is_recent = self.leader_contact_us > 0 && age_us < self.settings.election_timeout_us;
        self.role == Role::Leader || (self.leader.is_some() && is_recent)
    }

    fn reset_election_timer(&mut self, now_us: u64) {
        let timeout_us = self.settings.election_timeout_us;
        self.election_due_us = now_us + self.rng.random_range(timeout_us..timeout_us * 2);
    }

    /// Requests pre-votes from the other voters, if this replica is a voter itself.
    fn start_pre_vote(&mut self, now_us: u64) {
        self.reset_election_timer(now_us);
        if !self.membership().is_voter(self.settings.id) {
            return;
        }
        self.role = Role::PreCandidate;
        self.leader = None;
        self.votes = BTreeSet::from([self.settings.id]);
        let message = Message::PreVote {
            next_term: self.hard_state.term + 1,
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
        };
        self.send_to_voters(&message);
        self.advance_on_vote_quorum(now_us);
    }

    /// Moves from pre-candidate to candidate, or from candidate to leader, once a quorum has
    /// granted its pre-votes or votes.
    fn advance_on_vote_quorum(&mut self, now_us: u64) {
        if self.votes.len() < self.membership().quorum() {
            return;
        }
        match self.role {
            Role::PreCandidate => self.start_election(now_us),
            Role::Candidate => self.become_leader(now_us),
            Role::Follower | Role::Leader => {}
        }
    }

    /// Raises the term and requests votes.
    fn start_election(&mut self, now_us: u64) {
        self.role = Role::Candidate;
        self.hard_state =
            HardState { term: self.hard_state.term + 1, voted_for: Some(self.settings.id) };
        self.votes = BTreeSet::from([self.settings.id]);
        self.reset_election_timer(now_us);
        let message = Message::Vote {
            term: self.hard_state.term,
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
        };
        self.send_to_voters(&message);
        self.advance_on_vote_quorum(now_us);
    }

    /// Starts the term as its leader and appends an empty entry, whose commit also commits the
    /// entries of earlier terms.
    fn become_leader(&mut self, now_us: u64) {
        self.role = Role::Leader;
        self.leader = Some(self.settings.id);
        self.progress.clear();
        self.reconcile_progress(now_us);
        self.heartbeat_due_us = now_us + self.settings.heartbeat_interval_us;
        self.append(now_us, Payload::Empty);
    }

    fn become_follower(&mut self, now_us: u64, term: Term, leader: Option<ReplicaId>) {
        if self.is_leader_with_current_term_commit() {
            self.content_us = self.quorum_contact_us(now_us);
        }
        self.pending_commit = None;
        if term > self.hard_state.term {
            self.hard_state = HardState { term, voted_for: None };
        }
        if self.role == Role::Leader {
            self.leader_contact_us = self.quorum_contact_us(now_us);
        }
        self.role = Role::Follower;
        self.leader = leader;
        self.progress.clear();
        self.reset_election_timer(now_us);
    }

    fn handle_pre_vote(
        &mut self,
        now_us: u64,
        from: ReplicaId,
        next_term: Term,
        candidate_last: (Term, Index),
    ) {
        let is_granted = next_term > self.hard_state.term
            && !self.has_recent_leader_contact(now_us)
            && self.is_up_to_date(candidate_last);
        let message = Message::PreVoteReply { term: self.hard_state.term, next_term, is_granted };
        self.send(from, message);
    }

    fn handle_pre_vote_reply(
        &mut self,
        now_us: u64,
        from: ReplicaId,
        next_term: Term,
        is_granted: bool,
    ) {
        let is_current = self.role == Role::PreCandidate && next_term == self.hard_state.term + 1;
        if is_current && is_granted && self.membership().is_voter(from) {
            self.votes.insert(from);
            self.advance_on_vote_quorum(now_us);
        }
    }

    fn handle_vote(
        &mut self,
        now_us: u64,
        from: ReplicaId,
        term: Term,
        candidate_last: (Term, Index),
    ) {
        let can_vote = match self.hard_state.voted_for {
            Some(id) => id == from,
            None => self.role != Role::Leader,
        };
        let is_granted =
            term == self.hard_state.term && can_vote && self.is_up_to_date(candidate_last);
        if is_granted {
            self.hard_state.voted_for = Some(from);
            self.reset_election_timer(now_us);
        }
        self.send(from, Message::VoteReply { term: self.hard_state.term, is_granted });
    }

    fn handle_vote_reply(&mut self, now_us: u64, from: ReplicaId, term: Term, is_granted: bool) {
        let is_current = self.role == Role::Candidate && term == self.hard_state.term;
        if is_current && is_granted && self.membership().is_voter(from) {
            self.votes.insert(from);
            self.advance_on_vote_quorum(now_us);
        }
    }

    /// Returns whether the last entry of a candidate is at least as recent as that of this log.
    fn is_up_to_date(&self, candidate_last: (Term, Index)) -> bool {
        candidate_last >= (self.log.last_term(), self.log.last_index())
    }

    /// Follows the sender of a leader's message, or rejects the message if its term is stale.
    /// Returns whether the message is accepted.
    fn accept_leader(&mut self, now_us: u64, from: ReplicaId, term: Term) -> bool {
        if term < self.hard_state.term {
            let index = self.log.last_index();
            let term = self.hard_state.term;
            self.send(from, Message::AppendReply { term, is_match: false, index });
            return false;
        }
        if self.role != Role::Follower || self.leader != Some(from) {
            self.become_follower(now_us, term, Some(from));
        }
        self.leader_contact_us = now_us;
        self.reset_election_timer(now_us);
        true
    }

    fn handle_append(
        &mut self,
        from: ReplicaId,
        prev_index: Index,
        prev_term: Term,
        entries: Vec<Entry>,
        commit_index: Index,
    ) {
        let term = self.hard_state.term;
        let last_new_index = prev_index + entries.len() as Index;
        let is_compacted = prev_index < self.log.snapshot().index;
        if !is_compacted && self.log.term_at(prev_index) != Some(prev_term) {
            let index = self.log.last_index().min(prev_index.saturating_sub(1));
            self.send(from, Message::AppendReply { term, is_match: false, index });
            return;
        }
        if let Some(first_changed) = self.log.append_received(entries) {
            self.next_persist_index = self.next_persist_index.min(first_changed);
        }
        self.commit_index = self.commit_index.max(commit_index.min(last_new_index));
        let index = last_new_index.max(self.log.snapshot().index);
        self.send(from, Message::AppendReply { term, is_match: true, index });
    }

    /// Updates the time of the committed state from the commit index of the leader.
    ///
    /// A leader does not know all committed entries before it has committed one of its own term.
    fn record_leader_commit(&mut self, now_us: u64, leader_commit: Index) {
        let (target, received_us) = *self.pending_commit.get_or_insert((leader_commit, now_us));
        if self.commit_index < target {
            return;
        }
        self.pending_commit = None;
        if self.log.term_at(self.commit_index) != Some(self.hard_state.term) {
            return;
        }
        let is_complete = self.commit_index >= leader_commit;
        self.content_us = if is_complete { now_us } else { self.content_us.max(received_us) };
    }

    fn handle_append_reply(&mut self, now_us: u64, from: ReplicaId, is_match: bool, index: Index) {
        let last_index = self.log.last_index();
        let Some(progress) = self.progress.get_mut(&from) else {
            return;
        };
        progress.last_contact_us = now_us;
        progress.is_paused = false;
        if is_match {
            progress.match_index = progress.match_index.max(index);
            progress.next_index = progress.next_index.max(index + 1);
            if progress.snapshot.is_some_and(|transfer| transfer.index <= index) {
                progress.snapshot = None;
            }
            self.advance_commit(now_us);
        } else {
            let hint = index.max(progress.match_index) + 1;
            progress.next_index = hint.min(progress.next_index.saturating_sub(1)).max(1);
        }
        let has_more = self.progress.get(&from).is_some_and(|p| p.next_index <= last_index);
        if has_more {
            self.replicate(from);
        }
    }

    /// Appends a chunk to the snapshot being received and installs the snapshot after the last one.
    /// A chunk at another offset is dropped; the reply then carries the offset that is expected.
    fn handle_snapshot_chunk(
        &mut self,
        from: ReplicaId,
        chunk: Snapshot,
        offset_bytes: u64,
        is_last: bool,
    ) {
        let term = self.hard_state.term;
        if chunk.index <= self.commit_index {
            let index = self.commit_index;
            self.send(from, Message::AppendReply { term, is_match: true, index });
            return;
        }
        let index = chunk.index;
        let mut received = match self.incoming_snapshot.take() {
            Some(received) if received.index == index && received.term == chunk.term => received,
            _ => Snapshot { data: Vec::new(), ..chunk.clone() },
        };
        let is_next = received.data.len() as u64 == offset_bytes;
        if is_next {
            received.data.extend_from_slice(&chunk.data);
        }
        let received_bytes = received.data.len() as u64;
        if is_next && is_last {
            self.install_snapshot(received);
            self.send(from, Message::AppendReply { term, is_match: true, index });
        } else {
            self.incoming_snapshot = Some(received);
            self.send(from, Message::SnapshotReply { term, index, received_bytes });
        }
    }

    fn install_snapshot(&mut self, snapshot: Snapshot) {
        self.commit_index = snapshot.index;
        self.log.install(snapshot.clone());
        // Persisting the snapshot replaces the stored log, so retained entries are persisted again.
        self.next_persist_index = snapshot.index + 1;
        self.installed_snapshot = Some(snapshot);
    }

    fn handle_snapshot_reply(
        &mut self,
        now_us: u64,
        from: ReplicaId,
        index: Index,
        received_bytes: u64,
    ) {
        let Some(progress) = self.progress.get_mut(&from) else {
            return;
        };
        progress.last_contact_us = now_us;
        let Some(transfer) = &mut progress.snapshot else {
            return;
        };
        if transfer.index == index {
            transfer.acknowledged_bytes = received_bytes;
            self.send_snapshot_chunk(from);
        }
    }

    fn append(&mut self, now_us: u64, payload: Payload) -> Index {
        let index = self.log.last_index() + 1;
        self.log.push(Entry { term: self.hard_state.term, index, payload });
        self.next_persist_index = self.next_persist_index.min(index);
        self.heartbeat_due_us =
            self.heartbeat_due_us.min(now_us + self.settings.heartbeat_interval_us);
        self.broadcast_entries();
        index
    }

    /// Adds progress for new members and removes the progress of former members.
    fn reconcile_progress(&mut self, now_us: u64) {
        let last_index = self.log.last_index();
        let ids: Vec<ReplicaId> = self.membership().members.keys().copied().collect();
        self.progress.retain(|id, _| ids.contains(id));
        for id in ids {
            self.progress.entry(id).or_insert_with(|| Progress::new(last_index, now_us));
        }
    }

    /// Sends new entries to followers that have none in flight.
    fn broadcast_entries(&mut self) {
        for id in self.followers() {
            if self.progress.get(&id).is_some_and(|progress| !progress.is_paused) {
                self.replicate(id);
            }
        }
    }

    /// Sends a heartbeat to every follower, with the entries that it has not acknowledged.
    fn broadcast_heartbeat(&mut self) {
        for id in self.followers() {
            if let Some(progress) = self.progress.get_mut(&id)
                && progress.is_paused
            {
                progress.is_paused = false;
                progress.next_index = progress.match_index + 1;
            }
            self.replicate(id);
        }
    }

    fn followers(&self) -> Vec<ReplicaId> {
        let own = self.settings.id;
        self.progress.keys().copied().filter(|id| *id != own).collect()
    }

    /// Sends the next entries, or a snapshot if the entry that precedes them is compacted.
    fn replicate(&mut self, to: ReplicaId) {
        let term = self.hard_state.term;
        let commit_index = self.commit_index;
        let Some(progress) = self.progress.get_mut(&to) else {
            return;
        };
        let prev_index = progress.next_index - 1;
        let Some(prev_term) = self.log.term_at(prev_index) else {
            self.start_snapshot_transfer(to);
            return;
        };
        let entries = self.log.entries_from(progress.next_index, MAX_ENTRIES_PER_APPEND).to_vec();
        if !entries.is_empty() {
            progress.is_paused = true;
            progress.next_index += entries.len() as Index;
        }
        self.send(to, Message::Append { term, prev_index, prev_term, entries, commit_index });
    }

    fn start_snapshot_transfer(&mut self, to: ReplicaId) {
        let index = self.log.snapshot().index;
        let Some(progress) = self.progress.get_mut(&to) else {
            return;
        };
        let is_in_progress = progress.snapshot.is_some_and(|transfer| transfer.index == index);
        if !is_in_progress {
            progress.snapshot = Some(SnapshotTransfer { index, acknowledged_bytes: 0 });
        }
        self.send_snapshot_chunk(to);
    }

    fn send_snapshot_chunk(&mut self, to: ReplicaId) {
        let snapshot = self.log.snapshot();
        let Some(progress) = self.progress.get(&to) else {
            return;
        };
        let Some(transfer) = progress.snapshot else {
            return;
        };
        if transfer.index != snapshot.index {
            // The log has a newer snapshot; the next heartbeat starts its transfer.
            return;
        }
        let start = (transfer.acknowledged_bytes as usize).min(snapshot.data.len());
        let end = (start + self.settings.snapshot_chunk_bytes).min(snapshot.data.len());
        let message = Message::SnapshotChunk {
            term: self.hard_state.term,
            index: snapshot.index,
            index_term: snapshot.term,
            membership: snapshot.membership.clone(),
            offset_bytes: start as u64,
            data: snapshot.data[start..end].to_vec(),
            is_last: end == snapshot.data.len(),
        };
        self.send(to, message);
    }

    /// Commits up to the highest index that a quorum holds, if its entry is of the current term: an
    /// entry of an earlier term could still be overwritten. A leader that is no voter of a
    /// committed membership steps down.
    fn advance_commit(&mut self, now_us: u64) {
        let match_index_of = |id: ReplicaId| self.progress.get(&id).map_or(0, |p| p.match_index);
        let mut match_indexes: Vec<Index> =
            self.membership().voters().map(match_index_of).collect();
        match_indexes.sort_unstable_by(|a, b| b.cmp(a));
        let Some(&quorum_index) = match_indexes.get(self.membership().quorum() - 1) else {
            return;
        };
        let is_current_term = self.log.term_at(quorum_index) == Some(self.hard_state.term);
        if quorum_index <= self.commit_index || !is_current_term {
            return;
        }
        self.commit_index = quorum_index;
        self.reconcile_progress(now_us);
        let is_membership_committed = !self.log.has_membership_change_after(self.commit_index);
        if is_membership_committed && !self.membership().is_voter(self.settings.id) {
            self.become_follower(now_us, self.hard_state.term, None);
            return;
        }
        // Propagates the commit index without waiting for a heartbeat, so that followers apply
        // entries with little delay.
        for id in self.followers() {
            if self.progress.get(&id).is_some_and(|progress| !progress.is_paused) {
                self.replicate(id);
            }
        }
    }

    fn send_to_voters(&mut self, message: &Message) {
        let own = self.settings.id;
        let others: Vec<ReplicaId> = self.membership().voters().filter(|id| *id != own).collect();
        for id in others {
            self.send(id, message.clone());
        }
    }

    fn send(&mut self, to: ReplicaId, message: Message) {
        self.messages.push(Envelope { to, message });
    }
}

//! The state of one replica and its transitions.

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

const MAX_ENTRIES_PER_APPEND: usize = 256;

quick_error! {
    /// A proposal that was not appended.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum ProposeError {
        /// Another replica leads, where known.
        NotLeader(leader: Option<ReplicaId>) {
            display("this replica does not lead")
        }
        /// An earlier membership change is not committed yet.
        ChangeInProgress {
            display("an earlier membership change is not committed yet")
        }
        /// The membership differs in more than one voter, or has none.
        NotSingleStep {
            display("a membership change adds or removes one voter")
        }
    }
}

/// Settings of a replica.
#[derive(Debug, Clone, Copy)]
pub struct Settings {
    /// Own id.
    pub id: ReplicaId,
    /// Shortest election timeout, in microseconds; the longest is twice that.
    pub election_timeout_us: u64,
    /// Interval of heartbeats, in microseconds.
    pub heartbeat_us: u64,
    /// Largest part of a snapshot in one message, in bytes.
    pub snapshot_chunk_bytes: usize,
    /// Seed of the random timeouts.
    pub seed: u64,
}

/// What a replica finds on its disk.
#[derive(Debug, Clone, Default)]
pub struct Stored {
    /// Elections.
    pub hard_state: HardState,
    /// Last snapshot; its membership is the first one before any entry.
    pub snapshot: Snapshot,
    /// Entries after the snapshot.
    pub entries: Vec<Entry>,
}

/// What the owner does next, in the order of the fields.
#[derive(Debug, Default)]
pub struct Ready {
    /// Snapshot to persist in place of the whole log and to load into the state machine.
    pub snapshot: Option<Snapshot>,
    /// Election state to persist.
    pub hard_state: Option<HardState>,
    /// Entries to persist; they replace every stored entry from the first index on.
    pub entries: Vec<Entry>,
    /// Messages to send once all of the above is synced.
    pub messages: Vec<Envelope>,
    /// Entries to apply.
    pub committed: Vec<Entry>,
}

impl Ready {
    /// Returns whether something must be synced.
    pub fn must_sync(&self) -> bool {
        self.snapshot.is_some() || self.hard_state.is_some() || !self.entries.is_empty()
    }
}

/// Part that a replica plays.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Follows a leader or waits for one.
    Follower,
    /// Asks whether it could win an election.
    PreCandidate,
    /// Stands for election.
    Candidate,
    /// Leads.
    Leader,
}

/// One replica.
#[derive(Debug)]
pub struct Raft {
    settings: Settings,
    rng: SmallRng,
    hard_state: HardState,
    stored_hard_state: HardState,
    log: Log,
    unsynced_from: Index,
    role: Role,
    leader: Option<ReplicaId>,
    commit_index: Index,
    applied_index: Index,
    votes: BTreeSet<ReplicaId>,
    progress: IndexMap<ReplicaId, Progress>,
    election_due_us: u64,
    heartbeat_due_us: u64,
    leader_contact_us: u64,
    incoming_snapshot: Option<Snapshot>,
    installed_snapshot: Option<Snapshot>,
    messages: Vec<Envelope>,
}

impl Raft {
    /// Starts as a follower from what the disk holds.
    pub fn new(settings: Settings, stored: Stored, now_us: u64) -> Self {
        let log = Log::new(stored.snapshot, stored.entries);
        let snapshot_index = log.snapshot().index;
        let mut raft = Self {
            settings,
            rng: SmallRng::seed_from_u64(settings.seed),
            hard_state: stored.hard_state,
            stored_hard_state: stored.hard_state,
            unsynced_from: log.last_index() + 1,
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
            incoming_snapshot: None,
            installed_snapshot: None,
            messages: Vec::new(),
        };
        raft.reset_election_timer(now_us);
        raft
    }

    /// Returns the own id.
    pub fn id(&self) -> ReplicaId {
        self.settings.id
    }

    /// Returns the part that the replica plays.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Returns the leader, where known.
    pub fn leader(&self) -> Option<ReplicaId> {
        self.leader
    }

    /// Returns the current term.
    pub fn term(&self) -> Term {
        self.hard_state.term
    }

    /// Returns the committed index.
    pub fn commit_index(&self) -> Index {
        self.commit_index
    }

    /// Returns the last index in the log.
    pub fn last_index(&self) -> Index {
        self.log.last_index()
    }

    /// Returns the entries of the log that are not known to be committed.
    pub fn uncommitted(&self) -> &[Entry] {
        self.log.slice(self.commit_index + 1, usize::MAX)
    }

    /// Returns the last index that the snapshot covers.
    pub fn snapshot_index(&self) -> Index {
        self.log.snapshot().index
    }

    /// Returns the membership in force, committed or not.
    pub fn membership(&self) -> &Membership {
        self.log.membership_at(Index::MAX)
    }

    /// Returns the last index that a follower is known to hold.
    pub fn match_index(&self, id: ReplicaId) -> Option<Index> {
        self.progress.get(&id).map(|progress| progress.match_index)
    }

    /// Returns how long a leader has not heard from a follower, in microseconds.
    pub fn silence_us(&self, now_us: u64, id: ReplicaId) -> Option<u64> {
        self.progress.get(&id).map(|progress| now_us.saturating_sub(progress.last_contact_us))
    }

    /// Returns whether the entry of the leader's own term is committed.
    pub fn is_settled_leader(&self) -> bool {
        let committed_term = self.log.term_at(self.commit_index);
        self.role == Role::Leader && committed_term == Some(self.hard_state.term)
    }

    /// Returns the time since a quorum was last in contact, in microseconds.
    pub fn contact_age_us(&self, now_us: u64) -> u64 {
        let contact_us = match self.role {
            Role::Leader => self.quorum_contact_us(now_us),
            _ => self.leader_contact_us,
        };
        now_us.saturating_sub(contact_us)
    }

    /// Advances time.
    pub fn tick(&mut self, now_us: u64) {
        match self.role {
            Role::Leader => self.tick_leader(now_us),
            _ if now_us >= self.election_due_us => self.start_pre_vote(now_us),
            _ => {}
        }
    }

    /// Appends a command.
    ///
    /// # Errors
    ///
    /// Returns an error unless this replica leads.
    pub fn propose(&mut self, now_us: u64, command: Vec<u8>) -> Result<Index, ProposeError> {
        self.require_leader()?;
        Ok(self.append(now_us, Payload::Command(command)))
    }

    /// Appends a membership change of at most one voter.
    ///
    /// # Errors
    ///
    /// Returns an error unless this replica leads, its term has a committed entry, no earlier change
    /// is open and the change is a single step.
    pub fn propose_membership(
        &mut self,
        now_us: u64,
        membership: Membership,
    ) -> Result<Index, ProposeError> {
        self.require_leader()?;
        if !self.is_settled_leader() || self.log.has_membership_after(self.commit_index) {
            return Err(ProposeError::ChangeInProgress);
        }
        let is_possible = membership.voters().next().is_some();
        if !is_possible || !self.membership().is_single_step(&membership) {
            return Err(ProposeError::NotSingleStep);
        }
        let index = self.append(now_us, Payload::Membership(membership));
        self.sync_progress(now_us);
        Ok(index)
    }

    /// Takes a message of another replica.
    pub fn step(&mut self, now_us: u64, from: ReplicaId, message: Message) {
        if let Some(term) = message.term()
            && term > self.hard_state.term
        {
            if matches!(message, Message::Vote { .. }) && self.hears_leader(now_us) {
                return;
            }
            self.become_follower(now_us, term, None);
        }
        match message {
            Message::PreVote { next_term, last_index, last_term } => {
                self.answer_pre_vote(now_us, from, next_term, (last_term, last_index));
            }
            Message::PreVoteReply { next_term, is_granted, .. } => {
                self.count_pre_vote(now_us, from, next_term, is_granted);
            }
            Message::Vote { term, last_index, last_term } => {
                self.answer_vote(now_us, from, term, (last_term, last_index));
            }
            Message::VoteReply { term, is_granted } => {
                self.count_vote(now_us, from, term, is_granted);
            }
            Message::Append { term, prev_index, prev_term, entries, commit_index } => {
                if self.follow(now_us, from, term) {
                    self.take_entries(from, prev_index, prev_term, entries, commit_index);
                }
            }
            Message::AppendReply { term, is_match, index } => {
                if self.role == Role::Leader && term == self.hard_state.term {
                    self.take_append_reply(now_us, from, is_match, index);
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
                if self.follow(now_us, from, term) {
                    let head = Snapshot { index, term: index_term, membership, data };
                    self.take_chunk(from, head, offset_bytes, is_last);
                }
            }
            Message::SnapshotReply { term, index, received_bytes } => {
                if self.role == Role::Leader && term == self.hard_state.term {
                    self.take_snapshot_reply(now_us, from, index, received_bytes);
                }
            }
        }
    }

    /// Returns what the owner does next. The owner calls [`Raft::synced`] after the sync.
    pub fn take_ready(&mut self) -> Ready {
        let mut ready = Ready { snapshot: self.installed_snapshot.take(), ..Ready::default() };
        if let Some(snapshot) = &ready.snapshot {
            self.applied_index = self.applied_index.max(snapshot.index);
        }
        if self.hard_state != self.stored_hard_state {
            self.stored_hard_state = self.hard_state;
            ready.hard_state = Some(self.hard_state);
        }
        if self.unsynced_from <= self.log.last_index() {
            ready.entries = self.log.slice(self.unsynced_from, usize::MAX).to_vec();
            self.unsynced_from = self.log.last_index() + 1;
        }
        ready.messages = mem::take(&mut self.messages);
        let count = self.commit_index.saturating_sub(self.applied_index) as usize;
        ready.committed = self.log.slice(self.applied_index + 1, count).to_vec();
        self.applied_index = self.applied_index.max(self.commit_index);
        ready
    }

    /// Tells that everything of earlier [`Ready`] values is synced up to an index.
    pub fn synced(&mut self, now_us: u64, last_index: Index) {
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

    /// Replaces the log up to an applied index by a snapshot. Returns the snapshot to persist.
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

    /// Returns the stored form of the present state, for a rewritten log.
    pub fn to_stored(&self) -> Stored {
        Stored {
            hard_state: self.hard_state,
            snapshot: self.log.snapshot().clone(),
            entries: self.log.slice(self.log.snapshot().index + 1, usize::MAX).to_vec(),
        }
    }

    fn require_leader(&self) -> Result<(), ProposeError> {
        match self.role {
            Role::Leader => Ok(()),
            _ => Err(ProposeError::NotLeader(self.leader)),
        }
    }

    fn tick_leader(&mut self, now_us: u64) {
        let silence_us = now_us.saturating_sub(self.quorum_contact_us(now_us));
        if silence_us > self.settings.election_timeout_us {
            self.become_follower(now_us, self.hard_state.term, None);
            return;
        }
        if now_us >= self.heartbeat_due_us {
            self.heartbeat_due_us = now_us + self.settings.heartbeat_us;
            self.broadcast();
        }
    }

    /// Returns the latest time by which a quorum had been heard.
    fn quorum_contact_us(&self, now_us: u64) -> u64 {
        let contact = |id: ReplicaId| match self.progress.get(&id) {
            _ if id == self.settings.id => now_us,
            Some(progress) => progress.last_contact_us,
            None => 0,
        };
        let mut contacts: Vec<u64> = self.membership().voters().map(contact).collect();
        contacts.sort_unstable_by(|a, b| b.cmp(a));
        contacts.get(self.membership().quorum() - 1).copied().unwrap_or(0)
    }

    fn hears_leader(&self, now_us: u64) -> bool {
        let age_us = now_us.saturating_sub(self.leader_contact_us);
        let is_recent = self.leader_contact_us > 0 && age_us < self.settings.election_timeout_us;
        self.role == Role::Leader || (self.leader.is_some() && is_recent)
    }

    fn reset_election_timer(&mut self, now_us: u64) {
        let timeout_us = self.settings.election_timeout_us;
        self.election_due_us = now_us + self.rng.random_range(timeout_us..timeout_us * 2);
    }

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
        self.campaign_if_won(now_us);
    }

    fn campaign_if_won(&mut self, now_us: u64) {
        if self.votes.len() < self.membership().quorum() {
            return;
        }
        match self.role {
            Role::PreCandidate => self.start_election(now_us),
            Role::Candidate => self.become_leader(now_us),
            Role::Follower | Role::Leader => {}
        }
    }

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
        self.campaign_if_won(now_us);
    }

    fn become_leader(&mut self, now_us: u64) {
        self.role = Role::Leader;
        self.leader = Some(self.settings.id);
        self.progress.clear();
        self.sync_progress(now_us);
        self.heartbeat_due_us = now_us + self.settings.heartbeat_us;
        self.append(now_us, Payload::Empty);
    }

    fn become_follower(&mut self, now_us: u64, term: Term, leader: Option<ReplicaId>) {
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

    fn answer_pre_vote(
        &mut self,
        now_us: u64,
        from: ReplicaId,
        next_term: Term,
        last: (Term, Index),
    ) {
        let is_granted = next_term > self.hard_state.term
            && !self.hears_leader(now_us)
            && self.is_up_to_date(last);
        let message = Message::PreVoteReply { term: self.hard_state.term, next_term, is_granted };
        self.send(from, message);
    }

    fn count_pre_vote(&mut self, now_us: u64, from: ReplicaId, next_term: Term, granted: bool) {
        let is_current = self.role == Role::PreCandidate && next_term == self.hard_state.term + 1;
        if is_current && granted && self.membership().is_voter(from) {
            self.votes.insert(from);
            self.campaign_if_won(now_us);
        }
    }

    fn answer_vote(&mut self, now_us: u64, from: ReplicaId, term: Term, last: (Term, Index)) {
        let can_vote = match self.hard_state.voted_for {
            Some(id) => id == from,
            None => self.role != Role::Leader,
        };
        let is_granted = term == self.hard_state.term && can_vote && self.is_up_to_date(last);
        if is_granted {
            self.hard_state.voted_for = Some(from);
            self.reset_election_timer(now_us);
        }
        self.send(from, Message::VoteReply { term: self.hard_state.term, is_granted });
    }

    fn count_vote(&mut self, now_us: u64, from: ReplicaId, term: Term, granted: bool) {
        let is_current = self.role == Role::Candidate && term == self.hard_state.term;
        if is_current && granted && self.membership().is_voter(from) {
            self.votes.insert(from);
            self.campaign_if_won(now_us);
        }
    }

    fn is_up_to_date(&self, last: (Term, Index)) -> bool {
        last >= (self.log.last_term(), self.log.last_index())
    }

    /// Accepts a leader's message of the current term. Returns whether it counts.
    fn follow(&mut self, now_us: u64, from: ReplicaId, term: Term) -> bool {
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

    fn take_entries(
        &mut self,
        from: ReplicaId,
        prev_index: Index,
        prev_term: Term,
        entries: Vec<Entry>,
        commit_index: Index,
    ) {
        let term = self.hard_state.term;
        let last_new = prev_index + entries.len() as Index;
        let is_covered = prev_index < self.log.snapshot().index;
        if !is_covered && self.log.term_at(prev_index) != Some(prev_term) {
            let index = self.log.last_index().min(prev_index.saturating_sub(1));
            self.send(from, Message::AppendReply { term, is_match: false, index });
            return;
        }
        if let Some(first_changed) = self.log.merge(entries) {
            self.unsynced_from = self.unsynced_from.min(first_changed);
        }
        self.commit_index = self.commit_index.max(commit_index.min(last_new));
        let index = last_new.max(self.log.snapshot().index);
        self.send(from, Message::AppendReply { term, is_match: true, index });
    }

    fn take_append_reply(&mut self, now_us: u64, from: ReplicaId, is_match: bool, index: Index) {
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

    fn take_chunk(&mut self, from: ReplicaId, chunk: Snapshot, offset_bytes: u64, is_last: bool) {
        let term = self.hard_state.term;
        if chunk.index <= self.commit_index {
            let index = self.commit_index;
            self.send(from, Message::AppendReply { term, is_match: true, index });
            return;
        }
        let index = chunk.index;
        let mut partial = match self.incoming_snapshot.take() {
            Some(partial) if partial.index == index && partial.term == chunk.term => partial,
            _ => Snapshot { data: Vec::new(), ..chunk.clone() },
        };
        let is_next = partial.data.len() as u64 == offset_bytes;
        if is_next {
            partial.data.extend_from_slice(&chunk.data);
        }
        let received_bytes = partial.data.len() as u64;
        if is_next && is_last {
            self.install(partial);
            self.send(from, Message::AppendReply { term, is_match: true, index });
        } else {
            self.incoming_snapshot = Some(partial);
            self.send(from, Message::SnapshotReply { term, index, received_bytes });
        }
    }

    fn install(&mut self, snapshot: Snapshot) {
        self.commit_index = snapshot.index;
        self.log.reset(snapshot.clone());
        // The stored log is rewritten with the snapshot, so kept entries are persisted again.
        self.unsynced_from = snapshot.index + 1;
        self.installed_snapshot = Some(snapshot);
    }

    fn take_snapshot_reply(
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
            transfer.sent_bytes = received_bytes;
            self.send_chunk(from);
        }
    }

    fn append(&mut self, now_us: u64, payload: Payload) -> Index {
        let index = self.log.last_index() + 1;
        self.log.push(Entry { term: self.hard_state.term, index, payload });
        self.unsynced_from = self.unsynced_from.min(index);
        self.heartbeat_due_us = self.heartbeat_due_us.min(now_us + self.settings.heartbeat_us);
        self.broadcast_new();
        index
    }

    /// Keeps a progress for each member and none for others.
    fn sync_progress(&mut self, now_us: u64) {
        let last_index = self.log.last_index();
        let ids: Vec<ReplicaId> = self.membership().members.keys().copied().collect();
        self.progress.retain(|id, _| ids.contains(id));
        for id in ids {
            self.progress.entry(id).or_insert_with(|| Progress::new(last_index, now_us));
        }
    }

    /// Sends new entries to followers that are not waiting for an answer.
    fn broadcast_new(&mut self) {
        for id in self.followers() {
            if self.progress.get(&id).is_some_and(|progress| !progress.is_paused) {
                self.replicate(id);
            }
        }
    }

    /// Sends a heartbeat to every follower and repeats what was lost.
    fn broadcast(&mut self) {
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

    fn replicate(&mut self, to: ReplicaId) {
        let term = self.hard_state.term;
        let commit_index = self.commit_index;
        let Some(progress) = self.progress.get_mut(&to) else {
            return;
        };
        let prev_index = progress.next_index - 1;
        let Some(prev_term) = self.log.term_at(prev_index) else {
            self.start_snapshot(to);
            return;
        };
        let entries = self.log.slice(progress.next_index, MAX_ENTRIES_PER_APPEND).to_vec();
        if !entries.is_empty() {
            progress.is_paused = true;
            progress.next_index += entries.len() as Index;
        }
        self.send(to, Message::Append { term, prev_index, prev_term, entries, commit_index });
    }

    fn start_snapshot(&mut self, to: ReplicaId) {
        let index = self.log.snapshot().index;
        let Some(progress) = self.progress.get_mut(&to) else {
            return;
        };
        let is_running = progress.snapshot.is_some_and(|transfer| transfer.index == index);
        if !is_running {
            progress.snapshot = Some(SnapshotTransfer { index, sent_bytes: 0 });
        }
        self.send_chunk(to);
    }

    fn send_chunk(&mut self, to: ReplicaId) {
        let snapshot = self.log.snapshot();
        let Some(progress) = self.progress.get(&to) else {
            return;
        };
        let Some(transfer) = progress.snapshot else {
            return;
        };
        if transfer.index != snapshot.index {
            // The snapshot moved on; the next heartbeat starts with the new one.
            return;
        }
        let from = (transfer.sent_bytes as usize).min(snapshot.data.len());
        let until = (from + self.settings.snapshot_chunk_bytes).min(snapshot.data.len());
        let message = Message::SnapshotChunk {
            term: self.hard_state.term,
            index: snapshot.index,
            index_term: snapshot.term,
            membership: snapshot.membership.clone(),
            offset_bytes: from as u64,
            data: snapshot.data[from..until].to_vec(),
            is_last: until == snapshot.data.len(),
        };
        self.send(to, message);
    }

    fn advance_commit(&mut self, now_us: u64) {
        let matched = |id: ReplicaId| self.progress.get(&id).map_or(0, |p| p.match_index);
        let mut matches: Vec<Index> = self.membership().voters().map(matched).collect();
        matches.sort_unstable_by(|a, b| b.cmp(a));
        let Some(&quorum_index) = matches.get(self.membership().quorum() - 1) else {
            return;
        };
        let is_own_term = self.log.term_at(quorum_index) == Some(self.hard_state.term);
        if quorum_index <= self.commit_index || !is_own_term {
            return;
        }
        self.commit_index = quorum_index;
        self.sync_progress(now_us);
        let is_committed = !self.log.has_membership_after(self.commit_index);
        if is_committed && !self.membership().is_voter(self.settings.id) {
            self.become_follower(now_us, self.hard_state.term, None);
            return;
        }
        // Followers learn of the commit at once, so that state is in force everywhere quickly.
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

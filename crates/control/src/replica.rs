//! Control thread, which owns the replicated log, its files and the state machine.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::mpsc::{self, Receiver, RecvTimeoutError, Sender};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use arc_swap::ArcSwap;
use consensus::{
    Entry, Index, Member, Membership, Message, Payload, PersistentState, ProposeError, Raft, Ready,
    ReplicaId, Role, Snapshot, Term,
};
use daemon::Clock;
use quick_error::quick_error;
use slog::{Logger, error, info};
use storage::{ReplicaFiles, StorageError};
use tokio::sync::{oneshot, watch};

use crate::claims::{ClaimKey, ClaimResult};
use crate::membership::{self, MemberHealth, MembershipStep};
use crate::peers::Outbox;
use crate::state::{Applied, Command, State, StateError};
use crate::view::View;

/// Maximum time to wait for an input before consensus is ticked.
const TICK_INTERVAL: Duration = Duration::from_millis(10);
/// Heartbeats that a leader sends per election timeout, so that the loss of a few does not start an
/// election.
const HEARTBEATS_PER_TIMEOUT: u64 = 6;
const SNAPSHOT_CHUNK_BYTES: usize = 256 * 1024;
/// Maximum number of queued inputs that are handled with the first one before messages are sent.
const MAX_BATCH_INPUTS: usize = 1_024;
/// Size at which the log is compacted, in bytes.
const COMPACTION_LOG_BYTES: u64 = 8 * 1024 * 1024;
/// Number of committed entries after the snapshot at which the log is compacted.
const COMPACTION_LOG_ENTRIES: Index = 20_000;
const MICROS_PER_MILLI: u64 = 1_000;

quick_error! {
    /// Failure of a proposal.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ProposalError {
        /// This replica is not the leader.
        NotLeader {
            display("this replica is not the leader")
        }
        /// The replica lost leadership before the commit; the command may still be committed later.
        Interrupted {
            display("leadership was lost before the command was committed")
        }
        /// The control thread has stopped, or the command could not be encoded.
        Stopped {
            display("the control thread has stopped")
        }
    }
}

quick_error! {
    /// Failure that ends the control thread.
    #[derive(Debug)]
    pub enum ReplicaError {
        /// Writing a file of the replica failed.
        Storage(source: StorageError) {
            display("{}", source)
            from()
        }
        /// The state machine could not decode or encode its state or a command.
        State(source: StateError) {
            display("{}", source)
            from()
        }
        /// The control thread could not be started.
        Thread(source: std::io::Error) {
            display("failed to start the control thread: {}", source)
            from()
        }
    }
}

type ProposalReply = oneshot::Sender<Result<Applied, ProposalError>>;

/// Receiver of the result of a proposal.
pub(crate) type ProposalReceiver = oneshot::Receiver<Result<Applied, ProposalError>>;

/// Consensus message or request that the control thread handles.
pub(crate) enum Input {
    Message { from: ReplicaId, from_address: String, message: Message },
    Propose { command: Command, reply: ProposalReply },
    AddLearner { id: ReplicaId, member: Member, reply: oneshot::Sender<bool> },
    RemoveStopping { id: ReplicaId, reply: oneshot::Sender<Option<Index>> },
    LookUpClaim { key: ClaimKey, holder: u64, reply: oneshot::Sender<Option<ClaimResult>> },
    FormCluster { membership: Membership },
    Stop,
}

/// Handle to the control thread.
#[derive(Clone)]
pub(crate) struct ReplicaHandle {
    inputs: Sender<Input>,
    view: Arc<ArcSwap<View>>,
    profile_revision: watch::Receiver<u64>,
    configuration_version: watch::Receiver<u64>,
    departure_revision: watch::Receiver<u64>,
    is_current: watch::Receiver<bool>,
}

impl ReplicaHandle {
    pub(crate) fn view(&self) -> Arc<View> {
        self.view.load_full()
    }

    /// Returns a receiver that is notified of new revisions of the profiles.
    pub(crate) fn profile_revision(&self) -> watch::Receiver<u64> {
        self.profile_revision.clone()
    }

    /// Returns a receiver that is notified of new versions of the configuration.
    pub(crate) fn configuration_version(&self) -> watch::Receiver<u64> {
        self.configuration_version.clone()
    }

    /// Returns a receiver that is notified of new departures.
    pub(crate) fn departure_revision(&self) -> watch::Receiver<u64> {
        self.departure_revision.clone()
    }

    /// Returns a receiver that is notified when the state of the replica becomes stale or current.
    /// A control thread that waits for its disk does not notify.
    pub(crate) fn is_current(&self) -> watch::Receiver<bool> {
        self.is_current.clone()
    }

    /// Sends an input to the control thread. If the thread has stopped the input is dropped, and
    /// with it the reply channel that it may hold.
    pub(crate) fn input(&self, input: Input) {
        let _ = self.inputs.send(input);
    }

    /// Proposes a command and waits until it is applied.
    pub(crate) async fn propose(&self, command: Command) -> Result<Applied, ProposalError> {
        self.submit(command).await.unwrap_or(Err(ProposalError::Stopped))
    }

    /// Proposes a command before it returns, so that commands are proposed in the order of the calls.
    /// The receiver gets the result once the command is applied.
    pub(crate) fn submit(&self, command: Command) -> ProposalReceiver {
        let (reply, receiver) = oneshot::channel();
        self.input(Input::Propose { command, reply });
        receiver
    }
}

/// Starts the control thread with the recovered state.
pub(crate) fn start(
    log: Logger,
    clock: Clock,
    id: ReplicaId,
    files: ReplicaFiles,
    persistent_state: PersistentState,
    outbox: impl Outbox + Send + 'static,
    election_timeout_us: u64,
) -> Result<(ReplicaHandle, JoinHandle<Result<(), ReplicaError>>), ReplicaError> {
    let state = State::from_snapshot(&persistent_state.snapshot.data)?;
    let raft = Raft::new(raft_settings(id, election_timeout_us), persistent_state, clock.now_us());
    let (inputs, receiver) = mpsc::channel();
    let (profile_revision_sender, profile_revision) = watch::channel(state.profiles().revision());
    let (configuration_version_sender, configuration_version) =
        watch::channel(state.configurations().version());
    let (departure_revision_sender, departure_revision) =
        watch::channel(state.departures().revision());
    let (is_current_sender, is_current) = watch::channel(false);
    let view = Arc::new(ArcSwap::from_pointee(build_view(&raft, &state, clock.now_us())));
    let replica = Replica {
        log,
        clock,
        raft,
        files,
        state,
        outbox,
        election_timeout_us,
        pending: BTreeMap::new(),
        view: Arc::clone(&view),
        profile_revision_sender,
        configuration_version_sender,
        departure_revision_sender,
        is_current_sender,
    };
    let thread = thread::Builder::new().name("control".to_owned());
    let thread = thread.spawn(move || replica.run(&receiver))?;
    let handle = ReplicaHandle {
        inputs,
        view,
        profile_revision,
        configuration_version,
        departure_revision,
        is_current,
    };
    Ok((handle, thread))
}

fn raft_settings(id: ReplicaId, election_timeout_us: u64) -> consensus::Settings {
    consensus::Settings {
        id,
        election_timeout_us,
        heartbeat_interval_us: election_timeout_us / HEARTBEATS_PER_TIMEOUT,
        snapshot_chunk_bytes: SNAPSHOT_CHUNK_BYTES,
        seed: id.0,
    }
}

/// Health of the members as a leader sees it.
struct RaftHealth<'a> {
    raft: &'a Raft,
    now_us: u64,
}

impl MemberHealth for RaftHealth<'_> {
    fn contact_age_us(&self, id: ReplicaId) -> u64 {
        self.raft.member_contact_age_us(self.now_us, id).unwrap_or_default()
    }

    fn known_us(&self, id: ReplicaId) -> u64 {
        self.raft.member_known_us(self.now_us, id).unwrap_or_default()
    }

    fn is_caught_up(&self, id: ReplicaId) -> bool {
        self.raft.match_index(id) >= Some(self.raft.commit_index())
    }
}

/// Proposal of this replica whose log entry has not been applied yet.
struct PendingProposal {
    /// Term in which the entry was appended; the entry at the index may be one of a later leader.
    term: Term,
    reply: ProposalReply,
}

struct Replica<O> {
    log: Logger,
    clock: Clock,
    raft: Raft,
    files: ReplicaFiles,
    state: State,
    outbox: O,
    election_timeout_us: u64,
    pending: BTreeMap<Index, PendingProposal>,
    view: Arc<ArcSwap<View>>,
    profile_revision_sender: watch::Sender<u64>,
    configuration_version_sender: watch::Sender<u64>,
    departure_revision_sender: watch::Sender<u64>,
    is_current_sender: watch::Sender<bool>,
}

impl<O: Outbox> Replica<O> {
    fn run(mut self, inputs: &Receiver<Input>) -> Result<(), ReplicaError> {
        let result = self.process_inputs(inputs);
        if let Err(error) = &result {
            error!(self.log, "replica-failed"; "error" => %error);
        }
        self.fail_pending_proposals();
        result
    }

    fn process_inputs(&mut self, inputs: &Receiver<Input>) -> Result<(), ReplicaError> {
        loop {
            match inputs.recv_timeout(TICK_INTERVAL) {
                Ok(Input::Stop) | Err(RecvTimeoutError::Disconnected) => return Ok(()),
                Ok(first) => {
                    self.handle_input(first);
                    for input in inputs.try_iter().take(MAX_BATCH_INPUTS) {
                        if matches!(input, Input::Stop) {
                            return Ok(());
                        }
                        self.handle_input(input);
                    }
                }
                Err(RecvTimeoutError::Timeout) => {}
            }
            self.raft.tick(self.clock.now_us());
            self.process_ready()?;
            self.maintain_membership();
            self.compact_if_due()?;
            self.publish_view();
        }
    }

    fn handle_input(&mut self, input: Input) {
        let now_us = self.clock.now_us();
        match input {
            Input::Message { from, from_address, message } => {
                self.outbox.set_address(from, &from_address);
                self.raft.step(now_us, from, message);
            }
            Input::Propose { command, reply } => self.propose(now_us, &command, reply),
            Input::AddLearner { id, member, reply } => {
                let is_admitted = self.add_learner(now_us, id, member);
                let _ = reply.send(is_admitted);
            }
            Input::RemoveStopping { id, reply } => {
                let _ = reply.send(self.remove_stopping(now_us, id));
            }
            Input::LookUpClaim { key, holder, reply } => {
                let _ = reply.send(self.known_claim_result(&key, holder));
            }
            Input::FormCluster { membership } => self.form_cluster(membership),
            Input::Stop => {}
        }
    }

    fn propose(&mut self, now_us: u64, command: &Command, reply: ProposalReply) {
        let Ok(bytes) = command.encode() else {
            let _ = reply.send(Err(ProposalError::Stopped));
            return;
        };
        match self.raft.propose(now_us, bytes) {
            Ok(index) => {
                let pending = PendingProposal { term: self.raft.term(), reply };
                self.pending.insert(index, pending);
            }
            Err(_) => {
                let _ = reply.send(Err(ProposalError::NotLeader));
            }
        }
    }

    /// Returns the result of a claim as far as this replica can prove it without a quorum, `None`
    /// if it stores no claim on the key.
    fn known_claim_result(&self, key: &ClaimKey, holder: u64) -> Option<ClaimResult> {
        let uncommitted =
            self.raft.uncommitted_entries().iter().filter_map(|entry| match &entry.payload {
                Payload::Command(bytes) => Some(bytes.as_slice()),
                _ => None,
            });
        let found = self.state.known_claim_result(uncommitted, key, holder);
        found.unwrap_or_else(|error| {
            error!(self.log, "claim-lookup-failed"; "key" => &key.key, "error" => %error);
            // The entry that could not be decoded may contain the claim.
            Some(ClaimResult::Unknown)
        })
    }

    /// Persists entries, sends messages and applies commands until consensus has no more output.
    fn process_ready(&mut self) -> Result<(), ReplicaError> {
        loop {
            let ready = self.raft.take_ready();
            let is_idle =
                !ready.must_sync() && ready.messages.is_empty() && ready.committed.is_empty();
            if is_idle {
                break;
            }
            let must_sync = ready.must_sync();
            self.persist(&ready)?;
            if must_sync {
                self.raft.mark_synced(self.clock.now_us(), self.raft.last_index());
            }
            for (id, member) in &self.raft.membership().members {
                self.outbox.set_address(*id, &member.address);
            }
            for envelope in ready.messages {
                self.outbox.send(envelope);
            }
            if let Some(snapshot) = &ready.snapshot {
                self.state = State::from_snapshot(&snapshot.data)?;
            }
            self.apply(ready.committed)?;
        }
        if self.raft.role() != Role::Leader {
            self.fail_pending_proposals();
        }
        Ok(())
    }

    fn persist(&mut self, ready: &Ready) -> Result<(), ReplicaError> {
        if ready.snapshot.is_some() {
            self.files.replace(&self.raft.to_persistent_state())?;
            return Ok(());
        }
        if ready.must_sync() {
            self.files.append(ready.hard_state, ready.entries.clone())?;
        }
        Ok(())
    }

    fn apply(&mut self, entries: Vec<Entry>) -> Result<(), ReplicaError> {
        for entry in entries {
            let applied = match &entry.payload {
                Payload::Command(bytes) => Some(self.state.apply(bytes)?),
                Payload::Membership(membership) => {
                    info!(self.log, "membership-committed";
                        "index" => entry.index, "voters" => membership.voters().count());
                    None
                }
                Payload::Empty => None,
            };
            self.reply_to_proposal(&entry, applied);
        }
        Ok(())
    }

    fn reply_to_proposal(&mut self, entry: &Entry, applied: Option<Applied>) {
        let Some(pending) = self.pending.remove(&entry.index) else {
            return;
        };
        let result = match applied {
            Some(applied) if pending.term == entry.term => Ok(applied),
            _ => Err(ProposalError::Interrupted),
        };
        let _ = pending.reply.send(result);
    }

    fn fail_pending_proposals(&mut self) {
        for (_, pending) in std::mem::take(&mut self.pending) {
            let _ = pending.reply.send(Err(ProposalError::Interrupted));
        }
    }

    /// Initialises the log with the initial membership, unless the replica already has a
    /// membership.
    fn form_cluster(&mut self, membership: Membership) {
        if !self.raft.membership().members.is_empty() {
            return;
        }
        let snapshot = Snapshot { membership, ..Snapshot::default() };
        let persistent_state = PersistentState { snapshot, ..self.raft.to_persistent_state() };
        if let Err(error) = self.files.replace(&persistent_state) {
            error!(self.log, "formation-failed"; "error" => %error);
            return;
        }
        self.raft = Raft::new(
            raft_settings(self.raft.id(), self.election_timeout_us),
            persistent_state,
            self.clock.now_us(),
        );
        info!(self.log, "replica-formed"; "members" => self.raft.membership().members.len());
    }

    /// Adds a replica as a learner. Returns whether it is a member or its addition was proposed.
    fn add_learner(&mut self, now_us: u64, id: ReplicaId, member: Member) -> bool {
        let mut membership = self.raft.membership().clone();
        if membership.members.contains_key(&id) {
            return true;
        }
        membership.members.insert(id, Member { is_voter: false, ..member });
        self.change_membership(now_us, membership, "learner-admitted", id).is_some()
    }

    /// Removes a replica that stops, unless the others need its vote when it returns. Returns the
    /// index of the change, `None` if none was proposed.
    fn remove_stopping(&mut self, now_us: u64, id: ReplicaId) -> Option<Index> {
        let mut next = self.raft.membership().clone();
        if !membership::is_removed_at_stop(&next, id) {
            return None;
        }
        next.members.shift_remove(&id);
        self.change_membership(now_us, next, "replica-removed-at-stop", id)
    }

    /// As leader, makes the next change of the membership, if there is one.
    fn maintain_membership(&mut self) {
        if !self.raft.is_leader_with_current_term_commit() {
            return;
        }
        let now_us = self.clock.now_us();
        let mut next = self.raft.membership().clone();
        let health = RaftHealth { raft: &self.raft, now_us };
        let Some(step) = membership::next_step(&next, &health) else { return };
        match step {
            MembershipStep::Promote(id) => {
                next.members[&id].is_voter = true;
                self.change_membership(now_us, next, "learner-promoted", id);
            }
            MembershipStep::Remove(id) => {
                next.members.shift_remove(&id);
                self.change_membership(now_us, next, "replica-removed", id);
            }
        }
    }

    /// Proposes a membership and logs `event`. Returns the index of the change, `None` if it was not
    /// proposed.
    fn change_membership(
        &mut self,
        now_us: u64,
        next: Membership,
        event: &'static str,
        id: ReplicaId,
    ) -> Option<Index> {
        match self.raft.propose_membership(now_us, next) {
            Ok(index) => {
                info!(self.log, "{}", event; "replica" => %id, "index" => index);
                Some(index)
            }
            Err(ProposeError::ChangeInProgress | ProposeError::NotLeader(_)) => None,
            Err(ProposeError::NotSingleVoterChange) => {
                error!(self.log, "membership-refused"; "replica" => %id);
                None
            }
        }
    }

    /// Replaces the applied entries by a snapshot once the log reaches a compaction limit.
    fn compact_if_due(&mut self) -> Result<(), ReplicaError> {
        let view = self.view.load();
        let applied_index = view.applied_index;
        let entries = applied_index.saturating_sub(self.raft.snapshot_index());
        if self.files.log_bytes() < COMPACTION_LOG_BYTES && entries < COMPACTION_LOG_ENTRIES {
            return Ok(());
        }
        drop(view);
        let applied_index = self.raft.commit_index();
        let data = self.state.to_snapshot()?;
        if self.raft.compact(applied_index, data).is_some() {
            self.files.replace(&self.raft.to_persistent_state())?;
            info!(self.log, "log-compacted"; "index" => applied_index);
        }
        Ok(())
    }

    /// Publishes a new view, and notifies the receivers of new profiles, departures or a new
    /// configuration version.
    fn publish_view(&mut self) {
        let now_us = self.clock.now_us();
        self.view.store(Arc::new(build_view(&self.raft, &self.state, now_us)));
        notify_if_changed(&self.profile_revision_sender, self.state.profiles().revision());
        notify_if_changed(
            &self.configuration_version_sender,
            self.state.configurations().version(),
        );
        notify_if_changed(&self.departure_revision_sender, self.state.departures().revision());
        self.notify_staleness(now_us);
    }

    /// Notifies the receivers, and logs it, if the state has become stale or current.
    fn notify_staleness(&self, now_us: u64) {
        let contact_age_ms = self.raft.contact_age_us(now_us) / MICROS_PER_MILLI;
        let content_age_ms = self.raft.content_age_us(now_us) / MICROS_PER_MILLI;
        let is_current = content_age_ms <= rpc::MAX_CONTENT_AGE_MS;
        if notify_if_changed(&self.is_current_sender, is_current) {
            let event = if is_current { "replica-current" } else { "replica-stale" };
            info!(self.log, "{}", event; "content_age_ms" => content_age_ms,
                "contact_age_ms" => contact_age_ms, "role" => ?self.raft.role(),
                "term" => self.raft.term(), "commit_index" => self.raft.commit_index(),
                "configuration_version" => self.state.configurations().version());
        }
    }
}

/// Notifies the receivers if the value has changed. Returns whether it has.
fn notify_if_changed<T: PartialEq>(sender: &watch::Sender<T>, value: T) -> bool {
    sender.send_if_modified(|known| {
        let is_changed = *known != value;
        *known = value;
        is_changed
    })
}

fn build_view(raft: &Raft, state: &State, now_us: u64) -> View {
    View {
        id: raft.id(),
        role: raft.role(),
        term: raft.term(),
        leader: raft.leader(),
        membership: raft.membership().clone(),
        commit_index: raft.commit_index(),
        applied_index: raft.commit_index(),
        last_index: raft.last_index(),
        snapshot_index: raft.snapshot_index(),
        quorum_contact_us: now_us.saturating_sub(raft.contact_age_us(now_us)),
        content_us: now_us.saturating_sub(raft.content_age_us(now_us)),
        profiles: Arc::clone(state.profiles()),
        configurations: Arc::clone(state.configurations()),
        departures: Arc::clone(state.departures()),
        claim_count: state.claims().len(),
    }
}

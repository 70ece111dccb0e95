//! The control thread: owns the replicated log, its files and the state machine.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::mpsc::{self, Receiver, RecvTimeoutError, Sender};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use arc_swap::ArcSwap;
use consensus::{
    Entry, Index, Member, Membership, Message, Payload, ProposeError, Raft, Ready, ReplicaId, Role,
    Snapshot, Stored, Term,
};
use daemon::Clock;
use quick_error::quick_error;
use slog::{Logger, error, info};
use storage::{ReplicaFiles, StorageError};
use tokio::sync::{oneshot, watch};

use crate::claims::{ClaimKey, ClaimResult};
use crate::membership;
use crate::peers::Outbox;
use crate::state::{Applied, Command, State, StateError};
use crate::view::View;

const TICK: Duration = Duration::from_millis(10);
/// Heartbeats of a leader in an election timeout; a few may be lost.
const HEARTBEATS_PER_TIMEOUT: u64 = 6;
const SNAPSHOT_CHUNK_BYTES: usize = 256 * 1024;
const MAX_BATCH: usize = 1_024;
const MAX_LOG_BYTES: u64 = 8 * 1024 * 1024;
const MAX_LOG_ENTRIES: Index = 20_000;

quick_error! {
    /// A proposal without a committed answer.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ProposalError {
        /// Another replica leads, where known.
        NotLeader {
            display("this replica does not lead")
        }
        /// Leadership was lost before the answer; the command may yet be committed.
        Interrupted {
            display("leadership was lost before the command was committed")
        }
        /// The control thread has ended.
        Stopped {
            display("the replica is stopping")
        }
    }
}

quick_error! {
    /// Failure that ends the control thread.
    #[derive(Debug)]
    pub enum ReplicaError {
        /// A file failed.
        Storage(source: StorageError) {
            display("{}", source)
            from()
        }
        /// The state machine failed.
        State(source: StateError) {
            display("{}", source)
            from()
        }
        /// The thread cannot be started.
        Thread(source: std::io::Error) {
            display("cannot start the control thread: {}", source)
            from()
        }
    }
}

type ProposalReply = oneshot::Sender<Result<Applied, ProposalError>>;

/// Input of the control thread.
pub(crate) enum Input {
    Message { from: ReplicaId, from_address: String, message: Message },
    Propose { command: Command, reply: ProposalReply },
    Admit { id: ReplicaId, member: Member, reply: oneshot::Sender<bool> },
    LookUp { key: ClaimKey, holder: u64, reply: oneshot::Sender<Option<ClaimResult>> },
    Form { membership: Membership },
    Stop,
}

/// Handle to the control thread.
#[derive(Clone)]
pub(crate) struct ReplicaHandle {
    inputs: Sender<Input>,
    view: Arc<ArcSwap<View>>,
    profile_revision: watch::Receiver<u64>,
    configuration_version: watch::Receiver<u64>,
}

impl ReplicaHandle {
    pub(crate) fn view(&self) -> Arc<View> {
        self.view.load_full()
    }

    /// Returns a receiver of the revision of the profiles.
    pub(crate) fn profile_revision(&self) -> watch::Receiver<u64> {
        self.profile_revision.clone()
    }

    /// Returns a receiver of the version of the configuration.
    pub(crate) fn configuration_version(&self) -> watch::Receiver<u64> {
        self.configuration_version.clone()
    }

    /// Hands over an input. A stopped thread takes none; its callers see their reply dropped.
    pub(crate) fn input(&self, input: Input) {
        let _ = self.inputs.send(input);
    }

    pub(crate) async fn propose(&self, command: Command) -> Result<Applied, ProposalError> {
        let (reply, answer) = oneshot::channel();
        self.input(Input::Propose { command, reply });
        answer.await.unwrap_or(Err(ProposalError::Stopped))
    }
}

/// Starts the control thread on recovered state.
pub(crate) fn start(
    log: Logger,
    clock: Clock,
    id: ReplicaId,
    files: ReplicaFiles,
    stored: Stored,
    outbox: impl Outbox + Send + 'static,
    election_timeout_us: u64,
) -> Result<(ReplicaHandle, JoinHandle<Result<(), ReplicaError>>), ReplicaError> {
    let state = State::from_snapshot(&stored.snapshot.data)?;
    let raft = Raft::new(raft_settings(id, election_timeout_us), stored, clock.now_us());
    let (inputs, receiver) = mpsc::channel();
    let (revision_sender, profile_revision) = watch::channel(state.profiles().revision());
    let (configuration_sender, configuration_version) =
        watch::channel(state.configurations().version());
    let view = Arc::new(ArcSwap::from_pointee(view_of(&raft, &state, clock.now_us())));
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
        revision_sender,
        configuration_sender,
    };
    let thread = thread::Builder::new().name("control".to_owned());
    let thread = thread.spawn(move || replica.run(&receiver))?;
    let handle = ReplicaHandle { inputs, view, profile_revision, configuration_version };
    Ok((handle, thread))
}

fn raft_settings(id: ReplicaId, election_timeout_us: u64) -> consensus::Settings {
    consensus::Settings {
        id,
        election_timeout_us,
        heartbeat_us: election_timeout_us / HEARTBEATS_PER_TIMEOUT,
        snapshot_chunk_bytes: SNAPSHOT_CHUNK_BYTES,
        seed: id.0,
    }
}

struct PendingProposal {
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
    revision_sender: watch::Sender<u64>,
    configuration_sender: watch::Sender<u64>,
}

impl<O: Outbox> Replica<O> {
    fn run(mut self, inputs: &Receiver<Input>) -> Result<(), ReplicaError> {
        let result = self.serve(inputs);
        if let Err(error) = &result {
            error!(self.log, "replica-failed"; "error" => %error);
        }
        self.fail_pending();
        result
    }

    fn serve(&mut self, inputs: &Receiver<Input>) -> Result<(), ReplicaError> {
        loop {
            match inputs.recv_timeout(TICK) {
                Ok(Input::Stop) | Err(RecvTimeoutError::Disconnected) => return Ok(()),
                Ok(first) => {
                    self.take(first);
                    for input in inputs.try_iter().take(MAX_BATCH) {
                        if matches!(input, Input::Stop) {
                            return Ok(());
                        }
                        self.take(input);
                    }
                }
                Err(RecvTimeoutError::Timeout) => {}
            }
            self.raft.tick(self.clock.now_us());
            self.advance()?;
            self.maintain_membership();
            self.compact_if_due()?;
            self.publish();
        }
    }

    fn take(&mut self, input: Input) {
        let now_us = self.clock.now_us();
        match input {
            Input::Message { from, from_address, message } => {
                self.outbox.learn_address(from, &from_address);
                self.raft.step(now_us, from, message);
            }
            Input::Propose { command, reply } => self.propose(now_us, &command, reply),
            Input::Admit { id, member, reply } => {
                let is_admitted = self.admit(now_us, id, member);
                let _ = reply.send(is_admitted);
            }
            Input::LookUp { key, holder, reply } => {
                let _ = reply.send(self.look_up(&key, holder));
            }
            Input::Form { membership } => self.form(membership),
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

    fn look_up(&self, key: &ClaimKey, holder: u64) -> Option<ClaimResult> {
        let uncommitted = self.raft.uncommitted().iter().filter_map(|entry| match &entry.payload {
            Payload::Command(bytes) => Some(bytes.as_slice()),
            _ => None,
        });
        let found = self.state.look_up(uncommitted, key, holder);
        found.unwrap_or_else(|error| {
            error!(self.log, "claim-unreadable"; "key" => &key.key, "error" => %error);
            // An entry that cannot be read may hold the claim.
            Some(ClaimResult::Unknown)
        })
    }

    /// Persists, sends and applies until nothing is left to do.
    fn advance(&mut self) -> Result<(), ReplicaError> {
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
                self.raft.synced(self.clock.now_us(), self.raft.last_index());
            }
            for (id, member) in &self.raft.membership().members {
                self.outbox.learn_address(*id, &member.address);
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
            self.fail_pending();
        }
        Ok(())
    }

    fn persist(&mut self, ready: &Ready) -> Result<(), ReplicaError> {
        if ready.snapshot.is_some() {
            self.files.replace(&self.raft.to_stored())?;
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
            self.answer(&entry, applied);
        }
        Ok(())
    }

    fn answer(&mut self, entry: &Entry, applied: Option<Applied>) {
        let Some(pending) = self.pending.remove(&entry.index) else {
            return;
        };
        let result = match applied {
            Some(applied) if pending.term == entry.term => Ok(applied),
            _ => Err(ProposalError::Interrupted),
        };
        let _ = pending.reply.send(result);
    }

    fn fail_pending(&mut self) {
        for (_, pending) in std::mem::take(&mut self.pending) {
            let _ = pending.reply.send(Err(ProposalError::Interrupted));
        }
    }

    /// Starts from the first membership, unless the replica has one already.
    fn form(&mut self, membership: Membership) {
        if !self.raft.membership().members.is_empty() {
            return;
        }
        let snapshot = Snapshot { membership, ..Snapshot::default() };
        let stored = Stored { snapshot, ..self.raft.to_stored() };
        if let Err(error) = self.files.replace(&stored) {
            error!(self.log, "formation-failed"; "error" => %error);
            return;
        }
        self.raft = Raft::new(
            raft_settings(self.raft.id(), self.election_timeout_us),
            stored,
            self.clock.now_us(),
        );
        info!(self.log, "replica-formed"; "members" => self.raft.membership().members.len());
    }

    fn admit(&mut self, now_us: u64, id: ReplicaId, member: Member) -> bool {
        let mut membership = self.raft.membership().clone();
        if membership.members.contains_key(&id) {
            return true;
        }
        membership.members.insert(id, Member { is_voter: false, ..member });
        self.change_membership(now_us, membership, "learner-admitted", id)
    }

    /// Promotes a learner that holds everything, then removes the replica that it replaces.
    fn maintain_membership(&mut self) {
        if !self.raft.is_settled_leader() {
            return;
        }
        let now_us = self.clock.now_us();
        let membership = self.raft.membership().clone();
        let commit_index = self.raft.commit_index();
        let holds_all = |id: &ReplicaId| self.raft.match_index(*id) >= Some(commit_index);
        let learner =
            membership.members.iter().find(|(id, member)| !member.is_voter && holds_all(id));
        if let Some((id, _)) = learner {
            let (id, mut next) = (*id, membership.clone());
            next.members[&id].is_voter = true;
            self.change_membership(now_us, next, "learner-promoted", id);
            return;
        }
        let silence_us = |id: ReplicaId| self.raft.silence_us(now_us, id).unwrap_or_default();
        if let Some(id) = membership::superfluous_member(&membership, silence_us) {
            let mut next = membership;
            next.members.shift_remove(&id);
            self.change_membership(now_us, next, "replica-removed", id);
        }
    }

    fn change_membership(
        &mut self,
        now_us: u64,
        next: Membership,
        event: &'static str,
        id: ReplicaId,
    ) -> bool {
        match self.raft.propose_membership(now_us, next) {
            Ok(index) => {
                info!(self.log, "{}", event; "replica" => %id, "index" => index);
                true
            }
            Err(ProposeError::ChangeInProgress | ProposeError::NotLeader(_)) => false,
            Err(ProposeError::NotSingleStep) => {
                error!(self.log, "membership-refused"; "replica" => %id);
                false
            }
        }
    }

    fn compact_if_due(&mut self) -> Result<(), ReplicaError> {
        let view = self.view.load();
        let applied_index = view.applied_index;
        let entries = applied_index.saturating_sub(self.raft.snapshot_index());
        if self.files.log_bytes() < MAX_LOG_BYTES && entries < MAX_LOG_ENTRIES {
            return Ok(());
        }
        drop(view);
        let applied_index = self.raft.commit_index();
        let data = self.state.to_snapshot()?;
        if self.raft.compact(applied_index, data).is_some() {
            self.files.replace(&self.raft.to_stored())?;
            info!(self.log, "log-compacted"; "index" => applied_index);
        }
        Ok(())
    }

    fn publish(&mut self) {
        let now_us = self.clock.now_us();
        self.view.store(Arc::new(view_of(&self.raft, &self.state, now_us)));
        announce(&self.revision_sender, self.state.profiles().revision());
        announce(&self.configuration_sender, self.state.configurations().version());
    }
}

/// Wakes the receivers if a position has changed.
fn announce(sender: &watch::Sender<u64>, position: u64) {
    sender.send_if_modified(|known| {
        let is_new = *known != position;
        *known = position;
        is_new
    });
}

fn view_of(raft: &Raft, state: &State, now_us: u64) -> View {
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
        profiles: Arc::clone(state.profiles()),
        configurations: Arc::clone(state.configurations()),
        claims: state.claims().len(),
    }
}

//! Simulates replicas with lost, duplicated and reordered messages, partitions, crashes, lost disks
//! and membership changes, and checks that all replicas apply the same commands, that a term has
//! one leader and that no committed entry is lost.

use std::collections::{BTreeMap, BTreeSet};

use consensus::{
    Entry, Envelope, HardState, Member, Membership, Payload, PersistentState, Raft, ReplicaId,
    Role, Settings, Snapshot, Term,
};
use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Exclusive upper bound of the time by which a step advances the clock.
const MAX_STEP_US: u64 = 10_000;
const ELECTION_TIMEOUT_US: u64 = 100_000;
const HEARTBEAT_INTERVAL_US: u64 = 20_000;
const COMPACTION_INTERVAL_ENTRIES: u64 = 15;
const SNAPSHOT_CHUNK_BYTES: usize = 40;

/// State that survives a crash of a simulated replica.
#[derive(Debug, Clone, Default)]
struct Disk {
    persistent_state: PersistentState,
}

impl Disk {
    /// Stores the hard state and replaces the entries from the index of the first one on.
    fn write(&mut self, hard_state: Option<HardState>, entries: &[Entry]) {
        if let Some(hard_state) = hard_state {
            self.persistent_state.hard_state = hard_state;
        }
        for entry in entries {
            let kept_count = (entry.index - self.persistent_state.snapshot.index - 1) as usize;
            self.persistent_state.entries.truncate(kept_count);
            self.persistent_state.entries.push(entry.clone());
        }
    }
}

/// Simulated replica with its disk and state machine.
struct Replica {
    raft: Raft,
    disk: Disk,
    /// All commands applied so far, those in the snapshot included.
    applied: Vec<Vec<u8>>,
    /// Address, kept by the replica that replaces one with a lost disk.
    address: usize,
    is_up: bool,
}

/// Simulated replicas and the network between them.
struct Cluster {
    rng: StdRng,
    now_us: u64,
    replicas: BTreeMap<ReplicaId, Replica>,
    messages_in_flight: Vec<(ReplicaId, Envelope)>,
    /// Commands that some replica has applied, in order of their position.
    committed_commands: Vec<Vec<u8>>,
    leader_by_term: BTreeMap<Term, ReplicaId>,
    next_id: u64,
    next_command: u64,
    /// Replicas whose messages are dropped in both directions.
    partitioned: BTreeSet<ReplicaId>,
}

impl Cluster {
    fn new(seed: u64, voter_count: u64) -> Self {
        let members = (1..=voter_count).map(|id| (ReplicaId(id), member(id as usize, true)));
        let membership = Membership { members: members.collect() };
        let mut cluster = Self {
            rng: StdRng::seed_from_u64(seed),
            now_us: 1_000_000,
            replicas: BTreeMap::new(),
            messages_in_flight: Vec::new(),
            committed_commands: Vec::new(),
            leader_by_term: BTreeMap::new(),
            next_id: voter_count + 1,
            next_command: 0,
            partitioned: BTreeSet::new(),
        };
        for id in 1..=voter_count {
            let snapshot = Snapshot { membership: membership.clone(), ..Snapshot::default() };
            let disk = Disk {
                persistent_state: PersistentState { snapshot, ..PersistentState::default() },
            };
            cluster.add(ReplicaId(id), disk, id as usize);
        }
        cluster
    }

    fn add(&mut self, id: ReplicaId, disk: Disk, address: usize) {
        let raft = Raft::new(settings(id), disk.persistent_state.clone(), self.now_us);
        let applied = decode(&disk.persistent_state.snapshot.data);
        self.replicas.insert(id, Replica { raft, disk, applied, address, is_up: true });
    }

    fn step(&mut self) {
        self.now_us += self.rng.random_range(1..MAX_STEP_US);
        match self.rng.random_range(0..1000) {
            0..5 => self.crash(),
            5..25 => self.restart(),
            25..28 => self.replace_disk(),
            28..40 => self.toggle_partition(),
            40..120 => self.propose(),
            120..400 => self.tick(),
            _ => self.deliver(),
        }
        self.maintain_membership();
    }

    fn random_id(&mut self) -> ReplicaId {
        let index = self.rng.random_range(0..self.replicas.len());
        *self.replicas.keys().nth(index).expect("there are replicas")
    }

    fn crash(&mut self) {
        let id = self.random_id();
        self.replicas.get_mut(&id).expect("the id belongs to a replica").is_up = false;
    }

    /// Restarts a stopped replica from its disk.
    fn restart(&mut self) {
        let stopped = self.replicas.iter().find(|(_, replica)| !replica.is_up);
        let Some((&id, replica)) = stopped else { return };
        let (disk, address) = (replica.disk.clone(), replica.address);
        self.add(id, disk, address);
    }

    /// Replaces a replica by one with an empty disk and a new id, unless another replacement is in
    /// progress or a replica is stopped: the others must hold a quorum of every membership.
    fn replace_disk(&mut self) {
        let id = self.random_id();
        let is_replacing =
            self.replicas.values().any(|replica| !has_settled_membership(&replica.raft));
        if is_replacing || self.replicas.values().any(|replica| !replica.is_up) {
            return;
        }
        let address = self.replicas[&id].address;
        self.replicas.remove(&id);
        let new_id = ReplicaId(self.next_id);
        self.next_id += 1;
        self.add(new_id, Disk::default(), address);
    }

    /// Partitions a replica from the others, at most half of them at a time, or ends its partition.
    fn toggle_partition(&mut self) {
        let id = self.random_id();
        if !self.partitioned.remove(&id) && self.partitioned.len() < self.replicas.len() / 2 {
            self.partitioned.insert(id);
        }
    }

    fn propose(&mut self) {
        let id = self.random_id();
        self.next_command += 1;
        let command = self.next_command.to_be_bytes().to_vec();
        let now_us = self.now_us;
        let replica = self.replicas.get_mut(&id).expect("the id belongs to a replica");
        if replica.is_up {
            // Fails unless this replica is the leader.
            let _ = replica.raft.propose(now_us, command);
            self.process_ready(id);
        }
    }

    fn tick(&mut self) {
        let id = self.random_id();
        let now_us = self.now_us;
        let replica = self.replicas.get_mut(&id).expect("the id belongs to a replica");
        if replica.is_up {
            replica.raft.tick(now_us);
            self.process_ready(id);
        }
    }

    /// Delivers a random message. One in 20 stays in flight as a duplicate, one in 20 is lost.
    fn deliver(&mut self) {
        if self.messages_in_flight.is_empty() {
            return;
        }
        let index = self.rng.random_range(0..self.messages_in_flight.len());
        let (from, envelope) = match self.rng.random_range(0..20) {
            0 => self.messages_in_flight[index].clone(),
            _ => self.messages_in_flight.swap_remove(index),
        };
        let is_lost = self.rng.random_range(0..20) == 0;
        if is_lost || self.partitioned.contains(&from) || self.partitioned.contains(&envelope.to) {
            return;
        }
        let now_us = self.now_us;
        let Some(replica) = self.replicas.get_mut(&envelope.to) else { return };
        if replica.is_up {
            replica.raft.step(now_us, from, envelope.message);
            self.process_ready(envelope.to);
        }
    }

    /// Persists, sends and applies the pending work. A random crash before that loses it.
    fn process_ready(&mut self, id: ReplicaId) {
        loop {
            let is_crashing = self.rng.random_range(0..500) == 0;
            let replica = self.replicas.get_mut(&id).expect("the id belongs to a replica");
            let ready = replica.raft.take_ready();
            if !ready.must_sync() && ready.messages.is_empty() && ready.committed.is_empty() {
                break;
            }
            if is_crashing {
                replica.is_up = false;
                return;
            }
            if let Some(snapshot) = &ready.snapshot {
                replica.disk.persistent_state = replica.raft.to_persistent_state();
                replica.applied = decode(&snapshot.data);
            } else {
                replica.disk.write(ready.hard_state, &ready.entries);
            }
            let last_index = replica.raft.last_index();
            if ready.must_sync() {
                replica.raft.mark_synced(self.now_us, last_index);
            }
            self.messages_in_flight
                .extend(ready.messages.into_iter().map(|envelope| (id, envelope)));
            for entry in ready.committed {
                if let Payload::Command(command) = entry.payload {
                    replica.applied.push(command);
                }
            }
            self.check_applied_commands(id);
        }
        self.compact(id);
        self.check_single_leader(id);
    }

    /// Compacts the log of a replica once enough entries are committed since the last snapshot.
    fn compact(&mut self, id: ReplicaId) {
        let replica = self.replicas.get_mut(&id).expect("the id belongs to a replica");
        let index = replica.raft.commit_index();
        if index < replica.raft.snapshot_index() + COMPACTION_INTERVAL_ENTRIES {
            return;
        }
        if replica.raft.compact(index, encode(&replica.applied)).is_some() {
            replica.disk.persistent_state = replica.raft.to_persistent_state();
        }
    }

    /// Lets the leader admit new replicas as learners, promote learners that have caught up and
    /// remove replaced replicas, one change at a time.
    fn maintain_membership(&mut self) {
        let now_us = self.now_us;
        let leader = self.replicas.iter().find(|(_, replica)| {
            replica.is_up && replica.raft.is_leader_with_current_term_commit()
        });
        let Some((&id, _)) = leader else { return };
        let addresses: Vec<(ReplicaId, usize)> =
            self.replicas.iter().map(|(id, replica)| (*id, replica.address)).collect();
        let replica = self.replicas.get_mut(&id).expect("the id belongs to a replica");
        let membership = replica.raft.membership().clone();
        let Some(next) = next_membership(&replica.raft, &membership, &addresses) else { return };
        if replica.raft.propose_membership(now_us, next).is_ok() {
            self.process_ready(id);
        }
    }

    /// Checks that a replica has applied the same commands as the others.
    fn check_applied_commands(&mut self, id: ReplicaId) {
        let replica = &self.replicas[&id];
        let common_len = self.committed_commands.len().min(replica.applied.len());
        assert_eq!(
            replica.applied[..common_len],
            self.committed_commands[..common_len],
            "commands applied by {id}"
        );
        if replica.applied.len() > common_len {
            self.committed_commands.extend_from_slice(&replica.applied[common_len..]);
        }
    }

    /// Checks that no other replica has led in the term of this leader.
    fn check_single_leader(&mut self, id: ReplicaId) {
        let replica = &self.replicas[&id];
        if replica.raft.role() == Role::Leader {
            let leader = *self.leader_by_term.entry(replica.raft.term()).or_insert(id);
            assert_eq!(leader, id, "two leaders in term {}", replica.raft.term());
        }
    }

    /// Heals all partitions, restarts all replicas and runs long enough for them to converge.
    fn heal_and_run(&mut self) {
        self.partitioned.clear();
        for _ in 0..self.replicas.len() {
            self.restart();
        }
        for round in 0..6_000 {
            self.now_us += MAX_STEP_US / 2;
            for id in self.replicas.keys().copied().collect::<Vec<_>>() {
                let now_us = self.now_us;
                let replica = self.replicas.get_mut(&id).expect("the id belongs to a replica");
                if !replica.is_up {
                    self.restart();
                    continue;
                }
                replica.raft.tick(now_us);
                self.process_ready(id);
            }
            for _ in 0..self.messages_in_flight.len().min(200) {
                self.deliver();
            }
            self.maintain_membership();
            if round % 50 == 0 {
                self.propose();
            }
        }
    }
}

/// Returns the next membership change: a promotion before a removal before an admission.
fn next_membership(
    raft: &Raft,
    membership: &Membership,
    replica_addresses: &[(ReplicaId, usize)],
) -> Option<Membership> {
    let mut next = membership.clone();
    let is_caught_up = |id: ReplicaId| raft.match_index(id) >= Some(raft.commit_index());
    let learner = membership.members.iter().find(|(id, m)| !m.is_voter && is_caught_up(**id));
    if let Some((id, _)) = learner {
        next.members[id].is_voter = true;
        return Some(next);
    }
    let replaced = membership.members.iter().find(|(id, member)| {
        let is_replaced = |(other, m): (&ReplicaId, &Member)| {
            other > *id && m.address == member.address && m.is_voter
        };
        membership.members.iter().any(is_replaced)
    });
    if let Some((id, _)) = replaced {
        next.members.shift_remove(id);
        return Some(next);
    }
    let (id, address) =
        replica_addresses.iter().find(|(id, _)| !membership.members.contains_key(id))?;
    next.members.insert(*id, member(*address, false));
    Some(next)
}

/// Returns whether the membership has one member for each address and no learner.
fn has_settled_membership(raft: &Raft) -> bool {
    let members = &raft.membership().members;
    let addresses: BTreeSet<&str> = members.values().map(|m| m.address.as_str()).collect();
    !members.is_empty()
        && members.values().all(|member| member.is_voter)
        && addresses.len() == members.len()
}

fn member(address: usize, is_voter: bool) -> Member {
    Member { address: address.to_string(), data_centre: String::new(), is_voter }
}

fn settings(id: ReplicaId) -> Settings {
    Settings {
        id,
        election_timeout_us: ELECTION_TIMEOUT_US,
        heartbeat_interval_us: HEARTBEAT_INTERVAL_US,
        snapshot_chunk_bytes: SNAPSHOT_CHUNK_BYTES,
        seed: id.0,
    }
}

/// Encodes commands of eight bytes each as snapshot data.
fn encode(commands: &[Vec<u8>]) -> Vec<u8> {
    commands.concat()
}

fn decode(data: &[u8]) -> Vec<Vec<u8>> {
    data.chunks(8).map(<[u8]>::to_vec).collect()
}

/// Runs random faults, heals the cluster and checks that every replica has applied all commands
/// that were committed before.
fn check_random_run(seed: u64, voter_count: u64, steps: u32) {
    let mut cluster = Cluster::new(seed, voter_count);
    for _ in 0..steps {
        cluster.step();
    }
    let committed_before_healing = cluster.committed_commands.clone();
    cluster.heal_and_run();
    for (id, replica) in &cluster.replicas {
        assert!(
            replica.applied.len() >= committed_before_healing.len(),
            "{id} lost a committed entry"
        );
        assert_eq!(
            replica.applied[..committed_before_healing.len()],
            committed_before_healing[..],
            "commands applied by {id}"
        );
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, ..ProptestConfig::default() })]

    #[test]
    fn committed_entries_survive_faults(seed: u64, voters in prop::sample::select(vec![3u64, 5])) {
        check_random_run(seed, voters, 8_000);
    }
}

#[test]
fn single_replica_commits_commands() {
    let mut cluster = Cluster::new(7, 1);
    cluster.heal_and_run();
    assert!(!cluster.committed_commands.is_empty());
}

#[test]
fn leader_without_quorum_contact_steps_down() {
    let mut cluster = Cluster::new(11, 3);
    cluster.heal_and_run();
    let leader = cluster.replicas.values().find(|replica| replica.raft.role() == Role::Leader);
    let id = leader.expect("there is a leader").raft.id();
    let now_us = cluster.now_us + 3 * ELECTION_TIMEOUT_US;
    let replica = cluster.replicas.get_mut(&id).expect("the id belongs to a replica");
    replica.raft.tick(now_us);
    assert_ne!(replica.raft.role(), Role::Leader);
    assert!(replica.raft.propose(now_us, vec![1]).is_err());
}

#[test]
fn membership_change_that_adds_two_voters_is_refused() {
    let mut cluster = Cluster::new(13, 3);
    cluster.heal_and_run();
    let now_us = cluster.now_us;
    let leader = cluster.replicas.values_mut().find(|replica| replica.raft.role() == Role::Leader);
    let raft = &mut leader.expect("there is a leader").raft;
    let mut next = raft.membership().clone();
    next.members.insert(ReplicaId(90), member(90, true));
    next.members.insert(ReplicaId(91), member(91, true));
    assert!(raft.propose_membership(now_us, next).is_err());
}

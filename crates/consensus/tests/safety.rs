//! Drives replicas with dropped, doubled and reordered messages, crashes, lost disks and membership
//! changes, and checks that nothing accepted is lost.

use std::collections::{BTreeMap, BTreeSet};

use consensus::{
    Entry, Envelope, HardState, Member, Membership, Payload, Raft, ReplicaId, Role, Settings,
    Snapshot, Stored, Term,
};
use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const STEP_US: u64 = 10_000;
const ELECTION_US: u64 = 100_000;
const HEARTBEAT_US: u64 = 20_000;
const COMPACT_EVERY: u64 = 15;
const CHUNK_BYTES: usize = 40;

/// What a replica has on its disk.
#[derive(Debug, Clone, Default)]
struct Disk {
    stored: Stored,
}

impl Disk {
    fn write(&mut self, hard_state: Option<HardState>, entries: &[Entry]) {
        if let Some(hard_state) = hard_state {
            self.stored.hard_state = hard_state;
        }
        for entry in entries {
            let keep = (entry.index - self.stored.snapshot.index - 1) as usize;
            self.stored.entries.truncate(keep);
            self.stored.entries.push(entry.clone());
        }
    }
}

struct Machine {
    raft: Raft,
    disk: Disk,
    /// Commands applied so far, the whole history.
    applied: Vec<Vec<u8>>,
    address: usize,
    is_up: bool,
}

struct World {
    rng: StdRng,
    now_us: u64,
    machines: BTreeMap<ReplicaId, Machine>,
    network: Vec<(ReplicaId, Envelope)>,
    /// Command that was seen committed at each position of the history.
    history: Vec<Vec<u8>>,
    leaders: BTreeMap<Term, ReplicaId>,
    next_id: u64,
    next_command: u64,
    cut: BTreeSet<ReplicaId>,
}

impl World {
    fn new(seed: u64, size: u64) -> Self {
        let members = (1..=size).map(|id| (ReplicaId(id), member(id as usize, true)));
        let membership = Membership { members: members.collect() };
        let mut world = Self {
            rng: StdRng::seed_from_u64(seed),
            now_us: 1_000_000,
            machines: BTreeMap::new(),
            network: Vec::new(),
            history: Vec::new(),
            leaders: BTreeMap::new(),
            next_id: size + 1,
            next_command: 0,
            cut: BTreeSet::new(),
        };
        for id in 1..=size {
            let snapshot = Snapshot { membership: membership.clone(), ..Snapshot::default() };
            let disk = Disk { stored: Stored { snapshot, ..Stored::default() } };
            world.add(ReplicaId(id), disk, id as usize);
        }
        world
    }

    fn add(&mut self, id: ReplicaId, disk: Disk, address: usize) {
        let raft = Raft::new(settings(id), disk.stored.clone(), self.now_us);
        let applied = decode(&disk.stored.snapshot.data);
        self.machines.insert(id, Machine { raft, disk, applied, address, is_up: true });
    }

    fn step(&mut self) {
        self.now_us += self.rng.random_range(1..STEP_US);
        match self.rng.random_range(0..1000) {
            0..5 => self.crash(),
            5..25 => self.restart(),
            25..28 => self.lose_disk(),
            28..40 => self.toggle_cut(),
            40..120 => self.propose(),
            120..400 => self.tick(),
            _ => self.deliver(),
        }
        self.maintain_membership();
    }

    fn random_id(&mut self) -> ReplicaId {
        let index = self.rng.random_range(0..self.machines.len());
        *self.machines.keys().nth(index).expect("there are machines")
    }

    fn crash(&mut self) {
        let id = self.random_id();
        self.machines.get_mut(&id).expect("known").is_up = false;
    }

    fn restart(&mut self) {
        let down = self.machines.iter().find(|(_, machine)| !machine.is_up);
        let Some((&id, machine)) = down else { return };
        let (disk, address) = (machine.disk.clone(), machine.address);
        self.add(id, disk, address);
    }

    /// Empties the disk of a replica, if the others still hold a quorum of every membership.
    fn lose_disk(&mut self) {
        let id = self.random_id();
        let repairing = self.machines.values().any(|m| !is_settled(&m.raft));
        if repairing || self.machines.values().any(|machine| !machine.is_up) {
            return;
        }
        let address = self.machines[&id].address;
        self.machines.remove(&id);
        let fresh = ReplicaId(self.next_id);
        self.next_id += 1;
        self.add(fresh, Disk::default(), address);
    }

    fn toggle_cut(&mut self) {
        let id = self.random_id();
        if !self.cut.remove(&id) && self.cut.len() < self.machines.len() / 2 {
            self.cut.insert(id);
        }
    }

    fn propose(&mut self) {
        let id = self.random_id();
        self.next_command += 1;
        let command = self.next_command.to_be_bytes().to_vec();
        let now_us = self.now_us;
        let machine = self.machines.get_mut(&id).expect("known");
        if machine.is_up {
            // Only a leader takes it.
            let _ = machine.raft.propose(now_us, command);
            self.run_ready(id);
        }
    }

    fn tick(&mut self) {
        let id = self.random_id();
        let now_us = self.now_us;
        let machine = self.machines.get_mut(&id).expect("known");
        if machine.is_up {
            machine.raft.tick(now_us);
            self.run_ready(id);
        }
    }

    fn deliver(&mut self) {
        if self.network.is_empty() {
            return;
        }
        let index = self.rng.random_range(0..self.network.len());
        let (from, envelope) = match self.rng.random_range(0..20) {
            0 => self.network[index].clone(),
            _ => self.network.swap_remove(index),
        };
        let is_lost = self.rng.random_range(0..20) == 0;
        if is_lost || self.cut.contains(&from) || self.cut.contains(&envelope.to) {
            return;
        }
        let now_us = self.now_us;
        let Some(machine) = self.machines.get_mut(&envelope.to) else { return };
        if machine.is_up {
            machine.raft.step(now_us, from, envelope.message);
            self.run_ready(envelope.to);
        }
    }

    /// Persists, sends and applies; a crash in between loses what is not persisted.
    fn run_ready(&mut self, id: ReplicaId) {
        loop {
            let crash = self.rng.random_range(0..500) == 0;
            let machine = self.machines.get_mut(&id).expect("known");
            let ready = machine.raft.take_ready();
            if !ready.must_sync() && ready.messages.is_empty() && ready.committed.is_empty() {
                break;
            }
            if crash {
                machine.is_up = false;
                return;
            }
            if let Some(snapshot) = &ready.snapshot {
                machine.disk.stored = machine.raft.to_stored();
                machine.applied = decode(&snapshot.data);
            } else {
                machine.disk.write(ready.hard_state, &ready.entries);
            }
            let last_index = machine.raft.last_index();
            if ready.must_sync() {
                machine.raft.synced(self.now_us, last_index);
            }
            self.network.extend(ready.messages.into_iter().map(|envelope| (id, envelope)));
            for entry in ready.committed {
                if let Payload::Command(command) = entry.payload {
                    machine.applied.push(command);
                }
            }
            self.check(id);
        }
        self.compact(id);
        self.check_leader(id);
    }

    fn compact(&mut self, id: ReplicaId) {
        let machine = self.machines.get_mut(&id).expect("known");
        let index = machine.raft.commit_index();
        if index < machine.raft.snapshot_index() + COMPACT_EVERY {
            return;
        }
        if machine.raft.compact(index, encode(&machine.applied)).is_some() {
            machine.disk.stored = machine.raft.to_stored();
        }
    }

    /// Admits fresh replicas, promotes caught-up learners and removes replaced replicas.
    fn maintain_membership(&mut self) {
        let now_us = self.now_us;
        let leader = self.machines.iter().find(|(_, m)| m.is_up && m.raft.is_settled_leader());
        let Some((&id, _)) = leader else { return };
        let fresh: Vec<(ReplicaId, usize)> =
            self.machines.iter().map(|(id, machine)| (*id, machine.address)).collect();
        let machine = self.machines.get_mut(&id).expect("known");
        let membership = machine.raft.membership().clone();
        let Some(next) = next_membership(&machine.raft, &membership, &fresh) else { return };
        if machine.raft.propose_membership(now_us, next).is_ok() {
            self.run_ready(id);
        }
    }

    fn check(&mut self, id: ReplicaId) {
        let machine = &self.machines[&id];
        let common = self.history.len().min(machine.applied.len());
        assert_eq!(machine.applied[..common], self.history[..common], "history of {id}");
        if machine.applied.len() > common {
            self.history.extend_from_slice(&machine.applied[common..]);
        }
    }

    fn check_leader(&mut self, id: ReplicaId) {
        let machine = &self.machines[&id];
        if machine.raft.role() == Role::Leader {
            let leader = *self.leaders.entry(machine.raft.term()).or_insert(id);
            assert_eq!(leader, id, "two leaders in term {}", machine.raft.term());
        }
    }

    /// Heals everything and runs until all replicas agree.
    fn settle(&mut self) {
        self.cut.clear();
        for _ in 0..self.machines.len() {
            self.restart();
        }
        for round in 0..6_000 {
            self.now_us += STEP_US / 2;
            for id in self.machines.keys().copied().collect::<Vec<_>>() {
                let now_us = self.now_us;
                let machine = self.machines.get_mut(&id).expect("known");
                if !machine.is_up {
                    self.restart();
                    continue;
                }
                machine.raft.tick(now_us);
                self.run_ready(id);
            }
            for _ in 0..self.network.len().min(200) {
                self.deliver();
            }
            self.maintain_membership();
            if round % 50 == 0 {
                self.propose();
            }
        }
    }
}

fn next_membership(
    raft: &Raft,
    membership: &Membership,
    machines: &[(ReplicaId, usize)],
) -> Option<Membership> {
    let mut next = membership.clone();
    let holds_all = |id: ReplicaId| raft.match_index(id) >= Some(raft.commit_index());
    let learner = membership.members.iter().find(|(id, m)| !m.is_voter && holds_all(**id));
    if let Some((id, _)) = learner {
        next.members[id].is_voter = true;
        return Some(next);
    }
    let gone = membership.members.iter().find(|(id, member)| {
        let is_replaced = |(other, m): (&ReplicaId, &Member)| {
            other > *id && m.address == member.address && m.is_voter
        };
        membership.members.iter().any(is_replaced)
    });
    if let Some((id, _)) = gone {
        next.members.shift_remove(id);
        return Some(next);
    }
    let (id, address) = machines.iter().find(|(id, _)| !membership.members.contains_key(id))?;
    next.members.insert(*id, member(*address, false));
    Some(next)
}

/// Returns whether the membership has as many voters as addresses and no learner.
fn is_settled(raft: &Raft) -> bool {
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
        election_timeout_us: ELECTION_US,
        heartbeat_us: HEARTBEAT_US,
        snapshot_chunk_bytes: CHUNK_BYTES,
        seed: id.0,
    }
}

fn encode(commands: &[Vec<u8>]) -> Vec<u8> {
    commands.concat()
}

fn decode(data: &[u8]) -> Vec<Vec<u8>> {
    data.chunks(8).map(<[u8]>::to_vec).collect()
}

fn check(seed: u64, size: u64, steps: u32) {
    let mut world = World::new(seed, size);
    for _ in 0..steps {
        world.step();
    }
    let accepted = world.history.clone();
    world.settle();
    for (id, machine) in &world.machines {
        assert!(machine.applied.len() >= accepted.len(), "{id} lost an accepted entry");
        assert_eq!(machine.applied[..accepted.len()], accepted[..], "history of {id}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, ..ProptestConfig::default() })]

    #[test]
    fn accepted_entries_survive(seed: u64, size in prop::sample::select(vec![3u64, 5])) {
        check(seed, size, 8_000);
    }
}

#[test]
fn single_replica_commits() {
    let mut world = World::new(7, 1);
    world.settle();
    assert!(!world.history.is_empty());
}

#[test]
fn isolated_leader_steps_down() {
    let mut world = World::new(11, 3);
    world.settle();
    let leader = world.machines.values().find(|m| m.raft.role() == Role::Leader);
    let id = leader.expect("there is a leader").raft.id();
    let now_us = world.now_us + 3 * ELECTION_US;
    let machine = world.machines.get_mut(&id).expect("known");
    machine.raft.tick(now_us);
    assert_ne!(machine.raft.role(), Role::Leader);
    assert!(machine.raft.propose(now_us, vec![1]).is_err());
}

#[test]
fn two_voters_cannot_change_at_once() {
    let mut world = World::new(13, 3);
    world.settle();
    let now_us = world.now_us;
    let leader = world.machines.values_mut().find(|m| m.raft.role() == Role::Leader);
    let raft = &mut leader.expect("there is a leader").raft;
    let mut next = raft.membership().clone();
    next.members.insert(ReplicaId(90), member(90, true));
    next.members.insert(ReplicaId(91), member(91, true));
    assert!(raft.propose_membership(now_us, next).is_err());
}

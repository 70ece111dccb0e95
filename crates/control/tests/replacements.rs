//! Simulates weeks of restarts, lost disks and replacements of replicas, and checks at each moment at
//! which the deployment bears further losses that the others would form a quorum.

use std::collections::BTreeMap;

use consensus::{
    Entry, Envelope, Member, Membership, PersistentState, Raft, ReplicaId, Settings, Snapshot,
};
use control::membership::{MemberHealth, MembershipStep, is_removed_at_stop, next_step};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const US_PER_MS: u64 = 1_000;
const STEP_US: u64 = 10 * US_PER_MS;
const ELECTION_TIMEOUT_US: u64 = 300 * US_PER_MS;
/// Interval at which a replica that is no member asks to be admitted.
const JOIN_INTERVAL_US: u64 = 250 * US_PER_MS;
/// Time without contact after which a replica checks whether it is a member.
const REJOIN_CONTACT_AGE_US: u64 = 1_000 * US_PER_MS;
/// Time after the return of a replica, or the start of a successor, until another loss must be
/// borne.
const CATCH_UP_US: u64 = 4_000 * US_PER_MS;
const EVENTS: usize = 40;

struct Replica {
    raft: Raft,
    disk: PersistentState,
    address: String,
    /// Time at which the replica asks to be admitted if it is no member.
    next_join_us: u64,
}

/// Replicas that run, by id. Messages arrive in the next step.
struct Cluster {
    now_us: u64,
    running: BTreeMap<ReplicaId, Replica>,
    /// Replicas that are down and come back with their disks.
    down: BTreeMap<ReplicaId, Replica>,
    in_flight: Vec<(ReplicaId, Envelope)>,
    next_id: u64,
}

struct RaftHealth<'a>(&'a Raft, u64);

impl MemberHealth for RaftHealth<'_> {
    fn contact_age_us(&self, id: ReplicaId) -> u64 {
        self.0.member_contact_age_us(self.1, id).unwrap_or_default()
    }

    fn known_us(&self, id: ReplicaId) -> u64 {
        self.0.member_known_us(self.1, id).unwrap_or_default()
    }

    fn is_caught_up(&self, id: ReplicaId) -> bool {
        self.0.match_index(id) >= Some(self.0.commit_index())
    }
}

fn member(address: &str, is_voter: bool) -> Member {
    Member { address: address.to_owned(), data_centre: String::new(), is_voter }
}

impl Cluster {
    fn new(count: u64) -> Self {
        let members = (0..count).map(|id| (ReplicaId(id), member(&id.to_string(), true))).collect();
        let snapshot = Snapshot { membership: Membership { members }, ..Snapshot::default() };
        let mut cluster = Self {
            now_us: 10_000_000,
            running: BTreeMap::new(),
            down: BTreeMap::new(),
            in_flight: Vec::new(),
            next_id: count,
        };
        for id in 0..count {
            let disk = PersistentState { snapshot: snapshot.clone(), ..Default::default() };
            cluster.start(ReplicaId(id), disk, id.to_string());
        }
        cluster
    }

    fn start(&mut self, id: ReplicaId, disk: PersistentState, address: String) {
        let settings = Settings {
            id,
            election_timeout_us: ELECTION_TIMEOUT_US,
            heartbeat_interval_us: ELECTION_TIMEOUT_US / 6,
            snapshot_chunk_bytes: 1_024,
            seed: id.0,
        };
        let raft = Raft::new(settings, disk.clone(), self.now_us);
        let next_join_us = self.now_us + JOIN_INTERVAL_US;
        self.running.insert(id, Replica { raft, disk, address, next_join_us });
    }

    /// Starts an empty replica, at a new address unless one is given.
    fn start_empty(&mut self, address: Option<String>) {
        let id = ReplicaId(self.next_id);
        self.next_id += 1;
        let address = address.unwrap_or_else(|| id.0.to_string());
        self.start(id, PersistentState::default(), address);
    }

    fn leader(&self) -> Option<ReplicaId> {
        let mut leaders =
            self.running.iter().filter(|(_, r)| r.raft.is_leader_with_current_term_commit());
        leaders.next().map(|(id, _)| *id)
    }

    fn run_for(&mut self, duration_us: u64) {
        let end_us = self.now_us + duration_us;
        while self.now_us < end_us {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now_us += STEP_US;
        for (from, Envelope { to, message }) in std::mem::take(&mut self.in_flight) {
            if let Some(replica) = self.running.get_mut(&to) {
                replica.raft.step(self.now_us, from, message);
            }
        }
        for id in self.running.keys().copied().collect::<Vec<_>>() {
            if let Some(replica) = self.running.get_mut(&id) {
                replica.raft.tick(self.now_us);
            }
            self.process_ready(id);
        }
        self.maintain_membership();
        self.join();
    }

    fn process_ready(&mut self, id: ReplicaId) {
        let Some(replica) = self.running.get_mut(&id) else { return };
        let ready = replica.raft.take_ready();
        if let Some(hard_state) = ready.hard_state {
            replica.disk.hard_state = hard_state;
        }
        for entry in ready.entries {
            write(&mut replica.disk.entries, entry);
        }
        let last_index = replica.raft.last_index();
        replica.raft.mark_synced(self.now_us, last_index);
        self.in_flight.extend(ready.messages.into_iter().map(|message| (id, message)));
    }

    fn propose(&mut self, leader: ReplicaId, next: Membership) {
        let replica = self.running.get_mut(&leader).expect("the leader runs");
        // Fails while an earlier change is in progress.
        let _ = replica.raft.propose_membership(self.now_us, next);
        self.process_ready(leader);
    }

    fn maintain_membership(&mut self) {
        let Some(leader) = self.leader() else { return };
        let raft = &self.running[&leader].raft;
        let mut next = raft.membership().clone();
        match next_step(&next, &RaftHealth(raft, self.now_us)) {
            Some(MembershipStep::Promote(id)) => next.members[&id].is_voter = true,
            Some(MembershipStep::Remove(id)) => drop(next.members.shift_remove(&id)),
            None => return,
        }
        self.propose(leader, next);
    }

    /// Admits the replicas that are no members and ask for it now.
    fn join(&mut self) {
        let Some(leader) = self.leader() else { return };
        for id in self.running.keys().copied().collect::<Vec<_>>() {
            let now_us = self.now_us;
            let replica = self.running.get_mut(&id).expect("the replica runs");
            let contact_age_us = replica.raft.contact_age_us(now_us);
            let has_membership = !replica.raft.membership().members.is_empty();
            if now_us < replica.next_join_us
                || has_membership && contact_age_us < REJOIN_CONTACT_AGE_US
            {
                continue;
            }
            replica.next_join_us = now_us + JOIN_INTERVAL_US;
            let address = replica.address.clone();
            let mut next = self.running[&leader].raft.membership().clone();
            if !next.members.contains_key(&id) {
                next.members.insert(id, member(&address, false));
                self.propose(leader, next);
            }
        }
    }

    /// Stops a replica, which leaves the cluster if the others do not need its vote.
    fn stop(&mut self, id: ReplicaId) {
        if let Some(leader) = self.leader() {
            let mut next = self.running[&leader].raft.membership().clone();
            if is_removed_at_stop(&next, id) {
                next.members.shift_remove(&id);
                self.propose(leader, next);
                self.run_for(100 * US_PER_MS);
            }
        }
        self.running.remove(&id);
    }

    /// Returns the membership in force: that in the longest log.
    fn membership(&self) -> &Membership {
        let rafts = self.running.values().map(|replica| &replica.raft);
        let newest = rafts.max_by_key(|raft| raft.last_index()).expect("a replica runs");
        newest.membership()
    }

    /// Returns how many of the running replicas may be lost now so that the others are a quorum.
    fn losses_borne(&self) -> Option<usize> {
        let membership = self.membership();
        let live = membership.voters().filter(|id| self.running.contains_key(id)).count();
        live.checked_sub(membership.quorum())
    }
}

/// Writes an entry to a log that starts at index 1, in place of the entries from its index on.
fn write(entries: &mut Vec<Entry>, entry: Entry) {
    entries.truncate(entry.index as usize - 1);
    entries.push(entry);
}

/// Plays random events, of which each loses at most as many replicas as `count` replicas tolerate.
fn play(seed: u64, count: u64) {
    let tolerated = (count as usize - 1) / 2;
    let mut rng = StdRng::seed_from_u64(seed);
    let mut cluster = Cluster::new(count);
    cluster.run_for(CATCH_UP_US);
    for event in 0..EVENTS {
        let lost = rng.random_range(1..=tolerated);
        let mut ids: Vec<ReplicaId> = cluster.running.keys().copied().collect();
        let lost: Vec<ReplicaId> =
            (0..lost).map(|_| ids.swap_remove(rng.random_range(0..ids.len()))).collect();
        let kind = rng.random_range(0..5);
        let pause_us = rng.random_range(200 * US_PER_MS..3_000 * US_PER_MS);
        match kind {
            // Gone for good, with successors at other addresses.
            0 | 1 => {
                lost.iter().for_each(|id| drop(cluster.running.remove(id)));
                cluster.run_for(pause_us);
                lost.iter().for_each(|_| cluster.start_empty(None));
                cluster.run_for(CATCH_UP_US);
            }
            // Replaced as planned: the successor first. The next loss may follow at once.
            2 => {
                cluster.start_empty(None);
                cluster.run_for(CATCH_UP_US);
                cluster.stop(lost[0]);
            }
            // Lost disks.
            3 => {
                let addresses: Vec<String> = lost
                    .iter()
                    .filter_map(|id| cluster.running.remove(id))
                    .map(|replica| replica.address)
                    .collect();
                cluster.run_for(pause_us);
                addresses.into_iter().for_each(|address| cluster.start_empty(Some(address)));
                cluster.run_for(CATCH_UP_US);
            }
            // Down for up to 12 s, with their disks.
            _ => {
                for id in &lost {
                    let replica = cluster.running.remove(id).expect("the replica runs");
                    cluster.down.insert(*id, replica);
                }
                cluster.run_for(4 * pause_us);
                for (id, replica) in std::mem::take(&mut cluster.down) {
                    cluster.start(id, replica.disk, replica.address);
                }
                cluster.run_for(CATCH_UP_US);
            }
        }
        let borne = cluster.losses_borne();
        assert!(
            borne >= Some(tolerated),
            "event {event} of kind {kind}: {borne:?} losses are borne, not {tolerated}; {:?}",
            cluster.membership()
        );
        assert_eq!(cluster.running.len(), count as usize);
    }
}

/// Number of weeks that each test plays, unless the variable below is set.
const SEEDS: u64 = 6;
const SEEDS_VARIABLE: &str = "HEATHERWEIR_REPLACEMENT_SEEDS";

fn seeds() -> u64 {
    let text = std::env::var(SEEDS_VARIABLE).unwrap_or_default();
    text.parse().unwrap_or(SEEDS)
}

macro_rules! weeks {
    ($($name:ident: $count:literal;)*) => {
        $(
            /// Guards against voters that are gone and still count in the quorum.
            #[test]
            fn $name() {
                (0..seeds()).for_each(|seed| play(seed, $count));
            }
        )*
    };
}

weeks! {
    three_replicas_bear_one_loss_after_each_replacement: 3;
    four_replicas_bear_one_loss_after_each_replacement: 4;
    five_replicas_bear_two_losses_after_each_replacement: 5;
    six_replicas_bear_two_losses_after_each_replacement: 6;
    seven_replicas_bear_three_losses_after_each_replacement: 7;
}

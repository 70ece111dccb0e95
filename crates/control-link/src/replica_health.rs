//! Judgement of the replica that a node is attached to: whether another one should be looked for.

use std::time::Duration;

use rpc::ControlUpdate;
use tokio::time::Instant;

/// Time without an update after which a replica is suspected. A replica sends updates twice a
/// second.
const SUSPECT_SILENCE: Duration = Duration::from_millis(800);
/// Time without an update after which a stream counts as lost.
const MAX_SILENCE: Duration = Duration::from_millis(1_200);

/// Reason to look for another replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Suspicion {
    /// The replica has sent no update for some time.
    Silent,
    /// Changes may have been accepted that the replica does not have.
    Stale,
    /// The node has a newer configuration than the replica.
    BehindNode,
}

/// State of the replica that a node is attached to.
#[derive(Debug)]
pub(crate) struct ReplicaHealth {
    last_update: Instant,
    update_suspicion: Option<Suspicion>,
}

impl ReplicaHealth {
    pub(crate) fn new(now: Instant) -> Self {
        Self { last_update: now, update_suspicion: None }
    }

    /// Records an update. `own_version` is the version of the configuration in force at the node.
    pub(crate) fn record_update(&mut self, now: Instant, update: &ControlUpdate, own_version: u64) {
        self.last_update = now;
        self.update_suspicion = suspicion(update, own_version);
    }

    /// Returns the reason to look for another replica, if there is one.
    pub(crate) fn suspicion(&self, now: Instant) -> Option<Suspicion> {
        match now >= self.suspect_at() {
            true => Some(Suspicion::Silent),
            false => self.update_suspicion,
        }
    }

    /// Returns the time at which the replica is suspected unless it sends an update.
    pub(crate) fn suspect_at(&self) -> Instant {
        self.last_update + SUSPECT_SILENCE
    }

    /// Returns the time at which the stream counts as lost unless the replica sends an update.
    pub(crate) fn lost_at(&self) -> Instant {
        self.last_update + MAX_SILENCE
    }
}

/// Returns why a replica that sent this update should be left, if it should.
pub(crate) fn suspicion(update: &ControlUpdate, own_version: u64) -> Option<Suspicion> {
    // Replicas of older versions do not send the version that they have applied.
    let is_version_known = update.replica_configuration_version > 0;
    if update.content_age_ms > rpc::MAX_CONTENT_AGE_MS {
        Some(Suspicion::Stale)
    } else if is_version_known && update.replica_configuration_version < own_version {
        Some(Suspicion::BehindNode)
    } else {
        None
    }
}

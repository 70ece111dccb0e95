//! Proofs that nodes have the newest configuration.
//!
//! A node sends stamps of its own clock. A proof is a stamp that this replica received before it
//! began to read the version of the newest configuration, with that version: every configuration
//! that was acknowledged before the node took the stamp has at most that version. The order is the
//! proof, so [`NotedStamps::prove_by`] is the only way to make one: it begins the read itself, after
//! the stamps are noted.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use indexmap::IndexMap;
use rpc::{FreshnessProof, NodeReport};
use slog::{Logger, info, warn};
use tokio::sync::{Notify, watch};
use tokio::time::MissedTickBehavior;

/// Minimum time between the begins of two reads, whatever the number of nodes. Each read costs one
/// log entry on the leader.
const READ_INTERVAL: Duration = Duration::from_millis(250);

type StreamId = u64;

/// Newest stamp of the node at the other end of a stream.
#[derive(Debug)]
struct StampEntry {
    /// `None` if the last report asks for no proof.
    newest_us: Option<u64>,
    /// Stamp of the last proof; the node has no use for another proof of it.
    proven_us: Option<u64>,
    proofs: watch::Sender<Option<FreshnessProof>>,
}

#[derive(Debug, Default)]
struct Shared {
    entries: Mutex<IndexMap<StreamId, StampEntry>>,
    next_id: AtomicU64,
    new_stamps: Notify,
}

impl Shared {
    fn entries(&self) -> MutexGuard<'_, IndexMap<StreamId, StampEntry>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Newest stamps of the nodes that are attached to this replica.
#[derive(Debug, Clone, Default)]
pub struct StampRegistry {
    shared: Arc<Shared>,
}

impl StampRegistry {
    /// Creates a registry without streams.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a stream to a node. It is removed when the returned value is dropped.
    pub fn register(&self) -> StreamStamps {
        let id = self.shared.next_id.fetch_add(1, Ordering::Relaxed);
        let (sender, proofs) = watch::channel(None);
        let entry = StampEntry { newest_us: None, proven_us: None, proofs: sender };
        self.shared.entries().insert(id, entry);
        StreamStamps { shared: Arc::clone(&self.shared), id, proofs }
    }

    /// Notes the newest stamp of each node that asks for a proof and has none for this stamp.
    pub fn note(&self) -> NotedStamps {
        let entries = self.shared.entries();
        let unproven = entries.iter().filter(|(_, entry)| entry.newest_us != entry.proven_us);
        let stamps = unproven.filter_map(|(id, entry)| Some((*id, entry.newest_us?))).collect();
        drop(entries);
        NotedStamps { shared: Arc::clone(&self.shared), stamps }
    }

    /// Waits until a stamp has been received since the last call returned.
    async fn new_stamps(&self) {
        self.shared.new_stamps.notified().await;
    }
}

/// Stream to a node as the registry knows it.
#[derive(Debug)]
pub struct StreamStamps {
    shared: Arc<Shared>,
    id: StreamId,
    proofs: watch::Receiver<Option<FreshnessProof>>,
}

impl StreamStamps {
    /// Records the stamp of a report that was received on the stream.
    pub fn record(&self, report: &NodeReport) {
        let newest_us = report.wants_freshness_proof.then_some(report.created_boot_us);
        let mut entries = self.shared.entries();
        let Some(entry) = entries.get_mut(&self.id) else { return };
        let is_new = newest_us.is_some() && newest_us != entry.newest_us;
        entry.newest_us = newest_us;
        drop(entries);
        if is_new {
            self.shared.new_stamps.notify_one();
        }
    }

    /// Waits for the next proof. Skips a proof that was replaced by a newer one meanwhile.
    pub async fn next_proof(&mut self) -> FreshnessProof {
        while self.proofs.changed().await.is_ok() {
            if let Some(proof) = *self.proofs.borrow_and_update() {
                return proof;
            }
        }
        std::future::pending().await
    }
}

impl Drop for StreamStamps {
    fn drop(&mut self) {
        self.shared.entries().swap_remove(&self.id);
    }
}

/// Stamps that were received before a read that has not begun yet.
#[derive(Debug)]
#[must_use]
pub struct NotedStamps {
    shared: Arc<Shared>,
    stamps: Vec<(StreamId, u64)>,
}

impl NotedStamps {
    /// Returns whether no node needs a proof.
    pub fn is_empty(&self) -> bool {
        self.stamps.is_empty()
    }

    /// Begins a read of the version of the newest acknowledged configuration, and sends the noted
    /// stamps with it to the streams that are still open. Returns the version.
    ///
    /// # Errors
    ///
    /// Returns the error of the read. No proof is sent then, and the stamps stay unproven.
    pub async fn prove_by<F, E>(self, read: impl FnOnce() -> F) -> Result<u64, E>
    where
        F: Future<Output = Result<u64, E>>,
    {
        let version = read().await?;
        let mut entries = self.shared.entries();
        for (id, stamp_us) in self.stamps {
            let Some(entry) = entries.get_mut(&id) else { continue };
            entry.proven_us = Some(stamp_us);
            entry.proofs.send_replace(Some(FreshnessProof {
                report_created_boot_us: stamp_us,
                configuration_version: version,
            }));
        }
        Ok(version)
    }
}

/// Proves the stamps of all attached nodes by one read at a time, as long as there are new stamps.
/// Never returns.
pub async fn prove_new_stamps<F, E>(
    log: Logger,
    registry: StampRegistry,
    read_version: impl Fn() -> F,
) where
    F: Future<Output = Result<u64, E>>,
    E: std::fmt::Display,
{
    let mut ticks = tokio::time::interval(READ_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut has_failed = false;
    loop {
        if !has_failed {
            registry.new_stamps().await;
        }
        ticks.tick().await;
        let noted = registry.note();
        if noted.is_empty() {
            has_failed = false;
            continue;
        }
        let result = noted.prove_by(&read_version).await;
        match &result {
            Err(error) if !has_failed => {
                warn!(log, "freshness-proofs-interrupted"; "error" => %error);
            }
            Ok(version) if has_failed => {
                info!(log, "freshness-proofs-resumed"; "version" => version);
            }
            Ok(_) | Err(_) => {}
        }
        has_failed = result.is_err();
    }
}

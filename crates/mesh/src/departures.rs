//! Processes of the local upstream that have said that they stop.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use indexmap::IndexMap;
use rpc::DepartedUpstream;
use tokio::sync::watch;

use crate::protocol_adapter::{InstanceId, UpstreamReport};

/// Maximum number of departures that are kept. One process serves on a VM at a time.
const MAX_DEPARTURES: usize = 16;

/// Processes with one id that started up to a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Departure {
    /// Latest start of the processes, in Unix milliseconds; zero if they report none.
    last_started_unix_ms: u64,
    /// Whether control has committed the departure, so that it outlasts this node.
    is_committed: bool,
}

/// Whether the attached replica commits departures.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Recording {
    /// No update has arrived yet.
    Unknown,
    Supported,
    /// The replica is of an older version.
    Unsupported,
}

/// Departures of the processes of the local upstream, by process id.
#[derive(Debug)]
pub(crate) struct Departures {
    by_id: Mutex<IndexMap<InstanceId, Departure>>,
    recording: watch::Sender<Recording>,
    commits: watch::Sender<u64>,
}

impl Departures {
    pub(crate) fn new() -> Self {
        Self {
            by_id: Mutex::default(),
            recording: watch::channel(Recording::Unknown).0,
            commits: watch::channel(0).0,
        }
    }

    /// Records that the processes with an id that started up to a time stop.
    pub(crate) fn record(&self, id: &InstanceId, last_started_unix_ms: u64) {
        let mut by_id = self.lock();
        let known = by_id.get(id);
        if known.is_some_and(|known| known.last_started_unix_ms >= last_started_unix_ms) {
            return;
        }
        insert(&mut by_id, id, Departure { last_started_unix_ms, is_committed: false });
    }

    /// Records departures that control has committed, among them those of earlier processes of this
    /// node.
    pub(crate) fn record_committed(&self, departed: &[DepartedUpstream]) {
        if departed.is_empty() {
            return;
        }
        let mut by_id = self.lock();
        for departed in departed {
            let id = InstanceId::from(departed.instance_id.as_str());
            let last_started_unix_ms = departed.last_started_unix_ms;
            let known = by_id.get(&id).map(|known| known.last_started_unix_ms);
            if known.is_none_or(|known| known <= last_started_unix_ms) {
                insert(&mut by_id, &id, Departure { last_started_unix_ms, is_committed: true });
            }
        }
        drop(by_id);
        self.commits.send_modify(|count| *count += 1);
    }

    /// Records whether the attached replica commits departures.
    pub(crate) fn set_recorded(&self, is_recorded: bool) {
        let recording = if is_recorded { Recording::Supported } else { Recording::Unsupported };
        self.recording.send_if_modified(|known| std::mem::replace(known, recording) != recording);
    }

    /// Returns whether a report describes a process that has said that it stops.
    pub(crate) fn contains(&self, report: &UpstreamReport) -> bool {
        let started_unix_ms = report.started_unix_ms;
        self.lock().get(&report.instance_id).is_some_and(|departure| {
            started_unix_ms.is_none_or(|started| started <= departure.last_started_unix_ms)
        })
    }

    /// Returns the departures that are not known to be committed.
    pub(crate) fn uncommitted(&self) -> Vec<DepartedUpstream> {
        let by_id = self.lock();
        let uncommitted = by_id.iter().filter(|(_, departure)| !departure.is_committed);
        let departed = uncommitted.map(|(id, departure)| DepartedUpstream {
            instance_id: id.to_string(),
            last_started_unix_ms: departure.last_started_unix_ms,
        });
        departed.collect()
    }

    /// Waits until the departure of a process is committed, or for `unsupported_delay` while the
    /// attached replica commits none. Returns whether it is, or counts as committed.
    pub(crate) async fn wait_until_committed(
        &self,
        id: &InstanceId,
        timeout: Duration,
        unsupported_delay: Duration,
    ) -> bool {
        let mut commits = self.commits.subscribe();
        let mut recording = self.recording.subscribe();
        let is_committed = || self.lock().get(id).is_none_or(|departure| departure.is_committed);
        let committed = commits.wait_for(|_| is_committed());
        let unsupported = async {
            let _ = recording.wait_for(|recording| *recording == Recording::Unsupported).await;
            tokio::time::sleep(unsupported_delay).await;
        };
        tokio::select! {
            _ = committed => true,
            () = unsupported => true,
            () = tokio::time::sleep(timeout) => false,
        }
    }

    fn lock(&self) -> MutexGuard<'_, IndexMap<InstanceId, Departure>> {
        self.by_id.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Inserts a departure as the newest. Drops the oldest one if there are too many.
fn insert(by_id: &mut IndexMap<InstanceId, Departure>, id: &InstanceId, departure: Departure) {
    by_id.shift_remove(id);
    if by_id.len() >= MAX_DEPARTURES {
        by_id.shift_remove_index(0);
    }
    by_id.insert(id.clone(), departure);
}

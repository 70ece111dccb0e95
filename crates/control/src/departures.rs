//! Replicated record of the upstream processes that have said that they stop.
//!
//! An acknowledged notice to stop binds until the process has ended, so it has to outlast the node
//! and the replica that took it.

use indexmap::IndexMap;
use rpc::DepartedUpstream;
use serde::{Deserialize, Serialize};

/// Maximum number of VMs with departures, several times the number of VMs at the design size. The
/// VM whose first departure is the oldest is forgotten.
const MAX_VMS: usize = 4_096;
/// Maximum number of departures of one VM. One process serves on a VM at a time.
const MAX_DEPARTURES_PER_VM: usize = 8;

/// Processes of an upstream that never return to serving, as a command of the log: those with an id
/// that started up to a time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Departure {
    /// Name of the VM on which the process runs.
    pub vm: String,
    /// Id that the process gave itself.
    pub instance_id: String,
    /// Latest start of the processes, in Unix milliseconds; zero if they report none.
    pub last_started_unix_ms: u64,
}

impl Departure {
    /// Creates the departure of a process from a message of the node on its VM.
    pub fn new(vm: impl Into<String>, departed: DepartedUpstream) -> Self {
        Self {
            vm: vm.into(),
            instance_id: departed.instance_id,
            last_started_unix_ms: departed.last_started_unix_ms,
        }
    }
}

/// Departures by VM.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DepartureTable {
    by_vm: IndexMap<String, IndexMap<String, u64>>,
    revision: u64,
}

impl DepartureTable {
    /// Returns the revision, which increases with each departure that was not known.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Records a departure.
    pub fn record(&mut self, departure: Departure) {
        if self.contains(&departure) {
            return;
        }
        let Departure { vm, instance_id, last_started_unix_ms } = departure;
        if !self.by_vm.contains_key(&vm) && self.by_vm.len() >= MAX_VMS {
            self.by_vm.shift_remove_index(0);
        }
        let departures = self.by_vm.entry(vm).or_default();
        departures.shift_remove(&instance_id);
        if departures.len() >= MAX_DEPARTURES_PER_VM {
            departures.shift_remove_index(0);
        }
        departures.insert(instance_id, last_started_unix_ms);
        self.revision += 1;
    }

    /// Returns whether a departure is known.
    pub fn contains(&self, departure: &Departure) -> bool {
        let departures = self.by_vm.get(&departure.vm);
        let last = departures.and_then(|departures| departures.get(&departure.instance_id));
        last.is_some_and(|last| *last >= departure.last_started_unix_ms)
    }

    /// Returns the departures of a VM, the newest last.
    pub fn of_vm(&self, vm: &str) -> Vec<DepartedUpstream> {
        let departures = self.by_vm.get(vm).into_iter().flatten();
        let departed = departures.map(|(instance_id, last)| DepartedUpstream {
            instance_id: instance_id.clone(),
            last_started_unix_ms: *last,
        });
        departed.collect()
    }
}

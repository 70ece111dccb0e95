//! Profiles in force at the node. A lower version never replaces a higher one.

use std::sync::{Arc, Mutex, PoisonError};

use arc_swap::ArcSwap;
use indexmap::IndexMap;
use model::{Profile, ProfileName, parse_profile};
use rpc::{ProfileRecord, ProfileSet};
use slog::{Logger, error, info};

#[derive(Debug, Clone)]
struct InForce {
    version: u64,
    text: String,
    profile: Option<Arc<Profile>>,
}

#[derive(Debug, Clone, Default)]
struct Table {
    revision: u64,
    profiles: IndexMap<ProfileName, InForce>,
}

/// Profiles by name, readable from any thread.
#[derive(Debug)]
pub(crate) struct ProfileStore {
    log: Logger,
    table: ArcSwap<Table>,
    writer: Mutex<()>,
}

impl ProfileStore {
    pub(crate) fn new(log: Logger) -> Self {
        Self { log, table: ArcSwap::from_pointee(Table::default()), writer: Mutex::new(()) }
    }

    pub(crate) fn revision(&self) -> u64 {
        self.table.load().revision
    }

    pub(crate) fn get(&self, name: &ProfileName) -> Option<Arc<Profile>> {
        self.table.load().profiles.get(name)?.profile.clone()
    }

    /// Returns the profiles for a node that starts without control.
    pub(crate) fn to_set(&self) -> ProfileSet {
        let table = self.table.load();
        let records = table.profiles.iter().map(|(name, in_force)| ProfileRecord {
            name: name.to_string(),
            version: in_force.version,
            text: in_force.text.clone(),
            is_retired: in_force.profile.is_none(),
        });
        ProfileSet { revision: table.revision, profiles: records.collect() }
    }

    /// Puts newer versions in force. Returns whether the revision rose.
    pub(crate) fn apply(&self, set: ProfileSet) -> bool {
        let _writer = self.writer.lock().unwrap_or_else(PoisonError::into_inner);
        let mut table = Table::clone(&self.table.load());
        for record in set.profiles {
            self.apply_record(&mut table, record);
        }
        let is_newer = set.revision > table.revision;
        table.revision = table.revision.max(set.revision);
        self.table.store(Arc::new(table));
        is_newer
    }

    fn apply_record(&self, table: &mut Table, record: ProfileRecord) {
        let Ok(name) = ProfileName::new(&record.name) else {
            return;
        };
        let is_known = table.profiles.get(&name).is_some_and(|p| p.version >= record.version);
        if is_known {
            return;
        }
        let profile = match record.is_retired {
            true => None,
            false => match parse_profile(&record.text) {
                Ok(profile) => Some(Arc::new(profile)),
                Err(error) => {
                    error!(self.log, "profile-unreadable";
                        "profile" => %name, "version" => record.version, "error" => %error);
                    return;
                }
            },
        };
        info!(self.log, "profile-in-force"; "profile" => %name, "version" => record.version);
        let in_force = InForce { version: record.version, text: record.text, profile };
        table.profiles.insert(name, in_force);
    }
}

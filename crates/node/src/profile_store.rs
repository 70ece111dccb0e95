//! Active profiles of the node. A lower version never replaces a higher one.

use std::sync::{Arc, Mutex, PoisonError};

use arc_swap::ArcSwap;
use indexmap::IndexMap;
use model::{Profile, ProfileName, parse_profile};
use rpc::{ProfileRecord, ProfileSet};
use slog::{Logger, error, info};

#[derive(Debug, Clone)]
struct ActiveProfile {
    version: u64,
    text: String,
    /// `None` if the profile is retired.
    profile: Option<Arc<Profile>>,
}

#[derive(Debug, Clone, Default)]
struct ProfileTable {
    /// Highest revision of the sets that were applied.
    revision: u64,
    profiles: IndexMap<ProfileName, ActiveProfile>,
}

/// Profiles by name, readable from any thread.
#[derive(Debug)]
pub(crate) struct ProfileStore {
    log: Logger,
    table: ArcSwap<ProfileTable>,
    /// Serialises updates; readers don't take it.
    writer: Mutex<()>,
}

impl ProfileStore {
    pub(crate) fn new(log: Logger) -> Self {
        Self { log, table: ArcSwap::from_pointee(ProfileTable::default()), writer: Mutex::new(()) }
    }

    pub(crate) fn revision(&self) -> u64 {
        self.table.load().revision
    }

    pub(crate) fn get(&self, name: &ProfileName) -> Option<Arc<Profile>> {
        self.table.load().profiles.get(name)?.profile.clone()
    }

    /// Returns all profiles, for a node that starts while no control replica is reachable.
    pub(crate) fn to_profile_set(&self) -> ProfileSet {
        let table = self.table.load();
        let records = table.profiles.iter().map(|(name, active_profile)| ProfileRecord {
            name: name.to_string(),
            version: active_profile.version,
            text: active_profile.text.clone(),
            is_retired: active_profile.profile.is_none(),
        });
        ProfileSet { revision: table.revision, profiles: records.collect() }
    }

    /// Applies the newer versions of a set. Returns whether the set has a higher revision.
    pub(crate) fn apply(&self, set: ProfileSet) -> bool {
        let _writer = self.writer.lock().unwrap_or_else(PoisonError::into_inner);
        let mut table = ProfileTable::clone(&self.table.load());
        for record in set.profiles {
            self.apply_record(&mut table, record);
        }
        let is_newer = set.revision > table.revision;
        table.revision = table.revision.max(set.revision);
        self.table.store(Arc::new(table));
        is_newer
    }

    fn apply_record(&self, table: &mut ProfileTable, record: ProfileRecord) {
        let Ok(name) = ProfileName::new(&record.name) else {
            return;
        };
        let is_current = table.profiles.get(&name).is_some_and(|p| p.version >= record.version);
        if is_current {
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
        let active_profile = ActiveProfile { version: record.version, text: record.text, profile };
        table.profiles.insert(name, active_profile);
    }
}

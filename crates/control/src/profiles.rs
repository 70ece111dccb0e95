//! Replicated table of profiles.

use std::collections::VecDeque;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// Maximum number of stored versions per profile; the oldest is removed first.
const MAX_VERSIONS_PER_PROFILE: usize = 20;
/// Time for which the result of a change is stored under its id, in milliseconds.
const CHANGE_ID_RETENTION_MS: u64 = 7 * 24 * 3_600 * 1_000;
/// Maximum number of stored change ids; the oldest are removed first.
const MAX_CHANGE_IDS: usize = 20_000;

/// Change to one profile, as a command of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Idempotency key chosen by the operator: a resent change carries the same id.
    pub change_id: String,
    /// Name of the profile.
    pub name: String,
    /// Version that the change replaces; 0 for a new profile.
    pub base_version: u64,
    /// What the change does to the profile.
    pub action: ChangeAction,
    /// Wall clock of the leader that proposed the change, in Unix milliseconds.
    pub at_unix_ms: u64,
}

/// Effect of a change on its profile.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChangeAction {
    /// Defines or replaces the profile; holds its text.
    Define(String),
    /// Retires the profile: stores a new version with an empty text.
    Retire,
}

/// Result of a change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChangeResult {
    /// The change was applied.
    Applied {
        /// New version of the profile.
        version: u64,
        /// New revision of the table.
        revision: u64,
    },
    /// The base version is not the current one.
    Conflict {
        /// Current version.
        version: u64,
        /// Id of the change that created the current version; empty for an unknown profile.
        winner_change_id: String,
    },
    /// The profile to retire does not exist or is already retired.
    Unknown,
    /// The change id belongs to a change with other content.
    IdReused,
}

/// Stored version of a profile.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProfileVersion {
    /// Number of the version, from 1.
    pub version: u64,
    /// Revision of the table that introduced this version.
    pub revision: u64,
    /// Id of the change that created this version.
    pub change_id: String,
    /// Text of the profile; empty if this version retires it.
    pub text: String,
    /// Whether this version retires the profile.
    pub is_retired: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct AnsweredChange {
    name: String,
    base_version: u64,
    action: ChangeAction,
    result: ChangeResult,
    at_unix_ms: u64,
}

/// Profiles with their stored versions, and the results of recent changes.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProfileTable {
    revision: u64,
    histories: IndexMap<String, VecDeque<ProfileVersion>>,
    answered: IndexMap<String, AnsweredChange>,
}

impl ProfileTable {
    /// Returns the revision, which increases by 1 with every applied change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the current version of each profile by name, retired profiles included.
    pub fn current(&self) -> impl Iterator<Item = (&str, &ProfileVersion)> {
        self.histories.iter().filter_map(|(name, history)| Some((name.as_str(), history.back()?)))
    }

    /// Returns the stored versions of a profile, oldest first.
    pub fn history(&self, name: &str) -> impl Iterator<Item = &ProfileVersion> {
        self.histories.get(name).into_iter().flatten()
    }

    /// Returns the number of stored change ids.
    pub fn change_id_count(&self) -> usize {
        self.answered.len()
    }

    /// Applies a change. A resent change has no effect and returns the result of the first one.
    pub fn apply(&mut self, change: Change) -> ChangeResult {
        if let Some(stored) = self.answered.get(&change.change_id) {
            return stored.result_for(&change);
        }
        let result = self.apply_new(&change);
        self.store_result(change, result.clone());
        result
    }

    /// Checks a change against the current version of its profile and applies it.
    fn apply_new(&mut self, change: &Change) -> ChangeResult {
        let current = self.histories.get(&change.name).and_then(VecDeque::back);
        let version = current.map_or(0, |current| current.version);
        let is_defined = current.is_some_and(|current| !current.is_retired);
        if change.action == ChangeAction::Retire && !is_defined {
            return ChangeResult::Unknown;
        }
        if change.base_version != version {
            let winner_change_id =
                current.map(|current| current.change_id.clone()).unwrap_or_default();
            return ChangeResult::Conflict { version, winner_change_id };
        }
        self.push_version(change, version + 1)
    }

    fn push_version(&mut self, change: &Change, version: u64) -> ChangeResult {
        self.revision += 1;
        let (text, is_retired) = match &change.action {
            ChangeAction::Define(text) => (text.clone(), false),
            ChangeAction::Retire => (String::new(), true),
        };
        let history = self.histories.entry(change.name.clone()).or_default();
        history.push_back(ProfileVersion {
            version,
            revision: self.revision,
            change_id: change.change_id.clone(),
            text,
            is_retired,
        });
        if history.len() > MAX_VERSIONS_PER_PROFILE {
            history.pop_front();
        }
        ChangeResult::Applied { version, revision: self.revision }
    }

    /// Stores the result of a change and removes expired and surplus results.
    fn store_result(&mut self, change: Change, result: ChangeResult) {
        let cutoff_unix_ms = change.at_unix_ms.saturating_sub(CHANGE_ID_RETENTION_MS);
        let is_expired = |answered: &AnsweredChange| answered.at_unix_ms < cutoff_unix_ms;
        let expired = self.answered.values().take_while(|answered| is_expired(answered)).count();
        let surplus = (self.answered.len() + 1).saturating_sub(MAX_CHANGE_IDS);
        self.answered.drain(..expired.max(surplus));
        let answered = AnsweredChange {
            name: change.name,
            base_version: change.base_version,
            action: change.action,
            result,
            at_unix_ms: change.at_unix_ms,
        };
        self.answered.insert(change.change_id, answered);
    }
}

impl AnsweredChange {
    /// Returns the stored result if `change` has the content of the stored one, else `IdReused`.
    fn result_for(&self, change: &Change) -> ChangeResult {
        let is_same = self.name == change.name
            && self.base_version == change.base_version
            && self.action == change.action;
        if is_same { self.result.clone() } else { ChangeResult::IdReused }
    }
}

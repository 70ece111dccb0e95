//! The replicated table of profiles.

use std::collections::VecDeque;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// Versions of one profile that are kept.
const MAX_HISTORY: usize = 20;
/// Time for which the answer to a change is kept, in milliseconds.
const CHANGE_ID_WINDOW_MS: u64 = 7 * 24 * 3_600 * 1_000;
/// Most change ids that are kept.
const MAX_CHANGE_IDS: usize = 20_000;

/// A change to one profile.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Chosen by the operator; the same id is the same change.
    pub change_id: String,
    /// Profile.
    pub name: String,
    /// Version that the change is based on; zero for a new profile.
    pub base_version: u64,
    /// New content.
    pub action: ChangeAction,
    /// Leader's wall clock, in Unix milliseconds.
    pub at_unix_ms: u64,
}

/// What a change does.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChangeAction {
    /// Defines or replaces the profile by a text.
    Define(String),
    /// Takes the profile out of use.
    Retire,
}

/// Answer to a change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChangeResult {
    /// The change is in the log.
    Applied {
        /// New version of the profile.
        version: u64,
        /// Revision of the whole table.
        revision: u64,
    },
    /// The base version is not the current one.
    Conflict {
        /// Current version.
        version: u64,
        /// Change that made it.
        winner_change_id: String,
    },
    /// There is no such profile to retire.
    Unknown,
    /// The change id was used for another change.
    IdReused,
}

/// One version of a profile.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProfileVersion {
    /// Version, counted from one.
    pub version: u64,
    /// Revision of the table that brought it.
    pub revision: u64,
    /// Change that made it.
    pub change_id: String,
    /// Text; empty for a retired profile.
    pub text: String,
    /// Whether the profile is retired.
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

/// Table of profiles with their histories.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProfileTable {
    revision: u64,
    histories: IndexMap<String, VecDeque<ProfileVersion>>,
    answered: IndexMap<String, AnsweredChange>,
}

impl ProfileTable {
    /// Returns the revision, which grows with every applied change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the current version of each profile.
    pub fn current(&self) -> impl Iterator<Item = (&str, &ProfileVersion)> {
        self.histories.iter().filter_map(|(name, history)| Some((name.as_str(), history.back()?)))
    }

    /// Returns the kept versions of a profile, oldest first.
    pub fn history(&self, name: &str) -> impl Iterator<Item = &ProfileVersion> {
        self.histories.get(name).into_iter().flatten()
    }

    /// Returns the number of remembered change ids.
    pub fn answered_len(&self) -> usize {
        self.answered.len()
    }

    /// Applies a change, or repeats the first answer to it.
    pub fn apply(&mut self, change: Change) -> ChangeResult {
        if let Some(first) = self.answered.get(&change.change_id) {
            return first.repeat(&change);
        }
        let result = self.decide(&change);
        self.remember(change, result.clone());
        result
    }

    fn decide(&mut self, change: &Change) -> ChangeResult {
        let current = self.histories.get(&change.name).and_then(VecDeque::back);
        let version = current.map_or(0, |current| current.version);
        let is_live = current.is_some_and(|current| !current.is_retired);
        if change.action == ChangeAction::Retire && !is_live {
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
        if history.len() > MAX_HISTORY {
            history.pop_front();
        }
        ChangeResult::Applied { version, revision: self.revision }
    }

    fn remember(&mut self, change: Change, result: ChangeResult) {
        let horizon_ms = change.at_unix_ms.saturating_sub(CHANGE_ID_WINDOW_MS);
        let is_old = |answered: &AnsweredChange| answered.at_unix_ms < horizon_ms;
        let expired = self.answered.values().take_while(|answered| is_old(answered)).count();
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
    fn repeat(&self, change: &Change) -> ChangeResult {
        let is_same = self.name == change.name
            && self.base_version == change.base_version
            && self.action == change.action;
        if is_same { self.result.clone() } else { ChangeResult::IdReused }
    }
}

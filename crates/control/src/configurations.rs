//! The replicated configuration of routes: one document, replaced as a whole.

use std::sync::Arc;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Accepted documents whose digests are remembered, so that a resend is recognised. A day brings a
/// few hundred changes; two weeks of the target size (1,400 a day) fit.
const MAX_REMEMBERED: usize = 20_000;

type TextDigest = [u8; 32];

/// A new configuration and the version that it builds on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationChange {
    /// Version that the change is based on; zero for the first.
    pub base_version: u64,
    /// Version of the new configuration.
    pub version: u64,
    /// Document as the operator sent it.
    pub text: Arc<[u8]>,
}

/// Answer to a change of the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigurationResult {
    /// The document is in the log, now or since an earlier send.
    Accepted {
        /// Version in place.
        current_version: u64,
    },
    /// The document builds on another version than the current one.
    Conflict {
        /// Version in place.
        current_version: u64,
    },
}

/// The newest accepted configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationVersion {
    /// Version.
    pub version: u64,
    /// Document as the operator sent it.
    pub text: Arc<[u8]>,
}

/// The configuration in place and the digests of all that were accepted.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationTable {
    current: Option<ConfigurationVersion>,
    accepted: IndexMap<TextDigest, u64>,
}

impl ConfigurationTable {
    /// Returns the configuration in place.
    pub fn current(&self) -> Option<&ConfigurationVersion> {
        self.current.as_ref()
    }

    /// Returns the version in place, zero before the first.
    pub fn version(&self) -> u64 {
        self.current.as_ref().map_or(0, |current| current.version)
    }

    /// Applies a change. A document that was accepted before is accepted again without effect.
    pub fn apply(&mut self, change: ConfigurationChange) -> ConfigurationResult {
        let digest = digest(&change);
        let current_version = self.version();
        if self.accepted.contains_key(&digest) {
            return ConfigurationResult::Accepted { current_version };
        }
        if change.base_version != current_version || change.version <= current_version {
            return ConfigurationResult::Conflict { current_version };
        }
        if self.accepted.len() >= MAX_REMEMBERED {
            self.accepted.shift_remove_index(0);
        }
        self.accepted.insert(digest, change.version);
        self.current = Some(ConfigurationVersion { version: change.version, text: change.text });
        ConfigurationResult::Accepted { current_version: change.version }
    }
}

fn digest(change: &ConfigurationChange) -> TextDigest {
    let mut hasher = Sha256::new();
    hasher.update(change.base_version.to_be_bytes());
    hasher.update(change.version.to_be_bytes());
    hasher.update(&change.text);
    hasher.finalize().into()
}

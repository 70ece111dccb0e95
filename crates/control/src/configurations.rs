//! Replicated configuration of routes: a single document, replaced as a whole.

use std::sync::Arc;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Maximum number of stored digests of accepted changes, which identify a resent change: those of
/// two weeks at the design load of 1,400 changes per day. A few hundred per day are usual.
const MAX_ACCEPTED_DIGESTS: usize = 20_000;

type TextDigest = [u8; 32];

/// Change to the configuration, as a command of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationChange {
    /// Version that the change replaces; 0 for the first configuration.
    pub base_version: u64,
    /// Version of the new configuration; must be greater than the current one.
    pub version: u64,
    /// Document, byte for byte as the operator sent it.
    #[serde(with = "consensus::byte_codec")]
    pub text: Arc<[u8]>,
}

/// Result of a change to the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigurationResult {
    /// The change was applied, now or by an earlier copy of the same command.
    Accepted {
        /// Current version after the command.
        current_version: u64,
    },
    /// The base version is not the current one, or the new version is not greater than it.
    Conflict {
        /// Current version.
        current_version: u64,
    },
}

/// Accepted configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationVersion {
    /// Version that the operator gave the document.
    pub version: u64,
    /// Document, byte for byte as the operator sent it.
    #[serde(with = "consensus::byte_codec")]
    pub text: Arc<[u8]>,
}

/// Current configuration and the digests of the accepted changes.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationTable {
    current: Option<ConfigurationVersion>,
    accepted: IndexMap<TextDigest, u64>,
}

impl ConfigurationTable {
    /// Returns the current configuration, `None` before the first is accepted.
    pub fn current(&self) -> Option<&ConfigurationVersion> {
        self.current.as_ref()
    }

    /// Returns the current version, 0 before the first configuration is accepted.
    pub fn version(&self) -> u64 {
        self.current.as_ref().map_or(0, |current| current.version)
    }

    /// Applies a change. A resent change that was accepted before is accepted again without effect.
    pub fn apply(&mut self, change: ConfigurationChange) -> ConfigurationResult {
        let digest = digest(&change);
        let current_version = self.version();
        if self.accepted.contains_key(&digest) {
            return ConfigurationResult::Accepted { current_version };
        }
        if change.base_version != current_version || change.version <= current_version {
            return ConfigurationResult::Conflict { current_version };
        }
        if self.accepted.len() >= MAX_ACCEPTED_DIGESTS {
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

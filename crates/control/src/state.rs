//! The replicated state machine.

use std::sync::Arc;

use quick_error::quick_error;
use serde::{Deserialize, Serialize};

use crate::claims::{Claim, ClaimKey, ClaimLedger, ClaimResult, Settle};
use crate::configurations::{ConfigurationChange, ConfigurationResult, ConfigurationTable};
use crate::profiles::{Change, ChangeResult, ProfileTable};

/// Version of the stored form.
const FORMAT_VERSION: u32 = 2;

quick_error! {
    /// Stored state or a command that cannot be read.
    #[derive(Debug)]
    pub enum StateError {
        /// The bytes are not a state or command.
        Decode(source: postcard::Error) {
            display("state cannot be read: {}", source)
            from()
        }
        /// The state is of another version.
        Version(version: u32) {
            display("state version {} is not supported", version)
        }
    }
}

/// A command of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Changes a profile.
    Change(Change),
    /// Claims work.
    Claim(Claim),
    /// Ends a claim.
    Settle(Settle),
    /// Replaces the configuration.
    Configure(ConfigurationChange),
    /// Changes nothing; its commit proves that no newer state was accepted elsewhere.
    Barrier,
}

impl Command {
    /// Encodes the command for the log.
    ///
    /// # Errors
    ///
    /// Returns an error if the encoder fails.
    pub fn encode(&self) -> Result<Vec<u8>, StateError> {
        Ok(postcard::to_stdvec(self)?)
    }
}

/// Answer to an applied command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Applied {
    /// Answer to a change.
    Change(ChangeResult),
    /// Answer to a claim.
    Claim(ClaimResult),
    /// Whether the holder had the claim.
    Settle(bool),
    /// Answer to a change of the configuration.
    Configure(ConfigurationResult),
    /// The configuration when the barrier was committed.
    Barrier(Arc<ConfigurationTable>),
}

/// Profiles, claims and the configuration.
#[derive(Debug, Default)]
pub struct State {
    profiles: Arc<ProfileTable>,
    claims: ClaimLedger,
    configurations: Arc<ConfigurationTable>,
}

#[derive(Serialize, Deserialize)]
struct StoredState {
    version: u32,
    profiles: Arc<ProfileTable>,
    claims: ClaimLedger,
    configurations: Arc<ConfigurationTable>,
}

impl State {
    /// Reads a snapshot; no bytes are the empty state.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not a state of this version.
    pub fn from_snapshot(data: &[u8]) -> Result<Self, StateError> {
        if data.is_empty() {
            return Ok(Self::default());
        }
        let stored: StoredState = postcard::from_bytes(data)?;
        if stored.version != FORMAT_VERSION {
            return Err(StateError::Version(stored.version));
        }
        Ok(Self {
            profiles: stored.profiles,
            claims: stored.claims,
            configurations: stored.configurations,
        })
    }

    /// Encodes a snapshot.
    ///
    /// # Errors
    ///
    /// Returns an error if the encoder fails.
    pub fn to_snapshot(&self) -> Result<Vec<u8>, StateError> {
        let stored = StoredState {
            version: FORMAT_VERSION,
            profiles: Arc::clone(&self.profiles),
            claims: self.claims.clone(),
            configurations: Arc::clone(&self.configurations),
        };
        Ok(postcard::to_stdvec(&stored)?)
    }

    /// Applies a command of the log.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not a command.
    pub fn apply(&mut self, command: &[u8]) -> Result<Applied, StateError> {
        let applied = match postcard::from_bytes(command)? {
            Command::Change(change) => {
                Applied::Change(Arc::make_mut(&mut self.profiles).apply(change))
            }
            Command::Claim(claim) => Applied::Claim(self.claims.claim(claim)),
            Command::Settle(settle) => Applied::Settle(self.claims.settle(settle)),
            Command::Configure(change) => {
                Applied::Configure(Arc::make_mut(&mut self.configurations).apply(change))
            }
            Command::Barrier => Applied::Barrier(Arc::clone(&self.configurations)),
        };
        Ok(applied)
    }

    /// Returns what is certain of a claim without a quorum.
    ///
    /// `uncommitted` are the encoded commands that follow the applied ones in the log. Any of them may
    /// have been committed elsewhere, so work that they claim for another holder may have run.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not a command.
    pub fn look_up<'a>(
        &self,
        uncommitted: impl IntoIterator<Item = &'a [u8]>,
        key: &ClaimKey,
        holder: u64,
    ) -> Result<Option<ClaimResult>, StateError> {
        if let Some(result) = self.claims.lookup(key, holder) {
            return Ok(Some(result));
        }
        let mut other_holder = None;
        for command in uncommitted {
            match postcard::from_bytes(command)? {
                Command::Claim(claim) if claim.key == *key && claim.holder != holder => {
                    other_holder = Some(claim.holder);
                }
                Command::Settle(settle)
                    if settle.key == *key
                        && settle.answer.is_none()
                        && Some(settle.holder) == other_holder =>
                {
                    other_holder = None;
                }
                _ => {}
            }
        }
        Ok(other_holder.map(|_| ClaimResult::Unknown))
    }

    /// Returns the profiles.
    pub fn profiles(&self) -> &Arc<ProfileTable> {
        &self.profiles
    }

    /// Returns the configurations.
    pub fn configurations(&self) -> &Arc<ConfigurationTable> {
        &self.configurations
    }

    /// Returns the claims.
    pub fn claims(&self) -> &ClaimLedger {
        &self.claims
    }
}

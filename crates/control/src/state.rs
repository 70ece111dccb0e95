//! Replicated state machine, which applies the commands of the log.

use std::collections::BTreeMap;
use std::sync::Arc;

use quick_error::quick_error;
use serde::{Deserialize, Serialize};

use crate::claims::{Claim, ClaimKey, ClaimResult, ClaimTable, Settle};
use crate::configurations::{ConfigurationChange, ConfigurationResult, ConfigurationTable};
use crate::departures::{Departure, DepartureTable};
use crate::profiles::{Change, ChangeResult, ProfileTable};

/// Version of the snapshot format.
const FORMAT_VERSION: u32 = 4;
/// Version of the snapshot format without departures.
const FORMAT_WITHOUT_DEPARTURES: u32 = 3;
/// Version of the snapshot format without quota ceilings.
const FORMAT_WITHOUT_CEILINGS: u32 = 2;

/// Upper bounds of the shares of quotas that are lent, in millionths by client account. Accounts of
/// which nothing is lent are absent.
pub type QuotaCeilings = BTreeMap<String, u32>;

quick_error! {
    /// Failure to encode or decode a snapshot or a command.
    #[derive(Debug)]
    pub enum StateError {
        /// The bytes could not be encoded or decoded.
        Codec(source: postcard::Error) {
            display("failed to encode or decode replicated state: {}", source)
            from()
        }
        /// The snapshot has an unsupported format version.
        Version(version: u32) {
            display("unsupported snapshot version {}", version)
        }
    }
}

/// Command in the replicated log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Defines or retires a profile.
    Change(Change),
    /// Claims the execution of a non-idempotent request.
    Claim(Claim),
    /// Finishes or releases a claim.
    Settle(Settle),
    /// Replaces the configuration of routes.
    Configure(ConfigurationChange),
    /// Leaves the state unchanged. Its commit proves that the leader is current, so the state read
    /// with it is the newest committed one.
    Barrier,
    /// Sets the ceilings of client accounts; zero removes one. Its commit also proves that the leader
    /// is current.
    LimitQuota(QuotaCeilings),
    /// Records that processes of an upstream never return to serving.
    Depart(Departure),
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

/// Result of an applied command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Applied {
    /// Result of a change to a profile.
    Change(ChangeResult),
    /// Result of a claim.
    Claim(ClaimResult),
    /// Whether the claim belongs to the holder and is now, or was already, in the requested state.
    Settle(bool),
    /// Result of a change to the configuration.
    Configure(ConfigurationResult),
    /// Configurations at the time when the barrier was applied.
    Barrier(Arc<ConfigurationTable>),
    /// Ceilings of quotas after the change.
    LimitQuota(Arc<QuotaCeilings>),
    /// The departure is recorded, now or by an earlier command.
    Depart,
}

/// Replicated state: profiles, claims, the configuration and departures.
#[derive(Debug, Default)]
pub struct State {
    profiles: Arc<ProfileTable>,
    claims: ClaimTable,
    configurations: Arc<ConfigurationTable>,
    quota_ceilings: Arc<QuotaCeilings>,
    departures: Arc<DepartureTable>,
}

#[derive(Serialize, Deserialize)]
struct StoredState {
    version: u32,
    profiles: Arc<ProfileTable>,
    claims: ClaimTable,
    configurations: Arc<ConfigurationTable>,
    // The quota ceilings follow from version 3 on, and the departures in the current version.
}

impl State {
    /// Decodes a snapshot. Empty input yields the empty state.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not a snapshot of the supported version.
    pub fn from_snapshot(data: &[u8]) -> Result<Self, StateError> {
        if data.is_empty() {
            return Ok(Self::default());
        }
        let (stored, rest): (StoredState, _) = postcard::take_from_bytes(data)?;
        let (quota_ceilings, departures) = match stored.version {
            FORMAT_VERSION => postcard::from_bytes(rest)?,
            FORMAT_WITHOUT_DEPARTURES => (postcard::from_bytes(rest)?, DepartureTable::default()),
            FORMAT_WITHOUT_CEILINGS => (QuotaCeilings::new(), DepartureTable::default()),
            version => return Err(StateError::Version(version)),
        };
        Ok(Self {
            profiles: stored.profiles,
            claims: stored.claims,
            configurations: stored.configurations,
            quota_ceilings: Arc::new(quota_ceilings),
            departures: Arc::new(departures),
        })
    }

    /// Encodes the state as a snapshot.
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
        let mut data = postcard::to_stdvec(&stored)?;
        data.extend(postcard::to_stdvec(&(&*self.quota_ceilings, &*self.departures))?);
        Ok(data)
    }

    /// Decodes and applies a committed command.
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
            Command::LimitQuota(changed) => {
                let ceilings = Arc::make_mut(&mut self.quota_ceilings);
                ceilings.extend(changed);
                ceilings.retain(|_, ceiling| *ceiling > 0);
                Applied::LimitQuota(Arc::clone(&self.quota_ceilings))
            }
            Command::Depart(departure) => {
                Arc::make_mut(&mut self.departures).record(departure);
                Applied::Depart
            }
        };
        Ok(applied)
    }

    /// Returns the result of a claim as far as this replica can prove it without a quorum, `None`
    /// if it stores no claim on the key.
    ///
    /// `uncommitted` holds the encoded commands after the last applied one in the log. Other
    /// replicas may have committed any of them, so a request that they claim for another holder may
    /// have been executed.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not a command.
    pub fn known_claim_result<'a>(
        &self,
        uncommitted: impl IntoIterator<Item = &'a [u8]>,
        key: &ClaimKey,
        holder: u64,
    ) -> Result<Option<ClaimResult>, StateError> {
        if let Some(result) = self.claims.known_result(key, holder) {
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

    /// Returns the table of profiles.
    pub fn profiles(&self) -> &Arc<ProfileTable> {
        &self.profiles
    }

    /// Returns the current configuration with the digests of the accepted changes.
    pub fn configurations(&self) -> &Arc<ConfigurationTable> {
        &self.configurations
    }

    /// Returns the departures of upstream processes.
    pub fn departures(&self) -> &Arc<DepartureTable> {
        &self.departures
    }

    /// Returns the table of claims.
    pub fn claims(&self) -> &ClaimTable {
        &self.claims
    }
}

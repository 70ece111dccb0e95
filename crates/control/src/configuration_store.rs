//! Reads and writes of the configuration, from any replica.
//!
//! A call goes to the leader. Both kinds end with a committed entry, so a leader that was deposed
//! without knowing it answers neither.

use std::sync::Arc;
use std::time::Duration;

use quick_error::quick_error;
use rpc::configurations_client::ConfigurationsClient;
use rpc::{PutConfigurationRequest, PutOutcome, ReadConfigurationRequest};
use slog::{info, warn};
use tonic::transport::Channel;

use crate::configurations::{
    ConfigurationChange, ConfigurationResult, ConfigurationTable, ConfigurationVersion,
};
use crate::replica::ProposalError;
use crate::service::Shared;
use crate::state::{Applied, Command};

/// Longest wait for a commit: several election timeouts, and below the time after which operators
/// ask another replica.
const COMMIT_TIMEOUT: Duration = Duration::from_millis(900);
/// Pause before a call is tried again while a leader is being elected.
const LEADER_POLL: Duration = Duration::from_millis(50);
/// Wait for one answer of the leader before it is looked up again.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(700);

quick_error! {
    /// A call that no quorum confirmed. A change may yet be accepted.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum StoreError {
        /// No leader confirmed the call in time.
        NoQuorum {
            display("no quorum confirmed the call in time")
        }
    }
}

/// Answer to a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PutAnswer {
    /// The configuration was accepted, now or by an earlier send.
    Accepted {
        /// Version in place.
        current_version: u64,
    },
    /// Another version is in place.
    Conflict {
        /// Version in place.
        current_version: u64,
    },
}

/// The replicated configuration.
#[derive(Clone)]
pub struct ConfigurationStore {
    shared: Shared,
}

impl ConfigurationStore {
    pub(crate) fn new(shared: Shared) -> Self {
        Self { shared }
    }

    /// Puts a configuration in place of its base version.
    ///
    /// # Errors
    ///
    /// Returns an error if no quorum confirmed the change in time; it may yet be accepted.
    pub async fn put(&self, change: ConfigurationChange) -> Result<PutAnswer, StoreError> {
        let attempts = async {
            loop {
                let answer = match self.shared.leader_channel() {
                    Some(channel) => self.put_at(channel, &change).await,
                    None => self.put_here(change.clone()).await,
                };
                match answer {
                    Ok(answer) => return answer,
                    Err(StoreError::NoQuorum) => tokio::time::sleep(LEADER_POLL).await,
                }
            }
        };
        let answer = tokio::time::timeout(COMMIT_TIMEOUT, attempts).await;
        let answer = answer.map_err(|_| StoreError::NoQuorum);
        info!(self.shared.log, "configuration-put"; "version" => change.version,
            "base_version" => change.base_version, "text_bytes" => change.text.len(),
            "outcome" => ?answer);
        answer
    }

    /// Returns the newest accepted configuration, with proof that it is the newest.
    ///
    /// # Errors
    ///
    /// Returns an error if no quorum confirmed it in time.
    pub async fn read(&self) -> Result<Option<ConfigurationVersion>, StoreError> {
        let attempts = async {
            loop {
                let answer = match self.shared.leader_channel() {
                    Some(channel) => self.read_at(channel).await,
                    None => self.read_here().await.map(|table| table.current().cloned()),
                };
                match answer {
                    Ok(answer) => return answer,
                    Err(StoreError::NoQuorum) => tokio::time::sleep(LEADER_POLL).await,
                }
            }
        };
        let answer = tokio::time::timeout(COMMIT_TIMEOUT, attempts).await;
        if answer.is_err() {
            warn!(self.shared.log, "configuration-read-unconfirmed");
        }
        answer.map_err(|_| StoreError::NoQuorum)
    }

    pub(crate) async fn put_here(
        &self,
        change: ConfigurationChange,
    ) -> Result<PutAnswer, StoreError> {
        match self.propose(Command::Configure(change)).await? {
            Applied::Configure(ConfigurationResult::Accepted { current_version }) => {
                Ok(PutAnswer::Accepted { current_version })
            }
            Applied::Configure(ConfigurationResult::Conflict { current_version }) => {
                Ok(PutAnswer::Conflict { current_version })
            }
            _ => Err(StoreError::NoQuorum),
        }
    }

    pub(crate) async fn read_here(&self) -> Result<Arc<ConfigurationTable>, StoreError> {
        match self.propose(Command::Barrier).await? {
            Applied::Barrier(table) => Ok(table),
            _ => Err(StoreError::NoQuorum),
        }
    }

    async fn propose(&self, command: Command) -> Result<Applied, StoreError> {
        let proposal = self.shared.replica.propose(command).await;
        proposal.map_err(|error: ProposalError| {
            slog::debug!(self.shared.log, "proposal-failed"; "error" => %error);
            StoreError::NoQuorum
        })
    }

    async fn put_at(
        &self,
        channel: Channel,
        change: &ConfigurationChange,
    ) -> Result<PutAnswer, StoreError> {
        let request = PutConfigurationRequest {
            base_version: change.base_version,
            version: change.version,
            text: bytes::Bytes::copy_from_slice(&change.text),
        };
        let mut client = ConfigurationsClient::new(channel).max_encoding_message_size(usize::MAX);
        let reply = self.call_leader(client.put(request)).await?;
        let current_version = reply.version;
        match reply.outcome() {
            PutOutcome::Accepted => Ok(PutAnswer::Accepted { current_version }),
            PutOutcome::Conflict => Ok(PutAnswer::Conflict { current_version }),
            PutOutcome::NoQuorum | PutOutcome::Unspecified => Err(StoreError::NoQuorum),
        }
    }

    async fn read_at(&self, channel: Channel) -> Result<Option<ConfigurationVersion>, StoreError> {
        let mut client = ConfigurationsClient::new(channel).max_decoding_message_size(usize::MAX);
        let reply = self.call_leader(client.read(ReadConfigurationRequest {})).await?;
        if !reply.is_confirmed {
            return Err(StoreError::NoQuorum);
        }
        Ok(reply.configuration.map(|record| ConfigurationVersion {
            version: record.version,
            text: record.text.as_ref().into(),
        }))
    }

    async fn call_leader<T>(
        &self,
        call: impl Future<Output = Result<tonic::Response<T>, tonic::Status>>,
    ) -> Result<T, StoreError> {
        match tokio::time::timeout(FORWARD_TIMEOUT, call).await {
            Ok(Ok(reply)) => Ok(reply.into_inner()),
            _ => {
                self.shared.reset_leader_channel();
                Err(StoreError::NoQuorum)
            }
        }
    }
}

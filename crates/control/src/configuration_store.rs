//! Linearizable reads and writes of the configuration, from any replica.
//!
//! Calls are forwarded to the leader, which commits a log entry for reads as well as for writes. A
//! deposed leader that has not yet noticed its loss of leadership can therefore complete neither.

use std::sync::Arc;
use std::time::Duration;

use quick_error::quick_error;
use rpc::configurations_client::ConfigurationsClient;
use rpc::{PutConfigurationRequest, PutOutcome, ReadConfigurationReply, ReadConfigurationRequest};
use slog::{info, warn};
use tonic::transport::Channel;

use crate::configurations::{
    ConfigurationChange, ConfigurationResult, ConfigurationTable, ConfigurationVersion,
};
use crate::replica::ProposalError;
use crate::service::ServiceContext;
use crate::state::{Applied, Command};

/// Maximum time for a call, retries included: several of the platform's election timeouts (300 ms),
/// and shorter than the time after which operators try another replica.
const COMMIT_TIMEOUT: Duration = Duration::from_millis(900);
/// Delay before a failed call is retried, for example during an election.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Timeout of one forwarded call, after which the leader is looked up again.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(700);

quick_error! {
    /// Failure of a read or write. A failed write may still be committed later.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum StoreError {
        /// No quorum confirmed the call before the timeout.
        NoQuorum {
            display("no quorum confirmed the call in time")
        }
    }
}

/// Result of a change to the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PutAnswer {
    /// The configuration was accepted, now or when the change was first sent.
    Accepted {
        /// Current version after the change.
        current_version: u64,
    },
    /// The base version is not the current one, or the new version is not greater than it.
    Conflict {
        /// Current version.
        current_version: u64,
    },
}

/// Access to the replicated configuration.
#[derive(Clone)]
pub struct ConfigurationStore {
    context: ServiceContext,
}

impl ConfigurationStore {
    pub(crate) fn new(context: ServiceContext) -> Self {
        Self { context }
    }

    /// Replaces the configuration if its current version is the base version of the change.
    ///
    /// # Errors
    ///
    /// Returns an error if no quorum confirmed the change in time; it may still be committed later.
    pub async fn put(&self, change: ConfigurationChange) -> Result<PutAnswer, StoreError> {
        let attempts = async {
            loop {
                let answer = match self.context.leader_channel() {
                    Some(channel) => self.forward_put(channel, &change).await,
                    None => self.propose_put(change.clone()).await,
                };
                match answer {
                    Ok(answer) => return answer,
                    Err(StoreError::NoQuorum) => tokio::time::sleep(RETRY_DELAY).await,
                }
            }
        };
        let answer = tokio::time::timeout(COMMIT_TIMEOUT, attempts).await;
        let answer = answer.map_err(|_| StoreError::NoQuorum);
        info!(self.context.log, "configuration-put"; "version" => change.version,
            "base_version" => change.base_version, "text_bytes" => change.text.len(),
            "outcome" => ?answer);
        answer
    }

    /// Returns the newest accepted configuration, `None` before the first.
    ///
    /// # Errors
    ///
    /// Returns an error if no quorum confirmed the read in time.
    pub async fn read(&self) -> Result<Option<ConfigurationVersion>, StoreError> {
        let attempts = async {
            loop {
                let answer = match self.context.leader_channel() {
                    Some(channel) => self.forward_read(channel).await,
                    None => self.propose_read().await.map(|table| table.current().cloned()),
                };
                match answer {
                    Ok(answer) => return answer,
                    Err(StoreError::NoQuorum) => tokio::time::sleep(RETRY_DELAY).await,
                }
            }
        };
        let answer = tokio::time::timeout(COMMIT_TIMEOUT, attempts).await;
        if answer.is_err() {
            warn!(self.context.log, "configuration-read-unconfirmed");
        }
        answer.map_err(|_| StoreError::NoQuorum)
    }

    /// Returns the version of the newest accepted configuration, zero before the first. Makes one
    /// attempt, since its caller tries again with newer stamps.
    ///
    /// # Errors
    ///
    /// Returns an error if no quorum confirmed the read in time.
    pub(crate) async fn read_version(&self) -> Result<u64, StoreError> {
        let read = async {
            match self.context.leader_channel() {
                Some(channel) => self.forward_read_version(channel).await,
                None => self.propose_read().await.map(|table| table.version()),
            }
        };
        tokio::time::timeout(FORWARD_TIMEOUT, read).await.unwrap_or(Err(StoreError::NoQuorum))
    }

    /// Proposes a change to this replica, which must be the leader.
    pub(crate) async fn propose_put(
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

    /// Reads the configuration through this replica, which must be the leader, by a committed
    /// barrier.
    pub(crate) async fn propose_read(&self) -> Result<Arc<ConfigurationTable>, StoreError> {
        match self.propose(Command::Barrier).await? {
            Applied::Barrier(table) => Ok(table),
            _ => Err(StoreError::NoQuorum),
        }
    }

    async fn propose(&self, command: Command) -> Result<Applied, StoreError> {
        let proposal = self.context.replica.propose(command).await;
        proposal.map_err(|error: ProposalError| {
            slog::debug!(self.context.log, "proposal-failed"; "error" => %error);
            StoreError::NoQuorum
        })
    }

    async fn forward_put(
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

    async fn forward_read(
        &self,
        channel: Channel,
    ) -> Result<Option<ConfigurationVersion>, StoreError> {
        let request = ReadConfigurationRequest { is_version_only: false };
        let reply = self.forward_confirmed_read(channel, request).await?;
        Ok(reply.configuration.map(|record| ConfigurationVersion {
            version: record.version,
            text: record.text.as_ref().into(),
        }))
    }

    async fn forward_read_version(&self, channel: Channel) -> Result<u64, StoreError> {
        let request = ReadConfigurationRequest { is_version_only: true };
        let reply = self.forward_confirmed_read(channel, request).await?;
        // Leaders of older versions send the whole configuration and no version.
        Ok(reply.configuration.map_or(reply.version, |record| record.version))
    }

    async fn forward_confirmed_read(
        &self,
        channel: Channel,
        request: ReadConfigurationRequest,
    ) -> Result<ReadConfigurationReply, StoreError> {
        let mut client = ConfigurationsClient::new(channel).max_decoding_message_size(usize::MAX);
        let reply = self.call_leader(client.read(request)).await?;
        if reply.is_confirmed { Ok(reply) } else { Err(StoreError::NoQuorum) }
    }

    async fn call_leader<T>(
        &self,
        call: impl Future<Output = Result<tonic::Response<T>, tonic::Status>>,
    ) -> Result<T, StoreError> {
        match tokio::time::timeout(FORWARD_TIMEOUT, call).await {
            Ok(Ok(reply)) => Ok(reply.into_inner()),
            _ => {
                self.context.reset_leader_channel();
                Err(StoreError::NoQuorum)
            }
        }
    }
}

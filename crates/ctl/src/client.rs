//! Blocking client of the operators' interface.

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use rpc::profiles_client::ProfilesClient;
use rpc::{
    ChangeOutcome, ChangeReply, ChangeRequest, HistoryRequest, ListRequest, ProfileRecord,
    ProfileSet, StatusReply, StatusRequest,
};
use sha2::{Digest, Sha256};
use tokio::runtime::Runtime;
use tonic::Status;
use tonic::transport::{Channel, Endpoint};

use crate::error::CtlError;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const READ_TIMEOUT: Duration = Duration::from_secs(5);
/// Longer than the time that control waits for a change to be in force.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(12);
/// Time for which a change that no quorum confirmed is sent again: a few elections.
const RESEND_LIMIT: Duration = Duration::from_secs(4);
const RESEND_PAUSE: Duration = Duration::from_millis(100);

/// Client that asks each replica in turn until one answers.
pub struct OperatorClient {
    runtime: Runtime,
    controls: Vec<SocketAddr>,
    token: String,
}

/// Derives the id of a change from its content and base version.
///
/// The same change sent again has the same id, so it is applied once.
pub fn change_id(name: &str, base_version: u64, text: Option<&str>) -> String {
    let mut digest = Sha256::new();
    digest.update(name);
    digest.update([0]);
    digest.update(base_version.to_be_bytes());
    match text {
        Some(text) => digest.update(text),
        None => digest.update([0, b'r']),
    }
    digest.finalize().iter().take(16).map(|byte| format!("{byte:02x}")).collect()
}

impl OperatorClient {
    /// Makes a client. Only changes need a token.
    ///
    /// # Errors
    ///
    /// Returns an error if the runtime cannot be started.
    pub fn new(
        controls: impl Into<Vec<SocketAddr>>,
        token: impl Into<String>,
    ) -> Result<Self, CtlError> {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        Ok(Self { runtime, controls: controls.into(), token: token.into() })
    }

    /// Defines or changes a profile by its text. Returns the new version.
    ///
    /// # Errors
    ///
    /// Returns an error unless the change is in force everywhere.
    pub fn apply(&self, name: &str, base_version: u64, text: &str) -> Result<u64, CtlError> {
        self.change(ChangeRequest {
            change_id: change_id(name, base_version, Some(text)),
            name: name.to_owned(),
            base_version,
            text: text.to_owned(),
            operator_token: self.token.clone(),
            ..ChangeRequest::default()
        })
    }

    /// Retires a profile. Returns the new version.
    ///
    /// # Errors
    ///
    /// Returns an error unless the change is in force everywhere.
    pub fn retire(&self, name: &str, base_version: u64) -> Result<u64, CtlError> {
        self.change(ChangeRequest {
            change_id: change_id(name, base_version, None),
            name: name.to_owned(),
            base_version,
            is_retire: true,
            operator_token: self.token.clone(),
            ..ChangeRequest::default()
        })
    }

    /// Sends a change whose id the caller chose, again for a while if no quorum confirmed it.
    ///
    /// The id makes sending it again safe: a change that was committed is answered, not repeated.
    ///
    /// # Errors
    ///
    /// Returns an error unless the change is in force everywhere.
    pub fn change(&self, request: ChangeRequest) -> Result<u64, CtlError> {
        let started = Instant::now();
        loop {
            let result = self.change_once(&request);
            let is_unconfirmed = matches!(result, Err(CtlError::Unreachable(_)));
            if !is_unconfirmed || started.elapsed() > RESEND_LIMIT {
                return result;
            }
            thread::sleep(RESEND_PAUSE);
        }
    }

    fn change_once(&self, request: &ChangeRequest) -> Result<u64, CtlError> {
        let name = request.name.clone();
        let reply = self.first(CHANGE_TIMEOUT, |channel| {
            let request = request.clone();
            async move {
                let reply = ProfilesClient::new(channel).change(request).await?.into_inner();
                match reply.outcome() {
                    // Another replica may reach a quorum.
                    ChangeOutcome::NoQuorum => Err(Status::unavailable(reply.detail)),
                    _ => Ok(reply),
                }
            }
        })?;
        to_result(name, reply)
    }

    /// Returns the profiles with their current versions.
    ///
    /// # Errors
    ///
    /// Returns an error if no replica answers.
    pub fn list(&self) -> Result<ProfileSet, CtlError> {
        self.first(READ_TIMEOUT, |channel| async move {
            Ok(ProfilesClient::new(channel).list(ListRequest::default()).await?.into_inner())
        })
    }

    /// Returns the current version of a profile.
    ///
    /// # Errors
    ///
    /// Returns an error if no replica answers.
    pub fn get(&self, name: &str) -> Result<Option<ProfileRecord>, CtlError> {
        Ok(self.list()?.profiles.into_iter().find(|profile| profile.name == name))
    }

    /// Returns the kept versions of a profile, oldest first.
    ///
    /// # Errors
    ///
    /// Returns an error if no replica answers.
    pub fn history(&self, name: &str) -> Result<ProfileSet, CtlError> {
        self.first(READ_TIMEOUT, |channel| {
            let request = HistoryRequest { name: name.to_owned() };
            async move { Ok(ProfilesClient::new(channel).history(request).await?.into_inner()) }
        })
    }

    /// Returns the state of every replica.
    ///
    /// # Errors
    ///
    /// Returns an error if no replica answers.
    pub fn status(&self) -> Result<StatusReply, CtlError> {
        self.first(READ_TIMEOUT, |channel| async move {
            Ok(ProfilesClient::new(channel).status(StatusRequest::default()).await?.into_inner())
        })
    }

    fn first<T, F: Future<Output = Result<T, Status>>>(
        &self,
        limit: Duration,
        call: impl Fn(Channel) -> F,
    ) -> Result<T, CtlError> {
        let mut failures = Vec::new();
        for address in &self.controls {
            let work = async {
                let endpoint = Endpoint::from_shared(format!("http://{address}"))
                    .map_err(|error| Status::from_error(error.into()))?
                    .connect_timeout(CONNECT_TIMEOUT);
                call(endpoint.connect_lazy()).await
            };
            let result = self.runtime.block_on(async { tokio::time::timeout(limit, work).await });
            match result {
                Ok(Ok(value)) => return Ok(value),
                Ok(Err(status)) => failures.push(format!("{address}: {}", status.message())),
                Err(_) => failures.push(format!("{address}: no answer in time")),
            }
        }
        Err(CtlError::Unreachable(failures.join("; ")))
    }
}

fn to_result(name: String, reply: ChangeReply) -> Result<u64, CtlError> {
    match reply.outcome() {
        ChangeOutcome::Accepted => Ok(reply.version),
        ChangeOutcome::Pending => {
            Err(CtlError::Pending(name, reply.version, reply.pending_data_centres))
        }
        ChangeOutcome::Conflict => {
            Err(CtlError::Conflict(name, reply.version, reply.winner_change_id))
        }
        outcome => Err(CtlError::Refused(format!("{name}: {}: {}", words(outcome), reply.detail))),
    }
}

/// Returns an outcome as words.
fn words(outcome: ChangeOutcome) -> String {
    let name = outcome.as_str_name().trim_start_matches("CHANGE_OUTCOME_");
    name.to_lowercase().replace('_', " ")
}

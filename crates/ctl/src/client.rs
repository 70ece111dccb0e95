//! Blocking client of the operator API of the control replicas.

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
/// Longer than a control replica waits until a change is in force in every data centre.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(12);
/// Period during which a change without a quorum is resent; it spans several elections.
const RESEND_PERIOD: Duration = Duration::from_secs(4);
const RESEND_INTERVAL: Duration = Duration::from_millis(100);

/// Client that tries the control replicas in order until one answers.
pub struct OperatorClient {
    runtime: Runtime,
    control_addresses: Vec<SocketAddr>,
    token: String,
}

/// Returns the id of a change: a digest of the profile name, base version and text.
///
/// `text` is `None` for a retirement. A resent change has the same id, so it is applied only once.
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
    /// Returns a client of these replicas. Reads work with an empty token.
    ///
    /// # Errors
    ///
    /// Returns an error if the runtime cannot be started.
    pub fn new(
        control_addresses: impl Into<Vec<SocketAddr>>,
        token: impl Into<String>,
    ) -> Result<Self, CtlError> {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        Ok(Self { runtime, control_addresses: control_addresses.into(), token: token.into() })
    }

    /// Creates or replaces a profile. Returns the new version.
    ///
    /// # Errors
    ///
    /// Returns an error unless the change is in force in every data centre.
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
    /// Returns an error unless the change is in force in every data centre.
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

    /// Sends a change with the id from the request and resends it while no quorum confirms it.
    ///
    /// Resending is idempotent: replicas answer a committed change id with the earlier result.
    ///
    /// # Errors
    ///
    /// Returns an error unless the change is in force in every data centre.
    pub fn change(&self, request: ChangeRequest) -> Result<u64, CtlError> {
        let started = Instant::now();
        loop {
            let result = self.change_once(&request);
            let is_unconfirmed = matches!(result, Err(CtlError::Unreachable(_)));
            if !is_unconfirmed || started.elapsed() > RESEND_PERIOD {
                return result;
            }
            thread::sleep(RESEND_INTERVAL);
        }
    }

    fn change_once(&self, request: &ChangeRequest) -> Result<u64, CtlError> {
        let name = request.name.clone();
        let reply = self.first_success(CHANGE_TIMEOUT, |channel| {
            let request = request.clone();
            async move {
                let reply = ProfilesClient::new(channel).change(request).await?.into_inner();
                match reply.outcome() {
                    // Reported as unavailable, so that the next replica is tried; it may have a
                    // quorum.
                    ChangeOutcome::NoQuorum => Err(Status::unavailable(reply.detail)),
                    _ => Ok(reply),
                }
            }
        })?;
        change_result(name, reply)
    }

    /// Returns the current version of every profile, including retired ones.
    ///
    /// # Errors
    ///
    /// Returns an error if no replica answers.
    pub fn list(&self) -> Result<ProfileSet, CtlError> {
        self.first_success(READ_TIMEOUT, |channel| async move {
            Ok(ProfilesClient::new(channel).list(ListRequest::default()).await?.into_inner())
        })
    }

    /// Returns the current version of a profile, or `None` if there is no such profile.
    ///
    /// # Errors
    ///
    /// Returns an error if no replica answers.
    pub fn get(&self, name: &str) -> Result<Option<ProfileRecord>, CtlError> {
        Ok(self.list()?.profiles.into_iter().find(|profile| profile.name == name))
    }

    /// Returns the stored versions of a profile, oldest first.
    ///
    /// # Errors
    ///
    /// Returns an error if no replica answers.
    pub fn history(&self, name: &str) -> Result<ProfileSet, CtlError> {
        self.first_success(READ_TIMEOUT, |channel| {
            let request = HistoryRequest { name: name.to_owned() };
            async move { Ok(ProfilesClient::new(channel).history(request).await?.into_inner()) }
        })
    }

    /// Returns the status of every control replica and its attached nodes.
    ///
    /// # Errors
    ///
    /// Returns an error if no replica answers.
    pub fn status(&self) -> Result<StatusReply, CtlError> {
        self.first_success(READ_TIMEOUT, |channel| async move {
            Ok(ProfilesClient::new(channel).status(StatusRequest::default()).await?.into_inner())
        })
    }

    /// Calls the replicas in order and returns the first success.
    fn first_success<T, F: Future<Output = Result<T, Status>>>(
        &self,
        timeout: Duration,
        call: impl Fn(Channel) -> F,
    ) -> Result<T, CtlError> {
        let mut failures = Vec::new();
        for address in &self.control_addresses {
            let attempt = async {
                let endpoint = Endpoint::from_shared(format!("http://{address}"))
                    .map_err(|error| Status::from_error(error.into()))?
                    .connect_timeout(CONNECT_TIMEOUT);
                call(endpoint.connect_lazy()).await
            };
            let result =
                self.runtime.block_on(async { tokio::time::timeout(timeout, attempt).await });
            match result {
                Ok(Ok(value)) => return Ok(value),
                Ok(Err(status)) => failures.push(format!("{address}: {}", status.message())),
                Err(_) => failures.push(format!("{address}: timed out")),
            }
        }
        Err(CtlError::Unreachable(failures.join("; ")))
    }
}

fn change_result(name: String, reply: ChangeReply) -> Result<u64, CtlError> {
    match reply.outcome() {
        ChangeOutcome::Accepted => Ok(reply.version),
        ChangeOutcome::Pending => {
            Err(CtlError::Pending(name, reply.version, reply.pending_data_centres))
        }
        ChangeOutcome::Conflict => {
            Err(CtlError::Conflict(name, reply.version, reply.winner_change_id))
        }
        outcome => {
            Err(CtlError::Refused(format!("{name}: {}: {}", outcome_text(outcome), reply.detail)))
        }
    }
}

/// Returns the name of an outcome in lower case, such as `unknown profile`.
fn outcome_text(outcome: ChangeOutcome) -> String {
    let name = outcome.as_str_name().trim_start_matches("CHANGE_OUTCOME_");
    name.to_lowercase().replace('_', " ")
}

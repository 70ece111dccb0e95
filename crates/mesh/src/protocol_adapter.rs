//! Interface to the header names, document formats and upstream notifications of a deployment.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode};
use model::{Configuration, ConfigurationError, KeyDigest, ServiceName};
use policy::reported_load::ReportedLoad;
use quick_error::quick_error;

/// Id that an upstream process assigns to itself.
pub type InstanceId = Arc<str>;

quick_error! {
    /// Failure to decode a configuration document or an upstream notification.
    #[derive(Debug)]
    pub enum DocumentError {
        /// The bytes are malformed.
        Unreadable(detail: String) {
            display("the document cannot be read: {}", detail)
        }
        /// The document is well-formed, but its content is inconsistent.
        Invalid(source: ConfigurationError) {
            display("{}", source)
            from()
        }
        /// Method and path match no known notification.
        UnknownNotification {
            display("there is no such notification")
        }
    }
}

/// Metadata in the headers of a request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestMetadata {
    /// Id of the caller's attempt, which upstreams echo. `None` if it is missing or ambiguous.
    pub request_id: Option<HeaderValue>,
    /// Time until the caller stops waiting. `None` if the caller sets no limit.
    pub remaining_time: Option<Duration>,
}

/// Key of a client account in the headers of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AccountKey {
    /// There is no key.
    Absent,
    /// No account can have the key, or there is more than one.
    Invalid,
    /// Digest of the key.
    Digest(KeyDigest),
}

/// Metadata sent to an upstream with a call.
#[derive(Debug)]
pub struct DispatchMetadata<'a> {
    /// Time until the deadline of the call.
    pub remaining_time: Duration,
    /// Id of the upstream process that the call is addressed to.
    pub instance_id: &'a str,
    /// Service of the VM that the call comes from.
    pub caller: &'a str,
    /// Client account of a request that has a key. `None` for other requests and for the calls that
    /// upstreams make.
    pub account: Option<&'a str>,
}

/// Classification of an upstream's response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerClassification {
    /// The upstream processed this call and responded to it.
    Answer,
    /// The upstream did not run the call because it is at capacity.
    AtCapacity,
    /// The upstream did not run the call for another reason.
    NotRun,
    /// Another process listens at the address; it did not run the call.
    OtherProcess,
    /// The response does not belong to this call, which may have run.
    Mismatched,
}

impl AnswerClassification {
    /// Returns whether the response comes from the process that the call was addressed to.
    pub(crate) fn is_from_addressee(self) -> bool {
        match self {
            Self::Answer | Self::AtCapacity | Self::NotRun => true,
            Self::OtherProcess | Self::Mismatched => false,
        }
    }
}

/// Value that an upstream may announce with an answer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Announcement<T> {
    /// The answer announces nothing.
    Absent,
    /// The announced value.
    Value(T),
    /// The answer carries a value whose meaning is not clear.
    Unreadable,
}

/// What an upstream announces about itself with an answer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AnswerAnnouncements {
    /// Maximum rate of requests that the upstream takes from all nodes together, in requests per
    /// second; finite and not negative. Applies until an answer without it.
    pub limit_per_s: Announcement<f64>,
    /// Whether the upstream process is about to stop. Once it has said so, it never returns to
    /// serving.
    pub is_leaving: Announcement<bool>,
    /// Calls at the upstream when it answered, and its slots.
    pub load: Announcement<ReportedLoad>,
}

/// Lifecycle phase that an upstream reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpstreamPhase {
    /// The upstream accepts new calls.
    Serving,
    /// The upstream finishes its calls and then exits.
    Draining,
}

/// Status report of an upstream process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamReport {
    /// Id of the reporting process.
    pub instance_id: InstanceId,
    /// Start time of the process in Unix milliseconds, if reported. Orders processes that share an
    /// id.
    pub started_unix_ms: Option<u64>,
    /// Sequence number, which increases with each report of a process.
    pub sequence: u64,
    /// Address at which the process accepts calls.
    pub address: SocketAddr,
    /// Service that the process runs.
    pub service: ServiceName,
    /// Maximum number of concurrent calls.
    pub slots: u32,
    /// Current lifecycle phase.
    pub phase: UpstreamPhase,
    /// Remaining warm-up time of the process, in which its calls take longer. Zero once it is warm.
    pub cold_remaining: Duration,
}

/// Notification from the local upstream to its node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum UpstreamNotification {
    /// The upstream reports its status.
    Report(UpstreamReport),
    /// The upstream process with this id is shutting down.
    Leave {
        /// Id of the process.
        instance_id: InstanceId,
        /// Start time of the process in Unix milliseconds, if reported.
        started_unix_ms: Option<u64>,
    },
}

/// Translates between the mesh and the names and formats of a deployment. Implementations hold no
/// policy.
pub trait ProtocolAdapter: Send + Sync + 'static {
    /// Reads the metadata of a request.
    fn read_request(&self, headers: &HeaderMap) -> RequestMetadata;

    /// Reads the key of a client account. The header holds only the key.
    fn read_account_key(&self, headers: &HeaderMap) -> AccountKey;

    /// Removes the headers with the key and with the name of a client account, whatever the sender
    /// wrote there. Not called if the configuration has no client accounts.
    fn remove_account_headers(&self, headers: &mut HeaderMap);

    /// Returns the headers that concern both ends of a call. They are kept also if the `Connection`
    /// header names them.
    fn end_to_end_headers(&self) -> &'static [HeaderName];

    /// Returns the id of the parent request, which an upstream was running when it made the call
    /// with this id. Returns `None` if the id does not contain it.
    fn parent_id<'a>(&self, request_id: &'a HeaderValue) -> Option<&'a [u8]>;

    /// Sets the headers that an upstream expects with a call. Leaves the header with the name of a
    /// client account unchanged if the metadata has none.
    fn write_dispatch(&self, headers: &mut HeaderMap, metadata: &DispatchMetadata<'_>);

    /// Classifies an upstream's response by its head.
    fn classify_answer(
        &self,
        status: StatusCode,
        headers: &HeaderMap,
        request_id: Option<&HeaderValue>,
    ) -> AnswerClassification;

    /// Reads what an upstream announces about itself with an answer.
    fn read_announcements(&self, headers: &HeaderMap) -> AnswerAnnouncements;

    /// Returns the name of the header with the process id in the answer to a health check.
    fn health_id_header(&self) -> HeaderName;

    /// Sets the header that advises a caller how long to wait before a retry.
    fn write_retry_after(&self, headers: &mut HeaderMap, wait: Duration);

    /// Returns the status of the response to a quarantined request, after which callers do not
    /// retry.
    fn quarantined_status(&self) -> StatusCode;

    /// Sets the request id header in a response that the node itself generates.
    fn write_request_id(&self, headers: &mut HeaderMap, request_id: &HeaderValue);

    /// Parses and validates a configuration.
    ///
    /// # Errors
    ///
    /// Returns an error if the document is malformed or its content is invalid.
    fn read_configuration(&self, text: &[u8]) -> Result<Configuration, DocumentError>;

    /// Decodes a notification of the local upstream.
    ///
    /// # Errors
    ///
    /// Returns an error if method and path match no known notification or the body is malformed.
    fn read_upstream_notification(
        &self,
        method: &Method,
        path: &str,
        body: &Bytes,
    ) -> Result<UpstreamNotification, DocumentError>;

    /// Returns whether a request to the readiness listener is a readiness probe.
    fn is_readiness_probe(&self, method: &Method, path: &str) -> bool;
}

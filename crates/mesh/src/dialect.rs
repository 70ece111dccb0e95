//! What a deployment's own names and formats must say.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, StatusCode};
use model::{Configuration, ConfigurationError, ServiceName};
use quick_error::quick_error;

/// Identifies one upstream process, as it names itself.
pub type InstanceId = Arc<str>;

quick_error! {
    /// A document or announcement that cannot be used.
    #[derive(Debug)]
    pub enum DocumentError {
        /// The bytes do not have the expected form.
        Unreadable(detail: String) {
            display("the document cannot be read: {}", detail)
        }
        /// The content is contradictory.
        Invalid(source: ConfigurationError) {
            display("{}", source)
            from()
        }
        /// There is no such call.
        UnknownCall {
            display("there is no such call")
        }
    }
}

/// What a request says of itself.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestFacts {
    /// Id of the caller's attempt, echoed by upstreams.
    pub request_id: Option<HeaderValue>,
    /// How long the caller waits.
    pub time_left: Option<Duration>,
}

/// What an upstream is told with a call.
#[derive(Debug)]
pub struct DispatchFacts<'a> {
    /// Time left for the call.
    pub time_left: Duration,
    /// Upstream process that the call is meant for.
    pub instance_id: &'a str,
    /// Service of the VM where the call began.
    pub caller: &'a str,
}

/// What an upstream's answer means.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerVerdict {
    /// The upstream's answer to this call.
    Answer,
    /// The upstream did not run the call because it has no room.
    Full,
    /// The upstream did not run the call for another reason.
    NotRun,
    /// Another process has the address; it did not run the call.
    OtherProcess,
    /// The bytes are no answer to this call, which may have run.
    Foreign,
}

/// What an upstream says of its readiness.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpstreamPhase {
    /// It takes new calls.
    Serving,
    /// It ends its calls and leaves.
    Draining,
}

/// An upstream's report of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamReport {
    /// Process.
    pub instance_id: InstanceId,
    /// Start of the process, in Unix milliseconds, where it says so. Orders processes with one id.
    pub started_unix_ms: Option<u64>,
    /// Grows with each report of one process.
    pub sequence: u64,
    /// Where it takes calls.
    pub address: SocketAddr,
    /// Service.
    pub service: ServiceName,
    /// Calls that it runs at once.
    pub slots: u32,
    /// Readiness.
    pub phase: UpstreamPhase,
    /// How much longer it stays slow after its start.
    pub cold_left: Duration,
}

/// A call of the upstream to the node beside it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum UpstreamCall {
    /// The upstream reports itself.
    Report(UpstreamReport),
    /// The upstream leaves.
    Leave(InstanceId),
}

/// Names and formats of a deployment. An implementation translates and decides nothing.
pub trait Dialect: Send + Sync + 'static {
    /// Reads what a request says of itself.
    fn read_request(&self, headers: &HeaderMap) -> RequestFacts;

    /// Returns the id of the request that an upstream was running when it made a call, where the id of
    /// the call tells.
    fn parent_id<'a>(&self, request_id: &'a HeaderValue) -> Option<&'a [u8]>;

    /// Sets the headers that an upstream expects.
    fn write_dispatch(&self, headers: &mut HeaderMap, facts: &DispatchFacts<'_>);

    /// Judges the head of an upstream's answer.
    fn judge_answer(
        &self,
        status: StatusCode,
        headers: &HeaderMap,
        request_id: Option<&HeaderValue>,
    ) -> AnswerVerdict;

    /// Sets the header that tells when to come back.
    fn write_retry_after(&self, headers: &mut HeaderMap, wait: Duration);

    /// Sets the header that names a request in an answer of the node's own.
    fn write_request_id(&self, headers: &mut HeaderMap, request_id: &HeaderValue);

    /// Reads a configuration.
    ///
    /// # Errors
    ///
    /// Returns an error if the document cannot be read in full or must not come into force.
    fn read_configuration(&self, text: &[u8]) -> Result<Configuration, DocumentError>;

    /// Reads a call of the upstream beside the node.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no such call or its body is malformed.
    fn read_upstream_call(
        &self,
        method: &Method,
        path: &str,
        body: &Bytes,
    ) -> Result<UpstreamCall, DocumentError>;

    /// Returns whether a request to the readiness listener asks for readiness.
    fn is_readiness_probe(&self, method: &Method, path: &str) -> bool;
}

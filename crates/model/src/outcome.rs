//! Outcomes of calls and the reasons of refusals and failures.

use std::fmt;

/// Outcome of a call: whether it is known to have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The upstream returned a complete answer.
    Answered,
    /// The call did not run: no byte of it reached an upstream, or the callee confirmed that it did
    /// not run it.
    NotRun,
    /// The call may or may not have run.
    Unknown,
}

impl Outcome {
    /// Returns the value of the outcome header.
    pub fn as_str(self) -> &'static str {
        match self {
            Outcome::Answered => "answered",
            Outcome::NotRun => "not-run",
            Outcome::Unknown => "unknown",
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

macro_rules! reasons {
    ($($(#[$doc:meta])* $name:ident = $code:literal, $status:literal, $retry:literal;)*) => {
        /// Reason of a refusal or failure, with a stable code.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
        pub enum Reason {
            $($(#[$doc])* $name,)*
        }

        impl Reason {
            /// All reasons, in the order of their declaration.
            pub const ALL: &[Reason] = &[$(Reason::$name),*];

            /// Returns the code, the value of the reason header.
            pub fn as_str(self) -> &'static str {
                match self {
                    $(Reason::$name => $code,)*
                }
            }

            /// Returns the HTTP status of an answer with this reason.
            pub fn status(self) -> u16 {
                match self {
                    $(Reason::$name => $status,)*
                }
            }

            /// Returns whether a retry at another upstream may succeed.
            pub fn is_retryable(self) -> bool {
                match self {
                    $(Reason::$name => $retry,)*
                }
            }
        }
    };
}

reasons! {
    /// The concurrency limit is reached, and the call cannot be queued or has waited too long.
    Overloaded = "overloaded", 503, true;
    /// A call of a higher class took the call's place in the full queue.
    Preempted = "preempted", 503, true;
    /// The called service or one further down the call chain is overloaded and refuses calls of
    /// this priority.
    ShedByLevel = "shed-by-level", 503, false;
    /// The body of the request did not arrive in time.
    RequestTimeout = "request-timeout", 408, false;
    /// The upstream refused the call without running it.
    ShedByUpstream = "shed-by-upstream", 503, true;
    /// The node or its upstream is shutting down and takes no new calls.
    Leaving = "leaving", 503, true;
    /// The node has no upstream that can take the call.
    NoUpstream = "no-upstream", 503, true;
    /// No endpoint of the service is known, or each one was tried or is leaving.
    NoEndpoint = "no-endpoint", 503, false;
    /// No quorum of the control replicas confirmed the claim of the request.
    NoQuorum = "no-quorum", 503, false;
    /// The connection could not be established.
    ConnectFailed = "connect-failed", 503, true;
    /// The connection was lost while the call was running.
    ConnectionLost = "connection-lost", 502, true;
    /// The upstream process died while the call was running.
    UpstreamDied = "upstream-died", 502, false;
    /// The upstream itself answered with a server error.
    UpstreamError = "upstream-error", 502, true;
    /// An attempt exceeded its timeout.
    AttemptTimeout = "attempt-timeout", 504, true;
    /// The deadline of the request passed.
    DeadlineExceeded = "deadline-exceeded", 504, false;
    /// The answer ended before its body was complete.
    TruncatedAnswer = "truncated-answer", 502, true;
    /// No route matches the request.
    UnknownRoute = "unknown-route", 404, false;
    /// The service header of the egress call is missing or malformed.
    BadService = "bad-service", 400, false;
    /// The context header of the egress call is missing or malformed.
    MissingContext = "missing-context", 400, false;
    /// The request that the context refers to has ended.
    RequestEnded = "request-ended", 409, false;
    /// The request has no idempotency key although its route requires one.
    MissingKey = "missing-idempotency-key", 400, false;
    /// The idempotency key was used before with a different request.
    KeyConflict = "idempotency-key-conflict", 409, false;
    /// An earlier request with the same idempotency key may have run.
    ClaimUnknown = "claim-unknown", 409, false;
    /// The request ran before, but its answer was too large to store.
    AnswerNotKept = "answer-not-kept", 409, false;
    /// The request is quarantined because it crashed upstreams.
    Quarantined = "quarantined", 422, false;
    /// The request has no key of a client account, or an unknown one.
    UnknownAccount = "unknown-account", 401, false;
    /// The call has no key, and the request that it was made for is not running at this node.
    UnknownParent = "unknown-parent", 503, false;
    /// The quota of the client account is used up.
    QuotaExceeded = "quota-exceeded", 429, false;
    /// The node cannot prove that its configuration is recent enough to accept keys.
    ConfigurationUnproven = "configuration-unproven", 503, false;
    /// The node holds no share of the client account's quota and received none in time.
    QuotaUnavailable = "quota-unavailable", 503, false;
    /// The request head is malformed.
    BadRequest = "bad-request", 400, false;
    /// The request body exceeds its size limit.
    BodyTooLarge = "body-too-large", 413, false;
    /// The request headers exceed their size limit.
    HeadersTooLarge = "headers-too-large", 431, false;
    /// The request body ended before it was complete.
    TruncatedRequest = "truncated-request", 400, false;
    /// The peer uses another protocol version.
    VersionMismatch = "version-mismatch", 502, true;
    /// The caller closed its connection before the answer.
    Cancelled = "cancelled", 499, false;
    /// The service has no profile in force, or the node has no configuration in force.
    NoProfile = "no-profile", 503, false;
}

impl Reason {
    /// Returns the reason with the given code, if there is one.
    pub fn from_code(code: &str) -> Option<Self> {
        Self::ALL.iter().copied().find(|reason| reason.as_str() == code)
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

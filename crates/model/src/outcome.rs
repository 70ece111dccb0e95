//! What became of a call, and why.

use std::fmt;

/// What is known about whether a call ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The upstream gave a complete answer.
    Answered,
    /// No byte of the call reached an upstream, or the callee confirmed that it was dropped.
    NotRun,
    /// The call may have run.
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
        /// Stable reason of a refusal or failure.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
        pub enum Reason {
            $($(#[$doc])* $name,)*
        }

        impl Reason {
            /// All reasons.
            pub const ALL: &[Reason] = &[$(Reason::$name),*];

            /// Returns the stable code.
            pub fn as_str(self) -> &'static str {
                match self {
                    $(Reason::$name => $code,)*
                }
            }

            /// Returns the HTTP status that carries the reason.
            pub fn status(self) -> u16 {
                match self {
                    $(Reason::$name => $status,)*
                }
            }

            /// Returns whether another upstream may serve the call where this one did not.
            pub fn is_retryable(self) -> bool {
                match self {
                    $(Reason::$name => $retry,)*
                }
            }
        }
    };
}

reasons! {
    /// The limit and the queue are full.
    Overloaded = "overloaded", 503, true;
    /// A request of higher class took the place in the queue.
    Preempted = "preempted", 503, true;
    /// A deeper service refuses this class at the moment.
    ShedByLevel = "shed-by-level", 503, false;
    /// The upstream itself refused the call before running it.
    ShedByUpstream = "shed-by-upstream", 503, true;
    /// The node or upstream is leaving.
    Leaving = "leaving", 503, true;
    /// The node has no upstream at the moment.
    NoUpstream = "no-upstream", 503, true;
    /// No instance of the service is known.
    NoEndpoint = "no-endpoint", 503, false;
    /// The claim ledger has no quorum in reach.
    NoQuorum = "no-quorum", 503, false;
    /// No connection could be made.
    ConnectFailed = "connect-failed", 503, true;
    /// The connection broke while the call ran.
    ConnectionLost = "connection-lost", 502, true;
    /// The upstream process died while the call ran.
    UpstreamDied = "upstream-died", 502, false;
    /// The upstream answered with a server error of its own.
    UpstreamError = "upstream-error", 502, true;
    /// An attempt took too long.
    AttemptTimeout = "attempt-timeout", 504, true;
    /// The deadline of the whole request passed.
    DeadlineExceeded = "deadline-exceeded", 504, false;
    /// The answer ended early.
    TruncatedAnswer = "truncated-answer", 502, true;
    /// The profile has no route for the request.
    UnknownRoute = "unknown-route", 404, false;
    /// The egress call names no service or an unusable name.
    BadService = "bad-service", 400, false;
    /// The egress call carries no usable context.
    MissingContext = "missing-context", 400, false;
    /// The request behind the context has ended.
    RequestEnded = "request-ended", 409, false;
    /// The route needs an idempotency key.
    MissingKey = "missing-idempotency-key", 400, false;
    /// The key was used with another body.
    KeyConflict = "idempotency-key-conflict", 409, false;
    /// An earlier request with this key may have run.
    ClaimUnknown = "claim-unknown", 409, false;
    /// The request ran before, and its answer was too large to keep.
    AnswerNotKept = "answer-not-kept", 409, false;
    /// The request crashed upstreams and is quarantined.
    Quarantined = "quarantined", 422, false;
    /// The request head is malformed.
    BadRequest = "bad-request", 400, false;
    /// The request body is too large.
    BodyTooLarge = "body-too-large", 413, false;
    /// The request headers are too large.
    HeadersTooLarge = "headers-too-large", 431, false;
    /// The request body ended early.
    TruncatedRequest = "truncated-request", 400, false;
    /// The peer speaks another protocol version.
    VersionMismatch = "version-mismatch", 502, true;
    /// The caller went away.
    Cancelled = "cancelled", 499, false;
    /// No profile is in force for the service.
    NoProfile = "no-profile", 503, false;
}

impl Reason {
    /// Returns the reason with a code.
    pub fn from_code(code: &str) -> Option<Self> {
        Self::ALL.iter().copied().find(|reason| reason.as_str() == code)
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

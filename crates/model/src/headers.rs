//! Names of the HTTP headers that heatherweir reads and writes.

/// Prefix of all internal headers. Callers must not send headers with this prefix.
pub const INTERNAL_PREFIX: &str = "heatherweir-";
/// Call context of a request, see [`crate::CallContext`]. An upstream copies it from the request
/// that it serves to its child calls.
pub const CONTEXT: &str = "heatherweir-context";
/// Name of the service that an upstream calls through the egress listener.
pub const SERVICE: &str = "heatherweir-service";
/// Code that states whether the request ran, see [`crate::Outcome`].
pub const OUTCOME: &str = "heatherweir-outcome";
/// Stable code of a refusal or failure, see [`crate::Reason`].
pub const REASON: &str = "heatherweir-reason";
/// Id of the caller's request, shared by all calls of its call chain. Set on every answer.
pub const REQUEST_ID: &str = "heatherweir-request-id";
/// Id of one call to an upstream, different for each. An upstream that copies it to its answer is
/// protected from answers that belong to an earlier call on the same connection.
pub const CALL_ID: &str = "heatherweir-call-id";
/// Time left until the request's deadline in milliseconds, sent to upstreams.
pub const DEADLINE_MS: &str = "heatherweir-deadline-ms";
/// Idempotency key: a caller sends the same key when it retries a request.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Hop-by-hop headers: they apply to a single connection and are not forwarded.
pub const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Returns whether a header, given in lower case, is hop-by-hop and must not be forwarded.
pub fn is_hop_by_hop(name: &str) -> bool {
    HOP_BY_HOP.contains(&name)
}

/// Returns whether a header, given in lower case, has the prefix of internal headers.
pub fn is_internal(name: &str) -> bool {
    name.starts_with(INTERNAL_PREFIX)
}

//! Names of the HTTP headers that heatherweir reads and writes.

/// Prefix of every internal header; callers may not send any.
pub const INTERNAL_PREFIX: &str = "heatherweir-";
/// Context that an upstream copies from its request to its own calls.
pub const CONTEXT: &str = "heatherweir-context";
/// Service that an upstream calls through the egress listener.
pub const SERVICE: &str = "heatherweir-service";
/// Whether the request ran: see [`crate::Outcome`].
pub const OUTCOME: &str = "heatherweir-outcome";
/// Stable code of a refusal or failure: see [`crate::Reason`].
pub const REASON: &str = "heatherweir-reason";
/// Id of the whole request, on every answer.
pub const REQUEST_ID: &str = "heatherweir-request-id";
/// Remaining time of the request in milliseconds, told to upstreams.
pub const DEADLINE_MS: &str = "heatherweir-deadline-ms";
/// Key under which a caller repeats a request.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Headers that belong to one connection and are not forwarded.
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

/// Returns whether a header stays on its connection.
pub fn is_hop_by_hop(name: &str) -> bool {
    HOP_BY_HOP.contains(&name)
}

/// Returns whether a header is internal to heatherweir.
pub fn is_internal(name: &str) -> bool {
    name.starts_with(INTERNAL_PREFIX)
}

//! gRPC messages and services of heatherweir's internal protocols.
//!
//! `cargo xtask codegen` generates the module `generated` from `proto/heatherweir.proto`.

#[rustfmt::skip]
#[allow(missing_docs, clippy::all)]
mod generated;

mod packed;

pub use generated::*;
pub use packed::{MAX_CONFIGURATION_TEXT_BYTES, UnpackError};

/// Version of the internal protocols. Messages from peers with another version are rejected.
pub const PROTOCOL_VERSION: u32 = 1;

/// Maximum age of a replica's committed state, in milliseconds. Above it, a replica counts as stale
/// and its nodes look for another one. The value is above the duration of a usual election, in which
/// all replicas are stale, and leaves a node enough of the 2 s in which changes come into force to
/// find another replica.
pub const MAX_CONTENT_AGE_MS: u64 = 900;

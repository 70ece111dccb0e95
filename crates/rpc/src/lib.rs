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

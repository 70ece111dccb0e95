//! Messages and services between heatherweir's own processes.
//!
//! The code in `generated` comes from `proto/heatherweir.proto`; `cargo xtask codegen` remakes it.

#[rustfmt::skip]
#[allow(missing_docs, clippy::all)]
mod generated;

mod packed;

pub use generated::*;
pub use packed::{MAX_TEXT_BYTES, UnpackError};

/// Version of the inner protocols; peers with another version are refused.
pub const PROTOCOL_VERSION: u32 = 1;

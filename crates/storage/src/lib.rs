//! Durable storage of a control replica: identity, snapshot and log.
//!
//! All files are in one folder, and each write returns only after the data is synced to disk. An
//! incomplete record at the end of the log, left by a crash during a write, is truncated. Any other
//! damage is an error that names the file and the offset; no data is reset silently.

mod error;
mod frame;
mod replica_files;

pub use crate::{
    error::StorageError,
    frame::MAX_PAYLOAD_BYTES,
    replica_files::{RecoveredState, ReplicaFiles},
};

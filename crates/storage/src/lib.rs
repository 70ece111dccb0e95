//! Files of a control replica: identity, snapshot and log, each synced before it counts.
//!
//! One folder holds everything. A torn end of the log is cut; damage elsewhere is an error that names
//! the file and the offset, never a silent reset.

mod error;
mod frame;
mod replica_files;

pub use crate::{
    error::StorageError,
    frame::MAX_FRAME_BYTES,
    replica_files::{Recovered, ReplicaFiles},
};

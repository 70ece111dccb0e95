//! A replicated log after Raft, without I/O.
//!
//! Time, messages and proposals go in; [`Ready`] says what to persist, send and apply. The owner
//! persists before it sends. Elections use pre-vote, a leader without a quorum steps down, and
//! membership changes one replica at a time through the log itself.
//!
//! The algorithm is that of Ongaro and Ousterhout, "In Search of an Understandable Consensus
//! Algorithm", USENIX ATC 2014, with the pre-vote and check-quorum extensions of Ongaro's thesis.

mod log;
mod message;
mod progress;
mod raft;
mod types;

pub use crate::{
    message::{Envelope, Message},
    raft::{ProposeError, Raft, Ready, Role, Settings, Stored},
    types::{Entry, HardState, Index, Member, Membership, Payload, ReplicaId, Snapshot, Term},
};

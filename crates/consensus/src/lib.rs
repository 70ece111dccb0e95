//! Raft state machine for a replicated log, without I/O.
//!
//! The owner passes in the current time, received messages and proposals. It takes a [`Ready`] with
//! the state to persist, the messages to send and the entries to apply, and must persist the state
//! before it sends the messages. Elections use pre-vote, a leader that loses its quorum steps down,
//! and a membership change is a log entry that adds or removes at most one voter.
//!
//! The algorithm is described by Ongaro and Ousterhout, "In Search of an Understandable Consensus
//! Algorithm", USENIX ATC 2014, with the pre-vote and check-quorum extensions of Ongaro's thesis.

pub mod byte_codec;
mod log;
mod message;
mod progress;
mod raft;
mod types;

pub use crate::{
    message::{Envelope, Message},
    raft::{PersistentState, ProposeError, Raft, Ready, Role, Settings},
    types::{Entry, HardState, Index, Member, Membership, Payload, ReplicaId, Snapshot, Term},
};

//! Control replica: replicates profiles, claims and the configuration, and keeps the directory of
//! upstream endpoints.
//!
//! The control thread owns the replicated log and its files. The threads that serve RPCs send it
//! inputs over a channel and read the [`view::View`] that it publishes.

pub mod claims;
mod configuration_packing;
mod configuration_store;
pub mod configurations;
mod departure_recorder;
pub mod departures;
pub mod directory;
mod distribution;
mod formation;
pub mod freshness_proofs;
pub mod membership;
mod peers;
pub mod profiles;
mod quota_exchange;
mod replica;
mod server;
mod service;
mod settings;
pub mod state;
mod view;

pub use crate::{
    configuration_store::{ConfigurationStore, PutAnswer, StoreError},
    distribution::{DocumentRewriter, RewriteError, distribute_unchanged},
    server::{ServerError, run, run_with},
    settings::{Formation, MemberAddress, Settings, SettingsError, command},
};

//! A control replica: profiles, claims and the directory of announced upstreams.
//!
//! One thread owns the replicated log and its files; the listener's threads hand it inputs and read
//! the [`view::View`] that it publishes.

pub mod claims;
mod configuration_store;
pub mod configurations;
pub mod directory;
mod formation;
pub mod membership;
mod peers;
pub mod profiles;
mod replica;
mod server;
mod service;
mod settings;
pub mod state;
mod view;

pub use crate::{
    configuration_store::{ConfigurationStore, PutAnswer, StoreError},
    server::{ServerError, run, run_with},
    settings::{Formation, MemberAddress, Settings, SettingsError, command},
};

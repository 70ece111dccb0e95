//! A fake upstream with a limited number of slots and a configurable service time. It can call
//! other services and inject faults into its responses.

mod behaviour;
mod record;
mod responses;
mod server;
mod settings;

pub use self::{
    behaviour::Behaviour,
    record::UpstreamRecord,
    server::{UpstreamError, run},
    settings::{CallRule, Settings, SettingsError, command},
};

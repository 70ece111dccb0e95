//! A fake upstream: slots, a service time, calls to deeper services, and faults on request.

mod answers;
mod behaviour;
mod record;
mod server;
mod settings;

pub use self::{
    behaviour::Behaviour,
    record::UpstreamRecord,
    server::{UpstreamError, run},
    settings::{CallRule, Settings, SettingsError, command},
};

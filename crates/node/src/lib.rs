//! The process in the slot of an upstream VM.
//!
//! Its ingress guards the upstream beside it; its egress routes that upstream's calls; its caller
//! listener takes requests from outside. One thread keeps in touch with control and publishes
//! immutable snapshots; the traffic threads only read them.

mod admission_gate;
mod answer;
mod body;
mod burn_log;
mod call;
mod caller_listener;
mod claim_client;
mod claim_guard;
mod control_link;
mod dispatch;
mod egress_listener;
mod http_listener;
mod ingress;
mod peer_client;
mod peer_news;
mod peer_service;
mod profile_store;
mod request_digest;
mod routes;
mod server;
mod settings;
mod stats;
mod suspects;
mod upstream_client;
mod wire_headers;

pub use crate::{
    server::{ServerError, run},
    settings::{Settings, SettingsError, command},
    stats::metrics,
};

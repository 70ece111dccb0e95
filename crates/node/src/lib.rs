//! Sidecar process that runs on the VM of each upstream.
//!
//! The ingress admits calls to the local upstream and dispatches them. The egress listener routes
//! the calls that the local upstream makes to other services. The caller listener accepts requests
//! from outside the deployment. One thread holds the connection to the control replicas and
//! publishes immutable snapshots of profiles and endpoints; the traffic threads only read them.

mod admission_gate;
mod answer;
mod body;
mod burn_counts;
mod call;
mod caller_listener;
mod claim_client;
mod claim_manager;
mod control_link;
mod death_reporter;
mod dispatch;
mod egress_listener;
mod endpoints;
mod http_listener;
mod ingress;
mod peer_client;
mod peer_service;
mod profile_store;
mod request_digest;
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

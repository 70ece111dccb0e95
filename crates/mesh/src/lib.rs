//! Serves requests by host and path over the nodes beside announced upstreams.
//!
//! Each node takes the requests of callers on its VM and of the upstream beside it, finds the route in
//! the configuration in force, chooses a VM of the route's service and forwards the request to the node
//! there. That node alone reaches its upstream, so it sees all of its work. Header names, document
//! formats and announcements are those of a [`Dialect`].

mod attachment;
mod body;
mod call;
mod caller;
mod configuration_holder;
mod connection;
mod dialect;
mod dispatch;
mod endpoints;
mod entry_throttles;
mod failure;
mod gate;
mod ingress;
mod links;
mod listener;
mod metrics;
mod peer;
mod request_log;
mod running_ids;
mod server;
mod settings;
mod upstream;
mod upstream_listener;

pub use crate::{
    dialect::{
        AnswerVerdict, Dialect, DispatchFacts, DocumentError, InstanceId, RequestFacts,
        UpstreamCall, UpstreamPhase, UpstreamReport,
    },
    metrics::metric_names,
    server::{MetricsError, ServerError, run},
    settings::{MeshSettings, SettingsSource},
};

//! Routes HTTP requests by host and path to upstreams through a mesh of nodes.
//!
//! Each node accepts requests from callers on its VM and from its local upstream, looks up the
//! route in the active configuration, selects a VM that runs the route's service and forwards the
//! request to the node on that VM. Only that node connects to its upstream, so it sees the
//! upstream's whole load. A [`Dialect`] defines header names, document formats and upstream
//! reports.

mod attachment;
mod body;
mod call;
mod caller;
mod configuration_holder;
mod connection;
mod connection_pool;
mod dialect;
mod dispatch;
mod endpoints;
mod failure;
mod ingress;
mod listener;
mod metrics;
mod peer;
mod request_log;
mod request_throttles;
mod running_requests;
mod server;
mod settings;
mod slot_queue;
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

//! Routes HTTP requests by host and path to upstreams through a mesh of nodes.
//!
//! Each VM runs a node and an upstream, the server process of one service. A node accepts requests
//! from callers on its VM and from its local upstream, looks up the route in the active
//! configuration, selects a VM that runs the route's service and forwards the request to the node
//! on that VM. Only that node connects to its upstream, so it sees all load of that upstream.
//!
//! The replicated control service distributes the configuration and the endpoints of the VMs to the
//! nodes. A [`ProtocolAdapter`] defines header names, document formats and upstream notifications.

mod account_access;
mod account_quotas;
mod attachment;
mod balancing_monitor;
mod body;
mod broken_answers;
mod call;
mod call_stream;
mod caller_listener;
mod configuration_holder;
mod configuration_lease;
mod connection;
mod connection_pool;
mod crash_monitor;
mod departures;
mod dispatch;
mod endpoints;
mod expected_upstream;
mod failure;
mod forwarded_headers;
mod http_listener;
mod ingress;
mod metrics;
mod peer;
mod protocol_adapter;
mod quarantine_peers;
mod refusal_log;
mod request_key;
mod request_log;
mod request_throttles;
mod running_requests;
mod server;
mod settings;
mod shared_failures;
mod slot_queue;
mod suspects;
mod tcp_timeouts;
mod upstream;
mod upstream_listener;

pub use crate::{
    metrics::metric_names,
    protocol_adapter::{
        AccountKey, Announcement, AnswerAnnouncements, AnswerClassification, DispatchMetadata,
        DocumentError, InstanceId, ProtocolAdapter, RequestMetadata, UpstreamNotification,
        UpstreamPhase, UpstreamReport,
    },
    server::{MetricsError, ServerError, run},
    settings::{Balancing, FailureEvidence, MeshSettings, QuotaBound, SettingsSource},
};

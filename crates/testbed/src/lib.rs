//! Fakes and a harness: upstreams, callers and the processes of a small deployment.

pub mod caller;
pub mod cluster;
pub mod deployment;
pub mod fault_proxy;
pub mod load;
pub mod process;
pub mod relay;
pub mod soak;
pub mod upstream;
pub mod upstream_client;

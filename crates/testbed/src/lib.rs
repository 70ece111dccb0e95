//! Test harness: fake upstreams, test callers, fault injection, and clusters of real nodes and
//! control replicas on one machine.

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

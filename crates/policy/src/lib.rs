//! Decision logic of heatherweir, without I/O.
//!
//! Functions take their inputs and the current time in microseconds and return decisions. Nothing
//! here reads a clock, starts a thread, opens a socket or draws a random number, so tests and
//! simulations can run the logic deterministically.
//!
//! The sidecar (crate `node`) uses [`admission`], [`routing`], [`shed`] and the retry allowance and
//! budget of a profile. The mesh (crate `mesh`) uses [`slots`], [`named_limit`], [`placement`], [`balancer`],
//! [`overload`], [`shared_failures`], [`weighted_split`], [`run_table`], [`retry_cost`], [`control_order`],
//! [`configuration_lease`], [`quota_bucket`] and the retry budget shared by all nodes. Both use
//! [`quarantine`] and [`request_digest`].

pub mod admission;
pub mod balancer;
pub mod burn;
pub mod configuration_lease;
pub mod control_order;
pub mod critical_reserve;
pub mod decaying_mean;
mod demand;
pub mod estimated_load;
pub mod limit;
pub mod named_limit;
pub mod overload;
pub mod placement;
pub mod quarantine;
pub mod quota_bucket;
pub mod quota_lender;
pub mod reported_load;
pub mod request_digest;
pub mod retry;
pub mod retry_after;
pub mod retry_allowance;
pub mod retry_budget;
pub mod retry_cost;
pub mod routing;
pub mod run_table;
pub mod shared_failures;
pub mod shared_retry_budget;
pub mod shed;
pub mod slots;
pub mod vm_rates;
pub mod weighted_split;

/// Microseconds in a millisecond.
pub const US_PER_MS: u64 = 1_000;
/// Microseconds in a second.
pub const US_PER_S: u64 = 1_000_000;

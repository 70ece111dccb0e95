//! Tests of the lending of quotas: bucket and lender together, without a network.

mod invariants;
mod loads;
mod rules;
mod world;

//! Tests of load balancing by estimated load, without a network. Each says what callers lose.

mod comparison;
mod one_node;
mod policies;
mod rates;
mod scenarios;
mod simulation;

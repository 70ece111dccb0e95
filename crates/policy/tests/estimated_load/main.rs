//! Tests of load balancing by estimated load, without a network. Each says what callers lose.

mod policies;
mod scenarios;
mod simulation;

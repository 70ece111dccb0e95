//! Report of error-budget burn rates by service, profile, route and class.
//!
//! Adds up the request counts that nodes serve at `/burn` and compares them with the objectives of
//! the routes.

mod command_line;
mod error;
mod fetch;
mod html;
mod summary;
mod text;

pub use crate::{
    command_line::{command, run},
    error::ReportError,
    fetch::{NodeCounts, RouteCounts, parse},
    html::to_html,
    summary::{RouteSummary, Summary, WINDOWS, Window, summarize},
    text::{to_json, to_text},
};

//! Service-level burn of each service, profile and class, from the counts that nodes keep.

mod command_line;
mod error;
mod fetch;
mod html;
mod summary;
mod text;

pub use crate::{
    command_line::{command, run},
    error::ReportError,
    fetch::{NodeBurn, RouteBurn, parse},
    html::to_html,
    summary::{RouteSummary, Summary, WINDOWS, Window, summarize},
    text::{to_json, to_text},
};

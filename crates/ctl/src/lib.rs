//! Operators' command line: profiles kept as files, and the state of the cluster.

mod client;
mod command_line;
mod commands;
mod error;
mod profile_dir;
mod render;

pub use crate::{
    client::{OperatorClient, change_id},
    command_line::command,
    commands::run,
    error::CtlError,
    profile_dir::{ProfileFile, ProfileFileFault, read_profile_dir},
};

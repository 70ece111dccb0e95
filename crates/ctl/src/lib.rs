//! Command line for operators: manages overload profiles and shows the status of the cluster.

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
    profile_dir::{ProfileFile, ProfileFileError, read_profile_dir},
};

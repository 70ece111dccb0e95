//! What every heatherweir program shares: settings, logs, signals and the admin listener.

mod admin;
mod clock;
mod logs;
mod program;
mod settings;
mod signals;
mod silence;

pub use crate::{
    admin::{AdminError, AdminReply, AdminServer},
    clock::Clock,
    logs::logger,
    program::{run_on_one_thread, run_program},
    settings::{
        EXIT_BAD_SETTINGS, check_only_flag, is_check_only, list_flag, optional, required,
        setting_flag, values,
    },
    signals::{ReloadSignals, stop_requested},
    silence::SilenceLimits,
};

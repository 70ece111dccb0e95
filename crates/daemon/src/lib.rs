//! Runtime support shared by the heatherweir programs: settings, logs, signals, the clock, TCP
//! keepalive and the admin listener.

mod admin;
mod boot_clock;
mod clock;
mod keepalive;
mod logs;
mod program;
mod settings;
mod signals;

pub use crate::{
    admin::{AdminError, AdminReply, AdminServer},
    boot_clock::BootClock,
    clock::Clock,
    keepalive::{KeepaliveSettings, set_user_timeout},
    logs::logger,
    program::{run_program, run_single_threaded},
    settings::{
        EXIT_BAD_SETTINGS, check_only_flag, is_check_only, list_flag, optional, required,
        setting_flag, values,
    },
    signals::{ReloadSignals, stop_requested},
};

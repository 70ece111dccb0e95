//! Unix signals that request a program to stop or to reload its settings.

use std::io;

use tokio::signal::unix::{Signal, SignalKind, signal};

/// Waits for SIGTERM or SIGINT.
///
/// # Errors
///
/// Returns an error if the signal handlers cannot be installed.
pub async fn stop_requested() -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

/// Stream of SIGHUP signals, which request the program to reload its settings.
pub struct ReloadSignals {
    hangup: Option<Signal>,
}

impl ReloadSignals {
    /// Installs a handler for SIGHUP, whose default action terminates the process.
    pub fn new() -> Self {
        // If the handler cannot be installed, the program still reloads at its own interval.
        Self { hangup: signal(SignalKind::hangup()).ok() }
    }

    /// Waits for the next SIGHUP. Never returns if the handler could not be installed.
    pub async fn next(&mut self) {
        let Some(hangup) = &mut self.hangup else { return std::future::pending().await };
        if hangup.recv().await.is_none() {
            std::future::pending().await
        }
    }
}

impl Default for ReloadSignals {
    fn default() -> Self {
        Self::new()
    }
}

//! Requests to stop.

use std::io;

use tokio::signal::unix::{Signal, SignalKind, signal};

/// Waits for SIGTERM or SIGINT.
///
/// # Errors
///
/// Returns an error if the handlers cannot be installed.
pub async fn stop_requested() -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

/// Requests to read the settings again.
pub struct ReloadSignals {
    hangup: Option<Signal>,
}

impl ReloadSignals {
    /// Starts to listen for SIGHUP, which otherwise ends a process.
    pub fn new() -> Self {
        // Without a handler only the interval of the caller is left; the process still runs.
        Self { hangup: signal(SignalKind::hangup()).ok() }
    }

    /// Waits for the next request.
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

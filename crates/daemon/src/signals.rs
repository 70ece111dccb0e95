//! Unix signals that request a program to stop or to reload its settings.

use std::io;
use std::sync::{Mutex, PoisonError};

use tokio::signal::unix::{Signal, SignalKind, signal};

/// Signal streams that were installed when the program started.
static EARLY_STOP_SIGNALS: Mutex<Option<StopSignals>> = Mutex::new(None);

/// Streams of SIGTERM and SIGINT.
struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignals {
    fn new() -> io::Result<Self> {
        let terminate = signal(SignalKind::terminate())?;
        Ok(Self { terminate, interrupt: signal(SignalKind::interrupt())? })
    }
}

/// Installs the handlers of all signals that the program handles, on the current runtime.
///
/// A signal that arrives while the program still starts would end it otherwise. A stop request is
/// kept for [`stop_requested`].
///
/// # Errors
///
/// Returns an error if a signal handler cannot be installed.
pub(crate) fn install_handlers() -> io::Result<()> {
    let stop_signals = StopSignals::new()?;
    // The handler stays installed; a reload during the start has no effect.
    let _ = signal(SignalKind::hangup())?;
    *EARLY_STOP_SIGNALS.lock().unwrap_or_else(PoisonError::into_inner) = Some(stop_signals);
    Ok(())
}

/// Waits for SIGTERM or SIGINT, also if it was sent since the program started.
///
/// # Errors
///
/// Returns an error if the signal handlers cannot be installed.
pub async fn stop_requested() -> io::Result<()> {
    let early = EARLY_STOP_SIGNALS.lock().unwrap_or_else(PoisonError::into_inner).take();
    let mut signals = match early {
        Some(signals) => signals,
        None => StopSignals::new()?,
    };
    tokio::select! {
        _ = signals.terminate.recv() => {}
        _ = signals.interrupt.recv() => {}
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

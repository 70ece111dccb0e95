//! Identity of the local upstream by the settings, and the check of status reports against it.
//!
//! Anything on the VM can send a report. Only one that names the service and the address in the
//! settings describes the upstream of this node.

#[cfg(test)]
mod tests;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use arc_swap::ArcSwap;
use model::ServiceName;
use quick_error::quick_error;
use tokio::sync::{Notify, Semaphore, watch};

use crate::protocol_adapter::UpstreamReport;
use crate::settings::MeshSettings;

/// Maximum time by which a process may claim to start after the time of day of this node, in
/// milliseconds. Allows for clocks that jump.
const MAX_START_AHEAD_MS: u64 = 3_600_000;
/// Maximum time that a report waits for the settings to be read again.
const MAX_RELOAD_WAIT: Duration = Duration::from_millis(500);
/// Maximum number of reports that wait for that at a time. Bounds the memory for a writer that
/// sends many.
const MAX_WAITING_REPORTS: usize = 64;

quick_error! {
    /// Why a status report does not describe the upstream of this node.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum ForeignReport {
        /// The report names another service.
        OtherService {
            display("other-service")
        }
        /// The report names another address.
        OtherAddress {
            display("other-address")
        }
        /// The process claims to start long after the present.
        StartsInFuture {
            display("starts-in-future")
        }
    }
}

impl ForeignReport {
    /// Returns whether the report may be genuine if the settings have changed.
    fn depends_on_settings(self) -> bool {
        matches!(self, Self::OtherService | Self::OtherAddress)
    }
}

/// Service and address of the upstream that the settings name.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct UpstreamIdentity {
    pub(crate) service: ServiceName,
    /// `None` if the settings do not name the address.
    pub(crate) address: Option<SocketAddr>,
}

impl UpstreamIdentity {
    /// Checks whether a report describes this upstream.
    ///
    /// # Errors
    ///
    /// Returns the first difference found.
    fn check(&self, report: &UpstreamReport, now_unix_ms: u64) -> Result<(), ForeignReport> {
        if report.service != self.service {
            return Err(ForeignReport::OtherService);
        }
        if self.address.is_some_and(|address| address != report.address) {
            return Err(ForeignReport::OtherAddress);
        }
        let latest_start_ms = now_unix_ms.saturating_add(MAX_START_AHEAD_MS);
        if report.started_unix_ms.is_some_and(|started_ms| started_ms > latest_start_ms) {
            return Err(ForeignReport::StartsInFuture);
        }
        Ok(())
    }
}

impl From<&MeshSettings> for UpstreamIdentity {
    fn from(settings: &MeshSettings) -> Self {
        Self { service: settings.service.clone(), address: settings.upstream_address }
    }
}

/// Identity of the local upstream, updated when the settings are reloaded.
pub(crate) struct ExpectedUpstream {
    identity: ArcSwap<UpstreamIdentity>,
    reload_requested: Notify,
    /// Number of reloads that have started.
    reloads_started: AtomicU64,
    /// Number of reloads that have ended.
    reloads_ended: watch::Sender<u64>,
    waiting_reports: Semaphore,
}

impl ExpectedUpstream {
    pub(crate) fn new(settings: &MeshSettings) -> Self {
        Self {
            identity: ArcSwap::from_pointee(settings.into()),
            reload_requested: Notify::new(),
            reloads_started: AtomicU64::new(0),
            reloads_ended: watch::channel(0).0,
            waiting_reports: Semaphore::new(MAX_WAITING_REPORTS),
        }
    }

    /// Returns the identity by the settings that were read last.
    pub(crate) fn identity(&self) -> UpstreamIdentity {
        UpstreamIdentity::clone(&self.identity.load())
    }

    /// Checks a report against the settings that were read last.
    ///
    /// # Errors
    ///
    /// Returns why the report does not describe the upstream.
    pub(crate) fn check(
        &self,
        report: &UpstreamReport,
        now_unix_ms: u64,
    ) -> Result<(), ForeignReport> {
        self.identity.load().check(report, now_unix_ms)
    }

    /// Checks a report. If the settings may have changed since they were read, they are read again
    /// before the report is found to be foreign.
    ///
    /// # Errors
    ///
    /// Returns why the report does not describe the upstream.
    pub(crate) async fn check_with_reload(
        &self,
        report: &UpstreamReport,
        now_unix_ms: u64,
    ) -> Result<(), ForeignReport> {
        match self.check(report, now_unix_ms) {
            Err(foreign) if foreign.depends_on_settings() => {
                self.wait_for_reload().await;
                self.check(report, now_unix_ms)
            }
            result => result,
        }
    }

    /// Waits until a reload that starts from now on has ended.
    async fn wait_for_reload(&self) {
        let Ok(_permit) = self.waiting_reports.try_acquire() else { return };
        let next_reload = self.reloads_started.load(Ordering::Relaxed) + 1;
        let mut reloads_ended = self.reloads_ended.subscribe();
        self.reload_requested.notify_one();
        let ended = reloads_ended.wait_for(|ended| *ended >= next_reload);
        let _ = tokio::time::timeout(MAX_RELOAD_WAIT, ended).await;
    }

    /// Waits until a report asks for the settings to be read again.
    pub(crate) async fn reload_requested(&self) {
        self.reload_requested.notified().await;
    }

    /// Records that a reload starts.
    pub(crate) fn start_reload(&self) {
        self.reloads_started.fetch_add(1, Ordering::Relaxed);
    }

    /// Records the end of a reload, and the settings if they have changed.
    pub(crate) fn finish_reload(&self, changed: Option<&MeshSettings>) {
        if let Some(settings) = changed {
            self.identity.store(Arc::new(settings.into()));
        }
        self.reloads_ended.send_replace(self.reloads_started.load(Ordering::Relaxed));
    }
}

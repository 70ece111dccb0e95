//! Lease on the active configuration, shared by the control thread and the traffic threads.
//!
//! The control thread stamps reports and records the proofs that answer them. Traffic threads read
//! the lease without a lock.

#[cfg(test)]
mod tests;

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use arc_swap::ArcSwap;
use daemon::BootClock;
use model::Configuration;
use policy::US_PER_MS;
use policy::configuration_lease::{ConfigurationLease as Proofs, FreshnessProof};
use slog::{Logger, error, info, warn};

use crate::configuration_holder::ConfigurationHolder;
use crate::metrics::Metrics;

/// Interval at which the end of a lease is noticed for the log and the metrics. Requests do not wait
/// for it.
const WATCH_INTERVAL: Duration = Duration::from_millis(100);
/// Value of a stamp that was not taken.
const NO_STAMP: u64 = 0;

/// Clock that also counts suspended time.
pub(crate) trait BootTime: Send + Sync + 'static {
    /// Returns the time in microseconds. `None` if the system does not provide the clock.
    fn now_us(&self) -> Option<u64>;
}

impl BootTime for BootClock {
    fn now_us(&self) -> Option<u64> {
        BootClock::now_us(*self)
    }
}

/// Lease on the active configuration: whether it is proven to have been the newest one at a time
/// recent enough to check keys with it.
pub(crate) struct ConfigurationLease<C = BootClock> {
    log: Logger,
    clock: C,
    configuration: Arc<ConfigurationHolder>,
    metrics: Arc<Metrics>,
    /// `None` if the settings require no proof.
    proofs: Option<ArcSwap<Proofs>>,
    /// First and last stamp of this process, [`NO_STAMP`] before. A proof with another stamp answers
    /// an earlier process.
    first_stamp_us: AtomicU64,
    last_stamp_us: AtomicU64,
}

impl<C: BootTime> ConfigurationLease<C> {
    /// Creates a lease without a proof. If `max_age_ms` is `None`, every configuration is valid.
    pub(crate) fn new(
        log: Logger,
        clock: C,
        max_age_ms: Option<u64>,
        configuration: Arc<ConfigurationHolder>,
        metrics: Arc<Metrics>,
    ) -> Self {
        if max_age_ms.is_some() && clock.now_us().is_none() {
            error!(log, "boot-clock-unavailable"; "effect" => "requests with a key are refused");
        }
        Self {
            log,
            clock,
            configuration,
            metrics,
            proofs: max_age_ms.map(|max_age_ms| ArcSwap::from_pointee(Proofs::new(max_age_ms))),
            first_stamp_us: AtomicU64::new(NO_STAMP),
            last_stamp_us: AtomicU64::new(NO_STAMP),
        }
    }

    /// Returns whether the node must ask for proofs: the settings require them and the active
    /// configuration has client accounts.
    pub(crate) fn is_required(&self) -> bool {
        let active = self.configuration.load();
        self.proofs.is_some()
            && active.is_some_and(|active| active.configuration.has_client_accounts())
    }

    /// Returns the stamp of a report that asks for a proof. `None` if no proof is required or the
    /// clock is not available. Only the control thread may call it.
    pub(crate) fn stamp(&self) -> Option<u64> {
        if !self.is_required() {
            return None;
        }
        let now_us = self.clock.now_us()?;
        if self.first_stamp_us.load(Ordering::Relaxed) == NO_STAMP {
            self.first_stamp_us.store(now_us, Ordering::Relaxed);
        }
        self.last_stamp_us.store(now_us, Ordering::Relaxed);
        Some(now_us)
    }

    /// Records a proof. Ignores one whose stamp this process has not taken. Only the control thread
    /// may call it.
    pub(crate) fn record_proof(&self, proof: &rpc::FreshnessProof) {
        let (Some(proofs), Some(now_us)) = (&self.proofs, self.clock.now_us()) else { return };
        let stamp_us = proof.report_created_boot_us;
        let first_us = self.first_stamp_us.load(Ordering::Relaxed);
        let last_us = self.last_stamp_us.load(Ordering::Relaxed);
        if first_us == NO_STAMP || !(first_us..=last_us).contains(&stamp_us) {
            warn!(self.log, "freshness-proof-ignored"; "stamp_us" => stamp_us,
                "first_stamp_us" => first_us, "last_stamp_us" => last_us);
            return;
        }
        let mut next = Proofs::clone(&proofs.load());
        next.record(now_us, FreshnessProof { stamp_us, version: proof.configuration_version });
        proofs.store(Arc::new(next));
    }

    /// Returns whether the active configuration is proven recent enough. A caller that reads a key
    /// with a configuration that it loaded earlier must use
    /// [`is_valid_for`](Self::is_valid_for), since a newer one may have become active meanwhile.
    pub(crate) fn is_valid(&self) -> bool {
        self.is_valid_for(self.configuration.version())
    }

    /// Returns whether the configuration of this version is proven recent enough.
    pub(crate) fn is_valid_for(&self, version: u64) -> bool {
        let Some(proofs) = &self.proofs else { return true };
        let proofs = proofs.load();
        // The time is read after the proofs, so a stamp in the future is never a proof that was
        // recorded meanwhile.
        self.clock.now_us().is_some_and(|now_us| proofs.is_valid(now_us, version))
    }

    /// Returns whether a request may be admitted by its key in this configuration, and counts a
    /// refusal.
    pub(crate) fn admits_key(&self, configuration: &Configuration) -> bool {
        let is_admitted =
            !configuration.has_client_accounts() || self.is_valid_for(configuration.version());
        if !is_admitted {
            self.metrics.refused_unproven.inc();
        }
        is_admitted
    }

    /// Logs the changes of the lease and keeps the metric of its age. Never returns if a proof is
    /// required by the settings.
    pub(crate) async fn watch(&self) {
        if self.proofs.is_none() {
            return;
        }
        let mut watch = LeaseWatch::default();
        let mut ticks = tokio::time::interval(WATCH_INTERVAL);
        loop {
            ticks.tick().await;
            self.observe(&mut watch);
        }
    }

    fn observe(&self, watch: &mut LeaseWatch) {
        let age_ms = self.proof_age_ms();
        let metric = age_ms.and_then(|age_ms| i64::try_from(age_ms).ok());
        self.metrics.configuration_proof_age_ms.set(metric.unwrap_or(-1));
        let is_valid = !self.is_required() || self.is_valid();
        if is_valid == watch.is_valid {
            return;
        }
        watch.is_valid = is_valid;
        let version = self.configuration.version();
        match is_valid {
            true => info!(self.log, "configuration-lease-regained"; "version" => version,
                "proof_age_ms" => age_ms),
            false => warn!(self.log, "configuration-lease-lost"; "version" => version,
                "proof_age_ms" => age_ms),
        }
    }

    /// Returns the age of the newest proof that counts for the active version.
    fn proof_age_ms(&self) -> Option<u64> {
        let proven_us = self.proofs.as_ref()?.load().proven_us(self.configuration.version())?;
        Some(self.clock.now_us()?.saturating_sub(proven_us) / US_PER_MS)
    }
}

/// State of the lease that was logged last. A node starts without need of a lease.
struct LeaseWatch {
    is_valid: bool,
}

impl Default for LeaseWatch {
    fn default() -> Self {
        Self { is_valid: true }
    }
}

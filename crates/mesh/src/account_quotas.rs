//! Quotas of client accounts on this node: admission of requests by the shares that control lends.

#[cfg(test)]
mod tests;

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};
use std::time::Duration;

use daemon::BootClock;
use indexmap::IndexMap;
use model::{ClientAccount, Quota, Reason};
use policy::quota_bucket::{
    GrantEffect, LOAN_US, QuotaBucket, QuotaDecision, RemainingWait, ShareGrant, ShareOutlook,
};
use policy::{US_PER_MS, US_PER_S};
use rpc::{QuotaDemand, QuotaGrants};
use slog::{info, warn};
use tokio::sync::{Notify, watch};
use tokio::time::Instant;

use crate::failure::CallFailure;
use crate::metrics::Metrics;
use crate::request_log::RequestLog;
use crate::settings::QuotaBound;

/// Interval between requests for a report while an account has no room and its demand is reported
/// already, in microseconds. A lost report or grant costs this long instead of a report interval.
const REPORT_RETRY_US: u64 = 200 * US_PER_MS;
/// Interval at which a surplus is looked for. Demand may leave a node at once, and others get its
/// share only when the node reports.
const SURPLUS_INTERVAL: Duration = Duration::from_millis(100);
/// Factor by which a request may wait longer for a token of the share that the node holds than for a
/// larger share. The wait is known in advance, so a request that would not get its token in time is
/// refused at once. With a maximum wait of an eighth of the latency objective, more than half of the
/// objective is left for the request.
const ROOM_WAIT_FACTOR: u32 = 3;
/// Maximum number of requests of one account that wait for a share.
const MAX_WAITING: usize = 1_024;
/// Time without a refusal after which an account is no longer logged as over its quota, in
/// microseconds.
const CALM_PERIOD_US: u64 = 5 * US_PER_S;
/// Time without requests after which an account without a share is dropped, in microseconds.
const IDLE_PERIOD_US: u64 = 3 * LOAN_US;
/// Wait that a caller is told if no share can be had: the interval between two reports.
const UNAVAILABLE_WAIT: Duration = Duration::from_secs(1);

/// Period in which an account is over its quota at this node.
#[derive(Debug, Clone, Copy)]
struct Excess {
    started_us: u64,
    last_refusal_us: u64,
    refusals: u64,
}

#[derive(Debug)]
struct AccountState {
    bucket: QuotaBucket,
    /// Time of the last request for a report.
    report_requested_us: u64,
    /// End of the last loan that was logged as expired.
    logged_lapse_us: u64,
    excess: Option<Excess>,
}

/// Quota of one account.
#[derive(Debug)]
struct AccountQuota {
    state: Mutex<AccountState>,
    /// Notified when a grant arrives.
    granted: Notify,
    waiting: AtomicUsize,
}

impl AccountQuota {
    fn new(now_us: u64, quota: Quota) -> Self {
        let bucket = QuotaBucket::new(now_us, quota);
        let logged_lapse_us = bucket.lapsed_us();
        let state = AccountState { bucket, report_requested_us: 0, logged_lapse_us, excess: None };
        Self { state: Mutex::new(state), granted: Notify::new(), waiting: AtomicUsize::new(0) }
    }

    fn lock(&self) -> MutexGuard<'_, AccountState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Place among the waiting requests of an account.
struct WaitingPlace<'a>(&'a AccountQuota);

impl<'a> WaitingPlace<'a> {
    /// Returns the place and the number of requests before it, `None` if too many requests wait.
    fn take(account: &'a AccountQuota) -> Option<(Self, usize)> {
        let ahead = account.waiting.fetch_add(1, Ordering::Relaxed);
        let place = Self(account);
        (ahead < MAX_WAITING).then_some((place, ahead))
    }
}

impl Drop for WaitingPlace<'_> {
    fn drop(&mut self) {
        self.0.waiting.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Decision about a request, and whether another report can change it.
#[derive(Debug, Clone, Copy)]
struct Verdict {
    decision: QuotaDecision,
    outlook: ShareOutlook,
}

impl Verdict {
    /// Returns how long a request that has waited for `waited` waits before it is decided again, given
    /// the maximum wait for a share. `None` if waiting does not help.
    fn wait(self, waited: Duration, max_wait: Duration) -> Option<Duration> {
        let remaining_us = |max_wait: Duration| {
            let remaining = max_wait.saturating_sub(waited);
            u64::try_from(remaining.as_micros()).unwrap_or(u64::MAX)
        };
        let remaining = RemainingWait {
            for_room_us: remaining_us(max_wait * ROOM_WAIT_FACTOR),
            for_share_us: remaining_us(max_wait),
        };
        self.decision.wait_us(self.outlook, remaining).map(Duration::from_micros)
    }
}

/// Quotas of the client accounts on this node.
pub(crate) struct AccountQuotas {
    request_log: Arc<RequestLog>,
    metrics: Arc<Metrics>,
    bound: Option<QuotaBound>,
    accounts: RwLock<IndexMap<Arc<str>, Arc<AccountQuota>>>,
    /// Number of requests for a report at once.
    report_requests: watch::Sender<u64>,
}

impl AccountQuotas {
    pub(crate) fn new(
        request_log: Arc<RequestLog>,
        metrics: Arc<Metrics>,
        bound: Option<QuotaBound>,
    ) -> Self {
        Self {
            request_log,
            metrics,
            bound,
            accounts: RwLock::default(),
            report_requests: watch::channel(0).0,
        }
    }

    /// Returns a receiver that is notified when a report is to be sent at once.
    pub(crate) fn report_requests(&self) -> watch::Receiver<u64> {
        self.report_requests.subscribe()
    }

    /// Admits a request of an account within its quota. Waits at most `max_wait` for a share, and
    /// [`ROOM_WAIT_FACTOR`] times as long for room in the share that the node holds.
    ///
    /// # Errors
    ///
    /// Returns [`Reason::QuotaExceeded`] with the time until there is room, or
    /// [`Reason::QuotaUnavailable`] if the node has no share and control lends none.
    pub(crate) async fn admit(
        &self,
        account: &ClientAccount,
        max_wait: Duration,
    ) -> Result<(), CallFailure> {
        let Some(quota) = account.quota.filter(|quota| quota.rate_per_s > 0.0) else {
            return Ok(());
        };
        let quota = self.bound.map_or(quota, |bound| bound.lent_quota(quota));
        let now_us = BootClock.now_us().ok_or_else(unavailable)?;
        let shared = self.account(now_us, &account.name, quota);
        let mut verdict = self.offer(now_us, &shared, quota);
        if verdict.wait(Duration::ZERO, max_wait).is_some() {
            verdict = self.wait_for_room(&shared, quota, max_wait).await?.unwrap_or(verdict);
        }
        self.finish(&account.name, &shared, verdict)
    }

    /// Decides a request again until it is admitted, waiting does not help or `max_wait` is over.
    /// Returns `None` if too many requests wait.
    async fn wait_for_room(
        &self,
        account: &AccountQuota,
        quota: Quota,
        max_wait: Duration,
    ) -> Result<Option<Verdict>, CallFailure> {
        let Some((_place, mut ahead)) = WaitingPlace::take(account) else { return Ok(None) };
        self.metrics.quota_waits.inc();
        let started = Instant::now();
        loop {
            // Created before the decision, so that a grant between the two is not missed.
            let granted = account.granted.notified();
            let verdict = self.decide(account, quota, ahead)?;
            ahead = 0;
            let Some(wait) = verdict.wait(started.elapsed(), max_wait) else {
                return Ok(Some(verdict));
            };
            let _ = tokio::time::timeout(wait, granted).await;
        }
    }

    /// Returns the demands for a report with the stamp `report_us`, and drops idle accounts.
    pub(crate) fn report(&self, report_us: u64) -> Vec<QuotaDemand> {
        let accounts = self.accounts.read().unwrap_or_else(PoisonError::into_inner);
        if accounts.is_empty() {
            return Vec::new();
        }
        let demands = accounts.iter().filter_map(|(name, account)| {
            let mut state = account.lock();
            let demand = state.bucket.report(report_us)?;
            Some(QuotaDemand {
                account: name.to_string(),
                wanted_share: demand.wanted_share,
                held_share: demand.held_share,
                refill_per_s: demand.refill_per_s,
                basis_boot_us: demand.basis_us,
                wanted_burst_share: demand.wanted_burst_share,
                returned_burst_share: demand.returned_burst_share,
            })
        });
        let demands = demands.collect();
        for (name, account) in accounts.iter() {
            self.log_changes(report_us, name, &mut account.lock());
        }
        drop(accounts);
        self.remove_idle(report_us);
        demands
    }

    /// Applies grants from control.
    pub(crate) fn apply(&self, grants: &QuotaGrants) {
        let Some(now_us) = BootClock.now_us() else { return };
        let accounts = self.accounts.read().unwrap_or_else(PoisonError::into_inner);
        for grant in &grants.grants {
            let Some(account) = accounts.get(grant.account.as_str()) else { continue };
            let effect = account.lock().bucket.apply(
                now_us,
                ShareGrant {
                    report_us: grants.report_created_boot_us,
                    share: grant.share,
                    initial_burst_share: grant.initial_burst_share,
                },
            );
            if effect == GrantEffect::Reduced {
                // Others get the rest only when this node has confirmed the smaller share.
                self.request_report();
            }
            account.granted.notify_waiters();
        }
    }

    /// Requests a report when an account holds clearly more than it wants. Never returns.
    pub(crate) async fn report_surplus(&self) {
        loop {
            tokio::time::sleep(SURPLUS_INTERVAL).await;
            let Some(now_us) = BootClock.now_us() else { continue };
            let accounts = self.accounts.read().unwrap_or_else(PoisonError::into_inner);
            if accounts.values().any(|account| account.lock().bucket.has_surplus(now_us)) {
                self.request_report();
            }
        }
    }

    /// Returns the account of a name, and adds it if it is new.
    fn account(&self, now_us: u64, name: &Arc<str>, quota: Quota) -> Arc<AccountQuota> {
        let accounts = self.accounts.read().unwrap_or_else(PoisonError::into_inner);
        if let Some(account) = accounts.get(name) {
            return Arc::clone(account);
        }
        drop(accounts);
        let mut accounts = self.accounts.write().unwrap_or_else(PoisonError::into_inner);
        let account = accounts.entry(Arc::clone(name));
        Arc::clone(account.or_insert_with(|| Arc::new(AccountQuota::new(now_us, quota))))
    }

    /// Counts a request and decides it behind those that wait.
    fn offer(&self, now_us: u64, account: &AccountQuota, quota: Quota) -> Verdict {
        let ahead = account.waiting.load(Ordering::Relaxed);
        let mut state = account.lock();
        state.bucket.record_offered(now_us);
        self.verdict(now_us, &mut state, quota, ahead)
    }

    /// Decides a request that has waited.
    fn decide(
        &self,
        account: &AccountQuota,
        quota: Quota,
        ahead: usize,
    ) -> Result<Verdict, CallFailure> {
        let now_us = BootClock.now_us().ok_or_else(unavailable)?;
        Ok(self.verdict(now_us, &mut account.lock(), quota, ahead))
    }

    fn verdict(
        &self,
        now_us: u64,
        state: &mut AccountState,
        quota: Quota,
        ahead: usize,
    ) -> Verdict {
        let decision = state.bucket.admit(now_us, quota, ahead);
        let outlook = state.bucket.outlook(now_us);
        if decision != QuotaDecision::Admitted {
            let elapsed_us = now_us.saturating_sub(state.report_requested_us);
            if elapsed_us >= REPORT_RETRY_US || state.bucket.has_unreported_demand(now_us) {
                state.report_requested_us = now_us;
                self.request_report();
            }
        }
        Verdict { decision, outlook }
    }

    fn request_report(&self) {
        self.report_requests.send_modify(|count| *count = count.wrapping_add(1));
    }

    /// Counts the decision about a request and returns it as a result.
    fn finish(
        &self,
        name: &Arc<str>,
        account: &AccountQuota,
        verdict: Verdict,
    ) -> Result<(), CallFailure> {
        match verdict.decision {
            QuotaDecision::Admitted => {
                self.metrics.quota_admitted.inc();
                Ok(())
            }
            QuotaDecision::Refused { room_in_us } => {
                self.metrics.quota_refused.inc();
                self.record_refusal(name, &mut account.lock());
                let room_in = Duration::from_micros(room_in_us);
                Err(CallFailure::not_run(Reason::QuotaExceeded).with_expected_wait(room_in))
            }
            QuotaDecision::NoShare => {
                self.metrics.quota_unavailable.inc();
                Err(unavailable())
            }
        }
    }

    /// Records a refusal, and logs the first one of a period.
    fn record_refusal(&self, name: &Arc<str>, state: &mut AccountState) {
        let Some(now_us) = BootClock.now_us() else { return };
        if let Some(excess) = &mut state.excess {
            excess.last_refusal_us = now_us;
            excess.refusals += 1;
            return;
        }
        state.excess = Some(Excess { started_us: now_us, last_refusal_us: now_us, refusals: 1 });
        if let Some(log) = self.request_log.rate_limited_logger(&self.metrics) {
            info!(log, "quota-exceeded"; "account" => &**name,
                "share" => state.bucket.share(now_us));
        }
    }

    /// Logs the end of a period above the quota, and a loan that ended without a renewal.
    fn log_changes(&self, now_us: u64, name: &Arc<str>, state: &mut AccountState) {
        let is_over =
            |excess: &mut Excess| now_us.saturating_sub(excess.last_refusal_us) >= CALM_PERIOD_US;
        if let Some(excess) = state.excess.take_if(is_over)
            && let Some(log) = self.request_log.rate_limited_logger(&self.metrics)
        {
            let duration_us = excess.last_refusal_us.saturating_sub(excess.started_us);
            info!(log, "quota-excess-ended"; "account" => &**name,
                "duration_ms" => duration_us / US_PER_MS, "refused" => excess.refusals);
        }
        let lapsed_us = state.bucket.lapsed_us();
        if lapsed_us == state.logged_lapse_us {
            return;
        }
        state.logged_lapse_us = lapsed_us;
        self.metrics.quota_loans_expired.inc();
        if let Some(log) = self.request_log.rate_limited_logger(&self.metrics) {
            warn!(log, "quota-loan-expired"; "account" => &**name,
                "age_ms" => now_us.saturating_sub(lapsed_us) / US_PER_MS);
        }
    }

    /// Drops the accounts without a share that no request has used for some loan periods and that no
    /// request uses now. Accounts that the configuration no longer has get no requests.
    fn remove_idle(&self, now_us: u64) {
        let is_idle = |account: &Arc<AccountQuota>| {
            let mut state = account.lock();
            let last_us = state.bucket.last_request_us().unwrap_or_default();
            Arc::strong_count(account) == 1
                && now_us.saturating_sub(last_us) >= IDLE_PERIOD_US
                && state.bucket.share(now_us) <= 0.0
        };
        let accounts = self.accounts.read().unwrap_or_else(PoisonError::into_inner);
        if !accounts.values().any(is_idle) {
            return;
        }
        drop(accounts);
        let mut accounts = self.accounts.write().unwrap_or_else(PoisonError::into_inner);
        accounts.retain(|_, account| !is_idle(account));
    }
}

fn unavailable() -> CallFailure {
    CallFailure::not_run(Reason::QuotaUnavailable).with_expected_wait(UNAVAILABLE_WAIT)
}

//! Lending of shares of the quotas of client accounts by the leader of control.
//!
//! The lender keeps, for each node, every share that the node may still use: those of grants that
//! were sent and that no later report has superseded. The node's part of the quota counts as lent up
//! to the largest of them, until a report shows that the node works with a later grant or until the
//! loans have ended. Times are on the lender's boot clock, stamps of reports on that of the node; the
//! lender never compares the two.
//!
//! The leader commits an upper bound of what is lent of each account, its ceiling, before a node
//! receives the loans. A new leader knows by the ceilings what its predecessors cannot have lent, and
//! lends that without waiting for their loans to end. Load pattern: replicas fail while callers begin
//! to send, so that most nodes hold no share yet.

use std::sync::Arc;

use indexmap::IndexMap;

use crate::quota_bucket::{CALM_FACTOR, LOAN_US, SURPLUS_SHARE, ShareDemand};
use crate::{US_PER_MS, US_PER_S};

/// Time that a loan counts as lent after its end, in microseconds. Covers the drift between the
/// clocks of two machines: 1 % of the loan period.
const CLOCK_MARGIN_US: u64 = 50 * US_PER_MS;
/// Maximum number of unconfirmed grants kept for a node and account; the oldest are merged.
const MAX_GRANTS: usize = 16;
/// A share is not reduced by less than this part, so that noise in the demand costs no messages.
const MIN_REDUCTION: f64 = 0.05;
/// Part of the held share that a node keeps as long as the wanted shares leave the quota unused.
const KEPT_PART: f64 = 0.6;
/// Sum of the wanted shares up to which the quota counts as unused.
const CALM_SUM: f64 = 0.9;
/// Sum up to which the lender grants more than the nodes want, by a factor of [`CALM_FACTOR`] at
/// most. A new leader lends no tokens from the pool for a loan period; with the wanted shares alone
/// callers that use 0.625 of their quota lost 4.4 % of their requests then.
const LENT_SUM: f64 = 0.85;
/// Interval between two sweeps over all accounts, in microseconds.
const SWEEP_INTERVAL_US: u64 = US_PER_S;
/// Step of ceilings. A ceiling that is rounded up to it changes seldom, so that most loans commit no
/// change of it.
const CEILING_STEP: f64 = 0.05;
/// Time after the end of the loans of predecessors after which the accounts for which no node has
/// asked since are forgotten, in microseconds. Longer than usual bursts take to refill.
const FORGOTTEN_US: u64 = 600 * US_PER_S;
/// Pool from which an account that has no loans is forgotten.
const FULL_POOL: f64 = 1.0 - 1e-9;

/// Node process that reports a demand.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Reporter<'a> {
    /// Name of the node's VM.
    pub vm: &'a str,
    /// Start time of the node process.
    pub incarnation: u64,
    /// Stamp of the report on the node's boot clock.
    pub report_us: u64,
}

/// Share that the lender grants in answer to a report.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Grant {
    /// Share from zero to one.
    pub share: f64,
    /// Part of the burst that comes with it.
    pub initial_burst_share: f64,
}

/// Beginning of a lender's leadership.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaderHistory {
    /// No replica led the cluster before, so nothing is lent.
    First,
    /// Earlier leaders may have lent shares until the time of the first commit.
    Successor,
}

/// Whether loans of predecessors may still be in use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// They may.
    Inheriting,
    /// All loans in use are known.
    Regular,
}

/// Grant that the node may apply or has applied.
#[derive(Debug, Clone, Copy)]
struct SentGrant {
    report_us: u64,
    share: f64,
    end_us: u64,
}

/// Loans of one node.
#[derive(Debug, Clone)]
struct Loan {
    incarnation: u64,
    report_us: u64,
    wanted_share: f64,
    /// Time after which the demand no longer counts.
    demand_end_us: u64,
    grants: Vec<SentGrant>,
    /// Share that was lent to the node beyond the inherited one.
    beyond_inherited: f64,
}

impl Loan {
    /// Returns the largest share that the node may use.
    fn bound(&self) -> f64 {
        self.grants.iter().map(|grant| grant.share).fold(0.0, f64::max)
    }

    fn remove_ended(&mut self, now_us: u64) {
        self.grants.retain(|grant| grant.end_us > now_us);
        if self.demand_end_us <= now_us {
            self.wanted_share = 0.0;
        }
    }

    /// Removes the grants that the node has superseded by the one that it works with.
    fn confirm(&mut self, demand: &ShareDemand) {
        self.grants.retain(|grant| grant.report_us >= demand.basis_us);
        let basis = self.grants.iter_mut().find(|grant| grant.report_us == demand.basis_us);
        if let Some(grant) = basis {
            grant.share = grant.share.min(demand.held_share);
        }
    }

    fn push(&mut self, grant: SentGrant) {
        if self.grants.len() >= MAX_GRANTS {
            // The merged grant stays as long and is as large as both.
            let oldest = self.grants.remove(0);
            let next = &mut self.grants[0];
            next.share = next.share.max(oldest.share);
            next.end_us = next.end_us.max(oldest.end_us);
        }
        self.grants.push(grant);
    }
}

/// Quota of one account.
#[derive(Debug, Clone)]
struct Account {
    refill_per_s: f64,
    /// Tokens of the unlent share, as a fraction of the burst.
    pool_tokens: f64,
    /// Time up to which the pool is refilled.
    pool_us: u64,
    loans: IndexMap<Arc<str>, Loan>,
    /// Share that predecessors may have lent.
    inherited: f64,
    /// Share that was lent beyond the inherited one while the loans of predecessors may be in use.
    lent_beyond_inherited: f64,
    /// Ceiling as it was last handed out to be committed.
    ceiling: f64,
}

impl Account {
    fn lent(&self) -> f64 {
        self.loans.values().map(Loan::bound).sum()
    }

    /// Returns the share that nobody can hold.
    fn unlent(&self, phase: Phase) -> f64 {
        let lent = match phase {
            Phase::Inheriting => self.inherited + self.lent_beyond_inherited,
            Phase::Regular => self.lent(),
        };
        (1.0 - lent).max(0.0)
    }

    /// Returns the new ceiling if it has changed.
    fn changed_ceiling(&mut self, phase: Phase) -> Option<f64> {
        let lent = 1.0 - self.unlent(phase);
        // Zero stands for an account whose pool is full, which this one need not be.
        let ceiling = ((lent / CEILING_STEP).ceil() * CEILING_STEP).clamp(CEILING_STEP, 1.0);
        let is_raised = lent > self.ceiling;
        let is_lowered = ceiling < self.ceiling - CEILING_STEP;
        if !is_raised && !is_lowered {
            return None;
        }
        self.ceiling = ceiling;
        Some(ceiling)
    }

    /// Refills the pool at the share that was unlent until now, then removes ended loans.
    ///
    /// The share that predecessors may have lent refills the pool from `lendable_us` on only.
    fn advance(&mut self, now_us: u64, phase: Phase, lendable_us: u64) {
        if phase == Phase::Regular {
            self.pool_us = self.pool_us.max(lendable_us);
        }
        let elapsed_s = now_us.saturating_sub(self.pool_us) as f64 / US_PER_S as f64;
        self.pool_us = self.pool_us.max(now_us);
        let unlent = self.unlent(phase);
        let refilled = self.pool_tokens + unlent * self.refill_per_s * elapsed_s;
        self.pool_tokens = refilled.min(unlent);
        for loan in self.loans.values_mut() {
            loan.remove_ended(now_us);
        }
        self.loans.retain(|_, loan| !loan.grants.is_empty() || loan.wanted_share > 0.0);
    }

    fn wanted_sum(&self) -> f64 {
        self.loans.values().map(|loan| loan.wanted_share).sum()
    }

    /// Returns the share that a node should have by max-min fairness.
    fn target(&self, wanted_share: f64) -> f64 {
        let mut wanted: Vec<f64> = self.loans.values().map(|loan| loan.wanted_share).collect();
        wanted.sort_by(f64::total_cmp);
        let factor = (LENT_SUM / wanted.iter().sum::<f64>()).clamp(1.0, CALM_FACTOR);
        wanted_share.min(max_min_level(&wanted)) * factor
    }
}

/// Returns the largest share that each demand may get if all together get at most one. The demands
/// must be in ascending order.
fn max_min_level(ascending: &[f64]) -> f64 {
    let mut remaining = 1.0;
    for (index, wanted) in ascending.iter().enumerate() {
        let level = remaining / (ascending.len() - index) as f64;
        if *wanted >= level {
            return level;
        }
        remaining -= wanted;
    }
    1.0
}

/// Account and its holders, for status pages.
#[derive(Debug, Clone, PartialEq)]
pub struct AccountLoans {
    /// Name of the account.
    pub account: Arc<str>,
    /// Tokens of the unlent share, as a fraction of the burst.
    pub pool_tokens: f64,
    /// Largest share that each node may use, by VM.
    pub shares: Vec<(Arc<str>, f64)>,
}

/// Lender of the leader of control in one term.
#[derive(Debug, Clone)]
pub struct QuotaLender {
    /// Time from which unlent shares may be lent.
    lendable_us: u64,
    history: LeaderHistory,
    swept_us: u64,
    accounts: IndexMap<Arc<str>, Account>,
    /// Ceilings that predecessors have committed.
    inherited: IndexMap<Arc<str>, f64>,
    /// Ceilings that have changed since they were handed out last.
    changed_ceilings: IndexMap<Arc<str>, f64>,
}

impl QuotaLender {
    /// Creates the lender of a leader whose first commit in its term was at `first_commit_us` or
    /// earlier.
    pub fn new(first_commit_us: u64, history: LeaderHistory) -> Self {
        let lendable_us = match history {
            LeaderHistory::First => first_commit_us,
            LeaderHistory::Successor => {
                first_commit_us.saturating_add(LOAN_US).saturating_add(CLOCK_MARGIN_US)
            }
        };
        Self {
            lendable_us,
            history,
            swept_us: first_commit_us,
            accounts: IndexMap::new(),
            inherited: IndexMap::new(),
            changed_ceilings: IndexMap::new(),
        }
    }

    /// Sets the ceilings that predecessors have committed. An account without one counts as not lent.
    pub fn with_ceilings(self, ceilings: impl IntoIterator<Item = (Arc<str>, f64)>) -> Self {
        Self { inherited: ceilings.into_iter().collect(), ..self }
    }

    /// Returns the ceilings that have changed since the last call, to be committed before a node
    /// receives a grant of the same or a later decision. Entries must be committed in the order of the
    /// calls. A ceiling of zero removes the account.
    pub fn take_changed_ceilings(&mut self) -> IndexMap<Arc<str>, f64> {
        std::mem::take(&mut self.changed_ceilings)
    }

    /// Records the demand of a node and returns its grant. `None` if the report is older than one that
    /// the lender has already, or contains values that are not numbers.
    pub fn lend(
        &mut self,
        now_us: u64,
        reporter: Reporter<'_>,
        account: &str,
        demand: &ShareDemand,
    ) -> Option<Grant> {
        let is_valid = |value: f64| value.is_finite() && value >= 0.0;
        let values = [
            demand.wanted_share,
            demand.held_share,
            demand.refill_per_s,
            demand.wanted_burst_share,
            demand.returned_burst_share,
        ];
        if !values.into_iter().all(is_valid) {
            return None;
        }
        self.sweep_if_due(now_us);
        let (phase, lendable_us) = (self.phase(now_us), self.lendable_us);
        let inherited = self.inherited.get(account).copied().unwrap_or(0.0);
        let pool_tokens = self.initial_pool(now_us, inherited, demand.refill_per_s);
        let name = account;
        let (_, account) = entry(&mut self.accounts, account, || Account {
            refill_per_s: demand.refill_per_s,
            pool_tokens,
            pool_us: now_us,
            loans: IndexMap::new(),
            inherited,
            lent_beyond_inherited: 0.0,
            ceiling: inherited,
        });
        account.advance(now_us, phase, lendable_us);
        account.refill_per_s = demand.refill_per_s;
        let (index, loan) = entry(&mut account.loans, reporter.vm, || Loan {
            incarnation: reporter.incarnation,
            report_us: 0,
            wanted_share: 0.0,
            demand_end_us: 0,
            grants: Vec::new(),
            beyond_inherited: 0.0,
        });
        match reporter.incarnation.cmp(&loan.incarnation) {
            std::cmp::Ordering::Less => return None,
            std::cmp::Ordering::Equal if reporter.report_us <= loan.report_us => return None,
            std::cmp::Ordering::Equal => loan.confirm(demand),
            // The process that held the loan has ended; the new one starts with an empty bucket.
            std::cmp::Ordering::Greater => {
                loan.incarnation = reporter.incarnation;
                loan.grants.clear();
            }
        }
        loan.report_us = reporter.report_us;
        loan.wanted_share = demand.wanted_share.min(1.0);
        loan.demand_end_us = now_us + LOAN_US;
        if phase == Phase::Inheriting {
            // The share that the node reports is a loan of a predecessor or of this leader; it is part
            // of the ceiling either way.
            renew(now_us, reporter, loan, demand);
        }
        let unlent = account.unlent(phase);
        account.pool_tokens = (account.pool_tokens + demand.returned_burst_share).min(unlent);
        let mut grant = decide(account, index, demand.wanted_burst_share, unlent);
        if phase == Phase::Inheriting {
            // What the node holds, or was lent beyond the inherited share, counts as lent already. The
            // bound of its grants does not: a delayed report may have renewed a loan that has ended.
            let loan = &mut account.loans[index];
            let counted = loan.beyond_inherited.max(demand.held_share.min(1.0));
            // A reduction would be of use to nobody until the loans of predecessors have ended.
            grant.share = grant.share.max(demand.held_share.min(1.0)).min(counted + unlent);
            let raise = (grant.share - counted).max(0.0);
            loan.beyond_inherited += raise;
            account.lent_beyond_inherited += raise;
        }
        account.pool_tokens -= grant.initial_burst_share;
        let end_us = now_us + LOAN_US + CLOCK_MARGIN_US;
        let sent = SentGrant { report_us: reporter.report_us, share: grant.share, end_us };
        account.loans[index].push(sent);
        account.pool_tokens = account.pool_tokens.min(account.unlent(phase));
        if let Some(ceiling) = account.changed_ceiling(phase) {
            self.changed_ceilings.insert(Arc::from(name), ceiling);
        }
        Some(grant)
    }

    fn phase(&self, now_us: u64) -> Phase {
        if now_us < self.lendable_us { Phase::Inheriting } else { Phase::Regular }
    }

    /// Returns all accounts with their holders.
    pub fn loans(&self) -> impl Iterator<Item = AccountLoans> {
        self.accounts.iter().map(|(name, account)| AccountLoans {
            account: Arc::clone(name),
            pool_tokens: account.pool_tokens,
            shares: account.loans.iter().map(|(vm, loan)| (Arc::clone(vm), loan.bound())).collect(),
        })
    }

    /// Returns the tokens in the pool of an account that the lender knows nothing of: all at the first
    /// leader and for an account of which nothing was lent, and otherwise what has been refilled since
    /// the loans of the predecessors ended.
    fn initial_pool(&self, now_us: u64, inherited: f64, refill_per_s: f64) -> f64 {
        match self.history {
            LeaderHistory::Successor if inherited > 0.0 => {
                let elapsed_us = now_us.saturating_sub(self.lendable_us);
                (refill_per_s * elapsed_us as f64 / US_PER_S as f64).min(1.0)
            }
            LeaderHistory::First | LeaderHistory::Successor => 1.0,
        }
    }

    /// Forgets accounts that have no loans and a full pool.
    fn sweep_if_due(&mut self, now_us: u64) {
        if now_us.saturating_sub(self.swept_us) < SWEEP_INTERVAL_US {
            return;
        }
        self.swept_us = now_us;
        let (phase, lendable_us) = (self.phase(now_us), self.lendable_us);
        if now_us.saturating_sub(self.lendable_us) >= FORGOTTEN_US {
            for (name, _) in self.inherited.drain(..) {
                if !self.accounts.contains_key(&name) {
                    self.changed_ceilings.insert(name, 0.0);
                }
            }
        }
        let (changed_ceilings, inherited) = (&mut self.changed_ceilings, &mut self.inherited);
        self.accounts.retain(|name, account| {
            account.advance(now_us, phase, lendable_us);
            let is_kept = phase == Phase::Inheriting
                || !account.loans.is_empty()
                || account.pool_tokens < FULL_POOL;
            if !is_kept {
                changed_ceilings.insert(Arc::clone(name), 0.0);
                inherited.swap_remove(name);
            }
            is_kept
        });
    }
}

/// Returns the entry of a name and its index. Allocates only for a new one.
fn entry<'a, T>(
    map: &'a mut IndexMap<Arc<str>, T>,
    name: &str,
    create: impl FnOnce() -> T,
) -> (usize, &'a mut T) {
    let index = match map.get_index_of(name) {
        Some(index) => index,
        None => map.insert_full(Arc::from(name), create()).0,
    };
    (index, &mut map[index])
}

/// Records the share that a node reports as held while loans of predecessors may be in use. The node
/// ignores a grant that renews it if its loan has ended meanwhile.
fn renew(now_us: u64, reporter: Reporter<'_>, loan: &mut Loan, demand: &ShareDemand) {
    let share = demand.held_share.min(1.0);
    let end_us = now_us + LOAN_US + CLOCK_MARGIN_US;
    loan.push(SentGrant { report_us: reporter.report_us, share, end_us });
}

/// Returns the grant of a node from the wanted shares of all and from what is not lent.
fn decide(account: &Account, index: usize, wanted_burst_share: f64, unlent: f64) -> Grant {
    let wanted_share = account.loans[index].wanted_share;
    let bound = account.loans[index].bound();
    let target = account.target(wanted_share);
    if target <= bound {
        let is_calm = account.wanted_sum() <= CALM_SUM;
        let kept_part = if is_calm { KEPT_PART } else { 1.0 - MIN_REDUCTION };
        let is_small = bound - target <= SURPLUS_SHARE;
        let is_kept = wanted_share > 0.0 && is_small && target >= bound * kept_part;
        let share = if is_kept { bound } else { target };
        let initial_burst_share = wanted_burst_share.min(account.pool_tokens).clamp(0.0, 1.0);
        return Grant { share, initial_burst_share };
    }
    let raise = (target - bound).min(unlent);
    // A node that has tokens left gets none, since those beyond its share would be lost.
    let wanted_tokens = match wanted_burst_share > 0.0 {
        true => raise.max(wanted_burst_share),
        false => 0.0,
    };
    let initial_burst_share = wanted_tokens.min(account.pool_tokens).clamp(0.0, 1.0);
    Grant { share: bound + raise, initial_burst_share }
}

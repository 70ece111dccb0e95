//! Metrics and log lines of load balancing: calls that go to other data centres, and choices by the
//! age of the report behind them.

use std::sync::{Arc, Mutex, PoisonError};

use indexmap::IndexSet;
use model::ServiceName;
use policy::US_PER_S;
use policy::estimated_load::CrossingCause;
use slog::{Logger, info};

use crate::endpoints::ChosenVm;
use crate::metrics::Metrics;

/// Time for which a service and cause are logged once, in microseconds.
const PERIOD_US: u64 = 10 * US_PER_S;
/// Maximum number of lines in a period.
const MAX_LINES: usize = 32;

#[derive(Debug, Default)]
struct Period {
    started_us: u64,
    logged: IndexSet<(ServiceName, &'static str)>,
}

/// Counts and logs what load balancing decides.
pub(crate) struct BalancingMonitor {
    log: Logger,
    metrics: Arc<Metrics>,
    period: Mutex<Period>,
}

impl BalancingMonitor {
    pub(crate) fn new(log: Logger, metrics: Arc<Metrics>) -> Self {
        Self { log, metrics, period: Mutex::default() }
    }

    /// Records the choice of a VM by estimated load.
    pub(crate) fn record_choice(&self, now_us: u64, service: &ServiceName, chosen: &ChosenVm) {
        match chosen.report_age_us {
            Some(age_us) => {
                self.metrics.choice_report_age.observe(age_us as f64 / US_PER_S as f64);
            }
            None => self.metrics.choices_without_report.inc(),
        }
        let Some(cause) = chosen.crossing else { return };
        let (counter, name) = match cause {
            CrossingCause::Full => (&self.metrics.crossed_full, "full"),
            CrossingCause::Failing => (&self.metrics.crossed_failing, "failing"),
            CrossingCause::NoVm => (&self.metrics.crossed_no_vm, "no-vm"),
        };
        counter.inc();
        if self.is_first(now_us, service, name) {
            info!(self.log, "call-crossed"; "service" => %service, "vm" => %chosen.vm,
                "cause" => name);
        }
    }

    /// Records that a call was refused while a VM that was not asked was expected to have room.
    pub(crate) fn record_refused_with_room(&self, now_us: u64, service: &ServiceName) {
        self.metrics.refused_with_room.inc();
        if self.is_first(now_us, service, "refused-with-room") {
            info!(self.log, "call-refused-with-room"; "service" => %service);
        }
    }

    /// Returns whether this is the first event of a service and kind in the period.
    fn is_first(&self, now_us: u64, service: &ServiceName, name: &'static str) -> bool {
        let mut period = self.period.lock().unwrap_or_else(PoisonError::into_inner);
        if now_us.saturating_sub(period.started_us) >= PERIOD_US {
            *period = Period { started_us: now_us, logged: IndexSet::new() };
        }
        period.logged.len() < MAX_LINES && period.logged.insert((service.clone(), name))
    }
}

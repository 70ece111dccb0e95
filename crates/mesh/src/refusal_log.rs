//! Log of refused notifications: one line for each writer and period.

use std::net::IpAddr;
use std::sync::{Mutex, PoisonError};

use indexmap::IndexSet;
use policy::US_PER_S;

/// Time for which a writer is logged once, in microseconds.
const PERIOD_US: u64 = 10 * US_PER_S;
/// Maximum number of writers logged in a period.
const MAX_WRITERS: usize = 16;

/// Writer of a notification: its address, and the id under which it reports.
type Writer = (IpAddr, String);

#[derive(Debug, Default)]
struct Period {
    started_us: u64,
    writers: IndexSet<Writer>,
}

/// Writers whose refused notifications were logged in the current period.
#[derive(Debug, Default)]
pub(crate) struct RefusalLog {
    period: Mutex<Period>,
}

impl RefusalLog {
    /// Returns whether a refused notification of this writer is to be logged.
    pub(crate) fn admits(&self, now_us: u64, address: IpAddr, instance_id: &str) -> bool {
        let mut period = self.period.lock().unwrap_or_else(PoisonError::into_inner);
        if now_us.saturating_sub(period.started_us) >= PERIOD_US {
            *period = Period { started_us: now_us, writers: IndexSet::new() };
        }
        if period.writers.len() >= MAX_WRITERS {
            return false;
        }
        period.writers.insert((address, instance_id.to_owned()))
    }
}

//! Callers that read and buy all the time.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use ctl::{CtlError, OperatorClient};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::SoakSettings;
use super::judge::{Ending, Ledger};
use crate::caller::Caller;
use crate::cluster::{Cluster, ClusterError};

/// Share of purchases among the requests.
const PURCHASE_SHARE: f64 = 0.5;
/// Times that a purchase without a certain answer is sent, as a caller who wants to know does.
const MAX_SENDS: usize = 3;
const PAUSE: Duration = Duration::from_millis(15);

/// Pause between two changes of an operator, in milliseconds.
const CHANGE_PAUSE_MS: std::ops::Range<u64> = 200..1_500;

/// Running callers and an operator.
pub(super) struct Traffic {
    stop: Arc<AtomicBool>,
    callers: Vec<JoinHandle<Ledger>>,
    operator: JoinHandle<u64>,
}

impl Traffic {
    pub(super) fn start(cluster: &Cluster, settings: SoakSettings) -> Result<Self, ClusterError> {
        let stop = Arc::new(AtomicBool::new(false));
        let start = |number: usize| {
            let caller = SoakCaller {
                number,
                rng: StdRng::seed_from_u64(settings.seed.wrapping_add(1 + number as u64)),
                // Connections are kept open while their node is there.
                caller: Caller::new(),
                entries: cluster.entries(),
                read_path: cluster.deployment.read_path,
                charge_path: cluster.deployment.charge_path,
            };
            let stop = Arc::clone(&stop);
            thread::spawn(move || caller.run(&stop))
        };
        let callers = (0..settings.callers).map(start).collect();
        let operator = SoakOperator {
            rng: StdRng::seed_from_u64(settings.seed),
            client: cluster.operator()?,
            profile: cluster.deployment.front().profile,
        };
        let operator_stop = Arc::clone(&stop);
        let operator = thread::spawn(move || operator.run(&operator_stop));
        Ok(Self { stop, callers, operator })
    }

    /// Stops the callers after their last request and the operator after the last change.
    ///
    /// # Panics
    ///
    /// Panics if a caller did.
    pub(super) fn stop(self) -> Ledger {
        self.stop.store(true, Ordering::Relaxed);
        let mut ledger = Ledger::default();
        for caller in self.callers {
            ledger.merge(caller.join().expect("a caller does not panic"));
        }
        ledger.accepted_version = self.operator.join().expect("an operator does not panic");
        ledger
    }
}

/// Changes the front's profile again and again.
struct SoakOperator {
    rng: StdRng,
    client: OperatorClient,
    profile: &'static str,
}

impl SoakOperator {
    /// Returns the newest version that was called accepted.
    fn run(mut self, stop: &AtomicBool) -> u64 {
        let mut accepted = 0;
        while !stop.load(Ordering::Relaxed) {
            thread::sleep(Duration::from_millis(self.rng.random_range(CHANGE_PAUSE_MS)));
            // Without a replica in reach there is nothing to build on.
            let Ok(Some(record)) = self.client.get(self.profile) else { continue };
            let text = format!("{}\n# After {}.\n", record.text.trim_end(), record.version);
            let result = self.client.apply(self.profile, record.version, &text);
            if let Ok(version) | Err(CtlError::Pending(_, version, _)) = result {
                accepted = version.max(accepted);
            }
        }
        accepted
    }
}

struct SoakCaller {
    number: usize,
    rng: StdRng,
    caller: Caller,
    entries: Vec<SocketAddr>,
    read_path: &'static str,
    charge_path: &'static str,
}

impl SoakCaller {
    fn run(mut self, stop: &AtomicBool) -> Ledger {
        let mut ledger = Ledger::default();
        for count in 0.. {
            if stop.load(Ordering::Relaxed) {
                break;
            }
            if self.rng.random_bool(PURCHASE_SHARE) {
                let tag = format!("soak-{}-{count}", self.number);
                let endings = self.buy(&tag);
                ledger.purchases.insert(tag, endings);
            } else {
                let entry = self.entry();
                ledger.reads.push(Ending::new(&self.caller.get(entry, self.read_path)));
            }
            thread::sleep(PAUSE);
        }
        ledger
    }

    fn buy(&mut self, tag: &str) -> Vec<Ending> {
        let mut endings = Vec::new();
        while endings.len() < MAX_SENDS && !endings.contains(&Ending::Served) {
            let entry = self.entry();
            endings.push(Ending::new(&self.caller.charge(entry, self.charge_path, tag)));
        }
        endings
    }

    fn entry(&mut self) -> SocketAddr {
        self.entries[self.rng.random_range(0..self.entries.len())]
    }
}

//! Callers that continuously send reads and purchases, and an operator that changes a profile.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use ctl::{CtlError, OperatorClient};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::SoakSettings;
use super::checker::{CallResult, TrafficRecord};
use crate::caller::Caller;
use crate::cluster::{Cluster, ClusterError};

/// Share of purchases among the requests.
const PURCHASE_SHARE: f64 = 0.5;
/// Maximum number of attempts of a purchase that is not served.
const MAX_ATTEMPTS: usize = 3;
const REQUEST_DELAY: Duration = Duration::from_millis(15);

/// Interval between two changes of the operator, in milliseconds.
const CHANGE_INTERVAL_MS: std::ops::Range<u64> = 200..1_500;

/// Threads of the callers and of the operator.
pub(super) struct Traffic {
    stop: Arc<AtomicBool>,
    callers: Vec<JoinHandle<TrafficRecord>>,
    operator: JoinHandle<u64>,
}

impl Traffic {
    pub(super) fn start(cluster: &Cluster, settings: SoakSettings) -> Result<Self, ClusterError> {
        let stop = Arc::new(AtomicBool::new(false));
        let start = |caller_number: usize| {
            let caller = SoakCaller {
                caller_number,
                rng: StdRng::seed_from_u64(settings.seed.wrapping_add(1 + caller_number as u64)),
                // Not shared, so that each thread has connections of its own, which stay open until
                // the node at the other end stops.
                caller: Caller::new(),
                entry_addresses: cluster.entry_addresses(),
                read_path: cluster.deployment.read_path,
                purchase_path: cluster.deployment.purchase_path,
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

    /// Stops the callers and the operator after their current request or change, and returns the
    /// results.
    ///
    /// # Panics
    ///
    /// Panics if a caller or the operator panicked.
    pub(super) fn stop(self) -> TrafficRecord {
        self.stop.store(true, Ordering::Relaxed);
        let mut traffic_record = TrafficRecord::default();
        for caller in self.callers {
            traffic_record.merge(caller.join().expect("a caller does not panic"));
        }
        traffic_record.accepted_version = self.operator.join().expect("an operator does not panic");
        traffic_record
    }
}

/// Operator that changes the front service's profile repeatedly.
struct SoakOperator {
    rng: StdRng,
    client: OperatorClient,
    profile: &'static str,
}

impl SoakOperator {
    /// Returns the newest version that was reported as accepted.
    fn run(mut self, stop: &AtomicBool) -> u64 {
        let mut accepted_version = 0;
        while !stop.load(Ordering::Relaxed) {
            thread::sleep(Duration::from_millis(self.rng.random_range(CHANGE_INTERVAL_MS)));
            // Without a reachable replica, the base version of the change is unknown.
            let Ok(Some(record)) = self.client.get(self.profile) else { continue };
            let text = format!("{}\n# After {}.\n", record.text.trim_end(), record.version);
            let result = self.client.apply(self.profile, record.version, &text);
            if let Ok(version) | Err(CtlError::Pending(_, version, _)) = result {
                accepted_version = version.max(accepted_version);
            }
        }
        accepted_version
    }
}

struct SoakCaller {
    caller_number: usize,
    rng: StdRng,
    caller: Caller,
    entry_addresses: Vec<SocketAddr>,
    read_path: &'static str,
    purchase_path: &'static str,
}

impl SoakCaller {
    fn run(mut self, stop: &AtomicBool) -> TrafficRecord {
        let mut traffic_record = TrafficRecord::default();
        for request_number in 0.. {
            if stop.load(Ordering::Relaxed) {
                break;
            }
            if self.rng.random_bool(PURCHASE_SHARE) {
                let tag = format!("soak-{}-{request_number}", self.caller_number);
                let results = self.purchase_with_retries(&tag);
                traffic_record.purchases.insert(tag, results);
            } else {
                let entry_address = self.random_entry_address();
                traffic_record
                    .reads
                    .push(CallResult::new(&self.caller.get(entry_address, self.read_path)));
            }
            thread::sleep(REQUEST_DELAY);
        }
        traffic_record
    }

    fn purchase_with_retries(&mut self, tag: &str) -> Vec<CallResult> {
        let mut results = Vec::new();
        while results.len() < MAX_ATTEMPTS && !results.contains(&CallResult::Served) {
            let entry_address = self.random_entry_address();
            results.push(CallResult::new(&self.caller.purchase(
                entry_address,
                self.purchase_path,
                tag,
            )));
        }
        results
    }

    fn random_entry_address(&mut self) -> SocketAddr {
        self.entry_addresses[self.rng.random_range(0..self.entry_addresses.len())]
    }
}

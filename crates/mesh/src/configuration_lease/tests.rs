//! The lease on the active configuration, with a clock that the test sets.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use indexmap::IndexSet;
use model::{CallerLimits, Configuration};
use policy::US_PER_MS;
use slog::{Discard, Logger, o};

use super::{BootTime, ConfigurationLease, LeaseWatch};
use crate::configuration_holder::ConfigurationHolder;
use crate::metrics::Metrics;

const MAX_AGE_MS: u64 = 5_000;
/// Time of a [`TestClock`] that the system does not provide.
const NO_CLOCK: u64 = u64::MAX;

#[derive(Clone)]
struct TestClock(Arc<AtomicU64>);

impl BootTime for TestClock {
    fn now_us(&self) -> Option<u64> {
        Some(self.0.load(Ordering::Relaxed)).filter(|now_us| *now_us != NO_CLOCK)
    }
}

impl TestClock {
    fn set_ms(&self, now_ms: u64) {
        self.0.store(now_ms * US_PER_MS, Ordering::Relaxed);
    }
}

struct Setup {
    lease: ConfigurationLease<TestClock>,
    clock: TestClock,
    configuration: Arc<ConfigurationHolder>,
}

fn setup(max_age_ms: Option<u64>) -> Setup {
    let log = Logger::root(Discard, o!());
    let clock = TestClock(Arc::new(AtomicU64::new(1_000 * US_PER_MS)));
    let configuration = Arc::new(ConfigurationHolder::new(log.clone()));
    let metrics = Arc::new(Metrics::new().expect("the metrics are registered"));
    let holder = Arc::clone(&configuration);
    let lease = ConfigurationLease::new(log, clock.clone(), max_age_ms, holder, metrics);
    Setup { lease, clock, configuration }
}

fn without_accounts(version: u64) -> Configuration {
    Configuration::new(version, IndexSet::new(), Vec::new(), CallerLimits::default())
        .expect("the configuration is valid")
}

fn with_accounts(version: u64) -> Configuration {
    without_accounts(version).with_client_accounts(Vec::new()).expect("there is no account")
}

fn proof(stamp_us: u64, version: u64) -> rpc::FreshnessProof {
    rpc::FreshnessProof { report_created_boot_us: stamp_us, configuration_version: version }
}

/// Guards against a cost or a refusal in deployments whose settings ask for no proof.
#[test]
fn no_proof_is_asked_for_unless_the_settings_require_it() {
    let setup = setup(None);
    setup.configuration.apply(with_accounts(1));
    assert_eq!(setup.lease.stamp(), None);
    assert!(setup.lease.is_valid());
}

/// Guards against log entries on the leader for nodes that check no keys.
#[test]
fn no_proof_is_asked_for_without_client_accounts() {
    let setup = setup(Some(MAX_AGE_MS));
    assert_eq!(setup.lease.stamp(), None, "no configuration");
    setup.configuration.apply(without_accounts(1));
    assert_eq!(setup.lease.stamp(), None, "no client accounts");
    assert!(setup.lease.admits_key(&without_accounts(1)));
}

/// Guards against keyed requests at a restarted node before its first proof.
#[test]
fn keys_are_admitted_only_after_a_proof() {
    let setup = setup(Some(MAX_AGE_MS));
    setup.configuration.apply(with_accounts(7));
    let stamp_us = setup.lease.stamp().expect("the node asks");
    assert!(!setup.lease.is_valid());
    assert!(!setup.lease.admits_key(&with_accounts(7)));
    setup.lease.record_proof(&proof(stamp_us, 7));
    assert!(setup.lease.is_valid());
    assert!(setup.lease.admits_key(&with_accounts(7)));
    setup.clock.set_ms(5_900);
    assert!(!setup.lease.admits_key(&with_accounts(7)));
    assert_eq!(setup.lease.metrics.refused_unproven.get(), 2);
}

/// Guards against a request that is judged by an old configuration and a proof of the new one, both
/// of which arrived while the thread of the request was suspended.
#[test]
fn proof_of_a_new_configuration_does_not_admit_by_the_old_one() {
    let setup = setup(Some(MAX_AGE_MS));
    setup.configuration.apply(with_accounts(7));
    let loaded = setup.configuration.load().expect("there is a configuration");
    setup.clock.set_ms(20_000);
    setup.configuration.apply(with_accounts(8));
    let stamp_us = setup.lease.stamp().expect("the node asks");
    setup.lease.record_proof(&proof(stamp_us, 8));
    assert!(setup.lease.is_valid());
    assert!(!setup.lease.admits_key(&loaded.configuration));
}

/// Guards against a proof that answers a report of an earlier process on the VM.
#[test]
fn proof_for_an_earlier_process_is_ignored() {
    let setup = setup(Some(MAX_AGE_MS));
    setup.configuration.apply(with_accounts(7));
    let stamp_us = setup.lease.stamp().expect("the node asks");
    setup.lease.record_proof(&proof(stamp_us - 1, 7));
    assert!(!setup.lease.is_valid(), "stamp before the process");
    setup.lease.record_proof(&proof(stamp_us + 1, 7));
    assert!(!setup.lease.is_valid(), "stamp that was not taken");
}

/// Guards against keyed requests on a machine without the clock that the proof relies on.
#[test]
fn keys_are_refused_without_a_boot_clock() {
    let setup = setup(Some(MAX_AGE_MS));
    setup.configuration.apply(with_accounts(7));
    let stamp_us = setup.lease.stamp().expect("the node asks");
    setup.lease.record_proof(&proof(stamp_us, 7));
    setup.clock.0.store(NO_CLOCK, Ordering::Relaxed);
    assert_eq!(setup.lease.stamp(), None);
    assert!(!setup.lease.is_valid());
}

/// Guards against an age that stands still while the node is cut off.
#[test]
fn age_of_the_proof_grows_without_messages() {
    let setup = setup(Some(MAX_AGE_MS));
    let mut watch = LeaseWatch::default();
    let age_ms = |setup: &Setup| setup.lease.metrics.configuration_proof_age_ms.get();
    setup.lease.observe(&mut watch);
    assert!(watch.is_valid, "a node that checks no keys needs no lease");
    setup.configuration.apply(with_accounts(7));
    setup.lease.observe(&mut watch);
    assert_eq!((watch.is_valid, age_ms(&setup)), (false, -1));
    let stamp_us = setup.lease.stamp().expect("the node asks");
    setup.lease.record_proof(&proof(stamp_us, 7));
    setup.lease.observe(&mut watch);
    assert_eq!((watch.is_valid, age_ms(&setup)), (true, 0));
    setup.clock.set_ms(9_000);
    setup.lease.observe(&mut watch);
    assert_eq!((watch.is_valid, age_ms(&setup)), (false, 8_000));
}

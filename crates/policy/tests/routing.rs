//! Tests of endpoint choice, ejection, quarantine and shed levels.

use model::{DataCentreName, RouteName, VmName};
use policy::quarantine::{ProcessId, Quarantine, QuarantineStatus, RunMode};
use policy::routing::{AttemptResult, EndpointState, ReportedLoad, Router};
use policy::shed::{ArrivalResult, LevelController, ReportedLevel, priority};
use proptest::prelude::*;

const S: u64 = 1_000_000;

fn vm(name: &str) -> VmName {
    VmName::new(name).expect("the name is valid")
}

fn route() -> RouteName {
    RouteName::new("read").expect("the name is valid")
}

/// Returns a router in data centre `a` with these VMs. The first letter of a VM is its data centre.
fn router(vms: &[&str]) -> Router {
    let data_centre = |name: &str| DataCentreName::new(&name[..1]).expect("the name is valid");
    let mut router = Router::new(data_centre("a"));
    for name in vms {
        router.upsert(&vm(name), &data_centre(name), EndpointState::Serving);
    }
    router
}

fn fail(router: &mut Router, now_us: u64, name: &str, times: u32) {
    for _ in 0..times {
        router.finish(now_us, &vm(name), &route(), AttemptResult::Failed);
    }
}

fn report(router: &mut Router, now_us: u64, name: &str, in_flight: u32) {
    router.report(now_us, &vm(name), ReportedLoad { in_flight, limit: 10, queued: 0 });
}

#[test]
fn own_data_centre_is_preferred() {
    let mut router = router(&["a1", "b1", "c1"]);
    for random in 0..50 {
        assert_eq!(router.choose(S, &[], random), Some(vm("a1")));
        router.finish(S, &vm("a1"), &route(), AttemptResult::Answered { latency_us: 1 });
    }
}

#[test]
fn full_own_data_centre_spills_over_to_another() {
    let mut router = router(&["a1", "b1"]);
    report(&mut router, S, "a1", 10);
    report(&mut router, S, "b1", 1);
    assert_eq!(router.choose(S, &[], 7), Some(vm("b1")));
}

#[test]
fn expired_load_report_causes_no_spillover() {
    let mut router = router(&["a1", "b1"]);
    report(&mut router, S, "a1", 10);
    assert_eq!(router.choose(5 * S, &[], 7), Some(vm("a1")));
}

#[test]
fn leaving_endpoint_is_not_chosen() {
    let mut router = router(&["a1", "b1"]);
    router.mark_leaving(S, &vm("a1"));
    assert_eq!(router.choose(S, &[], 7), Some(vm("b1")));
    router.mark_leaving(S, &vm("b1"));
    assert_eq!(router.choose(S, &[], 7), None);
}

#[test]
fn leaving_mark_of_endpoint_expires() {
    let mut router = router(&["a1"]);
    router.mark_leaving(S, &vm("a1"));
    assert_eq!(router.choose(4 * S, &[], 7), None);
    assert_eq!(router.choose(7 * S, &[], 7), Some(vm("a1")));
}

#[test]
fn failing_endpoint_is_ejected_then_probed_by_one_call() {
    let mut router = router(&["a1", "a2", "a3"]);
    fail(&mut router, S, "a1", 3);
    for random in 0..50 {
        assert_ne!(router.choose(S, &[], random), Some(vm("a1")));
    }
    let later_us = S + 600_000;
    assert_eq!(router.choose(later_us, &[], 1), Some(vm("a1")));
    assert_ne!(router.choose(later_us, &[], 1), Some(vm("a1")), "one probe at a time");
    router.finish(later_us, &vm("a1"), &route(), AttemptResult::Answered { latency_us: 1 });
    let chosen = (0..50).any(|random| router.choose(later_us, &[], random) == Some(vm("a1")));
    assert!(chosen, "an answered probe ends the ejection");
}

#[test]
fn faster_endpoint_requires_answer_on_same_route() {
    let mut router = router(&["a1", "a2"]);
    let other = RouteName::new("upload").expect("the name is valid");
    let answered = AttemptResult::Answered { latency_us: 1_000 };
    router.finish(2 * S, &vm("a2"), &other, answered);
    assert!(!router.has_faster_endpoint(&[vm("a1")], &route(), S));
    router.finish(2 * S, &vm("a2"), &route(), answered);
    assert!(router.has_faster_endpoint(&[vm("a1")], &route(), S));
    assert!(!router.has_faster_endpoint(&[vm("a1")], &route(), 3 * S));
    assert!(!router.has_faster_endpoint(&[vm("a1"), vm("a2")], &route(), S));
}

proptest! {
    /// After any failures at one point in time, a call that has tried no endpoint gets one. The
    /// limit on ejections, half of the endpoints, is not checked here.
    #[test]
    fn an_endpoint_is_chosen_after_any_failures(
        failures in prop::collection::vec((0usize..6, 1u32..6), 0..60),
        random: u64,
    ) {
        let names = ["a1", "a2", "b1", "b2", "c1", "c2"];
        let mut router = router(&names);
        for (index, times) in failures {
            fail(&mut router, S, names[index], times);
        }
        prop_assert!(router.choose(S, &[], random).is_some());
        let mut chosen = std::collections::BTreeSet::new();
        for random in 0..500u64 {
            let random = random.wrapping_mul(0x9E37_79B9_7F4A_7C15);
            if let Some(vm) = router.choose(S, &[], random) {
                router.finish(S, &vm, &route(), AttemptResult::Cancelled);
                chosen.insert(vm);
            }
            let Some(first) = router.choose(S, &[vm("a1"), vm("a2")], random) else { continue };
            router.finish(S, &first, &route(), AttemptResult::Cancelled);
            chosen.insert(first);
        }
        prop_assert!(!chosen.is_empty());
    }
}

fn process(name: &str, incarnation: u64) -> ProcessId {
    ProcessId { vm: name.to_owned(), incarnation }
}

#[test]
fn death_in_isolation_quarantines_suspect() {
    let mut quarantine = Quarantine::new();
    assert_eq!(quarantine.status(7), QuarantineStatus::Clear);
    quarantine.record_death(S, &process("a1", 1), 7, RunMode::Shared);
    assert_eq!(quarantine.status(7), QuarantineStatus::Suspect);
    quarantine.record_death(S, &process("a1", 1), 7, RunMode::Isolated);
    assert_eq!(
        quarantine.status(7),
        QuarantineStatus::Suspect,
        "a repeated report of one death has no effect"
    );
    quarantine.record_death(S, &process("a1", 2), 7, RunMode::Isolated);
    assert_eq!(quarantine.status(7), QuarantineStatus::Quarantined);
    quarantine.clear(S, 7);
    assert_eq!(quarantine.status(7), QuarantineStatus::Quarantined, "a quarantine is not cleared");
}

#[test]
fn request_in_many_shared_deaths_stays_suspect() {
    let mut quarantine = Quarantine::new();
    for incarnation in 0..20 {
        quarantine.record_death(S, &process("a1", incarnation), 7, RunMode::Shared);
    }
    assert_eq!(quarantine.status(7), QuarantineStatus::Suspect);
    quarantine.clear(S, 7);
    assert_eq!(quarantine.status(7), QuarantineStatus::Clear);
}

#[test]
fn quarantine_records_expire_and_are_bounded() {
    let mut quarantine = Quarantine::new();
    for digest in 0..20_000 {
        quarantine.record_death(S, &process("a1", 1), digest, RunMode::Shared);
    }
    assert!(quarantine.len() <= 10_000);
    quarantine.record_death(700 * S, &process("a1", 2), 1, RunMode::Shared);
    assert_eq!(quarantine.len(), 1);
}

#[test]
fn shed_level_rises_with_refusals_and_falls_without() {
    let mut levels = LevelController::new();
    let mut now_us = S;
    for window in 0..10 {
        for id in 0..640u32 {
            let request_priority = priority(model::Class::SheddablePlus, id);
            let result = if request_priority < levels.level(now_us) {
                ArrivalResult::Refused
            } else {
                ArrivalResult::Admitted
            };
            let is_overloaded = window < 5 && id % 2 == 0;
            levels.record(
                now_us,
                request_priority,
                if is_overloaded { ArrivalResult::Refused } else { result },
            );
        }
        now_us += 100_000;
        if window == 1 {
            assert!(levels.level(now_us) > priority(model::Class::SheddablePlus, 0));
            assert!(levels.level(now_us) < priority(model::Class::Critical, 0));
        }
    }
    for _ in 0..40 {
        now_us += 100_000;
        levels.level(now_us);
    }
    assert_eq!(levels.level(now_us), 0);
}

#[test]
fn reported_level_expires() {
    let mut reported = ReportedLevel::default();
    reported.record(S, 100);
    assert!(reported.is_refused(S, 99));
    assert!(!reported.is_refused(S, 100));
    assert!(!reported.is_refused(3 * S, 99));
}

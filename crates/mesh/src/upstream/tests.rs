//! Tests of the order of status reports.

use std::time::Duration;

use assert_matches::assert_matches;
use model::ServiceName;

use super::{ReportEffect, UpstreamState};
use crate::protocol_adapter::{UpstreamPhase, UpstreamReport};

const S: u64 = policy::US_PER_S;

fn report(id: &str, started_unix_ms: u64, sequence: u64) -> UpstreamReport {
    UpstreamReport {
        instance_id: id.into(),
        started_unix_ms: Some(started_unix_ms),
        sequence,
        address: "127.0.0.1:8301".parse().unwrap(),
        service: ServiceName::new("books").unwrap(),
        slots: 20,
        phase: UpstreamPhase::Serving,
        cold_remaining: Duration::ZERO,
    }
}

fn draining(report: UpstreamReport) -> UpstreamReport {
    UpstreamReport { phase: UpstreamPhase::Draining, ..report }
}

macro_rules! second_reports {
    ($($name:ident: $second:expr, after $delay_s:literal s => $effect:ident;)*) => {
        $(
            #[test]
            fn $name() {
                let state = UpstreamState::new();
                state.record_report(S, report("i-1", 1_000, 5));
                assert_matches!(state.record_report(S + $delay_s * S, $second), ReportEffect::$effect);
            }
        )*
    };
}

second_reports! {
    later_report_is_taken: report("i-1", 1_000, 6), after 1 s => Unchanged;
    doubled_report_is_outdated: report("i-1", 1_000, 5), after 1 s => Outdated;
    report_that_arrives_late_is_outdated: report("i-1", 1_000, 4), after 9 s => Outdated;
    older_report_is_taken_once_newer_ones_fail_to_come:
        report("i-1", 1_000, 4), after 10 s => Unchanged;
    report_of_an_earlier_process_is_outdated:
        report("i-0", 900, 90), after 9 s => Outdated;
    report_of_an_earlier_process_is_taken_once_later_ones_fail_to_come:
        report("i-0", 900, 90), after 10 s => NewProcess;
    process_under_the_same_id_is_new: report("i-1", 2_000, 0), after 1 s => NewProcess;
    process_drains_by_a_report_that_arrives_late:
        draining(report("i-1", 1_000, 4)), after 1 s => Changed;
    earlier_process_that_drains_is_outdated:
        draining(report("i-1", 900, 9)), after 1 s => Outdated;
}

#[test]
fn process_that_drains_by_a_late_report_gets_no_calls() {
    let state = UpstreamState::new();
    state.record_report(S, report("i-1", 1_000, 5));
    state.record_report(2 * S, draining(report("i-1", 1_000, 4)));
    assert_eq!(state.serving(), None);
    state.record_report(3 * S, report("i-1", 1_000, 6));
    assert_eq!(state.serving(), None, "a process that drains never returns to serving");
}

/// Guards against a leave that is dropped because the node does not know the process.
#[test]
fn process_that_left_before_the_node_knew_it_gets_no_calls() {
    let state = UpstreamState::new();
    assert!(!state.record_leave(&"i-1".into(), 1_500));
    state.record_report(S, report("i-1", 1_000, 5));
    assert_eq!(state.serving(), None);
    assert_eq!(state.departures.uncommitted().len(), 1);
}

#[test]
fn process_that_starts_after_the_leave_of_its_id_gets_calls() {
    let state = UpstreamState::new();
    state.record_leave(&"i-1".into(), 1_500);
    state.record_report(S, report("i-1", 1_501, 0));
    assert!(state.serving().is_some());
}

#[test]
fn late_leave_of_an_earlier_process_leaves_the_later_one_serving() {
    let state = UpstreamState::new();
    state.record_report(S, report("i-1", 2_000, 5));
    assert!(!state.record_leave(&"i-1".into(), 1_000));
    assert!(state.serving().is_some());
}

#[test]
fn departure_of_an_earlier_node_process_ends_calls() {
    let state = UpstreamState::new();
    state.record_report(S, report("i-1", 1_000, 5));
    let departed =
        rpc::DepartedUpstream { instance_id: "i-1".to_owned(), last_started_unix_ms: 1_000 };
    state.record_committed_departures(&[departed]);
    assert_eq!(state.serving(), None);
    assert!(state.departures.uncommitted().is_empty());
}

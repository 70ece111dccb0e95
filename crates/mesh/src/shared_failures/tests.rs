//! Tests of the headers that carry failure data.

use http::HeaderMap;

use super::*;

fn headers(value: &str) -> HeaderMap {
    let mut headers = HeaderMap::new();
    headers.insert(FAILURES, HeaderValue::from_str(value).expect("the value is valid"));
    headers
}

/// Guards against shares of other versions that would change admission.
macro_rules! share_cases {
    ($($name:ident: $value:expr => $expected:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let share = read_share(&headers($value));
                assert_eq!(share.map(|share| (share.failed_permille, share.runs)), $expected);
            }
        )*
    };
}

share_cases! {
    share_is_read: "250 8" => Some((250, 8));
    appended_fields_are_ignored: "250 8 x" => Some((250, 8));
    missing_field_is_ignored: "250" => None;
    negative_share_is_ignored: "-1 8" => None;
    share_above_one_is_ignored: "1001 8" => None;
    share_without_runs_is_ignored: "250 0" => None;
    huge_number_of_runs_is_ignored: "250 4294967295" => None;
    text_is_ignored: "nan inf" => None;
}

#[test]
fn written_share_is_read_back() {
    let mut written = HeaderMap::new();
    write_share(&mut written, FailureShare::from_message(917, 12));
    assert_eq!(read_share(&written), FailureShare::from_message(917, 12));
}

/// Guards against an answer that grants a probe to every node that asks.
#[test]
fn collector_merges_results_and_limits_probes() {
    let collector = SharedFailures::new(Clock::new(), FailureEvidence::Shared);
    let counts = RunCounts { runs: 4, failed: 3 };
    let exchange = Exchange { counts, wants_probe: true, collector_rank: 0 };
    let message = encode_exchange(7, exchange).expect("the message is valid");
    let answers = [(); 10].map(|()| read_answer(collector.handle(&message).headers()));
    let granted = answers.iter().filter(|answer| answer.is_probe_granted).count();
    assert!((1..=2).contains(&granted), "{granted} of 10 probes were granted");
    assert_eq!(answers[9].share, FailureShare::from_message(750, 40));
}

#[test]
fn malformed_message_is_rejected() {
    let collector = SharedFailures::new(Clock::new(), FailureEvidence::Shared);
    let response = collector.handle(&HeaderValue::from_static("7 x"));
    assert_eq!(response.status(), StatusCode::BAD_REQUEST);
}

/// Guards against failure data in the answers of a node whose settings do not ask for it.
#[test]
fn node_with_its_own_evidence_has_no_share_but_answers_as_collector() {
    let node = SharedFailures::new(Clock::new(), FailureEvidence::Own);
    node.record_run(7, RunCounts::of_run(true));
    assert_eq!(node.share(7), None);
    let counts = RunCounts { runs: 4, failed: 3 };
    let exchange = Exchange { counts, wants_probe: true, collector_rank: 0 };
    let message = encode_exchange(7, exchange).expect("the message is valid");
    let answer = read_answer(node.handle(&message).headers());
    assert!(answer.is_probe_granted);
    assert_eq!(answer.share, FailureShare::from_message(750, 4));
    assert_eq!(node.share(7), None);
}

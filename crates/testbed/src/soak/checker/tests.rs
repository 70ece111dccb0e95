//! Results and run counts of a purchase that do or do not violate a guarantee.

use indexmap::IndexMap;

use super::{CallResult, TrafficRecord};

#[track_caller]
fn check(results: &[CallResult], run_count: u64, is_violation: bool) {
    let mut record = TrafficRecord::default();
    record.purchases.insert("a".to_owned(), results.to_vec());
    let violations = record.violations(&IndexMap::from([("a".to_owned(), run_count)]));
    assert_eq!(!violations.is_empty(), is_violation, "{violations:?}");
}

macro_rules! cases {
    (
        $($name:ident: $results:expr, ran $run_count:literal => violation $is_violation:literal;)*
    ) => {
        $(
            #[test]
            fn $name() {
                check(&$results, $run_count, $is_violation);
            }
        )*
    };
}

cases! {
    served_with_one_run_is_valid: [CallResult::Served], ran 1 => violation false;
    served_after_a_refusal_with_one_run_is_valid:
        [CallResult::NotRun, CallResult::Served], ran 1 => violation false;
    unknown_result_with_one_run_is_valid: [CallResult::Unknown], ran 1 => violation false;
    refusal_without_a_run_is_valid: [CallResult::NotRun], ran 0 => violation false;
    two_runs_are_a_violation: [CallResult::Unknown, CallResult::Served], ran 2 => violation true;
    served_without_a_run_is_a_violation: [CallResult::Served], ran 0 => violation true;
    refusals_with_a_run_are_a_violation:
        [CallResult::NotRun, CallResult::NotRun], ran 1 => violation true;
    malformed_success_is_a_violation:
        [CallResult::Malformed("{\"path\":".to_owned())], ran 1 => violation true;
}

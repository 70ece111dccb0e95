//! Cases for the rules of the judge.

use indexmap::IndexMap;

use super::{Ending, Ledger};

#[track_caller]
fn check(endings: &[Ending], ran: u64, is_violation: bool) {
    let mut ledger = Ledger::default();
    ledger.purchases.insert("a".to_owned(), endings.to_vec());
    let violations = ledger.violations(&IndexMap::from([("a".to_owned(), ran)]));
    assert_eq!(!violations.is_empty(), is_violation, "{violations:?}");
}

macro_rules! cases {
    ($($name:ident: $endings:expr, ran $ran:literal => violation $is_violation:literal;)*) => {
        $(
            #[test]
            fn $name() {
                check(&$endings, $ran, $is_violation);
            }
        )*
    };
}

cases! {
    served_once: [Ending::Served], ran 1 => violation false;
    served_after_a_refusal: [Ending::NotRun, Ending::Served], ran 1 => violation false;
    lost_answer: [Ending::Unknown], ran 1 => violation false;
    refused: [Ending::NotRun], ran 0 => violation false;
    charged_twice: [Ending::Unknown, Ending::Served], ran 2 => violation true;
    served_without_a_run: [Ending::Served], ran 0 => violation true;
    ran_although_refused: [Ending::NotRun, Ending::NotRun], ran 1 => violation true;
    success_that_is_not_whole: [Ending::Mangled("{\"path\":".to_owned())], ran 1 => violation true;
}

//! Short soak tests: one seed, and further seeds as regression tests once they have failed.

use std::time::Duration;

use testbed::soak::{SoakSettings, run};

fn check(seed: u64) {
    let settings = SoakSettings { seed, fault_duration: Duration::from_secs(8), callers: 4 };
    let report = run(settings).expect("the soak can be run");
    assert!(report.violations.is_empty(), "{:#?}\n{:#?}", report.violations, report.faults);
    assert!(report.served * 10 > report.requests, "{} of {}", report.served, report.requests);
}

macro_rules! seeds {
    ($($name:ident: $seed:literal;)*) => {
        $(
            #[test]
            fn $name() {
                check($seed);
            }
        )*
    };
}

seeds! {
    soak_with_seed_1_violates_no_guarantee: 1;
}

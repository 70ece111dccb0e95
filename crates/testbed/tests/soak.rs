//! A short soak, and the seeds that once failed.

use std::time::Duration;

use testbed::soak::{SoakSettings, run};

fn check(seed: u64) {
    let settings = SoakSettings { seed, length: Duration::from_secs(8), callers: 4 };
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
    short_soak: 1;
}

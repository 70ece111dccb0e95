//! The table of metrics in the documentation lists exactly the counters of the code.

use std::collections::BTreeSet;

const TABLE: &str = include_str!("../../../docs/metrics.md");

#[test]
fn documented_metrics_match_counters() {
    let rows = TABLE.lines().filter_map(|line| line.strip_prefix("| `"));
    let documented: BTreeSet<&str> = rows.filter_map(|row| row.split('`').next()).collect();
    let counted: BTreeSet<&str> = node::metrics().collect();
    assert_eq!(documented, counted);
}

//! The table of metrics for operators names exactly what the code counts.

use std::collections::BTreeSet;

const TABLE: &str = include_str!("../../../docs/metrics.md");

#[test]
fn table_matches_the_code() {
    let rows = TABLE.lines().filter_map(|line| line.strip_prefix("| `"));
    let documented: BTreeSet<&str> = rows.filter_map(|row| row.split('`').next()).collect();
    let counted: BTreeSet<&str> = node::metrics().collect();
    assert_eq!(documented, counted);
}

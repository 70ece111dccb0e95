//! Checks that the operators' page lists exactly the metrics that a node exports.

const OPERATORS_PAGE: &str = include_str!("../../../docs/operators/mesh.md");

#[test]
fn documented_metrics_match_registered_metrics() {
    let names = mesh::metric_names().expect("metrics should register");
    let rows = OPERATORS_PAGE.lines().filter_map(|line| line.strip_prefix("| `"));
    let mut documented: Vec<_> = rows.filter_map(|row| row.split('`').next()).collect();
    documented.sort_unstable();
    assert_eq!(documented, names);
}

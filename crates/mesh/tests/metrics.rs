//! The operators' page lists what a node serves.

const PAGE: &str = include_str!("../../../docs/operators/mesh.md");

#[test]
fn table_matches_the_code() {
    let names = mesh::metric_names().expect("the metrics can be registered");
    let rows = PAGE.lines().filter_map(|line| line.strip_prefix("| `"));
    let mut listed: Vec<_> = rows.filter_map(|row| row.split('`').next()).collect();
    listed.sort_unstable();
    assert_eq!(listed, names);
}

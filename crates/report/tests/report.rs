//! Tests of the report made from responses of nodes.

use assert_matches::assert_matches;
use report::{NodeCounts, ReportError, parse, summarize, to_html, to_json, to_text};

const NOW_S: u64 = 1_800_000_000;

/// Parses a response with one bucket, from a node that has counted for `covered_s` seconds.
fn node(total: u64, good: u64, covered_s: u64) -> NodeCounts {
    let text = format!(
        r#"{{"covered_since_unix_s":{},"routes":[{{"service":"front","profile":"p<1>",
        "route":"read","class":"sheddable-plus","objective_percent":99.0,
        "objective_latency_ms":500,"buckets":[{{"start_unix_s":{NOW_S},"total":{total},
        "good":{good},"retries":10}}]}}]}}"#,
        NOW_S - covered_s
    );
    parse(&text).expect("the response is well-formed")
}

#[test]
fn counts_of_two_nodes_are_added_up() {
    let summary = summarize(NOW_S, &[node(100, 99, 300_000), node(100, 95, 300_000)], Vec::new());
    assert_eq!(summary.uncovered_windows, Vec::<&str>::new());
    let text = to_text(&summary);
    assert!(text.contains("burn_5m=3.00") && text.contains("requests=200 good=194"), "{text}");
    assert!(text.contains("budget_left=-200.0% attempts_per_request=1.10"), "{text}");
    assert_eq!(to_json(&summary)["routes"][0]["windows"][0]["total"], 200);
}

#[test]
fn missing_nodes_and_uncovered_windows_are_listed() {
    let missing = vec!["node 127.0.0.1:1: refused".to_owned()];
    let summary = summarize(NOW_S, &[node(1, 1, 7_200)], missing);
    let text = to_text(&summary);
    assert!(text.contains("missing node 127.0.0.1:1: refused"), "{text}");
    assert!(text.contains("window 6h is not covered") && !text.contains("window 1h is"), "{text}");
}

#[test]
fn html_page_is_self_contained_and_escapes_names() {
    let page =
        to_html(&summarize(NOW_S, &[node(10, 9, 300_000)], Vec::new())).expect("the page is drawn");
    assert!(page.contains("<svg") && page.contains("p&lt;1&gt;"));
    assert!(page.contains("<circle"), "a single bucket is visible");
    assert!(!page.contains("p<1>") && !page.contains("src="));
}

#[test]
fn malformed_response_is_an_error() {
    assert_matches!(parse("{\"routes\":5}"), Err(ReportError::Malformed(_)));
}

//! Formats the report as text and as JSON.

use std::fmt::Write;

use serde_json::{Value, json};

use crate::summary::{RouteSummary, Summary, WINDOWS};

/// Formats the report as text: a line for each route, then a line for each missing node and each
/// window that is not fully covered.
pub fn to_text(summary: &Summary) -> String {
    let mut text = String::new();
    // Writing to a `String` never fails.
    for route in &summary.routes {
        let _ = writeln!(text, "{}", route_line(route));
    }
    for missing in &summary.missing_nodes {
        let _ = writeln!(text, "missing {missing}");
    }
    for window in &summary.uncovered_windows {
        let _ = writeln!(text, "window {window} is not covered by every node");
    }
    text
}

fn route_line(route: &RouteSummary) -> String {
    let mut line = format!(
        "service={} profile={} route={} class={} objective={}%/{}ms",
        route.service,
        route.profile,
        route.route,
        route.class,
        route.objective_percent,
        route.objective_latency_ms
    );
    for (index, window) in WINDOWS.iter().enumerate() {
        let burn_rate = format_or_none(route.burn_rate(index), 2);
        let _ = write!(line, " burn_{}={burn_rate}", window.name);
    }
    let counts = route.windows[WINDOWS.len() - 1];
    let _ = write!(
        line,
        " requests={} good={} budget_left={}% attempts_per_request={}",
        counts.total,
        counts.good,
        format_or_none(route.budget_left_percent(), 1),
        format_or_none(route.attempts_per_request(), 2)
    );
    line
}

/// Formats a value with a number of decimal places, or `none` if it is absent.
pub(crate) fn format_or_none(value: Option<f64>, decimals: usize) -> String {
    value.map_or_else(|| "none".to_owned(), |value| format!("{value:.decimals$}"))
}

/// Returns the report as JSON.
pub fn to_json(summary: &Summary) -> Value {
    let routes = summary.routes.iter().map(|route| {
        let windows = WINDOWS.iter().enumerate().map(|(index, window)| {
            json!({
                "window": window.name,
                "total": route.windows[index].total,
                "good": route.windows[index].good,
                "burn_rate": route.burn_rate(index),
            })
        });
        json!({
            "service": route.service,
            "profile": route.profile,
            "route": route.route,
            "class": route.class,
            "objective_percent": route.objective_percent,
            "objective_latency_ms": route.objective_latency_ms,
            "windows": windows.collect::<Vec<_>>(),
            "budget_left_percent": route.budget_left_percent(),
            "attempts_per_request": route.attempts_per_request(),
        })
    });
    json!({
        "now_unix_s": summary.now_unix_s,
        "routes": routes.collect::<Vec<_>>(),
        "missing_nodes": summary.missing_nodes,
        "uncovered_windows": summary.uncovered_windows,
    })
}

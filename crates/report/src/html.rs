//! Formats the report as a self-contained HTML page with plots.

use std::fmt::Write;

use plotters::prelude::*;

use crate::error::ReportError;
use crate::summary::{RouteSummary, Summary, WINDOWS};
use crate::text::format_or_none;

const PLOT_SIZE_PX: (u32, u32) = (720, 200);
/// Radius of the marker at each bucket. A line alone is invisible if the series has one bucket.
const POINT_RADIUS_PX: u32 = 3;
const STYLE: &str = "body{font-family:sans-serif;margin:2em;max-width:60em}\
    table{border-collapse:collapse;margin:1em 0}td,th{border:1px solid #bbb;padding:.3em .6em;\
    text-align:right}td:first-child,th:first-child{text-align:left}.bad{color:#b00020}\
    .note{background:#fff3cd;padding:.5em}";

/// Returns the report as an HTML page.
///
/// # Errors
///
/// Returns an error if a plot cannot be drawn.
pub fn to_html(summary: &Summary) -> Result<String, ReportError> {
    let mut page = format!(
        "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">\
         <title>Service-level burn</title><style>{STYLE}</style></head><body>\
         <h1>Service-level burn</h1>\n"
    );
    // Writing to a `String` never fails.
    for missing in &summary.missing_nodes {
        let _ = writeln!(page, "<p class=\"note\">Missing: {}</p>", escape(missing));
    }
    if !summary.uncovered_windows.is_empty() {
        let windows = summary.uncovered_windows.join(", ");
        let _ = writeln!(page, "<p class=\"note\">Not covered by every node: {windows}.</p>");
    }
    page.push_str(&table(summary));
    for route in &summary.routes {
        let _ = writeln!(page, "<h2>{}</h2>", escape(&route_title(route)));
        page.push_str(&plot(route)?);
    }
    page.push_str("</body></html>\n");
    Ok(page)
}

fn route_title(route: &RouteSummary) -> String {
    format!("{} {} ({}, {})", route.service, route.route, route.class, route.profile)
}

fn table(summary: &Summary) -> String {
    let mut table = String::from("<table><tr><th>Route</th><th>Objective</th>");
    for window in WINDOWS {
        let _ = write!(table, "<th>Burn {}</th>", window.name);
    }
    table.push_str("<th>Budget left</th><th>Attempts per request</th></tr>\n");
    for route in &summary.routes {
        let _ = write!(
            table,
            "<tr><td>{}</td><td>{} % in {} ms</td>",
            escape(&route_title(route)),
            route.objective_percent,
            route.objective_latency_ms
        );
        for index in 0..WINDOWS.len() {
            let burn_rate = route.burn_rate(index);
            let class =
                if burn_rate.is_some_and(|rate| rate > 1.0) { " class=\"bad\"" } else { "" };
            let _ = write!(table, "<td{class}>{}</td>", format_or_none(burn_rate, 2));
        }
        let _ = writeln!(
            table,
            "<td>{} %</td><td>{}</td></tr>",
            format_or_none(route.budget_left_percent(), 1),
            format_or_none(route.attempts_per_request(), 2)
        );
    }
    table.push_str("</table>\n");
    table
}

/// Returns an SVG plot of the good requests and of all requests in each bucket.
fn plot(route: &RouteSummary) -> Result<String, ReportError> {
    let to_plot_error = |reason: String| ReportError::Plot(reason);
    let mut svg = String::new();
    {
        let root = SVGBackend::with_string(&mut svg, PLOT_SIZE_PX).into_drawing_area();
        root.fill(&WHITE).map_err(|e| to_plot_error(e.to_string()))?;
        let first_unix_s = route.series.buckets().next().map_or(0, |bucket| bucket.start_unix_s);
        let last_unix_s =
            route.series.buckets().last().map_or(first_unix_s, |bucket| bucket.start_unix_s);
        let max_total = route.series.buckets().map(|bucket| bucket.total).max().unwrap_or(0);
        let hours_relative_to_last =
            |at_unix_s: u64| (at_unix_s as f64 - last_unix_s as f64) / 3_600.0;
        let mut chart = ChartBuilder::on(&root)
            .margin(10)
            .x_label_area_size(30)
            .y_label_area_size(60)
            .build_cartesian_2d(
                hours_relative_to_last(first_unix_s) - 0.1..0.1,
                0.0..max_total as f64 * 1.1 + 1.0,
            )
            .map_err(|e| to_plot_error(e.to_string()))?;
        chart
            .configure_mesh()
            .x_desc("hours before the last count")
            .y_desc("requests")
            .draw()
            .map_err(|e| to_plot_error(e.to_string()))?;
        let points_of = |value: fn(&policy::burn::BurnBucket) -> u64| {
            let buckets = route.series.buckets();
            buckets
                .map(move |b| (hours_relative_to_last(b.start_unix_s), value(b) as f64))
                .collect::<Vec<_>>()
        };
        let all = LineSeries::new(points_of(|bucket| bucket.total), RED.filled())
            .point_size(POINT_RADIUS_PX);
        chart.draw_series(all).map_err(|e| to_plot_error(e.to_string()))?;
        let good = LineSeries::new(points_of(|bucket| bucket.good), BLUE.filled())
            .point_size(POINT_RADIUS_PX);
        chart.draw_series(good).map_err(|e| to_plot_error(e.to_string()))?;
        root.present().map_err(|e| to_plot_error(e.to_string()))?;
    }
    Ok(format!("<p>Blue: good requests, red: all, for each five minutes.</p>{svg}\n"))
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('"', "&quot;")
}

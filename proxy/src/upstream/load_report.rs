//! The load report in the head of an endpoint's response.

use balancer::LoadReport;
use hyper::header::HeaderMap;

#[cfg(test)]
mod tests;

/// The header that carries a load report.
const LOAD_REPORT_HEADER: &str = "x-load-report";
/// Maximum number of requests that an endpoint can have in flight or queued: a report of more is invalid.
const MAX_REPORTED_REQUESTS: f64 = 10_000.0;

/// The first valid load report: an invalid one may stand beside it.
pub(super) fn load_report(headers: &HeaderMap) -> LoadReport {
    let values = headers.get_all(LOAD_REPORT_HEADER).iter();
    let mut reports = values.filter_map(|value| parse_load_report(value.to_str().ok()?));
    reports.next().unwrap_or_default()
}

/// Parses a load report, `name=value,name=value`. The names are those of the settings (`report.columns`), as on the
/// simulator's wire: under other names every report would be lost without a sign. A report with a value that no endpoint
/// can mean is invalid: a negative load would attract every request.
fn parse_load_report(text: &str) -> Option<LoadReport> {
    let mut report = LoadReport::default();
    for pair in text.split(',') {
        let (name, value) = pair.split_once('=')?;
        let (field, max) = match name.trim() {
            "active" => (&mut report.in_flight, MAX_REPORTED_REQUESTS),
            "waiting" => (&mut report.queued, MAX_REPORTED_REQUESTS),
            "cpu" => (&mut report.cpu_utilization, 1.0),
            _ => continue,
        };
        let value: f64 = value.trim().parse().ok()?;
        if !(0.0..=max).contains(&value) || field.replace(value).is_some() {
            return None;
        }
    }
    (report != LoadReport::default()).then_some(report)
}

//! Parses the load report in the headers of an endpoint's response.

use balancer::LoadReport;
use hyper::header::HeaderMap;

#[cfg(test)]
mod tests;

const LOAD_REPORT_HEADER: &str = "x-load-report";
/// Maximum number of requests that an endpoint can have in flight or queued. A report of more is
/// invalid.
const MAX_REPORTED_REQUESTS: f64 = 10_000.0;

/// Returns the first valid load report. A response may also have headers with invalid ones, which
/// are skipped.
pub(super) fn load_report(headers: &HeaderMap) -> LoadReport {
    let values = headers.get_all(LOAD_REPORT_HEADER).iter();
    let mut reports = values.filter_map(|value| parse_load_report(value.to_str().ok()?));
    reports.next().unwrap_or_default()
}

/// Parses a load report of the form `name=value,name=value`. The names below are fixed and must
/// equal those in `report.columns` of the settings and those that endpoints send. Unknown names are
/// skipped, so if endpoints sent other names, all their reports would be ignored without an error.
/// A report with an implausible value is invalid as a whole, because for example a negative load
/// would attract all requests.
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

//! Tests of load reports.

use super::*;

#[test]
fn known_fields_of_a_load_report_are_parsed_and_unknown_ones_are_skipped() {
    let report = parse_load_report("active=7.5,waiting=2,avg_ms=14.766, cpu = 0.5");
    assert_eq!(
        report,
        Some(LoadReport {
            in_flight: Some(7.5),
            queued: Some(2.0),
            cpu_utilization: Some(0.5)
        })
    );
}

#[test]
fn a_malformed_or_implausible_load_report_is_invalid_as_a_whole() {
    for text in [
        "",
        "=,=",
        "{",
        "%%%",
        "TEXT ?",
        "odd=1",
        "active",
        "active=NaN",
        "active=-1,waiting=0",
        "active=1e300",
        "active=inf",
        "active=many,waiting=1",
        "cpu=7",
        "active=1,active=2",
        "active=1,waiting",
    ] {
        assert_eq!(parse_load_report(text), None, "{text}");
    }
}

#[test]
fn a_valid_load_report_after_an_invalid_one_is_used() {
    let mut headers = HeaderMap::new();
    headers.append("x-load-report", "{".parse().expect("a value"));
    headers.append(
        "x-load-report",
        "active=1,waiting=0".parse().expect("a value"),
    );
    assert_eq!(load_report(&headers).in_flight, Some(1.0));
}

//! Formats the timeline of a request, which is printed with its violations.

use super::records::{AttemptRecord, RequestRecord};
use std::time::Instant;

/// Returns one line for each event of a request; times are in seconds since `start`.
pub(super) fn format_request(start: Instant, request: &RequestRecord) -> String {
    let at = |instant: Instant| format_seconds(start, instant);
    let mut lines = vec![format!(
        "    {} proxy {} {:?}, body of {} bytes, client timeout {:?}, new connection: {}",
        at(request.started_at),
        request.proxy,
        request.class,
        request.body.len(),
        request.client_timeout,
        request.new_connection
    )];
    lines.extend(
        request
            .timeout_starts_at
            .map(|start| format!("    {} client timeout starts", at(start))),
    );
    lines.extend(
        request
            .disconnected_at
            .map(|gone| format!("    {} client disconnected", at(gone))),
    );
    lines.extend(
        request
            .completion
            .map(|completion| match completion.status {
                Some(status) => format!("    {} response {status}", at(completion.at)),
                None => format!("    {} connection ended", at(completion.at)),
            }),
    );
    lines.extend(
        request
            .attempts
            .iter()
            .map(|attempt| format_attempt(start, attempt)),
    );
    lines.join("\n")
}

fn format_attempt(start: Instant, attempt: &AttemptRecord) -> String {
    let at = |instant: Instant| format_seconds(start, instant);
    let at_or_never = |instant: Option<Instant>| instant.map_or_else(|| "never".to_owned(), at);
    let AttemptRecord {
        process,
        zone,
        rejected,
        served,
        ..
    } = attempt;
    format!(
        "    {} attempt arrived at endpoint process {process} in zone {zone}, complete: {}, \
         ended: {}, rejected: {rejected}, served: {served}",
        at(attempt.first_byte_at),
        at_or_never(attempt.complete_at),
        at_or_never(attempt.ended_at),
    )
}

fn format_seconds(start: Instant, instant: Instant) -> String {
    format!(
        "{:.3}",
        instant.saturating_duration_since(start).as_secs_f64()
    )
}

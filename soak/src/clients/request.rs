//! Draws random requests.

use super::connection::Connection;
use crate::ledger::{RequestClass, RequestRecord};
use crate::proxy::Proxy;
use crate::shared_state::SharedState;
use rand::Rng;
use std::ops::Range;
use std::time::{Duration, Instant};

/// Classes to draw from; a class that is listed twice is drawn twice as often.
const CLASSES: [RequestClass; 4] = [
    RequestClass::Idempotent,
    RequestClass::Idempotent,
    RequestClass::Keyed,
    RequestClass::NonIdempotent,
];

/// Length of bodies that exceed the buffers of the system.
const EXCESSIVE_BYTES: Range<usize> = 1_000_000..6_000_000;

/// A request that is recorded and ready to be sent.
pub(super) struct DrawnRequest {
    /// Id of the request in the ledger.
    pub(super) id: u64,
    /// Bytes of its head and body.
    pub(super) bytes: Vec<u8>,
}

/// Draws a request and records it in the ledger.
pub(super) fn draw_request(
    shared: &SharedState,
    proxy: &Proxy,
    connection: &Connection,
) -> DrawnRequest {
    let class = shared.draw(|random| CLASSES[random.gen_range(0..CLASSES.len())]);
    let timeout_ms = draw_timeout_ms(shared, class);
    let body = vec![b'x'; draw_body_length(shared, class)];
    let id = shared.add_request(RequestRecord {
        proxy: proxy.number,
        class,
        client_timeout: Duration::from_millis(timeout_ms),
        started_at: Instant::now(),
        timeout_starts_at: None,
        disconnected_at: None,
        completion: None,
        new_connection: !connection.used,
        response_not_required: false,
        body: body.clone(),
        attempts: Vec::new(),
    });
    let mut bytes = head(id, class, timeout_ms, body.len()).into_bytes();
    bytes.extend(body);
    DrawnRequest { id, bytes }
}

fn draw_timeout_ms(shared: &SharedState, class: RequestClass) -> u64 {
    let deadline_ms = shared.config().deadline_ms(class);
    if shared.draw_bool(0.1) {
        shared.draw(|random| random.gen_range(5..120))
    } else {
        shared.draw(|random| random.gen_range(deadline_ms / 2..=deadline_ms))
    }
}

fn draw_body_length(shared: &SharedState, class: RequestClass) -> usize {
    if class == RequestClass::Idempotent {
        0
    } else if shared.config().has_large_messages && shared.draw_bool(0.01) {
        shared.draw(|random| random.gen_range(EXCESSIVE_BYTES))
    } else if shared.draw_bool(0.02) {
        shared.draw(|random| random.gen_range(70_000..150_000))
    } else {
        shared.draw(|random| random.gen_range(0..2_000))
    }
}

fn head(id: u64, class: RequestClass, timeout_ms: u64, body_length: usize) -> String {
    let (method, headers) = match class {
        RequestClass::Idempotent => ("GET", String::new()),
        RequestClass::Keyed => (
            "POST",
            format!("Idempotency-Key: k{id}\r\nContent-Length: {body_length}\r\n"),
        ),
        RequestClass::NonIdempotent => ("POST", format!("Content-Length: {body_length}\r\n")),
    };
    let name = class.wire_name();
    format!(
        "{method} /api HTTP/1.1\r\nHost: api\r\nX-Call-Id: {id:016x}\r\nX-Call-Class: {name}\r\n\
         X-Caller: a\r\nX-Budget-Ms: {timeout_ms}\r\n{headers}\r\n"
    )
}

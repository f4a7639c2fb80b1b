//! Draws random requests.

use super::connection::Connection;
use crate::environment::Environment;
use crate::ledger::{RequestClass, RequestRecord};
use crate::proxy::Proxy;
use rand::Rng;
use std::time::{Duration, Instant};

/// Classes to draw from; a class that is listed twice is drawn twice as often.
const CLASSES: [RequestClass; 4] = [
    RequestClass::Idempotent,
    RequestClass::Idempotent,
    RequestClass::Keyed,
    RequestClass::NonIdempotent,
];

/// A request that is recorded and ready to be sent.
pub(super) struct DrawnRequest {
    /// Id of the request in the ledger.
    pub(super) id: u64,
    /// Bytes of its head and body.
    pub(super) bytes: Vec<u8>,
}

/// Draws a request and records it in the ledger.
pub(super) fn draw_request(
    environment: &Environment,
    proxy: &Proxy,
    connection: &Connection,
) -> DrawnRequest {
    let class = environment.draw(|random| CLASSES[random.gen_range(0..CLASSES.len())]);
    let timeout_ms = draw_timeout_ms(environment, class);
    let body = vec![b'x'; draw_body_length(environment, class)];
    let id = environment.add_request(RequestRecord {
        proxy: proxy.number,
        class,
        client_timeout: Duration::from_millis(timeout_ms),
        started_at: Instant::now(),
        complete_at: None,
        disconnected_at: None,
        completion: None,
        new_connection: !connection.used,
        exempt: false,
        body: body.clone(),
        attempts: Vec::new(),
    });
    let mut bytes = head(id, class, timeout_ms, body.len()).into_bytes();
    bytes.extend(body);
    DrawnRequest { id, bytes }
}

fn draw_timeout_ms(environment: &Environment, class: RequestClass) -> u64 {
    let deadline_ms = class.deadline_ms();
    if environment.draw_bool(0.1) {
        environment.draw(|random| random.gen_range(5..120))
    } else {
        environment.draw(|random| random.gen_range(deadline_ms / 2..=deadline_ms))
    }
}

fn draw_body_length(environment: &Environment, class: RequestClass) -> usize {
    if class == RequestClass::Idempotent {
        0
    } else if environment.draw_bool(0.02) {
        environment.draw(|random| random.gen_range(70_000..150_000))
    } else {
        environment.draw(|random| random.gen_range(0..2_000))
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

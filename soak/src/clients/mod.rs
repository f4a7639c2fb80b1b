//! The clients of each proxy. They send requests, sometimes disconnect early, and record the
//! responses.

mod connection;
mod exchange;
mod invalid;
mod pipelining;
mod request;

pub(crate) use invalid::run_invalid_client;

use crate::proxy::Proxy;
use crate::shared_state::SharedState;
use connection::Connection;
use rand::Rng;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Mean pause between two requests of a client.
const MEAN_PAUSE_S: f64 = 0.25;
/// Longest pause between two requests of a client.
const MAX_PAUSE_S: f64 = 6.0;

/// Sends requests until `end`, on one connection at a time.
pub(crate) async fn run_client(shared: SharedState, proxy: Rc<Proxy>, end: Instant) {
    let mut connection = None;
    while Instant::now() < end {
        let pause_s = shared.draw_exponential_s(MEAN_PAUSE_S).min(MAX_PAUSE_S);
        sleep(Duration::from_secs_f64(pause_s)).await;
        let pipelined = shared.draw_bool(0.05);
        connection = send_requests(&shared, &proxy, connection.take(), pipelined).await;
    }
}

/// Sends one request, or several pipelined ones. Returns the connection if it can be reused.
async fn send_requests(
    shared: &SharedState,
    proxy: &Proxy,
    existing: Option<Connection>,
    pipelined: bool,
) -> Option<Connection> {
    let mut connection = match existing {
        Some(existing) => existing,
        None => Connection::open(proxy).await?,
    };
    connection.used = if pipelined {
        let count = shared.draw(|random| random.gen_range(2..5));
        pipelining::exchange_pipelined(shared, proxy, &mut connection, count).await
    } else {
        let request = request::draw_request(shared, proxy, &connection);
        exchange::exchange_one(shared, proxy, &mut connection, &request).await
    };
    connection.used.then_some(connection)
}

//! The downstream side of the proxy: accepts client connections, reads requests and passes them to
//! [`crate::control`], sends the replies, closes connections that time out or must make room for
//! others, and shuts down gracefully.

mod client_connections;
mod connection;
mod eviction;
mod forward;
mod headers;
mod listener;
mod open_request;
mod phase;
mod request;
mod response;
mod service;
mod shutdown;
mod timeouts;
mod turns;

use crate::control::Control;
use crate::downstream::client_connections::ClientConnections;
use crate::downstream::listener::{accept_remaining, accept_until};
use crate::log;
use crate::process_handoff::attach_newer_listener_filter;
use std::future::Future;
use tokio::net::TcpListener;
use tokio::time::sleep;

/// Maximum number of connections waiting to be accepted. It is meant to hold all connections of a
/// burst. The kernel caps it at `net.core.somaxconn`.
pub const LISTEN_BACKLOG: u32 = 4_096;

/// Serves clients until `stop` completes, then shuts down gracefully: accepts connections for as
/// long as new ones may arrive, closes connections between requests, and returns when none is left.
pub async fn serve(listener: TcpListener, control: Control, stop: impl Future<Output = ()>) {
    let longest_deadline = control.config().max_deadline();
    let mut connections = ClientConnections::new(control.clone());
    control.set_accepting(true);
    accept_until(&listener, &mut connections, stop).await;
    connections.begin_shutdown(shutdown::schedule(longest_deadline));
    if let Err(error) = attach_newer_listener_filter(&listener) {
        log::line(&format!(
            "cannot lead new connections to the next process: {error}; this process accepts some \
             of them until it closes its listener"
        ));
    }
    accept_until(
        &listener,
        &mut connections,
        sleep(shutdown::ACCEPT_DURATION),
    )
    .await;
    // Closing the listener would reset the connections that wait in its backlog.
    accept_remaining(&listener, &mut connections).await;
    drop(listener);
    // Connections of clients that send only part of a request, or do not read their responses, are
    // closed by their timeouts. Responses that are still being sent are lost only if the process is
    // killed.
    connections.drain().await;
}

#[cfg(test)]
mod tests;

//! The clients' side: accepts their connections, reads their requests and passes them to
//! [`crate::control`], responds, closes connections that time out or stand in the way of others,
//! and shuts down gracefully.

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

use crate::control::Control;
use crate::downstream::client_connections::ClientConnections;
use crate::downstream::listener::{accept_remaining, accept_until};
use crate::log;
use crate::process_handoff::steer_to_newer_process;
use std::future::Future;
use tokio::net::TcpListener;
use tokio::time::sleep;

/// Connections that may wait to be accepted: all of a burst. The system applies a limit of its own
/// besides.
pub const LISTEN_BACKLOG: u32 = 4_096;

/// Serves clients until `stop` completes, then shuts down gracefully: accepts connections for as
/// long as new ones may arrive, closes connections between requests, and returns when none is left.
pub async fn serve(listener: TcpListener, control: Control, stop: impl Future<Output = ()>) {
    let longest_deadline = control.config().max_deadline();
    let mut connections = ClientConnections::new(control.clone());
    control.set_accepting(true);
    accept_until(&listener, &mut connections, stop).await;
    connections.begin_shutdown(shutdown::schedule(longest_deadline));
    if let Err(error) = steer_to_newer_process(&listener) {
        log::line(&format!(
            "cannot lead new connections to the next process: {error}"
        ));
    }
    accept_until(
        &listener,
        &mut connections,
        sleep(shutdown::ACCEPT_DURATION),
    )
    .await;
    // What the kernel has accepted by now is taken: closing the listener would reset it.
    accept_remaining(&listener, &mut connections).await;
    drop(listener);
    // Clients that send half a request or do not read their responses are closed in time. Responses
    // still under way are lost only if the process is killed.
    connections.drain().await;
}

#[cfg(test)]
mod tests;

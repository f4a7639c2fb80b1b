//! Accepts client connections, and keeps accepting after errors.

use super::client_connections::ClientConnections;
use super::timeouts::{sweep_ticks, SWEEP_INTERVAL};
use crate::log;
use crate::transient_errors::ErrorClass;
use std::future::Future;
use std::io;
use std::pin::pin;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::yield_now;
use tokio::time::{sleep, sleep_until, timeout, Instant};

/// How long `accept` may fail without a success before [`accept_remaining`] abandons the
/// connections that still wait to be accepted.
const ACCEPT_FAILURE_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay before it is tried again to make room for a connection.
const CAPACITY_RETRY_DELAY: Duration = Duration::from_millis(10);
/// Number of connections that are accepted before other tasks run. A crowd that connects again and
/// again would otherwise keep a new client waiting for a round of the event loop for each of its
/// own.
const ACCEPTS_PER_TURN: usize = 16;
/// Delay before the next `accept` after an error, so that descriptors can become free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Accepts connections until `until` completes.
pub(super) async fn accept_until(
    listener: &TcpListener,
    connections: &mut ClientConnections,
    until: impl Future<Output = ()>,
) {
    let mut until = pin!(until);
    let mut sweeps = sweep_ticks();
    let mut next_accept_at = Instant::now();
    let mut accepted_count = 0_usize;
    loop {
        let has_capacity = connections.ensure_capacity();
        let accepted = async {
            sleep_until(next_accept_at).await;
            listener.accept().await
        };
        tokio::select! {
            accepted = accepted, if has_capacity => match accepted {
                Ok((stream, _)) => {
                    connections.add(stream);
                    accepted_count += 1;
                    // Lets the connections' tasks read, and other connections have their turn.
                    if accepted_count.is_multiple_of(ACCEPTS_PER_TURN) {
                        yield_now().await;
                    }
                }
                Err(error) => next_accept_at = handle_accept_error(connections, &error),
            },
            () = sleep(CAPACITY_RETRY_DELAY), if !has_capacity => {}
            _ = sweeps.tick() => connections.sweep(),
            () = &mut until => break,
        }
    }
}

/// Accepts all connections that are already waiting in the backlog. An `accept` error does not mean
/// that the backlog is empty, so accepting is retried after errors.
pub(super) async fn accept_remaining(listener: &TcpListener, connections: &mut ClientConnections) {
    let mut failing_since: Option<Instant> = None;
    loop {
        if !connections.ensure_capacity() {
            sleep(SWEEP_INTERVAL).await;
            connections.sweep();
            continue;
        }
        match timeout(Duration::ZERO, listener.accept()).await {
            Ok(Ok((stream, _))) => {
                connections.add(stream);
                failing_since = None;
            }
            Ok(Err(error)) => {
                let since = *failing_since.get_or_insert_with(Instant::now);
                if since.elapsed() >= ACCEPT_FAILURE_TIMEOUT {
                    return;
                }
                sleep_until(handle_accept_error(connections, &error)).await;
                connections.sweep();
            }
            Err(_) => return,
        }
    }
}

/// Handles an error of `accept` and returns when to accept again. If descriptors or memory are
/// exhausted, evicts a connection. After a temporary error, such as an interruption by a signal or
/// a connection that was closed before it was accepted, accepting continues without delay.
fn handle_accept_error(connections: &mut ClientConnections, error: &io::Error) -> Instant {
    match ErrorClass::of(error) {
        ErrorClass::Temporary => return Instant::now(),
        ErrorClass::ResourcesExhausted => {
            connections.evict();
        }
        ErrorClass::Peer | ErrorClass::Permanent => {}
    }
    log::line(&format!(
        "cannot accept a client connection: {error}; retrying after {ACCEPT_RETRY_DELAY:?}"
    ));
    Instant::now() + ACCEPT_RETRY_DELAY
}

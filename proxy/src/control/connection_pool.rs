//! Connections to endpoints: the idle ones, how long they may stay idle, and the limit on open
//! ones.

use crate::metrics::{EndpointCloseReason, Metrics};
use crate::upstream::idle_timeout::IdleTimeoutEstimate;
use crate::upstream::Connection;
use balancer::EndpointId;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep_until, Instant};

/// Fraction of the endpoints' own idle timeout after which an idle connection is no longer used.
const IDLE_TIMEOUT_FRACTION: f64 = 0.9;
/// How long a connection is left alone after a response: a second response may follow within
/// milliseconds, and would be taken for that of the next request.
const SETTLE_DELAY: Duration = Duration::from_millis(10);

/// A connection without a request.
#[derive(Debug)]
pub(super) struct IdleConnection {
    /// When its last exchange ended.
    pub(super) since: Instant,
    pub(super) connection: Connection,
}

impl IdleConnection {
    /// Waits until the connection has settled. `None`: it cannot be used by then.
    pub(super) async fn settled(self) -> Option<IdleConnection> {
        sleep_until(self.since + SETTLE_DELAY).await;
        self.connection.is_ready().then_some(self)
    }
}

/// Owns the idle connections and counts all open ones.
pub(super) struct ConnectionPool {
    /// Idle connections by endpoint, the most recently used last.
    idle: HashMap<EndpointId, Vec<IdleConnection>>,
    /// Learns from reused connections how long idle ones stay open.
    idle_timeout: IdleTimeoutEstimate,
    /// One reference for each open connection, and this one.
    permits: Rc<()>,
    metrics: Metrics,
}

impl ConnectionPool {
    pub(super) fn new(metrics: Metrics) -> ConnectionPool {
        ConnectionPool {
            idle: HashMap::new(),
            idle_timeout: IdleTimeoutEstimate::default(),
            permits: Rc::default(),
            metrics,
        }
    }

    /// Number of open connections, idle ones included.
    pub(super) fn open_count(&self) -> usize {
        Rc::strong_count(&self.permits) - 1
    }

    /// Number of idle connections.
    pub(super) fn idle_count(&self) -> usize {
        self.idle.values().map(Vec::len).sum()
    }

    /// Reserves one of at most `max_open` connections, until the permit is dropped. The one that
    /// has been idle for the longest is closed if that is needed. `None`: all are in use.
    pub(super) fn reserve(&mut self, max_open: usize) -> Option<Rc<()>> {
        if self.open_count() >= max_open && !self.close_oldest() {
            return None;
        }
        Some(self.permits.clone())
    }

    /// Closes idle connections until one more can be opened without exceeding `max_open`.
    pub(super) fn shrink(&mut self, max_open: usize) {
        while self.open_count() >= max_open && self.close_oldest() {}
    }

    /// Closes the connection that has been idle for the longest; `false`: there is none.
    fn close_oldest(&mut self) -> bool {
        let in_use = self
            .idle
            .values_mut()
            .filter(|connections| !connections.is_empty());
        let Some(connections) = in_use.min_by_key(|connections| connections[0].since) else {
            return false;
        };
        drop(connections.remove(0));
        self.metrics
            .count()
            .endpoint_connections_closed(EndpointCloseReason::Evicted, 1);
        true
    }

    /// Adds a connection to an endpoint.
    pub(super) fn put(&mut self, endpoint: EndpointId, connection: Connection) {
        let idle = IdleConnection {
            since: Instant::now(),
            connection,
        };
        self.idle.entry(endpoint).or_default().push(idle);
    }

    /// Takes out the most recently used connection of those that have settled, or the one that will
    /// settle first. Connections that the endpoint has closed, or may be closing, are closed first:
    /// a request must not cross its endpoint's close.
    pub(super) fn take(
        &mut self,
        endpoint: EndpointId,
        max_idle: Duration,
    ) -> Option<IdleConnection> {
        self.close_expired(endpoint, max_idle);
        self.close(endpoint, EndpointCloseReason::UnexpectedBytes, |idle| {
            idle.connection.is_ready()
        });
        let connections = self.idle.get_mut(&endpoint)?;
        let settled = connections
            .iter()
            .rposition(|idle| idle.since.elapsed() >= SETTLE_DELAY);
        (!connections.is_empty()).then(|| connections.remove(settled.unwrap_or(0)))
    }

    /// Closes all idle connections to an endpoint that takes no new requests, or has restarted.
    pub(super) fn close_all(&mut self, endpoint: EndpointId) {
        self.close(endpoint, EndpointCloseReason::EndpointUnavailable, |_| {
            false
        });
        self.idle.remove(&endpoint);
    }

    fn close_expired(&mut self, endpoint: EndpointId, max_idle: Duration) {
        self.close(endpoint, EndpointCloseReason::Idle, |idle| {
            idle.since.elapsed() < max_idle
        });
    }

    /// Closes the idle connections to an endpoint that are not to be retained, and counts them.
    fn close(
        &mut self,
        endpoint: EndpointId,
        reason: EndpointCloseReason,
        retain: impl Fn(&IdleConnection) -> bool,
    ) {
        let Some(connections) = self.idle.get_mut(&endpoint) else {
            return;
        };
        let before = connections.len();
        connections.retain(retain);
        self.metrics
            .count()
            .endpoint_connections_closed(reason, before - connections.len());
    }

    /// How long a connection may have been idle and still be used. `endpoint_timeout`: after which
    /// endpoints close idle connections, by the configuration.
    pub(super) fn max_idle(&self, endpoint_timeout: Duration) -> Duration {
        let configured = endpoint_timeout.mul_f64(IDLE_TIMEOUT_FRACTION);
        self.idle_timeout
            .limit()
            .map_or(configured, |estimate| estimate.min(configured))
    }

    /// Notes that a connection was reused after this idle time, and whether it proved to be broken.
    pub(super) fn note_reuse(&mut self, idle_time: Duration, is_broken: bool) {
        self.idle_timeout.record_reuse(idle_time, is_broken);
    }

    /// To be called once a second: closes connections that have been idle for too long.
    pub(super) fn sweep(&mut self, endpoint_timeout: Duration) {
        self.idle_timeout.decay();
        let max_idle = self.max_idle(endpoint_timeout);
        let endpoints: Vec<EndpointId> = self.idle.keys().copied().collect();
        for endpoint in endpoints {
            self.close_expired(endpoint, max_idle);
        }
    }
}

//! The pool of connections to endpoints: keeps idle connections for reuse, determines how long they
//! may stay idle and whether they may be reused, and limits the number of open connections.

use crate::log;
use crate::memory::{MemoryAccount, MemoryUse, ENDPOINT_CONNECTION_BYTES};
use crate::metrics::{EndpointCloseReason, Metrics};
use crate::upstream::idle_timeout::IdleTimeoutEstimate;
use crate::upstream::{Connection, ConnectionPermit};
use balancer::{ConnectionTrust, EndpointId, Micros};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep_until, Instant};

/// Fraction of the endpoints' idle timeout after which an idle connection is no longer reused.
const IDLE_TIMEOUT_FRACTION: f64 = 0.9;
/// Minimum time between a response and the next request on a connection: an endpoint may send a
/// second, unexpected response within milliseconds, which would be taken for the response to the
/// next request.
const REUSE_DELAY: Duration = Duration::from_millis(10);

/// An open connection that carries no request.
#[derive(Debug)]
pub(super) struct IdleConnection {
    /// When the last exchange on it ended.
    pub(super) idle_since: Instant,
    pub(super) connection: Connection,
}

impl IdleConnection {
    /// Waits until [`REUSE_DELAY`] has passed.
    pub(super) async fn wait_for_reuse_delay(&self) {
        sleep_until(self.idle_since + REUSE_DELAY).await;
    }

    fn has_rested(&self) -> bool {
        self.idle_since.elapsed() >= REUSE_DELAY
    }
}

/// Owns the idle connections and counts all open connections.
pub(super) struct ConnectionPool {
    /// Idle connections by endpoint, the least recently used first.
    idle: HashMap<EndpointId, Vec<IdleConnection>>,
    /// For the endpoints that have sent unsolicited responses, whether their connections may be
    /// reused.
    trust: HashMap<EndpointId, ConnectionTrust>,
    /// The start of the clock of `trust`.
    started_at: Instant,
    /// Estimates from the reuse of connections how long they survive while idle.
    idle_timeout_estimate: IdleTimeoutEstimate,
    /// One clone exists for each open or reserved connection, so the reference count gives their
    /// number.
    permits: Rc<()>,
    metrics: Metrics,
}

impl ConnectionPool {
    pub(super) fn new(metrics: Metrics) -> ConnectionPool {
        ConnectionPool {
            idle: HashMap::new(),
            trust: HashMap::new(),
            started_at: Instant::now(),
            idle_timeout_estimate: IdleTimeoutEstimate::default(),
            permits: Rc::default(),
            metrics,
        }
    }

    /// Number of open connections, including idle ones.
    pub(super) fn open_count(&self) -> usize {
        Rc::strong_count(&self.permits) - 1
    }

    /// Number of idle connections.
    pub(super) fn idle_count(&self) -> usize {
        self.idle.values().map(Vec::len).sum()
    }

    /// Reserves one of at most `max_open` connections and its memory until the permit is dropped, and
    /// closes the least recently used idle connections if necessary. Returns `None` if all
    /// connections are in use.
    pub(super) fn reserve(
        &mut self,
        max_open: usize,
        account: &MemoryAccount,
    ) -> Option<ConnectionPermit> {
        if self.open_count() >= max_open && !self.evict_oldest() {
            return None;
        }
        loop {
            let memory = account.reserve(MemoryUse::EndpointConnection, ENDPOINT_CONNECTION_BYTES);
            if let Some(memory) = memory {
                return Some(ConnectionPermit::new(memory, self.permits.clone()));
            }
            if !self.evict_oldest() {
                return None;
            }
        }
    }

    /// Closes idle connections until one more can be opened without exceeding `max_open`.
    pub(super) fn evict_until_below(&mut self, max_open: usize) {
        while self.open_count() >= max_open && self.evict_oldest() {}
    }

    /// Closes the connection that has been idle the longest. Returns `false` if no connection is
    /// idle.
    pub(super) fn evict_oldest(&mut self) -> bool {
        let non_empty = self
            .idle
            .values_mut()
            .filter(|connections| !connections.is_empty());
        let Some(connections) = non_empty.min_by_key(|connections| connections[0].idle_since)
        else {
            return false;
        };
        drop(connections.remove(0));
        self.metrics
            .counters_mut()
            .endpoint_connections_closed(EndpointCloseReason::Evicted, 1);
        true
    }

    /// Adds an idle connection to an endpoint.
    pub(super) fn put(&mut self, endpoint: EndpointId, connection: Connection) {
        let idle = IdleConnection {
            idle_since: Instant::now(),
            connection,
        };
        self.idle.entry(endpoint).or_default().push(idle);
    }

    /// Removes and returns the most recently used connection whose [`REUSE_DELAY`] has passed, or
    /// else the one whose delay ends first. Expired connections and those that received data or an
    /// end of stream are closed first: a request must not be written while the endpoint is closing
    /// its connection. Returns `None` if the endpoint's connections may not be reused.
    pub(super) fn take(
        &mut self,
        endpoint: EndpointId,
        max_idle: Duration,
    ) -> Option<IdleConnection> {
        self.close_expired(endpoint, max_idle);
        self.close_unusable(endpoint);
        if !self.may_reuse(endpoint) {
            return None;
        }
        let connections = self.idle.get_mut(&endpoint)?;
        let reusable_index = connections.iter().rposition(IdleConnection::has_rested);
        (!connections.is_empty()).then(|| connections.remove(reusable_index.unwrap_or(0)))
    }

    /// Returns the connection if it can still be reused after its delay, and closes it otherwise.
    pub(super) fn check_after_delay(
        &mut self,
        endpoint: EndpointId,
        idle: IdleConnection,
    ) -> Option<IdleConnection> {
        let is_ready = idle.connection.is_ready();
        if !is_ready && idle.connection.has_unsolicited_response() {
            self.record_unsolicited_response(endpoint);
        }
        (is_ready && self.may_reuse(endpoint)).then_some(idle)
    }

    /// Closes the idle connections to an endpoint that received anything, and those that have shown
    /// for long enough that they do not, if they may not be reused.
    fn close_unusable(&mut self, endpoint: EndpointId) {
        let Some(connections) = self.idle.get_mut(&endpoint) else {
            return;
        };
        let unready = connections.extract_if(.., |idle| !idle.connection.is_ready());
        let unready: Vec<IdleConnection> = unready.collect();
        self.metrics
            .counters_mut()
            .endpoint_connections_closed(EndpointCloseReason::UnexpectedBytes, unready.len());
        let has_unsolicited = |idle: &IdleConnection| idle.connection.has_unsolicited_response();
        if unready.iter().any(has_unsolicited) {
            self.record_unsolicited_response(endpoint);
        }
        if !self.may_reuse(endpoint) {
            self.close_unless(endpoint, EndpointCloseReason::Distrusted, |idle| {
                !idle.has_rested()
            });
        }
    }

    fn record_unsolicited_response(&mut self, endpoint: EndpointId) {
        let now = self.now();
        self.metrics.counters_mut().unsolicited_responses += 1;
        let trust = self.trust.entry(endpoint).or_default();
        if trust.may_reuse(now) {
            log::line(&format!(
                "endpoint {} sent a response that was not asked for: its connections are not reused \
                 for a time",
                endpoint.0
            ));
        }
        trust.record_unsolicited_response(now);
    }

    /// Whether connections to this endpoint may be reused.
    fn may_reuse(&self, endpoint: EndpointId) -> bool {
        let trust = self.trust.get(&endpoint);
        trust.is_none_or(|trust| trust.may_reuse(self.now()))
    }

    /// The time on the clock of `trust`.
    fn now(&self) -> Micros {
        self.started_at.elapsed().as_micros() as Micros
    }

    /// Closes all idle connections to an endpoint that accepts no new requests or has restarted.
    pub(super) fn close_all(&mut self, endpoint: EndpointId) {
        self.close_unless(endpoint, EndpointCloseReason::EndpointUnavailable, |_| {
            false
        });
        self.idle.remove(&endpoint);
    }

    fn close_expired(&mut self, endpoint: EndpointId, max_idle: Duration) {
        self.close_unless(endpoint, EndpointCloseReason::Idle, |idle| {
            idle.idle_since.elapsed() < max_idle
        });
    }

    /// Closes and counts the idle connections to an endpoint for which `is_retained` returns
    /// `false`.
    fn close_unless(
        &mut self,
        endpoint: EndpointId,
        reason: EndpointCloseReason,
        is_retained: impl Fn(&IdleConnection) -> bool,
    ) {
        let Some(connections) = self.idle.get_mut(&endpoint) else {
            return;
        };
        let before = connections.len();
        connections.retain(is_retained);
        self.metrics
            .counters_mut()
            .endpoint_connections_closed(reason, before - connections.len());
    }

    /// The longest time that a connection may have been idle and still be reused.
    /// `endpoint_idle_timeout` is the configured time after which endpoints close idle
    /// connections.
    pub(super) fn max_idle(&self, endpoint_idle_timeout: Duration) -> Duration {
        let configured = endpoint_idle_timeout.mul_f64(IDLE_TIMEOUT_FRACTION);
        self.idle_timeout_estimate
            .max_idle_time()
            .map_or(configured, |estimate| estimate.min(configured))
    }

    /// Records that a connection was reused after this idle time, and whether it turned out to be
    /// broken.
    pub(super) fn record_reuse(&mut self, idle_time: Duration, is_broken: bool) {
        self.idle_timeout_estimate
            .record_reuse(idle_time, is_broken);
    }

    /// Closes connections that have been idle for too long or can't be reused. Called once a second.
    pub(super) fn sweep(&mut self, endpoint_idle_timeout: Duration) {
        self.idle_timeout_estimate.decay();
        let max_idle = self.max_idle(endpoint_idle_timeout);
        let endpoints: Vec<EndpointId> = self.idle.keys().copied().collect();
        for endpoint in endpoints {
            self.close_expired(endpoint, max_idle);
            self.close_unusable(endpoint);
        }
        let now = self.now();
        self.trust.retain(|_, trust| !trust.is_restored(now));
    }
}

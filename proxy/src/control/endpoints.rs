//! Hosts of the list as the network code has them, and their idle connections.

use crate::discovery::ListedState;
use crate::invariants::AttemptTarget;
use crate::metrics::{EndpointCloseReason, Metrics};
use crate::upstream::Connection;
use balancer::EndpointId;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{sleep_until, Instant};

/// How long a connection is left alone after an answer: a second one may come some milliseconds behind it, and would be
/// taken for that of the next request.
const SETTLING: Duration = Duration::from_millis(10);

/// A kept connection once it has settled, if it is of use then.
pub(crate) async fn settled(kept: Option<(Instant, Connection)>) -> Option<(Instant, Connection)> {
    let (since, connection) = kept?;
    sleep_until(since + SETTLING).await;
    connection.is_ready().then_some((since, connection))
}

/// The process of a host that an attempt was meant for: a later one at the same address is another, and cold.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EndpointProcess {
    pub(crate) endpoint_id: EndpointId,
    pub(crate) address: SocketAddr,
    pub(crate) started_at_ms: u64,
}

/// A host of the list, and this proxy's idle connections to it, the most recently used last.
pub(crate) struct Endpoint {
    pub(crate) address: SocketAddr,
    pub(crate) started_at_ms: u64,
    pub(crate) state: ListedState,
    pub(crate) target: AttemptTarget,
    pub(crate) idle: Vec<(Instant, Connection)>,
}

impl Endpoint {
    /// The connection that was used last of those that have settled, or the one that will have first.
    pub(crate) fn take_idle(&mut self) -> Option<(Instant, Connection)> {
        let settled = self.idle.iter().rposition(|(since, _)| since.elapsed() >= SETTLING);
        (!self.idle.is_empty()).then(|| self.idle.remove(settled.unwrap_or(0)))
    }

    /// Closes the idle connections for which `keeps` does not hold, and counts them.
    pub(crate) fn close_idle(
        &mut self,
        metrics: &Metrics,
        close: EndpointCloseReason,
        keeps: impl Fn(&(Instant, Connection)) -> bool,
    ) {
        let before = self.idle.len();
        self.idle.retain(keeps);
        metrics.count().closed_to_hosts(close, before - self.idle.len());
    }

    /// Whether something new may be written to this process of it.
    pub(crate) fn takes(&self, process: EndpointProcess) -> bool {
        self.state == ListedState::Ready
            && (self.address, self.started_at_ms) == (process.address, process.started_at_ms)
    }
}

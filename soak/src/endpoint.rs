//! An endpoint process: its state, and the requests that it was sent during its slow start.

use crate::config::RunConfig;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::task::AbortHandle;

/// How an endpoint process handles requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Behaviour {
    /// It responds normally.
    Normal,
    /// It accepts requests and never responds.
    Hanging,
    /// It resets connections before, during and after its responses.
    Resetting,
    /// It responds with errors or with invalid responses.
    Failing,
}

/// Health of an endpoint process in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EndpointHealth {
    /// It accepts requests.
    Ready,
    /// It accepts no new requests.
    Draining,
    /// It is no longer in the list.
    Removed,
}

impl EndpointHealth {
    /// Value of the `health` key in the endpoint list.
    pub(crate) fn wire_name(self) -> &'static str {
        match self {
            EndpointHealth::Ready => "Ready",
            EndpointHealth::Draining => "Terminating",
            EndpointHealth::Removed => "Gone",
        }
    }
}

/// Returns the name of the endpoint with this id.
pub(crate) fn endpoint_name(id: u32) -> String {
    format!("s-{id:08x}")
}

/// State that an endpoint process shares with its server task.
#[derive(Clone, Debug)]
pub(crate) struct ProcessState {
    /// How it handles requests at present.
    pub(crate) behaviour: Rc<Cell<Behaviour>>,
    /// Whether it drains: it then rejects most requests.
    pub(crate) draining: Rc<Cell<bool>>,
}

/// A process of an endpoint. A replacement under the same name is another process.
#[derive(Debug)]
pub(crate) struct EndpointProcess {
    /// Number that identifies the process within the run.
    pub(crate) number: u64,
    /// Name of the endpoint.
    pub(crate) name: String,
    /// Zone of the endpoint.
    pub(crate) zone: char,
    /// Address on which it listens.
    pub(crate) address: SocketAddr,
    /// Time of its start.
    pub(crate) started_at: Instant,
    /// Time of its start as the endpoint list states it, in milliseconds since the Unix epoch.
    pub(crate) started_unix_ms: u64,
    /// State that is shared with the server task.
    pub(crate) state: ProcessState,
    /// Arrival times of complete requests during the slow start.
    pub(crate) arrivals: Vec<Instant>,
    /// The server task, which owns all connections of the process.
    pub(crate) task: AbortHandle,
}

/// An endpoint process was sent more requests than allowed during its slow start.
#[derive(Debug)]
pub(crate) struct Overload {
    /// Time since the start of the process.
    pub(crate) age: Duration,
    /// Number of requests that arrived within the overload duration.
    pub(crate) received: f64,
    /// Number of requests that were allowed in that time.
    pub(crate) allowed: f64,
}

impl EndpointProcess {
    /// Whether the process drains.
    pub(crate) fn is_draining(&self) -> bool {
        self.state.draining.get()
    }

    /// Kills the process, which resets its connections.
    pub(crate) fn kill(&self) {
        self.task.abort();
    }

    /// Records the arrival of a complete request, and returns the overload if it causes one.
    pub(crate) fn record_arrival(&mut self, at: Instant, config: &RunConfig) -> Option<Overload> {
        let age = at.saturating_duration_since(self.started_at);
        if age > config.slow_start {
            return None;
        }
        self.arrivals.push(at);
        let from = at.checked_sub(config.overload_duration).unwrap_or(at);
        let received = self
            .arrivals
            .iter()
            .filter(|arrival| **arrival > from)
            .count() as f64;
        let allowed = allowed_arrivals(age, config);
        if received <= allowed {
            return None;
        }
        self.arrivals.clear();
        Some(Overload {
            age,
            received,
            allowed,
        })
    }
}

/// Number of requests that all proxies together may send within the overload duration: the overload
/// multiple of the capacity at this age, and a tolerance. Proxies send requests independently of
/// each other, so their number varies around its mean by about its square root. The tolerance is a
/// larger multiple of it for small numbers.
fn allowed_arrivals(age: Duration, config: &RunConfig) -> f64 {
    let progress = age.as_secs_f64() / config.slow_start.as_secs_f64();
    let capacity_fraction = config.initial_capacity + (1.0 - config.initial_capacity) * progress;
    let capacity = config.overload_multiple
        * config.capacity_per_s
        * capacity_fraction
        * config.overload_duration.as_secs_f64();
    let slack = if capacity < 30.0 { 3.0 } else { 2.0 };
    capacity + slack * capacity.sqrt() + slack
}

//! The record of an endpoint's process: its state, and how much it was sent while warming up.

use crate::config::SimulationConfig;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::task::AbortHandle;

/// How an endpoint's process behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Behaviour {
    /// It answers.
    Normal,
    /// It takes requests and never answers.
    Hanging,
    /// It resets connections, before, in and behind its responses.
    Resetting,
    /// It answers with errors, or with what is no valid response.
    Failing,
}

/// What the endpoint list says of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EndpointHealth {
    /// It takes requests.
    Ready,
    /// It takes no new ones.
    Draining,
    /// It is not in the list any more.
    Removed,
}

impl EndpointHealth {
    /// Its name in the endpoint list.
    pub(crate) fn wire_name(self) -> &'static str {
        match self {
            EndpointHealth::Ready => "Ready",
            EndpointHealth::Draining => "Terminating",
            EndpointHealth::Removed => "Gone",
        }
    }
}

/// The name of the endpoint with this number.
pub(crate) fn endpoint_name(id: u32) -> String {
    format!("s-{id:08x}")
}

/// State of a process that its server task shares.
#[derive(Clone, Debug)]
pub(crate) struct ProcessState {
    /// How it behaves.
    pub(crate) behaviour: Rc<Cell<Behaviour>>,
    /// It rejects most requests.
    pub(crate) draining: Rc<Cell<bool>>,
}

/// A process of an endpoint.
#[derive(Debug)]
pub(crate) struct EndpointProcess {
    /// Its number, which no other process has.
    pub(crate) number: u64,
    /// The endpoint's name.
    pub(crate) name: String,
    /// The endpoint's zone.
    pub(crate) zone: char,
    /// Where it listens.
    pub(crate) address: SocketAddr,
    /// When it started.
    pub(crate) started_at: Instant,
    /// When it started, by the endpoint list's clock, in milliseconds.
    pub(crate) started_unix_ms: u64,
    /// What its server task acts by.
    pub(crate) state: ProcessState,
    /// When complete requests arrived, while it was warming up.
    pub(crate) arrivals: Vec<Instant>,
    /// Its server task.
    pub(crate) task: AbortHandle,
}

/// An endpoint was sent more than it can take while warming up.
#[derive(Debug)]
pub(crate) struct Overload {
    /// Time since its start.
    pub(crate) age: Duration,
    /// Number of requests within the overload duration.
    pub(crate) received: f64,
    /// How many were allowed.
    pub(crate) allowed: f64,
}

impl EndpointProcess {
    /// Whether it drains.
    pub(crate) fn is_draining(&self) -> bool {
        self.state.draining.get()
    }

    /// Kills it: its connections are reset.
    pub(crate) fn kill(&self) {
        self.task.abort();
    }

    /// A complete request has arrived; whether that overloads the process.
    pub(crate) fn record_arrival(
        &mut self,
        at: Instant,
        config: &SimulationConfig,
    ) -> Option<Overload> {
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

/// Number of requests that all proxies together may send within the overload duration: the capacity
/// at this age, and what proxies that don't know of each other may exceed it by.
fn allowed_arrivals(age: Duration, config: &SimulationConfig) -> f64 {
    let progress = age.as_secs_f64() / config.slow_start.as_secs_f64();
    let capacity_fraction = config.initial_capacity + (1.0 - config.initial_capacity) * progress;
    let capacity = config.overload_multiple
        * config.capacity_per_s
        * capacity_fraction
        * config.overload_duration.as_secs_f64();
    let slack = if capacity < 30.0 { 3.0 } else { 2.0 };
    capacity + slack * capacity.sqrt() + slack
}

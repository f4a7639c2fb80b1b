//! Typed forms of the simulator's messages. Requests, classes and tenants are still identified by
//! their names on the wire, not by the balancer's ids.

use crate::endpoint_message::EndpointMessage;
use balancer::{EndpointId, ListUpdate, LoadReport, Micros, Outcome};
use serde_json::Value;
use std::borrow::Cow;

/// A message in its typed form.
pub(crate) enum Input<'a> {
    /// An endpoint list that later messages refer to.
    List {
        /// The list's number.
        list: i64,
        /// Its endpoints.
        endpoints: Vec<EndpointMessage>,
    },
    /// An event for one balancer.
    Balancer {
        /// The balancer's number.
        balancer: i64,
        /// What happened.
        input: BalancerInput<'a>,
    },
}

/// An event for one balancer.
pub(crate) enum BalancerInput<'a> {
    /// The balancer is created and starts.
    Create {
        /// Seed of the balancer's random numbers.
        seed: u64,
        /// The site's settings.
        settings: Value,
    },
    /// The balancer is removed.
    Remove,
    /// An update of the endpoint list.
    ListUpdate {
        /// What the update contains, or that the poll failed.
        kind: ListUpdate,
        /// Number of the list with the entries. `None` if the poll failed.
        list: Option<i64>,
    },
    /// The balancer's timer has expired.
    TimerExpired,
    /// A message from another balancer. It carries nothing that the balancer uses and is ignored.
    Gossip,
    /// A health check was answered.
    HealthChecked {
        /// The endpoint that was checked.
        endpoint: EndpointId,
        /// How it ended.
        outcome: Outcome,
        /// The endpoint's load report.
        load: LoadReport,
    },
    /// An event of one request.
    Request {
        /// The request's id on the wire.
        request: Cow<'a, str>,
        /// What happened.
        input: RequestInput<'a>,
    },
}

/// An event of one request.
pub(crate) enum RequestInput<'a> {
    /// The request has arrived.
    Received {
        /// Name of the request's class.
        class: Cow<'a, str>,
        /// Name of the request's tenant.
        tenant: Option<Cow<'a, str>>,
        /// How long the client still waits.
        time_left: Micros,
        /// Whether the client marked the request as a retry.
        client_retry: bool,
    },
    /// An attempt has ended.
    AttemptEnded {
        /// The attempt's number within the request, from 0.
        attempt: u32,
        /// How it ended.
        outcome: Outcome,
        /// How long it took.
        elapsed: Micros,
        /// The request needs no further response.
        finished: bool,
        /// The endpoint's load report.
        load: LoadReport,
    },
    /// The response of an attempt is being streamed to the client.
    ResponseStarted {
        /// The attempt's number within the request, from 0.
        attempt: u32,
    },
    /// The client has cancelled the request.
    Cancelled,
}

//! What the simulator reports to balancers, in the field's terms. Requests, classes and tenants
//! still have their names on the wire.

use crate::endpoint_message::EndpointMessage;
use balancer::{EndpointId, ListUpdate, LoadReport, Micros, Outcome};
use serde_json::Value;
use std::borrow::Cow;

/// A message in its typed form.
pub(crate) enum Input<'a> {
    /// A list that later messages refer to.
    List {
        /// Which list.
        list: i64,
        /// Its endpoints.
        endpoints: Vec<EndpointMessage>,
    },
    /// Something that concerns one balancer.
    Balancer {
        /// Which balancer.
        balancer: i64,
        /// What happened.
        input: BalancerInput<'a>,
    },
}

/// Something that concerns one balancer.
pub(crate) enum BalancerInput<'a> {
    /// It is created, and starts.
    Create {
        /// Seed of its random numbers.
        seed: u64,
        /// Its site's settings.
        settings: Value,
    },
    /// It is removed.
    Remove,
    /// An update of the endpoint list.
    ListUpdate {
        /// What the update contains, or why there is none.
        kind: ListUpdate,
        /// The list with the entries; `None`: there is no update.
        list: Option<i64>,
    },
    /// Its timer has expired.
    TimerExpired,
    /// A message of another balancer; there is nothing to learn from it.
    Gossip,
    /// A health check was answered.
    HealthChecked {
        /// By which endpoint.
        endpoint: EndpointId,
        /// How it ended.
        outcome: Outcome,
        /// The endpoint's load report.
        load: LoadReport,
    },
    /// Something that concerns one request.
    Request {
        /// Which request, under its name on the wire.
        request: Cow<'a, str>,
        /// What happened.
        input: RequestInput<'a>,
    },
}

/// Something that concerns one request.
pub(crate) enum RequestInput<'a> {
    /// It has arrived.
    Received {
        /// Name of its class.
        class: Cow<'a, str>,
        /// Name of its tenant.
        tenant: Option<Cow<'a, str>>,
        /// How long the client still waits.
        time_left: Micros,
        /// It is a retry of the client's own.
        client_retry: bool,
    },
    /// An attempt has ended.
    AttemptEnded {
        /// Which attempt.
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
        /// Which attempt.
        attempt: u32,
    },
    /// The client has cancelled it.
    Cancelled,
}

//! The commands in a reply, and the conversion of the balancer's actions to them.

use crate::requests::Requests;
use balancer::{Action, Micros, RequestId};
use serde::Serialize;

/// The reply to a line of input.
#[derive(Serialize)]
pub(crate) struct Reply {
    /// What the simulator has to do, in order.
    #[serde(rename = "cmds")]
    pub(crate) commands: Vec<Command>,
}

/// A command of a balancer to the simulator.
#[derive(Serialize)]
#[serde(tag = "verb")]
pub(crate) enum Command {
    /// Forward a request to an endpoint.
    #[serde(rename = "ROUTE")]
    Forward {
        #[serde(rename = "proxy")]
        balancer: i64,
        #[serde(rename = "call")]
        request: String,
        #[serde(rename = "host")]
        endpoint: u32,
    },
    /// Cancel an attempt.
    #[serde(rename = "DROP_ATTEMPT")]
    CancelAttempt {
        #[serde(rename = "proxy")]
        balancer: i64,
        #[serde(rename = "call")]
        request: String,
        #[serde(rename = "seq_no")]
        attempt: u32,
    },
    /// Send a health check to an endpoint.
    #[serde(rename = "TEST")]
    CheckHealth {
        #[serde(rename = "proxy")]
        balancer: i64,
        #[serde(rename = "host")]
        endpoint: u32,
    },
    /// Set the balancer's timer, which replaces the one set before.
    #[serde(rename = "SET_ALARM")]
    SetTimer {
        #[serde(rename = "proxy")]
        balancer: i64,
        #[serde(rename = "offset_us")]
        after: Micros,
        tag: u64,
    },
    /// Answer a request as failed.
    #[serde(rename = "DROP_REQUEST")]
    Fail {
        #[serde(rename = "proxy")]
        balancer: i64,
        #[serde(rename = "call")]
        request: String,
    },
    /// Answer a request as rejected.
    #[serde(rename = "BOUNCE")]
    Reject {
        #[serde(rename = "proxy")]
        balancer: i64,
        #[serde(rename = "call")]
        request: String,
        #[serde(rename = "hold_off_us")]
        retry_after: Micros,
    },
    /// Open a watch of the endpoint list.
    #[serde(rename = "LISTEN")]
    Subscribe {
        #[serde(rename = "proxy")]
        balancer: i64,
        enable: bool,
    },
    /// Log an event.
    #[serde(rename = "TRACE")]
    Log {
        #[serde(rename = "proxy")]
        balancer: i64,
        #[serde(rename = "note_text")]
        text: String,
    },
}

/// The command for an action of a balancer. `None` if the action is about a request that is no
/// longer tracked.
pub(crate) fn command_for(
    balancer: i64,
    requests: &mut Requests,
    action: Action,
) -> Option<Command> {
    Some(match action {
        Action::Forward {
            request, endpoint, ..
        } => {
            let request = requests.record_forwarded(request)?;
            Command::Forward {
                balancer,
                request,
                endpoint: endpoint.0,
            }
        }
        Action::Reject {
            request,
            retry_after,
            ..
        } => Command::Reject {
            balancer,
            request: finish_request(requests, request)?,
            retry_after,
        },
        Action::Fail { request, .. } => Command::Fail {
            balancer,
            request: finish_request(requests, request)?,
        },
        Action::CancelAttempt { request, attempt } => Command::CancelAttempt {
            balancer,
            request: requests.wire_id(request)?,
            attempt,
        },
        Action::CheckHealth { endpoint } => Command::CheckHealth {
            balancer,
            endpoint: endpoint.0,
        },
        Action::SetTimer { after } => Command::SetTimer {
            balancer,
            after,
            tag: 0,
        },
        Action::Subscribe => Command::Subscribe {
            balancer,
            enable: true,
        },
        Action::Log(event) => Command::Log {
            balancer,
            text: event.to_string(),
        },
    })
}

/// Marks a request as finished and returns its id on the wire.
fn finish_request(requests: &mut Requests, request: RequestId) -> Option<String> {
    let wire_id = requests.wire_id(request)?;
    requests.mark_finished(request);
    requests.untrack_if_complete(request);
    Some(wire_id)
}

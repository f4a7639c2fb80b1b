//! The wire form of the simulator's messages and their conversion to typed inputs. `rename` gives a
//! field's name on the wire.

use crate::endpoint_message::EndpointMessage;
use crate::error::InputError;
use crate::input::{BalancerInput, Input, RequestInput};
use balancer::{EndpointId, ListUpdate, LoadReport, Micros, Outcome};
use serde::Deserialize;
use serde_json::Value;
use std::borrow::Cow;

/// One line of input.
#[derive(Deserialize)]
pub(crate) struct Batch<'a> {
    /// The simulated time.
    #[serde(rename = "clock_us")]
    pub(crate) now: Micros,
    /// The messages, in order.
    #[serde(borrow, rename = "input")]
    pub(crate) messages: Vec<Message<'a>>,
}

/// A message of any kind; its verb determines which fields are required. An enum tagged by the verb
/// would make serde buffer each message once more, which costs CPU time.
#[derive(Deserialize)]
pub(crate) struct Message<'a> {
    #[serde(borrow)]
    verb: Cow<'a, str>,
    #[serde(rename = "proxy")]
    balancer: Option<i64>,
    seed: Option<u64>,
    #[serde(rename = "facts")]
    settings: Option<Value>,
    #[serde(rename = "roster_id")]
    list: Option<i64>,
    #[serde(rename = "elements")]
    endpoints: Option<Vec<EndpointMessage>>,
    #[serde(rename = "scope")]
    update_kind: Option<i64>,
    #[serde(borrow, rename = "call")]
    request: Option<BorrowedText<'a>>,
    #[serde(borrow, rename = "user_group")]
    tenant: Option<BorrowedText<'a>>,
    #[serde(borrow, rename = "tier_class")]
    class: Option<BorrowedText<'a>>,
    #[serde(rename = "time_budget_us")]
    time_left: Option<Micros>,
    #[serde(rename = "resent", default)]
    client_retry: bool,
    #[serde(rename = "seq_no")]
    attempt: Option<u32>,
    #[serde(rename = "host")]
    endpoint: Option<u32>,
    #[serde(borrow, rename = "result")]
    outcome: Option<BorrowedText<'a>>,
    #[serde(rename = "elapsed_us")]
    elapsed: Option<Micros>,
    #[serde(rename = "terminal", default)]
    request_finished: bool,
    #[serde(rename = "stats")]
    load: Option<LoadReportMessage>,
}

/// A string that is borrowed from the line unless it has escape sequences. This type is needed
/// because serde copies the string of an `Option<Cow<str>>`: it borrows only where the field's type
/// is `Cow` itself.
#[derive(Deserialize)]
#[serde(transparent)]
struct BorrowedText<'a>(#[serde(borrow)] Cow<'a, str>);

/// An endpoint's load report.
#[derive(Clone, Copy, Default, Deserialize)]
struct LoadReportMessage {
    #[serde(rename = "active")]
    in_flight: Option<f64>,
    #[serde(rename = "waiting")]
    queued: Option<f64>,
    #[serde(rename = "cpu")]
    cpu_utilization: Option<f64>,
}

impl From<LoadReportMessage> for LoadReport {
    fn from(message: LoadReportMessage) -> Self {
        LoadReport {
            in_flight: message.in_flight,
            queued: message.queued,
            cpu_utilization: message.cpu_utilization,
        }
    }
}

/// Checks that fields which a verb requires are present.
struct RequiredFields<'v> {
    verb: &'v str,
}

impl RequiredFields<'_> {
    fn check<T>(&self, value: Option<T>, field: &'static str) -> Result<T, InputError> {
        value.ok_or_else(|| InputError::MissingField {
            verb: self.verb.to_owned(),
            field,
        })
    }
}

impl<'a> Message<'a> {
    /// The balancer and the request, if the message is of a kind that must follow the request's
    /// arrival.
    pub(crate) fn existing_request(&self) -> Option<(i64, &str)> {
        match self.verb.as_ref() {
            "DONE" | "UNDER_WAY" | "CANCELLED_BY_CLIENT" => {
                Some((self.balancer?, &self.request.as_ref()?.0))
            }
            _ => None,
        }
    }

    /// Checks that the required fields are present and converts the message.
    pub(crate) fn into_input(mut self) -> Result<Input<'a>, InputError> {
        let verb = std::mem::take(&mut self.verb);
        let required = RequiredFields { verb: &verb };
        if verb == "POOL" {
            let list = required.check(self.list, "roster_id")?;
            return Ok(Input::List {
                list,
                endpoints: self.endpoints.unwrap_or_default(),
            });
        }
        let balancer = required.check(self.balancer, "proxy")?;
        let input = match verb.as_ref() {
            "CREATE" => BalancerInput::Create {
                settings: required.check(self.settings, "facts")?,
                seed: required.check(self.seed, "seed")?,
            },
            "DETACH" => BalancerInput::Remove,
            "MEMBERS" => self.list_update(&required)?,
            "ALARM" => BalancerInput::TimerExpired,
            "WHISPER" => BalancerInput::Gossip,
            "PROBED" => BalancerInput::HealthChecked {
                endpoint: EndpointId(required.check(self.endpoint, "host")?),
                outcome: outcome(&required.check(self.outcome, "result")?.0),
                load: self.load.unwrap_or_default().into(),
            },
            "JOB_IN" | "DONE" | "UNDER_WAY" | "CANCELLED_BY_CLIENT" => BalancerInput::Request {
                request: required.check(self.request.take(), "call")?.0,
                input: self.request_input(&required)?,
            },
            _ => return Err(InputError::UnknownVerb(verb.into_owned())),
        };
        Ok(Input::Balancer { balancer, input })
    }

    fn list_update(self, required: &RequiredFields) -> Result<BalancerInput<'a>, InputError> {
        let kind = match required.check(self.update_kind, "scope")? {
            0 => {
                return Ok(BalancerInput::ListUpdate {
                    kind: ListUpdate::PollFailed,
                    list: None,
                })
            }
            1 => ListUpdate::Cached,
            2 => ListUpdate::Delta,
            3 => ListUpdate::Full,
            scope => return Err(InputError::UnknownScope(scope)),
        };
        Ok(BalancerInput::ListUpdate {
            kind,
            list: Some(required.check(self.list, "roster_id")?),
        })
    }

    fn request_input(self, required: &RequiredFields) -> Result<RequestInput<'a>, InputError> {
        Ok(match required.verb {
            "JOB_IN" => RequestInput::Received {
                class: required.check(self.class, "tier_class")?.0,
                tenant: self.tenant.map(|tenant| tenant.0),
                time_left: required.check(self.time_left, "time_budget_us")?,
                client_retry: self.client_retry,
            },
            "DONE" => RequestInput::AttemptEnded {
                outcome: outcome(&required.check(self.outcome, "result")?.0),
                attempt: required.check(self.attempt, "seq_no")?,
                elapsed: self.elapsed.unwrap_or(0),
                finished: self.request_finished,
                load: self.load.unwrap_or_default().into(),
            },
            "UNDER_WAY" => RequestInput::ResponseStarted {
                attempt: required.check(self.attempt, "seq_no")?,
            },
            _ => RequestInput::Cancelled,
        })
    }
}

/// The outcome of an attempt or a health check. A result that is not listed here, such as one of a
/// later version of the wire format, counts as unknown.
fn outcome(result: &str) -> Outcome {
    match result {
        "served" => Outcome::Served,
        "server_error" => Outcome::Error,
        "turned_away" => Outcome::Rejected,
        "no_answer" => Outcome::TimedOut,
        "no_connection" => Outcome::ConnectFailed,
        "connection_lost" => Outcome::Reset,
        "called_off" => Outcome::Cancelled,
        "not_sent" => Outcome::NeverSent,
        _ => Outcome::Unknown,
    }
}

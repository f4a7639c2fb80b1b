//! Errors in a line of input. Messages use the wire's names of verbs and fields.

use balancer_settings::SettingsError;
use thiserror::Error;

/// Why a line of input could not be answered.
#[derive(Debug, Error)]
pub(crate) enum InputError {
    /// The line is not a batch of messages.
    #[error("the line is not a JSON batch of messages")]
    NotABatch(#[source] serde_json::Error),
    /// A message lacks a field that its verb requires.
    #[error("{verb}: the required field {field} is missing")]
    MissingField {
        /// The message's verb.
        verb: String,
        /// The missing field.
        field: &'static str,
    },
    /// The wire format has no such verb.
    #[error(
        "unknown verb {0}; allowed are CREATE, DETACH, POOL, MEMBERS, ALARM, WHISPER, PROBED, \
         JOB_IN, DONE, UNDER_WAY and CANCELLED_BY_CLIENT"
    )]
    UnknownVerb(String),
    /// No balancer has this number: it was not created, or it has been removed.
    #[error("message for unknown proxy {0}: it was not created, or DETACH has removed it")]
    UnknownBalancer(i64),
    /// The wire format has no such kind of list update.
    #[error(
        "MEMBERS: scope is {0}; allowed are 0 (failed poll), 1 (cached list), 2 (changed entries) \
         and 3 (full list)"
    )]
    UnknownScope(i64),
    /// A list update refers to an endpoint list that no earlier message contains.
    #[error("MEMBERS: unknown roster_id {0}; a POOL message must define it first")]
    UnknownList(i64),
    /// The wire format has no such endpoint state.
    #[error(
        "POOL: state of host {endpoint} is {state}; allowed are 0 (draining), 1 (ready) \
         and 2 (removed)"
    )]
    UnknownState {
        /// The endpoint's number.
        endpoint: u32,
        /// Its state in the message.
        state: u32,
    },
    /// The settings for a new balancer are malformed.
    #[error("CREATE: facts are not valid settings")]
    Settings(#[source] SettingsError),
    /// The reply could not be serialized.
    #[error("the reply cannot be serialized as JSON")]
    Reply(#[source] serde_json::Error),
}

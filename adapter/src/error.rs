//! Errors of a line of input. They name fields as the wire does.

use balancer_settings::SettingsError;
use thiserror::Error;

/// Why a line of input could not be answered.
#[derive(Debug, Error)]
pub(crate) enum InputError {
    /// The line is not a batch of messages.
    #[error("not a batch")]
    NotABatch(#[source] serde_json::Error),
    /// A field that the verb needs is absent.
    #[error("{verb} without {field}")]
    MissingField {
        /// The message's verb.
        verb: String,
        /// The absent field.
        field: &'static str,
    },
    /// The verb is none of the wire's.
    #[error("unknown verb {0}")]
    UnknownVerb(String),
    /// The balancer was not created, or has been removed.
    #[error("message for unknown proxy {0}")]
    UnknownBalancer(i64),
    /// The kind of list update is none of the wire's.
    #[error("MEMBERS with scope {0}, allowed are 0 to 3")]
    UnknownScope(i64),
    /// The list has not been sent.
    #[error("MEMBERS with unknown roster_id {0}")]
    UnknownList(i64),
    /// The state of an endpoint is none of the wire's.
    #[error("host {endpoint} with state {state}, allowed are 0 to 2")]
    UnknownState {
        /// Which endpoint.
        endpoint: u32,
        /// Its state.
        state: u32,
    },
    /// The settings cannot be used.
    #[error("facts cannot be used")]
    Settings(#[source] SettingsError),
    /// The reply could not be written as JSON.
    #[error("the reply cannot be written")]
    Reply(#[source] serde_json::Error),
}

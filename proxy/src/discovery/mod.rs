//! Discovery: the messages that carry the endpoint list, and the watch that delivers them.

mod message;
mod parser;
mod watch;

pub use message::{EndpointList, ListedEndpoint, ListedState};
pub use watch::{watch, WatchEnd, WatchError, WatchEvent, WatchTimeouts};

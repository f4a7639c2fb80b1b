//! Client of the discovery service: the endpoint list and the watch that delivers it.

mod message;
mod parser;
mod timeouts;
mod watch;

pub use message::{EndpointList, ListedEndpoint, ListedState};
pub use timeouts::WatchTimeouts;
pub use watch::{open_watch, OpenWatch, WatchEnd, WatchError, WatchEvent};

//! The proxy's side towards the endpoints: connections, one request and its response on a connection, and what the
//! response proves.

mod connection;
mod exchange;
pub(crate) mod idle_timeout;
mod load_report;
mod response;

pub use connection::{ConnectError, Connection};
pub use exchange::{exchange, AttemptEnd, ExchangeContext};

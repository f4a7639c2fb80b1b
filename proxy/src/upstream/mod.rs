//! The upstream side: connections to endpoints, the exchange of a request and its response, and the
//! outcome that follows from the response.

mod buffering;
mod connection;
mod exchange;
mod flush_request;
pub(crate) mod idle_timeout;
mod load_report;
mod response;

pub(crate) use buffering::BufferingContext;
pub(crate) use connection::{Connection, ConnectionPermit};
pub(crate) use exchange::{exchange, AttemptEnd, ExchangeContext};
pub(crate) use flush_request::FlushRequest;

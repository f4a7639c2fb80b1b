//! The proxies under test, which run as real processes.

mod configuration;
mod handoff;
mod limits;
mod process;

pub(crate) use process::{Program, Proxy};

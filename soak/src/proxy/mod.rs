//! The proxies that are tested: real processes of the program.

mod configuration;
mod handoff;
mod limits;
mod process;

pub(crate) use process::{Program, Proxy};

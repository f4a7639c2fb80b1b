//! A load tool: plays a crowd of difficult clients against a real proxy process on loopback, with
//! stand-in endpoints, and reports the process's resident memory and what ordinary clients got
//! meanwhile. `main.rs` is its command line; the proxy's tests and the soak test use the library.

pub mod behaviour;
pub mod endpoint;
pub mod flood;
pub mod large_body;
pub mod message;
pub mod ordinary;
pub mod process;
pub mod report;
pub mod resources;
pub mod scenario;

pub use behaviour::Behaviour;
pub use endpoint::StandInEndpoint;
pub use flood::{Flood, FloodKind};
pub use large_body::{LargeBody, LargeBodyAnswer};
pub use ordinary::{Answer, OrdinaryClients};
pub use process::{CoreShare, ProxyProcess};
pub use report::Report;
pub use resources::{ResourceSampler, ResourceUse};
pub use scenario::{play, Disturbance, Scenario};

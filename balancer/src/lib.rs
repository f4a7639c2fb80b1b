//! Decisions of a client-side load balancer: which endpoint gets a request, and when a request is
//! queued, retried, hedged, rejected or failed. The crate does no I/O and reads no clock.
//!
//! A proxy creates one [`Balancer`], feeds it [`Event`]s and carries out the [`Action`]s:
//!
//! ```
//! use balancer::{
//!     Action, Balancer, ClassId, EndpointEntry, EndpointId, EndpointState, Event, ListUpdate,
//!     RequestId, Settings,
//! };
//!
//! let mut balancer = Balancer::new(7, Settings::default());
//! let mut actions = Vec::new();
//! balancer.handle(0, Event::Start, &mut actions);
//! let state = EndpointState::Ready;
//! let entry = EndpointEntry { endpoint: EndpointId(1), state, ..EndpointEntry::default() };
//! let event = Event::EndpointList { kind: ListUpdate::Full, entries: vec![entry] };
//! balancer.handle(0, event, &mut actions);
//! let event = Event::RequestReceived {
//!     request: RequestId(1),
//!     class: ClassId(0),
//!     tenant: None,
//!     time_left: 500_000,
//!     client_retry: false,
//!     non_replayable: false,
//! };
//! balancer.handle(1_000, event, &mut actions);
//! for action in actions.drain(..) {
//!     match action {
//!         Action::Forward { request, endpoint, .. } => println!("{request:?} to {endpoint:?}"),
//!         Action::SetTimer { after } => println!("send Event::Timer in {after} us"),
//!         other => println!("{other:?}"),
//!     }
//! }
//! ```
#![forbid(unsafe_code)]

mod action;
mod admission;
mod attempt;
mod backoff;
mod balancer;
mod class_rejections;
mod concurrency_limit;
mod connection_trust;
mod ended_attempt;
mod endpoint;
mod endpoint_list;
mod endpoint_starts;
mod endpoints;
mod event;
mod feedback;
mod forwarding;
mod hedging;
mod ids;
mod latency;
mod list_polling;
mod outcome;
mod outlier_detection;
mod pending_queue;
mod queue_dispatch;
mod request;
mod request_lifecycle;
mod response_buffering;
mod retry;
mod retry_budget;
mod selection;
mod settings;
mod shared_limit;
mod slow_start;
mod subset;
mod tenant_usage;
mod timers;
mod uploads;
mod zone_outages;

pub use action::{Action, LogEvent};
pub use balancer::Balancer;
pub use connection_trust::ConnectionTrust;
pub use event::{EndpointEntry, EndpointState, Event, ListUpdate};
pub use ids::{CellId, ClassId, EndpointId, Micros, RequestId, TenantId, ZoneId};
pub use outcome::{FailureReason, LoadReport, Outcome};
pub use response_buffering::{BodyFraming, BufferingTimes};
pub use settings::{
    Class, DeduplicationScope, Discovery, DiscoveryMode, Idempotency, Limits, ScoreWeights,
    Settings, SlowStart, Tenant,
};

/// Compiles and runs the README's example as a doctest.
#[cfg(doctest)]
#[doc = include_str!("../../README.md")]
struct Readme;

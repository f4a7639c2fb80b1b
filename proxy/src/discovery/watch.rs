//! The watch: a request to discovery whose response goes on with each change of the endpoint list.

use super::message::EndpointList;
use super::parser::{ListParser, ParseError};
use crate::connect::connect;
use crate::socket::Socket;
use crate::task::{spawn, ScopedTask};
use crate::transient_errors::retry_transient;
use http_body_util::{BodyExt, Empty};
use hyper::body::{Bytes, Incoming};
use hyper::client::conn::http1;
use hyper::{header, Request, StatusCode};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;
use tokio::time::{timeout, Instant};

/// A heartbeat arrives every 2 s: a watch that is silent for half a second more is regarded as
/// dead, as is a request whose response has not begun by then. A missed change counts as notified 6
/// s after discovery had it and could be reached: 2.5 s to notice and at most 3 s until the next
/// request (the balancer's part) leave half a second for its response.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// A watch that was open for less than this was brief: it may end again as soon as it is open.
const BRIEF_WATCH: Duration = Duration::from_secs(1);
/// An agent on this machine responds at once. One that does not gets another request, and what it
/// has when it responds again counts as notified at once: a third of the drain grace passes before
/// a request is abandoned and a tenth until the next, which leaves more than half for that one.
/// Below the minimum, requests would be abandoned that only wait for the CPU.
const PUSH_RESPONSE_DIVISOR: u32 = 3;
const MIN_PUSH_RESPONSE_TIMEOUT: Duration = Duration::from_millis(100);
const MAX_PUSH_RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);
const REOPEN_DIVISOR: u32 = 10;
const MIN_REOPEN_DELAY: Duration = Duration::from_millis(10);
const MAX_REOPEN_DELAY: Duration = Duration::from_millis(100);

/// The time limits of a watch.
#[derive(Clone, Copy, Debug)]
pub struct WatchTimeouts {
    /// From the request to the head of its response.
    response: Duration,
    /// From the opening of a watch that has ended until the next is opened; `None`: the balancer
    /// decides when.
    pub reopen_delay: Option<Duration>,
}

impl WatchTimeouts {
    /// Where the list is polled from a shared discovery service: requests may have to queue there.
    pub fn for_polling() -> WatchTimeouts {
        WatchTimeouts {
            response: SILENCE_TIMEOUT,
            reopen_delay: None,
        }
    }

    /// Where the list is pushed to an agent on this machine.
    pub fn for_push(drain_grace: Duration) -> WatchTimeouts {
        let response = drain_grace / PUSH_RESPONSE_DIVISOR;
        let reopen_delay = drain_grace / REOPEN_DIVISOR;
        WatchTimeouts {
            response: response.clamp(MIN_PUSH_RESPONSE_TIMEOUT, MAX_PUSH_RESPONSE_TIMEOUT),
            reopen_delay: Some(reopen_delay.clamp(MIN_REOPEN_DELAY, MAX_REOPEN_DELAY)),
        }
    }
}

/// Why a watch ended.
#[derive(Debug, Error)]
pub enum WatchError {
    /// The connection did not open.
    #[error(transparent)]
    Connect(#[from] io::Error),
    /// The request could not be built.
    #[error(transparent)]
    Request(#[from] hyper::http::Error),
    /// The connection broke, or the response could not be parsed as HTTP.
    #[error(transparent)]
    Http(#[from] hyper::Error),
    /// The response had a status other than 200.
    #[error("discovery responded with status {0}")]
    Status(StatusCode),
    /// The response did not begin in time.
    #[error("discovery did not respond within {0:?}")]
    NoResponse(Duration),
    /// Neither a list nor a heartbeat arrived in time.
    #[error("the watch was silent for {0:?}")]
    Silent(Duration),
    /// The response ended.
    #[error("the watch ended")]
    Ended,
    /// The response is no endpoint list.
    #[error(transparent)]
    Parse(#[from] ParseError),
}

/// How a watch ended.
#[derive(Debug)]
pub struct WatchEnd {
    /// Why.
    pub reason: WatchError,
    /// How long it had been open; `None`: it never was.
    pub open_for: Option<Duration>,
}

impl WatchEnd {
    /// Whether it had been open, but hardly any time.
    pub fn was_brief(&self) -> bool {
        self.open_for.is_some_and(|open_for| open_for < BRIEF_WATCH)
    }
}

/// What a watch delivers.
#[derive(Debug)]
pub enum WatchEvent {
    /// A list.
    List(EndpointList),
    /// Nothing has changed.
    Heartbeat,
}

/// Watches the list for changes after the version `since`, and passes on its events until the watch
/// ends.
pub async fn watch(
    discovery: SocketAddr,
    since: Option<u64>,
    timeouts: WatchTimeouts,
    mut on_event: impl FnMut(WatchEvent),
) -> WatchEnd {
    let opened = timeout(timeouts.response, open(discovery, since)).await;
    match opened.unwrap_or(Err(WatchError::NoResponse(timeouts.response))) {
        Ok((body, _connection)) => {
            let opened_at = Instant::now();
            let reason = follow(body, &mut on_event).await;
            WatchEnd {
                reason,
                open_for: Some(opened_at.elapsed()),
            }
        }
        Err(reason) => WatchEnd {
            reason,
            open_for: None,
        },
    }
}

async fn open(
    discovery: SocketAddr,
    since: Option<u64>,
) -> Result<(Incoming, ScopedTask), WatchError> {
    let stream = retry_transient(SILENCE_TIMEOUT, async || connect(discovery).await).await?;
    let (mut sender, connection) = http1::handshake(Socket::new(stream)).await?;
    let connection = spawn(connection);
    let since = since
        .map(|version| format!("&since={version}"))
        .unwrap_or_default();
    let request = Request::get(format!("/catalog/members?follow=1{since}"))
        .header(header::HOST, discovery.to_string())
        .body(Empty::<Bytes>::new())?;
    let response = sender.send_request(request).await?;
    if response.status() != StatusCode::OK {
        return Err(WatchError::Status(response.status()));
    }
    Ok((response.into_body(), connection))
}

async fn follow(mut body: Incoming, on_event: &mut impl FnMut(WatchEvent)) -> WatchError {
    let mut parser = ListParser::default();
    loop {
        let data = match timeout(SILENCE_TIMEOUT, body.frame()).await {
            Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
            Ok(Some(Err(error))) => return error.into(),
            Ok(None) => return WatchError::Ended,
            Err(_) => return WatchError::Silent(SILENCE_TIMEOUT),
        };
        if let Err(error) = parser.read(&data, &mut |list| on_event(WatchEvent::List(list))) {
            return error.into();
        }
        // An empty line between two objects.
        if parser.is_between_objects() && data.iter().all(u8::is_ascii_whitespace) {
            on_event(WatchEvent::Heartbeat);
        }
    }
}

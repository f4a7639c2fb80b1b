//! The watch: a long-lived HTTP request to discovery, whose response body carries the endpoint list
//! and then each change of it.

use super::message::EndpointList;
use super::parser::{ListParser, ParseError};
use super::timeouts::SILENCE_TIMEOUT;
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

/// A watch that was open for less than this counts as brief. After brief watches in a row, the next
/// one is opened with a backoff, as it may end right away as well.
const BRIEF_WATCH_LIMIT: Duration = Duration::from_secs(1);

/// Why a watch ended or could not be opened.
#[derive(Debug, Error)]
pub enum WatchError {
    /// Connecting to discovery failed.
    #[error(transparent)]
    Connect(#[from] io::Error),
    /// The request could not be built.
    #[error(transparent)]
    Request(#[from] hyper::http::Error),
    /// The connection broke, or the response could not be parsed as HTTP.
    #[error(transparent)]
    Http(#[from] hyper::Error),
    /// The response had a status other than 200.
    #[error("the response has status {0} instead of 200 OK")]
    Status(StatusCode),
    /// The head of the response did not arrive in time.
    #[error("no response arrived within {0:?}")]
    NoResponse(Duration),
    /// Nothing arrived for too long, not even a heartbeat.
    #[error("nothing arrived for {0:?}, not even a heartbeat")]
    Silent(Duration),
    /// The response body ended.
    #[error("discovery ended the response")]
    Ended,
    /// The response body contains something other than endpoint lists.
    #[error(transparent)]
    Parse(#[from] ParseError),
}

/// How a watch ended.
#[derive(Debug)]
pub struct WatchEnd {
    /// Why it ended.
    pub reason: WatchError,
    /// How long it was open; `None`: it could not be opened.
    pub open_for: Option<Duration>,
}

impl WatchEnd {
    /// The end of a call that could not open a watch.
    pub fn not_opened(reason: WatchError) -> WatchEnd {
        WatchEnd {
            reason,
            open_for: None,
        }
    }

    /// Whether the watch could be opened, but was open for less than `BRIEF_WATCH_LIMIT`.
    pub fn was_brief(&self) -> bool {
        self.open_for
            .is_some_and(|open_for| open_for < BRIEF_WATCH_LIMIT)
    }
}

/// An event of a watch.
#[derive(Debug)]
pub enum WatchEvent {
    /// An endpoint list, full or with the changed entries.
    List(EndpointList),
    /// A heartbeat: nothing has changed.
    Heartbeat,
}

/// A watch that discovery has opened.
pub struct OpenWatch {
    body: Incoming,
    opened_at: Instant,
    _connection: ScopedTask,
}

/// Asks for a watch of the endpoint list for changes after the version `since`, and waits without a
/// limit until it is open. `since` of `None` asks for the full list.
///
/// # Errors
/// Discovery can't be reached, or its response is not that of an open watch.
pub async fn open_watch(
    discovery: SocketAddr,
    since: Option<u64>,
) -> Result<OpenWatch, WatchError> {
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
    Ok(OpenWatch {
        body: response.into_body(),
        opened_at: Instant::now(),
        _connection: connection,
    })
}

impl OpenWatch {
    /// Calls `on_event` for each event until the watch ends.
    pub async fn follow(mut self, mut on_event: impl FnMut(WatchEvent)) -> WatchEnd {
        let reason = self.read_events(&mut on_event).await;
        WatchEnd {
            reason,
            open_for: Some(self.opened_at.elapsed()),
        }
    }

    async fn read_events(&mut self, on_event: &mut impl FnMut(WatchEvent)) -> WatchError {
        let mut parser = ListParser::default();
        loop {
            let data = match timeout(SILENCE_TIMEOUT, self.body.frame()).await {
                Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
                Ok(Some(Err(error))) => return error.into(),
                Ok(None) => return WatchError::Ended,
                Err(_) => return WatchError::Silent(SILENCE_TIMEOUT),
            };
            if let Err(error) = parser.feed(&data, &mut |list| on_event(WatchEvent::List(list))) {
                return error.into();
            }
            // A heartbeat is an empty line between two objects.
            if parser.is_between_objects() && data.iter().all(u8::is_ascii_whitespace) {
                on_event(WatchEvent::Heartbeat);
            }
        }
    }
}

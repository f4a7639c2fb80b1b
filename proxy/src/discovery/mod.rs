//! The list of hosts: its form, and the watch that brings its changes.

use crate::connect::connect;
use crate::socket::Socket;
use crate::task::{spawn, ScopedTask};
use crate::transient_errors::retry_transient;
use crate::upstream::BoxError;
use balancer::EndpointState;
use http_body_util::{BodyExt, Empty};
use hyper::body::{Bytes, Incoming};
use hyper::{header, Request, StatusCode};
use serde::Deserialize;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{timeout, Instant};

/// A heartbeat comes every 2 s: a watch that is silent for half a second more is taken for dead, as is a call whose answer
/// has not begun by then. What is missed counts as told 6 s after discovery had it and could be reached: 2.5 s for noticing
/// and 3 s at the most until the next call begins (the module's part) leave half a second for its answer.
const SILENCE: Duration = Duration::from_millis(2_500);
/// A watch that was open for less was open briefly: it may end as soon as it is open again.
const BRIEF: Duration = Duration::from_secs(1);
/// An agent on this machine answers at once. One that does not is asked again, and what it has when it speaks again counts
/// as told at once: a third of the drain grace goes by before a call is given up and a tenth until the next, which leaves
/// more than half for that one. Below the least, calls would be given up that only wait for the processor.
const ANSWER_PART: u32 = 3;
const ANSWER_LEAST: Duration = Duration::from_millis(100);
const ANSWER_MOST: Duration = Duration::from_secs(1);
const PAUSE_PART: u32 = 10;
const PAUSE_LEAST: Duration = Duration::from_millis(10);
const PAUSE_MOST: Duration = Duration::from_millis(100);
/// Longest object of a watch; a longer one is not a list of any fleet that one proxy serves.
const OBJECT_MOST: usize = 4 << 20;

/// An update of the endpoint list: the whole list, or the entries that changed.
#[derive(Clone, Debug, Deserialize)]
pub struct EndpointList {
    /// Version of the list.
    #[serde(rename = "seq")]
    pub version: u64,
    /// Whether this is the whole list.
    #[serde(rename = "whole")]
    pub is_full: bool,
    /// The entries.
    #[serde(rename = "hosts")]
    pub endpoints: Vec<ListedEndpoint>,
}

/// An entry of the list.
#[derive(Clone, Debug, Deserialize)]
pub struct ListedEndpoint {
    /// Its name, the same for every proxy.
    #[serde(rename = "host")]
    pub name: String,
    /// Where it listens.
    #[serde(rename = "dial")]
    pub address: SocketAddr,
    /// Its zone.
    #[serde(rename = "site", default)]
    pub zone: String,
    /// Its cell: the endpoints that deduplicate each other's requests.
    #[serde(rename = "block", default)]
    pub cell: u32,
    /// Its state.
    #[serde(rename = "health")]
    pub state: ListedState,
    /// Its size relative to the others'.
    #[serde(rename = "share", default)]
    pub weight: f64,
    /// When its process started, Unix time in milliseconds; 0: long ago.
    #[serde(rename = "born_ms", default)]
    pub started_at_ms: u64,
}

/// State of an endpoint in the list.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
pub enum ListedState {
    /// It takes requests.
    Ready,
    /// It finishes the requests that it has and takes no new ones.
    #[serde(rename = "Terminating")]
    Draining,
    /// It has been removed.
    #[serde(rename = "Gone")]
    Removed,
}

impl From<ListedState> for EndpointState {
    fn from(state: ListedState) -> EndpointState {
        match state {
            ListedState::Ready => EndpointState::Ready,
            ListedState::Draining => EndpointState::Draining,
            ListedState::Removed => EndpointState::Removed,
        }
    }
}

/// How long a watch is waited for.
#[derive(Clone, Copy, Debug)]
pub struct WatchTimeouts {
    /// From the call to the head of its answer.
    answer: Duration,
    /// Until a watch that has ended is opened again; `None`: the decision module says when.
    pub reopen_delay: Option<Duration>,
}

impl WatchTimeouts {
    /// Where the list is asked for: calls may have to wait for their turn.
    pub fn for_polling() -> WatchTimeouts {
        WatchTimeouts { answer: SILENCE, reopen_delay: None }
    }

    /// Where the list is pushed to an agent on this machine.
    pub fn for_push(drain_grace: Duration) -> WatchTimeouts {
        let answer = (drain_grace / ANSWER_PART).clamp(ANSWER_LEAST, ANSWER_MOST);
        let pause = (drain_grace / PAUSE_PART).clamp(PAUSE_LEAST, PAUSE_MOST);
        WatchTimeouts { answer, reopen_delay: Some(pause) }
    }
}

/// How a watch ended.
#[derive(Debug)]
pub struct WatchEnd {
    /// The connection broke or ended, the answer was not 200, what came was no list, or nothing came for too long.
    pub reason: BoxError,
    /// How long it had been open; `None`: it never was.
    pub open_for: Option<Duration>,
}

impl WatchEnd {
    /// Whether it had been open, but for hardly any time.
    pub fn was_brief(&self) -> bool {
        self.open_for.is_some_and(|lasted| lasted < BRIEF)
    }
}

/// What a watch brings.
#[derive(Debug)]
pub enum WatchEvent {
    /// A list.
    List(EndpointList),
    /// Nothing has changed.
    Heartbeat,
}

/// Watches the list from version `since` on and passes on what comes, until the watch ends.
pub async fn watch(
    discovery: SocketAddr,
    since: Option<u64>,
    patience: WatchTimeouts,
    mut news: impl FnMut(WatchEvent),
) -> WatchEnd {
    let opening = async { timeout(patience.answer, open(discovery, since)).await? };
    match opening.await {
        Ok((body, _connection)) => {
            let opened = Instant::now();
            let reason = follow(body, &mut news).await;
            WatchEnd { reason, open_for: Some(opened.elapsed()) }
        }
        Err(reason) => WatchEnd { reason, open_for: None },
    }
}

async fn open(discovery: SocketAddr, since: Option<u64>) -> Result<(Incoming, ScopedTask), BoxError> {
    let stream = retry_transient(SILENCE, async || connect(discovery).await).await?;
    let (mut sender, connection) = hyper::client::conn::http1::handshake(Socket::new(stream)).await?;
    let connection = spawn(connection);
    let since = since.map(|seq| format!("&since={seq}")).unwrap_or_default();
    let request = Request::get(format!("/catalog/members?follow=1{since}"))
        .header(header::HOST, discovery.to_string())
        .body(Empty::<Bytes>::new())?;
    let response = sender.send_request(request).await?;
    if response.status() != StatusCode::OK {
        return Err(format!("discovery answered {}", response.status()).into());
    }
    Ok((response.into_body(), connection))
}

async fn follow(mut body: Incoming, news: &mut impl FnMut(WatchEvent)) -> BoxError {
    let mut objects = Objects::default();
    loop {
        let data = match timeout(SILENCE, body.frame()).await {
            Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
            Ok(Some(Err(error))) => return error.into(),
            Ok(None) => return "the watch ended".into(),
            Err(silent) => return silent.into(),
        };
        if let Err(reason) = objects.read(&data, &mut |list| news(WatchEvent::List(list))) {
            return reason;
        }
        // An empty line between two objects.
        if objects.is_between() && data.iter().all(u8::is_ascii_whitespace) {
            news(WatchEvent::Heartbeat);
        }
    }
}

/// Cuts what a watch brings into its objects. They may be cut anywhere on their way, and stand in one line or, indented,
/// in many.
#[derive(Debug, Default)]
struct Objects {
    /// Of the object that has begun.
    bytes: Vec<u8>,
    depth: u32,
    quoted: bool,
    escaped: bool,
}

impl Objects {
    fn read(&mut self, bytes: &[u8], news: &mut impl FnMut(EndpointList)) -> Result<(), BoxError> {
        for &byte in bytes {
            if self.depth == 0 && byte.is_ascii_whitespace() {
                continue;
            }
            if self.bytes.len() == OBJECT_MOST {
                return Err("a list is too long".into());
            }
            self.bytes.push(byte);
            self.step(byte);
            // What begins with anything but a brace is no list, and ends here as well.
            if self.depth == 0 {
                news(serde_json::from_slice(&self.bytes)?);
                self.bytes.clear();
            }
        }
        self.bytes.shrink_to(bytes.len());
        Ok(())
    }

    /// Whether no object has begun.
    fn is_between(&self) -> bool {
        self.bytes.is_empty()
    }

    fn step(&mut self, byte: u8) {
        match byte {
            _ if std::mem::take(&mut self.escaped) => {}
            b'\\' => self.escaped = self.quoted,
            b'"' => self.quoted = !self.quoted,
            b'{' | b'[' if !self.quoted => self.depth += 1,
            b'}' | b']' if !self.quoted => self.depth = self.depth.saturating_sub(1),
            _ => {}
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn read(text: &str, piece: usize) -> Result<Vec<(u64, usize)>, String> {
        let (mut objects, mut lists) = (Objects::default(), Vec::new());
        for piece in text.as_bytes().chunks(piece) {
            let mut news = |list: EndpointList| lists.push((list.version, list.endpoints.len()));
            objects.read(piece, &mut news).map_err(|e| e.to_string())?;
        }
        Ok(lists)
    }

    #[test]
    fn objects_are_read_in_one_line_or_in_many_however_they_are_cut() {
        let endpoint = r#"{"host":"a}\"{]","dial":"127.0.0.1:1","health":"Ready","more":[{}]}"#;
        let flat = format!(r#"{{"seq":1,"whole":true,"hosts":[{endpoint},{endpoint}]}}"#);
        let value: serde_json::Value = serde_json::from_str(&flat).expect("an object");
        let indented = serde_json::to_string_pretty(&value).expect("text");
        let text = format!("\n{flat}\n\n{indented}\r\n\n{flat}{indented}\n");
        for piece in 1..=text.len() {
            assert_eq!(read(&text, piece), Ok(vec![(1, 2); 4]), "in pieces of {piece}");
        }
    }

    #[test]
    fn what_is_no_list_is_an_error_at_once() {
        for text in ["x", "}", "7", "{}", "[{}]", "\"{\"", "{\"seq\":1,\"whole\":true,\"hosts\":7}", "{]"] {
            assert!(read(text, 1).is_err(), "{text}");
        }
        assert_eq!(read("{\"seq\":", 3), Ok(Vec::new()), "it may go on");
        assert!(read(&"[".repeat(OBJECT_MOST + 1), 1 << 16).is_err(), "not for ever");
    }
}

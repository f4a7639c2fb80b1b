//! A discovery service that responds to watch requests according to a script.

use super::discovery::WATCH_HEAD;
use super::http::MessageReader;
use super::program::reserve_port;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{sleep, Instant};

/// A step of the script: the response to one watch request, or a time without a listener.
#[derive(Clone, Debug)]
pub(crate) enum WatchResponse {
    /// Writes this text and keeps the connection open.
    Respond(String),
    /// Writes this text after a delay and keeps the connection open.
    RespondAfter(Duration, String),
    /// Resets the connection.
    Reset,
    /// Stops listening at the service's address for this time, in which it gets no watch request.
    Unreachable(Duration),
}
use WatchResponse::{Reset, Respond, RespondAfter, Unreachable};

pub(crate) const UNAVAILABLE: &str =
    "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
// Functions, because a constant can't hold a `String` that is not empty.
pub(crate) const NO_UPDATES: fn() -> WatchResponse = || Respond(WATCH_HEAD.to_owned());
pub(crate) const NO_RESPONSE: fn() -> WatchResponse = || Respond(String::new());
pub(crate) const REJECTED: fn() -> WatchResponse = || Respond(UNAVAILABLE.to_owned());
pub(crate) const REJECTED_LATE: fn() -> WatchResponse =
    || RespondAfter(Duration::from_secs(2), UNAVAILABLE.to_owned());
pub(crate) const PARTIAL_HEAD: fn() -> WatchResponse =
    || Respond("HTTP/1.1 200 OK\r\nTransfer-Enc".to_owned());

/// A discovery service that gives its scripted responses in order, and then accepts watches without
/// sending updates.
#[derive(Clone)]
pub(crate) struct ScriptedDiscovery {
    pub(crate) address: SocketAddr,
    pub(crate) request_count: Rc<Cell<usize>>,
    /// When its address last became reachable again.
    pub(crate) reachable_since: Rc<Cell<Option<Instant>>>,
    /// Connections on which a response, which may be empty, has been written. They stay open until
    /// `reset`.
    pub(crate) open_connections: Rc<RefCell<Vec<TcpStream>>>,
}

impl ScriptedDiscovery {
    pub(crate) async fn start(
        script: impl IntoIterator<Item = WatchResponse>,
    ) -> ScriptedDiscovery {
        // Keeps the port reserved while nothing listens on it.
        let port = reserve_port();
        let address = port.local_addr().expect("no local address");
        let mut listener = TcpListener::bind(address)
            .await
            .expect("cannot listen on the reserved port");
        let discovery = ScriptedDiscovery {
            address,
            request_count: Rc::default(),
            reachable_since: Rc::default(),
            open_connections: Rc::default(),
        };
        let serving = discovery.clone();
        let mut script: VecDeque<_> = script.into_iter().collect();
        spawn_local(async move {
            let _port = port;
            loop {
                if let Some(Unreachable(span)) = script.front() {
                    drop(listener);
                    sleep(*span).await;
                    listener = TcpListener::bind(address)
                        .await
                        .expect("cannot listen on the reserved port again");
                    serving.reachable_since.set(Some(Instant::now()));
                    script.pop_front();
                    continue;
                }
                let (mut stream, _) = listener.accept().await.expect("accept failed");
                let mut reader = MessageReader::new(&mut stream);
                if reader.receive().await.is_none() {
                    continue;
                }
                serving.request_count.set(serving.request_count.get() + 1);
                serving
                    .respond(stream, script.pop_front().unwrap_or_else(NO_UPDATES))
                    .await;
            }
        });
        discovery
    }

    async fn respond(&self, mut stream: TcpStream, response: WatchResponse) {
        match response {
            Respond(text) => {
                stream
                    .write_all(text.as_bytes())
                    .await
                    .expect("write failed");
                self.open_connections.borrow_mut().push(stream);
            }
            RespondAfter(delay, text) => {
                let open_connections = self.open_connections.clone();
                spawn_local(async move {
                    sleep(delay).await;
                    // The proxy may have abandoned the request.
                    let _ = stream.write_all(text.as_bytes()).await;
                    open_connections.borrow_mut().push(stream);
                });
            }
            Reset => reset_connection(&stream),
            Unreachable(_) => unreachable!("handled before a connection is accepted"),
        }
    }

    /// Number of connections with a response, which may be empty, that the proxy has not closed.
    pub(crate) fn open_connection_count(&self) -> usize {
        let connections = self.open_connections.borrow();
        let is_open = |stream: &&TcpStream| stream.try_read(&mut [0]).is_err();
        connections.iter().filter(is_open).count()
    }

    /// Resets all open connections.
    pub(crate) fn reset(&self) {
        for stream in self.open_connections.borrow_mut().drain(..) {
            reset_connection(&stream);
        }
    }
}

fn reset_connection(stream: &TcpStream) {
    socket2::SockRef::from(stream)
        .set_linger(Some(Duration::ZERO))
        .expect("SO_LINGER not set");
}

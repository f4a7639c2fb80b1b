//! A test double for the discovery service, and the endpoint lists that it sends.

use super::http::MessageReader;
use serde_json::json;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

/// Head of the response to a watch request; its chunked body carries the endpoint lists.
pub(crate) const WATCH_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// A discovery service that responds to each watch request with the next of its responses, or with
/// `WATCH_HEAD` once they are used up. `push` sends further text on the last watch. For delayed
/// responses, resets before a response and an unreachable service, use `ScriptedDiscovery`.
#[derive(Clone)]
pub(crate) struct TestDiscovery {
    pub(crate) address: SocketAddr,
    /// Start lines of the watch requests that a response has been written to.
    pub(crate) watch_requests: Rc<RefCell<Vec<String>>>,
    watch: Rc<RefCell<Option<OwnedWriteHalf>>>,
}

impl TestDiscovery {
    /// Starts a discovery service that accepts watches and sends no updates.
    pub(crate) async fn without_updates() -> TestDiscovery {
        TestDiscovery::start([WATCH_HEAD.to_owned()]).await
    }

    pub(crate) async fn start(responses: impl IntoIterator<Item = String>) -> TestDiscovery {
        TestDiscovery::on_listener(
            TcpListener::bind("127.0.0.1:0")
                .await
                .expect("cannot bind a port"),
            responses,
        )
    }

    pub(crate) fn on_listener(
        listener: TcpListener,
        responses: impl IntoIterator<Item = String>,
    ) -> TestDiscovery {
        let address = listener.local_addr().expect("no local address");
        let discovery = TestDiscovery {
            address,
            watch_requests: Rc::default(),
            watch: Rc::default(),
        };
        let serving = discovery.clone();
        let mut responses: VecDeque<_> = responses.into_iter().collect();
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (read, mut write) = stream.into_split();
                let mut reader = MessageReader::new(read);
                let Some(message) = reader.receive().await else {
                    continue;
                };
                let response = responses
                    .pop_front()
                    .unwrap_or_else(|| WATCH_HEAD.to_owned());
                write
                    .write_all(response.as_bytes())
                    .await
                    .expect("write failed");
                serving.watch_requests.borrow_mut().push(message.start_line);
                *serving.watch.borrow_mut() = Some(write);
            }
        });
        discovery
    }

    /// Resets the connection of the last watch.
    pub(crate) fn reset(&self) {
        let watch = self.watch.borrow_mut().take().expect("no watch is open");
        socket2::SockRef::from(watch.as_ref())
            .set_linger(Some(Duration::ZERO))
            .expect("SO_LINGER not set");
        drop(watch);
    }

    /// Whether the proxy has closed the connection of the last watch.
    pub(crate) fn is_disconnected(&self) -> bool {
        let watch = self.watch.borrow();
        let stream: &TcpStream = watch.as_ref().expect("no watch is open").as_ref();
        stream.try_read(&mut [0]).is_ok_and(|count| count == 0)
    }

    /// Sends text on the last watch.
    pub(crate) async fn push(&self, text: &str) {
        let mut watch = self.watch.borrow_mut().take().expect("no watch is open");
        watch
            .write_all(text.as_bytes())
            .await
            .expect("write failed");
        *self.watch.borrow_mut() = Some(watch);
    }
}

/// An entry of an endpoint list, with this name, address and health.
pub(crate) fn endpoint_entry(name: &str, address: SocketAddr, health: &str) -> serde_json::Value {
    json!({"host": name, "dial": address.to_string(), "site": "a", "class": "m2", "block": 3,
           "health": health, "share": 1.0, "born_ms": 0})
}

/// An endpoint list of this version as JSON, either full or with changes only.
pub(crate) fn endpoint_list(version: u64, is_full: bool, entries: &[serde_json::Value]) -> String {
    json!({"seq": version, "whole": is_full, "hosts": entries}).to_string()
}

//! Clients of the proxy, and how they disconnect.

use super::http::{Message, MessageReader};
use std::io::Write;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;

/// A connection of a client, or any other whose messages a test reads and writes itself.
pub(crate) type Client = MessageReader<TcpStream>;

impl Client {
    pub(crate) async fn send(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).await.expect("written");
    }

    /// Sends a request and reads its response.
    pub(crate) async fn exchange(&mut self, text: &str) -> Message {
        self.send(text).await;
        self.message().await.expect("a response")
    }
}

/// Connects to an address as soon as somebody listens there.
pub(crate) async fn connect_when_listening(address: SocketAddr) -> Client {
    loop {
        match TcpStream::connect(address).await {
            Ok(stream) => return MessageReader::new(stream),
            Err(_) => sleep(Duration::from_millis(1)).await,
        }
    }
}

/// Connects to an address where somebody must listen.
pub(crate) async fn connect(address: SocketAddr) -> Client {
    MessageReader::new(TcpStream::connect(address).await.expect("the program accepts"))
}

/// How a client disconnects.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Disconnect {
    Close,
    Reset,
}

pub(crate) const DISCONNECTS: [Disconnect; 2] = [Disconnect::Close, Disconnect::Reset];

pub(crate) fn disconnect(client: Client, how: Disconnect) {
    if how == Disconnect::Reset {
        let socket = socket2::SockRef::from(&client.stream);
        socket.set_linger(Some(Duration::ZERO)).expect("zero linger");
    }
    drop(client);
}

/// Connects, writes and disconnects before the proxy gets a turn.
pub(crate) fn send_and_disconnect(address: SocketAddr, text: &str, how: Disconnect) {
    let mut stream = std::net::TcpStream::connect(address).expect("connected");
    stream.write_all(text.as_bytes()).expect("written");
    if how == Disconnect::Reset {
        socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("zero linger");
    }
}

//! Connections whose messages a test reads and writes itself, and the ways in which a client
//! disconnects.

use super::http::{ok_response, Message, MessageReader};
use std::io::Write;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// A connection whose messages a test reads and writes itself: from a client to the proxy, or from
/// the proxy to an endpoint.
pub(crate) type TestConnection = MessageReader<TcpStream>;

impl TestConnection {
    pub(crate) async fn send(&mut self, text: &str) {
        self.stream
            .write_all(text.as_bytes())
            .await
            .expect("write failed");
    }

    /// Sends a request and reads its response.
    pub(crate) async fn exchange(&mut self, text: &str) -> Message {
        self.send(text).await;
        self.receive().await.expect("no response")
    }
}

/// Connects to an address, and retries until something listens there.
pub(crate) async fn connect_when_listening(address: SocketAddr) -> TestConnection {
    loop {
        match TcpStream::connect(address).await {
            Ok(stream) => return MessageReader::new(stream),
            Err(_) => sleep(Duration::from_millis(1)).await,
        }
    }
}

/// Connects to an address; panics if nothing listens there.
pub(crate) async fn connect(address: SocketAddr) -> TestConnection {
    let stream = TcpStream::connect(address).await;
    MessageReader::new(
        stream.unwrap_or_else(|error| panic!("cannot connect to {address}: {error}")),
    )
}

/// How a client disconnects: by an orderly close or by a TCP reset.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Disconnect {
    Close,
    Reset,
}

pub(crate) const DISCONNECT_KINDS: [Disconnect; 2] = [Disconnect::Close, Disconnect::Reset];

pub(crate) fn disconnect(client: TestConnection, kind: Disconnect) {
    if kind == Disconnect::Reset {
        let socket = socket2::SockRef::from(&client.stream);
        socket
            .set_linger(Some(Duration::ZERO))
            .expect("SO_LINGER not set");
    }
    drop(client);
}

/// Connects, writes and disconnects by blocking calls, so that the proxy, which runs on the same
/// thread, does not run before the client has disconnected.
pub(crate) fn send_and_disconnect(address: SocketAddr, text: &str, kind: Disconnect) {
    let mut stream = std::net::TcpStream::connect(address).expect("cannot connect to the proxy");
    stream.write_all(text.as_bytes()).expect("write failed");
    if kind == Disconnect::Reset {
        socket2::SockRef::from(&stream)
            .set_linger(Some(Duration::ZERO))
            .expect("SO_LINGER not set");
    }
}

/// Accepts the next connection to a listener.
pub(crate) async fn accept(listener: &TcpListener) -> TestConnection {
    MessageReader::new(listener.accept().await.expect("accept failed").0)
}

/// Writes a response with status 200 and this body.
pub(crate) async fn respond_ok(connection: &mut TestConnection, body: &str) {
    connection.send(&ok_response(body)).await;
}

/// Writes without yielding, so that the proxy, which runs on the same thread, does not run between
/// this write and the caller's next step. Panics if the socket's buffer can't take the whole text.
pub(crate) fn write_now(connection: &TestConnection, text: &str) {
    let written = connection
        .stream
        .try_write(text.as_bytes())
        .expect("write failed");
    assert_eq!(written, text.len());
}

/// Waits until the connection is writable, and then writes without yielding.
pub(crate) async fn write_once_writable(connection: &TestConnection, text: &str) {
    connection.stream.writable().await.expect("not writable");
    write_now(connection, text);
}

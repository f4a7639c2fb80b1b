//! Test endpoints: one that follows a script, one whose connections the test serves itself, and one
//! that accepts no connections.

use super::http::{ok_response, Message, MessageReader, REJECTION};
use super::is_connecting;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::timeout;

/// How an endpoint responds to a request that it has read completely.
#[derive(Clone, Debug)]
pub(crate) enum ScriptedResponse {
    /// Writes this text and keeps the connection open.
    Write(String),
    /// Writes this text and closes the connection.
    WriteAndClose(String),
    /// Writes nothing until the test releases the request, and then a response with the body
    /// `released`. Ends if the proxy closes the connection or sends more bytes, or if the test
    /// resets the connection.
    Stall,
}

/// A scripted response with status 200 and this body.
pub(crate) fn ok(body: &str) -> ScriptedResponse {
    ScriptedResponse::Write(ok_response(body))
}

/// A scripted rejection: its header `X-Rejected` means that the endpoint has not run the request.
pub(crate) fn reject() -> ScriptedResponse {
    ScriptedResponse::Write(REJECTION.to_owned())
}

/// An endpoint that sends its scripted responses in order and repeats the last one.
#[derive(Clone)]
pub(crate) struct TestEndpoint {
    pub(crate) address: SocketAddr,
    /// Requests that were read completely.
    pub(crate) requests: Rc<RefCell<Vec<Message>>>,
    /// Number of connections that were accepted.
    pub(crate) accepted_connection_count: Rc<Cell<usize>>,
    /// Number of connections that are open now.
    pub(crate) open_connection_count: Rc<Cell<usize>>,
    pub(crate) script: Rc<RefCell<VecDeque<ScriptedResponse>>>,
    /// When notified, one stalled request gets a response.
    pub(crate) release: Rc<Notify>,
    /// When notified, the connections of all stalled requests are reset.
    pub(crate) resets: Rc<Notify>,
}

impl TestEndpoint {
    pub(crate) async fn start(script: impl IntoIterator<Item = ScriptedResponse>) -> TestEndpoint {
        TestEndpoint::on_listener(
            TcpListener::bind("127.0.0.1:0")
                .await
                .expect("cannot bind a port"),
            script,
        )
    }

    pub(crate) fn on_listener(
        listener: TcpListener,
        script: impl IntoIterator<Item = ScriptedResponse>,
    ) -> TestEndpoint {
        let endpoint = TestEndpoint {
            address: listener.local_addr().expect("no local address"),
            requests: Rc::default(),
            accepted_connection_count: Rc::default(),
            open_connection_count: Rc::default(),
            script: Rc::new(RefCell::new(script.into_iter().collect())),
            release: Rc::default(),
            resets: Rc::default(),
        };
        let accepting = endpoint.clone();
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let endpoint = accepting.clone();
                endpoint
                    .accepted_connection_count
                    .set(endpoint.accepted_connection_count.get() + 1);
                endpoint
                    .open_connection_count
                    .set(endpoint.open_connection_count.get() + 1);
                spawn_local(async move {
                    endpoint.serve(stream).await;
                    endpoint
                        .open_connection_count
                        .set(endpoint.open_connection_count.get() - 1);
                });
            }
        });
        endpoint
    }

    async fn serve(&self, stream: TcpStream) {
        let (read, mut write) = stream.into_split();
        let mut reader = MessageReader::new(read);
        while let Some(message) = reader.receive().await {
            self.requests.borrow_mut().push(message);
            match self.next_response() {
                // The proxy may have closed the connection because it no longer needs the response.
                ScriptedResponse::Write(text)
                    if write.write_all(text.as_bytes()).await.is_err() =>
                {
                    return
                }
                ScriptedResponse::Write(_) => {}
                ScriptedResponse::WriteAndClose(text) => {
                    write
                        .write_all(text.as_bytes())
                        .await
                        .expect("write failed");
                    return;
                }
                ScriptedResponse::Stall => tokio::select! {
                    _ = reader.read_more() => return,
                    () = self.resets.notified() => {
                        let stream: &TcpStream = write.as_ref();
                        socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO)).expect("SO_LINGER not set");
                        return;
                    }
                    () = self.release.notified() => {
                        write.write_all(ok_response("released").as_bytes()).await.expect("write failed");
                    }
                },
            }
        }
    }

    fn next_response(&self) -> ScriptedResponse {
        let mut script = self.script.borrow_mut();
        let response = script.front().cloned().expect("the script is empty");
        if script.len() > 1 {
            script.pop_front();
        }
        response
    }

    /// Resets the connections of all stalled requests.
    pub(crate) fn reset(&self) {
        self.resets.notify_waiters();
    }

    /// Number of requests that were read completely.
    pub(crate) fn request_count(&self) -> usize {
        self.requests.borrow().len()
    }

    /// Bodies of the requests that were read completely.
    pub(crate) fn request_bodies(&self) -> Vec<Vec<u8>> {
        self.requests
            .borrow()
            .iter()
            .map(|request| request.body.clone())
            .collect()
    }
}

/// An endpoint whose connections the test accepts from the returned listener and serves itself. Of
/// the `TestEndpoint` only the address is valid: its counts stay 0.
pub(crate) async fn manual_endpoint() -> (TestEndpoint, TcpListener) {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("cannot bind a port");
    let address = listener.local_addr().expect("no local address");
    (
        TestEndpoint {
            address,
            ..TestEndpoint::start([ScriptedResponse::Stall]).await
        },
        listener,
    )
}

/// An endpoint to which no connection opens until the test accepts connections from the returned
/// listener, whose backlog the returned connections fill, or drops those. Of the `TestEndpoint`
/// only the address is valid.
pub(crate) async fn endpoint_with_full_backlog() -> (TestEndpoint, Vec<TcpStream>, TcpListener) {
    let socket = TcpSocket::new_v4().expect("cannot create a socket");
    socket
        .bind("127.0.0.1:0".parse().expect("invalid address"))
        .expect("cannot bind a port");
    let listener = socket.listen(0).expect("cannot listen");
    let address = listener.local_addr().expect("no local address");
    let (mut backlog, wait) = (Vec::new(), Duration::from_millis(200));
    loop {
        let mut connect = pin!(TcpStream::connect(address));
        // On a busy machine a connection that does open may take longer than this timeout too; only
        // a connection in the state SYN_SENT shows that the backlog is full.
        let connected = loop {
            match timeout(wait, &mut connect).await {
                Err(_) if is_connecting(address) => break None,
                Err(_) => {}
                Ok(connected) => break connected.ok(),
            }
        };
        match connected {
            Some(stream) => backlog.push(stream),
            None => break,
        }
    }
    (
        TestEndpoint {
            address,
            ..TestEndpoint::start([ok("")]).await
        },
        backlog,
        listener,
    )
}

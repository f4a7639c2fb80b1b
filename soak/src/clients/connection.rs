//! A client's connection to a proxy.

use crate::http::Reader;
use crate::proxy::Proxy;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// How long a client waits for a connection to be established.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// A client's connection.
pub(super) struct Connection {
    pub(super) reader: Reader,
    /// Number of the proxy's process at the time of connecting.
    pub(super) process_number: u64,
    /// Whether a request has been answered on it, and further ones may follow.
    pub(super) used: bool,
}

impl Connection {
    /// Opens a connection; `None` if the proxy accepts none at present or cannot be reached.
    pub(super) async fn open(proxy: &Proxy) -> Option<Connection> {
        if !proxy.accepts_connections() {
            return None;
        }
        let process_number = proxy.process_number();
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(proxy.address))
            .await
            .ok()?
            .ok()?;
        // Not essential: without TCP_NODELAY requests are only delayed.
        let _ = stream.set_nodelay(true);
        Some(Connection {
            reader: Reader::new(stream),
            process_number,
            used: false,
        })
    }
}

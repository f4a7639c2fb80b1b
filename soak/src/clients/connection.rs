//! A client's connection to its proxy.

use crate::http::Reader;
use crate::proxy::Proxy;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// How long a client waits for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// A client's connection.
pub(super) struct Connection {
    pub(super) reader: Reader,
    /// The proxy's process at its other end.
    pub(super) process: u64,
    /// A request has been answered on it.
    pub(super) used: bool,
}

impl Connection {
    /// Opens a connection; `None`: the proxy takes none.
    pub(super) async fn open(proxy: &Proxy) -> Option<Connection> {
        if !proxy.accepts_connections() {
            return None;
        }
        let process = proxy.process();
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(proxy.address))
            .await
            .ok()?
            .ok()?;
        // Without it requests are later, but not wrong.
        let _ = stream.set_nodelay(true);
        Some(Connection {
            reader: Reader::new(stream),
            process,
            used: false,
        })
    }
}

//! Opens TCP connections to endpoints and to discovery.

use std::io;
use std::net::SocketAddr;
use tokio::net::TcpStream;

/// Opens a TCP connection with Nagle's algorithm disabled.
pub(crate) async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

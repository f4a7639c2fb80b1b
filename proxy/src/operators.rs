//! Serves operators' commands: each connection carries one line with a command and gets one
//! response. Connections that send no command are closed after a timeout, or earlier to make room
//! for a new connection.

use crate::config::MAX_OPERATOR_CONNECTIONS;
use crate::control::Control;
use crate::log;
use std::cell::Cell;
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::{sleep, timeout};

/// Maximum number of connections that wait to be accepted.
const BACKLOG: u32 = MAX_OPERATOR_CONNECTIONS as u32 * 8;
/// Maximum size of a command line.
const MAX_COMMAND_BYTES: usize = 256;
/// How long the proxy waits for a complete command.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(5);
/// How long the operator may take to read the response and close the connection.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay before accepting is retried after a failure.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Why a command failed. The message is sent to the operator.
#[derive(Debug, Error)]
enum CommandError {
    #[error("the command did not end within {COMMAND_TIMEOUT:?}")]
    TimedOut,
    #[error("the command is longer than {MAX_COMMAND_BYTES} bytes")]
    TooLong,
    #[error("the command is not valid UTF-8")]
    InvalidUtf8,
    #[error("unknown command {0:?}; available commands: health, counters")]
    Unknown(String),
    #[error("no: this process is not serving clients")]
    Unhealthy,
    /// The connection broke, so no response is sent.
    #[error(transparent)]
    Disconnected(#[from] io::Error),
}

/// Listens for operators.
///
/// # Errors
/// The address cannot be bound.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

struct OperatorConnection {
    task: JoinHandle<()>,
    has_received_command: Rc<Cell<bool>>,
}

/// Serves operators. Never returns.
pub async fn serve(listener: TcpListener, control: Control) {
    let mut connections: VecDeque<OperatorConnection> = VecDeque::new();
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::line(&format!(
                    "admin: cannot accept a connection: {error}; retrying after \
                     {ACCEPT_RETRY_DELAY:?}"
                ));
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        make_room(&mut connections).await;
        let has_received_command = Rc::new(Cell::new(false));
        let task = spawn_local(serve_connection(
            stream,
            control.clone(),
            has_received_command.clone(),
        ));
        connections.push_back(OperatorConnection {
            task,
            has_received_command,
        });
    }
}

/// Makes room for one more connection. At the limit, closes the oldest connection that has sent no
/// command, or else the oldest connection.
async fn make_room(connections: &mut VecDeque<OperatorConnection>) {
    connections.retain(|connection| !connection.task.is_finished());
    if connections.len() < MAX_OPERATOR_CONNECTIONS {
        return;
    }
    let oldest = connections
        .iter()
        .position(|connection| !connection.has_received_command.get());
    if let Some(connection) = connections.remove(oldest.unwrap_or(0)) {
        connection.task.abort();
        // The descriptor is closed once the aborted task has ended.
        let _ = connection.task.await;
    }
}

async fn serve_connection(
    mut stream: TcpStream,
    control: Control,
    has_received_command: Rc<Cell<bool>>,
) {
    let command = timeout(COMMAND_TIMEOUT, read_command(&stream)).await;
    has_received_command.set(true);
    let response = match command.unwrap_or(Err(CommandError::TimedOut)) {
        Ok(command) => execute(&command, &control),
        Err(error) => Err(error),
    };
    let response = match response {
        Ok(response) => response,
        Err(CommandError::Disconnected(_)) => return,
        Err(error) => format!("FAILURE {error}\n"),
    };
    // An operator that does not read its response within the timeout loses it.
    let _ = timeout(RESPONSE_TIMEOUT, send_and_close(&mut stream, &response)).await;
}

async fn send_and_close(stream: &mut TcpStream, response: &str) -> io::Result<()> {
    stream.write_all(response.as_bytes()).await?;
    stream.shutdown().await?;
    // Closing a socket with unread input resets the connection, and the response might be lost.
    let mut unread = Vec::with_capacity(MAX_COMMAND_BYTES);
    while read_some(stream, &mut unread).await? > 0 {
        unread.clear();
    }
    Ok(())
}

/// Reads into the unused capacity of `bytes`. Returns 0 at the end of the input.
async fn read_some(stream: &TcpStream, bytes: &mut Vec<u8>) -> io::Result<usize> {
    loop {
        // `try_read_buf` clears readiness only when nothing is left to read. After a short read the
        // rest of the input would otherwise wait for a readiness event that does not come.
        stream.readable().await?;
        match stream.try_read_buf(bytes) {
            Err(error)
                if matches!(
                    error.kind(),
                    io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted
                ) => {}
            read => return read,
        }
    }
}

/// Reads the command, which ends at a newline or at the end of the input.
async fn read_command(stream: &TcpStream) -> Result<String, CommandError> {
    let mut line = Vec::with_capacity(MAX_COMMAND_BYTES);
    loop {
        let is_end_of_input = read_some(stream, &mut line).await? == 0;
        let newline = line.iter().position(|&byte| byte == b'\n');
        if let Some(length) = newline.or(is_end_of_input.then_some(line.len())) {
            line.truncate(length);
            return String::from_utf8(line).map_err(|_| CommandError::InvalidUtf8);
        }
        if line.len() >= MAX_COMMAND_BYTES {
            return Err(CommandError::TooLong);
        }
    }
}

fn execute(command: &str, control: &Control) -> Result<String, CommandError> {
    match command.trim() {
        "health" if control.is_serving() => Ok("SUCCESS yes\n".to_owned()),
        "health" => Err(CommandError::Unhealthy),
        // No `SUCCESS` in front: operators' tools parse everything before the last line as the
        // metrics.
        "counters" => Ok(format!("{}\nEOT\n", control.metrics_json())),
        unknown => Err(CommandError::Unknown(unknown.to_owned())),
    }
}

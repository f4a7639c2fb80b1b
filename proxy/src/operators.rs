//! Where operators call: one line to a connection, and one answer. Callers that say nothing hold a place for a bounded
//! time only, and give it up as soon as another needs it.

use crate::config::MAX_OPERATOR_CONNECTIONS;
use crate::control::Control;
use crate::log;
use std::cell::Cell;
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::{sleep, timeout};

/// Longest line.
const LINE_MOST: usize = 256;
/// Time for the line, and for the answer to be taken.
const LINE_TIME: Duration = Duration::from_secs(5);
const ANSWER_TIME: Duration = Duration::from_secs(1);
/// Pause after a failure to accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Listens for operators.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(MAX_OPERATOR_CONNECTIONS as u32 * 8)
}

/// A connection, and whether its line is there.
struct Caller {
    task: JoinHandle<()>,
    heard: Rc<Cell<bool>>,
}

/// Answers operators for good.
pub async fn serve(listener: TcpListener, driver: Control) {
    let mut callers: VecDeque<Caller> = VecDeque::new();
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::line(&format!("admin: accept: {error}"));
                sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        callers.retain(|caller| !caller.task.is_finished());
        if callers.len() >= MAX_OPERATOR_CONNECTIONS {
            let oldest = callers.iter().position(|caller| !caller.heard.get()).unwrap_or(0);
            if let Some(caller) = callers.remove(oldest) {
                caller.task.abort();
                // Its descriptor is free once the task is gone.
                let _ = caller.task.await;
            }
        }
        let heard = Rc::new(Cell::new(false));
        let task = spawn_local(call(stream, driver.clone(), heard.clone()));
        callers.push_back(Caller { task, heard });
    }
}

async fn call(mut stream: TcpStream, driver: Control, heard: Rc<Cell<bool>>) {
    let line = match timeout(LINE_TIME, line(&stream)).await {
        Ok(Ok(line)) => line,
        Ok(Err(_)) => return,
        Err(_) => Err("no whole line came in time"),
    };
    heard.set(true);
    let answer =
        line.and_then(|line| answer(&line, &driver)).unwrap_or_else(|why| format!("FAILURE {why}\n"));
    let said = async {
        stream.write_all(answer.as_bytes()).await?;
        stream.shutdown().await?;
        // Closing on what is still to be read would reset the connection, and the answer might be lost with it.
        let mut rest = Vec::with_capacity(LINE_MOST);
        while read_some(&stream, &mut rest).await? > 0 {
            rest.clear();
        }
        Ok::<_, io::Error>(())
    };
    // A caller that does not take its answer has none.
    let _ = timeout(ANSWER_TIME, said).await;
}

/// Reads what there is and there is room for; 0: the caller has ended its sending. A read that brings less than there is
/// leaves the stream ready.
async fn read_some(stream: &TcpStream, bytes: &mut Vec<u8>) -> io::Result<usize> {
    loop {
        stream.readable().await?;
        match stream.try_read_buf(bytes) {
            Err(error) if matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted) => {}
            read => return read,
        }
    }
}

/// The caller's line without its end; a caller may also end its sending behind it.
async fn line(stream: &TcpStream) -> io::Result<Result<String, &'static str>> {
    let mut line = Vec::with_capacity(LINE_MOST);
    loop {
        let ended = read_some(stream, &mut line).await? == 0;
        if let Some(end) = line.iter().position(|&byte| byte == b'\n').or(ended.then_some(line.len())) {
            line.truncate(end);
            return Ok(String::from_utf8(line).map_err(|_| "not a call"));
        }
        if line.len() >= LINE_MOST {
            return Ok(Err("the line is too long"));
        }
    }
}

fn answer(line: &str, driver: &Control) -> Result<String, &'static str> {
    match line.trim() {
        "health" if driver.takes_clients() => Ok("SUCCESS yes\n".to_owned()),
        "health" => Err("no: it takes no clients now"),
        // The figures stand by themselves: whoever reads them takes all before the last line for them.
        "counters" => Ok(format!("{}\nEOT\n", driver.figures())),
        _ => Err("unknown call; there are: health, counters"),
    }
}

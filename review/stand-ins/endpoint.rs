//! The stand-in for a results server: a process of its own.

use crate::common::{read_body, read_head, unix_ms};
use std::fs::{self, File};
use std::io::{self, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// How long an endpoint keeps an idle connection: `conn_idle_us` of the settings.
const ENDPOINT_IDLE: Duration = Duration::from_secs(15);
/// How long an endpoint works on a request.
const WORK: Duration = Duration::from_millis(20);

/// How long after an answer a second one follows, where an answer is spoilt.
const SECOND_ANSWER_AFTER: Duration = Duration::from_millis(4);

/// Number of answers so far.
static ANSWERS: AtomicUsize = AtomicUsize::new(0);

/// An endpoint: it starts on a request once its last byte has arrived, and answers 200 with the
/// request's id and as many bytes as the query asks for (`?size=N`). One answer in `spoil_each` is
/// sent a second time, some milliseconds later; 0: none is.
pub fn serve(address: &str, log: &str, spoil_each: &str) -> io::Result<()> {
    let spoil_each: usize = spoil_each.parse().map_err(io::Error::other)?;
    let listener = TcpListener::bind(address)?;
    let log = Arc::new(Mutex::new(fs::OpenOptions::new().append(true).open(log)?));
    for stream in listener.incoming() {
        let (stream, log) = (stream?, log.clone());
        thread::spawn(move || serve_connection(stream, &log, spoil_each));
    }
    Ok(())
}

fn serve_connection(stream: TcpStream, log: &Mutex<File>, spoil_each: usize) -> io::Result<()> {
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(ENDPOINT_IDLE))?;
    let mut reader = BufReader::with_capacity(64 << 10, stream.try_clone()?);
    let mut writer = stream;
    while let Some(head) = read_head(&mut reader)? {
        let body = read_body(&mut reader, &head)?;
        let Some(id) = head.field("x-call-id") else {
            writer.write_all(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")?;
            continue;
        };
        thread::sleep(WORK);
        writeln!(
            log.lock().expect("the log"),
            "{} ran {id} with a body of {} bytes",
            unix_ms(),
            body.len()
        )?;
        let size = head
            .first_line
            .split_once("size=")
            .and_then(|(_, rest)| rest.split(' ').next());
        let size: usize = size.and_then(|digits| digits.parse().ok()).unwrap_or(0);
        let mut answer = format!("answer to {id}\n").into_bytes();
        answer.resize(answer.len().max(size), b'.');
        let length = answer.len();
        let mut message =
            format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n").into_bytes();
        message.extend_from_slice(&answer);
        writer.write_all(&message)?;
        let number = ANSWERS.fetch_add(1, Ordering::Relaxed) + 1;
        if spoil_each > 0 && number % spoil_each == 0 {
            thread::sleep(SECOND_ANSWER_AFTER);
            writer.write_all(&message)?;
        }
    }
    Ok(())
}

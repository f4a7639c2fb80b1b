//! Connections to hosts, and one exchange on one of them.

pub(crate) mod idle_timeout;

use crate::body::{
    AttemptBody, BodyMemory, BufferedBody, RequestBody, ResponseBody, StreamedResponse,
    MAX_BUFFERED_BODY_BYTES,
};
use crate::connect::connect;
use crate::message_limits::{MAX_BODY_BYTES, MAX_HEAD_BYTES};
use crate::socket::Socket;
use crate::task::{spawn, ScopedTask};
use crate::transient_errors::{retry_transient, ErrorClass};
use crate::write_guard::WriteGuard;
use balancer::{LoadReport, Outcome};
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Bytes, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{self, HeaderMap};
use hyper::{Request, Response, StatusCode};
use std::error::Error;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::yield_now;
use tokio::time::{timeout, timeout_at, Instant};

/// Most requests that a host can be thought to hold or to keep waiting: what reports more is no report.
const LOAD_MOST: f64 = 10_000.0;
/// Time for the rest of an answer that is not passed on; past it the connection is given up instead.
const REST: Duration = Duration::from_millis(20);

/// How long an answer that does not tell its length is gathered once it has begun.
const HOLD: Duration = Duration::from_millis(20);
/// A kept connection that breaks within this time of being written to was closed before the request came.
const CROSSING: Duration = Duration::from_millis(20);

/// Any failure, in words.
pub type BoxError = Box<dyn Error + Send + Sync>;

/// Whether a connection did not come up for a reason of this machine's own, which tells nothing of the host.
pub fn is_local(error: &BoxError) -> bool {
    error
        .downcast_ref::<io::Error>()
        .is_some_and(|error| ErrorClass::of(error) == ErrorClass::ResourcesExhausted)
}

/// A connection to a host. It is closed when this is dropped, also with a request out on it.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<AttemptBody>,
    socket: Socket,
    /// How often it had been read when its last answer was whole.
    reads: u64,
    _task: ScopedTask,
    _slot: Rc<()>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        // The place that it held is free now, and so must its descriptor be; its task ends later.
        self.socket.close();
    }
}

impl Connection {
    /// Opens a connection; `slot` is held for as long as it is open.
    pub async fn open(address: SocketAddr, limit: Duration, slot: Rc<()>) -> Result<Connection, BoxError> {
        let opened = timeout(limit, retry_transient(limit, async || connect(address).await)).await;
        let socket = Socket::new(opened.map_err(io::Error::from)??);
        let builder = http1::Builder::new().max_buf_size(MAX_HEAD_BYTES).handshake(socket.clone());
        let (sender, connection) = builder.await?;
        Ok(Connection { sender, socket, reads: 0, _task: spawn(connection), _slot: slot })
    }

    /// The connection, if it can be used again after an answer that was read whole. Ready again before the outcome is
    /// told: else the next request would find no idle connection.
    pub async fn into_reusable(mut self) -> Option<Connection> {
        if !matches!(timeout(REST, self.sender.ready()).await, Ok(Ok(()))) {
            return None;
        }
        self.reads = self.socket.read_count();
        // Its task finds what it has read beyond the answer only when it is polled once more.
        yield_now().await;
        self.is_ready().then_some(self)
    }

    /// Whether a request can be written to it now. Anything that has come since its last answer, its end or a
    /// second answer, makes it useless: it would be taken for the next request's.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready() && self.socket.read_count() == self.reads && self.socket.has_no_unread_input()
    }
}

/// How an attempt ended.
#[derive(Debug)]
pub struct AttemptEnd {
    /// How.
    pub outcome: Outcome,
    /// The host's report on its load.
    pub load: LoadReport,
    /// The answer to pass on, where it served.
    pub response: Option<Response<ResponseBody>>,
    /// The connection, if it can be used again.
    pub connection: Option<Connection>,
}

impl AttemptEnd {
    /// An end without an answer.
    pub fn without_response(outcome: Outcome) -> AttemptEnd {
        AttemptEnd { outcome, load: LoadReport::default(), response: None, connection: None }
    }
}

/// What is needed for an exchange besides its connection.
pub struct ExchangeContext<'a> {
    /// What is sent.
    pub request_body: &'a RequestBody,
    /// Counts what is written.
    pub write_guard: &'a WriteGuard,
    /// Room for answers.
    pub memory: &'a BodyMemory,
    /// Gets the connection when a large answer has been read to its end.
    pub return_connection: Box<dyn FnOnce(Connection)>,
}

/// Sends a request on a connection and reads the answer, if it is small; of a large one the beginning. `None`: the
/// connection was found closed before the request was written, and all of it can be written again.
pub async fn exchange(
    mut connection: Connection,
    request: Request<AttemptBody>,
    terms: ExchangeContext<'_>,
) -> Option<AttemptEnd> {
    let ExchangeContext { request_body, write_guard, memory, return_connection } = terms;
    connection.socket.set_write_guard(write_guard);
    let (kept, started) = (connection.reads > 0, Instant::now());
    if kept {
        connection.socket.forbid_write_on_unread_input();
    }
    let response = match connection.sender.send_request(request).await {
        Ok(response) => response,
        Err(_)
            if !write_guard.is_fully_written()
                && request_body.upload().is_none_or(|upload| !upload.is_consumed()) =>
        {
            return None
        }
        Err(_) if !write_guard.is_fully_written() => {
            return Some(AttemptEnd::without_response(Outcome::Truncated))
        }
        Err(error) => {
            // The one read since is that of its end: nothing of an answer has come.
            let unanswered = kept && connection.socket.read_count() <= connection.reads + 1;
            let outcome = broken(&error);
            let stale = outcome == Outcome::Reset && unanswered && started.elapsed() < CROSSING;
            return Some(AttemptEnd::without_response(if stale { Outcome::Stale } else { outcome }));
        }
    };
    let (head, body) = response.into_parts();
    let load = report(&head.headers);
    if head.status != StatusCode::OK {
        // The outcome is known: a rest that breaks or stalls must not change it.
        let rest = Limited::new(body, MAX_BUFFERED_BODY_BYTES).collect();
        let whole = matches!(timeout(REST, rest).await, Ok(Ok(_)));
        let connection = if whole { connection.into_reusable().await } else { None };
        return Some(AttemptEnd {
            outcome: refusal(head.status, &head.headers),
            load,
            response: None,
            connection,
        });
    }
    let body = match ending(&head.headers) {
        Some(ending) => Answer::read(body, ending, memory).await,
        None => Err(io::Error::from(io::ErrorKind::InvalidData).into()),
    };
    let (outcome, answer, connection) = match body {
        Ok(Answer::Whole(bytes)) => {
            (Outcome::Served, Some(ResponseBody::buffered(bytes)), connection.into_reusable().await)
        }
        Ok(Answer::Long { first, rest }) => {
            let socket = connection.socket.clone();
            let stream =
                StreamedResponse::new(first, rest, socket, Box::new(move || return_connection(connection)));
            (Outcome::Served, Some(ResponseBody::Streamed(Box::new(stream))), None)
        }
        // It has run, and what it said is lost.
        Err(error) => (broken(&*error), None, None),
    };
    Some(AttemptEnd {
        outcome,
        load,
        response: answer.map(|body| Response::from_parts(head, body)),
        connection,
    })
}

/// An answer's body as far as it is read before it is passed on.
enum Answer {
    Whole(Bytes),
    Long { first: Bytes, rest: Incoming },
}

impl Answer {
    /// Gathers a small one. Whether one that does not tell its length is small is not waited for any longer than its
    /// first bytes can be spared; but one that ends with its connection may break off at any byte, and its request can
    /// go again only while nothing of it is passed on.
    async fn read(mut body: Incoming, ending: BodyFraming, memory: &BodyMemory) -> Result<Answer, BoxError> {
        let length = body.size_hint().exact();
        if length.is_some_and(|length| length > MAX_BODY_BYTES) {
            return Err(io::Error::from(io::ErrorKind::InvalidData).into());
        }
        let Some(mut gathered) = BufferedBody::new(memory, length) else {
            let first = match next(&mut body).await {
                Some(piece) => piece?,
                None => Bytes::new(),
            };
            return Ok(Answer::Long { first, rest: body });
        };
        let hold = Instant::now() + HOLD;
        let mut begun = false;
        loop {
            let piece = match length.is_some() || ending == BodyFraming::UntilClose || !begun {
                true => next(&mut body).await,
                false => match timeout_at(hold, next(&mut body)).await {
                    Ok(piece) => piece,
                    Err(_) => break,
                },
            };
            let Some(piece) = piece else { return Ok(Answer::Whole(gathered.into_bytes())) };
            begun = true;
            if !gathered.push(&piece?) {
                break;
            }
        }
        Ok(Answer::Long { first: gathered.into_bytes(), rest: body })
    }
}

/// The next piece of a body; what follows the last is not passed on.
async fn next(body: &mut Incoming) -> Option<Result<Bytes, hyper::Error>> {
    loop {
        match body.frame().await? {
            Ok(frame) => match frame.into_data() {
                Ok(data) => return Some(Ok(data)),
                Err(_) => continue,
            },
            Err(error) => return Some(Err(error)),
        }
    }
}

/// How the end of an answer's body shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BodyFraming {
    /// By its length or its last chunk.
    Delimited,
    /// By the end of its connection (RFC 9112, section 6.3). A server that dies resets it, and a reset is no end.
    UntilClose,
}

/// How the head of an answer says that its body ends. `None`: two lengths or two framings may be read in two ways, and what
/// has another coding than chunks can't be read at all.
fn ending(headers: &HeaderMap) -> Option<BodyFraming> {
    let lengths = headers.get_all(header::CONTENT_LENGTH).iter().count();
    let codings: Vec<_> = headers.get_all(header::TRANSFER_ENCODING).iter().collect();
    match (lengths, &codings[..]) {
        (1, []) => Some(BodyFraming::Delimited),
        (0, [coding]) if coding.as_bytes().eq_ignore_ascii_case(b"chunked") => Some(BodyFraming::Delimited),
        (0, []) => Some(BodyFraming::UntilClose),
        _ => None,
    }
}

/// What an exchange proves that broke after writing. An answer that cannot be read, or is too long, is no reset:
/// the connection held. But the request may have run as well.
fn broken(error: &(dyn Error + 'static)) -> Outcome {
    let mut causes = std::iter::successors(Some(error), |error| (*error).source());
    let spoilt = causes.any(|cause| {
        let bad = |kind| matches!(kind, io::ErrorKind::InvalidInput | io::ErrorKind::InvalidData);
        cause.downcast_ref::<hyper::Error>().is_some_and(hyper::Error::is_parse)
            || cause.downcast_ref::<io::Error>().is_some_and(|error| bad(error.kind()))
    });
    if spoilt {
        Outcome::Unknown
    } else {
        Outcome::Reset
    }
}

/// What an answer other than 200 proves.
fn refusal(status: StatusCode, headers: &HeaderMap) -> Outcome {
    let unseen = headers.get("x-rejected").is_some_and(|v| v == "1");
    match status {
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if unseen => Outcome::Rejected,
        StatusCode::INTERNAL_SERVER_ERROR => Outcome::Error,
        // The request is at fault: bad clients must not make good hosts look ill.
        status if status.is_client_error() => Outcome::Invalid,
        _ => Outcome::Unknown,
    }
}

/// The first load report that can be read: a spoilt one may stand beside it.
fn report(headers: &HeaderMap) -> LoadReport {
    let mut loads = headers.get_all("x-load-report").iter().filter_map(|v| load(v.to_str().ok()?));
    loads.next().unwrap_or_default()
}

/// Reads a load report, `name=value,name=value`. The names are those of the settings (`report.columns`), as on
/// the simulator's wire: read under other names, every report would be lost without a sign. One that holds what
/// no host can mean is none: a negative load would draw every call.
fn load(text: &str) -> Option<LoadReport> {
    let mut load = LoadReport::default();
    for pair in text.split(',') {
        let (name, value) = pair.split_once('=')?;
        let (place, most) = match name.trim() {
            "active" => (&mut load.in_flight, LOAD_MOST),
            "waiting" => (&mut load.queued, LOAD_MOST),
            "cpu" => (&mut load.cpu_utilization, 1.0),
            _ => continue,
        };
        let value = value.trim().parse().ok().filter(|v: &f64| (0.0..=most).contains(v))?;
        if place.replace(value).is_some() {
            return None;
        }
    }
    (load != LoadReport::default()).then_some(load)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_load_report_is_read_under_the_names_of_the_settings() {
        let read = load("active=7.5,waiting=2,avg_ms=14.766, cpu = 0.5");
        assert_eq!(
            read,
            Some(LoadReport { in_flight: Some(7.5), queued: Some(2.0), cpu_utilization: Some(0.5) })
        );
    }

    #[test]
    fn what_no_host_can_mean_is_no_load_report() {
        for text in [
            "",
            "=,=",
            "{",
            "%%%",
            "TEXT ?",
            "odd=1",
            "active",
            "active=NaN",
            "active=-1,waiting=0",
            "active=1e300",
            "active=inf",
            "active=many,waiting=1",
            "cpu=7",
            "active=1,active=2",
            "active=1,waiting",
        ] {
            assert_eq!(load(text), None, "{text}");
        }
    }

    #[test]
    fn a_spoilt_load_report_does_not_hide_the_one_beside_it() {
        let mut headers = HeaderMap::new();
        headers.append("x-load-report", "{".parse().expect("a value"));
        headers.append("x-load-report", "active=1,waiting=0".parse().expect("a value"));
        assert_eq!(report(&headers).in_flight, Some(1.0));
    }
}

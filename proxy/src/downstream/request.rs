//! What a client's request says and whether it can be used, and the answers that clients get.

use crate::body::{RequestBody, ResponseBody, Upload, UploadError, BODY_MOST};
use crate::control::request::{ForwardedRequest, Reply, RequestDescriptor};
use crate::control::Control;
use crate::socket::Socket;
use balancer::{ClassId, Idempotency, TenantId};
use hyper::body::{Bytes, Incoming};
use hyper::header::{self, HeaderMap, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Method, Request, Response, StatusCode, Uri};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::Instant;

/// The time that is kept for the answer's way back, and the part of a client's time that it may be at the most: of a
/// hurried client's it would leave too little for the answer itself.
const WAY_BACK: Duration = Duration::from_millis(10);
const WAY_BACK_PART: u32 = 16;
/// An answer to a client.
pub type Answer = Response<ResponseBody>;

/// How a request comes.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Where it is read. Its client's time runs from its last byte, also while it waits behind another.
    pub socket: Socket,
    /// By when its body must have come, but for the time that a long one takes at an honest pace.
    pub whole_by: Instant,
    /// Its head says in two ways where it ends.
    pub doubtful: bool,
}

/// Gives a request its one answer.
pub async fn answer(driver: Control, request: Request<Incoming>, arrival: Arrival) -> Answer {
    let Arrival { socket, whole_by, doubtful } = arrival;
    let (head, body) = request.into_parts();
    let upload = Rc::new(Upload::new(body, socket.clone(), whole_by));
    let answer = match head.uri.path() {
        _ if doubtful => turned_away(&driver, StatusCode::BAD_REQUEST),
        "/_health" if driver.is_ready() => plain(StatusCode::OK),
        "/_health" => plain(StatusCode::SERVICE_UNAVAILABLE),
        "/api" => match pass_on(&driver, head, &upload, &socket).await {
            Ok(Reply::Served(answer)) => return served(answer),
            Ok(Reply::Rejected(after)) => refused(after),
            Ok(Reply::Failed) => plain(StatusCode::BAD_GATEWAY),
            Err(status) => turned_away(&driver, status),
        },
        _ => unusable(StatusCode::NOT_FOUND),
    };
    if upload.end().is_none() {
        spawn_local(async move { upload.drain().await });
    }
    answer
}

/// Passes a request on and waits for its end. What cannot be used is turned away with a status; the module never sees
/// it, or sees a client that has gone.
async fn pass_on(
    driver: &Control,
    head: Parts,
    upload: &Rc<Upload>,
    socket: &Socket,
) -> Result<Reply, StatusCode> {
    let usable = usable(driver, &head.method, &head.headers, upload.length() == Some(0));
    let (descriptor, budget) = usable.ok_or(StatusCode::BAD_REQUEST)?;
    if upload.length().is_some_and(|length| length > BODY_MOST) {
        return Err(StatusCode::PAYLOAD_TOO_LARGE);
    }
    let memory = driver.memory();
    let gathered = tokio::select! {
        biased;
        () = driver.request_cutoff() => return Ok(driver.reject(descriptor.class)),
        gathered = upload.gather(&memory) => gathered.map_err(UploadError::status)?,
    };
    // It may have waited to be accepted or read for longer than its client has.
    if socket.has_left() {
        return Ok(driver.reject(descriptor.class));
    }
    let budget = budget - WAY_BACK.min(budget / WAY_BACK_PART);
    let deadline = match upload.end() {
        Some(Ok(whole)) => whole + budget,
        _ => Instant::now() + budget,
    };
    let target = head.uri.path_and_query().cloned().map(Uri::from).unwrap_or_default();
    let large = gathered.is_none();
    let payload = gathered.map_or_else(|| RequestBody::Upload(upload.clone()), RequestBody::Whole);
    let (headers, client) = (end_to_end(head.headers), socket.clone());
    let forward = ForwardedRequest { method: head.method, target, headers, payload, budget, client };
    let class = descriptor.class;
    let mut waiting =
        driver.request(RequestDescriptor { deadline, ..descriptor }, forward).ok_or(StatusCode::CONFLICT)?;
    if large {
        tokio::select! {
            biased;
            ended = upload.ended() => match ended {
                Ok(whole) => waiting.completed((whole + budget).saturating_duration_since(Instant::now())),
                Err(fault) => return Err(fault.status()),
            },
            reply = waiting.reply() => return Ok(reply),
            // Not whole, it has not run.
            () = driver.request_cutoff() => return Ok(driver.reject(class)),
        }
    }
    Ok(waiting.reply().await)
}

/// What a head says, and the client's time. `None` if the id, class or budget is missing, double or unusable, or the request is not of its class's form.
fn usable(
    driver: &Control,
    method: &Method,
    headers: &HeaderMap,
    empty: bool,
) -> Option<(RequestDescriptor, Duration)> {
    let config = driver.config();
    single(headers, "x-call-id").filter(|id| !id.is_empty())?;
    let id = headers.get("x-call-id")?.clone();
    let class = place(&config.classes, single(headers, "x-call-class")?)?;
    let spec = config.settings.classes.get(class)?;
    // Hosts go by the form: a keyed request without its key would run again wherever it is sent again.
    let keyed = headers.contains_key("idempotency-key");
    let fits = match spec.idempotency {
        Idempotency::Idempotent => method == Method::GET && empty && !keyed,
        Idempotency::Keyed { .. } => {
            single(headers, "idempotency-key").filter(|key| !key.is_empty())?;
            method == Method::POST
        }
        Idempotency::NonIdempotent => method == Method::POST && !keyed,
    };
    let digits = |text: &&str| text.bytes().all(|byte| byte.is_ascii_digit());
    let budget = single(headers, "x-budget-ms").filter(digits)?.parse::<u32>().ok().filter(|ms| *ms > 0)?;
    // No client waits longer than its class.
    let budget = Duration::from_millis(budget.into()).min(Duration::from_micros(spec.deadline));
    let tenant = single(headers, "x-caller").and_then(|name| place(&config.tenants, name)).map(TenantId);
    let client_retry = single(headers, "x-again").is_some_and(|value| value == "1");
    let descriptor =
        RequestDescriptor { id, class: ClassId(class), tenant, deadline: Instant::now(), client_retry };
    fits.then_some((descriptor, budget))
}

fn place(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|known| known == name)
}

fn single<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    let mut values = headers.get_all(name).iter();
    values.next().filter(|_| values.next().is_none())?.to_str().ok()
}

/// Headers that go on to the other side: all but those of this connection and its framing.
fn end_to_end(mut headers: HeaderMap) -> HeaderMap {
    let named = headers.get_all(header::CONNECTION).iter().filter_map(|value| value.to_str().ok());
    let named: Vec<String> = named.flat_map(|v| v.split(',')).map(|name| name.trim().to_owned()).collect();
    let fixed = ["connection", "content-length", "expect", "keep-alive", "proxy-connection", "te", "trailer"];
    let more = ["transfer-encoding", "upgrade"];
    for name in named.iter().map(String::as_str).chain(fixed).chain(more) {
        headers.remove(name);
    }
    headers
}

fn served(answer: Response<ResponseBody>) -> Answer {
    let (mut head, body) = answer.into_parts();
    head.headers = end_to_end(head.headers);
    Response::from_parts(head, body)
}

fn refused(after: Duration) -> Answer {
    let mut answer = plain(StatusCode::SERVICE_UNAVAILABLE);
    let seconds = format!("{:.3}", after.as_secs_f64());
    answer
        .headers_mut()
        .extend(HeaderValue::try_from(seconds).ok().map(|value| (header::RETRY_AFTER, value)));
    answer
}

/// A request of the application that could not be used: it shows in the log's figures.
fn turned_away(driver: &Control, status: StatusCode) -> Answer {
    driver.count_invalid_request(status);
    unusable(status)
}

/// Turned away for good, and with it the connection: what else came on it might be read as a request.
fn unusable(status: StatusCode) -> Answer {
    let mut answer = plain(status);
    answer.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    answer
}

fn plain(status: StatusCode) -> Answer {
    let mut answer = Response::new(ResponseBody::whole(Bytes::new()));
    *answer.status_mut() = status;
    answer
}

//! The servers of endpoint processes: real listeners on loopback that record the requests they
//! receive and respond according to the behaviour of their process.

use crate::endpoint::{Behaviour, EndpointProcess, ProcessState};
use crate::endpoint_response::{self, AfterResponse, PacedResponse};
use crate::error::SetupError;
use crate::http::{set_close_mode, CloseMode, Message, ReadError, ReadPace, Reader};
use crate::ledger::{AttemptRecord, Rule, SlowResponse};
use crate::shared_state::SharedState;
use rand::Rng;
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{spawn_local, JoinSet};
use tokio::time::{sleep, timeout};

/// Mean execution time of a request.
const MEAN_EXECUTION_S: f64 = 0.025;
/// Length from which on a response may stay in the system's buffers, as the proxy reads it only as
/// fast as its client.
const LARGE_RESPONSE_BYTES: usize = 64_000;
/// Number of bytes that an endpoint reads at once if it reads slowly.
const SLOW_READ_BYTES: usize = 64 << 10;
/// Longest execution time of a request.
const MAX_EXECUTION_S: f64 = 1.0;

/// Starts an endpoint process with its server task.
pub(crate) async fn start(
    shared: &SharedState,
    name: &str,
    zone: char,
) -> Result<EndpointProcess, SetupError> {
    let listen_error = |source| SetupError::Listen {
        purpose: "an endpoint",
        source,
    };
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .map_err(listen_error)?;
    let address = listener.local_addr().map_err(listen_error)?;
    let number = shared.next_process_number();
    let state = ProcessState {
        behaviour: Rc::new(Cell::new(Behaviour::Normal)),
        draining: Rc::new(Cell::new(false)),
    };
    let server = Server {
        shared: shared.clone(),
        number,
        zone,
        state: state.clone(),
        is_last_response_large: Cell::new(false),
    };
    let task = spawn_local(server.accept_connections(listener)).abort_handle();
    let unix_time = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    Ok(EndpointProcess {
        number,
        name: name.to_owned(),
        zone,
        address,
        started_at: Instant::now(),
        started_unix_ms: unix_time.as_millis() as u64,
        state,
        arrivals: Vec::new(),
        task,
    })
}

#[derive(Clone)]
struct Server {
    shared: SharedState,
    number: u64,
    zone: char,
    state: ProcessState,
    /// Part of the last response on the connection may be in the system's buffers for long.
    is_last_response_large: Cell<bool>,
}

impl Server {
    async fn accept_connections(self, listener: TcpListener) {
        // Dropping the set ends all connections when this task is aborted.
        let mut connections = JoinSet::new();
        while let Ok((stream, _)) = listener.accept().await {
            while connections.try_join_next().is_some() {}
            set_close_mode(&stream, CloseMode::Reset);
            // Not essential: without TCP_NODELAY responses are only delayed.
            let _ = stream.set_nodelay(true);
            connections.spawn_local(self.clone().serve_connection(stream));
        }
    }

    async fn serve_connection(self, stream: TcpStream) {
        let mut reader = Reader::new(stream);
        reader.pace = self.draw_pace();
        let idle_timeout = self.shared.config().endpoint_idle_timeout;
        loop {
            let message = match timeout(idle_timeout, reader.read_message()).await {
                Ok(Ok(message)) => message,
                Ok(Err(error)) => return self.handle_read_error(&reader, error),
                Err(_) => {
                    // A reset would destroy what the proxy has not read of the last response.
                    if self.is_last_response_large.get() || self.shared.draw_bool(0.5) {
                        set_close_mode(&reader.stream, CloseMode::Graceful);
                    }
                    return;
                }
            };
            match self.handle_request(&message, &mut reader).await {
                Some(AfterResponse::KeepAlive) => {}
                Some(AfterResponse::Close) => {
                    return set_close_mode(&reader.stream, CloseMode::Graceful)
                }
                Some(AfterResponse::Reset) | None => return,
            }
        }
    }

    /// Draws how fast a connection is read: between 1 and 6 MB per second, if slowly.
    fn draw_pace(&self) -> Option<ReadPace> {
        if !self.shared.config().has_large_messages || !self.shared.draw_bool(0.1) {
            return None;
        }
        Some(ReadPace {
            bytes: SLOW_READ_BYTES,
            pause: self.shared.draw_millis(10, 60),
        })
    }

    fn handle_read_error(&self, reader: &Reader, error: ReadError) {
        match error {
            ReadError::Closed => set_close_mode(&reader.stream, CloseMode::Graceful),
            ReadError::Truncated {
                head,
                first_byte_at,
            } => self.record_truncated_request(&head, first_byte_at),
            ReadError::Invalid => {
                self.record_violation("received bytes that are not a valid HTTP/1.1 request")
            }
        }
    }

    fn record_violation(&self, description: &str) {
        self.shared.record_violation(
            Rule::RequestIntegrity,
            format!("endpoint process {} {description}", self.number),
        );
    }

    /// Records a request and responds to it. Returns `None`, without a response, if the request has
    /// no valid id or no client has sent it; its connection is then reset.
    async fn handle_request(
        &self,
        message: &Message,
        reader: &mut Reader,
    ) -> Option<AfterResponse> {
        let id_header = message.header("x-call-id");
        let Some(id) = id_header.and_then(|id| u64::from_str_radix(id, 16).ok()) else {
            self.record_violation(&format!(
                "received a request with X-Call-Id {id_header:?}, expected a hexadecimal number"
            ));
            return None;
        };
        let advertised_ms = message
            .header("x-budget-ms")
            .and_then(|value| value.parse().ok());
        let advertised_timeout = advertised_ms.map(Duration::from_millis);
        let attempt = self.new_attempt(message.first_byte_at, Some(message.last_byte_at));
        let attempt = self
            .shared
            .record_attempt(id, attempt, advertised_timeout, &message.body)?;
        let after = self.respond(id, attempt, reader).await;
        self.shared.update_attempt(id, attempt, |record| {
            record.ended_at = Some(Instant::now());
            record.fully_written = record.served && after != AfterResponse::Reset;
        });
        Some(after)
    }

    fn new_attempt(&self, first_byte_at: Instant, complete_at: Option<Instant>) -> AttemptRecord {
        AttemptRecord {
            process: self.number,
            zone: self.zone,
            first_byte_at,
            complete_at,
            ended_at: None,
            rejected: false,
            served: false,
            fully_written: false,
            slow_response: None,
        }
    }

    /// Records a truncated request as an attempt. It is not executed.
    fn record_truncated_request(&self, head: &[u8], first_byte_at: Instant) {
        let head = String::from_utf8_lossy(head).to_lowercase();
        let id = head
            .split("x-call-id: ")
            .nth(1)
            .and_then(|rest| rest.get(..16));
        if let Some(id) = id.and_then(|id| u64::from_str_radix(id, 16).ok()) {
            let mut attempt = self.new_attempt(first_byte_at, None);
            attempt.ended_at = Some(Instant::now());
            self.shared.record_attempt(id, attempt, None, &[]);
        }
    }

    async fn respond(&self, id: u64, attempt: usize, reader: &mut Reader) -> AfterResponse {
        let behaviour = self.state.behaviour.get();
        if self.state.draining.get() && self.shared.draw_bool(0.7) {
            self.shared
                .update_attempt(id, attempt, |record| record.rejected = true);
            return write(
                reader,
                endpoint_response::REJECTION_RESPONSE,
                AfterResponse::KeepAlive,
            )
            .await;
        }
        let execution_s = self
            .shared
            .draw_exponential_s(MEAN_EXECUTION_S)
            .min(MAX_EXECUTION_S);
        match behaviour {
            Behaviour::Hanging => {
                reader.wait_for_activity().await;
                return AfterResponse::Reset;
            }
            Behaviour::Resetting if self.shared.draw_bool(0.3) => return AfterResponse::Reset,
            _ => sleep(Duration::from_secs_f64(execution_s)).await,
        }
        if behaviour == Behaviour::Failing && self.shared.draw_bool(0.6) {
            let response = endpoint_response::draw_error_response(&self.shared);
            return write(reader, response, AfterResponse::KeepAlive).await;
        }
        self.respond_with_success(id, attempt, reader, behaviour)
            .await
    }

    async fn respond_with_success(
        &self,
        id: u64,
        attempt: usize,
        reader: &mut Reader,
        behaviour: Behaviour,
    ) -> AfterResponse {
        if behaviour == Behaviour::Normal {
            if let Some(response) = endpoint_response::draw_paced_response(&self.shared, id) {
                return self.respond_slowly(id, attempt, reader, response).await;
            }
        }
        let response = endpoint_response::draw_success_response(&self.shared, id, behaviour);
        // This must precede the write: the client may check the response before this task goes on.
        self.shared
            .update_attempt(id, attempt, |record| record.served = !response.truncated);
        let is_large = response.bytes.len() > LARGE_RESPONSE_BYTES;
        self.is_last_response_large.set(is_large);
        let cut = self
            .shared
            .draw(|random| random.gen_range(0..=response.bytes.len()));
        let (first, second) = response.bytes.split_at(cut);
        if write(reader, first, AfterResponse::KeepAlive).await == AfterResponse::Reset {
            return AfterResponse::Reset;
        }
        if self.shared.draw_bool(0.1) {
            sleep(self.shared.draw_millis(1, 40)).await;
        }
        let after = write(reader, second, response.after).await;
        if endpoint_response::draw_is_repeated(&self.shared, behaviour, &response) {
            return write(reader, &response.bytes, after).await;
        }
        after
    }
}

impl Server {
    async fn respond_slowly(
        &self,
        id: u64,
        attempt: usize,
        reader: &mut Reader,
        response: PacedResponse,
    ) -> AfterResponse {
        self.is_last_response_large.set(true);
        let slow_response = SlowResponse {
            framing: response.framing,
            began_at: Instant::now(),
        };
        self.shared.update_attempt(id, attempt, |record| {
            record.served = true;
            record.slow_response = Some(slow_response);
        });
        let pieces = response.planned.bytes.chunks(response.piece_bytes);
        for (number, piece) in pieces.enumerate() {
            // None behind the last piece: the connection may carry the next request then.
            if number > 0 {
                sleep(response.pause).await;
            }
            if write(reader, piece, AfterResponse::KeepAlive).await == AfterResponse::Reset {
                return AfterResponse::Reset;
            }
        }
        response.planned.after
    }
}

/// Writes a response or a part of one. Returns `after`, or a reset if writing fails.
async fn write(reader: &mut Reader, bytes: &[u8], after: AfterResponse) -> AfterResponse {
    match reader.stream.write_all(bytes).await {
        Ok(()) => after,
        Err(_) => AfterResponse::Reset,
    }
}

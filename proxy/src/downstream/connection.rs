//! One client connection: the task that serves its requests, and how the connection is closed.

use super::open_request::{OpenRequest, RequestProgress, TrackedBody};
use super::phase::Phase;
use super::service::{self, RequestContext};
use super::turns::Turns;
use crate::control::Control;
use crate::log;
use crate::memory::MemoryReservation;
use crate::message_limits::MAX_HEAD_BYTES;
use crate::metrics::{ClientCloseReason, Metrics, Violation};
use crate::socket::Socket;
use hyper::body::Incoming;
use hyper::header::{self, HeaderValue};
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioTimer;
use socket2::SockRef;
use std::cell::Cell;
use std::convert::Infallible;
use std::future::{poll_fn, Future};
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::{spawn_local, yield_now, JoinHandle};
use tokio::time::Instant;

/// Size of the system's send buffer of a client's connection; Linux doubles it. Small, so that a
/// client that reads slowly is told apart from one that does not read at all within seconds.
const SEND_BUFFER_BYTES: usize = 64 << 10;
/// The response to a request whose body had not arrived when its connection was needed.
const REJECTION: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
/// How long a lingering close waits for the client to end its sending.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);

/// State that all client connections share.
#[derive(Clone)]
pub(super) struct SharedState {
    /// Handles the requests.
    pub(super) control: Control,
    /// More client connections are open than [`crate::config::Config::busy_connection_threshold`].
    pub(super) is_busy: Rc<Cell<bool>>,
    /// The process is shutting down: each connection is closed after its next response.
    pub(super) is_shutting_down: Rc<Cell<bool>>,
}

impl SharedState {
    /// Whether a connection is closed after the response to the request with this zero-based number.
    /// Requests that have arrived behind it are answered first, until the end of a shutdown.
    fn closes_after_response(&self, socket: &Socket, number: u64) -> bool {
        // When the process is busy, a connection is closed after its first response: idle
        // connections of clients that send a single request would use up the connection limit, and
        // clients that reuse connections could not open any.
        let is_close_due = self.is_shutting_down.get()
            || number == 0 && self.is_busy.get()
            // The buffers of a connection that a large head has made grow stay as they are.
            || socket.has_grown();
        is_close_due && (!socket.has_input_behind(number) || self.control.has_shutdown_ended())
    }
}

/// A client connection as `ClientConnections` keeps it.
pub(super) struct ClientConnection {
    pub(super) task: JoinHandle<()>,
    pub(super) socket: Socket,
    pub(super) phase: Rc<Cell<Phase>>,
    /// Tells the task to close the connection, unless a request is arriving or open.
    pub(super) close_signal: Rc<Notify>,
    pub(super) metrics: Metrics,
    pub(super) progress: Rc<RequestProgress>,
    /// The memory of the connection without its requests.
    pub(super) _memory: MemoryReservation,
}

impl ClientConnection {
    /// Spawns a task that serves the requests on this stream. `memory` is what the connection needs
    /// without a request.
    pub(super) fn start(
        stream: TcpStream,
        memory: MemoryReservation,
        shared: &SharedState,
    ) -> ClientConnection {
        if let Err(error) = stream.set_nodelay(true) {
            log::line(&format!(
                "cannot set TCP_NODELAY for a client connection: {error}; it is served without it"
            ));
        }
        // Fails only where the system has no such option. The connection then works as well.
        let _ = SockRef::from(&stream).set_send_buffer_size(SEND_BUFFER_BYTES);
        let manager = shared.control.memory();
        let socket = Socket::for_client(stream, manager.account());
        let phase = Rc::new(Cell::new(Phase::first(&socket)));
        let close_signal = Rc::new(Notify::new());
        let metrics = shared.control.metrics();
        let accept_wait = socket.established_at().elapsed();
        metrics.counters_mut().accept_waits.record(accept_wait);
        let progress = Rc::new(RequestProgress::default());
        let service = RequestService {
            socket: socket.clone(),
            phase: phase.clone(),
            progress: progress.clone(),
            shared: shared.clone(),
            request_count: Cell::new(0),
            turns: Turns::default(),
        };
        let task = ConnectionTask {
            socket: socket.clone(),
            phase: phase.clone(),
            close_signal: close_signal.clone(),
            metrics: metrics.clone(),
        };
        let task = spawn_local(task.run(service.serve()));
        ClientConnection {
            task,
            socket,
            phase,
            close_signal,
            metrics,
            progress,
            _memory: memory,
        }
    }

    /// Closes the connection to make room. A request whose body has not arrived is rejected, if the
    /// client's side of the connection takes the rejection at once.
    pub(super) fn evict(&self, reason: ClientCloseReason) {
        if reason == ClientCloseReason::SlowUpload {
            self.socket.write_at_once(REJECTION);
        }
        self.close(reason);
    }

    /// Closes the connection immediately. Its descriptor is free when this returns.
    pub(super) fn close(&self, reason: ClientCloseReason) {
        self.metrics.counters_mut().client_connection_closed(reason);
        let phase = self.phase.get();
        tracing::debug!(socket = ?self.socket, ?phase, ?reason, "client connection closed");
        let is_at_fault = matches!(
            reason,
            ClientCloseReason::ResponseStalled
                | ClientCloseReason::SlowReader
                | ClientCloseReason::SlowUpload
        );
        let is_unanswered = matches!(self.phase.get(), Phase::Open) && !is_at_fault;
        if is_unanswered && !self.socket.has_disconnected() {
            self.metrics
                .counters_mut()
                .invariant_violated(Violation::ClosedWithoutReply);
            log::line(&format!(
                "invariant violated: a client connection was closed before its open request was answered: {reason:?}"
            ));
        }
        // Closes the socket explicitly: the aborted task is dropped later, and would keep the
        // descriptor until then.
        self.socket.close();
        self.task.abort();
    }
}

/// The HTTP service that responds to the requests of one connection.
struct RequestService {
    socket: Socket,
    phase: Rc<Cell<Phase>>,
    progress: Rc<RequestProgress>,
    shared: SharedState,
    request_count: Cell<u64>,
    turns: Turns,
}

impl RequestService {
    /// Serves the connection until it ends. hyper's own timeouts are disabled. `ClientConnections`
    /// enforces all timeouts, so that a client that is slow in several ways gets no extra time.
    fn serve(self) -> impl Future<Output = hyper::Result<()>> {
        let socket = self.socket.clone();
        hyper::server::conn::http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(None)
            .max_buf_size(MAX_HEAD_BYTES)
            .serve_connection(socket, service_fn(move |request| self.respond(request)))
    }

    fn respond(
        &self,
        request: Request<Incoming>,
    ) -> impl Future<Output = Result<Response<TrackedBody>, Infallible>> {
        let number = self.request_count.replace(self.request_count.get() + 1);
        self.socket.track_request(number);
        let request_context = RequestContext {
            is_framing_ambiguous: self.socket.is_framing_ambiguous(number),
            read_deadline: self.phase.get().read_deadline(&self.socket),
            socket: self.socket.clone(),
            progress: self.progress.clone(),
        };
        let open_request = OpenRequest::begin(&self.phase, &self.socket, &self.progress);
        let version = request.version();
        let shared = self.shared.clone();
        let (progress, socket) = (self.progress.clone(), self.socket.clone());
        let is_turn_over = self.turns.is_over(&self.socket);
        async move {
            if is_turn_over {
                yield_now().await;
            }
            let mut response =
                service::respond(shared.control.clone(), request, request_context).await;
            progress.set_response(response.body().is_streamed());
            // The response announces the close, so the client does not send another request.
            if shared.closes_after_response(&socket, number) {
                response
                    .headers_mut()
                    .insert(header::CONNECTION, HeaderValue::from_static("close"));
            }
            Ok(response.map(|body| TrackedBody::new(body, open_request, version)))
        }
    }
}

/// The task of one connection.
struct ConnectionTask {
    socket: Socket,
    phase: Rc<Cell<Phase>>,
    close_signal: Rc<Notify>,
    metrics: Metrics,
}

impl ConnectionTask {
    async fn run(self, connection: impl Future<Output = hyper::Result<()>>) {
        tokio::select! {
            biased;
            // If the connection fails, the open request is dropped, which cancels it.
            _ = connection => {}
            () = self.disconnected_while_request_open() => {
                let reason = ClientCloseReason::ClientDisconnected;
                self.metrics.counters_mut().client_connection_closed(reason);
                self.socket.close();
            }
            () = self.timed_out() => {
                let reason = self.phase.get().timeout_reason(&self.socket);
                self.metrics.counters_mut().client_connection_closed(reason);
            }
        }
        self.phase.set(Phase::Closing(Instant::now()));
        self.socket.lingering_close(LINGER_TIMEOUT).await;
    }

    /// Completes when the client has disconnected while a request is open. hyper detects a
    /// disconnect only after reading all earlier input, and it does not read on while a request is
    /// open. While no request is open, hyper is polled first and reads the input, so a request that
    /// arrived before the disconnect is already open when this future is polled.
    async fn disconnected_while_request_open(&self) {
        poll_fn(|context| self.poll_disconnected_while_request_open(context)).await
    }

    fn poll_disconnected_while_request_open(&self, context: &mut Context<'_>) -> Poll<()> {
        ready!(self.socket.poll_disconnected(context));
        match self.phase.get() {
            Phase::Open => Poll::Ready(()),
            _ => Poll::Pending,
        }
    }

    /// Completes when the sweep has found this connection to have timed out, unless a request has
    /// begun to arrive since.
    async fn timed_out(&self) {
        loop {
            self.close_signal.notified().await;
            if !self.phase.get().has_request_in_progress(&self.socket) {
                return;
            }
        }
    }
}

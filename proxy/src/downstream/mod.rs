//! The application's connections: takes them in, closes those that are due or in the way, and stops.

mod request;

use crate::body::ResponseBody;
use crate::control::{Control, ShutdownSchedule};
use crate::downstream::request::{answer, Arrival};
use crate::log;
use crate::metrics::{ClientCloseReason, Metrics, Violation};
use crate::process_handoff::lead_away;
use crate::socket::Socket;
use crate::transient_errors::ErrorClass;
use crate::upstream::{BoxError, HEAD_MOST};
use hyper::body::{Body, Bytes, Frame, SizeHint};
use hyper::header::{self, HeaderValue};
use hyper::service::service_fn;
use hyper_util::rt::TokioTimer;
use std::cell::Cell;
use std::convert::Infallible;
use std::future::{poll_fn, Future};
use std::io;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::{spawn_local, yield_now, JoinHandle};
use tokio::time::{interval, sleep, sleep_until, timeout, Instant, MissedTickBehavior};

/// Connections that may wait to be accepted: all of a crowd that comes at once. The system holds no more than its own limit.
pub const BACKLOG: u32 = 4_096;
/// How long new connections are still taken after the order to stop; they come for up to 0.4 s.
const STOP_DELAY: Duration = Duration::from_millis(500);
/// How long accepting may fail without end until those that still wait are given up.
const FAILING_MOST: Duration = Duration::from_secs(2);
/// By when requests get their answers: the longest deadline, taken as this where it is longer, and a margin, which are
/// over before the process is killed. Long answers may go on.
const DEADLINE_MOST: Duration = Duration::from_secs(3);
const STOP_MARGIN: Duration = Duration::from_millis(600);
/// From when on a request that comes whole is refused, after the order to stop: a long answer to it might be cut off
/// when the process is killed. What came before that may be.
const REFUSE_AFTER: Duration = Duration::from_millis(600);
/// Time for a whole request, however it trickles: from its connection's start, or from its own first byte.
/// Clients are owed an answer or a close within 3 s.
const WHOLE_TIME: Duration = Duration::from_millis(2_750);
/// How long a client may seem to take nothing of an answer. The system tells of room only once a third of its buffer
/// is free, which a slow client takes a while for.
const BLOCKED_MOST: Duration = Duration::from_secs(60);
/// How long a connection is kept on which no request is open. Clients may keep theirs for good and never use
/// them again; those that do use them come back far sooner.
const IDLE_MOST: Duration = Duration::from_secs(30);
/// A connection on which no request has been open for this long may be closed for another's sake; all such are
/// while many are open: clients that need a new one must find it at once.
const IDLE_LEAST: Duration = Duration::from_secs(2);
/// A client that means to ask has begun to by now, and has read its last answer.
const BEGUN: Duration = Duration::from_millis(100);
/// How long the other side's end is waited for after this side's.
const LINGER: Duration = Duration::from_secs(1);
/// How often connections are looked through for those that are due.
const SWEEP: Duration = Duration::from_millis(50);
/// Pause after a failure to accept, which descriptors that are set free must end.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Serves until `stop` is done, then goes on for as long as new connections may come, then closes connections
/// between requests and returns when none is left.
pub async fn serve(listener: TcpListener, driver: Control, stop: impl Future<Output = ()>) {
    let longest = driver.config().max_deadline().min(DEADLINE_MOST);
    let mut clients =
        ClientConnections { driver, open: Vec::new(), crowded: Rc::default(), stopping: Rc::default() };
    clients.driver.set_accepting(true);
    clients.accept(&listener, stop).await;
    let now = Instant::now();
    clients.stop(
        &listener,
        ShutdownSchedule { reject_from: now + REFUSE_AFTER, end: now + longest + STOP_MARGIN },
    );
    clients.accept(&listener, sleep(STOP_DELAY)).await;
    // What the machine has accepted by now has been taken: closing the listener would reset it.
    clients.accept_rest(&listener).await;
    drop(listener);
    // Whoever sends half a request or does not read its answer is closed in time. What is still being answered is lost
    // if the process ends before it; whoever wants that must kill it.
    clients.finish().await;
}

/// What a client's connection is at, and since when.
#[derive(Clone, Copy, Debug)]
enum Phase {
    /// Its first request has not come whole.
    New(Instant),
    /// No request is open.
    Idle(Instant),
    /// A further request has begun to come.
    Begun(Instant),
    /// A request is open.
    Open,
    /// This side has ended its sending, and waits for the other's end.
    Closing(Instant),
}

impl Phase {
    /// Whether something of a request has come, and its time is not up.
    fn has_come(self, socket: &Socket) -> bool {
        match self {
            Phase::New(since) | Phase::Begun(since) => {
                Instant::now() < since + WHOLE_TIME && (socket.reads() > 0 || !socket.is_quiet())
            }
            Phase::Idle(since) => socket.read_at() > since || !socket.is_quiet(),
            Phase::Open => true,
            Phase::Closing(_) => false,
        }
    }

    /// Why a connection that is due is closed.
    fn close_when_due(self, socket: &Socket) -> ClientCloseReason {
        match self {
            Phase::New(_) | Phase::Begun(_) if socket.reads() > 0 => ClientCloseReason::RequestTimeout,
            _ => ClientCloseReason::Idle,
        }
    }

    /// By when the request that comes now must be whole.
    fn whole_by(self, socket: &Socket) -> Instant {
        match self {
            Phase::New(since) | Phase::Begun(since) => since + WHOLE_TIME,
            Phase::Idle(_) | Phase::Open | Phase::Closing(_) => socket.read_at() + WHOLE_TIME,
        }
    }
}

/// An open request. It ends when this is dropped, with its answer's last byte handed over.
struct OpenRequest {
    phase: Rc<Cell<Phase>>,
    socket: Socket,
}

impl OpenRequest {
    fn begin(phase: &Rc<Cell<Phase>>, socket: &Socket) -> OpenRequest {
        phase.set(Phase::Open);
        OpenRequest { phase: phase.clone(), socket: socket.clone() }
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        let now = Instant::now();
        // A part of the next request may have come meanwhile.
        self.phase.set(if self.socket.is_between() { Phase::Idle(now) } else { Phase::Begun(now) });
    }
}

/// The body of an answer, which keeps its request open.
struct TrackedBody {
    body: ResponseBody,
    _open: OpenRequest,
}

impl Body for TrackedBody {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// A client's connection.
struct ClientConnection {
    task: JoinHandle<()>,
    socket: Socket,
    phase: Rc<Cell<Phase>>,
    /// Tells its task to end it.
    end: Rc<Notify>,
    metrics: Metrics,
}

impl ClientConnection {
    /// Whether its time is up.
    fn is_due(&self, now: Instant, times: IdleTimeouts) -> bool {
        if self.is_stuck(now).is_some() {
            return false;
        }
        match self.phase.get() {
            Phase::New(since) if self.socket.reads() == 0 => {
                now >= since + times.silent && self.socket.is_quiet() || now >= since + WHOLE_TIME
            }
            Phase::New(since) | Phase::Begun(since) => now >= since + WHOLE_TIME,
            // What has come and was not read may be a whole request.
            Phase::Idle(since) => now >= since + times.idle && self.socket.is_quiet(),
            Phase::Open | Phase::Closing(_) => false,
        }
    }

    /// Whether it takes nothing of an answer, which may have been handed over whole, for too long. Until then what is
    /// left of the answer keeps it open.
    fn is_stuck(&self, now: Instant) -> Option<bool> {
        self.socket.blocked_since().map(|since| now >= since + BLOCKED_MOST)
    }

    /// How well it can be spared, those with the least number first; `None`: not at all. A new one is given time
    /// to ask, else each of a crowd would be closed for the next before its request is there.
    fn spare(&self, now: Instant) -> Option<(u8, Instant)> {
        if self.is_stuck(now).is_some() {
            return None;
        }
        let (rank, since) = match self.phase.get() {
            Phase::Closing(since) => return Some((0, since)),
            Phase::New(since) if self.socket.reads() == 0 => (0, since),
            Phase::Idle(since) if now >= since + IDLE_LEAST => (1, since),
            // Those that come back keep theirs before those that have asked once, and may never again.
            Phase::Idle(since) if self.socket.reads() <= 1 => (2, since),
            // Half a request may become one: the longer it has taken, the less likely.
            Phase::New(since) | Phase::Begun(since) => (3, since),
            Phase::Idle(since) => (4, since),
            Phase::Open => return None,
        };
        // What has come and was not read may be a whole request, also on a new one whose task has had no turn yet.
        let unread = matches!(self.phase.get(), Phase::New(_) | Phase::Idle(_)) && !self.socket.is_quiet();
        (now >= since + BEGUN && !unread).then_some((rank, since))
    }

    /// Closes it at once; its descriptor is free when this returns.
    fn close(&self, why: ClientCloseReason) {
        self.metrics.count().client_closed(why);
        tracing::debug!(socket = ?self.socket, phase = ?self.phase.get(), reason = ?why, "closed");
        let unanswered = matches!(self.phase.get(), Phase::Open) && why != ClientCloseReason::ResponseStalled;
        if unanswered && !self.socket.has_left() {
            self.metrics.count().violation(Violation::ClosedWithoutReply);
            log::line(&format!("invariant violated: a connection with an open request was closed: {why:?}"));
        }
        self.socket.close();
        self.task.abort();
    }

    /// Looks at it once more; whether it is still there.
    fn look(&self, now: Instant, times: IdleTimeouts) -> bool {
        if self.task.is_finished() {
            return false;
        }
        if self.is_stuck(now) == Some(true) {
            log::line("a client took nothing of its answer for too long: closed");
            self.close(ClientCloseReason::ResponseStalled);
            return false;
        }
        match self.phase.get() {
            // Its task has been told; this is for a system that tells of ends only when it is asked.
            Phase::Open if self.socket.is_left() => self.close(ClientCloseReason::ClientDisconnected),
            Phase::Idle(since) if self.socket.read_at() > since => {
                self.phase.set(Phase::Begun(self.socket.read_at()));
            }
            _ if self.is_due(now, times) => self.end.notify_one(),
            _ => {}
        }
        true
    }
}

/// How long connections are kept on which nothing is asked.
#[derive(Clone, Copy, Debug)]
struct IdleTimeouts {
    /// After a request.
    idle: Duration,
    /// On which nothing has come at all.
    silent: Duration,
}

/// The connections of clients.
struct ClientConnections {
    driver: Control,
    open: Vec<ClientConnection>,
    /// More are open than half of what clients may hold for requests.
    crowded: Rc<Cell<bool>>,
    /// The process is to end: each connection ends with its next answer.
    stopping: Rc<Cell<bool>>,
}

impl ClientConnections {
    /// Takes connections until `until` is done.
    async fn accept(&mut self, listener: &TcpListener, until: impl Future<Output = ()>) {
        let mut until = pin!(until);
        let mut sweeps = interval(SWEEP);
        sweeps.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut pause = Instant::now();
        loop {
            let room = self.make_room();
            let accepted = async {
                sleep_until(pause).await;
                listener.accept().await
            };
            tokio::select! {
                accepted = accepted, if room => match accepted {
                    Ok((stream, _)) => {
                        self.serve(stream);
                        // Those that ask at once are known from those that say nothing only when they are read.
                        yield_now().await;
                    }
                    Err(error) => pause = self.accept_failed(&error),
                },
                _ = sweeps.tick() => self.sweep(),
                () = &mut until => break,
            }
        }
    }

    /// Takes what has already come. A failure to accept is no sign that nothing is left.
    async fn accept_rest(&mut self, listener: &TcpListener) {
        let mut failing: Option<Instant> = None;
        loop {
            if !self.make_room() {
                sleep(SWEEP).await;
                self.sweep();
                continue;
            }
            match timeout(Duration::ZERO, listener.accept()).await {
                Ok(Ok((stream, _))) => {
                    self.serve(stream);
                    failing = None;
                }
                Ok(Err(error)) => {
                    let since = *failing.get_or_insert_with(Instant::now);
                    if since.elapsed() >= FAILING_MOST {
                        return;
                    }
                    sleep_until(self.accept_failed(&error)).await;
                    self.sweep();
                }
                Err(_) => return,
            }
        }
    }

    /// What a failure to accept asks for: a place, where there was no room, and a pause. Returns when the pause is over. One
    /// connection that ended before it was accepted is no reason to wait, nor is a signal.
    fn accept_failed(&mut self, error: &io::Error) -> Instant {
        match ErrorClass::of(error) {
            ErrorClass::Momentary => return Instant::now(),
            ErrorClass::NoRoom => drop(self.evict()),
            ErrorClass::Peer | ErrorClass::Lasting => {}
        }
        log::line(&format!("accept: {error}"));
        Instant::now() + ACCEPT_PAUSE
    }

    /// The process is to end: clients are led to its successor, if there is one.
    fn stop(&self, listener: &TcpListener, stop: ShutdownSchedule) {
        self.stopping.set(true);
        self.driver.set_accepting(false);
        self.driver.begin_shutdown(stop);
        self.driver.set_process_count(2);
        if let Err(error) = lead_away(listener) {
            log::line(&format!("connections go on coming here: {error}"));
        }
    }

    /// Closes connections between requests, and returns when none is left.
    async fn finish(&mut self) {
        let mut sweeps = interval(SWEEP);
        sweeps.set_missed_tick_behavior(MissedTickBehavior::Delay);
        while !self.open.is_empty() {
            sweeps.tick().await;
            self.sweep();
        }
    }

    /// Whether one more connection may be open. At the limit one is closed for it: first those that never asked,
    /// then the one that has been idle the longest. Clients that keep connections and say nothing must not keep
    /// others out.
    fn make_room(&mut self) -> bool {
        let most = self.driver.config().max_client_connections();
        self.crowded.set(self.open.len() > self.driver.config().busy_client_connections());
        if self.open.len() >= most {
            self.open.retain(|client| !client.task.is_finished());
        }
        self.open.len() < most || self.evict()
    }

    fn evict(&mut self) -> bool {
        let now = Instant::now();
        let spare = self.open.iter().enumerate().filter_map(|(place, c)| Some((c.spare(now)?, place)));
        let Some((_, place)) = spare.min() else { return false };
        self.open.swap_remove(place).close(ClientCloseReason::Evicted);
        true
    }

    /// Closes what is due, and notes whose next request has begun to come.
    fn sweep(&mut self) {
        let now = Instant::now();
        let times = match (self.stopping.get(), self.crowded.get()) {
            // What comes now is better off at the successor, which has the time for a long answer. What would come on a
            // silent connection is refused by then.
            (true, _) => IdleTimeouts { idle: Duration::ZERO, silent: REFUSE_AFTER },
            (false, true) => IdleTimeouts { idle: IDLE_LEAST, silent: WHOLE_TIME },
            (false, false) => IdleTimeouts { idle: IDLE_MOST, silent: WHOLE_TIME },
        };
        self.open.retain(|client| client.look(now, times));
        self.open.shrink_to(2 * self.open.len());
    }

    fn serve(&mut self, stream: TcpStream) {
        if let Err(error) = stream.set_nodelay(true) {
            log::line(&format!("nodelay: {error}"));
        }
        let socket = Socket::of_client(stream);
        let phase = Rc::new(Cell::new(Phase::New(Instant::now())));
        let (driver, state, read) = (self.driver.clone(), phase.clone(), socket.clone());
        let (crowded, asked) = (self.crowded.clone(), Rc::new(Cell::new(0)));
        let stopping = self.stopping.clone();
        let service = service_fn(move |request| {
            let number = asked.replace(asked.get() + 1);
            let doubtful = read.is_doubtful(number);
            let arrival = Arrival { whole_by: state.get().whole_by(&read), socket: read.clone(), doubtful };
            let (crowded, first) = (crowded.clone(), number == 0);
            let (driver, stopping) = (driver.clone(), stopping.clone());
            let open = OpenRequest::begin(&state, &read);
            async move {
                let mut answer = answer(driver, request, arrival).await;
                // Many who ask once and keep their connections leave none for those who ask again. An answer that
                // says so closes without crossing a request, and at once.
                if stopping.get() || first && crowded.get() {
                    answer.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
                }
                Ok::<_, Infallible>(answer.map(|body| TrackedBody { body, _open: open }))
            }
        });
        // The sweeps see to all times, so that none can be had twice by being slow in another way.
        let connection = hyper::server::conn::http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(None)
            .max_buf_size(HEAD_MOST)
            .serve_connection(socket.clone(), service);
        let (ending, closing, last) = (Rc::new(Notify::new()), socket.clone(), phase.clone());
        let (ended, metrics) = (ending.clone(), self.driver.metrics());
        let task = spawn_local(async move {
            // Nobody waits for the answer. hyper sees that only where it has read all that came before; where no request
            // is open it reads on, and what begins one comes to its turn before this.
            let left = poll_fn(|context| {
                ready!(closing.poll_left(context));
                if matches!(last.get(), Phase::Open) {
                    Poll::Ready(())
                } else {
                    Poll::Pending
                }
            });
            // A request may have come since this was found due: the last look is the end's own.
            let due = async {
                loop {
                    ended.notified().await;
                    if !last.get().has_come(&closing) {
                        break;
                    }
                }
            };
            tokio::select! {
                biased;
                // One that breaks ends its request's waiting, which tells the module.
                _ = connection => {}
                () = left => {
                    metrics.count().client_closed(ClientCloseReason::ClientDisconnected);
                    closing.close();
                }
                () = due => metrics.count().client_closed(last.get().close_when_due(&closing)),
            }
            last.set(Phase::Closing(Instant::now()));
            closing.linger(LINGER).await;
        });
        let metrics = self.driver.metrics();
        self.open.push(ClientConnection { task, socket, phase, end: ending, metrics });
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::body::RequestBody;
    use crate::control::request::{ForwardedRequest, Reply, RequestDescriptor};
    use balancer::ClassId;
    use hyper::rt::Write;
    use hyper::{HeaderMap, Method, Uri};
    use std::task::Waker;
    use tokio::io::AsyncReadExt;

    /// The end of an answer may be handed over long before its client has taken it: closing then would cut it off.
    #[tokio::test]
    async fn a_client_that_has_not_taken_its_answer_is_not_idle() {
        let (far, near) = pair().await;
        let mut socket = Socket::of_client(near);
        let since = Instant::now() - IDLE_MOST;
        let (task, phase) = (tokio::spawn(std::future::pending()), Rc::new(Cell::new(Phase::Idle(since))));
        let client = ClientConnection {
            task,
            socket: socket.clone(),
            phase,
            end: Rc::default(),
            metrics: Metrics::default(),
        };
        let times = IdleTimeouts { idle: IDLE_LEAST, silent: WHOLE_TIME };
        assert!(client.is_due(Instant::now(), times) && client.spare(Instant::now()).is_some());
        let mut context = Context::from_waker(Waker::noop());
        while Pin::new(&mut socket).poll_write(&mut context, &[0; 1 << 16]).is_ready() {}
        assert!(!client.is_due(Instant::now(), times) && client.spare(Instant::now()).is_none());
        assert!(client.look(Instant::now(), times));
        assert!(!client.look(Instant::now() + BLOCKED_MOST, times), "not for good");
        drop(far);
    }

    /// A process that is busy comes to read late: its clients are not closed for that.
    #[tokio::test]
    async fn a_new_client_whose_request_is_unread_is_not_spared() {
        let (far, near) = pair().await;
        let (task, now) = (tokio::spawn(std::future::pending()), Instant::now());
        let phase = Rc::new(Cell::new(Phase::New(now - BEGUN)));
        let client = ClientConnection {
            task,
            socket: Socket::of_client(near),
            phase,
            end: Rc::default(),
            metrics: Metrics::default(),
        };
        assert!(client.spare(now).is_some(), "it has said nothing");
        far.try_write(b"GET /api HTTP/1.1\r\n").expect("written");
        while client.socket.is_quiet() {
            yield_now().await;
        }
        assert!(client.spare(now).is_none());
    }

    /// A host that takes nothing, and a configuration that knows it.
    async fn one_host() -> (TcpListener, Rc<crate::config::Config>) {
        let endpoint = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let dial = endpoint.local_addr().expect("an address");
        let entry = format!(r#"{{"host":"s-0","dial":"{dial}","health":"Ready"}}"#);
        let class = r#"{"name":"free","objective_us":5000000,"deadline_us":9000000,"worth":1.0,"idempotency":"free"}"#;
        let config = format!(
            r#"{{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1","known":{{"seq":1,"whole":true,"hosts":[{entry}]}},
                "settings":{{"balancers":1,"me":0,"discovery":"push","tick_us":1000,"classes":[{class}],
                             "invariants":{{"cold_from":0.3,"cold_us":7500000,"ask_every_us":320000}}}}}}"#
        );
        let config = crate::config::Config::parse(&config).expect("a good configuration");
        (endpoint, Rc::new(config))
    }

    async fn pair() -> (TcpStream, TcpStream) {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let (far, near) = tokio::join!(TcpStream::connect(address), listener.accept());
        (far.expect("connected"), near.expect("accepted").0)
    }

    /// What the module sends in the turn in which its client's end is told of is not begun, not even by a connection.
    #[tokio::test]
    async fn no_connection_is_opened_for_a_client_that_has_left() {
        let (endpoint, config) = one_host().await;
        let test = async {
            let (far, near) = pair().await;
            let client = Socket::of_client(near);
            far.try_write(b"GET /").expect("written");
            drop(far);
            while !client.is_left() {
                yield_now().await;
            }
            let payload = RequestBody::Whole(Bytes::new());
            let (target, headers, budget) =
                (Uri::from_static("/api"), HeaderMap::new(), Duration::from_secs(4));
            let forward = ForwardedRequest { method: Method::GET, target, headers, payload, budget, client };
            let (id, class, deadline) = (HeaderValue::from_static("1"), ClassId(0), Instant::now() + budget);
            let ask = RequestDescriptor { id, class, tenant: None, deadline, client_retry: false };
            let mut waiting = Control::start(config).request(ask, forward).expect("its id is free");
            assert!(matches!(waiting.reply().await, Reply::Failed));
            assert!(timeout(Duration::ZERO, endpoint.accept()).await.is_err(), "nobody connects");
        };
        tokio::task::LocalSet::new().run_until(test).await;
    }

    /// A connection is found due, and what comes before its task's turn is read after that, in part or whole: it is answered.
    #[tokio::test]
    async fn what_comes_as_a_connection_is_due_is_answered() {
        let (_host, config) = one_host().await;
        let test = async {
            let driver = Control::start(config);
            let (open, crowded, stopping) = Default::default();
            let mut clients = ClientConnections { driver, open, crowded, stopping };
            let (health, answer) = ("GET /_health HTTP/1.1\r\n\r\n", "HTTP/1.1 200 OK\r\n");
            // A new one, on which nothing has come, and an idle one.
            for parts in [[health, ""], ["GET /_hea", "lth HTTP/1.1\r\n\r\n"]] {
                let (mut far, near) = pair().await;
                clients.serve(near);
                // Found due before it comes, or as the system tells of it.
                for told in [false, false, true] {
                    yield_now().await;
                    if !told {
                        clients.open[0].end.notify_one();
                    }
                    for part in parts {
                        assert_eq!(far.try_write(part.as_bytes()).expect("written"), part.len());
                        yield_now().await;
                        if told {
                            clients.open[0].end.notify_one();
                        }
                        yield_now().await;
                        yield_now().await;
                    }
                    let mut bytes = [0; 1_024];
                    let count = far.read(&mut bytes).await.expect("an answer");
                    assert!(bytes[..count].starts_with(answer.as_bytes()), "{parts:?}");
                }
                // With nothing there it ends.
                let client = clients.open.pop().expect("it is there");
                client.end.notify_one();
                assert_eq!(far.read(&mut [0]).await.expect("an end"), 0);
            }
        };
        let tasks = tokio::task::LocalSet::new();
        timeout(Duration::from_secs(5), tasks.run_until(test)).await.expect("in time");
    }

    /// The end of a client is an event of its connection's own: here nobody sweeps. hyper does not read on behind the part
    /// of a next request.
    #[tokio::test]
    async fn a_client_that_leaves_while_its_request_is_open_is_gone_without_a_sweep() {
        let (_host, config) = one_host().await;
        let test = async {
            let driver = Control::start(config);
            let (open, crowded, stopping) = Default::default();
            let mut clients = ClientConnections { driver: driver.clone(), open, crowded, stopping };
            let mut sent = 0;
            for (begun, reset) in [(false, false), (false, true), (true, false), (true, true)] {
                let (far, near) = pair().await;
                clients.serve(near);
                let text = format!(
                    "GET /api HTTP/1.1\r\nX-Call-Id: {begun}{reset}\r\nX-Call-Class: free\r\nX-Budget-Ms: 8000\r\n\r\nGET /"
                );
                assert_eq!(far.try_write(text.as_bytes()).expect("written"), text.len());
                while driver.metrics_json()["pending"] != 1 {
                    yield_now().await;
                }
                // Of one that is out nothing is looked at any more. The server, which has done nothing wrong, is used again.
                sent += u64::from(begun);
                while driver.metrics_json()["upstream_requests"] != sent {
                    yield_now().await;
                }
                if reset {
                    far.set_zero_linger().expect("lingers not");
                }
                drop(far);
                while driver.metrics_json()["pending"] != 0 {
                    yield_now().await;
                }
                assert!(clients.open.pop().is_some_and(|client| client.socket.is_left()), "closed");
                assert_eq!(driver.metrics_json()["upstream_requests"], sent);
            }
        };
        let tasks = tokio::task::LocalSet::new();
        let test = timeout(Duration::from_secs(5), tasks.run_until(test));
        test.await.expect("it is told of the end");
    }
}

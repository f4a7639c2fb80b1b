//! What all cases share: the record, the proxy's process, and stand-ins for clients, results servers and
//! the discovery agent. Standard library only; loopback addresses only.

use std::collections::HashMap;
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

/// The record of a run: lines with the time since its start.
pub struct Record {
    start: Instant,
    file: Mutex<File>,
    pub trouble: bool,
    pub folder: PathBuf,
}

pub type Shared = Arc<Record>;

impl Record {
    pub fn open(folder: &Path) -> Shared {
        let temporary = std::env::temp_dir().join(format!(
            "review-2-{}-{}",
            std::process::id(),
            SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_nanos()
        ));
        fs::create_dir_all(&temporary).expect("temporary folder");
        Arc::new(Record {
            start: Instant::now(),
            file: Mutex::new(File::create(folder.join("record.txt")).expect("record.txt")),
            trouble: std::env::var("TROUBLE").map_or(true, |value| value != "0"),
            folder: temporary,
        })
    }

    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let at = self.now();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:9.3} {text}");
    }

    pub fn wait_until(&self, at: f64) {
        let left = at - self.now();
        if left > 0.0 {
            thread::sleep(Duration::from_secs_f64(left));
        }
    }
}

pub fn spawn(task: impl FnOnce() + Send + 'static) -> thread::JoinHandle<()> {
    thread::Builder::new()
        .stack_size(256 << 10)
        .spawn(task)
        .expect("thread")
}

/// An address that nobody listens at.
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("free port");
    listener.local_addr().unwrap()
}

// ---------------------------------------------------------------------------------------------
// Messages

#[derive(Debug, Clone, Default)]
pub struct Head {
    pub first: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let mut found = self.headers.iter().filter(|(key, _)| key.eq_ignore_ascii_case(name));
        found.next().map(|(_, value)| value.as_str())
    }

    pub fn length(&self) -> Option<usize> {
        self.get("content-length")?.parse().ok()
    }
}

/// Reads a head; `None` at the end of the connection before its first byte.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Head>> {
    let mut head = Head::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return if head.first.is_empty() {
                Ok(None)
            } else {
                Err(io::ErrorKind::UnexpectedEof.into())
            };
        }
        let line = line.trim_end();
        if head.first.is_empty() {
            head.first = line.to_owned();
        } else if line.is_empty() {
            return Ok(Some(head));
        } else if let Some((name, value)) = line.split_once(':') {
            head.headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

// ---------------------------------------------------------------------------------------------
// Results servers

/// A request as a results server got it, with the time of its last byte.
#[derive(Debug, Clone)]
pub struct Arrival {
    pub at: f64,
    pub server: usize,
    pub id: String,
    pub class: String,
    pub budget_ms: u64,
}

/// What a results server does with a request.
pub enum Answer {
    /// 200 with the request's id as its body, after this time.
    Serve(Duration),
    /// The same, and the answer once more this much later.
    Twice(Duration, Duration),
    /// 200 with this many bytes, in pieces of this size with this pause between them.
    Long { bytes: usize, piece: usize, pause: Duration },
    /// The same without a length: the end of the connection ends it.
    Unsized { bytes: usize, piece: usize, pause: Duration },
    /// Nothing, until the peer ends the connection.
    Hang,
    /// A reset.
    Reset,
}

pub type Behaviour = Arc<dyn Fn(usize, &Head) -> Answer + Send + Sync>;

pub struct Fleet {
    pub addresses: Vec<SocketAddr>,
    pub arrivals: Arc<Mutex<Vec<Arrival>>>,
}

impl Fleet {
    pub fn start(record: &Shared, count: usize, behaviour: Behaviour) -> Fleet {
        let arrivals: Arc<Mutex<Vec<Arrival>>> = Arc::default();
        let mut addresses = Vec::new();
        for server in 0..count {
            let listener = TcpListener::bind("127.0.0.1:0").expect("results server");
            addresses.push(listener.local_addr().unwrap());
            let (record, arrivals, behaviour) = (record.clone(), arrivals.clone(), behaviour.clone());
            spawn(move || {
                for stream in listener.incoming() {
                    let Ok(stream) = stream else { continue };
                    let (record, arrivals, behaviour) = (record.clone(), arrivals.clone(), behaviour.clone());
                    spawn(move || {
                        let _ = serve(&record, server, stream, &arrivals, &behaviour);
                    });
                }
            });
        }
        Fleet { addresses, arrivals }
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        self.arrivals.lock().unwrap().clone()
    }
}

fn serve(
    record: &Record,
    server: usize,
    stream: TcpStream,
    arrivals: &Mutex<Vec<Arrival>>,
    behaviour: &Behaviour,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut writer = stream;
    while let Some(head) = read_head(&mut reader)? {
        let length = head.length().unwrap_or(0);
        io::copy(&mut (&mut reader).take(length as u64), &mut io::sink())?;
        let arrival = Arrival {
            at: record.now(),
            server,
            id: head.get("x-call-id").unwrap_or("-").to_owned(),
            class: head.get("x-call-class").unwrap_or("-").to_owned(),
            budget_ms: head.get("x-budget-ms").and_then(|text| text.parse().ok()).unwrap_or(0),
        };
        record.line(&format!(
            "server {server} got {} {} with {} ms",
            arrival.class, arrival.id, arrival.budget_ms
        ));
        arrivals.lock().unwrap().push(arrival.clone());
        match behaviour(server, &head) {
            Answer::Serve(after) => {
                thread::sleep(after);
                let body = &arrival.id;
                let text = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
                writer.write_all(text.as_bytes())?;
            }
            Answer::Twice(after, later) => {
                thread::sleep(after);
                let body = &arrival.id;
                let text = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
                writer.write_all(text.as_bytes())?;
                let mut second = writer.try_clone()?;
                spawn(move || {
                    thread::sleep(later);
                    let _ = second.write_all(text.as_bytes());
                });
            }
            Answer::Long { bytes, piece, pause } => {
                let text = format!("HTTP/1.1 200 OK\r\nContent-Length: {bytes}\r\n\r\n");
                writer.write_all(text.as_bytes())?;
                write_slowly(&mut writer, bytes, piece, pause)?;
            }
            Answer::Unsized { bytes, piece, pause } => {
                writer.write_all(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n")?;
                let written = write_slowly(&mut writer, bytes, piece, pause);
                if let Err(error) = &written {
                    record.line(&format!("server {server} was cut off in the answer to {}: {error}", arrival.id));
                }
                written?;
                writer.shutdown(Shutdown::Write)?;
                io::copy(&mut reader, &mut io::sink())?;
                return Ok(());
            }
            Answer::Hang => {
                io::copy(&mut reader, &mut io::sink())?;
                return Ok(());
            }
            Answer::Reset => {
                reset(&writer);
                return Ok(());
            }
        }
    }
    Ok(())
}

fn write_slowly(writer: &mut TcpStream, bytes: usize, piece: usize, pause: Duration) -> io::Result<()> {
    let data = vec![b'x'; piece];
    let mut left = bytes;
    while left > 0 {
        let size = left.min(piece);
        writer.write_all(&data[..size])?;
        left -= size;
        thread::sleep(pause);
    }
    Ok(())
}

#[repr(C)]
struct Linger {
    on: i32,
    seconds: i32,
}

extern "C" {
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const Linger, length: u32) -> i32;
}

/// Lets the connection end with a reset when its last handle is closed.
pub fn reset(stream: &TcpStream) {
    use std::os::fd::AsRawFd;
    const SOL_SOCKET: i32 = 1;
    const SO_LINGER: i32 = 13;
    let linger = Linger { on: 1, seconds: 0 };
    unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_LINGER, &linger, 8) };
    let _ = stream.shutdown(Shutdown::Both);
}

// ---------------------------------------------------------------------------------------------
// Discovery

#[derive(Clone, Debug)]
pub struct Member {
    pub host: String,
    pub dial: SocketAddr,
    pub zone: &'static str,
    pub state: &'static str,
    pub born_ms: u64,
}

impl Member {
    fn json(&self) -> String {
        format!(
            "{{\"host\":\"{}\",\"dial\":\"{}\",\"site\":\"{}\",\"class\":\"mid-2c\",\"block\":0,\"health\":\"{}\",\"share\":1.0,\"born_ms\":{}}}",
            self.host, self.dial, self.zone, self.state, self.born_ms
        )
    }
}

pub fn members(fleet: &Fleet, zones: &[&'static str]) -> Vec<Member> {
    let list = fleet.addresses.iter().enumerate();
    let member = |(index, dial): (usize, &SocketAddr)| Member {
        host: format!("s-{index:08x}"),
        dial: *dial,
        zone: zones[index % zones.len()],
        state: "Ready",
        born_ms: 0,
    };
    list.map(member).collect()
}

pub fn whole(version: u64, members: &[Member]) -> String {
    let hosts: Vec<String> = members.iter().map(Member::json).collect();
    format!("{{\"seq\":{version},\"whole\":true,\"hosts\":[{}]}}", hosts.join(","))
}

struct AgentState {
    version: u64,
    members: Vec<Member>,
    /// The version at which each entry changed last.
    changed: HashMap<String, u64>,
    /// Watches of an older number end without a word.
    generation: u64,
}

/// The agent of discovery. Its watches bring the whole list or what changed, and an empty line every 2 s.
pub struct Agent {
    pub address: SocketAddr,
    state: Arc<(Mutex<AgentState>, Condvar)>,
    /// How long the head of each answer takes, in milliseconds.
    pub delay_ms: Arc<AtomicU64>,
    pub calls: Arc<AtomicU64>,
    pub answered: Arc<AtomicU64>,
}

impl Agent {
    pub fn start(record: &Shared, members: Vec<Member>) -> Agent {
        let listener = TcpListener::bind("127.0.0.1:0").expect("agent");
        let address = listener.local_addr().unwrap();
        let state = AgentState {
            version: 41,
            members,
            changed: HashMap::new(),
            generation: 0,
        };
        let state = Arc::new((Mutex::new(state), Condvar::new()));
        let delay_ms: Arc<AtomicU64> = Arc::default();
        let (calls, answered): (Arc<AtomicU64>, Arc<AtomicU64>) = Default::default();
        let agent = Agent {
            address,
            state: state.clone(),
            delay_ms: delay_ms.clone(),
            calls: calls.clone(),
            answered: answered.clone(),
        };
        let record = record.clone();
        spawn(move || {
            for stream in listener.incoming() {
                let Ok(stream) = stream else { continue };
                let (record, state, delay_ms) = (record.clone(), state.clone(), delay_ms.clone());
                let (calls, answered) = (calls.clone(), answered.clone());
                spawn(move || {
                    let _ = follow(&record, stream, &state, &delay_ms, &calls, &answered);
                });
            }
        });
        agent
    }

    /// Changes entries of the list. What the agent has counts as told.
    pub fn change(&self, change: impl Fn(&mut Member)) -> u64 {
        let (lock, condition) = &*self.state;
        let mut guard = lock.lock().unwrap();
        let state = &mut *guard;
        state.version += 1;
        for member in &mut state.members {
            let before = member.json();
            change(member);
            if member.json() != before {
                state.changed.insert(member.host.clone(), state.version);
            }
        }
        let version = state.version;
        condition.notify_all();
        version
    }

    /// Ends all watches.
    pub fn end_watches(&self) {
        let (lock, condition) = &*self.state;
        lock.lock().unwrap().generation += 1;
        condition.notify_all();
    }
}

fn follow(
    record: &Record,
    stream: TcpStream,
    state: &(Mutex<AgentState>, Condvar),
    delay_ms: &AtomicU64,
    calls: &AtomicU64,
    answered: &AtomicU64,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut writer = stream;
    let Some(head) = read_head(&mut reader)? else {
        return Ok(());
    };
    calls.fetch_add(1, Ordering::SeqCst);
    let since = head.first.split("since=").nth(1).and_then(|rest| {
        let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
        digits.parse::<u64>().ok()
    });
    let delay = delay_ms.load(Ordering::SeqCst);
    thread::sleep(Duration::from_millis(delay));
    let (lock, condition) = state;
    let mut guard = lock.lock().unwrap();
    let generation = guard.generation;
    let mut told = guard.version;
    let first = match since {
        Some(since) if since <= guard.version && since > 0 => changes(&guard, since),
        _ => whole(guard.version, &guard.members),
    };
    writer.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
    chunk(&mut writer, &format!("{first}\n"))?;
    answered.fetch_add(1, Ordering::SeqCst);
    record.line(&format!("agent: watch from {since:?} opened after {delay} ms, version {told}"));
    loop {
        let (next, timeout) = condition.wait_timeout(guard, Duration::from_secs(2)).unwrap();
        guard = next;
        if guard.generation != generation {
            return Ok(());
        }
        if guard.version > told {
            let text = changes(&guard, told);
            told = guard.version;
            chunk(&mut writer, &format!("{text}\n"))?;
        } else if timeout.timed_out() {
            chunk(&mut writer, "\n")?;
        }
    }
}

fn changes(state: &AgentState, since: u64) -> String {
    let is_new = |member: &&Member| state.changed.get(&member.host).is_some_and(|at| *at > since);
    let hosts: Vec<String> = state.members.iter().filter(is_new).map(Member::json).collect();
    format!("{{\"seq\":{},\"whole\":false,\"hosts\":[{}]}}", state.version, hosts.join(","))
}

fn chunk(writer: &mut impl Write, text: &str) -> io::Result<()> {
    writer.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
}

// ---------------------------------------------------------------------------------------------
// Clients

#[derive(Clone, Debug)]
pub struct Reply {
    pub sent_at: f64,
    pub ended_at: f64,
    /// 0: no answer.
    pub status: u16,
    pub bytes: usize,
    pub body: Vec<u8>,
    pub note: String,
}

pub struct Request {
    pub class: String,
    pub id: String,
    pub budget_ms: u64,
    pub is_keyed: bool,
    pub is_get: bool,
    pub body_bytes: usize,
}

impl Request {
    pub fn read(class: &str, id: &str, budget_ms: u64) -> Request {
        Request {
            class: class.into(),
            id: id.into(),
            budget_ms,
            is_keyed: false,
            is_get: true,
            body_bytes: 0,
        }
    }

    pub fn head(&self) -> String {
        let method = if self.is_get { "GET" } else { "POST" };
        let mut text = format!(
            "{method} /api HTTP/1.1\r\nHost: api.internal\r\nX-Call-Id: {}\r\nX-Call-Class: {}\r\nX-Caller: ak-zagreb-trk\r\nX-Budget-Ms: {}\r\n",
            self.id, self.class, self.budget_ms
        );
        if self.is_keyed {
            text += &format!("Idempotency-Key: k{}\r\n", self.id);
        }
        if !self.is_get {
            text += &format!("Content-Length: {}\r\n", self.body_bytes);
        }
        text + "\r\n"
    }

    pub fn bytes(&self) -> Vec<u8> {
        let mut bytes = self.head().into_bytes();
        bytes.extend(std::iter::repeat(b'b').take(self.body_bytes));
        bytes
    }
}

/// Sends a request on this connection and reads its answer, for as long as `patience`. The client stays
/// for all of it.
pub fn exchange(record: &Record, stream: &TcpStream, request: &Request, patience: Duration) -> Reply {
    let mut reply = Reply {
        sent_at: record.now(),
        ended_at: 0.0,
        status: 0,
        bytes: 0,
        body: Vec::new(),
        note: String::new(),
    };
    let until = Instant::now() + patience;
    if let Err(error) = (&*stream).write_all(&request.bytes()) {
        reply.note = format!("not written: {error}");
    } else {
        reply.sent_at = record.now();
        if let Err(error) = read_reply(stream, until, &mut reply) {
            reply.note = error.to_string();
        }
    }
    reply.ended_at = record.now();
    record.line(&format!(
        "client {} {} sent at {:.3}: status {} with {} bytes after {:.3} s {}",
        request.class,
        request.id,
        reply.sent_at,
        reply.status,
        reply.bytes,
        reply.ended_at - reply.sent_at,
        reply.note
    ));
    reply
}

/// Reads with a deadline that holds for all of the answer.
struct Until<'a> {
    stream: &'a TcpStream,
    until: Instant,
}

impl Read for Until<'_> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let left = self.until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        self.stream.set_read_timeout(Some(left))?;
        self.stream.read(buffer)
    }
}

pub fn read_reply(stream: &TcpStream, until: Instant, reply: &mut Reply) -> io::Result<()> {
    let mut reader = BufReader::new(Until { stream, until });
    let head = read_head(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let status = head.first.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = Vec::new();
    if let Some(length) = head.length() {
        (&mut reader).take(length as u64).read_to_end(&mut body)?;
        if body.len() < length {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    } else if head.get("transfer-encoding").is_some() {
        loop {
            let mut line = String::new();
            reader.read_line(&mut line)?;
            let size = usize::from_str_radix(line.trim(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
            (&mut reader).take(size as u64).read_to_end(&mut body)?;
            reader.read_line(&mut line)?;
            if size == 0 {
                break;
            }
        }
    } else {
        reader.read_to_end(&mut body)?;
    }
    reply.status = status;
    reply.bytes = body.len();
    if let Some(after) = head.get("retry-after") {
        reply.note = format!("retry-after {after}");
    }
    reply.body = body;
    Ok(())
}

pub fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(2))?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// A request on a new connection.
pub fn ask(record: &Record, address: SocketAddr, request: &Request, patience: Duration) -> Reply {
    match connect(address) {
        Ok(stream) => exchange(record, &stream, request, patience),
        Err(error) => {
            record.line(&format!("client {} cannot connect: {error}", request.id));
            Reply {
                sent_at: record.now(),
                ended_at: record.now(),
                status: 0,
                bytes: 0,
                body: Vec::new(),
                note: format!("not connected: {error}"),
            }
        }
    }
}

// ---------------------------------------------------------------------------------------------
// The proxy

pub struct Class {
    pub name: &'static str,
    pub objective_ms: u64,
    pub deadline_ms: u64,
    /// `free`, `guarded` with the scope and window, or `single_shot`.
    pub idempotency: &'static str,
    pub scope: &'static str,
    pub window_ms: u64,
}

pub struct Settings {
    pub balancers: u32,
    pub sockets: u32,
    pub memory_mb: u32,
    pub second_copies: bool,
    pub classes: Vec<Class>,
    pub drain_grace_ms: u64,
}

impl Settings {
    /// A small deployment: the limits, costs and invariants of the example of WIRE.
    pub fn small(classes: Vec<Class>) -> Settings {
        Settings {
            balancers: 4,
            sockets: 256,
            memory_mb: 64,
            second_copies: true,
            classes,
            drain_grace_ms: 400,
        }
    }

    fn json(&self) -> String {
        let class = |class: &Class| {
            format!(
                "{{\"deadline_us\":{},\"dedup_scope\":\"{}\",\"idempotency\":\"{}\",\"late_value\":0.0,\"name\":\"{}\",\"objective_us\":{},\"repeat_window_us\":{},\"streaming\":false,\"worth\":2.0}}",
                class.deadline_ms * 1000, class.scope, class.idempotency, class.name, class.objective_ms * 1000, class.window_ms * 1000
            )
        };
        let classes: Vec<String> = self.classes.iter().map(class).collect();
        format!(
            "{{\"azs\":[\"zagreb-dc\",\"split-dc\"],\"balancers\":{},\"classes\":[{}],\"discovery\":\"push\",\"family\":\"mesh\",\
\"invariants\":{{\"answer_slack_us\":20000,\"ask_every_us\":10000000,\"cold_from\":0.13,\"cold_us\":24000000,\"drain_grace_us\":{},\"fall_multiple\":4.0,\"tip_after_us\":3000000}},\
\"limits\":{{\"cancel\":true,\"conn_idle_us\":30000000,\"connect_timeout_us\":250000,\"max_attempts\":3,\"max_open\":20000,\"max_retry_after_us\":1500000,\"max_streams\":1,\"may_tell\":true,\"probes\":true,\"retry_after\":true,\"second_copies\":{}}},\
\"locality\":\"split-dc\",\"me\":0,\"over_share_worth\":0.05,\"report\":{{\"columns\":[],\"how\":\"off\"}},\"result_mix\":{{\"whole\":0.3,\"worst_class\":0.2,\"worst_tenant\":0.05,\"worst_window\":0.45}},\
\"tenants\":[{{\"name\":\"ak-zagreb-trk\",\"portion\":1.0,\"quota_per_s\":200.0}}],\"tick_us\":5000,\"tier\":0,\"tiers\":[\"results-api\"],\"weight_source\":\"off\",\"worth_by\":\"work\"}}",
            self.balancers, classes.join(","), self.drain_grace_ms * 1000, self.second_copies
        )
    }
}

pub struct Proxy {
    child: Child,
    pub address: SocketAddr,
    record: Shared,
}

/// The root of the repository, from which the deploy file's commands are run.
fn root() -> PathBuf {
    PathBuf::from(std::env::var("ROOT").expect("ROOT"))
}

fn run_command() -> String {
    let text = fs::read_to_string(root().join("deploy/balancer.toml")).expect("deploy file");
    let line = text.lines().find(|line| line.starts_with("run")).expect("run");
    line.split('"').nth(1).expect("run").to_owned()
}

pub fn config_text(settings: &Settings, listen: SocketAddr, admin: SocketAddr, discovery: SocketAddr, known: &str) -> String {
    format!(
        "{{\"name\":\"n0\",\"listen\":\"{listen}\",\"admin\":\"{admin}\",\"discovery\":\"{discovery}\",\"seed\":\"8c1f30d27a5be964\",\
\"limits\":{{\"cores\":1.0,\"memory_mb\":{},\"sockets\":{}}},\"known\":{known},\"settings\":{}}}",
        settings.memory_mb, settings.sockets, settings.json()
    )
}

impl Proxy {
    /// Starts `run` of the deploy file and waits until it is ready.
    pub fn start(record: &Shared, settings: &Settings, discovery: SocketAddr, known: &str) -> Proxy {
        let (listen, admin) = (free_address(), free_address());
        let path = record.folder.join("config.json");
        fs::write(&path, config_text(settings, listen, admin, discovery, known)).expect("configuration");
        let temporary = record.folder.join("tmp");
        fs::create_dir_all(&temporary).expect("folder");
        let log = File::create(record.folder.join("proxy.log")).expect("log");
        let child = Command::new("/bin/sh")
            .arg("-c")
            .arg(run_command())
            .current_dir(root())
            .env("ROUTER_CONFIG", &path)
            .env("ROUTER_NAME", "n0")
            .env("ROUTER_LISTEN", listen.to_string())
            .env("ROUTER_DISCOVERY", discovery.to_string())
            .env("ROUTER_ADMIN", admin.to_string())
            .env("TMPDIR", &temporary)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("log"))
            .stderr(log)
            .spawn()
            .expect("the proxy");
        let proxy = Proxy {
            child,
            address: listen,
            record: record.clone(),
        };
        record.line(&format!("proxy {} started at {listen}", proxy.child.id()));
        for _ in 0..600 {
            if proxy.is_ready() {
                record.line("proxy is ready");
                return proxy;
            }
            thread::sleep(Duration::from_millis(50));
        }
        record.line("the proxy did not become ready");
        drop(proxy);
        finish(record, 2)
    }

    fn is_ready(&self) -> bool {
        let Ok(stream) = connect(self.address) else {
            return false;
        };
        if (&stream).write_all(b"GET /_health HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n").is_err() {
            return false;
        }
        let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
        let mut text = String::new();
        let _ = (&stream).read_to_string(&mut text);
        text.starts_with("HTTP/1.1 200")
    }

    pub fn signal(&self, signal: i32) {
        self.record.line(&format!("signal {signal} to the proxy"));
        unsafe { kill(self.child.id() as i32, signal) };
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Ends the run: removes the temporary folder, and exits with this code.
pub fn finish(record: &Record, code: i32) -> ! {
    record.line(&format!("exit {code}"));
    if std::env::var("KEEP").is_err() {
        let _ = fs::remove_dir_all(&record.folder);
    }
    std::process::exit(code)
}

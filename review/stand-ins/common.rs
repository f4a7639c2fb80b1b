//! What all cases share: the record, free ports, reading HTTP/1.1, the discovery agent, the proxy's
//! configuration, and the processes that a case starts.

use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const COULD_NOT_RUN: i32 = 2;

pub fn unix_ms() -> u128 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .expect("a time after 1970")
        .as_millis()
}

/// The file `record.txt` of a case. Times are milliseconds since the start of the case.
#[derive(Clone)]
pub struct Record(Arc<Mutex<File>>, Instant);

impl Record {
    pub fn create(folder: &Path) -> io::Result<Record> {
        let file = File::create(folder.join("record.txt"))?;
        Ok(Record(Arc::new(Mutex::new(file)), Instant::now()))
    }

    pub fn line(&self, text: &str) {
        let mut file = self.0.lock().expect("the record");
        let _ = writeln!(file, "{:>6} ms  {text}", self.1.elapsed().as_millis());
        let _ = file.flush();
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}

pub fn free_address() -> io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}

/// The head of an HTTP/1.1 message: its first line, and its fields with names in lower case.
pub struct Head {
    pub first_line: String,
    pub fields: Vec<(String, String)>,
}

impl Head {
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields
            .iter()
            .find(|field| field.0 == name)
            .map(|field| field.1.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first_line
            .split(' ')
            .nth(1)
            .and_then(|code| code.parse().ok())
            .unwrap_or(0)
    }
}

/// Reads a head; `None` if the connection ends before it.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Head>> {
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return match lines.is_empty() {
                true => Ok(None),
                false => Err(io::ErrorKind::UnexpectedEof.into()),
            };
        }
        let line = line.trim_end().to_owned();
        match (line.is_empty(), lines.is_empty()) {
            (true, true) => {}
            (true, false) => break,
            _ => lines.push(line),
        }
    }
    let first_line = lines.remove(0);
    let fields = lines
        .iter()
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
        .collect();
    Ok(Some(Head { first_line, fields }))
}

/// Reads a body by its length or its chunks, and returns it.
pub fn read_body(reader: &mut impl BufRead, head: &Head) -> io::Result<Vec<u8>> {
    if head
        .field("transfer-encoding")
        .is_some_and(|coding| coding.eq_ignore_ascii_case("chunked"))
    {
        let mut body = Vec::new();
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let digits = line
                .trim_end()
                .split(';')
                .next()
                .unwrap_or("")
                .trim()
                .to_owned();
            let size =
                usize::from_str_radix(&digits, 16).map_err(|_| io::ErrorKind::InvalidData)?;
            let start = body.len();
            body.resize(start + size, 0);
            reader.read_exact(&mut body[start..])?;
            let mut end = String::new();
            reader.read_line(&mut end)?;
            if size == 0 {
                return Ok(body);
            }
        }
    }
    let length = head
        .field("content-length")
        .and_then(|length| length.parse().ok())
        .unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(body)
}

/// A listed endpoint.
pub struct Endpoint {
    pub name: String,
    pub zone: &'static str,
    pub address: SocketAddr,
    pub child: Child,
    pub log: PathBuf,
}

impl Endpoint {
    fn entry(&self) -> String {
        format!(
            "{{\"host\":\"{}\",\"dial\":\"{}\",\"site\":\"{}\",\"class\":\"m2\",\"block\":0,\
             \"health\":\"Ready\",\"share\":1.0,\"born_ms\":0}}",
            self.name, self.address, self.zone
        )
    }

    /// What it ran, as lines of its log.
    pub fn ran(&self) -> Vec<String> {
        fs::read_to_string(&self.log)
            .unwrap_or_default()
            .lines()
            .map(str::to_owned)
            .collect()
    }
}

pub fn list_of(endpoints: &[Endpoint]) -> String {
    let entries: Vec<String> = endpoints.iter().map(Endpoint::entry).collect();
    format!(
        "{{\"seq\":41,\"whole\":true,\"hosts\":[{}]}}",
        entries.join(",")
    )
}

/// Starts an endpoint as a process of its own, which logs each request that it ran.
pub fn start_endpoint(
    folder: &Path,
    number: usize,
    zone: &'static str,
    spoil_each: usize,
) -> io::Result<Endpoint> {
    let address = free_address()?;
    let name = format!("s-{number:04}");
    let log = folder.join(format!("endpoint-{number}.log"));
    File::create(&log)?;
    let mut command = Command::new(std::env::current_exe()?);
    command
        .args(["endpoint", &address.to_string()])
        .arg(&log)
        .arg(spoil_each.to_string())
        .stdin(Stdio::null());
    let mut child = spawn(&mut command)?;
    if let Err(error) = wait_for_port(address) {
        end(&mut child);
        return Err(error);
    }
    Ok(Endpoint {
        name,
        zone,
        address,
        child,
        log,
    })
}

fn wait_for_port(address: SocketAddr) -> io::Result<()> {
    for _ in 0..200 {
        if TcpStream::connect(address).is_ok() {
            return Ok(());
        }
        thread::sleep(Duration::from_millis(10));
    }
    Err(io::ErrorKind::TimedOut.into())
}

/// The agent of discovery on the proxy's machine: it answers at once with the list, and keeps a
/// watch open with an empty line every 2 s.
pub fn start_discovery(list: String) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let list = list.clone();
            thread::spawn(move || serve_discovery(stream, &list));
        }
    });
    Ok(address)
}

fn serve_discovery(stream: TcpStream, list: &str) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut writer = stream;
    let Some(head) = read_head(&mut reader)? else {
        return Ok(());
    };
    if !head.first_line.contains("follow=1") {
        return write!(
            writer,
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}",
            list.len()
        );
    }
    writer.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
    write!(writer, "{:x}\r\n{list}\n\r\n", list.len() + 1)?;
    loop {
        thread::sleep(Duration::from_secs(2));
        writer.write_all(b"1\r\n\n\r\n")?;
    }
}

/// The proxy's limits in its configuration.
pub struct Limits {
    pub memory_mb: usize,
    pub sockets: usize,
}

/// The settings of the page WIRE for a small deployment: its classes, limits and invariants.
pub fn configuration(
    listen: SocketAddr,
    discovery: SocketAddr,
    list: &str,
    limits: &Limits,
) -> String {
    let Limits { memory_mb, sockets } = limits;
    format!(
        r#"{{"name":"n0","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":{sockets}}},
"known":{list},
"settings":{{"azs":["zagreb-dc","split-dc"],"balancers":1,"me":0,"locality":"zagreb-dc","tick_us":5000,
"discovery":"push","worth_by":"work","over_share_worth":0.05,
"classes":[
{{"name":"view-results","idempotency":"free","deadline_us":2500000,"objective_us":500000,"worth":2.0,"late_value":0.0,"repeat_window_us":5000000,"dedup_scope":"all","streaming":false}},
{{"name":"club-standings","idempotency":"free","deadline_us":1500000,"objective_us":600000,"worth":2.0,"late_value":0.0,"repeat_window_us":5000000,"dedup_scope":"all","streaming":false}},
{{"name":"submit-results","idempotency":"guarded","deadline_us":2500000,"objective_us":1000000,"worth":8.0,"late_value":0.0,"repeat_window_us":12000000,"dedup_scope":"zone","streaming":false}},
{{"name":"race-entry","idempotency":"guarded","deadline_us":3000000,"objective_us":800000,"worth":5.0,"late_value":0.0,"repeat_window_us":3000000,"dedup_scope":"zone","streaming":false}}],
"tenants":[{{"name":"ak-zagreb-trk","portion":1.0,"quota_per_s":72.0}}],
"limits":{{"cancel":true,"conn_idle_us":15000000,"connect_timeout_us":250000,"max_attempts":3,"max_open":20000,"max_retry_after_us":1500000,"max_streams":1,"may_tell":false,"probes":false,"retry_after":true,"second_copies":true}},
"invariants":{{"answer_slack_us":20000,"ask_every_us":10000000,"cold_from":0.13,"cold_us":24000000,"drain_grace_us":400000,"fall_multiple":4.0,"tip_after_us":3000000}},
"report":{{"columns":[],"how":"off"}},"result_mix":{{"whole":0.3,"worst_class":0.2,"worst_tenant":0.05,"worst_window":0.45}}}}}}
"#
    )
}

/// A proxy, started with `run` of the deploy file.
pub struct Proxy {
    pub child: Child,
    pub listen: SocketAddr,
}

fn deploy_value(key: &str) -> io::Result<String> {
    let text = fs::read_to_string("deploy/balancer.toml")?;
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix(&format!("{key} = \"")));
    let value = line.and_then(|line| line.split('"').next());
    value
        .map(str::to_owned)
        .ok_or_else(|| io::Error::other("no such key in the deploy file"))
}

pub fn start_proxy(
    folder: &Path,
    discovery: SocketAddr,
    list: &str,
    limits: &Limits,
) -> io::Result<Proxy> {
    let listen = free_address()?;
    let config = folder.join("config.json");
    fs::write(&config, configuration(listen, discovery, list, limits))?;
    let mut command = Command::new("/bin/sh");
    command
        .args(["-c", &deploy_value("run")?])
        .env("ROUTER_CONFIG", &config)
        .env("ROUTER_NAME", "n0")
        .env("ROUTER_LISTEN", listen.to_string())
        .env("ROUTER_DISCOVERY", discovery.to_string())
        .env("TMPDIR", folder)
        .stdin(Stdio::null())
        .stdout(File::create(folder.join("proxy.out"))?)
        .stderr(File::create(folder.join("proxy.log"))?);
    let mut proxy = Proxy {
        child: spawn(&mut command)?,
        listen,
    };
    for _ in 0..500 {
        if health(listen).unwrap_or(false) {
            return Ok(proxy);
        }
        thread::sleep(Duration::from_millis(20));
    }
    end(&mut proxy.child);
    Err(io::Error::other("the proxy was not ready within 10 s"))
}

fn health(listen: SocketAddr) -> io::Result<bool> {
    let mut stream = TcpStream::connect(listen)?;
    stream.set_read_timeout(Some(Duration::from_secs(1)))?;
    stream
        .write_all(b"GET /_health HTTP/1.1\r\nHost: api.internal\r\nConnection: close\r\n\r\n")?;
    let mut reader = BufReader::new(stream);
    Ok(read_head(&mut reader)?.is_some_and(|head| head.status() == 200))
}

/// Sends a signal to a process that the case has started.
pub fn signal(name: &str, pid: u32) {
    let command = format!("kill -{name} {pid}");
    let _ = Command::new("/bin/sh").args(["-c", &command]).status();
}

/// Ends the processes that a case has started when it is dropped.
pub struct World {
    pub folder: PathBuf,
    pub endpoints: Vec<Endpoint>,
    pub proxy: Proxy,
}

impl World {
    /// Starts endpoints, discovery and a proxy. `zones` has the zone of each endpoint.
    pub fn start(limits: &Limits, zones: &[&'static str]) -> io::Result<World> {
        World::start_spoilt(limits, zones, 0)
    }

    /// Like [`World::start`], with endpoints that send one answer in `spoil_each` twice.
    pub fn start_spoilt(
        limits: &Limits,
        zones: &[&'static str],
        spoil_each: usize,
    ) -> io::Result<World> {
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let mut endpoints = Vec::new();
        let started = zones.iter().enumerate().try_for_each(|(number, zone)| {
            endpoints.push(start_endpoint(&folder, number, zone, spoil_each)?);
            Ok(())
        });
        let list = list_of(&endpoints);
        let proxy = started
            .and_then(|()| start_discovery(list.clone()))
            .and_then(|discovery| start_proxy(&folder, discovery, &list, limits));
        match proxy {
            Ok(proxy) => Ok(World {
                folder,
                endpoints,
                proxy,
            }),
            Err(error) => {
                endpoints
                    .iter_mut()
                    .for_each(|endpoint| end(&mut endpoint.child));
                let _ = fs::remove_dir_all(&folder);
                Err(error)
            }
        }
    }

    /// Copies what the endpoints ran and what the proxy logged into the record.
    pub fn write_logs(&self, record: &Record) {
        for endpoint in &self.endpoints {
            for line in endpoint.ran() {
                record.line(&format!("{} {line}", endpoint.name));
            }
        }
        for line in fs::read_to_string(self.folder.join("proxy.log"))
            .unwrap_or_default()
            .lines()
        {
            record.line(&format!("proxy's log: {line}"));
        }
    }
}

/// The processes that the case has started and not ended yet.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

fn spawn(command: &mut Command) -> io::Result<Child> {
    let child = command.spawn()?;
    RUNNING
        .lock()
        .expect("the list of processes")
        .push(child.id());
    Ok(child)
}

fn end(child: &mut Child) {
    let id = child.id();
    RUNNING
        .lock()
        .expect("the list of processes")
        .retain(|running| *running != id);
    let _ = child.kill();
    let _ = child.wait();
}

/// Ends all processes of a case that took too long.
pub fn end_all_processes() {
    for id in RUNNING.lock().expect("the list of processes").drain(..) {
        signal("KILL", id);
    }
}

impl Drop for World {
    fn drop(&mut self) {
        end(&mut self.proxy.child);
        self.endpoints
            .iter_mut()
            .for_each(|endpoint| end(&mut endpoint.child));
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Whether the case has its disruption: unless `TROUBLE=0`.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

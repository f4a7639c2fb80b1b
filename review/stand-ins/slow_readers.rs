//! SIGTERM to a client proxy whose clients read long answers slowly; new requests arrive meanwhile.

use crate::clients::{lost_count, summary, End, Request};
use crate::common::{has_trouble, signal, Limits, Record, World, BROKEN, HELD};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

const ZONES: [&str; 12] = ["zagreb-dc"; 12];
const SOCKETS: usize = 256;
/// Together with the new requests fewer than a third of the descriptors.
const SLOW_READERS: usize = 64;
const ANSWER_BYTES: usize = 8 << 20;
/// 16 KiB at a time, 64 kB a second.
const READ_BYTES: usize = 16 << 10;
const READ_INTERVAL: Duration = Duration::from_millis(250);
const NEW_REQUESTS: usize = 16;
/// New connections keep arriving for 0.2 to 0.4 s after SIGTERM.
const FIRST_NEW_AFTER: Duration = Duration::from_millis(60);
const INTERVAL: Duration = Duration::from_millis(15);
const BUDGET: Duration = Duration::from_millis(1_000);
/// SIGKILL follows SIGTERM after the longest deadline, 3 s, and 0.7 s.
const KILL_AFTER: Duration = Duration::from_millis(3_700);

/// Reads a long answer slowly until `until`, and returns how much of it came.
fn read_slowly(listen: SocketAddr, number: usize, until: Instant) -> io::Result<usize> {
    let request = Request {
        id: format!("slow-{number}"),
        class: "view-results",
        budget: Duration::from_millis(2_000),
        body: None,
    };
    let mut stream = TcpStream::connect(listen)?;
    stream.write_all(request.head(&format!("?size={ANSWER_BYTES}")).as_bytes())?;
    let (mut buffer, mut total) = ([0; READ_BYTES], 0);
    while Instant::now() < until {
        match stream.read(&mut buffer) {
            Ok(0) | Err(_) => break,
            Ok(count) => total += count,
        }
        thread::sleep(READ_INTERVAL);
    }
    Ok(total)
}

pub fn play(folder: &Path) -> io::Result<i32> {
    let record = Record::create(folder)?;
    let limits = Limits {
        memory_mb: 96,
        sockets: SOCKETS,
    };
    let world = World::start(&limits, &ZONES)?;
    let listen = world.proxy.listen;
    let until = Instant::now() + Duration::from_secs(8);
    let mut readers = Vec::new();
    for number in 0..SLOW_READERS {
        let record = record.clone();
        readers.push(thread::spawn(move || {
            let read = read_slowly(listen, number, until);
            record.line(&format!(
                "client: slow-{number} has read {read:?} bytes of its answer"
            ));
        }));
        thread::sleep(Duration::from_millis(20));
    }
    thread::sleep(Duration::from_secs(1));
    record.say(&format!(
        "{SLOW_READERS} clients read answers of {ANSWER_BYTES} bytes"
    ));
    let proxy = world.proxy.child.id();
    let term_at = Instant::now();
    if has_trouble() {
        signal("TERM", proxy);
        record.say("SIGTERM");
    }
    thread::sleep(FIRST_NEW_AFTER);
    let mut requests = Vec::new();
    for number in 0..NEW_REQUESTS {
        let id = format!("new-{number}");
        let request = Request {
            id,
            class: "view-results",
            budget: BUDGET,
            body: None,
        };
        requests.push(request.start(listen, &record));
        thread::sleep(INTERVAL);
    }
    let ends: Vec<End> = requests
        .into_iter()
        .filter_map(|request| request.join().ok())
        .collect();
    if has_trouble() {
        thread::sleep(KILL_AFTER.saturating_sub(term_at.elapsed()));
        signal("KILL", proxy);
        record.say("SIGKILL");
    }
    for reader in readers {
        let _ = reader.join();
    }
    world.write_logs(&record);
    record.say(&summary(&ends));
    Ok(if lost_count(&ends) > 0 { BROKEN } else { HELD })
}

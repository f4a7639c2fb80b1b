//! A thousand clients stop in the middle of a request's body and stay; others send whole requests.

use crate::clients::{lost_count, summary, End, Request};
use crate::common::{has_trouble, Limits, Record, World, BROKEN, HELD};
use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::thread;
use std::time::Duration;

const ZONES: [&str; 4] = ["zagreb-dc"; 4];
/// Half of the 1,024 descriptors that a client proxy gets at the most.
const SOCKETS: usize = 512;
const HALF_WRITTEN: usize = 1_000;
const BODY: usize = 2_000;
const REQUESTS: usize = 40;
const INTERVAL: Duration = Duration::from_millis(50);
const BUDGET: Duration = Duration::from_millis(1_500);

/// Sends the head of a request and half of its body.
fn send_half(listen: SocketAddr, number: usize) -> io::Result<TcpStream> {
    let request = Request {
        id: format!("half-{number}"),
        class: "submit-results",
        budget: BUDGET,
        body: Some(BODY),
    };
    let mut stream = TcpStream::connect(listen)?;
    stream.write_all(request.head("").as_bytes())?;
    stream.write_all(&[b'x'; BODY / 2])?;
    Ok(stream)
}

pub fn play(folder: &Path) -> io::Result<i32> {
    let record = Record::create(folder)?;
    let limits = Limits {
        memory_mb: 96,
        sockets: SOCKETS,
    };
    let world = World::start(&limits, &ZONES)?;
    let mut half_written = Vec::new();
    if has_trouble() {
        for number in 0..HALF_WRITTEN {
            half_written.extend(send_half(world.proxy.listen, number));
        }
        record.say(&format!(
            "{} clients have sent a request's head and {} of the {BODY} bytes of its body",
            half_written.len(),
            BODY / 2
        ));
    }
    let mut requests = Vec::new();
    for number in 0..REQUESTS {
        let id = format!("whole-{number}");
        let request = Request {
            id,
            class: "view-results",
            budget: BUDGET,
            body: None,
        };
        requests.push(request.start(world.proxy.listen, &record));
        thread::sleep(INTERVAL);
    }
    let ends: Vec<End> = requests
        .into_iter()
        .filter_map(|request| request.join().ok())
        .collect();
    world.write_logs(&record);
    record.say(&summary(&ends));
    Ok(if lost_count(&ends) > 0 { BROKEN } else { HELD })
}

//! One of five results servers hangs for 6 s while clients send large requests.

use crate::clients::{lost_count, summary, End, Request};
use crate::common::{has_trouble, signal, Limits, Record, World, BROKEN, HELD};
use std::io;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

const ZONES: [&str; 5] = ["zagreb-dc"; 5];
const HANG: Duration = Duration::from_secs(6);
const REQUESTS: usize = 30;
const INTERVAL: Duration = Duration::from_millis(50);
const BUDGET: Duration = Duration::from_millis(2_000);
/// The bodies' lengths. What the systems on the way hold of a request differs from machine to
/// machine.
const BODY_KB: [usize; 5] = [5_000, 5_500, 6_000, 6_500, 7_000];

pub fn play(folder: &Path) -> io::Result<i32> {
    let record = Record::create(folder)?;
    let limits = Limits {
        memory_mb: 192,
        sockets: 1_024,
    };
    let world = World::start(&limits, &ZONES)?;
    let hung = world.endpoints[0].child.id();
    let hung_at = Instant::now();
    if has_trouble() {
        signal("STOP", hung);
        record.say("results server s-0000, one of five, hangs");
    }
    let mut requests = Vec::new();
    for number in 0..REQUESTS {
        let request = Request {
            id: format!("upload-{number}"),
            class: "submit-results",
            budget: BUDGET,
            body: Some(BODY_KB[number % BODY_KB.len()] * 1_000),
        };
        requests.push(request.start(world.proxy.listen, &record));
        thread::sleep(INTERVAL);
    }
    let ends: Vec<End> = requests
        .into_iter()
        .filter_map(|request| request.join().ok())
        .collect();
    if has_trouble() {
        thread::sleep(HANG.saturating_sub(hung_at.elapsed()));
        signal("CONT", hung);
        record.say("results server s-0000 goes on");
    }
    world.write_logs(&record);
    record.say(&summary(&ends));
    Ok(if lost_count(&ends) > 0 { BROKEN } else { HELD })
}

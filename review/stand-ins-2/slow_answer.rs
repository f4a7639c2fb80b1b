//! Long answers without a length that their results servers write at 64 kB a second, and that come whole.

use crate::harness::*;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const BYTES: usize = 192 << 10;
const PIECE: usize = 16 << 10;
const PAUSE: Duration = Duration::from_millis(250);
const REQUESTS: usize = 20;
/// Two fifths of the class's time.
const BUDGET_MS: u64 = 1000;

pub fn run(record: &Shared) {
    let trouble = record.trouble;
    let behaviour: Behaviour = Arc::new(move |_, _| {
        let (bytes, piece, pause) = (BYTES, PIECE, PAUSE);
        if trouble {
            Answer::Unsized { bytes, piece, pause }
        } else {
            Answer::Long { bytes, piece, pause }
        }
    });
    let fleet = Fleet::start(record, 12, behaviour);
    let list = members(&fleet, &["zagreb-dc", "split-dc"]);
    let known = whole(41, &list);
    let agent = Agent::start(record, list);
    let settings = Settings::small(vec![Class {
        name: "submit-results",
        objective_ms: 1000,
        deadline_ms: 2500,
        idempotency: "guarded",
        scope: "zone",
        window_ms: 12000,
    }]);
    let proxy = Proxy::start(record, &settings, agent.address, &known);
    record.wait_until(1.0);
    let replies: Arc<Mutex<Vec<Reply>>> = Arc::default();
    let mut clients = Vec::new();
    for number in 0..REQUESTS {
        let (record, address, replies) = (record.clone(), proxy.address, replies.clone());
        clients.push(spawn(move || {
            let request = Request {
                class: "submit-results".into(),
                id: format!("r{number}"),
                budget_ms: BUDGET_MS,
                is_keyed: true,
                is_get: false,
                body_bytes: 200,
            };
            let reply = ask(&record, address, &request, Duration::from_secs(8));
            replies.lock().unwrap().push(reply);
        }));
        thread::sleep(Duration::from_millis(500));
    }
    clients.into_iter().for_each(|client| drop(client.join()));
    let replies = replies.lock().unwrap();
    let whole_count = replies.iter().filter(|reply| reply.status == 200 && reply.bytes == BYTES).count();
    record.line(&format!("{whole_count} of {} answers were forwarded whole", replies.len()));
    drop(proxy);
    finish(record, i32::from(2 * whole_count < replies.len()));
}

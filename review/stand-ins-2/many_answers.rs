//! Long answers of which more are given at the same time than the proxy has places for, while clients hold
//! fewer connections than they may.

use crate::harness::*;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Each answer: 512 KiB at 64 kB a second.
const BYTES: usize = 512 << 10;
const PIECE: usize = 16 << 10;
const PAUSE: Duration = Duration::from_millis(250);
const DESCRIPTORS: u32 = 256;
/// Under a third of the descriptors.
const REQUESTS: usize = 76;

pub fn run(record: &Shared) {
    let trouble = record.trouble;
    let behaviour: Behaviour = Arc::new(move |_, _| Answer::Long {
        bytes: if trouble { BYTES } else { 16 << 10 },
        piece: PIECE,
        pause: PAUSE,
    });
    let fleet = Fleet::start(record, 12, behaviour);
    let list = members(&fleet, &["zagreb-dc", "split-dc"]);
    let known = whole(41, &list);
    let agent = Agent::start(record, list);
    let mut settings = Settings::small(vec![Class {
        name: "submit-results",
        objective_ms: 1000,
        deadline_ms: 2500,
        idempotency: "guarded",
        scope: "zone",
        window_ms: 12000,
    }]);
    settings.sockets = DESCRIPTORS;
    assert!(3 * REQUESTS < DESCRIPTORS as usize);
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
                budget_ms: 2500,
                is_keyed: true,
                is_get: false,
                body_bytes: 200,
            };
            let reply = ask(&record, address, &request, Duration::from_secs(20));
            replies.lock().unwrap().push(reply);
        }));
        thread::sleep(Duration::from_millis(60));
    }
    clients.into_iter().for_each(|client| drop(client.join()));
    let replies = replies.lock().unwrap();
    let expected = if trouble { BYTES } else { 16 << 10 };
    let whole_count = replies.iter().filter(|reply| reply.status == 200 && reply.bytes == expected).count();
    let ran = fleet.arrivals().len();
    record.line(&format!("{ran} attempts; {whole_count} of {} answers were forwarded whole", replies.len()));
    let mut statuses = std::collections::BTreeMap::<u16, usize>::new();
    for reply in replies.iter() {
        *statuses.entry(reply.status).or_default() += 1;
    }
    record.line(&format!("statuses: {statuses:?}"));
    drop(proxy);
    finish(record, i32::from(whole_count < replies.len()));
}

//! Results servers that send one answer in ten twice, the second time some milliseconds after the first. Each
//! answer names the request that it was made for.

use crate::harness::*;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

const SERVERS: usize = 12;
const CLIENTS: usize = 24;
const WORK: Duration = Duration::from_millis(20);
const LATER: Duration = Duration::from_millis(12);
/// When the clients stop, in seconds.
const END: f64 = 31.0;

pub fn run(record: &Shared) {
    let trouble = record.trouble;
    let counter = AtomicU64::new(0);
    let behaviour: Behaviour = Arc::new(move |_, _| {
        let number = counter.fetch_add(1, Ordering::SeqCst);
        if trouble && number % 10 == 9 {
            Answer::Twice(WORK, LATER)
        } else {
            Answer::Serve(WORK)
        }
    });
    let fleet = Fleet::start(record, SERVERS, behaviour);
    let list = members(&fleet, &["zagreb-dc", "split-dc"]);
    let known = whole(41, &list);
    let agent = Agent::start(record, list);
    let settings = Settings::small(vec![Class {
        name: "view-results",
        objective_ms: 500,
        deadline_ms: 2500,
        idempotency: "free",
        scope: "all",
        window_ms: 5000,
    }]);
    let proxy = Proxy::start(record, &settings, agent.address, &known);
    record.wait_until(1.0);
    let foreign: Arc<Mutex<Vec<String>>> = Arc::default();
    let served: Arc<AtomicU64> = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (record, address, foreign, served) = (record.clone(), proxy.address, foreign.clone(), served.clone());
            spawn(move || {
                let mut number = 0;
                while record.now() < END {
                    let Ok(stream) = connect(address) else { continue };
                    while record.now() < END {
                        number += 1;
                        let id = format!("c{client}-{number}");
                        let reply = exchange(&record, &stream, &Request::read("view-results", &id, 2500), Duration::from_secs(4));
                        if reply.status == 200 {
                            served.fetch_add(1, Ordering::SeqCst);
                            if reply.body != id.as_bytes() {
                                let text = format!("{id} got the answer to {}", String::from_utf8_lossy(&reply.body));
                                record.line(&format!("FOREIGN: {text}"));
                                foreign.lock().unwrap().push(text);
                            }
                        }
                        if reply.status == 0 {
                            break;
                        }
                    }
                }
            })
        })
        .collect();
    clients.into_iter().for_each(|client| drop(client.join()));
    let foreign = foreign.lock().unwrap().len();
    record.line(&format!("{foreign} foreign answers of {}", served.load(Ordering::SeqCst)));
    drop(proxy);
    finish(record, i32::from(foreign > 0));
}

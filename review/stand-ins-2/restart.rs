//! A planned restart while half of the results servers hang. Clients hold at most a third of the
//! descriptors; some of them ask on new connections in the 0.4 s after SIGTERM.

use crate::harness::*;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Results servers, of which each second one hangs.
const SERVERS: usize = 20;
const DESCRIPTORS: u32 = 256;
/// Connections that clients hold for their requests when the restart begins, and then open. Together they
/// are under a third of the descriptors.
const HELD: usize = 72;
const NEW: usize = 10;
/// How long a client on a new connection waits, and the time after that in which an answer still counts.
const BUDGET_MS: u64 = 1000;
const SLACK: f64 = 0.5;

pub fn run(record: &Shared) {
    let hangs = Arc::new(AtomicBool::new(false));
    let is_hanging = hangs.clone();
    let behaviour: Behaviour = Arc::new(move |server, _| {
        if server % 2 == 1 && is_hanging.load(Ordering::SeqCst) {
            Answer::Hang
        } else {
            Answer::Serve(Duration::from_millis(50))
        }
    });
    let fleet = Fleet::start(record, SERVERS, behaviour);
    let list = members(&fleet, &["zagreb-dc", "split-dc"]);
    let known = whole(41, &list);
    let agent = Agent::start(record, list);
    let class = |name, objective_ms, deadline_ms, idempotency, scope, window_ms| Class {
        name,
        objective_ms,
        deadline_ms,
        idempotency,
        scope,
        window_ms,
    };
    let mut settings = Settings::small(vec![
        class("view-results", 500, 2500, "free", "all", 5000),
        class("club-standings", 600, 1500, "free", "all", 5000),
        class("submit-results", 1000, 2500, "guarded", "zone", 12000),
        class("race-entry", 800, 3000, "guarded", "zone", 3000),
    ]);
    settings.sockets = DESCRIPTORS;
    settings.balancers = 1;
    settings.second_copies = false;
    assert!(3 * (HELD + NEW) < DESCRIPTORS as usize);
    let proxy = Proxy::start(record, &settings, agent.address, &known);

    // Ordinary traffic.
    record.wait_until(1.0);
    let ordinary: Vec<_> = (0..4)
        .map(|client| {
            let (record, address) = (record.clone(), proxy.address);
            spawn(move || {
                let mut number = 0;
                while record.now() < 6.0 {
                    number += 1;
                    let request = Request::read("view-results", &format!("w{client}-{number}"), 2500);
                    ask(&record, address, &request, Duration::from_secs(4));
                }
            })
        })
        .collect();
    ordinary.into_iter().for_each(|client| drop(client.join()));

    // Servers begin to hang, and clients whose requests are refused send others at once.
    if record.trouble {
        hangs.store(true, Ordering::SeqCst);
        record.line("half of the results servers hang");
    }
    let held: Arc<AtomicUsize> = Arc::default();
    let mut clients = Vec::new();
    let begin = record.now();
    let mut number = 0;
    while record.now() < begin + 0.8 {
        if held.load(Ordering::SeqCst) < HELD {
            number += 1;
            held.fetch_add(1, Ordering::SeqCst);
            let (record, address, held) = (record.clone(), proxy.address, held.clone());
            clients.push(spawn(move || {
                let request = Request {
                    class: "race-entry".into(),
                    id: format!("e{number}"),
                    budget_ms: 3000,
                    is_keyed: true,
                    is_get: false,
                    body_bytes: 200,
                };
                ask(&record, address, &request, Duration::from_millis(3600));
                held.fetch_sub(1, Ordering::SeqCst);
            }));
        }
        thread::sleep(Duration::from_millis(3));
    }

    // The planned restart.
    record.line(&format!("{} connections with requests", held.load(Ordering::SeqCst)));
    let terminated_at = record.now();
    proxy.signal(SIGTERM);
    let replies: Arc<Mutex<Vec<(String, Reply)>>> = Arc::default();
    for number in 0..NEW {
        record.wait_until(terminated_at + 0.02 * number as f64);
        let (record, address, replies) = (record.clone(), proxy.address, replies.clone());
        clients.push(spawn(move || {
            let id = format!("n{number}");
            let request = Request::read("club-standings", &id, BUDGET_MS);
            let reply = ask(&record, address, &request, Duration::from_millis(4000));
            replies.lock().unwrap().push((id, reply));
        }));
    }
    // No earlier than the longest deadline and 0.7 s after SIGTERM.
    record.wait_until(terminated_at + 3.75);
    proxy.signal(SIGKILL);
    clients.into_iter().for_each(|client| drop(client.join()));

    let replies = replies.lock().unwrap();
    let limit = BUDGET_MS as f64 / 1000.0 + SLACK + 0.05;
    // A connection that was refused was not taken. One that was closed in time without an answer is excused.
    let late: Vec<&str> = replies
        .iter()
        .filter(|(_, reply)| !reply.note.starts_with("not connected") && reply.ended_at - reply.sent_at > limit)
        .map(|(id, _)| id.as_str())
        .collect();
    record.line(&format!(
        "{} of {} requests on new connections had no answer {limit} s after they were sent: {late:?}",
        late.len(),
        replies.len()
    ));
    let connected = replies.iter().filter(|(_, reply)| !reply.note.starts_with("not connected")).count();
    drop(proxy);
    let code = match (late.len(), connected) {
        (0, 0) => 2,
        (0, _) => 0,
        _ => 1,
    };
    finish(record, code);
}

//! Peers whose requests list `X-Call-Id` and `Idempotency-Key` as options of their connection. Results
//! servers run a keyed request once for each key, and one without a key each time that it arrives.

use crate::harness::*;
use std::collections::{HashMap, HashSet};
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const PEERS: usize = 12;

pub fn run(record: &Shared) {
    // What servers ran: by what was in the body, which tells the peer; and the keys that were seen.
    let runs: Arc<Mutex<HashMap<usize, usize>>> = Arc::default();
    let stripped: Arc<Mutex<Vec<String>>> = Arc::default();
    let (ran, lacking, seen) = (runs.clone(), stripped.clone(), Mutex::new(HashSet::new()));
    let record_of_servers = record.clone();
    let behaviour: Behaviour = Arc::new(move |server, head: &Head| {
        let (id, key) = (head.get("x-call-id"), head.get("idempotency-key"));
        // Each peer asks with a query of its own.
        let peer: usize = head.first.split("peer=").nth(1).and_then(|rest| rest.split(' ').next()?.parse().ok()).unwrap_or(0);
        if id.is_none() || key.is_none() {
            lacking.lock().unwrap().push(format!("peer {peer}: id {id:?}, key {key:?}"));
        }
        let is_new = key.is_none_or(|key| seen.lock().unwrap().insert(key.to_owned()));
        let mut runs = ran.lock().unwrap();
        let count = runs.entry(peer).or_default();
        if is_new {
            *count += 1;
        }
        record_of_servers.line(&format!(
            "server {server}: peer {peer}, id {id:?}, key {key:?}, {}, run {count}",
            if is_new { "run" } else { "dropped as a repeat" }
        ));
        // The first attempt of each is run, and its connection is reset before the answer.
        if is_new && *count == 1 {
            Answer::Reset
        } else {
            Answer::Serve(Duration::from_millis(20))
        }
    });
    let fleet = Fleet::start(record, 6, behaviour);
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
    let option = if record.trouble { "X-Call-Id, Idempotency-Key" } else { "keep-alive" };
    for peer in 1..=PEERS {
        let stream = match connect(proxy.address) {
            Ok(stream) => stream,
            Err(error) => {
                record.line(&format!("peer {peer} cannot connect: {error}"));
                drop(proxy);
                finish(record, 2);
            }
        };
        let request = format!(
            "POST /api?peer={peer} HTTP/1.1\r\nHost: api.internal\r\nConnection: {option}\r\nX-Call-Id: {peer:016x}\r\nX-Call-Class: submit-results\r\nX-Caller: ak-zagreb-trk\r\nX-Budget-Ms: 2500\r\nIdempotency-Key: {peer:032x}\r\nContent-Length: 4\r\n\r\nrace"
        );
        let _ = (&stream).write_all(request.as_bytes());
        let mut reply = Reply { sent_at: record.now(), ended_at: 0.0, status: 0, bytes: 0, body: Vec::new(), note: String::new() };
        if let Err(error) = read_reply(&stream, Instant::now() + Duration::from_secs(3), &mut reply) {
            reply.note = error.to_string();
        }
        record.line(&format!("peer {peer} with Connection: {option}: status {} {}", reply.status, reply.note));
        thread::sleep(Duration::from_millis(300));
    }
    let twice: Vec<usize> = runs.lock().unwrap().iter().filter(|(_, runs)| **runs > 1).map(|(peer, _)| *peer).collect();
    let stripped = stripped.lock().unwrap();
    record.line(&format!(
        "{} requests reached a server without their id or key; of {PEERS} requests {} ran twice or more",
        stripped.len(),
        twice.len()
    ));
    drop(proxy);
    finish(record, i32::from(!stripped.is_empty() || !twice.is_empty()));
}

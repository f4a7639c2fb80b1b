//! Discovery that is slow: each call is answered after 0.15 s, from the time on at which the open watches
//! end. Then one of six results servers drains.

use crate::harness::*;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

const DELAY_MS: u64 = 150;
const DRAINING: usize = 1;
/// A change counts as told at the latest this long after discovery had it and could be reached; after that
/// come the grace of the settings, and 50 ms on sockets.
const TOLD: f64 = 6.0;
const GRACE: f64 = 0.4 + 0.05;

pub fn run(record: &Shared) {
    let behaviour: Behaviour = Arc::new(|_, _| Answer::Serve(Duration::from_millis(20)));
    let fleet = Fleet::start(record, 6, behaviour);
    let list = members(&fleet, &["zagreb-dc", "split-dc"]);
    let known = whole(41, &list);
    let host = list[DRAINING].host.clone();
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
    record.wait_until(2.0);
    if record.trouble {
        agent.delay_ms.store(DELAY_MS, Ordering::SeqCst);
    }
    agent.end_watches();
    record.line("the open watches end");
    record.wait_until(4.0);
    agent.change(|member| {
        if member.host == host {
            member.state = "Terminating";
        }
    });
    let drained_at = record.now();
    record.line(&format!("discovery has it that server {DRAINING} ({host}) drains"));
    let mut number = 0;
    let mut clients = Vec::new();
    while record.now() < drained_at + 12.0 {
        number += 1;
        let (record, address) = (record.clone(), proxy.address);
        clients.push(spawn(move || {
            let request = Request::read("view-results", &format!("r{number}"), 2000);
            ask(&record, address, &request, Duration::from_secs(3));
        }));
        thread::sleep(Duration::from_millis(40));
    }
    clients.into_iter().for_each(|client| drop(client.join()));
    let arrivals = fleet.arrivals();
    let is_late = |arrival: &&Arrival| arrival.server == DRAINING && arrival.at > drained_at + TOLD + GRACE;
    let late = arrivals.iter().filter(is_late).count();
    let calls = agent.calls.load(Ordering::SeqCst);
    let answered = agent.answered.load(Ordering::SeqCst);
    record.line(&format!(
        "{calls} calls to discovery, of which {answered} were waited for; {late} requests went to the draining \
         server later than {:.2} s after discovery had it, of {}",
        TOLD + GRACE,
        arrivals.len()
    ));
    drop(proxy);
    finish(record, i32::from(late > 0));
}

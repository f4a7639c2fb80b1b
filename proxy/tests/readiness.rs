//! When a process that starts takes clients.

mod common;

use client_proxy::config::Config;
use common::paused_time::*;
use common::scripted_discovery::WatchResponse::{Respond, Unreachable};
use common::scripted_discovery::*;
use common::*;
use std::cell::Cell;
use std::fs::File;
use std::net::SocketAddr;
use std::rc::Rc;
use std::slice::from_ref;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::Instant;

/// Asks for the health of whoever listens there until it is good, and notes when it first listened and when it was ready.
async fn watch_health(address: SocketAddr, begun: Instant, at: Rc<Cell<[Option<Duration>; 2]>>) {
    loop {
        if let Ok(stream) = TcpStream::connect(address).await {
            let [listens, _] = at.get();
            let now = Some(begun.elapsed());
            let status = MessageReader::new(stream).exchange(HEALTH_REQUEST).await.status();
            at.set([listens.or(now), (status == 200).then_some(()).and(now)]);
            if status == 200 {
                return;
            }
        }
        tokio::time::sleep(MS).await;
    }
}

/// After how long a process listens and is ready; another holds the lock in its folder, or none does.
async fn readiness(
    mode: &str,
    balancer_count: u32,
    known: bool,
    beside: bool,
    calls: Vec<WatchResponse>,
) -> [Duration; 2] {
    let endpoint = TestEndpoint::start([ok("served")]).await;
    let news = format!("{WATCH_HEAD}{}", chunk(&list(42, true, &[entry("s-0", endpoint.address, "Ready")])));
    let discovery = ScriptedDiscovery::start(calls.into_iter().chain(vec![Respond(news); 3])).await;
    let endpoints = if known { from_ref(&endpoint) } else { &[] };
    let config = configuration(discovery.address, endpoints, |config| {
        config["settings"]["discovery"] = mode.into();
        config["settings"]["balancers"] = balancer_count.into();
        config["settings"]["invariants"]["ask_every_us"] = 10_000_000.into();
    });
    let folder =
        std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("ready-{}", discovery.address.port()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let other = File::create(folder.join("nettleworks.lock")).expect("a file");
    if beside {
        other.try_lock().expect("nobody else serves");
    }
    let read = Config::parse(&config).expect("a good configuration");
    let clients = client_proxy::process_handoff::bind(read.listen).expect("bound");
    let address = clients.local_addr().expect("an address");
    let listeners = client_proxy::Listeners { clients, operators: None };
    let (begun, at) = (Instant::now(), Rc::new(Cell::new([None; 2])));
    spawn_local(client_proxy::run(read, listeners, Some(folder), async || None, std::future::pending()));
    spawn_local(watch_health(address, begun, at.clone()));
    advance_until("ready", || at.get()[1].is_some()).await;
    at.get().map(|time| time.expect("seen"))
}

/// Nine in ten restarted processes are to be ready within 10 s, within 6 s on short days.
#[test]
fn a_process_is_ready_in_time_whatever_discovery_does() {
    let discoveries: [fn() -> Vec<WatchResponse>; 5] = [
        Vec::new,
        || vec![REJECTED(); 1_000],
        || vec![LATE_REJECTED(); 200],
        || vec![NO_RESPONSE(); 200],
        || vec![Unreachable(Duration::from_secs(60))],
    ];
    for (mode, balancer_count) in [("ask", 5), ("ask", 300), ("push", 5)] {
        for (number, calls) in discoveries.into_iter().enumerate() {
            for (known, beside) in [(true, true), (true, false), (false, true), (false, false)] {
                let [listens, ready] =
                    run_with_paused_time(readiness(mode, balancer_count, known, beside, calls()));
                let name = format!(
                    "{mode}, {balancer_count} balancers, discovery {number}, known {known}, beside {beside}: \
                     listens at {listens:?}, ready at {ready:?}"
                );
                let most = match (known || number == 0, beside) {
                    (true, _) => 100 * MS,
                    (false, true) => 9_000 * MS,
                    (false, false) => 5_500 * MS,
                };
                assert!(ready <= most, "{name}");
                // Without a list clients are left to the other process for as long as can be; alone it tells them early.
                let waits = !known && number != 0;
                assert!(!(waits && beside) || listens > 7_000 * MS, "{name}");
                assert!(!waits || beside || (2_000 * MS..3_000 * MS).contains(&listens), "{name}");
                assert!(!waits || beside || ready > 4_000 * MS, "{name}");
            }
        }
    }
}

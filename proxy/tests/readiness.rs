//! How long a process takes after its start until it accepts connections and is healthy.

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

/// Polls the health at an address until its status is 200, and records the times from the
/// start until a process first listened there and until the status was 200.
async fn record_readiness(
    address: SocketAddr,
    started: Instant,
    times: Rc<Cell<[Option<Duration>; 2]>>,
) {
    loop {
        if let Ok(stream) = TcpStream::connect(address).await {
            let [listening, _] = times.get();
            let now = Some(started.elapsed());
            let status = MessageReader::new(stream)
                .exchange(HEALTH_REQUEST)
                .await
                .status();
            times.set([listening.or(now), (status == 200).then_some(()).and(now)]);
            if status == 200 {
                return;
            }
        }
        tokio::time::sleep(MS).await;
    }
}

/// The times from the start of a process until it listens and until it is ready. With
/// `has_other_process` the lock file in its folder is locked, as by another process.
async fn time_to_readiness(
    mode: &str,
    balancer_count: u32,
    has_list: bool,
    has_other_process: bool,
    script: Vec<WatchResponse>,
) -> [Duration; 2] {
    let endpoint = TestEndpoint::start([ok("served")]).await;
    let list_response = format!(
        "{WATCH_HEAD}{}",
        chunk(&endpoint_list(
            42,
            true,
            &[endpoint_entry("s-0", endpoint.address, "Ready")]
        ))
    );
    let discovery =
        ScriptedDiscovery::start(script.into_iter().chain(vec![Respond(list_response); 3])).await;
    let endpoints = if has_list { from_ref(&endpoint) } else { &[] };
    let config = configuration(discovery.address, endpoints, |config| {
        config["settings"]["discovery"] = mode.into();
        config["settings"]["balancers"] = balancer_count.into();
        config["settings"]["invariants"]["ask_every_us"] = 10_000_000.into();
    });
    let folder = std::path::Path::new(env!("CARGO_TARGET_TMPDIR"))
        .join(format!("ready-{}", discovery.address.port()));
    std::fs::create_dir_all(&folder).expect("cannot create the folder");
    let lock_file = File::create(folder.join("nettleworks.lock")).expect("cannot create the file");
    if has_other_process {
        lock_file.try_lock().expect("no other process serves");
    }
    let parsed = Config::parse(&config).expect("invalid configuration");
    let clients =
        client_proxy::process_handoff::bind(parsed.listen).expect("cannot bind the address");
    let address = clients.local_addr().expect("no local address");
    let listeners = client_proxy::Listeners {
        clients,
        operators: None,
    };
    let (started, times) = (Instant::now(), Rc::new(Cell::new([None; 2])));
    spawn_local(client_proxy::run(
        parsed,
        listeners,
        Some(folder),
        async || None,
        std::future::pending(),
    ));
    spawn_local(record_readiness(address, started, times.clone()));
    advance_until("the process is ready", || times.get()[1].is_some()).await;
    times.get().map(|time| time.expect("no time was recorded"))
}

/// Returns the script of a discovery service.
type ScriptBuilder = fn() -> Vec<WatchResponse>;

/// Nine in ten restarted processes must be ready within 10 s, and within 6 s in runs that end
/// sooner than that. The limits here are lower: 9 s if another process serves, 5.5 s if the process
/// is alone.
#[test]
fn a_process_is_ready_in_time_even_if_discovery_is_slow_or_fails() {
    let discoveries: [(&str, ScriptBuilder); 5] = [
        ("responds", Vec::new),
        ("rejects", || vec![REJECTED(); 1_000]),
        ("rejects after 2 s", || vec![REJECTED_LATE(); 200]),
        ("does not respond", || vec![NO_RESPONSE(); 200]),
        ("is unreachable for 60 s", || {
            vec![Unreachable(Duration::from_secs(60))]
        }),
    ];
    for (mode, balancer_count) in [("ask", 5), ("ask", 300), ("push", 5)] {
        for (number, (discovery, script)) in discoveries.into_iter().enumerate() {
            for (has_list, has_other_process) in
                [(true, true), (true, false), (false, true), (false, false)]
            {
                let [listening_after, ready_after] = run_with_paused_time(time_to_readiness(
                    mode,
                    balancer_count,
                    has_list,
                    has_other_process,
                    script(),
                ));
                let name = format!(
                    "{mode}, {balancer_count} balancers, discovery {discovery}, list {has_list}, other process {has_other_process}: \
                     listens after {listening_after:?}, ready after {ready_after:?}"
                );
                let max_ready = match (has_list || number == 0, has_other_process) {
                    (true, _) => 100 * MS,
                    (false, true) => 9_000 * MS,
                    (false, false) => 5_500 * MS,
                };
                assert!(ready_after <= max_ready, "{name}");
                // Without a list, a process leaves clients to another one for as long as possible;
                // a process that is alone listens after 2 s and rejects their requests.
                let waits_for_list = !has_list && number != 0;
                assert!(
                    !(waits_for_list && has_other_process) || listening_after > 7_000 * MS,
                    "{name}"
                );
                assert!(
                    !waits_for_list
                        || has_other_process
                        || (2_000 * MS..3_000 * MS).contains(&listening_after),
                    "{name}"
                );
                // It must not be reported ready before 4 s either, while it rejects requests.
                assert!(
                    !waits_for_list || has_other_process || ready_after > 4_000 * MS,
                    "{name}"
                );
            }
        }
    }
}

//! The program as a process: its start, its signals, its log.

mod common;

use common::*;
use std::io::{BufRead, BufReader, Read as _};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::slice::from_ref;
use std::time::Duration;
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::sleep;

/// The configuration of a program that listens at this address.
fn configuration_at(
    address: SocketAddr,
    discovery: &TestDiscovery,
    endpoint: &TestEndpoint,
) -> String {
    configuration(discovery.address, from_ref(endpoint), |config| {
        config["listen"] = address.to_string().into();
    })
}

/// Waits until discovery has its first watch request; `what` names that if it never has.
async fn wait_for_watch(what: &str, discovery: &TestDiscovery) {
    wait_until(what, || discovery.watch_requests.borrow().len() == 1).await;
}

#[test]
fn the_program_serves_and_shuts_down_on_sigterm() {
    run_test(async {
        let endpoint = TestEndpoint::start([ok("served"), ScriptedResponse::Stall]).await;
        let discovery = TestDiscovery::without_updates().await;
        let port = reserve_port();
        let address = port.local_addr().expect("an address");
        let config = configuration_at(address, &discovery, &endpoint);
        let mut child = program_command(&config, "good.json")
            .0
            .spawn()
            .expect("it starts");
        let mut client = connect_when_listening(address).await;
        assert_eq!(
            client.exchange(&request("unsafe", "", "")).await.body,
            b"served"
        );
        // Its time is longer than a shutdown may take: it gets its response early.
        let mut stuck = connect(address).await;
        stuck.send(&request("unsafe", "", "")).await;
        wait_until("the endpoint has the request", || {
            endpoint.request_count() == 2
        })
        .await;
        // A second order, and a reload beside it, change nothing.
        for order in ["-TERM", "-HUP", "-TERM"] {
            let sent = Command::new("kill")
                .args([order, &child.id().to_string()])
                .status();
            assert!(sent.expect("kill runs").success());
        }
        let code = loop {
            match child.try_wait().expect("it can be waited for") {
                Some(status) => break status.code(),
                None => sleep(Duration::from_millis(5)).await,
            }
        };
        assert_eq!(code, Some(0));
        assert_eq!(stuck.message().await.expect("a response").status(), 502);
        let mut log = String::new();
        child
            .stderr
            .take()
            .expect("piped")
            .read_to_string(&mut log)
            .expect("text");
        assert!(!log.contains("panicked"), "{log}");
        assert!(client.message().await.is_none(), "closed between requests");
    });
}

/// Orders a process to read its configuration again.
fn send_hangup(process: &Child) {
    let sent = Command::new("kill")
        .args(["-HUP", &process.id().to_string()])
        .status();
    assert!(sent.expect("kill runs").success());
}

/// Reads a log up to the first line that contains this text.
fn read_until_line(log: &mut impl Iterator<Item = std::io::Result<String>>, text: &str) {
    while !log.next().expect("a line").expect("text").contains(text) {}
}

/// SIGHUP must not end the program. It reads its file again and goes on with the endpoints that it
/// has; it watches the new discovery at once, from the current version, and what the old one still
/// sends is ignored.
#[test]
fn a_reload_moves_the_watch_and_keeps_the_endpoints() {
    run_test(async {
        let endpoint = TestEndpoint::start([ok("first")]).await;
        let other = TestEndpoint::start([ok("second")]).await;
        let old = TestDiscovery::without_updates().await;
        let new = TestDiscovery::without_updates().await;
        let port = reserve_port();
        let address = port.local_addr().expect("an address");
        let config = configuration_at(address, &old, &endpoint);
        let (mut command, path) = program_command(&config, "reload.json");
        let mut child = command.spawn().expect("it starts");
        wait_for_watch("the old watch is open", &old).await;
        let mut client = connect(address).await;
        assert_eq!(
            client.exchange(&request("unsafe", "", "")).await.body,
            b"first"
        );
        std::fs::write(&path, "{ broken").expect("written");
        send_hangup(&child);
        // The log is in order: the line about the broken file stands before that about the good
        // one.
        let mut log = BufReader::new(child.stderr.take().expect("piped")).lines();
        read_until_line(&mut log, "configuration kept");
        std::fs::write(&path, configuration_at(address, &new, &endpoint)).expect("written");
        send_hangup(&child);
        wait_for_watch("the new watch is open", &new).await;
        assert_eq!(
            new.watch_requests.borrow()[0],
            "GET /catalog/members?follow=1&since=41 HTTP/1.1"
        );
        assert_eq!(
            client.exchange(&request("unsafe", "", "")).await.body,
            b"first"
        );
        wait_until("the old watch is closed", || old.is_disconnected()).await;
        let update = list(42, true, &[entry("s-9", other.address, "Ready")]);
        new.push(&chunk(&update)).await;
        while client.exchange(&request("unsafe", "", "")).await.body != b"second" {}
        child.kill().expect("it still runs");
        child.wait().expect("it can be waited for");
    });
}

#[test]
fn an_invalid_configuration_ends_the_program_with_one_line() {
    let good = run_test(async {
        configuration(TestDiscovery::without_updates().await.address, &[], |_| ())
    });
    let cases = [
        ("{", "EOF"),
        (
            &good.replace("127.0.0.1:0", "nowhere"),
            "listen: \"nowhere\" is not an address",
        ),
        (&good.replace("8c1f", "seed"), "seed"),
        (&good.replace("1024", "12"), "sockets"),
        (
            &good.replacen('{', "{\"admin\":\"nowhere\",", 1),
            "admin: \"nowhere\" is not an address",
        ),
        (
            &good.replacen('{', "{\"admin\":\"192.0.2.1:9600\",", 1),
            "192.0.2.1:9600",
        ),
        (&good.replace("\"cold_us\"", "\"cold_hs\""), "cold_us"),
        (
            &good.replace("\"memory_mb\":192", "\"memory_mb\":2"),
            "2 MB",
        ),
        (
            &good.replace("\"objective_us\":5000000", "\"objective_us\":0"),
            "objective_us",
        ),
        (
            &good.replace("\"deadline_us\":9000000", "\"deadline_us\":-9"),
            "settings",
        ),
        (
            &good.replace("\"connect_timeout_us\":1000000", "\"connect_timeout_us\":0"),
            "connect_timeout_us",
        ),
        (
            &good.replace(
                "\"connect_timeout_us\":1000000",
                "\"connect_timeout_us\":[0]",
            ),
            "settings: limits.connect_timeout_us: invalid type: sequence, expected u64",
        ),
    ];
    for (number, (config, reason)) in cases.iter().enumerate() {
        let output = program_command(config, &format!("broken-{number}.json"))
            .0
            .output()
            .expect("it runs");
        let text = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(!output.status.success(), "{config}");
        assert_eq!(text.lines().count(), 1, "{text}");
        assert!(
            text.contains(reason) && !text.contains("panicked"),
            "{text}"
        );
    }
}

/// The descriptor limit of the program in the test of its reserves.
const MAX_DESCRIPTORS: usize = 256;

/// Open descriptors of a process.
fn open_descriptors(process: u32) -> usize {
    std::fs::read_dir(format!("/proc/{process}/fd"))
        .expect("it runs")
        .count()
}

/// Starts the program with this configuration under the descriptor limit; its log is in the
/// returned file.
fn start_with_descriptor_limit(config: &str, name: &str) -> (RunningProgram, PathBuf) {
    let path = program_command(config, &format!("{name}.json")).1;
    let log = path.with_extension("log");
    let script = format!("ulimit -n {MAX_DESCRIPTORS}; exec \"$0\"");
    let mut command = Command::new("sh");
    command
        .args(["-c", &script, env!("CARGO_BIN_EXE_client-proxy")])
        .env("ROUTER_CONFIG", &path);
    command
        .stdout(Stdio::null())
        .stderr(std::fs::File::create(&log).expect("a log"));
    (RunningProgram(command.spawn().expect("it starts")), log)
}

/// This many clients, each with a request in flight.
async fn clients_with_requests(address: SocketAddr, count: usize) -> Vec<Client> {
    let mut clients = Vec::new();
    for _ in 0..count {
        let mut client = connect_when_listening(address).await;
        client.send(&request("free", "", "")).await;
        clients.push(client);
    }
    clients
}

/// A full list of these endpoints, of which the first is draining.
fn list_with_first_draining(endpoints: &[TestEndpoint]) -> String {
    let mut entries = Vec::new();
    for (number, endpoint) in endpoints.iter().enumerate() {
        let health = if number == 0 { "Terminating" } else { "Ready" };
        entries.push(entry(&format!("s-{number}"), endpoint.address, health));
    }
    list(42, true, &entries)
}

/// Clients that send nothing, requests that stall, and silent operators use up all connections
/// that each may have while discovery is down. The process may not have one descriptor more than
/// its limit. When discovery returns the watch is opened, its list is applied, operators get
/// responses, and requests find connections on both sides.
#[test]
fn descriptors_are_reserved_for_the_watch_endpoints_and_operators() {
    for mode in ["ask", "push"] {
        run_test(descriptors_are_reserved(mode));
    }
}

/// Endpoints that don't respond until they are released.
async fn stalling_endpoints(count: usize) -> Vec<TestEndpoint> {
    let mut endpoints = Vec::new();
    for _ in 0..count {
        endpoints.push(TestEndpoint::start([ScriptedResponse::Stall]).await);
    }
    endpoints
}

/// This many clients that send nothing.
async fn connect_silent_clients(address: SocketAddr, count: usize) -> Vec<Client> {
    let mut clients = Vec::new();
    for _ in 0..count {
        clients.push(connect_when_listening(address).await);
    }
    clients
}

/// As many operators that send nothing as are admitted.
async fn connect_silent_operators(address: SocketAddr) -> Vec<TcpStream> {
    let mut operators = Vec::new();
    for _ in 0..client_proxy::config::MAX_OPERATOR_CONNECTIONS {
        operators.push(
            TcpStream::connect(address)
                .await
                .expect("operators are admitted"),
        );
    }
    operators
}

/// Waits until the endpoints have this many requests.
async fn wait_for_requests(endpoints: &[TestEndpoint], count: usize) {
    wait_until("all are in flight", || {
        endpoints
            .iter()
            .map(TestEndpoint::request_count)
            .sum::<usize>()
            == count
    })
    .await;
}

/// Discovery returns, with this list for the watch that is opened.
async fn start_discovery(port: TcpSocket, endpoint_list: &str) -> TestDiscovery {
    let discovery = TestDiscovery::on_listener(
        port.listen(8).expect("it listens"),
        [format!("{WATCH_HEAD}{}", chunk(endpoint_list))],
    );
    wait_for_watch("the watch is open", &discovery).await;
    discovery
}

/// The endpoints respond: the requests that stalled are served, and so are those of new clients.
async fn assert_requests_are_served(
    endpoints: &[TestEndpoint],
    stalled: &mut [Client],
    address: SocketAddr,
) {
    for endpoint in endpoints {
        *endpoint.script.borrow_mut() = [ok("served")].into();
        endpoint.release.notify_waiters();
    }
    for client in stalled {
        assert_eq!(
            client.message().await.expect("a response").status(),
            200,
            "it is served"
        );
    }
    for _ in 0..3 * endpoints.len() {
        let mut client = connect_when_listening(address).await;
        let response = client.exchange(&request("unsafe", "", "")).await;
        assert_eq!(response.status(), 200, "it finds a connection");
    }
}

async fn descriptors_are_reserved(mode: &str) {
    let endpoints = stalling_endpoints(24).await;
    let [listen, admin, discovery] = [reserve_port(), reserve_port(), reserve_port()];
    let [address, operators, discovery_address] =
        [&listen, &admin, &discovery].map(|port| port.local_addr().expect("an address"));
    let config = configuration(discovery_address, &endpoints, |config| {
        config["listen"] = address.to_string().into();
        config["admin"] = operators.to_string().into();
        config["limits"]["sockets"] = MAX_DESCRIPTORS.into();
        config["settings"]["discovery"] = mode.into();
    });
    let parsed = client_proxy::config::Config::parse(&config).expect("a good configuration");
    let max_clients = parsed.max_client_connections();
    let max_upstream = parsed.max_endpoint_connections();
    let (process, log) = start_with_descriptor_limit(&config, &format!("full-{mode}"));
    // As many requests as there may be connections to endpoints, and then clients that send
    // nothing.
    let mut stalled = clients_with_requests(address, max_upstream).await;
    wait_for_requests(&endpoints, max_upstream).await;
    let silent = connect_silent_clients(address, 2 * max_clients).await;
    let silent_operators = connect_silent_operators(operators).await;
    wait_until("it has all connections that it may have", || {
        open_descriptors(process.0.id()) >= max_upstream + max_clients + silent_operators.len()
    })
    .await;
    let _discovery = start_discovery(discovery, &list_with_first_draining(&endpoints)).await;
    while metrics(operators).await["members_unavailable"] == 0 {}
    let drained = endpoints[0].request_count();
    assert_requests_are_served(&endpoints, &mut stalled, address).await;
    assert_eq!(
        endpoints[0].request_count(),
        drained,
        "it gets nothing more"
    );
    let log = std::fs::read_to_string(&log).expect("a log");
    assert!(!log.contains("os error 24"), "{log}");
    drop((silent, silent_operators, listen, admin));
}

/// Nobody reads the log, and its pipe is full: requests are served all the same.
#[test]
fn a_log_that_nobody_reads_does_not_block_requests() {
    run_test(async {
        let endpoint = TestEndpoint::start([ok("served")]).await;
        let discovery = TestDiscovery::without_updates().await;
        let port = reserve_port();
        let address = port.local_addr().expect("an address");
        let config = configuration_at(address, &discovery, &endpoint);
        let mut command = program_command(&config, "unread-log.json").0;
        // Some hundred bytes a request, of the 64 KiB that a pipe holds.
        let _program = RunningProgram(command.env("ROUTER_TRACE", "1").spawn().expect("it starts"));
        let mut client = connect_when_listening(address).await;
        for _ in 0..500 {
            assert_eq!(
                client.exchange(&request("unsafe", "", "")).await.body,
                b"served"
            );
        }
    });
}

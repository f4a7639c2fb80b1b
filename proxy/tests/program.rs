//! The program as a process of its own: startup, signals, descriptor limit and log.

mod common;

use common::*;
use std::io::{BufRead, BufReader, Read as _};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Command, Stdio};
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

/// Waits until discovery has responded to its first watch request, or fails with `what`.
async fn wait_for_watch(what: &str, discovery: &TestDiscovery) {
    wait_until(what, || discovery.watch_requests.borrow().len() == 1).await;
}

#[test]
fn sigterm_shuts_the_program_down_despite_further_signals() {
    run_test(async {
        let endpoint = TestEndpoint::start([ok("served"), ScriptedResponse::Stall]).await;
        let discovery = TestDiscovery::without_updates().await;
        let port = reserve_port();
        let address = port.local_addr().expect("no local address");
        let config = configuration_at(address, &discovery, &endpoint);
        let mut child = program_command(&config, "sigterm.json")
            .0
            .spawn()
            .expect("cannot start the program");
        let mut client = connect_when_listening(address).await;
        assert_eq!(
            client.exchange(&request("unsafe", "", "")).await.body,
            b"served"
        );
        // The deadline of this request is after the end of the shutdown, which fails it with a 502.
        let mut stalled = connect(address).await;
        stalled.send(&request("unsafe", "", "")).await;
        wait_until("the endpoint has the request", || {
            endpoint.request_count() == 2
        })
        .await;
        // The signals after the first must not affect the shutdown.
        for signal in ["TERM", "HUP", "TERM"] {
            send_signal(child.id(), signal);
        }
        let code = loop {
            match child.try_wait().expect("cannot wait for the process") {
                Some(status) => break status.code(),
                None => sleep(Duration::from_millis(5)).await,
            }
        };
        assert_eq!(code, Some(0));
        assert_eq!(stalled.receive().await.expect("no response").status(), 502);
        let mut log = String::new();
        child
            .stderr
            .take()
            .expect("stderr is not piped")
            .read_to_string(&mut log)
            .expect("not UTF-8");
        assert!(!log.contains("panicked"), "{log}");
        assert!(
            client.receive().await.is_none(),
            "the idle connection must be closed"
        );
    });
}

/// Reads a log up to and including the first line that contains this text.
fn read_until_line(log: &mut impl Iterator<Item = std::io::Result<String>>, text: &str) {
    while !log
        .next()
        .expect("no line")
        .expect("not UTF-8")
        .contains(text)
    {}
}

/// SIGHUP must reload the configuration without ending the program. An invalid configuration must
/// be logged and ignored. After a valid one with another discovery, the program must keep its
/// endpoints, watch the new discovery at once, from the current version, and close the old watch,
/// so that later lists of the old discovery are ignored.
#[test]
fn a_reload_watches_the_new_discovery_and_keeps_the_endpoints() {
    run_test(async {
        let endpoint = TestEndpoint::start([ok("first")]).await;
        let other = TestEndpoint::start([ok("second")]).await;
        let old = TestDiscovery::without_updates().await;
        let new = TestDiscovery::without_updates().await;
        let port = reserve_port();
        let address = port.local_addr().expect("no local address");
        let config = configuration_at(address, &old, &endpoint);
        let (mut command, path) = program_command(&config, "reload.json");
        let mut child = command.spawn().expect("cannot start the program");
        wait_for_watch("the old watch is open", &old).await;
        let mut client = connect(address).await;
        assert_eq!(
            client.exchange(&request("unsafe", "", "")).await.body,
            b"first"
        );
        std::fs::write(&path, "{ broken").expect("write failed");
        send_signal(child.id(), "HUP");
        // The broken file is replaced only after the log reports it, so it has been read.
        let mut log = BufReader::new(child.stderr.take().expect("stderr is not piped")).lines();
        read_until_line(&mut log, "configuration kept");
        std::fs::write(&path, configuration_at(address, &new, &endpoint)).expect("write failed");
        send_signal(child.id(), "HUP");
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
        let update = endpoint_list(42, true, &[endpoint_entry("s-9", other.address, "Ready")]);
        new.push(&chunk(&update)).await;
        while client.exchange(&request("unsafe", "", "")).await.body != b"second" {}
        child.kill().expect("cannot kill the program");
        child.wait().expect("cannot wait for the process");
    });
}

#[test]
fn an_invalid_configuration_ends_the_program_with_a_one_line_error() {
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
            .expect("cannot run the program");
        let text = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(!output.status.success(), "{config}");
        assert_eq!(text.lines().count(), 1, "{text}");
        assert!(
            text.contains(reason) && !text.contains("panicked"),
            "{text}"
        );
    }
}

/// The descriptor limit of the program in the test of reserved descriptors.
const MAX_DESCRIPTORS: usize = 256;

/// The number of open descriptors of a process.
fn open_descriptors(process: u32) -> usize {
    std::fs::read_dir(format!("/proc/{process}/fd"))
        .expect("the process has ended")
        .count()
}

/// Starts the program under the descriptor limit. Returns the path of its log too.
fn start_with_descriptor_limit(config: &str, name: &str) -> (RunningProgram, PathBuf) {
    let path = program_command(config, &format!("{name}.json")).1;
    let log = path.with_extension("log");
    let script = format!("ulimit -n {MAX_DESCRIPTORS}; exec \"$0\"");
    let mut command = Command::new("sh");
    command
        .args(["-c", &script, env!("CARGO_BIN_EXE_client-proxy")])
        .env("ROUTER_CONFIG", &path)
        .stdout(Stdio::null())
        .stderr(std::fs::File::create(&log).expect("cannot create the log"));
    let process = RunningProgram(command.spawn().expect("cannot start the program"));
    (process, log)
}

/// Connects this many clients and sends a request on each.
async fn clients_with_requests(address: SocketAddr, count: usize) -> Vec<TestConnection> {
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
        entries.push(endpoint_entry(
            &format!("s-{number}"),
            endpoint.address,
            health,
        ));
    }
    endpoint_list(42, true, &entries)
}

/// While discovery is down, clients that send nothing, stalled requests and operators that send
/// nothing use up all the connections that each of them may have. The system's limit on descriptors
/// is the configured one, so the program fails if it needs one more. When discovery returns, the
/// program must open the watch, apply its list, respond to operators, and accept and open
/// connections for requests.
#[test]
fn descriptors_are_reserved_for_the_watch_endpoints_and_operators() {
    for mode in ["ask", "push"] {
        run_test(check_reserved_descriptors(mode));
    }
}

/// Starts this many endpoints, which don't respond until they are released.
async fn stalling_endpoints(count: usize) -> Vec<TestEndpoint> {
    let mut endpoints = Vec::new();
    for _ in 0..count {
        endpoints.push(TestEndpoint::start([ScriptedResponse::Stall]).await);
    }
    endpoints
}

/// Connects this many clients, which send nothing.
async fn connect_idle_clients(address: SocketAddr, count: usize) -> Vec<TestConnection> {
    let mut clients = Vec::new();
    for _ in 0..count {
        clients.push(connect_when_listening(address).await);
    }
    clients
}

/// Connects as many operators as may be connected at once; they send nothing.
async fn connect_idle_operators(address: SocketAddr) -> Vec<TcpStream> {
    let mut operators = Vec::new();
    for _ in 0..client_proxy::config::MAX_OPERATOR_CONNECTIONS {
        operators.push(TcpStream::connect(address).await.expect("cannot connect"));
    }
    operators
}

/// Waits until the endpoints have received this many requests in total.
async fn wait_for_requests(endpoints: &[TestEndpoint], count: usize) {
    wait_until("the endpoints have all requests", || {
        endpoints
            .iter()
            .map(TestEndpoint::request_count)
            .sum::<usize>()
            == count
    })
    .await;
}

/// Starts discovery at this port with this list, and waits until the watch is open.
async fn start_discovery(port: TcpSocket, endpoint_list: &str) -> TestDiscovery {
    let discovery = TestDiscovery::on_listener(
        port.listen(8).expect("cannot listen"),
        [format!("{WATCH_HEAD}{}", chunk(endpoint_list))],
    );
    wait_for_watch("the watch is open", &discovery).await;
    discovery
}

/// Lets the endpoints respond, and asserts that stalled and new requests are served.
async fn assert_requests_are_served(
    endpoints: &[TestEndpoint],
    stalled: &mut [TestConnection],
    address: SocketAddr,
) {
    for endpoint in endpoints {
        *endpoint.script.borrow_mut() = [ok("served")].into();
        endpoint.release.notify_waiters();
    }
    for client in stalled {
        assert_eq!(
            client.receive().await.expect("no response").status(),
            200,
            "a stalled request must be served"
        );
    }
    for _ in 0..3 * endpoints.len() {
        let mut client = connect_when_listening(address).await;
        let response = client.exchange(&request("unsafe", "", "")).await;
        assert_eq!(response.status(), 200, "a new client must be served");
    }
}

async fn check_reserved_descriptors(mode: &str) {
    let endpoints = stalling_endpoints(24).await;
    let [listen, admin, discovery] = [reserve_port(), reserve_port(), reserve_port()];
    let [address, operators, discovery_address] =
        [&listen, &admin, &discovery].map(|port| port.local_addr().expect("no local address"));
    let config = configuration(discovery_address, &endpoints, |config| {
        config["listen"] = address.to_string().into();
        config["admin"] = operators.to_string().into();
        config["limits"]["sockets"] = MAX_DESCRIPTORS.into();
        config["settings"]["discovery"] = mode.into();
    });
    let parsed = client_proxy::config::Config::parse(&config).expect("invalid configuration");
    let max_clients = parsed.max_client_connections();
    let max_upstream = parsed.max_endpoint_connections();
    let (process, log) = start_with_descriptor_limit(&config, &format!("descriptors-{mode}"));
    // One request for each connection to endpoints that may be open, then clients that send
    // nothing.
    let mut stalled = clients_with_requests(address, max_upstream).await;
    wait_for_requests(&endpoints, max_upstream).await;
    let idle_clients = connect_idle_clients(address, 2 * max_clients).await;
    let idle_operators = connect_idle_operators(operators).await;
    wait_until(
        "the program has all connections to clients, endpoints and operators that it may have",
        || open_descriptors(process.0.id()) >= max_upstream + max_clients + idle_operators.len(),
    )
    .await;
    let _discovery = start_discovery(discovery, &list_with_first_draining(&endpoints)).await;
    while metrics(operators).await["members_unavailable"] == 0 {}
    let requests_before = endpoints[0].request_count();
    assert_requests_are_served(&endpoints, &mut stalled, address).await;
    assert_eq!(
        endpoints[0].request_count(),
        requests_before,
        "a draining endpoint must get no new request"
    );
    let log = std::fs::read_to_string(&log).expect("cannot read the log");
    // Error 24 is EMFILE: the process has no free descriptor.
    assert!(!log.contains("os error 24"), "{log}");
    drop((idle_clients, idle_operators, listen, admin));
}

/// Requests must be served even while the pipe to which the program writes its log is full.
#[test]
fn a_full_log_pipe_does_not_block_requests() {
    run_test(async {
        let endpoint = TestEndpoint::start([ok("served")]).await;
        let discovery = TestDiscovery::without_updates().await;
        let port = reserve_port();
        let address = port.local_addr().expect("no local address");
        let config = configuration_at(address, &discovery, &endpoint);
        let mut command = program_command(&config, "unread-log.json").0;
        // The trace of 500 requests is longer than the 64 KiB that a pipe holds.
        let _program = RunningProgram(
            command
                .env("ROUTER_TRACE", "1")
                .spawn()
                .expect("cannot start the program"),
        );
        let mut client = connect_when_listening(address).await;
        for _ in 0..500 {
            assert_eq!(
                client.exchange(&request("unsafe", "", "")).await.body,
                b"served"
            );
        }
    });
}

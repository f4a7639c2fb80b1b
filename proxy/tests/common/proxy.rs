//! A proxy that runs inside the test process, its configuration, and its interface for operators.

use super::client::{connect_when_listening, TestConnection};
use super::discovery::{endpoint_entry, TestDiscovery};
use super::endpoint::TestEndpoint;
use client_proxy::config::Config;
use serde_json::json;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::task::{spawn_local, yield_now, JoinHandle};

/// A configuration whose endpoint list has these endpoints; `change` edits it before it is
/// serialized.
pub(crate) fn configuration(
    discovery: SocketAddr,
    endpoints: &[TestEndpoint],
    change: impl FnOnce(&mut serde_json::Value),
) -> String {
    let entries = endpoints.iter().enumerate();
    let entries: Vec<_> = entries
        .map(|(n, endpoint)| endpoint_entry(&format!("s-{n}"), endpoint.address, "Ready"))
        .collect();
    let class = |name: &str, idempotency: &str| {
        json!({"name": name, "objective_us": 5_000_000, "deadline_us": 9_000_000, "worth": 1.0,
               "idempotency": idempotency, "dedup_scope": "cell", "repeat_window_us": 9_000_000})
    };
    let mut config = json!({
        "name": "n0", "listen": "127.0.0.1:0", "discovery": discovery.to_string(), "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1_024},
        "known": {"seq": 41, "whole": true, "hosts": entries},
        "settings": {
            "balancers": 1, "me": 0, "discovery": "ask", "tick_us": 1_000,
            "classes": [class("free", "free"), class("keyed", "guarded"), class("unsafe", "single_shot")],
            "limits": {"cancel": true, "max_attempts": 3, "second_copies": false, "max_retry_after_us": 750_000,
                       "connect_timeout_us": 1_000_000, "conn_idle_us": 60_000_000},
            "invariants": {"cold_from": 0.3, "cold_us": 7_500_000, "ask_every_us": 320_000}
        }
    });
    change(&mut config);
    config.to_string()
}

/// Sets `admin`, the address for operators, in a configuration.
pub(crate) fn set_admin(config: &mut serde_json::Value) {
    config["admin"] = "127.0.0.1:0".into();
}

/// Sets the number of balancers so high that this proxy's share of an endpoint's concurrency is
/// small: two requests can be in flight, one of them as the trial that may raise the concurrency
/// limit, and a third waits in the pending queue.
pub(crate) fn limit_to_two_in_flight(config: &mut serde_json::Value) {
    config["settings"]["balancers"] = 7.into();
}

/// A running proxy.
pub(crate) struct Proxy {
    pub(crate) address: SocketAddr,
    pub(crate) admin: Option<SocketAddr>,
    /// Dropping this sender shuts the proxy down.
    pub(crate) stop: Option<oneshot::Sender<()>>,
    pub(crate) task: JoinHandle<Result<(), client_proxy::RunError>>,
}

impl Proxy {
    pub(crate) async fn start(endpoints: &[TestEndpoint]) -> Proxy {
        Proxy::start_with(&TestDiscovery::without_updates().await, endpoints, |_| ()).await
    }

    /// Starts a proxy; `change` edits its configuration.
    pub(crate) async fn start_with(
        discovery: &TestDiscovery,
        endpoints: &[TestEndpoint],
        change: impl FnOnce(&mut serde_json::Value),
    ) -> Proxy {
        let config = configuration(discovery.address, endpoints, change);
        let config = Config::parse(&config).expect("invalid configuration");
        let listener =
            client_proxy::process_handoff::bind(config.listen).expect("cannot bind the address");
        let address = listener.local_addr().expect("no local address");
        let (stop, stopped) = oneshot::channel();
        let operators = config.admin.map(|address| {
            client_proxy::operators::listen(address).expect("cannot listen for operators")
        });
        let admin = operators
            .as_ref()
            .map(|listener| listener.local_addr().expect("no local address"));
        let listeners = client_proxy::Listeners {
            clients: listener,
            operators,
        };
        let task = spawn_local(client_proxy::run(
            config,
            listeners,
            None,
            async || None,
            async {
                let _ = stopped.await;
            },
        ));
        Proxy {
            address,
            admin,
            stop: Some(stop),
            task,
        }
    }

    /// Connects a client once the proxy listens: as soon as it has an endpoint list, or without one
    /// 2 s after its start.
    pub(crate) async fn client(&self) -> TestConnection {
        connect_when_listening(self.address).await
    }
}

/// Starts a proxy with an address for operators, and returns both.
pub(crate) async fn start_with_admin(
    endpoints: &[TestEndpoint],
    change: impl FnOnce(&mut serde_json::Value),
) -> (Proxy, SocketAddr) {
    let proxy = Proxy::start_with(
        &TestDiscovery::without_updates().await,
        endpoints,
        |config| {
            set_admin(config);
            change(config);
        },
    )
    .await;
    let admin = proxy.admin.expect("no address for operators");
    (proxy, admin)
}

/// Starts a proxy that has an address for operators and may not cancel attempts that have begun.
pub(crate) async fn start_without_cancellation(
    endpoints: &[TestEndpoint],
    change: impl FnOnce(&mut serde_json::Value),
) -> (Proxy, SocketAddr) {
    start_with_admin(endpoints, |config| {
        config["settings"]["limits"]["cancel"] = false.into();
        change(config);
    })
    .await
}

/// Sends an operator's command, and returns the reply, which ends with the connection.
pub(crate) async fn admin_command(admin: SocketAddr, line: &str) -> String {
    let mut stream = TcpStream::connect(admin)
        .await
        .expect("cannot connect as an operator");
    // Tests that poll the metrics open a connection for each poll. After an orderly close each of
    // them would stay in TIME_WAIT, in the kernel's table that `connections.rs` reads as a whole.
    stream.set_zero_linger().expect("SO_LINGER not set");
    stream
        .write_all(line.as_bytes())
        .await
        .expect("write failed");
    let mut response = String::new();
    stream
        .read_to_string(&mut response)
        .await
        .expect("no response");
    response
}

/// Reads the metrics over the interface for operators.
pub(crate) async fn metrics(admin: SocketAddr) -> serde_json::Value {
    let response = admin_command(admin, "counters\n").await;
    let json = response.strip_suffix("\nEOT\n");
    serde_json::from_str(json.expect("the reply does not end with EOT"))
        .expect("the metrics are not JSON")
}

/// Whether the process with this address for operators reports that it accepts clients.
pub(crate) async fn is_ready(admin: SocketAddr) -> bool {
    let mut response = String::new();
    if let Ok(mut stream) = TcpStream::connect(admin).await {
        // The process may end in the meantime.
        let _ = stream.write_all(b"health\n").await;
        let _ = stream.read_to_string(&mut response).await;
    }
    response == "SUCCESS yes\n"
}

/// Waits until this many requests are pending.
pub(crate) async fn wait_for_pending(admin: SocketAddr, count: u64) {
    while metrics(admin).await["pending"] != count {
        yield_now().await;
    }
}

/// Waits until the proxy has applied a list with this many endpoints.
pub(crate) async fn wait_for_members(proxy: &Proxy, count: u64) {
    let admin = proxy.admin.expect("no address for operators");
    while metrics(admin).await["members"] != count {}
}

/// Numbers of completed, rejected and failed requests over all classes.
pub(crate) async fn ended_requests(admin: SocketAddr) -> [u64; 3] {
    let metrics = metrics(admin).await;
    let classes = metrics["downstream_requests"]
        .as_object()
        .expect("downstream_requests is not an object")
        .clone();
    ["completed", "rejected", "failed"].map(|outcome| {
        classes
            .values()
            .map(|class| {
                class[outcome]
                    .as_u64()
                    .expect("a count in downstream_requests is not a number")
            })
            .sum()
    })
}

//! A proxy that runs on a paused clock, and the time that it takes to apply a change of the
//! endpoint list.

use super::discovery::{endpoint_entry, endpoint_list, WATCH_HEAD};
use super::endpoint::TestEndpoint;
use super::http::{chunk, request, MessageReader};
use super::paused_time::{advance_until, run_ready_tasks, wait_without_advancing};
use super::proxy::configuration;
use super::scripted_discovery::WatchResponse::{Reset, Respond};
use super::scripted_discovery::*;
use client_proxy::config::Config;
use std::net::SocketAddr;
use std::slice::from_ref;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::spawn_local;

/// Time that the tests allow for applying a change once it counts as notified. It is shorter than
/// the drain grace of 0.4 s, and includes the steps of 10 ms in which a test advances the clock.
pub(crate) const NOTIFICATION_MARGIN: Duration = Duration::from_millis(200);

/// The response to a watch request, with a full list in which this endpoint is draining.
pub(crate) fn draining_response(endpoint: &TestEndpoint) -> WatchResponse {
    Respond(draining_list(endpoint))
}

/// The head of a watch response and a full list in which this endpoint is draining.
pub(crate) fn draining_list(endpoint: &TestEndpoint) -> String {
    format!(
        "{WATCH_HEAD}{}",
        chunk(&endpoint_list(
            42,
            true,
            &[endpoint_entry("s-0", endpoint.address, "Terminating")]
        ))
    )
}

/// A proxy on a paused clock with a single endpoint. Its connection to the endpoint is idle until
/// the proxy is notified that the endpoint is draining, and is then closed.
pub(crate) struct PausedTimeProxy {
    pub(crate) endpoint: TestEndpoint,
    pub(crate) address: SocketAddr,
    reload: mpsc::UnboundedSender<Config>,
    config: String,
}

impl PausedTimeProxy {
    /// Starts a proxy as `start_with_seed` does, with seed 1. `mode` is the value of
    /// `settings.discovery`: with `ask` the proxy polls a discovery service, with `push` an agent
    /// on the same machine sends it the lists.
    pub(crate) async fn start(
        mode: &str,
        balancer_count: u32,
        discovery: &ScriptedDiscovery,
        endpoint: TestEndpoint,
    ) -> PausedTimeProxy {
        PausedTimeProxy::start_with_seed(1, mode, balancer_count, discovery, endpoint).await
    }

    /// Starts a proxy with this seed.
    pub(crate) async fn start_with_seed(
        seed: u64,
        mode: &str,
        balancer_count: u32,
        discovery: &ScriptedDiscovery,
        endpoint: TestEndpoint,
    ) -> PausedTimeProxy {
        PausedTimeProxy::start_with(discovery, endpoint, |config| {
            config["seed"] = format!("{seed:x}").into();
            config["settings"]["discovery"] = mode.into();
            config["settings"]["balancers"] = balancer_count.into();
        })
        .await
    }

    /// Starts a proxy, whose configuration `change` edits, and sends one request, which leaves an
    /// idle connection to the endpoint.
    pub(crate) async fn start_with(
        discovery: &ScriptedDiscovery,
        endpoint: TestEndpoint,
        change: impl FnOnce(&mut serde_json::Value),
    ) -> PausedTimeProxy {
        let config = configuration(discovery.address, from_ref(&endpoint), |config| {
            config["settings"]["invariants"]["ask_every_us"] = 10_000_000.into();
            change(config);
        });
        let parsed = Config::parse(&config).expect("invalid configuration");
        let clients =
            client_proxy::process_handoff::bind(parsed.listen).expect("cannot bind the address");
        let address = clients.local_addr().expect("no local address");
        let (reload, mut reloads) = mpsc::unbounded_channel();
        let listeners = client_proxy::Listeners {
            clients,
            operators: None,
        };
        let next = async move || reloads.recv().await.map(Ok);
        spawn_local(client_proxy::run(
            parsed,
            listeners,
            None,
            next,
            std::future::pending(),
        ));
        run_ready_tasks().await;
        let mut client = MessageReader::new(
            TcpStream::connect(address)
                .await
                .expect("cannot connect to the proxy"),
        );
        assert_eq!(
            client.exchange(&request("free", "", "")).await.status(),
            200
        );
        wait_without_advancing("a connection is idle", || {
            endpoint.open_connection_count.get() == 1
        })
        .await;
        // The client stays connected until the test ends.
        spawn_local(async move {
            std::future::pending::<()>().await;
            drop(client)
        });
        PausedTimeProxy {
            endpoint,
            address,
            reload,
            config,
        }
    }

    /// Reloads the configuration with the address of another discovery service.
    pub(crate) fn reload_with_discovery(&self, from: &ScriptedDiscovery, to: &ScriptedDiscovery) {
        let config = self
            .config
            .replace(&from.address.to_string(), &to.address.to_string());
        self.reload
            .send(Config::parse(&config).expect("invalid configuration"))
            .expect("the proxy has ended");
    }

    /// Advances the clock until the proxy has closed its idle connection to the draining endpoint.
    /// Returns the time advanced.
    pub(crate) async fn advance_until_drained(&self, what: &str) -> Duration {
        advance_until(what, || self.endpoint.open_connection_count.get() == 0).await
    }
}

/// The same response, this many times.
pub(crate) fn repeat_response(response: fn() -> WatchResponse, count: usize) -> Vec<WatchResponse> {
    std::iter::repeat_with(response).take(count).collect()
}

/// Sequences of failures that watch requests may get from a reachable discovery service before one
/// succeeds: for each kind of failure a sequence with that failure only, and an empty sequence.
pub(crate) fn failure_sequences() -> Vec<Vec<WatchResponse>> {
    let failure_kinds = [
        REJECTED,
        REJECTED_LATE,
        NO_RESPONSE,
        PARTIAL_HEAD,
        NO_UPDATES,
        || Reset,
    ];
    let mut sequences: Vec<_> = failure_kinds
        .into_iter()
        .map(|failure| vec![failure()])
        .collect();
    sequences.push(Vec::new());
    sequences
}

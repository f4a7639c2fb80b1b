//! A proxy in paused time, and how long it takes to apply a change of the endpoint list.

use super::discovery::{entry, list, WATCH_HEAD};
use super::endpoint::TestEndpoint;
use super::http::{chunk, request, MessageReader};
use super::paused_time::{advance_until, settle, wait_without_time};
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

/// What the operators' times leave for the drain grace; the steps of the test's clock are in it.
pub(crate) const MARGIN: Duration = Duration::from_millis(200);

/// A watch whose first list says that this endpoint is draining.
pub(crate) fn notify_draining(endpoint: &TestEndpoint) -> WatchResponse {
    Respond(draining_list(endpoint))
}

/// The response to a watch, with a full list in which this endpoint is draining.
pub(crate) fn draining_list(endpoint: &TestEndpoint) -> String {
    format!(
        "{WATCH_HEAD}{}",
        chunk(&list(
            42,
            true,
            &[entry("s-0", endpoint.address, "Terminating")]
        ))
    )
}

/// A proxy in paused time, with a connection to its one endpoint that is idle until the proxy is
/// notified that the endpoint is draining.
pub(crate) struct PausedProxy {
    pub(crate) endpoint: TestEndpoint,
    pub(crate) address: SocketAddr,
    reload: mpsc::UnboundedSender<Config>,
    config: String,
}

impl PausedProxy {
    /// Starts one with the seed 1.
    pub(crate) async fn start(
        mode: &str,
        balancer_count: u32,
        discovery: &ScriptedDiscovery,
        endpoint: TestEndpoint,
    ) -> PausedProxy {
        PausedProxy::with_seed(1, mode, balancer_count, discovery, endpoint).await
    }

    /// Starts one, and sends a request so that its connection is idle after it.
    pub(crate) async fn with_seed(
        seed: u64,
        mode: &str,
        balancer_count: u32,
        discovery: &ScriptedDiscovery,
        endpoint: TestEndpoint,
    ) -> PausedProxy {
        let config = configuration(discovery.address, from_ref(&endpoint), |config| {
            config["seed"] = format!("{seed:x}").into();
            config["settings"]["discovery"] = mode.into();
            config["settings"]["balancers"] = balancer_count.into();
            config["settings"]["invariants"]["ask_every_us"] = 10_000_000.into();
        });
        let read = Config::parse(&config).expect("a good configuration");
        let clients = client_proxy::process_handoff::bind(read.listen).expect("bound");
        let address = clients.local_addr().expect("an address");
        let (reload, mut reloads) = mpsc::unbounded_channel();
        let listeners = client_proxy::Listeners {
            clients,
            operators: None,
        };
        let next = async move || reloads.recv().await.map(Ok);
        spawn_local(client_proxy::run(
            read,
            listeners,
            None,
            next,
            std::future::pending(),
        ));
        settle().await;
        let mut client = MessageReader::new(TcpStream::connect(address).await.expect("it listens"));
        assert_eq!(
            client.exchange(&request("free", "", "")).await.status(),
            200
        );
        wait_without_time("a connection is idle", || {
            endpoint.open_connections.get() == 1
        })
        .await;
        // Its client stays connected.
        spawn_local(async move {
            std::future::pending::<()>().await;
            drop(client)
        });
        PausedProxy {
            endpoint,
            address,
            reload,
            config,
        }
    }

    /// Reloads the configuration with another discovery.
    pub(crate) fn reload_with_discovery(&self, from: &ScriptedDiscovery, to: &ScriptedDiscovery) {
        let config = self
            .config
            .replace(&from.address.to_string(), &to.address.to_string());
        self.reload
            .send(Config::parse(&config).expect("a good configuration"))
            .expect("it runs");
    }

    /// Advances the clock until the proxy has closed its idle connection, and returns by how much.
    pub(crate) async fn until_draining(&self, what: &str) -> Duration {
        advance_until(what, || self.endpoint.open_connections.get() == 0).await
    }
}

/// So many of the same response.
pub(crate) fn repeated(failure: fn() -> WatchResponse, count: usize) -> Vec<WatchResponse> {
    std::iter::repeat_with(failure).take(count).collect()
}

/// The responses that requests for a watch may get before one succeeds, with discovery in reach.
pub(crate) fn failure_sequences() -> Vec<Vec<WatchResponse>> {
    let one = [
        REJECTED,
        LATE_REJECTED,
        NO_RESPONSE,
        PARTIAL_HEAD,
        NO_UPDATES,
        || Reset,
    ];
    let mut paths: Vec<_> = one.into_iter().map(|failure| vec![failure()]).collect();
    paths.push(Vec::new());
    paths
}

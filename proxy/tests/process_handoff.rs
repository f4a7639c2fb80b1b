//! A new process beside the old one: it takes over the address, and what remains when one of them
//! dies.

mod common;

use common::*;
use std::io::Read as _;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::slice::from_ref;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::sleep;

/// What processes need that start one after the other at the same address.
struct HandoffSite {
    endpoint: TestEndpoint,
    config: String,
    folder: PathBuf,
    address: SocketAddr,
    /// Reserved for as long as the test runs.
    _port: TcpSocket,
    _discovery: TestDiscovery,
}

impl HandoffSite {
    async fn new(name: &str, script: impl IntoIterator<Item = ScriptedResponse>) -> HandoffSite {
        let endpoint = TestEndpoint::start(script).await;
        let discovery = TestDiscovery::without_updates().await;
        let port = reserve_port();
        let address = port.local_addr().expect("an address");
        let config = configuration(discovery.address, from_ref(&endpoint), |config| {
            config["listen"] = address.to_string().into();
        });
        HandoffSite {
            endpoint,
            config,
            folder: empty_folder(name),
            address,
            _port: port,
            _discovery: discovery,
        }
    }

    /// A process that is ready, and its address for operators.
    async fn start(&self) -> (RunningProgram, SocketAddr) {
        let admin = reserve_port();
        let at = admin.local_addr().expect("an address");
        let name = self.folder.join("config.json");
        let mut command = program_command(&self.config, name.to_str().expect("text")).0;
        command
            .env("TMPDIR", &self.folder)
            .env("ROUTER_ADMIN", at.to_string())
            .stderr(Stdio::null());
        let process = RunningProgram(command.spawn().expect("it starts"));
        while !is_ready(at).await {}
        (process, at)
    }

    async fn client(&self) -> std::io::Result<Client> {
        Ok(MessageReader::new(TcpStream::connect(self.address).await?))
    }

    /// Whether a new connection is served, and stays open.
    async fn is_served(&self) -> bool {
        let mut client = self.client().await.expect("the program accepts");
        let response = client.exchange(&request("unsafe", "", "")).await;
        response.status() == 200 && response.header("connection").is_none()
    }
}

/// A new process is ready and dies before the old one is ordered to shut down: the old one gets
/// all clients again, and the next new one takes over from it.
#[test]
fn a_new_process_that_dies_leaves_its_clients_to_the_old_one() {
    run_test(async {
        let site = HandoffSite::new("dies-before", [ok("served")]).await;
        let (mut old, old_admin) = site.start().await;
        assert!(site.is_served().await);
        let (mut new, _) = site.start().await;
        new.kill();
        for _ in 0..16 {
            assert!(site.is_served().await);
        }
        let (_next, _) = site.start().await;
        old.stop();
        while is_ready(old_admin).await {}
        for _ in 0..16 {
            assert!(site.is_served().await);
        }
        assert!(old.ends().await);
        assert!(site.is_served().await);
    });
}

/// The new process dies once the old one has been ordered to shut down: the old one accepts
/// clients for as long as it listens, responds to what it has accepted, and leaves all others to
/// the next.
#[test]
fn a_new_process_that_dies_during_a_shutdown_loses_no_request() {
    run_test(async {
        let site = HandoffSite::new(
            "dies-after",
            [ok("served"), ScriptedResponse::Stall, ok("served")],
        )
        .await;
        let (mut old, old_admin) = site.start().await;
        assert!(site.is_served().await);
        let mut busy = site.client().await.expect("the program accepts");
        busy.send(&request("unsafe", "", "")).await;
        wait_until("the endpoint has the request", || {
            site.endpoint.request_count() == 2
        })
        .await;
        let (mut new, _) = site.start().await;
        old.stop();
        while is_ready(old_admin).await {}
        new.kill();
        for _ in 0..16 {
            // A connection that nobody accepts is refused.
            let Ok(mut client) = site.client().await else {
                break;
            };
            let response = client.exchange(&request("unsafe", "", "")).await;
            assert_eq!(
                (response.status(), response.header("connection")),
                (200, Some("close")),
                "the old process responds"
            );
        }
        let (_next, _) = site.start().await;
        for _ in 0..16 {
            assert!(site.is_served().await, "the next process responds");
        }
        site.endpoint.release.notify_one();
        assert_eq!(busy.message().await.expect("a response").body, b"released");
        assert!(old.ends().await);
        assert!(site.is_served().await);
    });
}

/// Without a file to lock it serves all the same, and logs that.
#[test]
fn a_process_that_cannot_announce_itself_serves() {
    run_test(async {
        let mut site = HandoffSite::new("unshown", [ok("served")]).await;
        let config = site.folder.join("config.json");
        site.folder = site.folder.join("missing");
        let mut command = program_command(&site.config, config.to_str().expect("text")).0;
        let mut process = RunningProgram(
            command
                .env("TMPDIR", &site.folder)
                .spawn()
                .expect("it starts"),
        );
        let mut client = loop {
            match site.client().await {
                Ok(client) => break client,
                Err(_) => sleep(Duration::from_millis(5)).await,
            }
        };
        assert_eq!(
            client.exchange(&request("unsafe", "", "")).await.body,
            b"served"
        );
        process.stop();
        assert!(process.ends().await);
        let mut log = String::new();
        process
            .0
            .stderr
            .take()
            .expect("piped")
            .read_to_string(&mut log)
            .expect("text");
        assert_eq!(
            log.matches(site.folder.to_str().expect("text")).count(),
            1,
            "{log}"
        );
    });
}

/// The response to an operator's question whether a process is ready, or nothing while nobody
/// listens there.
async fn health_response(admin: SocketAddr) -> String {
    let mut response = String::new();
    if let Ok(mut stream) = TcpStream::connect(admin).await {
        stream.write_all(b"health\n").await.expect("written");
        stream
            .read_to_string(&mut response)
            .await
            .expect("a response");
    }
    response
}

/// A client whose request the endpoint has, as its second, and does not respond to.
async fn client_with_stalled_request(site: &HandoffSite) -> Client {
    let mut client = connect(site.address).await;
    client.send(&request("unsafe", "", "")).await;
    wait_until("the endpoint has the request", || {
        site.endpoint.request_count() == 2
    })
    .await;
    client
}

/// Requests on new connections get responses from a process that doesn't shut down.
async fn assert_new_connections_are_served(address: SocketAddr) {
    for _ in 0..16 {
        let mut next = connect(address).await;
        let response = next.exchange(&request("unsafe", "", "")).await;
        assert_eq!(
            (response.status(), response.header("connection")),
            (200, None),
            "the new process responds"
        );
    }
}

/// The new process takes over the address; the old one responds to what arrives on its
/// connections, and ends.
#[test]
fn a_new_process_takes_over_from_the_old_one() {
    run_test(async {
        let script = [ok("served"), ScriptedResponse::Stall, ok("served")];
        let site = HandoffSite::new("beside", script).await;
        let (mut old, old_admin) = site.start().await;
        let mut client = connect(site.address).await;
        assert_eq!(
            client.exchange(&request("unsafe", "", "")).await.body,
            b"served"
        );
        let mut busy = client_with_stalled_request(&site).await;
        let (mut new, new_admin) = site.start().await;
        assert!(Command::new("kill")
            .arg(old.0.id().to_string())
            .status()
            .expect("kill runs")
            .success());
        while health_response(old_admin).await == "SUCCESS yes\n" {}
        assert_new_connections_are_served(site.address).await;
        assert!(client.message().await.is_none(), "closed between requests");
        site.endpoint.release.notify_one();
        let last = busy.message().await.expect("a response");
        assert_eq!(
            (last.status(), last.header("connection")),
            (200, Some("close")),
            "the old process responds"
        );
        assert!(old.ends().await);
        assert_eq!(health_response(new_admin).await, "SUCCESS yes\n");
        assert!(
            new.0.try_wait().expect("it can be waited for").is_none(),
            "it still runs"
        );
    });
}

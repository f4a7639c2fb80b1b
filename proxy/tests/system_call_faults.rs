//! The program while system calls fail. A preloaded library makes them fail according to a fault
//! schedule.

mod common;

use common::*;
use serde_json::json;
use std::net::SocketAddr;
use std::slice::from_ref;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::sleep;

/// The configuration of a program that listens at this address.
fn configuration_at(
    address: SocketAddr,
    discovery: &TestDiscovery,
    endpoints: &[TestEndpoint],
) -> String {
    configuration(discovery.address, endpoints, |config| {
        config["listen"] = address.to_string().into()
    })
}

/// Connects the program's first client once it listens; `None` if the program ends before.
async fn first_client(program: &mut RunningProgram, address: SocketAddr) -> Option<TestConnection> {
    loop {
        if let Ok(stream) = TcpStream::connect(address).await {
            return Some(MessageReader::new(stream));
        }
        if program
            .0
            .try_wait()
            .expect("cannot wait for the process")
            .is_some()
        {
            return None;
        }
        sleep(Duration::from_millis(5)).await;
    }
}

/// While the program starts, three calls of `socket` fail for lack of buffers, memory or
/// descriptors. The program must retry instead of ending.
#[test]
fn a_temporary_socket_failure_does_not_end_the_program_at_startup() {
    run_test(async {
        let endpoint = TestEndpoint::start([ok("served")]).await;
        let discovery = TestDiscovery::without_updates().await;
        for failure in ["ENOBUFS", "ENFILE", "EMFILE", "ENOMEM"] {
            let port = reserve_port();
            let address = port.local_addr().expect("no local address");
            let mut command = program_command(
                &configuration_at(address, &discovery, from_ref(&endpoint)),
                &format!("socket-{failure}.json"),
            )
            .0;
            let failures = json!({"rules": [{"call": "socket", "failure": failure, "most": 3}]});
            let mut program = start_with_faults(&mut command, &failures);
            let mut client = first_client(&mut program, address)
                .await
                .expect("the program ended before it listened");
            assert_eq!(
                client.exchange(&request("unsafe", "", "")).await.body,
                b"served",
                "{failure}"
            );
        }
    });
}

/// A read may return fewer bytes than are available, and epoll in edge-triggered mode does not
/// report the rest again. The proxy must nevertheless read all of a request, a response and a list.
#[test]
fn a_short_read_leaves_nothing_unread() {
    run_test(async {
        let (endpoint, other) = (
            TestEndpoint::start([ok(&"a".repeat(5_000))]).await,
            TestEndpoint::start([ok("b")]).await,
        );
        let discovery = TestDiscovery::without_updates().await;
        let (port, admin_port) = (reserve_port(), reserve_port());
        let address = port.local_addr().expect("no local address");
        let admin = admin_port.local_addr().expect("no local address");
        let mut command = program_command(
            &configuration_at(address, &discovery, from_ref(&endpoint)),
            "short.json",
        )
        .0;
        command.env("ROUTER_ADMIN", admin.to_string());
        let failures = json!({"rules": [{"call": "receive", "failure": "SHORT"}]});
        let mut program = start_with_faults(&mut command, &failures);
        let mut client = first_client(&mut program, address)
            .await
            .expect("the program ended before it listened");
        for _ in 0..3 {
            let response = client
                .exchange(&request("keyed", "", &"c".repeat(3_000)))
                .await;
            assert_eq!((response.status(), response.body.len()), (200, 5_000));
        }
        assert_eq!(endpoint.requests.borrow()[0].body.len(), 3_000);
        // The name alone is longer than one read.
        let long_name = endpoint_entry(&"n".repeat(2_000), other.address, "Ready");
        discovery
            .push(&chunk(&endpoint_list(42, false, &[long_name])))
            .await;
        while metrics(admin).await["members"] != 2 {}
    });
}

/// An accept fails if the connection has ended in the backlog, or if the system is short of
/// buffers. During a shutdown the proxy must not take that for an empty backlog: every client that
/// connected before the shutdown must get a response.
#[test]
fn an_accept_failure_during_a_shutdown_leaves_no_client_without_a_response() {
    const BACKLOG_CLIENTS: usize = 8;
    for failure in ["ECONNABORTED", "ENOBUFS"] {
        run_test(async {
            let endpoint = TestEndpoint::start([ScriptedResponse::Stall]).await;
            let discovery = TestDiscovery::without_updates().await;
            let (port, admin_port) = (reserve_port(), reserve_port());
            let address = port.local_addr().expect("no local address");
            let admin = admin_port.local_addr().expect("no local address");
            let limit_descriptors = |config: &mut serde_json::Value| {
                config["listen"] = address.to_string().into();
                config["limits"]["sockets"] = 70.into();
            };
            let text = configuration(discovery.address, from_ref(&endpoint), limit_descriptors);
            let max_clients = client_proxy::config::Config::parse(&text)
                .expect("invalid configuration")
                .max_client_connections();
            let mut command = program_command(&text, &format!("accept-{failure}.json")).0;
            command.env("ROUTER_ADMIN", admin.to_string());
            let failures = json!({"rules": [{"call": "accept", "failure": failure, "share": 0.5}]});
            let mut program = start_with_faults(&mut command, &failures);
            let mut clients = vec![first_client(&mut program, address)
                .await
                .expect("the program ended before it listened")];
            while clients.len() < max_clients + BACKLOG_CLIENTS {
                clients.push(MessageReader::new(
                    TcpStream::connect(address).await.expect("cannot connect"),
                ));
            }
            for client in &mut clients {
                client.send(&request("free", "", "")).await;
            }
            wait_for_pending(admin, max_clients as u64).await;
            program.terminate();
            for client in &mut clients {
                assert!(
                    client.receive().await.is_some(),
                    "{failure}: every client must get a response"
                );
            }
            assert!(program.wait_for_success().await);
        });
    }
}

/// The first three attempts to open the configuration file after the signal fail. The signal is not
/// sent again, so the proxy must retry the reload.
#[test]
fn a_reload_that_cannot_read_its_file_is_retried() {
    for failure in ["ENFILE", "EIO", "ENOENT"] {
        run_test(async {
            let endpoint = TestEndpoint::start([ok("served")]).await;
            let (old, new) = (
                TestDiscovery::without_updates().await,
                TestDiscovery::without_updates().await,
            );
            let port = reserve_port();
            let address = port.local_addr().expect("no local address");
            let name = format!("reload-{failure}.json");
            let (mut command, path) =
                program_command(&configuration_at(address, &old, from_ref(&endpoint)), &name);
            let failures = json!({"rules": [{"call": "open", "path": name, "failure": failure, "after": 1, "most": 3}]});
            let mut program = start_with_faults(&mut command, &failures);
            first_client(&mut program, address)
                .await
                .expect("the program ended before it listened");
            std::fs::write(path, configuration_at(address, &new, from_ref(&endpoint)))
                .expect("write failed");
            program.signal("HUP");
            wait_until("the new discovery is watched", || {
                new.watch_requests.borrow().len() == 1
            })
            .await;
        });
    }
}

/// A temporary lack of local ports, routes or buffers is not the endpoint's fault: the connection
/// must be retried, and the endpoint must not be ejected.
#[test]
fn a_temporary_connect_failure_is_retried() {
    run_test(async {
        for failure in ["EADDRNOTAVAIL", "ENETUNREACH", "ENOBUFS"] {
            let endpoint = TestEndpoint::start([ok("served")]).await;
            let discovery = TestDiscovery::without_updates().await;
            let port = reserve_port();
            let address = port.local_addr().expect("no local address");
            let name = format!("connect-{failure}.json");
            let mut command = program_command(
                &configuration_at(address, &discovery, from_ref(&endpoint)),
                &name,
            )
            .0;
            // The first connection, to discovery, succeeds.
            let rule = json!({"call": "connect", "failure": failure, "after": 1, "most": 2});
            let mut program = start_with_faults(&mut command, &json!({"rules": [rule]}));
            let mut client = first_client(&mut program, address)
                .await
                .expect("the program ended before it listened");
            wait_until("the watch is open", || {
                discovery.watch_requests.borrow().len() == 1
            })
            .await;
            assert_eq!(
                client.exchange(&request("unsafe", "", "")).await.body,
                b"served",
                "{failure}"
            );
        }
    });
}

/// The first three attempts to open or lock the lock file fail. The program must create and lock
/// the file once the folder works again, so that processes find each other.
#[test]
fn a_lock_file_that_fails_temporarily_is_locked_later() {
    run_test(async {
        for (call, failure) in [("open", "EIO"), ("open", "ENOSPC"), ("lock", "EIO")] {
            let endpoint = TestEndpoint::start([ok("served")]).await;
            let discovery = TestDiscovery::without_updates().await;
            let port = reserve_port();
            let address = port.local_addr().expect("no local address");
            let name = format!("folder-{call}-{failure}");
            let folder = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(&name);
            std::fs::create_dir_all(&folder).expect("cannot create the folder");
            let mut command = program_command(
                &configuration_at(address, &discovery, from_ref(&endpoint)),
                &format!("{name}.json"),
            )
            .0;
            command.env("TMPDIR", &folder);
            let path = if call == "open" {
                "nettleworks.lock"
            } else {
                ""
            };
            let rule = json!({"call": call, "path": path, "failure": failure, "most": 3});
            let mut program = start_with_faults(&mut command, &json!({"rules": [rule]}));
            first_client(&mut program, address)
                .await
                .expect("the program ended before it listened");
            let file = std::fs::File::create(folder.join("nettleworks.lock"))
                .expect("cannot create the file");
            wait_until("the program has locked the file", || {
                let is_locked = file.try_lock().is_err();
                file.unlock().expect("cannot unlock the file");
                is_locked
            })
            .await;
        }
    });
}

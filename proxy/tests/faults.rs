//! The program while system calls fail: a preloaded library lets them fail by a schedule.

mod common;

use common::*;
use serde_json::json;
use std::net::SocketAddr;
use std::slice::from_ref;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::sleep;

/// A configuration for these hosts at an address that is kept for it.
fn at(address: SocketAddr, discovery: &Discovery, hosts: &[Host]) -> String {
    configuration(discovery.address, hosts, |config| config["listen"] = address.to_string().into())
}

/// The program's first client, once it listens; `None` if it ends instead.
async fn first_client(program: &mut Started, address: SocketAddr) -> Option<Client> {
    loop {
        if let Ok(stream) = TcpStream::connect(address).await {
            return Some(Reader::new(stream));
        }
        if program.0.try_wait().expect("it can be waited for").is_some() {
            return None;
        }
        sleep(Duration::from_millis(5)).await;
    }
}

/// The system may be out of buffers or descriptors for a moment as the program starts: it tries again.
#[test]
fn a_socket_call_that_fails_for_a_moment_does_not_end_the_start() {
    run(async {
        let host = Host::start([ok("served")]).await;
        let discovery = Discovery::quiet().await;
        for failure in ["ENOBUFS", "ENFILE", "EMFILE", "ENOMEM"] {
            let port = port();
            let address = port.local_addr().expect("an address");
            let mut command =
                program(&at(address, &discovery, from_ref(&host)), &format!("socket-{failure}.json")).0;
            let failures = json!({"rules": [{"call": "socket", "failure": failure, "most": 3}]});
            let mut program = start_with(&mut command, &failures);
            let mut client = first_client(&mut program, address).await.expect("it starts");
            assert_eq!(client.ask(&request("unsafe", "", "")).await.body, b"served", "{failure}");
        }
    });
}

/// A read may bring less than there is, and the event queue tells of bytes only once: what is left is read all the same, of
/// requests, answers and the list.
#[test]
fn a_short_read_leaves_nothing_unread() {
    run(async {
        let (host, other) = (Host::start([ok(&"a".repeat(5_000))]).await, Host::start([ok("b")]).await);
        let discovery = Discovery::quiet().await;
        let (port, operators) = (port(), self::port());
        let address = port.local_addr().expect("an address");
        let admin = operators.local_addr().expect("an address");
        let mut command = program(&at(address, &discovery, from_ref(&host)), "short.json").0;
        command.env("ROUTER_ADMIN", admin.to_string());
        let failures = json!({"rules": [{"call": "receive", "failure": "SHORT"}]});
        let mut program = start_with(&mut command, &failures);
        let mut client = first_client(&mut program, address).await.expect("it starts");
        for _ in 0..3 {
            let answer = client.ask(&request("keyed", "", &"c".repeat(3_000))).await;
            assert_eq!((answer.status(), answer.body.len()), (200, 5_000));
        }
        assert_eq!(host.seen.borrow()[0].body.len(), 3_000);
        // The name alone is longer than one read.
        let long = entry(&"n".repeat(2_000), other.address, "Ready");
        discovery.push(&chunk(&list(42, false, &[long]))).await;
        while figures(admin).await["members"] != 2 {}
    });
}

/// A connection that ended before it was accepted, or a system short of buffers, is no sign that nobody waits: those who have
/// come by the order to stop are answered.
#[test]
fn a_failure_to_accept_after_the_order_to_stop_turns_nobody_away() {
    const WAITING: usize = 8;
    for failure in ["ECONNABORTED", "ENOBUFS"] {
        run(async {
            let host = Host::start([Act::Stall]).await;
            let discovery = Discovery::quiet().await;
            let (port, operators) = (port(), self::port());
            let address = port.local_addr().expect("an address");
            let admin = operators.local_addr().expect("an address");
            let few = |config: &mut serde_json::Value| {
                config["listen"] = address.to_string().into();
                config["limits"]["sockets"] = 70.into();
            };
            let text = configuration(discovery.address, from_ref(&host), few);
            let places = client_proxy::config::Config::parse(&text).expect("good").max_client_connections();
            let mut command = program(&text, &format!("accept-{failure}.json")).0;
            command.env("ROUTER_ADMIN", admin.to_string());
            let failures = json!({"rules": [{"call": "accept", "failure": failure, "share": 0.5}]});
            let mut program = start_with(&mut command, &failures);
            let mut clients = vec![first_client(&mut program, address).await.expect("it starts")];
            while clients.len() < places + WAITING {
                clients.push(Reader::new(TcpStream::connect(address).await.expect("connected")));
            }
            for client in &mut clients {
                client.send(&request("free", "", "")).await;
            }
            pending(admin, places as u64).await;
            program.stop();
            for client in &mut clients {
                assert!(client.message().await.is_some(), "{failure}: it gets its answer");
            }
            assert!(program.ends().await);
        });
    }
}

/// The file of the configuration may not be to be read just as the signal comes, which is not sent again.
#[test]
fn a_new_configuration_that_cannot_be_read_at_once_is_read_again() {
    for failure in ["ENFILE", "EIO", "ENOENT"] {
        run(async {
            let host = Host::start([ok("served")]).await;
            let (old, new) = (Discovery::quiet().await, Discovery::quiet().await);
            let port = port();
            let address = port.local_addr().expect("an address");
            let name = format!("reload-{failure}.json");
            let (mut command, path) = program(&at(address, &old, from_ref(&host)), &name);
            let failures =
                json!({"rules": [{"call": "open", "path": name, "failure": failure, "after": 1, "most": 3}]});
            let mut program = start_with(&mut command, &failures);
            first_client(&mut program, address).await.expect("it starts");
            std::fs::write(path, at(address, &new, from_ref(&host))).expect("written");
            program.signal("HUP");
            eventually("the new discovery is watched", || new.asked.borrow().len() == 1).await;
        });
    }
}

/// No local port or no way for the moment is not the server's fault: it is tried again, and the server is not set aside.
#[test]
fn a_connection_that_fails_for_the_moment_is_tried_again() {
    run(async {
        for failure in ["EADDRNOTAVAIL", "ENETUNREACH", "ENOBUFS"] {
            let host = Host::start([ok("served")]).await;
            let discovery = Discovery::quiet().await;
            let port = port();
            let address = port.local_addr().expect("an address");
            let name = format!("connect-{failure}.json");
            let mut command = program(&at(address, &discovery, from_ref(&host)), &name).0;
            // The first is the watch's.
            let rule = json!({"call": "connect", "failure": failure, "after": 1, "most": 2});
            let mut program = start_with(&mut command, &json!({"rules": [rule]}));
            let mut client = first_client(&mut program, address).await.expect("it starts");
            eventually("the watch is open", || discovery.asked.borrow().len() == 1).await;
            assert_eq!(client.ask(&request("unsafe", "", "")).await.body, b"served", "{failure}");
        }
    });
}

/// The folder in which processes of the program see each other may fail for a while: they see each other as soon as it works.
#[test]
fn a_folder_that_fails_for_the_moment_is_used_later() {
    run(async {
        for (call, failure) in [("open", "EIO"), ("open", "ENOSPC"), ("lock", "EIO")] {
            let host = Host::start([ok("served")]).await;
            let discovery = Discovery::quiet().await;
            let port = port();
            let address = port.local_addr().expect("an address");
            let name = format!("folder-{call}-{failure}");
            let folder = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(&name);
            std::fs::create_dir_all(&folder).expect("a folder");
            let mut command = program(&at(address, &discovery, from_ref(&host)), &format!("{name}.json")).0;
            command.env("TMPDIR", &folder);
            let path = if call == "open" { "nettleworks.lock" } else { "" };
            let rule = json!({"call": call, "path": path, "failure": failure, "most": 3});
            let mut program = start_with(&mut command, &json!({"rules": [rule]}));
            first_client(&mut program, address).await.expect("it starts");
            let file = std::fs::File::create(folder.join("nettleworks.lock")).expect("a file");
            eventually("it holds its lock", || {
                let is_held = file.try_lock().is_err();
                file.unlock().expect("unlocked");
                is_held
            })
            .await;
        }
    });
}

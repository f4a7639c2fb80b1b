//! The program's start and stop, as a process.

mod common;

use common::*;
use std::io::{BufRead, BufReader, Read as _};
use std::process::{Command, Stdio};
use std::slice::from_ref;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::sleep;

#[test]
fn the_program_serves_and_ends_well_on_sigterm() {
    run(async {
        let host = Host::start([ok("served"), Act::Stall]).await;
        let discovery = Discovery::quiet().await;
        let port = port();
        let address = port.local_addr().expect("an address");
        let config = configuration(discovery.address, from_ref(&host), |config| {
            config["listen"] = address.to_string().into();
        });
        let mut child = program(&config, "good.json").0.spawn().expect("it starts");
        let mut client = loop {
            match TcpStream::connect(address).await {
                Ok(stream) => break Reader::new(stream),
                Err(_) => sleep(Duration::from_millis(5)).await,
            }
        };
        assert_eq!(client.ask(&request("unsafe", "", "")).await.body, b"served");
        // Its time is longer than a stop may take: it gets its answer early.
        let mut stuck = Reader::new(TcpStream::connect(address).await.expect("the program accepts"));
        stuck.send(&request("unsafe", "", "")).await;
        eventually("the host has it", || host.count() == 2).await;
        // A second order, and a new configuration beside it, change nothing.
        for order in ["-TERM", "-HUP", "-TERM"] {
            let sent = Command::new("kill").args([order, &child.id().to_string()]).status();
            assert!(sent.expect("kill runs").success());
        }
        let code = loop {
            match child.try_wait().expect("it can be waited for") {
                Some(status) => break status.code(),
                None => sleep(Duration::from_millis(5)).await,
            }
        };
        assert_eq!(code, Some(0));
        assert_eq!(stuck.message().await.expect("an answer").status(), 502);
        let mut log = String::new();
        child.stderr.take().expect("piped").read_to_string(&mut log).expect("text");
        assert!(!log.contains("panicked"), "{log}");
        assert!(client.message().await.is_none(), "closed between requests");
    });
}

/// What a call of operators gets, or nothing while nobody listens there.
async fn call(admin: &str, line: &str) -> String {
    let mut answer = String::new();
    if let Ok(mut stream) = TcpStream::connect(admin).await {
        stream.write_all(line.as_bytes()).await.expect("written");
        stream.read_to_string(&mut answer).await.expect("an answer");
    }
    answer
}

/// The new process takes over the address; the old one answers what comes on its connections, and ends.
#[test]
fn a_new_process_takes_over_from_the_old_one() {
    run(async {
        let host = Host::start([ok("served"), Act::Stall, ok("served")]).await;
        let discovery = Discovery::quiet().await;
        let port = port();
        let address = port.local_addr().expect("an address");
        let config = configuration(discovery.address, from_ref(&host), |config| {
            config["listen"] = address.to_string().into();
        });
        let folder = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("beside");
        std::fs::create_dir_all(&folder).expect("a folder");
        let start = |admin: &str| {
            let mut command = program(&config, "beside.json").0;
            command.env("TMPDIR", &folder).env("ROUTER_ADMIN", admin).stderr(Stdio::null());
            Started(command.spawn().expect("it starts"))
        };
        let admins = [self::port(), self::port()];
        let [here, there] = admins.each_ref().map(|port| port.local_addr().expect("an address").to_string());
        let (here, there) = (here.as_str(), there.as_str());
        let mut old = start(here);
        while call(here, "health\n").await != "SUCCESS yes\n" {}
        let mut client = Reader::new(TcpStream::connect(address).await.expect("the program accepts"));
        assert_eq!(client.ask(&request("unsafe", "", "")).await.body, b"served");
        let mut busy = Reader::new(TcpStream::connect(address).await.expect("the program accepts"));
        busy.send(&request("unsafe", "", "")).await;
        eventually("the host has it", || host.count() == 2).await;
        let mut new = start(there);
        while call(there, "health\n").await != "SUCCESS yes\n" {}
        assert!(Command::new("kill").arg(old.0.id().to_string()).status().expect("kill runs").success());
        while call(here, "health\n").await == "SUCCESS yes\n" {}
        for _ in 0..16 {
            let mut next = Reader::new(TcpStream::connect(address).await.expect("the program accepts"));
            let answer = next.ask(&request("unsafe", "", "")).await;
            assert_eq!((answer.status(), answer.header("connection")), (200, None), "it is the new one's");
        }
        assert!(client.message().await.is_none(), "closed between requests");
        host.release.notify_one();
        let last = busy.message().await.expect("an answer");
        assert_eq!((last.status(), last.header("connection")), (200, Some("close")), "it is the old one's");
        let ended = loop {
            match old.0.try_wait().expect("it can be waited for") {
                Some(status) => break status,
                None => sleep(Duration::from_millis(5)).await,
            }
        };
        assert!(ended.success());
        assert_eq!(call(there, "health\n").await, "SUCCESS yes\n");
        assert!(new.0.try_wait().expect("it can be waited for").is_none(), "it still runs");
    });
}

/// SIGHUP must not end the program. It reads its file again and goes on with the hosts that it has; it watches
/// the new discovery at once, from the version in hand, and what the old one still says no longer counts.
#[test]
fn a_new_configuration_moves_the_watch_and_keeps_the_hosts() {
    run(async {
        let (host, other) = (Host::start([ok("first")]).await, Host::start([ok("second")]).await);
        let (old, new) = (Discovery::quiet().await, Discovery::quiet().await);
        let port = port();
        let address = port.local_addr().expect("an address");
        let config = |discovery: &Discovery| {
            configuration(discovery.address, from_ref(&host), |config| {
                config["listen"] = address.to_string().into();
            })
        };
        let (mut command, path) = program(&config(&old), "reload.json");
        let mut child = command.spawn().expect("it starts");
        let id = child.id().to_string();
        let hangup = || {
            let sent = Command::new("kill").args(["-HUP", &id]).status();
            assert!(sent.expect("kill runs").success());
        };
        eventually("the old watch is open", || old.asked.borrow().len() == 1).await;
        let mut client = Reader::new(TcpStream::connect(address).await.expect("the program accepts"));
        assert_eq!(client.ask(&request("unsafe", "", "")).await.body, b"first");
        std::fs::write(&path, "{ broken").expect("written");
        hangup();
        // Read in order: the line about the broken file comes before that of the good one.
        let mut log = BufReader::new(child.stderr.take().expect("piped")).lines();
        while !log.next().expect("a line").expect("text").contains("configuration kept") {}
        std::fs::write(&path, config(&new)).expect("written");
        hangup();
        eventually("the new watch is open", || new.asked.borrow().len() == 1).await;
        assert_eq!(new.asked.borrow()[0], "GET /catalog/members?follow=1&since=41 HTTP/1.1");
        assert_eq!(client.ask(&request("unsafe", "", "")).await.body, b"first");
        eventually("the old watch is closed", || old.is_left()).await;
        new.push(&chunk(&list(42, true, &[entry("s-9", other.address, "Ready")]))).await;
        while client.ask(&request("unsafe", "", "")).await.body != b"second" {}
        child.kill().expect("it still runs");
        child.wait().expect("it can be waited for");
    });
}

#[test]
fn a_broken_configuration_ends_it_with_one_line() {
    let good = run(async { configuration(Discovery::quiet().await.address, &[], |_| ()) });
    let cases = [
        ("{", "EOF"),
        (&good.replace("127.0.0.1:0", "nowhere"), "address"),
        (&good.replace("8c1f", "seed"), "seed"),
        (&good.replace("1024", "12"), "sockets"),
        (&good.replacen('{', "{\"admin\":\"nowhere\",", 1), "address"),
        (&good.replacen('{', "{\"admin\":\"192.0.2.1:9600\",", 1), "192.0.2.1:9600"),
        (&good.replace("\"cold_us\"", "\"cold_hs\""), "cold_us"),
        (&good.replace("\"memory_mb\":192", "\"memory_mb\":2"), "2 MB"),
        (&good.replace("\"objective_us\":5000000", "\"objective_us\":0"), "objective_us"),
        (&good.replace("\"deadline_us\":9000000", "\"deadline_us\":-9"), "settings"),
        (&good.replace("\"connect_timeout_us\":1000000", "\"connect_timeout_us\":0"), "connect_timeout_us"),
    ];
    for (number, (config, reason)) in cases.iter().enumerate() {
        let output = program(config, &format!("broken-{number}.json")).0.output().expect("it runs");
        let text = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(!output.status.success(), "{config}");
        assert_eq!(text.lines().count(), 1, "{text}");
        assert!(text.contains(reason) && !text.contains("panicked"), "{text}");
    }
}

/// Descriptors that a process holds.
fn descriptors(process: u32) -> usize {
    std::fs::read_dir(format!("/proc/{process}/fd")).expect("it runs").count()
}

/// Clients that say nothing, requests that are stuck, and silent callers of operators fill all that each may hold while
/// discovery is down. The process is not let have one descriptor more than it was told of. When discovery returns the watch
/// is opened, what it says counts, operators are answered, and requests find places on both sides.
#[test]
fn descriptors_are_kept_for_the_watch_servers_and_operators() {
    const SOCKETS: usize = 256;
    for way in ["ask", "push"] {
        run(async {
            let mut hosts = Vec::new();
            for _ in 0..24 {
                hosts.push(Host::start([Act::Stall]).await);
            }
            let [listen, admin, discovery] = [port(), port(), port()];
            let [address, operators, told] =
                [&listen, &admin, &discovery].map(|port| port.local_addr().expect("an address"));
            let change = |config: &mut serde_json::Value| {
                config["listen"] = address.to_string().into();
                config["admin"] = operators.to_string().into();
                config["limits"]["sockets"] = SOCKETS.into();
                config["settings"]["discovery"] = way.into();
            };
            let config = configuration(told, &hosts, change);
            let parsed = client_proxy::config::Config::parse(&config).expect("a good configuration");
            let (places, to_hosts) = (parsed.max_client_connections(), parsed.max_endpoint_connections());
            let path = program(&config, &format!("full-{way}.json")).1;
            let mut command = Command::new("sh");
            let bound = format!("ulimit -n {SOCKETS}; exec \"$0\"");
            command.args(["-c", &bound, env!("CARGO_BIN_EXE_client-proxy")]).env("ROUTER_CONFIG", &path);
            let log = path.with_extension("log");
            command.stdout(Stdio::null()).stderr(std::fs::File::create(&log).expect("a log"));
            let process = Started(command.spawn().expect("it starts"));
            let connect = async || loop {
                match TcpStream::connect(address).await {
                    Ok(stream) => break Reader::new(stream),
                    Err(_) => sleep(Duration::from_millis(5)).await,
                }
            };
            // As many requests as there are places for connections to servers, and then clients that say nothing.
            let mut stuck = Vec::new();
            for _ in 0..to_hosts {
                stuck.push(connect().await);
                stuck.last_mut().expect("one").send(&request("free", "", "")).await;
            }
            eventually("all are out", || hosts.iter().map(Host::count).sum::<usize>() == to_hosts).await;
            let mut silent = Vec::new();
            for _ in 0..2 * places {
                silent.push(connect().await);
            }
            let mut callers = Vec::new();
            for _ in 0..client_proxy::config::MAX_OPERATOR_CONNECTIONS {
                callers.push(TcpStream::connect(operators).await.expect("operators are let in"));
            }
            eventually("it holds what it may", || {
                descriptors(process.0.id()) >= to_hosts + places + callers.len()
            })
            .await;
            // It comes back with the first of them draining.
            let entries: Vec<_> = (0..)
                .zip(&hosts)
                .map(|(number, host)| {
                    entry(
                        &format!("s-{number}"),
                        host.address,
                        if number == 0 { "Terminating" } else { "Ready" },
                    )
                })
                .collect();
            let discovery = Discovery::on(
                discovery.listen(8).expect("it listens"),
                [format!("{WATCH}{}", chunk(&list(42, true, &entries)))],
            );
            eventually("the watch is open", || discovery.asked.borrow().len() == 1).await;
            while figures(operators).await["members_unavailable"] == 0 {}
            let drained = hosts[0].count();
            for host in &hosts {
                *host.acts.borrow_mut() = [ok("served")].into();
                host.release.notify_waiters();
            }
            for client in &mut stuck {
                assert_eq!(client.message().await.expect("an answer").status(), 200, "it has its place");
            }
            for _ in 0..3 * hosts.len() {
                let answer = connect().await.ask(&request("unsafe", "", "")).await;
                assert_eq!(answer.status(), 200, "it finds a place");
            }
            assert_eq!(hosts[0].count(), drained, "it gets nothing more");
            let log = std::fs::read_to_string(&log).expect("a log");
            assert!(!log.contains("os error 24"), "{log}");
            drop((silent, callers, listen, admin));
        });
    }
}

/// Nobody reads the log, and its pipe is full: requests are answered all the same.
#[test]
fn a_log_that_nobody_reads_holds_nothing_up() {
    run(async {
        let host = Host::start([ok("served")]).await;
        let discovery = Discovery::quiet().await;
        let port = port();
        let address = port.local_addr().expect("an address");
        let config = configuration(discovery.address, from_ref(&host), |config| {
            config["listen"] = address.to_string().into();
        });
        let mut command = program(&config, "unread-log.json").0;
        // Some hundred bytes a request, of the 64 KiB that a pipe holds.
        let _program = Started(command.env("ROUTER_TRACE", "1").spawn().expect("it starts"));
        let mut client = loop {
            match TcpStream::connect(address).await {
                Ok(stream) => break Reader::new(stream),
                Err(_) => sleep(Duration::from_millis(5)).await,
            }
        };
        for _ in 0..500 {
            assert_eq!(client.ask(&request("unsafe", "", "")).await.body, b"served");
        }
    });
}

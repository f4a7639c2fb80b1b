//! The end of listening. A process that is started meanwhile holds all sockets for a moment, so no test here starts one.

mod common;

use common::*;
use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::slice::from_ref;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// A stop must answer all that was taken, take new connections for as long as they come, and close the rest.
#[test]
fn a_stop_answers_what_was_taken() {
    run(async {
        let host = Host::start([ok("before"), Act::Stall, ok("after")]).await;
        let mut proxy = Proxy::start(from_ref(&host)).await;
        let (mut idle, mut busy) = (proxy.client().await, proxy.client().await);
        let mut half = proxy.client().await;
        assert_eq!(idle.ask(&request("unsafe", "", "")).await.body, b"before");
        busy.send(&request("unsafe", "", "").replace("8000", "1500")).await;
        half.send("POST /api HTTP/1.1\r\nX-Call").await;
        eventually("the host has it", || host.count() == 2).await;
        drop(proxy.stop.take());
        let mut late = proxy.client().await;
        assert_eq!(late.ask(&request("unsafe", "", "")).await.body, b"after");
        assert_eq!(busy.message().await.expect("an answer").status(), 502);
        (&mut proxy.task).await.expect("it ends without a panic").expect("it listened");
        assert!(idle.message().await.is_none(), "closed between requests");
        assert!(TcpStream::connect(proxy.address).await.is_err(), "it no longer listens");
    });
}

/// A long answer goes on for as long as it takes: ending before it would cut it off. What comes whole long after the
/// order to stop is refused, as the process may be killed under a long answer to it.
#[test]
fn a_stop_waits_for_a_long_answer_and_refuses_what_comes_late() {
    run(async {
        const HALF: usize = 100_000;
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let host = Host { address, ..Host::start([Act::Stall]).await };
        let mut proxy = Proxy::start(from_ref(&host)).await;
        let (mut client, mut late) = (proxy.client().await, proxy.client().await);
        client.send(&request("free", "", "")).await;
        let mut stream = listener.accept().await.expect("the proxy connects").0;
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", 2 * HALF);
        stream.write_all(head.as_bytes()).await.expect("written");
        stream.write_all(&[b'a'; HALF]).await.expect("written");
        let text = request("unsafe", "", "body");
        late.send(&text[..text.len() - 1]).await;
        client.stream.readable().await.expect("the answer has begun");
        drop(proxy.stop.take());
        sleep(Duration::from_millis(900)).await;
        late.send("y").await;
        let answer = late.message().await.expect("an answer");
        assert_eq!((answer.status(), answer.header("retry-after").is_some()), (503, true));
        // Longer than any answer that is not long may take.
        sleep(Duration::from_secs(3)).await;
        stream.write_all(&[b'b'; HALF]).await.expect("written");
        let answer = client.message().await.expect("an answer");
        assert_eq!((answer.body.len(), answer.body.last()), (2 * HALF, Some(&b'b')));
        (&mut proxy.task).await.expect("it ends without a panic").expect("it listened");
    });
}

/// A call that is held waits for as long as its client does, but not for longer than the process has: the longest deadline,
/// or 3 s where it is longer, and 0.6 s of the 0.7 s that come before it is killed.
#[test]
fn a_stop_ends_what_is_held() {
    run(async {
        let host = Host::start([ok("served")]).await;
        let draining = list(42, true, &[entry("s-0", host.address, "Terminating")]);
        let discovery = Discovery::start([format!("{WATCH}{}", chunk(&draining))]).await;
        let mut proxy = Proxy::with(&discovery, &[], |config| {
            config["settings"]["classes"][2]["deadline_us"] = 20_000_000.into();
            config["settings"]["classes"][2]["late_value"] = 0.5.into();
        })
        .await;
        let mut held = proxy.client().await;
        held.send(&request("unsafe", "", "").replace("8000", "20000")).await;
        // Sent later and answered: the proxy has read the request before.
        while proxy.client().await.ask(HEALTH).await.status() != 200 {}
        let told = Instant::now();
        drop(proxy.stop.take());
        let answer = held.message().await.expect("an answer");
        assert_eq!((answer.status(), answer.header("connection")), (503, Some("close")));
        assert!(told.elapsed() < Duration::from_millis(3_700));
        assert_eq!(host.count(), 0);
        (&mut proxy.task).await.expect("it ends without a panic").expect("it listened");
    });
}

/// A connection that waits to be accepted, as all places are taken, has been taken all the same: the listener is not closed
/// under it, which would reset it.
#[test]
fn a_stop_answers_what_waits_to_be_accepted() {
    run(async {
        let host = Host::start([Act::Stall]).await;
        let few = |config: &mut serde_json::Value| {
            config["limits"]["sockets"] = 70.into();
            config["admin"] = "127.0.0.1:0".into();
        };
        let discovery = Discovery::quiet().await;
        let mut proxy = Proxy::with(&discovery, from_ref(&host), few).await;
        let admin = proxy.admin.expect("an address for operators");
        let text = configuration(discovery.address, &[], few);
        let places = client_proxy::config::Config::parse(&text).expect("good").max_client_connections();
        let mut clients = Vec::new();
        for number in 1..=places {
            clients.push(proxy.client().await);
            clients[number - 1].send(&request("free", "", "")).await;
            while figures(admin).await["pending"] != number {}
        }
        let mut waiting = proxy.client().await;
        waiting.send(&request("free", "", "")).await;
        drop(proxy.stop.take());
        assert_eq!(waiting.message().await.expect("an answer").status(), 503);
        (&mut proxy.task).await.expect("it ends without a panic").expect("it listened");
    });
}

/// What is unread when a connection ends must not reset it: the answer before may still be on its way.
#[test]
fn the_end_of_a_connection_does_not_cross_what_came() {
    run(async {
        let host = Host::start([ok("served")]).await;
        let mut proxy = Proxy::start(from_ref(&host)).await;
        assert_eq!(proxy.client().await.ask(HEALTH).await.status(), 200);
        let behind = "x".repeat(300_000);
        let mut clients = Vec::new();
        for text in [request("unheard-of", "", ""), "GET nowhere at all\r\n\r\n".to_owned()] {
            let stream = std::net::TcpStream::connect(proxy.address).expect("connected");
            std::io::Write::write_all(&mut &stream, format!("{text}{behind}").as_bytes()).expect("written");
            stream.set_nonblocking(true).expect("nonblocking");
            clients.push(Reader::new(TcpStream::from_std(stream).expect("a stream")));
        }
        for client in &clients {
            client.stream.readable().await.expect("it is answered");
        }
        drop(proxy.stop.take());
        (&mut proxy.task).await.expect("it ends without a panic").expect("it listened");
        for client in &mut clients {
            assert!(client.stream.take_error().expect("a state").is_none(), "it is reset");
            assert_eq!(client.message().await.expect("an answer").status(), 400);
            assert_eq!(client.stream.read(&mut [0]).await.expect("an end"), 0);
        }
    });
}

/// A process that waits for its first list has taken nothing: it ends at once, also beside another that serves.
#[test]
fn a_stop_before_the_first_list_ends_the_process() {
    run(async {
        for beside in [false, true] {
            let folder = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("unlisted-{beside}"));
            std::fs::create_dir_all(&folder).expect("a folder");
            let other = match beside {
                true => Some(
                    client_proxy::process_handoff::announce_presence(&folder, |_| ()).await.expect("shown"),
                ),
                false => None,
            };
            let discovery = Discovery::quiet().await;
            let config = configuration(discovery.address, &[], |_| ());
            let config = client_proxy::config::Config::parse(&config).expect("a good configuration");
            let clients = client_proxy::process_handoff::bind(config.listen).expect("bound");
            let listeners = client_proxy::Listeners { clients, operators: None };
            let (stop, stopped) = tokio::sync::oneshot::channel::<()>();
            let stopped = async {
                let _ = stopped.await;
            };
            let run = client_proxy::run(config, listeners, Some(folder), async || None, stopped);
            let task = spawn_local(run);
            eventually("it asks for a list", || !discovery.asked.borrow().is_empty()).await;
            let told = Instant::now();
            drop(stop);
            task.await.expect("no panic").expect("no error");
            assert!(told.elapsed() < Duration::from_secs(1), "beside another: {beside}");
            drop(other);
        }
    });
}

/// A proxy that was killed leaves connections at its address; the next one must start there at once.
#[test]
fn the_address_can_be_used_again_at_once() {
    run(async {
        // An address that no other test uses: its port is nobody's meanwhile.
        let bind = |address| client_proxy::process_handoff::bind(address).expect("bound");
        let first = bind("127.0.0.2:0".parse().expect("an address")).listen(8).expect("it listens");
        let address = first.local_addr().expect("an address");
        let client = TcpStream::connect(address).await.expect("connected");
        drop(first.accept().await.expect("accepted"));
        drop(first);
        bind(address).listen(8).expect("it listens again");
        drop(client);
    });
}

/// Once led away, connections come to the newer listener alone; when that is gone, to the older one again.
#[test]
fn connections_are_led_to_the_newer_listener() {
    run(async {
        let bind = |address| client_proxy::process_handoff::bind(address).expect("bound");
        let old = bind("127.0.0.3:0".parse().expect("an address")).listen(64).expect("it listens");
        let address = old.local_addr().expect("an address");
        let new = bind(address).listen(64).expect("it listens too");
        client_proxy::process_handoff::steer_to_newer_process(&old).expect("led away");
        for _ in 0..32 {
            let _client = TcpStream::connect(address).await.expect("connected");
            new.accept().await.expect("accepted");
        }
        drop(new);
        let _client = TcpStream::connect(address).await.expect("connected");
        old.accept().await.expect("accepted");
    });
}

/// A process without a list leaves clients to the one beside it, for as long as that is there.
#[test]
fn a_process_without_a_list_does_not_listen_beside_another() {
    run(async {
        let folder = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("listless");
        std::fs::create_dir_all(&folder).expect("a folder");
        let other = client_proxy::process_handoff::announce_presence(&folder, |_| ()).await.expect("shown");
        let config = configuration(Discovery::quiet().await.address, &[], |_| ());
        let config = client_proxy::config::Config::parse(&config).expect("a good configuration");
        let clients = client_proxy::process_handoff::bind(config.listen).expect("bound");
        let address = clients.local_addr().expect("an address");
        let listeners = client_proxy::Listeners { clients, operators: None };
        let stop = std::future::pending::<()>();
        let proxy = spawn_local(client_proxy::run(config, listeners, Some(folder), async || None, stop));
        sleep(Duration::from_millis(2_500)).await;
        assert!(TcpStream::connect(address).await.is_err(), "clients are the other's");
        drop(other);
        while TcpStream::connect(address).await.is_err() {
            sleep(Duration::from_millis(5)).await;
        }
        proxy.abort();
    });
}

/// Of two processes one has the limits to itself when the other ends.
#[test]
fn a_process_knows_whether_it_is_alone() {
    run(async {
        let folder = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("presence");
        std::fs::create_dir_all(&folder).expect("a folder");
        use client_proxy::process_handoff::announce_presence as show;
        let first = show(&folder, |_| panic!("it is alone")).await.expect("shown");
        let told = std::cell::RefCell::new(Vec::new());
        let mut first = Some(first);
        let shared = |shared: bool| {
            told.borrow_mut().push(shared);
            first.take();
        };
        let _second = show(&folder, shared).await.expect("shown");
        assert_eq!(*told.borrow(), [true, false]);
    });
}

/// The connection of a second attempt is being opened when the order to stop comes. Up in time, it is used; if not, the
/// request is refused before the process is killed, as it has not run. Either way the process ends.
#[test]
fn a_stop_waits_for_the_connection_of_a_second_attempt_while_it_may() {
    for comes_up in [true, false] {
        run(async {
            let (stuck, full, listener) = never_up().await;
            let first = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            let address = first.local_addr().expect("an address");
            let discovery = Discovery::quiet().await;
            let known = [Host { address, ..Host::start([Act::Stall]).await }];
            let mut proxy = Proxy::with(&discovery, &known, |config| {
                config["admin"] = "127.0.0.1:0".into();
                config["settings"]["limits"]["connect_timeout_us"] = 20_000_000.into();
            })
            .await;
            let admin = proxy.admin.expect("an address for operators");
            let mut client = proxy.client().await;
            client.send(&request("unsafe", "", "the body")).await;
            let mut connection = Reader::new(first.accept().await.expect("the proxy connects").0);
            connection.message().await.expect("the first attempt");
            let more = list(42, false, &[entry("s-1", stuck.address, "Ready")]);
            discovery.push(&chunk(&more)).await;
            while figures(admin).await["members"] != 2 {}
            let Act::Say(away) = turn_away() else { return };
            connection.stream.write_all(away.as_bytes()).await.expect("written");
            eventually("the second is being opened", || is_being_opened(stuck.address)).await;
            let told = Instant::now();
            drop(proxy.stop.take());
            while call(admin, "health\n").await.starts_with("SUCCESS") {}
            let (mut full, mut listener) = (Some(full), Some(listener));
            let host = listener.take_if(|_| comes_up).map(|listener| {
                full.take();
                Host::on(listener, [ok("served")])
            });
            let answer = client.message().await.expect("an answer");
            assert_eq!(answer.header("connection"), Some("close"));
            match &host {
                Some(host) => {
                    assert_eq!((answer.status(), answer.body.as_slice()), (200, &b"served"[..]));
                    assert_eq!(host.count(), 1);
                }
                None => assert_eq!((answer.status(), answer.header("retry-after").is_some()), (503, true)),
            }
            // 3 s for requests, 0.6 s on top, and 0.1 s to spare before it is killed.
            assert!(told.elapsed() < Duration::from_millis(3_700));
            (&mut proxy.task).await.expect("it ends without a panic").expect("it listened");
            assert!(connection.stream.try_read(&mut [0]).is_err(), "the first host gets nothing more");
        });
    }
}

/// Clients go on sending on every connection: the next request as soon as the last is answered, or one after the other
/// without waiting, so that no connection is ever idle. What the host has seen is answered, and not by a refusal; what gets
/// no answer was not sent on; and the process ends all the same.
#[test]
fn a_stop_ends_while_clients_go_on_sending() {
    run(async {
        let host = Host::start([ok("served")]).await;
        let mut proxy = Proxy::start(from_ref(&host)).await;
        let answered = Rc::new(RefCell::new(HashMap::new()));
        let mut clients = Vec::new();
        for number in 0..24 {
            let (read, mut write) = proxy.client().await.stream.into_split();
            let (go, sent) = (Rc::new(Notify::new()), Rc::new(RefCell::new(VecDeque::new())));
            let (next, sending) = (go.clone(), sent.clone());
            let writer = spawn_local(async move {
                loop {
                    let text = request("unsafe", "", "");
                    let id = text.split("\r\n").find_map(|line| line.strip_prefix("X-Call-Id: "));
                    sending.borrow_mut().push_back(id.expect("an id").to_owned());
                    if write.write_all(text.as_bytes()).await.is_err() {
                        return;
                    }
                    if number % 2 == 0 {
                        next.notified().await;
                    }
                }
            });
            let answered = answered.clone();
            clients.push(spawn_local(async move {
                let mut reader = Reader::new(read);
                while let Some(answer) = reader.message().await {
                    let id: String = sent.borrow_mut().pop_front().expect("an answer to something");
                    answered.borrow_mut().insert(id, answer.status());
                    go.notify_one();
                }
                writer.abort();
            }));
        }
        eventually("all are at it", || answered.borrow().len() > 240).await;
        drop(proxy.stop.take());
        (&mut proxy.task).await.expect("it ends without a panic").expect("it listened");
        for client in clients {
            client.await.expect("no panic");
        }
        for seen in host.seen.borrow().iter() {
            let status = answered.borrow().get(seen.header("x-call-id").expect("an id")).copied();
            // On a machine that is very busy an answer may not be there by the end.
            assert!([Some(200), Some(502)].contains(&status), "{status:?}: {seen:?}");
        }
    });
}

//! Clients that leave while their request waits, by a close or a reset: nothing of it goes out any more, and what it held
//! is free.

mod common;

use client_proxy::config::Config;
use common::*;
use std::net::SocketAddr;
use std::slice::from_ref;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{spawn_local, yield_now};
use tokio::time::sleep;

/// Two that are out, on a host that answers when it is told to.
async fn two_out(proxy: &Proxy, host: &Host) -> (Client, Client) {
    let (mut first, mut second) = (proxy.client().await, proxy.client().await);
    first.send(&request("free", "", "")).await;
    eventually("the first is out", || host.count() == 1).await;
    second.send(&request("free", "", "")).await;
    eventually("the second is out", || host.count() == 2).await;
    (first, second)
}

/// Held as all hosts are full, with and without bytes of a next request behind it.
#[test]
fn a_held_request_of_a_client_that_left_is_not_sent() {
    for way in WAYS {
        for behind in ["", "GET /api HT", &request("free", "", "")] {
            run(async {
                let host = Host::start([Act::Stall]).await;
                let (proxy, admin) = started(from_ref(&host), narrow).await;
                let (mut first, mut second) = two_out(&proxy, &host).await;
                let (mut client, text) = (proxy.client().await, request("keyed", "", "held"));
                client.send(&format!("{text}{behind}")).await;
                pending(admin, 3).await;
                leave(client, way);
                pending(admin, 2).await;
                host.release.notify_one();
                host.release.notify_one();
                assert_eq!(first.message().await.expect("an answer").status(), 200);
                assert_eq!(second.message().await.expect("an answer").status(), 200);
                host.acts.borrow_mut().push_front(ok("later"));
                assert_eq!(proxy.client().await.ask(&text).await.body, b"later", "its id is free");
                assert_eq!(host.count(), 3, "{way:?}, {behind}");
                assert_eq!(ended(admin).await.iter().sum::<u64>(), 4);
            });
        }
    }
}

/// Waiting for a connection, which comes up when the client has left.
#[test]
fn a_request_of_a_client_that_left_is_not_sent_on_a_late_connection() {
    run(async {
        let cases = WAYS.into_iter().flat_map(|way| ["", "GET /api HT"].map(|behind| (way, behind)));
        let cases: Vec<_> =
            cases.map(|(way, behind)| spawn_local(leaves_before_its_connection(way, behind))).collect();
        for case in cases {
            case.await.expect("it holds");
        }
    });
}

async fn leaves_before_its_connection(way: Leave, behind: &str) {
    let (stuck, full, listener) = never_up().await;
    let (proxy, admin) = started(from_ref(&stuck), |config| {
        config["settings"]["limits"]["connect_timeout_us"] = 20_000_000.into();
    })
    .await;
    let (mut client, text) = (proxy.client().await, request("unsafe", "", "the body"));
    client.send(&format!("{text}{behind}")).await;
    pending(admin, 1).await;
    leave(client, way);
    pending(admin, 0).await;
    let mut client = proxy.client().await;
    client.send(&text.replace("the body", "new body")).await;
    pending(admin, 1).await;
    let host = Host::on(listener, [ok("served")]);
    drop(full);
    assert_eq!(client.message().await.expect("an answer").status(), 200);
    let bodies: Vec<_> = host.seen.borrow().iter().map(|seen| seen.body.clone()).collect();
    assert_eq!(bodies, [b"new body"], "{way:?}, {behind}");
    assert_eq!(ended(admin).await.iter().sum::<u64>(), 2);
}

/// Between two attempts: the first was turned away, and its host is left alone for a while.
#[test]
fn a_request_of_a_client_that_left_does_not_go_again() {
    run(async {
        let cases = WAYS.into_iter().flat_map(|way| ["", "GET /api HT"].map(|behind| (way, behind)));
        let cases: Vec<_> =
            cases.map(|(way, behind)| spawn_local(leaves_between_attempts(way, behind))).collect();
        for case in cases {
            case.await.expect("it holds");
        }
    });
}

async fn leaves_between_attempts(way: Leave, behind: &str) {
    let host = Host::start([turn_away(), ok("served")]).await;
    let (proxy, admin) = started(from_ref(&host), |_| ()).await;
    let (mut client, text) = (proxy.client().await, request("unsafe", "", "the body"));
    client.send(&format!("{text}{behind}")).await;
    eventually("it is turned away", || host.count() == 1).await;
    pending(admin, 1).await;
    leave(client, way);
    pending(admin, 0).await;
    let text = text.replace("the body", "new body");
    assert_eq!(proxy.client().await.ask(&text).await.status(), 200);
    assert_eq!(host.count(), 2, "{way:?}, {behind}");
    assert_eq!(host.seen.borrow()[1].body, b"new body");
}

fn unread(at: SocketAddr, from: SocketAddr) -> u64 {
    connection(at, from).expect("the connection").1
}

/// Sends pieces of a body until nobody reads them any more.
async fn send_until_unread(client: &mut Client, proxy: SocketAddr) {
    let from = client.stream.local_addr().expect("an address");
    loop {
        client.send(&"x".repeat(32 << 10)).await;
        let mut looks = 0..30;
        while looks.next().is_some() && unread(proxy, from) > 0 {
            sleep(Duration::from_millis(1)).await;
        }
        if looks.is_empty() {
            return;
        }
    }
}

/// Its body comes, but its host reads nothing of it any more: the client's end stands behind bytes that nobody reads.
#[test]
fn no_more_of_a_body_goes_out_when_its_client_has_left() {
    for way in WAYS {
        run(async {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            let address = listener.local_addr().expect("an address");
            let host = Host { address, ..Host::start([Act::Stall]).await };
            let (proxy, admin) = started(from_ref(&host), |_| ()).await;
            let mut client = proxy.client().await;
            client.send(&request("unsafe", "Content-Length: 30000000\r\n", "")).await;
            let stream = listener.accept().await.expect("the proxy connects").0;
            let near = stream.peer_addr().expect("the proxy's end");
            send_until_unread(&mut client, proxy.address).await;
            assert!(is_established(near, address));
            let left = Instant::now();
            leave(client, way);
            eventually("its attempt is over", || !is_established(near, address)).await;
            assert!(left.elapsed() < Duration::from_millis(300), "{way:?}");
            // It was not whole, so it counts nowhere.
            assert_eq!((figures(admin).await["pending"].clone(), ended(admin).await), (0.into(), [0; 3]));
            let _host = Host::on(listener, [ok("served")]);
            assert_eq!(proxy.client().await.ask(&request("unsafe", "", "")).await.status(), 200);
        });
    }
}

/// Come whole, together with its client's end.
#[test]
fn a_request_that_comes_with_its_clients_end_is_not_sent() {
    for way in WAYS {
        for behind in ["", "GET /api HT"] {
            run(async {
                let host = Host::start([ok("served")]).await;
                let (proxy, admin) = started(from_ref(&host), |_| ()).await;
                assert_eq!(proxy.client().await.ask(HEALTH).await.status(), 200);
                let text = request("unsafe", "", "");
                come_and_leave(proxy.address, &format!("{text}{behind}"), way);
                assert_eq!(proxy.client().await.ask(&text).await.status(), 200);
                assert_eq!(host.count(), 1, "{way:?}, {behind}");
                // Its end may be read before the request is taken; then it counts nowhere.
                let [completed, rejected, failed] = ended(admin).await;
                assert!((completed, failed) == (1, 0) && rejected <= 1, "{way:?}, {behind}");
                assert_eq!(figures(admin).await["pending"], 0);
            });
        }
    }
}

/// Not read yet, as its connection waits to be accepted while all places are taken.
#[test]
fn a_request_whose_client_left_before_it_was_accepted_is_not_sent() {
    for way in WAYS {
        run(async {
            let host = Host::start([Act::Stall]).await;
            let sockets = 70;
            let (proxy, admin) = started(from_ref(&host), |config| {
                config["limits"]["sockets"] = sockets.into();
            })
            .await;
            let text =
                configuration(proxy.address, &[], |config| config["limits"]["sockets"] = sockets.into());
            let places = Config::parse(&text).expect("a configuration").max_client_connections();
            let mut clients = Vec::new();
            for number in 1..=places {
                let mut client = proxy.client().await;
                client.send(&request("free", "", "")).await;
                pending(admin, number as u64).await;
                clients.push(client);
            }
            come_and_leave(proxy.address, &request("unsafe", "", "the body"), way);
            let last = TcpStream::connect(proxy.address).await.expect("it waits too");
            let mut last = Client::new(last);
            last.send(&request("unsafe", "", "new body")).await;
            clients.clear();
            host.acts.borrow_mut().push_front(ok("served"));
            while host.seen.borrow().iter().all(|seen| seen.body.is_empty()) {
                host.release.notify_one();
                yield_now().await;
            }
            assert_eq!(last.message().await.expect("an answer").status(), 200);
            let seen = host.seen.borrow();
            let bodies: Vec<_> =
                seen.iter().filter(|seen| !seen.body.is_empty()).map(|s| s.body.clone()).collect();
            assert_eq!(bodies, [b"new body"], "{way:?}");
        });
    }
}

/// A client that only ends its sending has left: nobody can tell it from one that closed. Its request is not sent, and its
/// connection is closed.
#[test]
fn a_client_that_ends_its_sending_has_left() {
    run(async {
        let host = Host::start([Act::Stall]).await;
        let (proxy, admin) = started(from_ref(&host), narrow).await;
        let _out = two_out(&proxy, &host).await;
        let mut client = proxy.client().await;
        client.send(&request("unsafe", "", "")).await;
        pending(admin, 3).await;
        socket2::SockRef::from(&client.stream).shutdown(std::net::Shutdown::Write).expect("half closed");
        assert!(client.message().await.is_none(), "closed without an answer");
        pending(admin, 2).await;
        assert_eq!(host.count(), 2);
    });
}

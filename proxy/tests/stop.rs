//! The end of listening. A process that is started meanwhile holds all sockets for a moment, so no test here starts one.

mod common;

use common::*;
use std::slice::from_ref;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
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

/// A proxy that was killed leaves connections at its address; the next one must start there at once.
#[test]
fn the_address_can_be_used_again_at_once() {
    run(async {
        // An address that no other test uses: its port is nobody's meanwhile.
        let bind = |address| nettleworks::handover::bind(address).expect("bound");
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
        let bind = |address| nettleworks::handover::bind(address).expect("bound");
        let old = bind("127.0.0.3:0".parse().expect("an address")).listen(64).expect("it listens");
        let address = old.local_addr().expect("an address");
        let new = bind(address).listen(64).expect("it listens too");
        nettleworks::handover::lead_away(&old).expect("led away");
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
        let other = nettleworks::handover::show_presence(&folder, |_| ()).await.expect("shown");
        let config = configuration(Discovery::quiet().await.address, &[], |_| ());
        let config = nettleworks::config::Config::parse(&config).expect("a good configuration");
        let clients = nettleworks::handover::bind(config.listen).expect("bound");
        let address = clients.local_addr().expect("an address");
        let listeners = nettleworks::Listeners { clients, operators: None };
        let stop = std::future::pending::<()>();
        let proxy = spawn_local(nettleworks::run(config, listeners, Some(folder), async || None, stop));
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
        use nettleworks::handover::show_presence as show;
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

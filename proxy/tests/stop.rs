//! The end of listening. A process that is started meanwhile holds all sockets for a moment, so no test here starts one.

mod common;

use common::*;
use std::slice::from_ref;
use tokio::net::TcpStream;

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

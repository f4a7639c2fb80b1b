//! Listeners that share the clients' address, within one process.

mod common;

use common::*;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// A proxy that was killed leaves connections at its address; the next one must start there at
/// once.
#[test]
fn the_address_can_be_bound_again_at_once() {
    run_test(async {
        // An address that no other test uses: its port is nobody's meanwhile.
        let bind = |address| client_proxy::process_handoff::bind(address).expect("bound");
        let first = bind("127.0.0.2:0".parse().expect("an address"))
            .listen(8)
            .expect("it listens");
        let address = first.local_addr().expect("an address");
        let client = TcpStream::connect(address).await.expect("connected");
        drop(first.accept().await.expect("accepted"));
        drop(first);
        bind(address).listen(8).expect("it listens again");
        drop(client);
    });
}

/// With the filter attached, connections reach only the newer listener, and the older one again
/// after the newer one has closed.
#[test]
fn connections_go_to_the_newer_listener() {
    run_test(async {
        let bind = |address| client_proxy::process_handoff::bind(address).expect("bound");
        let old = bind("127.0.0.3:0".parse().expect("an address"))
            .listen(64)
            .expect("it listens");
        let address = old.local_addr().expect("an address");
        let new = bind(address).listen(64).expect("it listens too");
        client_proxy::process_handoff::attach_newer_listener_filter(&old).expect("attached");
        for _ in 0..32 {
            let _client = TcpStream::connect(address).await.expect("connected");
            new.accept().await.expect("accepted");
        }
        drop(new);
        let _client = TcpStream::connect(address).await.expect("connected");
        old.accept().await.expect("accepted");
    });
}

/// A process without a list leaves clients to the other process, for as long as that is there.
#[test]
fn a_process_without_a_list_does_not_listen_beside_another() {
    run_test(async {
        let folder = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("listless");
        std::fs::create_dir_all(&folder).expect("a folder");
        let other = client_proxy::process_handoff::announce_presence(&folder, |_| ())
            .await
            .expect("announced");
        let config = configuration(TestDiscovery::without_updates().await.address, &[], |_| ());
        let config = client_proxy::config::Config::parse(&config).expect("a good configuration");
        let clients = client_proxy::process_handoff::bind(config.listen).expect("bound");
        let address = clients.local_addr().expect("an address");
        let listeners = client_proxy::Listeners {
            clients,
            operators: None,
        };
        let stop = std::future::pending::<()>();
        let proxy = spawn_local(client_proxy::run(
            config,
            listeners,
            Some(folder),
            async || None,
            stop,
        ));
        sleep(Duration::from_millis(2_500)).await;
        assert!(
            TcpStream::connect(address).await.is_err(),
            "clients are left to the other process"
        );
        drop(other);
        while TcpStream::connect(address).await.is_err() {
            sleep(Duration::from_millis(5)).await;
        }
        proxy.abort();
    });
}

/// Of two processes one has the limits to itself when the other ends.
#[test]
fn a_process_is_notified_whether_it_is_alone() {
    run_test(async {
        let folder = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("presence");
        std::fs::create_dir_all(&folder).expect("a folder");
        use client_proxy::process_handoff::announce_presence;
        let first = announce_presence(&folder, |_| panic!("it is alone"))
            .await
            .expect("announced");
        let notifications = std::cell::RefCell::new(Vec::new());
        let mut first = Some(first);
        let shared = |shared: bool| {
            notifications.borrow_mut().push(shared);
            first.take();
        };
        let _second = announce_presence(&folder, shared).await.expect("announced");
        assert_eq!(*notifications.borrow(), [true, false]);
    });
}

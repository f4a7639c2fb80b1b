//! Listeners that share the clients' address, and processes that share its lock file; here all of
//! them run in the test's process.

mod common;

use common::*;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// After a proxy is killed, connections at its address stay in the kernel's table, for example in
/// TIME_WAIT. The next proxy must be able to bind the address at once.
#[test]
fn an_address_can_be_bound_again_while_old_connections_remain() {
    run_test(async {
        // No other test uses this address, so none can take its port between the two listeners.
        let bind = |address| {
            client_proxy::process_handoff::bind(address).expect("cannot bind the address")
        };
        let first = bind("127.0.0.2:0".parse().expect("invalid address"))
            .listen(8)
            .expect("cannot listen");
        let address = first.local_addr().expect("no local address");
        let client = TcpStream::connect(address).await.expect("cannot connect");
        drop(first.accept().await.expect("accept failed"));
        drop(first);
        bind(address).listen(8).expect("cannot listen again");
        drop(client);
    });
}

/// Once the filter is attached, new connections must go only to the newer of two listeners. When
/// the newer one has been closed, they must go to the older one again.
#[test]
fn connections_go_to_the_newer_listener() {
    run_test(async {
        let bind = |address| {
            client_proxy::process_handoff::bind(address).expect("cannot bind the address")
        };
        let old = bind("127.0.0.3:0".parse().expect("invalid address"))
            .listen(64)
            .expect("cannot listen");
        let address = old.local_addr().expect("no local address");
        let new = bind(address)
            .listen(64)
            .expect("cannot listen in addition to the first");
        client_proxy::process_handoff::attach_newer_listener_filter(&old)
            .expect("cannot attach the filter");
        for _ in 0..32 {
            let _client = TcpStream::connect(address).await.expect("cannot connect");
            new.accept().await.expect("accept failed");
        }
        drop(new);
        let _client = TcpStream::connect(address).await.expect("cannot connect");
        old.accept().await.expect("accept failed");
    });
}

/// A process without an endpoint list must not listen while another process runs, so that the other
/// one gets the clients; it must listen once the other has ended.
#[test]
fn a_process_without_an_endpoint_list_does_not_listen_while_another_runs() {
    run_test(async {
        let folder = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("no-endpoint-list");
        std::fs::create_dir_all(&folder).expect("cannot create the folder");
        let other = client_proxy::process_handoff::announce_presence(&folder, |_| ())
            .await
            .expect("cannot announce the process");
        let config = configuration(TestDiscovery::without_updates().await.address, &[], |_| ());
        let config = client_proxy::config::Config::parse(&config).expect("invalid configuration");
        let clients =
            client_proxy::process_handoff::bind(config.listen).expect("cannot bind the address");
        let address = clients.local_addr().expect("no local address");
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
        // Longer than the 2 s after which a process that is alone listens without a list.
        sleep(Duration::from_millis(2_500)).await;
        assert!(
            TcpStream::connect(address).await.is_err(),
            "the process must not listen while the other one runs"
        );
        drop(other);
        while TcpStream::connect(address).await.is_err() {
            sleep(Duration::from_millis(5)).await;
        }
        proxy.abort();
    });
}

/// A process that starts first must get no notification. A second one must be notified that it
/// shares the limits, and again when the first has ended.
#[test]
fn a_second_process_is_notified_when_it_shares_the_limits_and_when_the_first_ends() {
    run_test(async {
        let folder =
            std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("second-process-notified");
        std::fs::create_dir_all(&folder).expect("cannot create the folder");
        use client_proxy::process_handoff::announce_presence;
        let first = announce_presence(&folder, |_| {
            panic!("the first process must not be notified")
        })
        .await
        .expect("cannot announce the process");
        let notifications = std::cell::RefCell::new(Vec::new());
        let mut first = Some(first);
        // Ends the first process as soon as the second one is notified that they share the limits.
        let on_notification = |is_shared: bool| {
            notifications.borrow_mut().push(is_shared);
            first.take();
        };
        let _second = announce_presence(&folder, on_notification)
            .await
            .expect("cannot announce the process");
        assert_eq!(*notifications.borrow(), [true, false]);
    });
}

//! Listeners that share the clients' address, and processes that share its lock file; here all of
//! them run in the test's process.

mod common;

use common::*;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// A killed proxy leaves connections at its address that the system has not yet removed. The next
/// proxy must be able to bind the address at once.
#[test]
fn an_address_can_be_bound_again_while_old_connections_remain() {
    run_test(async {
        // No other test uses this address, so none can take its port between the two listeners.
        let bind = |address| client_proxy::process_handoff::bind(address).expect("bound");
        let first = bind("127.0.0.2:0".parse().expect("an address"))
            .listen(8)
            .expect("listening");
        let address = first.local_addr().expect("an address");
        let client = TcpStream::connect(address).await.expect("connected");
        drop(first.accept().await.expect("accepted"));
        drop(first);
        bind(address).listen(8).expect("listening again");
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
            .expect("listening");
        let address = old.local_addr().expect("an address");
        let new = bind(address)
            .listen(64)
            .expect("listening beside the first");
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

/// A process without an endpoint list must not listen while another process runs, so that the other
/// one gets the clients; it must listen once the other has ended.
#[test]
fn a_process_without_an_endpoint_list_does_not_listen_while_another_runs() {
    run_test(async {
        let folder = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("no-endpoint-list");
        std::fs::create_dir_all(&folder).expect("a folder");
        let other = client_proxy::process_handoff::announce_presence(&folder, |_| ())
            .await
            .expect("announced");
        let config = configuration(TestDiscovery::without_updates().await.address, &[], |_| ());
        let config = client_proxy::config::Config::parse(&config).expect("a valid configuration");
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

/// A process that starts first must get no notification. A second one must be notified that it
/// shares the limits, and again when the first has ended.
#[test]
fn a_second_process_is_notified_when_it_shares_the_limits_and_when_the_first_ends() {
    run_test(async {
        let folder =
            std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("second-process-notified");
        std::fs::create_dir_all(&folder).expect("a folder");
        use client_proxy::process_handoff::announce_presence;
        let first = announce_presence(&folder, |_| panic!("the first process has no other"))
            .await
            .expect("announced");
        let notifications = std::cell::RefCell::new(Vec::new());
        let mut first = Some(first);
        let on_notification = |is_shared: bool| {
            notifications.borrow_mut().push(is_shared);
            first.take();
        };
        let _second = announce_presence(&folder, on_notification)
            .await
            .expect("announced");
        assert_eq!(*notifications.borrow(), [true, false]);
    });
}

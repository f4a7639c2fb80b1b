//! Connections to hosts: kept, given up, withdrawn.

mod common;

use common::*;
use std::slice::from_ref;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;

/// A connection costs a host many times a request's overhead. It must be back before the outcome is told:
/// else the request that the outcome lets go opens another.
#[test]
fn one_request_after_the_other_shares_one_connection() {
    run_test(async {
        let endpoint = TestEndpoint::start([ok("served"), reject(), ok("served")]).await;
        let proxy = Proxy::start(from_ref(&endpoint)).await;
        let mut client = proxy.client().await;
        for _ in 0..20 {
            client.exchange(&request("keyed", "", "body")).await;
        }
        assert_eq!(endpoint.opened_connections.get(), 1);
    });
}

/// A connection that the host has closed while it was idle is no failure of the request: nothing is written.
#[test]
fn a_connection_closed_by_its_host_is_not_used_again() {
    run_test(async {
        let bye = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
        let endpoint = TestEndpoint::start([ScriptedResponse::WriteAndClose(bye.to_owned())]).await;
        let proxy = Proxy::start(from_ref(&endpoint)).await;
        let mut client = proxy.client().await;
        for count in 1..=5 {
            assert_eq!(client.exchange(&request("unsafe", "", "")).await.status(), 200);
            wait_until("the host closes", || endpoint.open_connections.get() == 0).await;
            assert_eq!(endpoint.request_count(), count);
        }
    });
}

/// A host may close a kept connection just as a request is written to it. What may be repeated goes again at once,
/// to the same host, which is not to blame.
#[test]
fn a_kept_connection_that_breaks_sets_no_host_aside() {
    run_test(async {
        let endpoint =
            TestEndpoint::start([ok("one"), ScriptedResponse::WriteAndClose(String::new()), ok("three")])
                .await;
        let proxy = Proxy::start(from_ref(&endpoint)).await;
        let mut client = proxy.client().await;
        assert_eq!(client.exchange(&request("keyed", "", "")).await.body, b"one");
        assert_eq!(client.exchange(&request("keyed", "", "")).await.body, b"three");
        assert_eq!((endpoint.request_count(), endpoint.opened_connections.get()), (3, 2));
    });
}

/// More than belongs to an answer makes its connection useless; a later request must not get it.
#[test]
fn what_follows_an_answer_is_nobodys() {
    run_test(async {
        let double = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirstHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong";
        let endpoint = TestEndpoint::start([ScriptedResponse::Write(double.to_owned()), ok("right")]).await;
        let proxy = Proxy::start(from_ref(&endpoint)).await;
        let mut client = proxy.client().await;
        assert_eq!(client.exchange(&request("unsafe", "", "")).await.body, b"first");
        wait_until("the connection is closed", || endpoint.open_connections.get() == 0).await;
        assert_eq!(client.exchange(&request("unsafe", "", "")).await.body, b"right");
    });
}

/// A second answer may come some milliseconds behind the first: until then the connection takes no other request, which
/// would get it.
#[test]
fn a_connection_settles_before_its_next_request() {
    run_test(async {
        let played = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = played.local_addr().expect("an address");
        let endpoint = TestEndpoint { address, ..TestEndpoint::start([ScriptedResponse::Stall]).await };
        let proxy = Proxy::start(from_ref(&endpoint)).await;
        let mut client = proxy.client().await;
        client.send(&request("unsafe", "", "")).await;
        let mut server = MessageReader::new(played.accept().await.expect("the proxy connects").0);
        server.message().await.expect("a request");
        let good = ok_response("first");
        let responded = Instant::now();
        server.send(&good).await;
        assert_eq!(client.message().await.expect("an answer").body, b"first");
        client.send(&request("unsafe", "", "")).await;
        server.message().await.expect("the next request on the same connection");
        assert!(responded.elapsed() >= Duration::from_millis(10));
    });
}

/// Answers that announce themselves are passed on as if they had not.
#[test]
fn informational_answers_are_passed_over() {
    run_test(async {
        let early = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n";
        let good = ok_response("served");
        let endpoint = TestEndpoint::start([ScriptedResponse::Write(format!("{early}{good}"))]).await;
        let proxy = Proxy::start(from_ref(&endpoint)).await;
        let mut client = proxy.client().await;
        for _ in 0..3 {
            assert_eq!(client.exchange(&request("unsafe", "", "")).await.body, b"served");
        }
        assert_eq!(endpoint.opened_connections.get(), 1);
    });
}

/// Idle connections are closed before the host does it: a request that crosses the host's close is lost.
#[test]
fn an_idle_connection_is_retired_before_its_host_closes_it() {
    run_test(async {
        let endpoint = TestEndpoint::start([ok("served")]).await;
        let proxy =
            Proxy::start_with(&TestDiscovery::without_updates().await, from_ref(&endpoint), |config| {
                config["settings"]["limits"]["conn_idle_us"] = 2_000_000.into();
            })
            .await;
        assert_eq!(proxy.client().await.exchange(&request("free", "", "")).await.status(), 200);
        wait_until("it is retired", || endpoint.open_connections.get() == 0).await;
    });
}

/// Nor is one used that is due and not yet retired: looking through them now and then would leave a gap.
#[test]
fn a_connection_that_is_due_is_not_used_again() {
    run_test(async {
        let endpoint = TestEndpoint::start([ok("served")]).await;
        let proxy =
            Proxy::start_with(&TestDiscovery::without_updates().await, from_ref(&endpoint), |config| {
                config["settings"]["limits"]["conn_idle_us"] = 0.into();
            })
            .await;
        let mut client = proxy.client().await;
        for _ in 0..3 {
            assert_eq!(client.exchange(&request("free", "", "")).await.status(), 200);
        }
        assert_eq!(endpoint.opened_connections.get(), 3);
    });
}

/// A send counts when it is written. One that still waits for its connection when its host is told draining
/// must not be written there later; it goes elsewhere at once.
#[test]
fn what_is_not_yet_written_to_a_draining_host_is_withdrawn() {
    run_test(async {
        let (stuck, _full, listener) = endpoint_with_full_backlog().await;
        let other = TestEndpoint::start([ok("served")]).await;
        let discovery = TestDiscovery::without_updates().await;
        let proxy = Proxy::start_with(&discovery, from_ref(&stuck), |config| {
            config["settings"]["limits"]["connect_timeout_us"] = 20_000_000.into();
        })
        .await;
        let mut client = proxy.client().await;
        client.send(&request("unsafe", "", "")).await;
        wait_until("the watch is open", || discovery.watch_requests.borrow().len() == 1).await;
        // Sent later and answered: the proxy has read the request before.
        assert_eq!(proxy.client().await.exchange(HEALTH_REQUEST).await.status(), 200);
        let endpoints = [entry("s-0", stuck.address, "Terminating"), entry("s-1", other.address, "Ready")];
        discovery.push(&chunk(&list(42, false, &endpoints))).await;
        assert_eq!(client.message().await.expect("an answer").status(), 200);
        assert_eq!(other.request_count(), 1);
        drop(listener);
    });
}

/// What has been taken back is told to have never run: it must not be written by a task that already has it at hand.
#[test]
fn what_is_withdrawn_while_it_is_handed_on_is_not_written() {
    run_test(async {
        let (leaving, other) =
            (TestEndpoint::start([ok("leaving")]).await, TestEndpoint::start([ok("other")]).await);
        let discovery = TestDiscovery::without_updates().await;
        let proxy = Proxy::start_with(&discovery, from_ref(&leaving), |_| ()).await;
        let mut client = proxy.client().await;
        assert_eq!(client.exchange(&request("unsafe", "", "")).await.body, b"leaving");
        wait_until("the watch is open", || discovery.watch_requests.borrow().len() == 1).await;
        let endpoints = [entry("s-0", leaving.address, "Terminating"), entry("s-1", other.address, "Ready")];
        let list = chunk(&list(42, false, &endpoints));
        // Both come in one turn of the proxy's loop, the request first: it is given to its connection's task, which
        // comes to its turn only after the list.
        client.send(&request("unsafe", "", "")).await;
        discovery.push(&list).await;
        assert_eq!(client.message().await.expect("an answer").body, b"other");
        assert_eq!((leaving.request_count(), other.request_count()), (1, 1));
    });
}

/// A connection that breaks once the whole request is written: it may have run. What its class forbids does not go again,
/// and is not told to come again; the rest goes again at once.
#[test]
fn what_may_have_run_goes_again_only_as_its_class_allows() {
    run_test(async {
        for kept in [0, 1] {
            for (class, status) in [("free", 200), ("keyed", 200), ("unsafe", 502)] {
                let before = vec![ok("before"); kept];
                let breaking = TestEndpoint::start(
                    before.into_iter().chain([ScriptedResponse::WriteAndClose(String::new())]),
                )
                .await;
                let endpoints = [breaking, TestEndpoint::start([ok("good")]).await];
                let proxy = Proxy::start(&endpoints).await;
                let mut client = proxy.client().await;
                let response = loop {
                    let good = endpoints[1].request_count();
                    let response = client.exchange(&request(class, "", "")).await;
                    if endpoints[0].request_count() > kept {
                        let again =
                            endpoints[0].request_count() - kept - 1 + endpoints[1].request_count() - good;
                        assert_eq!(again, usize::from(status == 200), "{class}, {kept}");
                        break response;
                    }
                };
                assert_eq!(response.status(), status, "{class}, {kept}");
            }
        }
    });
}

/// Nothing is sent for a call that is over, also where the site does not let attempts be called off: one that
/// still waits for its connection must not be written once that comes up.
#[test]
fn what_is_not_yet_written_is_withdrawn_when_its_call_ends() {
    run_test(async {
        let (stuck, full, listener) = endpoint_with_full_backlog().await;
        let proxy = Proxy::start_with(&TestDiscovery::without_updates().await, from_ref(&stuck), |config| {
            config["settings"]["limits"]["connect_timeout_us"] = 20_000_000.into();
            config["settings"]["limits"]["cancel"] = false.into();
        })
        .await;
        let mut client = proxy.client().await;
        client.send(&request("unsafe", "", "the first")).await;
        assert_eq!(proxy.client().await.exchange(HEALTH_REQUEST).await.status(), 200);
        drop(client);
        let mut client = proxy.client().await;
        client.send(&request("unsafe", "", "the second")).await;
        assert_eq!(proxy.client().await.exchange(HEALTH_REQUEST).await.status(), 200);
        // From here on connections come up, the first one's before the second's.
        let endpoint = TestEndpoint::on_listener(listener, [ok("served")]);
        drop(full);
        assert_eq!(client.message().await.expect("an answer").status(), 200);
        let bodies: Vec<_> = endpoint.requests.borrow().iter().map(|message| message.body.clone()).collect();
        assert_eq!(bodies, [b"the second"]);
    });
}

/// A host that has moved gets nothing at its old address, where another may listen by now.
#[test]
fn a_host_that_has_moved_is_met_at_its_new_address() {
    run_test(async {
        let (old, new) = (
            TestEndpoint::start([ScriptedResponse::Stall, ok("old")]).await,
            TestEndpoint::start([ok("new")]).await,
        );
        let discovery = TestDiscovery::without_updates().await;
        let proxy = Proxy::start_with(&discovery, from_ref(&old), |_| ()).await;
        let (mut client, mut busy) = (proxy.client().await, proxy.client().await);
        busy.send(&request("unsafe", "", "")).await;
        wait_until("the host has it", || old.request_count() == 1).await;
        assert_eq!(client.exchange(&request("unsafe", "", "")).await.body, b"old");
        discovery.push(&chunk(&list(42, false, &[entry("s-0", new.address, "Ready")]))).await;
        wait_until("its idle connection closes", || old.open_connections.get() == 1).await;
        assert_eq!(client.exchange(&request("unsafe", "", "")).await.body, b"new");
        old.release.notify_one();
        assert_eq!(busy.message().await.expect("an answer").body, b"released");
        wait_until("its last connection closes", || old.open_connections.get() == 0).await;
        assert_eq!(client.exchange(&request("unsafe", "", "")).await.body, b"new");
    });
}

/// A connection that does not come up in time proves that the request never ran: it may go elsewhere.
#[test]
fn a_connection_that_never_comes_up_is_bounded() {
    run_test(async {
        let (stuck, _full, _listener) = endpoint_with_full_backlog().await;
        let other = TestEndpoint::start([ok("served")]).await;
        let proxy =
            Proxy::start_with(&TestDiscovery::without_updates().await, &[stuck, other.clone()], |config| {
                config["settings"]["limits"]["connect_timeout_us"] = 50_000.into();
            })
            .await;
        let mut client = proxy.client().await;
        for _ in 0..6 {
            assert_eq!(client.exchange(&request("unsafe", "", "")).await.status(), 200);
        }
        assert_eq!(other.request_count(), 6);
    });
}

/// The limit on sockets holds for hosts too: a call beyond it ends, and no descriptor is opened for it.
#[test]
fn connections_to_hosts_stay_under_the_limit() {
    run_test(async {
        let mut endpoints = Vec::new();
        for _ in 0..24 {
            endpoints.push(TestEndpoint::start([ok("served")]).await);
        }
        let proxy = Proxy::start_with(&TestDiscovery::without_updates().await, &endpoints, |config| {
            config["limits"]["sockets"] = 64.into();
        })
        .await;
        let mut client = proxy.client().await;
        for _ in 0..200 {
            assert_eq!(client.exchange(&request("free", "", "")).await.status(), 200);
            let open: usize = endpoints.iter().map(|endpoint| endpoint.open_connections.get()).sum();
            assert!(open <= 13, "{open}: 12, and one whose close has not arrived");
        }
    });
}

//! Operators' commands and their responses: health and metrics.

mod common;

use common::*;
use serde_json::json;
use std::slice::from_ref;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

#[test]
fn health_succeeds_only_with_a_non_empty_endpoint_list() {
    run_test(async {
        let endpoint = TestEndpoint::start([ok("served")]).await;
        let (_proxy, admin) = start_with_admin(from_ref(&endpoint), |_| ()).await;
        while admin_command(admin, "health\n").await != "SUCCESS yes\n" {}
        let (_proxy, admin) =
            start_with_admin(&[], |config| config["known"]["hosts"] = json!([])).await;
        assert!(admin_command(admin, "health\r\n")
            .await
            .starts_with("FAILURE no"));
    });
}

#[test]
fn an_invalid_command_gets_a_one_line_error() {
    run_test(async {
        let endpoint = TestEndpoint::start([ok("served")]).await;
        let (_proxy, admin) = start_with_admin(from_ref(&endpoint), |_| ()).await;
        for line in [
            "\n",
            "HEALTH\n",
            "stop\n",
            "health counters\n",
            "\u{0}\u{1}\u{7f}\n",
            &"x".repeat(500_000),
        ] {
            let response = admin_command(admin, line).await;
            assert!(
                response.starts_with("FAILURE ") && response.lines().count() == 1,
                "{line}: {response}"
            );
        }
    });
}

/// Requests are counted by class and result, attempts when they have been written completely, and
/// requests without a reply as pending.
#[test]
fn metrics_count_requests_by_class_and_result() {
    run_test(async {
        let error = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n";
        let endpoint = TestEndpoint::start([
            ok("one"),
            ok("two"),
            ScriptedResponse::Write(error.to_owned()),
            ScriptedResponse::Stall,
        ])
        .await;
        let (proxy, admin) = start_with_admin(from_ref(&endpoint), |_| ()).await;
        let mut client = proxy.client().await;
        for (text, status) in [
            (request("unsafe", "", "body"), 200),
            (request("keyed", "", "body"), 200),
            (request("unsafe", "", "body"), 502),
        ] {
            assert_eq!(client.exchange(&text).await.status(), status);
        }
        client.send(&request("free", "", "")).await;
        wait_until("the endpoint has the request", || {
            endpoint.request_count() == 4
        })
        .await;
        let counts =
            |completed, failed| json!({"completed": completed, "rejected": 0, "failed": failed});
        let expected = json!({
            "downstream_requests": {"free": counts(0, 0), "keyed": counts(1, 0), "unsafe": counts(1, 1)},
            "upstream_requests": 4, "pending": 1, "members": 1, "members_unavailable": 0,
        });
        assert_eq!(metrics(admin).await, expected);
        drop(client);
        while metrics(admin).await["pending"] != 0 {}
    });
}

/// Endpoints that the balancer has ejected count as unavailable, and so do those that are draining
/// according to the endpoint list.
#[test]
fn metrics_count_ejected_and_draining_endpoints_as_unavailable() {
    run_test(async {
        let endpoints = [
            TestEndpoint::start([ok("served")]).await,
            TestEndpoint::start([ok("served")]).await,
            TestEndpoint::start([ScriptedResponse::WriteAndClose(String::new())]).await,
        ];
        let discovery = TestDiscovery::without_updates().await;
        let proxy = Proxy::start_with(&discovery, &endpoints, |config| {
            set_admin(config);
            config["known"]["hosts"][0]["health"] = "Terminating".into();
        })
        .await;
        let admin = proxy.admin.expect("no address for operators");
        let initial = metrics(admin).await;
        assert_eq!(
            (&initial["members"], &initial["members_unavailable"]),
            (&json!(3), &json!(1))
        );
        let mut client = proxy.client().await;
        while metrics(admin).await["members_unavailable"] == 1 {
            client.exchange(&request("unsafe", "", "")).await;
        }
        assert_eq!(metrics(admin).await["members_unavailable"], 2);
    });
}

/// Connections with an incomplete command must not block operators that connect later. The test
/// opens 100, which is more than `MAX_OPERATOR_CONNECTIONS`.
#[test]
fn incomplete_operator_commands_do_not_block_other_operators() {
    run_test(async {
        let endpoint = TestEndpoint::start([ok("served")]).await;
        let (_proxy, admin) = start_with_admin(from_ref(&endpoint), |_| ()).await;
        let mut connections = Vec::new();
        for _ in 0..100 {
            let mut stream = TcpStream::connect(admin).await.expect("cannot connect");
            stream.write_all(b"heal").await.expect("write failed");
            connections.push(stream);
            assert!(admin_command(admin, "counters\n")
                .await
                .ends_with("\nEOT\n"));
        }
    });
}

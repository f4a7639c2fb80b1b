//! What operators meet at the address that is theirs.

mod common;

use common::*;
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::slice::from_ref;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

const ADMIN: fn(&mut Value) = |config| config["admin"] = "127.0.0.1:0".into();

async fn started(hosts: &[Host], change: fn(&mut Value)) -> (Proxy, SocketAddr) {
    let proxy = Proxy::with(&Discovery::quiet().await, hosts, |config| {
        ADMIN(config);
        change(config);
    })
    .await;
    let admin = proxy.admin.expect("an address for operators");
    (proxy, admin)
}

#[test]
fn health_is_yes_once_there_is_a_list() {
    run(async {
        let host = Host::start([ok("served")]).await;
        let (_proxy, admin) = started(from_ref(&host), |_| ()).await;
        while call(admin, "health\n").await != "SUCCESS yes\n" {}
        let (_proxy, admin) = started(&[], |config| config["known"]["hosts"] = json!([])).await;
        assert!(call(admin, "health\r\n").await.starts_with("FAILURE no"));
    });
}

#[test]
fn what_is_no_call_gets_a_reason() {
    run(async {
        let host = Host::start([ok("served")]).await;
        let (_proxy, admin) = started(from_ref(&host), |_| ()).await;
        for line in
            ["\n", "HEALTH\n", "stop\n", "health counters\n", "\u{0}\u{1}\u{7f}\n", &"x".repeat(500_000)]
        {
            let answer = call(admin, line).await;
            assert!(answer.starts_with("FAILURE ") && answer.lines().count() == 1, "{line}: {answer}");
        }
    });
}

/// Requests count by class and end, attempts when they are written whole, and what is open is pending.
#[test]
fn figures_show_what_became_of_requests() {
    run(async {
        let error = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n";
        let host = Host::start([ok("one"), ok("two"), Act::Say(error.to_owned()), Act::Stall]).await;
        let (proxy, admin) = started(from_ref(&host), |_| ()).await;
        let mut client = proxy.client().await;
        for (text, status) in [
            (request("unsafe", "", "body"), 200),
            (request("keyed", "", "body"), 200),
            (request("unsafe", "", "body"), 502),
        ] {
            assert_eq!(client.ask(&text).await.status(), status);
        }
        client.send(&request("free", "", "")).await;
        eventually("the host has it", || host.count() == 4).await;
        let tally = |completed, failed| json!({"completed": completed, "rejected": 0, "failed": failed});
        let expected = json!({
            "downstream_requests": {"free": tally(0, 0), "keyed": tally(1, 0), "unsafe": tally(1, 1)},
            "upstream_requests": 4, "pending": 1, "members": 1, "members_unavailable": 0,
        });
        assert_eq!(figures(admin).await, expected);
        drop(client);
        while figures(admin).await["pending"] != 0 {}
    });
}

/// A host set aside by the module is one that is avoided, and so is one that the list says is to get no more.
#[test]
fn figures_show_the_hosts_that_are_avoided() {
    run(async {
        let hosts = [
            Host::start([ok("served")]).await,
            Host::start([ok("served")]).await,
            Host::start([Act::SayAndClose(String::new())]).await,
        ];
        let discovery = Discovery::quiet().await;
        let proxy = Proxy::with(&discovery, &hosts, |config| {
            ADMIN(config);
            config["known"]["hosts"][0]["health"] = "Terminating".into();
        })
        .await;
        let admin = proxy.admin.expect("an address for operators");
        let shown = figures(admin).await;
        assert_eq!((&shown["members"], &shown["members_unavailable"]), (&json!(3), &json!(1)));
        let mut client = proxy.client().await;
        while figures(admin).await["members_unavailable"] == 1 {
            client.ask(&request("unsafe", "", "")).await;
        }
        assert_eq!(figures(admin).await["members_unavailable"], 2);
    });
}

/// Callers that say nothing, or half a line, keep nobody out.
#[test]
fn silent_callers_keep_nobody_out() {
    run(async {
        let host = Host::start([ok("served")]).await;
        let (_proxy, admin) = started(from_ref(&host), |_| ()).await;
        let mut silent = Vec::new();
        for _ in 0..100 {
            let mut stream = TcpStream::connect(admin).await.expect("operators are let in");
            stream.write_all(b"heal").await.expect("written");
            silent.push(stream);
            assert!(call(admin, "counters\n").await.ends_with("\nEOT\n"));
        }
    });
}

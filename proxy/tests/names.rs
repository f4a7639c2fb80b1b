//! Names that others know the program by: keys of its configuration and of the list, headers, paths, calls of operators, the
//! lock file that a process of another version reads. They are the operators' own and never change.

mod common;

use client_proxy::config::Config;
use client_proxy::discovery::ListedState;
use common::*;
use serde_json::json;
use std::slice::from_ref;
use std::time::Duration;

#[test]
fn each_key_of_the_configuration_and_of_the_list_is_read_under_its_name() {
    let host = json!({"host": "s-1", "dial": "127.0.0.1:9", "site": "split-dc", "block": 4, "health": "Terminating",
        "share": 2.5, "born_ms": 77});
    let class = json!({"name": "free", "objective_us": 1, "deadline_us": 2, "idempotency": "free"});
    let config = json!({
        "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "admin": "127.0.0.1:3", "seed": "ff",
        "limits": {"sockets": 555, "memory_mb": 64},
        "known": {"seq": 6, "whole": true, "hosts": [host]},
        "settings": {
            "balancers": 1, "classes": [class], "tenants": [{"name": "t"}],
            "limits": {"connect_timeout_us": 7_000, "conn_idle_us": 8_000},
            "invariants": {"cold_from": 0.5, "cold_us": 1, "drain_grace_us": 9_000},
        },
    });
    let config = Config::parse(&config.to_string()).expect("a good configuration");
    assert_eq!(config.listen.port(), 1);
    assert_eq!(config.discovery.port(), 2);
    assert_eq!(config.admin.expect("an address").port(), 3);
    assert_eq!((config.seed, config.max_descriptors, config.body_memory_bytes), (255, 555, 16 << 20));
    assert_eq!((&config.classes[..], &config.tenants[..]), (&["free".to_owned()][..], &["t".to_owned()][..]));
    assert_eq!(config.connect_timeout, Duration::from_millis(7));
    assert_eq!(config.connection_idle_timeout, Duration::from_millis(8));
    assert_eq!(config.drain_grace, Duration::from_millis(9));
    let list = config.cached_list.expect("a list");
    assert_eq!((list.version, list.is_full), (6, true));
    let host = &list.endpoints[0];
    assert_eq!((host.name.as_str(), host.address.port(), host.zone.as_str()), ("s-1", 9, "split-dc"));
    assert_eq!((host.cell, host.weight, host.started_at_ms), (4, 2.5, 77));
    assert_eq!(host.state, ListedState::Draining);
}

/// What a host is asked, what a client is answered, and how a watch of the list is asked for.
#[test]
fn messages_on_the_sockets_keep_their_names() {
    run(async {
        let discovery = Discovery::quiet().await;
        let host = Host::start([turn_away()]).await;
        let proxy = Proxy::with(&discovery, from_ref(&host), |_| ()).await;
        let mut client = proxy.client().await;
        let again = "X-Again: 1\r\nX-Caller: t\r\n";
        let answer = client.ask(&request("keyed", again, "body")).await;
        assert_eq!(answer.first, "HTTP/1.1 503 Service Unavailable");
        assert!(answer.header("retry-after").is_some());
        let seen = host.seen.borrow()[0].clone();
        assert_eq!(seen.first, "POST /api HTTP/1.1");
        for name in ["x-call-id", "x-call-class", "x-budget-ms", "idempotency-key", "x-again", "x-caller"] {
            assert!(seen.header(name).is_some(), "{name}");
        }
        eventually("the list is watched", || !discovery.asked.borrow().is_empty()).await;
        assert_eq!(discovery.asked.borrow()[0], "GET /catalog/members?follow=1&since=41 HTTP/1.1");
        let health = client.ask(HEALTH).await;
        assert_eq!(health.status(), 200);
    });
}

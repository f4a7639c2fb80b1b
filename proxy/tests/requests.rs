//! What the application meets: requests that are served, refused, failed or unusable.

mod common;

use common::*;
use std::slice::from_ref;
use tokio::io::AsyncWriteExt;

const CHUNKED: &str = "Transfer-Encoding: chunked\r\n\r\n";

#[test]
fn a_request_goes_on_unchanged_and_so_does_its_answer() {
    run_test(async {
        let endpoint = TestEndpoint::start([ok("the answer")]).await;
        let proxy = Proxy::start(from_ref(&endpoint)).await;
        let text = request("keyed", "Idempotency-Key: k1\r\nConnection: x-hop\r\nX-Hop: 1\r\n", "the body");
        let response = proxy.client().await.exchange(&text.replace("/api", "/api?q=1")).await;
        assert_eq!((response.status(), response.body.as_slice()), (200, &b"the answer"[..]));
        let seen = endpoint.requests.borrow()[0].clone();
        assert_eq!(seen.start_line, "POST /api?q=1 HTTP/1.1");
        assert_eq!(seen.body, b"the body");
        assert_eq!(
            seen.header("x-call-id"),
            text.split("\r\n").find_map(|line| line.strip_prefix("X-Call-Id: "))
        );
        assert_eq!(seen.header("idempotency-key"), Some("k1"));
        assert_eq!(seen.header("x-hop"), None, "a header of the client's connection ends with it");
        let budget: u64 = seen.header("x-budget-ms").and_then(|v| v.parse().ok()).expect("a budget");
        assert!(budget > 0 && budget < 8_000, "{budget}");
    });
}

/// What cannot be used must end at once and reach neither the module nor a host.
#[test]
fn unusable_requests_are_turned_away_at_once() {
    run_test(async {
        let endpoint = TestEndpoint::start([ok("")]).await;
        let proxy = Proxy::start(from_ref(&endpoint)).await;
        let good = request("free", "", "");
        let (post, keyed) = (request("unsafe", "", "body"), request("keyed", "", "body"));
        let id = good.split("\r\n").find(|line| line.starts_with("X-Call-Id")).expect("an id").to_owned();
        // Whatever its framing says, the second request must not be read, nor passed on in the first's body.
        let hidden = format!("0\r\n\r\n{}", request("unsafe", "", ""));
        let chunked = "Transfer-Encoding: chunked\r\n";
        let length = format!("Content-Length: {}\r\n", hidden.len());
        let framed = |framing: &str| request("unsafe", framing, "") + &hidden;
        let cases = [
            (good.replace("X-Call-Id", "X-Other"), 400),
            (good.replace(&id, "X-Call-Id: "), 400),
            (request("free", "X-Call-Id: twice\r\n", ""), 400),
            (request("unheard-of", "", ""), 400),
            (good.replace("8000", "soon"), 400),
            (good.replace("8000", "0"), 400),
            (good.replace("8000", "-5"), 400),
            (good.replace("8000", "+5"), 400),
            (good.replace("8000", "99999999999999999999"), 400),
            (good.replace("X-Budget-Ms", "X-Other"), 400),
            (good.replace("GET", "POST"), 400),
            (request("free", "Idempotency-Key: k\r\n", ""), 400),
            (request("free", "", "body"), 400),
            (post.replace("POST", "PUT"), 400),
            (request("unsafe", "Idempotency-Key: k\r\n", ""), 400),
            (keyed.replace("Idempotency-Key", "X-Other"), 400),
            (request("keyed", "Idempotency-Key: k\r\nIdempotency-Key: k\r\n", ""), 400),
            (post.replace("Content-Length: 4", "Content-Length: -4"), 400),
            (post.replace("Content-Length: 4", "Content-Length: 4\r\nContent-Length: 5"), 400),
            (framed(&format!("{chunked}{length}")), 400),
            (framed(&format!("{length}{chunked}")), 400),
            (framed(&format!("{length}{length}")), 400),
            (framed("Transfer-Encoding: gzip, chunked\r\n"), 400),
            (good.replace("/api", "/other"), 404),
            (post.replace("Content-Length: 4", "Content-Length: 99999999999"), 413),
            ("no http\r\n\r\n".to_owned(), 400),
        ];
        for (text, status) in cases {
            let mut client = proxy.client().await;
            let text = text + &request("unsafe", "", "");
            // Past what is read on for a while, the rest of a large one may find the connection closed.
            let _ = client.stream.write_all(text.as_bytes()).await;
            let response = client.message().await.expect("an answer");
            assert_eq!(response.status(), status, "{}", &text[..text.len().min(300)]);
            assert_eq!(response.header("connection"), Some("close"), "{}", &text[..text.len().min(300)]);
            assert!(client.message().await.is_none(), "what follows is not read");
        }
        assert_eq!(endpoint.request_count(), 0);
        assert_eq!(proxy.client().await.exchange(&good).await.status(), 200);
    });
}

/// Hosts take two requests with one id for one: the second is turned away while the first is open.
#[test]
fn an_id_that_is_open_is_turned_away() {
    run_test(async {
        let endpoint = TestEndpoint::start([ScriptedResponse::Stall, ok("again")]).await;
        let proxy = Proxy::start(from_ref(&endpoint)).await;
        let text = request("unsafe", "", "");
        let mut first = proxy.client().await;
        first.send(&text).await;
        wait_until("the host has it", || endpoint.request_count() == 1).await;
        assert_eq!(proxy.client().await.exchange(&text).await.status(), 409);
        endpoint.release.notify_one();
        assert_eq!(first.message().await.expect("an answer").body, b"released");
        assert_eq!(first.exchange(&text).await.body, b"again");
        assert_eq!(endpoint.request_count(), 2);
    });
}

/// Whoever says nothing, too little or too slowly holds a place: it is closed within the 3 s that it is owed.
#[test]
fn silent_and_slow_clients_are_closed() {
    run_test(async {
        let endpoint = TestEndpoint::start([ok("served")]).await;
        let proxy = Proxy::start(from_ref(&endpoint)).await;
        let head = request("unsafe", "", "the body");
        let (mut silent, mut half, mut body) =
            (proxy.client().await, proxy.client().await, proxy.client().await);
        half.send(&head[..30]).await;
        body.send(&head[..head.len() - 2]).await;
        // One whose second request trickles: each byte must not begin its time anew.
        let mut slow = proxy.client().await;
        assert_eq!(slow.exchange(&request("unsafe", "", "")).await.status(), 200);
        let trickle = async {
            for byte in head.as_bytes().chunks(1).cycle() {
                if slow.stream.write_all(byte).await.is_err() {
                    break;
                }
                tokio::time::sleep(std::time::Duration::from_millis(100)).await;
            }
        };
        let rest = async {
            assert!(silent.message().await.is_none());
            assert!(half.message().await.is_none());
            assert_eq!(body.message().await.map(|response| response.status()), Some(408));
        };
        tokio::join!(trickle, rest);
        assert_eq!(endpoint.request_count(), 1);
    });
}

/// Clients that ask once and keep their connections for good must not fill the places: while many are open, one
/// that has asked for the first time is closed with its answer.
#[test]
fn idle_connections_are_closed_while_many_are_open() {
    run_test(async {
        let endpoint = TestEndpoint::start([ok("served")]).await;
        let proxy = Proxy::start_with(&TestDiscovery::without_updates().await, &[endpoint], |config| {
            config["limits"]["sockets"] = 64.into();
        })
        .await;
        let mut clients = Vec::new();
        let mut closed = 0;
        // A sixth of 64 descriptors are kept.
        for _ in 0..15 {
            let mut client = proxy.client().await;
            let response = client.exchange(&request("free", "", "")).await;
            assert_eq!(response.status(), 200);
            closed += usize::from(response.header("connection") == Some("close"));
            clients.push(client);
        }
        assert!((1..=6).contains(&closed), "{closed}");
        let left = |client: &Client| client.stream.try_read(&mut [0]).is_ok_and(|count| count == 0);
        wait_until("they are closed", || clients.iter().filter(|client| left(client)).count() == closed)
            .await;
        assert_eq!(clients[0].exchange(&request("free", "", "")).await.status(), 200, "the others are kept");
    });
}

/// At the limit those that never asked make room first, and one that has just been answered keeps its connection.
#[test]
fn clients_that_ask_keep_their_connections() {
    run_test(async {
        let endpoint = TestEndpoint::start([ok("served")]).await;
        let proxy = Proxy::start_with(&TestDiscovery::without_updates().await, &[endpoint], |config| {
            config["limits"]["sockets"] = 64.into();
        })
        .await;
        let mut usual = proxy.client().await;
        assert_eq!(usual.exchange(&request("free", "", "")).await.status(), 200);
        let mut silent = Vec::new();
        for _ in 0..100 {
            silent.push(proxy.client().await);
            assert_eq!(usual.exchange(&request("free", "", "")).await.status(), 200);
        }
    });
}

/// An unsafe request that may have run must not be sent again, nor refused as if it had not.
#[test]
fn an_unsafe_request_that_may_have_run_fails() {
    let error = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n";
    let odd = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
    let acts = [
        ScriptedResponse::WriteAndClose(String::new()),
        ScriptedResponse::WriteAndClose("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf".to_owned()),
        ScriptedResponse::Write(error.to_owned()),
        ScriptedResponse::Write(odd.to_owned()),
        ScriptedResponse::Write("noise\r\n\r\n".to_owned()),
        // Answers that may be whole or not, or are none.
        ScriptedResponse::WriteAndClose(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nwhole?".to_owned(),
        ),
        ScriptedResponse::WriteAndClose(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked, gzip\r\n\r\nwhole?".to_owned(),
        ),
        ScriptedResponse::Write(
            "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 5\r\n\r\nwhole".to_owned(),
        ),
        ScriptedResponse::Write(
            "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 5\r\n\r\nwhole".to_owned(),
        ),
        ScriptedResponse::Write(format!(
            "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n{CHUNKED}5\r\nwhole\r\n0\r\n\r\n"
        )),
        ScriptedResponse::Write(format!(
            "HTTP/1.1 200 OK\r\n{CHUNKED}5\r\nabcde\r\nzz\r\nabcde\r\n0\r\n\r\n"
        )),
        ScriptedResponse::Write(
            "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n".to_owned() + &"x".repeat(100_000),
        ),
        ScriptedResponse::Write(format!("HTTP/1.1 200 OK\r\n{}", "X-Pad: p\r\n".repeat(10_000))),
        ScriptedResponse::Write(
            "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n".to_owned(),
        ),
        ScriptedResponse::Write("HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n".to_owned()),
    ];
    for act in acts {
        run_test(async {
            let endpoints =
                [TestEndpoint::start([act.clone()]).await, TestEndpoint::start([act.clone()]).await];
            let proxy = Proxy::start(&endpoints).await;
            let response = proxy.client().await.exchange(&request("unsafe", "", "")).await;
            assert_eq!(response.status(), 502, "{act:?}");
            assert_eq!(endpoints[0].request_count() + endpoints[1].request_count(), 1, "{act:?}");
        });
    }
}

#[test]
fn an_unsafe_request_that_surely_never_ran_goes_again() {
    run_test(async {
        let endpoints = [TestEndpoint::start([reject()]).await, TestEndpoint::start([reject()]).await];
        endpoints[1].script.borrow_mut().clear();
        endpoints[1].script.borrow_mut().push_back(ok("served"));
        let proxy = Proxy::start(&endpoints).await;
        let mut client = proxy.client().await;
        for _ in 0..8 {
            assert_eq!(client.exchange(&request("unsafe", "", "")).await.status(), 200);
        }
        assert!(endpoints[0].request_count() > 0, "the picks are random, but never all the same");
    });
}

/// Given up, a request is answered at once, and told when to come back.
#[test]
fn a_refusal_comes_at_once_with_advice() {
    run_test(async {
        let endpoint = TestEndpoint::start([ok("")]).await;
        let gone = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let dead = TestEndpoint { address: gone.local_addr().expect("an address"), ..endpoint };
        drop(gone);
        let proxy = Proxy::start(&[dead]).await;
        let started = std::time::Instant::now();
        let response = proxy.client().await.exchange(&request("unsafe", "", "")).await;
        assert_eq!(response.status(), 503);
        assert!(started.elapsed().as_millis() < 7_000, "not sat on until its deadline");
        let retry_after = response.header("retry-after").and_then(|v| v.parse::<f64>().ok());
        assert!(retry_after.is_some_and(|seconds| seconds > 0.0 && seconds <= 0.75), "{response:?}");
    });
}

/// A client that goes away must not leave its attempt behind.
#[test]
fn a_client_that_closes_ends_its_attempt() {
    run_test(async {
        let endpoint = TestEndpoint::start([ScriptedResponse::Stall]).await;
        let proxy =
            Proxy::start_with(&TestDiscovery::without_updates().await, from_ref(&endpoint), |config| {
                // Else the attempt would time out while the test waits.
                config["settings"]["classes"][2]["objective_us"] = 60_000_000.into();
                config["settings"]["classes"][2]["deadline_us"] = 60_000_000.into();
            })
            .await;
        let mut client = proxy.client().await;
        client.send(&request("unsafe", "", "").replace("8000", "60000")).await;
        wait_until("the host has it", || endpoint.request_count() == 1).await;
        drop(client);
        wait_until("the attempt's connection closes", || endpoint.open_connections.get() == 0).await;
    });
}

/// A time-out closes the attempt's connection and fails the request within the client's time.
#[test]
fn a_host_that_says_nothing_is_given_up_in_the_clients_time() {
    run_test(async {
        let endpoint = TestEndpoint::start([ScriptedResponse::Stall]).await;
        let proxy = Proxy::start(from_ref(&endpoint)).await;
        let started = std::time::Instant::now();
        let text = request("unsafe", "", "").replace("8000", "300");
        assert_eq!(proxy.client().await.exchange(&text).await.status(), 502);
        assert!(started.elapsed().as_millis() >= 200, "not before its time");
        wait_until("the attempt's connection closes", || endpoint.open_connections.get() == 0).await;
    });
}

/// What is kept back for the way to the client must leave a hurried one nearly all of its time.
#[test]
fn a_hurried_clients_request_gets_nearly_all_of_its_time() {
    run_test(async {
        let endpoint = TestEndpoint::start([ScriptedResponse::Stall]).await;
        let proxy = Proxy::start(from_ref(&endpoint)).await;
        let mut client = proxy.client().await;
        let started = std::time::Instant::now();
        assert_eq!(client.exchange(&request("unsafe", "", "").replace("8000", "32")).await.status(), 502);
        assert!(started.elapsed().as_millis() >= 30, "{:?}", started.elapsed());
    });
}

/// A host goes on with what it has, whatever the proxy does: an attempt that was given up at its aim was work thrown
/// away that no budget counted any more, and a client that asks again doubles it.
#[test]
fn an_answer_after_the_aim_is_passed_on_while_its_client_waits() {
    run_test(async {
        let endpoint = TestEndpoint::start([ScriptedResponse::Stall]).await;
        let proxy =
            Proxy::start_with(&TestDiscovery::without_updates().await, from_ref(&endpoint), |config| {
                config["settings"]["classes"][2]["objective_us"] = 20_000.into();
            })
            .await;
        let mut client = proxy.client().await;
        client.send(&request("unsafe", "", "")).await;
        wait_until("the host has it", || endpoint.request_count() == 1).await;
        let early = tokio::time::timeout(std::time::Duration::from_millis(200), client.message()).await;
        assert!(early.is_err(), "{early:?} while the host is at it");
        endpoint.release.notify_one();
        assert_eq!(client.message().await.expect("an answer").status(), 200);
    });
}

/// Clients that connect and say nothing must not keep others out, nor cost more descriptors than there are.
#[test]
fn silent_connections_do_not_keep_others_out() {
    run_test(async {
        let endpoint = TestEndpoint::start([ok("served")]).await;
        let proxy = Proxy::start_with(&TestDiscovery::without_updates().await, &[endpoint], |config| {
            config["limits"]["sockets"] = 64.into();
        })
        .await;
        let mut silent = Vec::new();
        for _ in 0..40 {
            silent.push(proxy.client().await);
        }
        assert_eq!(proxy.client().await.exchange(&request("free", "", "")).await.status(), 200);
    });
}

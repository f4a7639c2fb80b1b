use super::*;
use crate::body::RequestBody;
use crate::control::in_flight::{ForwardedRequest, Reply, RequestDescriptor};
use balancer::ClassId;
use hyper::rt::Write;
use hyper::{HeaderMap, Method, Uri};
use std::task::Waker;
use tokio::io::AsyncReadExt;

/// The end of an answer may be handed over long before its client has taken it: closing then would cut it off.
#[tokio::test]
async fn a_client_that_has_not_taken_its_answer_is_not_idle() {
    let (far, near) = pair().await;
    let mut socket = Socket::for_client(near);
    let since = Instant::now() - IDLE_MOST;
    let (task, phase) = (tokio::spawn(std::future::pending()), Rc::new(Cell::new(Phase::Idle(since))));
    let client = ClientConnection {
        task,
        socket: socket.clone(),
        phase,
        end: Rc::default(),
        metrics: Metrics::default(),
    };
    let times = IdleTimeouts { idle: IDLE_LEAST, silent: WHOLE_TIME };
    assert!(client.is_due(Instant::now(), times) && client.spare(Instant::now()).is_some());
    let mut context = Context::from_waker(Waker::noop());
    while Pin::new(&mut socket).poll_write(&mut context, &[0; 1 << 16]).is_ready() {}
    assert!(!client.is_due(Instant::now(), times) && client.spare(Instant::now()).is_none());
    assert!(client.look(Instant::now(), times));
    assert!(!client.look(Instant::now() + BLOCKED_MOST, times), "not for good");
    drop(far);
}

/// A process that is busy comes to read late: its clients are not closed for that.
#[tokio::test]
async fn a_new_client_whose_request_is_unread_is_not_spared() {
    let (far, near) = pair().await;
    let (task, now) = (tokio::spawn(std::future::pending()), Instant::now());
    let phase = Rc::new(Cell::new(Phase::New(now - BEGUN)));
    let client = ClientConnection {
        task,
        socket: Socket::for_client(near),
        phase,
        end: Rc::default(),
        metrics: Metrics::default(),
    };
    assert!(client.spare(now).is_some(), "it has said nothing");
    far.try_write(b"GET /api HTTP/1.1\r\n").expect("written");
    while client.socket.has_no_unread_input() {
        yield_now().await;
    }
    assert!(client.spare(now).is_none());
}

/// A host that takes nothing, and a configuration that knows it.
async fn one_host() -> (TcpListener, Rc<crate::config::Config>) {
    let endpoint = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let dial = endpoint.local_addr().expect("an address");
    let entry = format!(r#"{{"host":"s-0","dial":"{dial}","health":"Ready"}}"#);
    let class =
        r#"{"name":"free","objective_us":5000000,"deadline_us":9000000,"worth":1.0,"idempotency":"free"}"#;
    let config = format!(
        r#"{{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1","known":{{"seq":1,"whole":true,"hosts":[{entry}]}},
            "settings":{{"balancers":1,"me":0,"discovery":"push","tick_us":1000,"classes":[{class}],
                         "invariants":{{"cold_from":0.3,"cold_us":7500000,"ask_every_us":320000}}}}}}"#
    );
    let config = crate::config::Config::parse(&config).expect("a good configuration");
    (endpoint, Rc::new(config))
}

async fn pair() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let (far, near) = tokio::join!(TcpStream::connect(address), listener.accept());
    (far.expect("connected"), near.expect("accepted").0)
}

/// What the module sends in the turn in which its client's end is told of is not begun, not even by a connection.
#[tokio::test]
async fn no_connection_is_opened_for_a_client_that_has_left() {
    let (endpoint, config) = one_host().await;
    let test = async {
        let (far, near) = pair().await;
        let client = Socket::for_client(near);
        far.try_write(b"GET /").expect("written");
        drop(far);
        while !client.is_known_disconnected() {
            yield_now().await;
        }
        let payload = RequestBody::Whole(Bytes::new());
        let (target, headers, budget) = (Uri::from_static("/api"), HeaderMap::new(), Duration::from_secs(4));
        let forward = ForwardedRequest { method: Method::GET, target, headers, payload, budget, client };
        let (id, class, deadline) = (HeaderValue::from_static("1"), ClassId(0), Instant::now() + budget);
        let ask = RequestDescriptor { id, class, tenant: None, deadline, client_retry: false };
        let mut waiting = Control::start(config).request(ask, forward).expect("its id is free");
        assert!(matches!(waiting.reply().await, Reply::Failed));
        assert!(timeout(Duration::ZERO, endpoint.accept()).await.is_err(), "nobody connects");
    };
    tokio::task::LocalSet::new().run_until(test).await;
}

/// A connection is found due, and what comes before its task's turn is read after that, in part or whole: it is answered.
#[tokio::test]
async fn what_comes_as_a_connection_is_due_is_answered() {
    let (_host, config) = one_host().await;
    let test = async {
        let driver = Control::start(config);
        let (open, crowded, stopping) = Default::default();
        let mut clients = ClientConnections { driver, open, crowded, stopping };
        let (health, answer) = ("GET /_health HTTP/1.1\r\n\r\n", "HTTP/1.1 200 OK\r\n");
        // A new one, on which nothing has come, and an idle one.
        for parts in [[health, ""], ["GET /_hea", "lth HTTP/1.1\r\n\r\n"]] {
            let (mut far, near) = pair().await;
            clients.serve(near);
            // Found due before it comes, or as the system tells of it.
            for told in [false, false, true] {
                yield_now().await;
                if !told {
                    clients.open[0].end.notify_one();
                }
                for part in parts {
                    assert_eq!(far.try_write(part.as_bytes()).expect("written"), part.len());
                    yield_now().await;
                    if told {
                        clients.open[0].end.notify_one();
                    }
                    yield_now().await;
                    yield_now().await;
                }
                let mut bytes = [0; 1_024];
                let count = far.read(&mut bytes).await.expect("an answer");
                assert!(bytes[..count].starts_with(answer.as_bytes()), "{parts:?}");
            }
            // With nothing there it ends.
            let client = clients.open.pop().expect("it is there");
            client.end.notify_one();
            assert_eq!(far.read(&mut [0]).await.expect("an end"), 0);
        }
    };
    let tasks = tokio::task::LocalSet::new();
    timeout(Duration::from_secs(5), tasks.run_until(test)).await.expect("in time");
}

/// The end of a client is an event of its connection's own: here nobody sweeps. hyper does not read on behind the part
/// of a next request.
#[tokio::test]
async fn a_client_that_leaves_while_its_request_is_open_is_gone_without_a_sweep() {
    let (_host, config) = one_host().await;
    let test = async {
        let driver = Control::start(config);
        let (open, crowded, stopping) = Default::default();
        let mut clients = ClientConnections { driver: driver.clone(), open, crowded, stopping };
        let mut sent = 0;
        for (begun, reset) in [(false, false), (false, true), (true, false), (true, true)] {
            let (far, near) = pair().await;
            clients.serve(near);
            let text = format!(
                "GET /api HTTP/1.1\r\nX-Call-Id: {begun}{reset}\r\nX-Call-Class: free\r\nX-Budget-Ms: 8000\r\n\r\nGET /"
            );
            assert_eq!(far.try_write(text.as_bytes()).expect("written"), text.len());
            while driver.figures()["pending"] != 1 {
                yield_now().await;
            }
            // Of one that is out nothing is looked at any more. The server, which has done nothing wrong, is used again.
            sent += u64::from(begun);
            while driver.figures()["upstream_requests"] != sent {
                yield_now().await;
            }
            if reset {
                far.set_zero_linger().expect("lingers not");
            }
            drop(far);
            while driver.figures()["pending"] != 0 {
                yield_now().await;
            }
            assert!(clients.open.pop().is_some_and(|client| client.socket.is_known_disconnected()), "closed");
            assert_eq!(driver.figures()["upstream_requests"], sent);
        }
    };
    let tasks = tokio::task::LocalSet::new();
    let test = timeout(Duration::from_secs(5), tasks.run_until(test));
    test.await.expect("it is told of the end");
}

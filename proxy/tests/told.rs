//! A change of the list counts as told 6 s after discovery had it and could be reached, 4 s after a new configuration, and
//! where lists are pushed as soon as the agent has it. Here every wait on the way is added up, in time that only the test
//! moves.

mod common;

use client_proxy::config::Config;
use common::still::Call::{Away, Late, Reset, Say};
use common::still::*;
use common::*;
use std::net::SocketAddr;
use std::slice::from_ref;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::advance;

/// What is left of the times of the pages for the drain grace; the tests' steps are in it.
const GRACE: Duration = Duration::from_millis(200);

/// A watch that says at once that this host finishes its work.
fn drains(host: &Host) -> Call {
    Say(draining(host))
}

fn draining(host: &Host) -> String {
    format!("{WATCH}{}", chunk(&list(42, true, &[entry("s-0", host.address, "Terminating")])))
}

/// A proxy in time that stands still, with a connection that rests at its one host until it hears that this drains.
struct Still {
    host: Host,
    address: SocketAddr,
    reload: mpsc::UnboundedSender<Config>,
    config: String,
}

impl Still {
    async fn start(mode: &str, balancer_count: u32, discovery: &Script, host: Host) -> Still {
        Still::seeded(1, mode, balancer_count, discovery, host).await
    }

    async fn seeded(seed: u64, mode: &str, balancer_count: u32, discovery: &Script, host: Host) -> Still {
        let config = configuration(discovery.address, from_ref(&host), |config| {
            config["seed"] = format!("{seed:x}").into();
            config["settings"]["discovery"] = mode.into();
            config["settings"]["balancers"] = balancer_count.into();
            config["settings"]["invariants"]["ask_every_us"] = 10_000_000.into();
        });
        let read = Config::parse(&config).expect("a good configuration");
        let clients = client_proxy::process_handoff::bind(read.listen).expect("bound");
        let address = clients.local_addr().expect("an address");
        let (reload, mut reloads) = mpsc::unbounded_channel();
        let listeners = client_proxy::Listeners { clients, operators: None };
        let next = async move || reloads.recv().await.map(Ok);
        spawn_local(client_proxy::run(read, listeners, None, next, std::future::pending()));
        settle().await;
        let mut client = Reader::new(TcpStream::connect(address).await.expect("it listens"));
        assert_eq!(client.ask(&request("free", "", "")).await.status(), 200);
        at_once("a connection rests", || host.open.get() == 1).await;
        // Its client stays.
        spawn_local(async move {
            std::future::pending::<()>().await;
            drop(client)
        });
        Still { host, address, reload, config }
    }

    fn move_to(&self, from: &Script, to: &Script) {
        let config = self.config.replace(&from.address.to_string(), &to.address.to_string());
        self.reload.send(Config::parse(&config).expect("a good configuration")).expect("it runs");
    }

    /// Until the proxy acts on what it was told last.
    async fn told(&self, what: &str) -> Duration {
        until(what, || self.host.open.get() == 0).await
    }
}

fn many(failure: fn() -> Call, count: usize) -> Vec<Call> {
    std::iter::repeat_with(failure).take(count).collect()
}

/// What calls for a watch that was lost may meet before one is answered, discovery being within reach.
fn failures() -> Vec<Vec<Call>> {
    let one = [REFUSES, WAITS, SILENT, HALF, QUIET, || Reset];
    let mut paths: Vec<_> = one.into_iter().map(|call| vec![call()]).collect();
    paths.push(Vec::new());
    paths
}

/// A watch that falls silent at once, or is reset soon or later.
#[test]
fn what_a_lost_asked_watch_missed_is_acted_on_in_time() {
    let ends = [None, Some(500 * MS), Some(1_500 * MS)];
    for (balancer_count, reset) in [5, 300].into_iter().flat_map(|count| ends.map(|reset| (count, reset))) {
        for path in failures() {
            let name = format!("{balancer_count} balancers, reset after {reset:?}, {path:?}");
            run_still(async {
                let host = Host::start([ok("served")]).await;
                let calls = [QUIET()].into_iter().chain(path).chain([drains(&host)]);
                let discovery = Script::start(calls).await;
                let proxy = Still::start("ask", balancer_count, &discovery, host).await;
                at_once("the watch", || discovery.calls.get() == 1).await;
                if let Some(after) = reset {
                    advance(after).await;
                    settle().await;
                    discovery.reset();
                }
                let took = proxy.told("the drain").await;
                assert!(took <= 6_000 * MS + GRACE, "{took:?}: {name}");
            });
        }
    }
}

/// Discovery was away for so long that all waits have grown: from its return on, or from the beginning of a call that
/// is given up, no more than the time goes by.
#[test]
fn what_an_asked_discovery_has_on_its_return_is_acted_on_in_time() {
    for balancer_count in [5, 300] {
        for seconds in [1, 4, 8, 13, 20] {
            run_still(async {
                let host = Host::start([ok("served")]).await;
                let away = Away(Duration::from_secs(seconds));
                let discovery = Script::start([QUIET(), away, drains(&host)]).await;
                let proxy = Still::start("ask", balancer_count, &discovery, host).await;
                proxy.told("the drain").await;
                let back = discovery.back.get().expect("it was away");
                let took = back.elapsed();
                assert!(
                    took <= 6_000 * MS + GRACE,
                    "{took:?}: away for {seconds} s, {balancer_count} balancers"
                );
            });
        }
        for silent in 1..=6 {
            run_still(async {
                let host = Host::start([ok("served")]).await;
                let calls = [QUIET()].into_iter().chain(many(SILENT, silent)).chain([drains(&host)]);
                let discovery = Script::start(calls).await;
                let proxy = Still::start("ask", balancer_count, &discovery, host).await;
                until("the last silent call", || discovery.calls.get() > silent).await;
                let took = proxy.told("the drain").await;
                assert!(
                    took <= 6_000 * MS + GRACE,
                    "{took:?} after {silent} silent calls, {balancer_count} balancers"
                );
            });
        }
    }
}

/// Whatever became of the call before, what the agent has counts as told at once: here are the drain grace of 0.4 s and
/// its slack of 50 ms.
#[test]
fn what_the_agent_has_is_acted_on_within_the_drain_grace() {
    let grace = Duration::from_millis(450);
    let fails = [REFUSES, SILENT, HALF, || Reset, || Away(Duration::from_secs(8))];
    for path in
        fails.into_iter().map(|call| vec![call()]).chain([Vec::new(), many(SILENT, 9), many(REFUSES, 9)])
    {
        let name = format!("{path:?}");
        run_still(async {
            let host = Host::start([ok("served")]).await;
            let (count, away) = (path.len(), path.iter().any(|call| matches!(call, Away(_))));
            let calls = [QUIET()].into_iter().chain(path).chain([drains(&host)]);
            let discovery = Script::start(calls).await;
            let proxy = Still::start("push", 5, &discovery, host).await;
            at_once("the watch", || discovery.calls.get() == 1).await;
            advance(Duration::from_secs(1)).await;
            settle().await;
            discovery.reset();
            until("the last that fails", || away || discovery.calls.get() > count).await;
            let took = proxy.told("the drain").await;
            let took = discovery.back.get().map_or(took, |back| back.elapsed());
            assert!(took <= grace, "{took:?}: {name}");
        });
    }
    for path in failures() {
        let name = format!("{path:?}");
        run_still(async {
            let host = Host::start([ok("served")]).await;
            let discovery = Script::start([QUIET()].into_iter().chain(path).chain([drains(&host)])).await;
            let proxy = Still::start("push", 5, &discovery, host).await;
            let took = proxy.told("the drain").await;
            assert!(took <= 6_000 * MS + GRACE, "silent for {took:?}: {name}");
        });
    }
}

/// What the proxy is at when a new configuration comes.
#[derive(Clone, Copy, Debug)]
enum At {
    /// Its watch is open.
    Watching,
    /// It is opening one, and the old discovery has not answered.
    Calling,
    /// It waits before it calls again.
    PendingReply,
}

/// The time is counted from the signal on, whatever the proxy was at, and the old discovery says nothing more.
#[test]
fn what_a_new_discovery_has_is_acted_on_in_time() {
    let modes =
        [("ask", 300, 2), ("ask", 300, 3), ("ask", 300, 4), ("ask", 300, 1), ("ask", 5, 1), ("push", 5, 1)];
    for ((mode, balancer_count, seed), at) in
        modes.into_iter().flat_map(|m| [At::Watching, At::Calling, At::PendingReply].map(|at| (m, at)))
    {
        for path in failures() {
            let name = format!("{mode}, {balancer_count} balancers, seed {seed}, {at:?}, {path:?}");
            run_still(async {
                let host = Host::start([ok("served")]).await;
                let old = match at {
                    At::Watching => vec![QUIET()],
                    At::Calling => vec![SILENT()],
                    At::PendingReply => vec![REFUSES(), Away(Duration::from_secs(100))],
                };
                let (old, new) =
                    (Script::start(old).await, Script::start(path.into_iter().chain([drains(&host)])).await);
                let proxy = Still::seeded(seed, mode, balancer_count, &old, host).await;
                at_once("the old one is called", || old.calls.get() == 1).await;
                advance(50 * MS).await;
                settle().await;
                proxy.move_to(&old, &new);
                let took = proxy.told("the drain").await;
                assert!(took <= 4_000 * MS + GRACE, "{took:?}: {name}");
            });
        }
    }
}

/// A call that waits for its turn at the new discovery is not broken off for one that was planned before, and what the
/// old one answers after the signal is not taken.
#[test]
fn a_call_to_a_new_discovery_is_left_its_turn() {
    for balancer_count in [5, 300] {
        for at in [At::Watching, At::Calling, At::PendingReply] {
            run_still(async {
                let host = Host::start([ok("served")]).await;
                let old = match at {
                    At::Watching => vec![QUIET()],
                    At::Calling => vec![Late(500 * MS, draining(&host))],
                    At::PendingReply => vec![REFUSES(), Away(Duration::from_secs(100))],
                };
                let turn = Late(Duration::from_secs(2), draining(&host));
                let (old, new) = (Script::start(old).await, Script::start([turn]).await);
                let proxy = Still::start("ask", balancer_count, &old, host).await;
                at_once("the old one is called", || old.calls.get() == 1).await;
                advance(50 * MS).await;
                settle().await;
                proxy.move_to(&old, &new);
                let took = proxy.told("the drain").await;
                assert!(took >= Duration::from_secs(2), "{took:?}: the old one was heard, {at:?}");
                assert_eq!(new.calls.get(), 1, "{balancer_count} balancers, {at:?}");
            });
        }
    }
}

/// The same where lists are pushed: an agent that is slow to answer until the signal is not heard after it.
#[test]
fn an_old_agent_that_answers_after_the_signal_is_not_heard() {
    for delay in [60 * MS, 100 * MS, 110 * MS] {
        run_still(async {
            let host = Host::start([ok("served")]).await;
            let old = Script::start([Late(delay, draining(&host))]).await;
            let new = Script::start([QUIET()]).await;
            let proxy = Still::start("push", 5, &old, host).await;
            at_once("the old one is called", || old.calls.get() == 1).await;
            advance(50 * MS).await;
            settle().await;
            proxy.move_to(&old, &new);
            at_once("the new one is called", || new.calls.get() == 1).await;
            until("the old one has answered", || !old.open.borrow().is_empty()).await;
            settle().await;
            assert_eq!(proxy.host.open.get(), 1, "heard after {delay:?}");
            assert_eq!((old.calls.get(), new.calls.get()), (1, 1), "and nobody is called again");
        });
    }
}

/// A new process serves by the list that it was given, which may be old, while its agent says nothing, takes no
/// connections or refuses. What the agent has when it speaks counts as told at once.
#[test]
fn a_new_process_serves_by_an_old_list_until_its_agent_speaks() {
    let absent = [SILENT, HALF, REFUSES, || Reset, || Away(Duration::from_secs(5))];
    for path in
        absent.into_iter().map(|failure| many(failure, if matches!(failure(), Away(_)) { 1 } else { 30 }))
    {
        let name = format!("{:?}", path[0]);
        run_still(async {
            let (old, new) = (Host::start([ok("old")]).await, Host::start([ok("new")]).await);
            let (count, away) = (path.len(), matches!(path[0], Away(_)));
            // It leaves the old one out: that has gone, though it still answers.
            let whole = list(42, true, &[entry("s-1", new.address, "Ready")]);
            let calls = path.into_iter().chain([Say(format!("{WATCH}{}", chunk(&whole)))]);
            let discovery = Script::start(calls).await;
            // The start sends a request by the list that it knows.
            let proxy = Still::start("push", 5, &discovery, old.clone()).await;
            until("the last that fails", || away || discovery.calls.get() >= count).await;
            assert_eq!(old.count(), 1, "{name}");
            let took = proxy.told("what has gone").await;
            let took = discovery.back.get().map_or(took, |back| back.elapsed());
            assert!(took <= Duration::from_millis(450), "{took:?}: {name}");
            let mut client = Reader::new(TcpStream::connect(proxy.address).await.expect("it listens"));
            assert_eq!(client.ask(&request("unsafe", "", "")).await.body, b"new", "{name}");
            assert_eq!((old.count(), old.opened.get()), (1, 1), "nothing more to the old one: {name}");
        });
    }
}

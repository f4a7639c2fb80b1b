//! One of about a hundred balancers before about sixty servers: each carries little, a few carry much.

mod common;
use balancer::*;
use common::*;

/// One of a hundred, before sixty servers.
fn one_of_many() -> Proxy {
    Proxy::new(Settings { balancer_count: 100, ..settings(Idempotency::Idempotent) }, 60)
}

/// Sends `requests` calls at once and tells which of them went.
fn burst(proxy: &mut Proxy, requests: usize) -> Vec<RequestId> {
    let requests: Vec<(RequestId, Vec<Action>)> = (0..requests).map(|_| proxy.request()).collect();
    requests
        .into_iter()
        .filter(|(_, actions)| !sent(actions).is_empty())
        .map(|(request, _)| request)
        .collect()
}

/// Serves calls after `elapsed`, and in their turn those that they let go.
fn serve_all(proxy: &mut Proxy, requests: Vec<RequestId>, elapsed: Micros) {
    let mut out = requests;
    while !out.is_empty() {
        proxy.now += elapsed;
        let ended = std::mem::take(&mut out);
        for request in ended {
            out.extend(sent(&proxy.end(request, 0, Outcome::Served, elapsed)).into_iter().map(|s| s.0));
        }
    }
}

/// Bursts that are answered soon, until the balancer has grown to what they need.
fn grow(proxy: &mut Proxy) {
    for _ in 0..20 {
        let out = burst(proxy, 40);
        serve_all(proxy, out, 40 * MS);
        proxy.wait(300 * MS);
    }
}

#[test]
fn a_jam_halves_what_a_busy_balancer_may_have_out_and_takes_no_more() {
    let mut proxy = one_of_many();
    grow(&mut proxy);
    let out = burst(&mut proxy, 40);
    let before = out.len();
    assert!(before >= 30, "a busy balancer grows to what it needs: {before}");
    serve_all(&mut proxy, out, 400 * MS);
    proxy.wait(300 * MS);
    let left = burst(&mut proxy, 40).len();
    assert!((before / 2 - 2..before).contains(&left), "{left} of {before} after one jam");
}

#[test]
fn ties_of_a_thin_balancer_leave_a_near_zone_that_is_slower() {
    let (near, far) = (ZoneId(1), ZoneId(2));
    let settings = Settings { balancer_count: 100, zone: Some(near), ..settings(Idempotency::Idempotent) };
    let mut proxy = Proxy::new(settings, 0);
    let zoned = |id, zone| EndpointEntry { zone, ..ready(id) };
    proxy.list(ListUpdate::Full, vec![zoned(1, near), zoned(2, far)]);
    let mut crossed = 0;
    for _ in 0..400 {
        proxy.now += 100 * MS;
        let (request, actions) = proxy.request();
        let endpoint = sent(&actions)[0].1;
        let elapsed = if endpoint == EndpointId(1) { 120 * MS } else { 40 * MS };
        crossed += usize::from(endpoint == EndpointId(2));
        proxy.now += elapsed;
        proxy.end(request, 0, Outcome::Served, elapsed);
    }
    assert!((250..350).contains(&crossed), "three times as fast, three of four calls: {crossed} of 400");
}

/// A call comes every 5 ms for `steps` of them; each is served after what `time` says of it. Tells how many were
/// sent on.
fn stream(proxy: &mut Proxy, steps: u64, time: impl Fn(u64) -> Micros) -> usize {
    let mut due = std::collections::BTreeMap::new();
    let mut went = 0;
    for step in 0..steps + 200 {
        proxy.now += 5 * MS;
        let mut actions = proxy.event(Event::Timer);
        let late = due.split_off(&(proxy.now, RequestId(u64::MAX)));
        for ((_, request), elapsed) in std::mem::replace(&mut due, late) {
            actions.extend(proxy.end(request, 0, Outcome::Served, elapsed));
        }
        if step < steps {
            actions.extend(proxy.request().1);
        }
        for (request, _) in sent(&actions) {
            went += 1;
            due.insert((proxy.now + time(request.0), request), time(request.0));
        }
    }
    went
}

#[test]
fn the_quick_first_answers_of_many_calls_do_not_make_the_usual_ones_look_late() {
    let mut proxy = one_of_many();
    // Every second call takes twenty times as long: an answer in that time is as usual as can be.
    let time = |request: u64| if request.is_multiple_of(2) { 10 * MS } else { 200 * MS };
    stream(&mut proxy, 1_000, time);
    let went = stream(&mut proxy, 1_000, time);
    assert!(went > 900, "nothing is late, yet only {went} of 1000 were sent on");
}

#[test]
fn servers_that_refuse_do_not_lower_the_budget_of_all() {
    let mut proxy = one_of_many();
    grow(&mut proxy);
    // Half of the servers drain and the list has not said so yet.
    let out: Vec<(RequestId, EndpointId)> = (0..40).flat_map(|_| sent(&proxy.request().1)).collect();
    let before = out.len();
    let mut out: Vec<(RequestId, u32, EndpointId)> =
        out.into_iter().map(|(request, to)| (request, 0, to)).collect();
    while let Some((request, attempt, to)) = out.pop() {
        let outcome = if to.0 <= 30 { Outcome::Rejected } else { Outcome::Served };
        proxy.now += MS;
        let next = sent(&proxy.end(request, attempt, outcome, MS));
        out.extend(next.iter().map(|(id, to)| (*id, if *id == request { attempt + 1 } else { 0 }, *to)));
    }
    proxy.wait(3_000 * MS);
    let left = burst(&mut proxy, 40).len();
    assert!(left + 4 >= before, "{left} of {before} after refusals, though no answer was late");
}

#[test]
fn a_few_late_answers_are_chance_and_cut_nothing() {
    let mut proxy = one_of_many();
    grow(&mut proxy);
    let before = burst(&mut proxy, 40);
    let (late, rest) = before.split_at(6);
    serve_all(&mut proxy, rest.to_vec(), 40 * MS);
    serve_all(&mut proxy, late.to_vec(), 300 * MS);
    proxy.wait(300 * MS);
    let left = burst(&mut proxy, 40).len();
    assert!(left >= before.len(), "{left} of {} after six late answers", before.len());
}

/// Six in ten servers have just been replaced: paced by a count of heads they would stay idle, while the others are
/// full.
#[test]
fn cold_servers_carry_their_stated_part_of_the_work_where_most_are_cold() {
    let (mut cold, mut all) = (0, 0);
    for balancer_index in 0..100 {
        let mut proxy = Proxy::new(
            Settings { balancer_count: 100, balancer_index, ..settings(Idempotency::Idempotent) },
            60,
        );
        // A third of the way to warm at the latest: four tenths of its capacity at the least.
        let started_at = proxy.now;
        proxy.now += 6_667 * MS;
        let replaced = (1..=60)
            .map(|id| EndpointEntry { started_at: if id % 5 < 3 { started_at } else { 0 }, ..ready(id) });
        proxy.list(ListUpdate::Full, replaced.collect());
        for _ in 0..400 {
            proxy.now += MS;
            all += 1;
            cold += usize::from(proxy.serve(MS).is_some_and(|s| s.0 % 5 < 3));
        }
    }
    // Of the work that all can do, 24 parts warm and 36 x 0.4 cold, a third is theirs.
    assert!((all / 5..all / 2).contains(&cold), "{cold} of {all}");
}

/// After how long one of so many asks for the list again, each time that asking has failed.
fn waits_to_ask(balancer_count: u32, balancer_index: u32) -> Vec<Micros> {
    let settings =
        Settings { balancer_count, balancer_index, discovery: polled(), ..settings(Idempotency::Idempotent) };
    let mut proxy = one_of_many();
    proxy.balancer = Balancer::new(u64::from(balancer_index), settings);
    let waits = (0..4).map(|_| {
        proxy.list(ListUpdate::PollFailed, Vec::new());
        let failed = proxy.now;
        while !proxy.wait(10 * MS).contains(&Action::Subscribe) {
            assert!(proxy.now < failed + 40_000 * MS, "it never asks again");
        }
        proxy.now - failed
    });
    waits.collect()
}

/// They spread their calls over all the time that there is until a change counts as told: half of it, as the other half
/// goes by until a call is given up and in its answer. What that comes to at discovery is in `tests/discovery.rs`.
#[test]
fn very_many_balancers_leave_discovery_the_time_to_answer() {
    let discovery = settings(Idempotency::Idempotent).discovery;
    let most = discovery.notification_deadline / 2;
    let many: Vec<_> = (0..100).map(|balancer_index| waits_to_ask(100, balancer_index)).collect();
    assert!(many.iter().flatten().all(|wait| *wait <= most + 10 * MS), "past the time: {many:?}");
    let mean = |number: usize| many.iter().map(|waits| waits[number]).sum::<Micros>() / 100;
    assert!(mean(0) >= most * 2 / 5, "the first: {}", mean(0));
    for tenth in 0..10 {
        let part = most * tenth / 10..most * (tenth + 1) / 10;
        let first = many.iter().filter(|waits| part.contains(&waits[0])).count();
        assert!(first <= 20, "{first} of 100 at once, {part:?} after the first call that failed");
    }
    for number in 1..4 {
        assert!(many.iter().all(|waits| waits[number] >= most / 2), "{many:?}");
        assert!(mean(number) >= most * 7 / 10, "{}", mean(number));
    }
    let few = waits_to_ask(5, 0);
    assert!(few[0] < discovery.max_poll_interval / 16, "a few do not crowd it: {few:?}");
    assert!(few.iter().all(|wait| *wait <= most + 10 * MS), "past the time: {few:?}");
}

/// What a subscription misses that fell silent counts as told 6 s after that, 2.5 s of which go by until it is noticed.
#[test]
fn a_subscription_that_was_open_is_asked_for_again_soon() {
    for balancer_count in [5, 100] {
        let mut proxy = Proxy::new(
            Settings { balancer_count, discovery: polled(), ..settings(Idempotency::Idempotent) },
            60,
        );
        let every = settings(Idempotency::Idempotent).discovery.max_poll_interval;
        for _ in 0..10 {
            let lost = proxy.now;
            let actions = proxy.list(ListUpdate::WatchLost, Vec::new());
            assert!(!actions.contains(&Action::Subscribe), "not all at once");
            while !proxy.wait(10 * MS).contains(&Action::Subscribe) {
                assert!(proxy.now < lost + every / 32, "{balancer_count} balancers");
            }
            proxy.list(ListUpdate::Full, (1..=60).map(ready).collect());
        }
    }
}

/// A hundred balancers that each wait for a second sign keep a jammed server busy with calls that come too late.
#[test]
fn one_call_that_timed_out_is_sign_enough_for_a_thin_balancer() {
    // Its client waits for less than some answers take, or for long.
    for late in [200 * MS, 600 * MS] {
        let settings = Settings { balancer_count: 100, ..settings(Idempotency::Idempotent) };
        let mut proxy = Proxy::new(settings, 24);
        for _ in 0..20 {
            let out = burst(&mut proxy, 40);
            serve_all(&mut proxy, out, 40 * MS);
            proxy.wait(300 * MS);
        }
        let out: Vec<(RequestId, EndpointId)> = (0..40).flat_map(|_| sent(&proxy.request().1)).collect();
        let (lost, jammed) = out[0];
        let mut next = Vec::new();
        proxy.now += 40 * MS;
        for (request, _) in &out[1..] {
            next.extend(sent(&proxy.end(*request, 0, Outcome::Served, 40 * MS)));
        }
        serve_all(&mut proxy, next.into_iter().map(|(request, _)| request).collect(), 40 * MS);
        proxy.now += late;
        let (outcome, load) = (Outcome::TimedOut, LoadReport::default());
        proxy.event(Event::AttemptEnded {
            request: lost,
            attempt: 0,
            outcome,
            elapsed: late,
            request_finished: true,
            load,
        });
        let to: Vec<(RequestId, EndpointId)> = (0..40).flat_map(|_| sent(&proxy.request().1)).collect();
        assert!(to.len() >= 20, "all others have room: {}", to.len());
        assert!(to.iter().all(|(_, endpoint)| *endpoint != jammed), "after {late} us it is called again");
    }
}

/// A busy one of a hundred; every second of the sixty servers is in a zone whose connections now fail. Passed over
/// is that zone after the first few.
fn after_a_zone_is_lost() -> Proxy {
    let mut proxy = one_of_many();
    proxy.list(
        ListUpdate::Full,
        (1..=60).map(|id| EndpointEntry { zone: ZoneId(id % 2), ..ready(id) }).collect(),
    );
    grow(&mut proxy);
    let mut out: Vec<(RequestId, u32, EndpointId)> =
        (0..40).flat_map(|_| sent(&proxy.request().1)).map(|(request, to)| (request, 0, to)).collect();
    proxy.now += 40 * MS;
    // The lost zone's calls end last.
    while let Some((request, attempt, to)) = out.pop() {
        let outcome = if to.0 % 2 == 0 { Outcome::Served } else { Outcome::ConnectFailed };
        let next = sent(&proxy.end(request, attempt, outcome, 40 * MS));
        out.extend(next.iter().map(|(id, to)| (*id, if *id == request { attempt + 1 } else { 0 }, *to)));
    }
    proxy
}

#[test]
fn servers_of_a_lost_zone_leave_the_list_without_a_cut_for_those_left() {
    let mut proxy = after_a_zone_is_lost();
    let out = burst(&mut proxy, 30);
    let before = out.len();
    serve_all(&mut proxy, out, 40 * MS);
    let left = (1..=30).map(|id| EndpointEntry { zone: ZoneId(0), ..ready(2 * id) });
    proxy.list(ListUpdate::Full, left.collect());
    let after = burst(&mut proxy, 30).len();
    assert!(after >= before && before > 8, "{after} of {before}, though no server that served has gone");
}

#[test]
fn a_lost_zone_is_tried_by_one_call_at_a_time() {
    let mut proxy = after_a_zone_is_lost();
    let mut tries = Vec::new();
    for _ in 0..600 {
        proxy.now += 10 * MS;
        let (request, actions) = proxy.request();
        for (_, endpoint) in sent(&actions) {
            if endpoint.0 % 2 == 0 {
                proxy.end(request, 0, Outcome::Served, MS);
            } else {
                // Nothing is heard of it for as long as connections may take.
                tries.push(proxy.now);
            }
        }
    }
    assert!(!tries.is_empty(), "it is never tried again");
    assert!(tries.windows(2).all(|pair| pair[1] - pair[0] >= 100 * MS), "{tries:?}");
}

/// Calls differ in their work far more than servers in their speed: a few answers each are chance.
#[test]
fn a_thin_balancer_tells_a_slower_server_by_more_than_its_last_few_answers() {
    let (mut slow, mut all) = (0, 0);
    for balancer_index in 0..100 {
        let mut proxy = Proxy::new(
            Settings { balancer_count: 100, balancer_index, ..settings(Idempotency::Idempotent) },
            60,
        );
        for step in 0..200_u64 {
            let (request, actions) = proxy.request();
            let is_slow = sent(&actions)[0].1 .0.is_multiple_of(2);
            // Every fifth call takes ten times as long as others.
            let work = if (step * 7 + u64::from(balancer_index)) % 5 == 0 { 100 * MS } else { 10 * MS };
            let elapsed = if is_slow { 2 * work } else { work };
            proxy.now += elapsed;
            proxy.end(request, 0, Outcome::Served, elapsed);
            if step >= 100 {
                (slow, all) = (slow + usize::from(is_slow), all + 1);
            }
        }
    }
    assert!(slow * 5 < all * 2, "{slow} of {all} calls went to the half that is twice as slow");
}

/// A quarter of the servers answer nothing. What all balancers try them with must be a small part of their share.
#[test]
fn servers_that_answer_nothing_are_tried_with_few_calls_by_all_together() {
    let (mut lost, mut all) = (0, 0);
    for balancer_index in 0..100 {
        let mut proxy = Proxy::new(
            Settings { balancer_count: 100, balancer_index, ..settings(Idempotency::Idempotent) },
            60,
        );
        for step in 0..300 {
            let (request, actions) = proxy.request();
            let Some(&(_, endpoint)) = sent(&actions).first() else {
                proxy.event(Event::RequestCancelled { request });
                continue;
            };
            let hangs = endpoint.0 % 4 == 0;
            let (outcome, elapsed) =
                if hangs { (Outcome::TimedOut, 200 * MS) } else { (Outcome::Served, 20 * MS) };
            proxy.now += elapsed;
            let load = LoadReport::default();
            proxy.event(Event::AttemptEnded {
                request,
                attempt: 0,
                outcome,
                elapsed,
                request_finished: true,
                load,
            });
            if step >= 100 {
                (lost, all) = (lost + usize::from(hangs), all + 1);
            }
        }
    }
    assert!(lost * 20 < all, "{lost} of {all} calls went to servers that answer nothing");
}

/// One of three hundred before two hundred servers, whose calls are all of one class with this aim.
fn one_of_hundreds(latency_objective: Micros) -> Proxy {
    let mut settings = Settings { balancer_count: 300, ..settings(Idempotency::Idempotent) };
    settings.classes[0].latency_objective = latency_objective;
    Proxy::new(settings, 200)
}

/// In the middle of a release most of them may start at once.
#[test]
fn a_new_balancer_begins_with_its_part_of_a_call_for_each_core_and_soon_takes_more() {
    let mut proxy = one_of_hundreds(500 * MS);
    let out = burst(&mut proxy, 40);
    let first = out.len();
    assert!((2..=4).contains(&first), "{first} at once");
    serve_all(&mut proxy, out, 40 * MS);
    for _ in 0..10 {
        let out = burst(&mut proxy, 40);
        serve_all(&mut proxy, out, 40 * MS);
        proxy.wait(100 * MS);
    }
    let then = burst(&mut proxy, 40).len();
    assert!(then >= 2 * first, "{then} after two seconds, {first} at first");
}

/// Thirty answers of its own would take it four seconds, in a jam that all others feed as well.
#[test]
fn a_balancer_of_few_calls_heeds_a_jam_within_two_seconds() {
    let mut proxy = one_of_hundreds(500 * MS);
    grow(&mut proxy);
    let out = burst(&mut proxy, 40);
    let before = out.len();
    serve_all(&mut proxy, out, 40 * MS);
    proxy.wait(300 * MS);
    let mut out = std::collections::VecDeque::new();
    for _ in 0..14 {
        out.extend(burst(&mut proxy, 1));
        proxy.now += 100 * MS;
        if out.len() == 2 {
            let oldest = out.pop_front().expect("two are out");
            proxy.end(oldest, 0, Outcome::Served, 200 * MS);
        }
    }
    serve_all(&mut proxy, out.into(), 100 * MS);
    proxy.wait(300 * MS);
    let left = burst(&mut proxy, 40).len();
    assert!(4 * left <= 3 * before, "{left} of {before} after two seconds of late answers");
}

/// Servers of two cores that are nearly three fifths busy take half as long again: where the aim is near that is no jam.
#[test]
fn a_near_aim_does_not_make_a_busy_fleet_a_crowded_one() {
    let mut proxy = one_of_hundreds(100 * MS);
    let alone = |request: u64| (35 + 5 * (request % 5)) * MS;
    stream(&mut proxy, 1_000, alone);
    let busy = |request: u64| (50 + 5 * (request % 5)) * MS;
    let went = stream(&mut proxy, 1_000, busy);
    assert!(went > 900, "{went} of 1000 were sent on");
}

/// A handful of calls that met servers which answer nothing are no sign of the others.
#[test]
fn a_few_calls_without_an_answer_do_not_cut_the_budget_of_all() {
    let mut proxy = one_of_many();
    grow(&mut proxy);
    let out = burst(&mut proxy, 40);
    let before = out.len();
    let (lost, rest) = out.split_at(4);
    serve_all(&mut proxy, rest.to_vec(), 40 * MS);
    proxy.now += 1_100 * MS;
    for &request in lost {
        proxy.end(request, 0, Outcome::TimedOut, 1_140 * MS);
    }
    proxy.wait(300 * MS);
    let left = burst(&mut proxy, 40).len();
    assert!(left >= before, "{left} of {before} after four calls without an answer");
}

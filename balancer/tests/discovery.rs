//! How soon a list that is asked for is asked for again: whatever happens to calls, a change counts as told 6 s after
//! discovery had it and could be reached. With very many balancers discovery is modelled: it has a fixed capacity, calls
//! wait in turn, and one that has waited too long is refused, which may take as much of the capacity as an answer.

mod common;
use balancer::*;
use common::*;
use std::collections::VecDeque;

const S: Micros = 1_000 * MS;
/// How long the proxy goes without a word of a watch, or of the head of its answer, until it gives it up.
const SILENCE: Micros = 2_500 * MS;
/// How long a call waits for its turn at discovery before it is refused.
const TURN: Micros = 2 * S;
/// When a change counts as told; the drain grace, which comes on top of it, is left for the answer of an idle discovery.
const TOLD: Micros = 6 * S;
/// And after a new configuration.
const TOLD_AFTER_MOVE: Micros = 4 * S;
/// What a connection, the head and the first object of an answer may take together.
const ANSWER: Micros = 500 * MS;
const MANY: u32 = 300;

fn asking(balancer_count: u32, balancer_index: u32) -> Balancer {
    Balancer::new(
        u64::from(balancer_index) * 7 + 1,
        Settings { balancer_count, balancer_index, discovery: polled(), ..settings(Idempotency::Idempotent) },
    )
}

/// What discovery does with a call.
#[derive(Clone, Copy, PartialEq)]
enum Way {
    /// Answers in turn.
    Up,
    /// Nobody listens.
    Refuses,
    /// Nothing is heard of it.
    Silent,
}

/// A proxy alone: the list is lost, then each call takes so long to fail. Tells when each call began.
fn calls_of(balancer: &mut Balancer, lost: Option<Micros>, fails: &[Micros]) -> Vec<Micros> {
    let entries: Vec<_> = (1..=60).map(ready).collect();
    let members = |kind, entries| Event::EndpointList { kind, entries };
    let mut actions = Vec::new();
    balancer.handle(0, Event::Start, &mut actions);
    let mut begun = Vec::new();
    let mut now = match lost {
        Some(lost) => {
            balancer.handle(0, members(ListUpdate::Full, entries), &mut actions);
            balancer.handle(lost, members(ListUpdate::WatchLost, Vec::new()), &mut actions);
            lost
        }
        None => {
            balancer.handle(0, members(ListUpdate::Cached, entries), &mut actions);
            begun.push(0);
            balancer.handle(fails[0], members(ListUpdate::PollFailed, Vec::new()), &mut actions);
            fails[0]
        }
    };
    loop {
        now = next_call(balancer, now, &mut actions);
        begun.push(now);
        let Some(fail) = fails.get(begun.len() - 1) else { return begun };
        now += fail;
        balancer.handle(now, members(ListUpdate::PollFailed, Vec::new()), &mut actions);
    }
}

/// Refused at once, refused after its turn, or given up as silent.
const FAILS: [Micros; 3] = [0, TURN, SILENCE];

/// Wherever discovery could be reached from some moment on, a call that begins after it brings its news. Of a call that was
/// under way then SILENCE is left at the most, so this is the sum of all waits.
#[test]
fn after_any_calls_that_fail_the_next_begins_in_time() {
    for (balancer_count, balancer_index) in [(5, 0), (5, 3), (MANY, 0), (MANY, 7), (MANY, 299)] {
        for path in 0..3_usize.pow(5) {
            let fails: Vec<_> = (0..5).map(|n| FAILS[path / 3_usize.pow(n) % 3]).collect();
            for lost in [None, Some(0), Some(SILENCE)] {
                let begun = calls_of(&mut asking(balancer_count, balancer_index), lost, &fails);
                for (request, fail) in fails.iter().enumerate() {
                    let pause = begun[request + 1] - (begun[request] + fail);
                    let sum = SILENCE + pause + ANSWER;
                    assert!(
                        sum <= TOLD,
                        "{balancer_count}: {sum} us after call {request} of {fails:?}, lost {lost:?}"
                    );
                }
            }
        }
    }
}

/// A watch that fell silent at 0. One call that is given up, one that is refused after its turn or any number that are
/// refused at once leave a call in time, as they do after a new configuration.
#[test]
fn what_a_lost_watch_misses_is_asked_for_in_time() {
    let paths: [&[Micros]; 4] = [&[], &[TURN], &[SILENCE], &[0; 40]];
    for (balancer_count, balancer_index) in
        (0..40).flat_map(|balancer_index| [(5, balancer_index), (MANY, balancer_index)])
    {
        for (lost, told) in [(SILENCE, TOLD), (0, TOLD_AFTER_MOVE)] {
            for fails in paths {
                let begun = calls_of(&mut asking(balancer_count, balancer_index), Some(lost), fails);
                let last = begun.iter().rfind(|begun| **begun + ANSWER <= told).expect("a call in time");
                // The last of those that are refused at once is as late as can be.
                assert!(fails.len() < 40 || *last >= lost + 2_750 * MS, "{balancer_count}: {begun:?}");
                assert!(
                    fails.len() > 1 || begun.last() == Some(last),
                    "{balancer_count}, {fails:?}: {begun:?}"
                );
            }
        }
    }
}

/// Two watches in a row that are reset as soon as they are open, and then one call of any kind: the list was current until the
/// second reset, and what it misses from then on is asked for in time.
#[test]
fn what_two_watches_that_break_at_once_miss_is_asked_for_in_time() {
    for (balancer_count, balancer_index) in
        (0..40).flat_map(|balancer_index| [(5, balancer_index), (MANY, balancer_index)])
    {
        for fail in [None, Some(0), Some(TURN), Some(SILENCE)] {
            let mut balancer = asking(balancer_count, balancer_index);
            let members = |kind, entries| Event::EndpointList { kind, entries };
            let (mut actions, mut now) = (Vec::new(), 0);
            balancer.handle(now, Event::Start, &mut actions);
            balancer.handle(now, members(ListUpdate::Full, vec![ready(1)]), &mut actions);
            balancer.handle(now, members(ListUpdate::WatchLost, Vec::new()), &mut actions);
            now = next_call(&mut balancer, now, &mut actions);
            balancer.handle(now, members(ListUpdate::Full, vec![ready(1)]), &mut actions);
            let broken = now + 900 * MS;
            balancer.handle(broken, members(ListUpdate::WatchFlapping, Vec::new()), &mut actions);
            now = next_call(&mut balancer, broken, &mut actions);
            if let Some(fail) = fail {
                now += fail;
                balancer.handle(now, members(ListUpdate::PollFailed, Vec::new()), &mut actions);
                now = next_call(&mut balancer, now, &mut actions);
            }
            assert!(now + ANSWER <= broken + TOLD, "{balancer_count}, {fail:?}: {} us after", now - broken);
        }
    }
}

/// When the next call for the list begins.
fn next_call(balancer: &mut Balancer, mut now: Micros, actions: &mut Vec<Action>) -> Micros {
    loop {
        let mut wakes = actions.iter().filter_map(|action| match action {
            Action::SetTimer { after } => Some(*after),
            _ => None,
        });
        now += wakes.next_back().expect("it wakes for the next call");
        actions.clear();
        balancer.handle(now, Event::Timer, actions);
        if actions.contains(&Action::Subscribe) {
            return now;
        }
    }
}

/// A watch that was open shows that asking works, also where it had nothing to tell: waits begin anew.
#[test]
fn after_a_watch_that_was_open_waits_are_short_again() {
    let mut proxy = Proxy::new(
        Settings { balancer_count: 5, discovery: polled(), ..settings(Idempotency::Idempotent) },
        60,
    );
    let mut wait = |kinds: &[ListUpdate]| {
        kinds.iter().for_each(|kind| drop(proxy.list(*kind, Vec::new())));
        let failed = proxy.now;
        while !proxy.wait(10 * MS).contains(&Action::Subscribe) {}
        proxy.now - failed
    };
    let grown = (0..5).map(|_| wait(&[ListUpdate::PollFailed])).max().expect("five");
    let anew = wait(&[ListUpdate::WatchLost, ListUpdate::PollFailed]);
    assert!(grown >= S && anew <= 480 * MS, "{grown} and {anew}");
}

/// Discovery and those that ask it.
struct Fleet {
    now: Micros,
    way: Way,
    /// Calls a second, and what a refusal takes of one.
    capacity: u64,
    refusal: f64,
    /// Who waits, and since when.
    queue: VecDeque<(usize, Micros)>,
    free_at: Micros,
    proxies: Vec<Asking>,
    /// When each call was made, and whether it brought a list.
    requests: Vec<(Micros, bool)>,
}

/// A proxy that has no watch.
struct Asking {
    balancer: Balancer,
    wake: Micros,
    /// When its call was made.
    request: Option<Micros>,
    /// When it takes its watch for dead.
    notices: Micros,
    told: Option<Micros>,
}

impl Fleet {
    /// All watches are open; `notices` says when each is found to be lost.
    fn new(count: u32, capacity: u64, refusal: f64, notices: impl Fn(u32) -> Micros) -> Fleet {
        let proxy = |balancer_index: u32| {
            let mut balancer = asking(count, balancer_index);
            let (mut actions, entries) = (Vec::new(), (1..=60).map(ready).collect());
            balancer.handle(0, Event::Start, &mut actions);
            balancer.handle(0, Event::EndpointList { kind: ListUpdate::Full, entries }, &mut actions);
            let notices = notices(balancer_index);
            Asking { balancer, wake: Micros::MAX, request: None, notices, told: None }
        };
        let proxies = (0..count).map(proxy).collect();
        let (queue, requests) = Default::default();
        Fleet { now: 0, way: Way::Up, capacity, refusal, queue, free_at: 0, proxies, requests }
    }

    fn event(&mut self, who: usize, event: Event) {
        let mut actions = Vec::new();
        let proxy = &mut self.proxies[who];
        proxy.balancer.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::SetTimer { after } => proxy.wake = self.now + after,
                Action::Subscribe => {
                    proxy.request = Some(self.now);
                    self.requests.push((self.now, false));
                    if self.way == Way::Up {
                        self.queue.push_back((who, self.now));
                    }
                }
                _ => {}
            }
        }
    }

    fn list(&mut self, who: usize, kind: ListUpdate) {
        self.event(who, Event::EndpointList { kind, entries: Vec::new() });
    }

    fn fail(&mut self, who: usize) {
        self.proxies[who].request = None;
        self.list(who, ListUpdate::PollFailed);
    }

    fn answer(&mut self) {
        while self.free_at <= self.now {
            let Some((who, since)) = self.queue.pop_front() else { return };
            // One that was given up has left.
            if self.proxies[who].request != Some(since) {
                continue;
            }
            let served = self.now - since <= TURN;
            let takes = if served { 1.0 } else { self.refusal };
            self.free_at =
                self.free_at.max(self.now - MS) + (takes * S as f64 / self.capacity as f64) as Micros;
            if served {
                self.proxies[who].request = None;
                self.proxies[who].told = Some(self.now);
                self.requests
                    .iter_mut()
                    .filter(|request| **request == (since, false))
                    .take(1)
                    .for_each(|request| request.1 = true);
                self.list(who, ListUpdate::Delta);
            } else {
                self.fail(who);
            }
        }
    }

    /// Plays up to `until`.
    fn play(&mut self, until: Micros) {
        while self.now < until {
            self.now += MS;
            if self.way == Way::Up {
                self.answer();
            }
            for who in 0..self.proxies.len() {
                let Asking { wake, request, notices, .. } = self.proxies[who];
                let over = match self.way {
                    Way::Refuses => 0,
                    Way::Up | Way::Silent => SILENCE,
                };
                if notices <= self.now {
                    self.proxies[who].notices = Micros::MAX;
                    self.list(who, ListUpdate::WatchLost);
                } else if request.is_some_and(|since| self.now >= since + over) {
                    self.fail(who);
                } else if wake <= self.now {
                    self.proxies[who].wake = Micros::MAX;
                    self.event(who, Event::Timer);
                }
            }
        }
    }

    /// All proxies are killed and come up again with an old list.
    fn restart(&mut self) {
        for (who, balancer_index) in (0..).zip(0..self.proxies.len() as u32) {
            self.proxies[who].balancer = asking(MANY, balancer_index + MANY);
            self.event(who, Event::Start);
            let entries = (1..=60).map(ready).collect();
            self.event(who, Event::EndpointList { kind: ListUpdate::Cached, entries });
        }
    }

    /// How many were not told within `span` from `from` on.
    fn late(&self, from: Micros, span: Micros) -> usize {
        self.proxies.iter().filter(|p| p.told.is_none_or(|told| told > from + span)).count()
    }

    /// Most calls in a second from `from` on, and the share of all that failed.
    fn load(&self, from: Micros) -> (usize, f64) {
        let requests: Vec<_> = self.requests.iter().filter(|request| request.0 >= from).collect();
        let most =
            (0..30).map(|s| requests.iter().filter(|request| (request.0 - from) / S == s).count()).max();
        let failed = requests.iter().filter(|request| !request.1).count();
        (most.unwrap_or(0), failed as f64 / requests.len().max(1) as f64)
    }
}

/// Very many, all of whose watches are lost in the same instant.
fn lost_at(notices: Micros, capacity: u64, refusal: f64) -> Fleet {
    Fleet::new(MANY, capacity, refusal, |_| notices)
}

/// None is late where discovery could answer all in time; where by far it can't, the calls that fail don't keep it from
/// answering.
#[test]
fn very_many_that_lose_their_watch_at_once_are_all_told_in_time() {
    for (notices, told) in [(SILENCE, TOLD), (MS, TOLD_AFTER_MOVE)] {
        for refusal in [0.0, 1.0] {
            let mut fleet = lost_at(notices, 120, refusal);
            fleet.play(10 * S);
            assert_eq!(fleet.late(0, told), 0, "found lost at {notices}, a refusal takes {refusal}");
            let (most, failed) = fleet.load(0);
            assert!(most <= 320 && failed < 0.2, "{most} calls in a second, {failed} failed");
            let mut fleet = lost_at(notices, 40, refusal);
            fleet.play(21 * S);
            assert_eq!(fleet.late(0, 20 * S), 0, "of a third of that capacity, a refusal takes {refusal}");
            let (_, failed) = fleet.load(0);
            assert!(failed < 0.6, "{failed} failed");
        }
    }
}

#[test]
fn very_many_that_restart_at_once_are_all_told_in_time() {
    for refusal in [0.0, 1.0] {
        for capacity in [120, 60] {
            let mut fleet = lost_at(Micros::MAX, capacity, refusal);
            fleet.play(S);
            fleet.restart();
            fleet.play(10 * S);
            let (most, failed) = fleet.load(S);
            assert_eq!(fleet.late(S, TOLD), 0, "{capacity} a second, a refusal takes {refusal}");
            assert!(most <= 320 && failed < 0.4, "{most} calls in a second, {failed} failed");
        }
    }
}

/// While it is away none can be told; what it has when it returns all are to know in time, wherever they are in their waits.
#[test]
fn very_many_are_told_in_time_when_discovery_returns() {
    for (way, refusal) in [(Way::Refuses, 0.0), (Way::Refuses, 1.0), (Way::Silent, 0.0), (Way::Silent, 1.0)] {
        let mut fleet = lost_at(MS, 100, refusal);
        fleet.way = way;
        fleet.play(8 * S);
        fleet.way = Way::Up;
        fleet.play(20 * S);
        assert_eq!(fleet.late(8 * S, TOLD), 0, "a refusal takes {refusal}");
        let (most, failed) = fleet.load(8 * S);
        assert!(most <= 150 && failed < 0.1, "{most} calls in a second, {failed} failed");
    }
}

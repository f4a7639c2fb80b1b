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

fn asking(balancers: u32, me: u32) -> Balancer {
    Balancer::new(u64::from(me) * 7 + 1, Settings { balancers, me, ask: true, ..settings(Repeat::Free) })
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
    let members = |kind, entries| Event::Members { kind, entries };
    let mut actions = Vec::new();
    balancer.handle(0, Event::Start, &mut actions);
    let mut begun = Vec::new();
    let mut now = match lost {
        Some(lost) => {
            balancer.handle(0, members(ListKind::Full, entries), &mut actions);
            balancer.handle(lost, members(ListKind::Lost, Vec::new()), &mut actions);
            lost
        }
        None => {
            balancer.handle(0, members(ListKind::Cached, entries), &mut actions);
            begun.push(0);
            balancer.handle(fails[0], members(ListKind::Failed, Vec::new()), &mut actions);
            fails[0]
        }
    };
    loop {
        now = next_call(balancer, now, &mut actions);
        begun.push(now);
        let Some(fail) = fails.get(begun.len() - 1) else { return begun };
        now += fail;
        balancer.handle(now, members(ListKind::Failed, Vec::new()), &mut actions);
    }
}

/// Refused at once, refused after its turn, or given up as silent.
const FAILS: [Micros; 3] = [0, TURN, SILENCE];

/// Wherever discovery could be reached from some moment on, a call that begins after it brings its news. Of a call that was
/// under way then SILENCE is left at the most, so this is the sum of all waits.
#[test]
fn after_any_calls_that_fail_the_next_begins_in_time() {
    for (balancers, me) in [(5, 0), (5, 3), (MANY, 0), (MANY, 7), (MANY, 299)] {
        for path in 0..3_usize.pow(5) {
            let fails: Vec<_> = (0..5).map(|n| FAILS[path / 3_usize.pow(n) % 3]).collect();
            for lost in [None, Some(0), Some(SILENCE)] {
                let begun = calls_of(&mut asking(balancers, me), lost, &fails);
                for (call, fail) in fails.iter().enumerate() {
                    let pause = begun[call + 1] - (begun[call] + fail);
                    let sum = SILENCE + pause + ANSWER;
                    assert!(
                        sum <= TOLD,
                        "{balancers}: {sum} us after call {call} of {fails:?}, lost {lost:?}"
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
    for (balancers, me) in (0..40).flat_map(|me| [(5, me), (MANY, me)]) {
        for (lost, told) in [(SILENCE, TOLD), (0, TOLD_AFTER_MOVE)] {
            for fails in paths {
                let begun = calls_of(&mut asking(balancers, me), Some(lost), fails);
                let last = begun.iter().rfind(|begun| **begun + ANSWER <= told).expect("a call in time");
                // The last of those that are refused at once is as late as can be.
                assert!(fails.len() < 40 || *last >= lost + 2_750 * MS, "{balancers}: {begun:?}");
                assert!(fails.len() > 1 || begun.last() == Some(last), "{balancers}, {fails:?}: {begun:?}");
            }
        }
    }
}

/// Two watches in a row that are reset as soon as they are open, and then one call of any kind: the list was current until the
/// second reset, and what it misses from then on is asked for in time.
#[test]
fn what_two_watches_that_break_at_once_miss_is_asked_for_in_time() {
    for (balancers, me) in (0..40).flat_map(|me| [(5, me), (MANY, me)]) {
        for fail in [None, Some(0), Some(TURN), Some(SILENCE)] {
            let mut balancer = asking(balancers, me);
            let members = |kind, entries| Event::Members { kind, entries };
            let (mut actions, mut now) = (Vec::new(), 0);
            balancer.handle(now, Event::Start, &mut actions);
            balancer.handle(now, members(ListKind::Full, vec![ready(1)]), &mut actions);
            balancer.handle(now, members(ListKind::Lost, Vec::new()), &mut actions);
            now = next_call(&mut balancer, now, &mut actions);
            balancer.handle(now, members(ListKind::Full, vec![ready(1)]), &mut actions);
            let broken = now + 900 * MS;
            balancer.handle(broken, members(ListKind::BrokenAgain, Vec::new()), &mut actions);
            now = next_call(&mut balancer, broken, &mut actions);
            if let Some(fail) = fail {
                now += fail;
                balancer.handle(now, members(ListKind::Failed, Vec::new()), &mut actions);
                now = next_call(&mut balancer, now, &mut actions);
            }
            assert!(now + ANSWER <= broken + TOLD, "{balancers}, {fail:?}: {} us after", now - broken);
        }
    }
}

/// When the next call for the list begins.
fn next_call(balancer: &mut Balancer, mut now: Micros, actions: &mut Vec<Action>) -> Micros {
    loop {
        let mut wakes = actions.iter().filter_map(|action| match action {
            Action::Wake { after } => Some(*after),
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
    let mut proxy = Proxy::new(Settings { balancers: 5, ask: true, ..settings(Repeat::Free) }, 60);
    let mut wait = |kinds: &[ListKind]| {
        kinds.iter().for_each(|kind| drop(proxy.list(*kind, Vec::new())));
        let failed = proxy.now;
        while !proxy.wait(10 * MS).contains(&Action::Subscribe) {}
        proxy.now - failed
    };
    let grown = (0..5).map(|_| wait(&[ListKind::Failed])).max().expect("five");
    let anew = wait(&[ListKind::Lost, ListKind::Failed]);
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
    calls: Vec<(Micros, bool)>,
}

/// A proxy that has no watch.
struct Asking {
    balancer: Balancer,
    wake: Micros,
    /// When its call was made.
    call: Option<Micros>,
    /// When it takes its watch for dead.
    notices: Micros,
    told: Option<Micros>,
}

impl Fleet {
    /// All watches are open; `notices` says when each is found to be lost.
    fn new(count: u32, capacity: u64, refusal: f64, notices: impl Fn(u32) -> Micros) -> Fleet {
        let proxy = |me: u32| {
            let mut balancer = asking(count, me);
            let (mut actions, entries) = (Vec::new(), (1..=60).map(ready).collect());
            balancer.handle(0, Event::Start, &mut actions);
            balancer.handle(0, Event::Members { kind: ListKind::Full, entries }, &mut actions);
            let notices = notices(me);
            Asking { balancer, wake: Micros::MAX, call: None, notices, told: None }
        };
        let proxies = (0..count).map(proxy).collect();
        let (queue, calls) = Default::default();
        Fleet { now: 0, way: Way::Up, capacity, refusal, queue, free_at: 0, proxies, calls }
    }

    fn event(&mut self, who: usize, event: Event) {
        let mut actions = Vec::new();
        let proxy = &mut self.proxies[who];
        proxy.balancer.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Wake { after } => proxy.wake = self.now + after,
                Action::Subscribe => {
                    proxy.call = Some(self.now);
                    self.calls.push((self.now, false));
                    if self.way == Way::Up {
                        self.queue.push_back((who, self.now));
                    }
                }
                _ => {}
            }
        }
    }

    fn list(&mut self, who: usize, kind: ListKind) {
        self.event(who, Event::Members { kind, entries: Vec::new() });
    }

    fn fail(&mut self, who: usize) {
        self.proxies[who].call = None;
        self.list(who, ListKind::Failed);
    }

    fn answer(&mut self) {
        while self.free_at <= self.now {
            let Some((who, since)) = self.queue.pop_front() else { return };
            // One that was given up has left.
            if self.proxies[who].call != Some(since) {
                continue;
            }
            let served = self.now - since <= TURN;
            let takes = if served { 1.0 } else { self.refusal };
            self.free_at =
                self.free_at.max(self.now - MS) + (takes * S as f64 / self.capacity as f64) as Micros;
            if served {
                self.proxies[who].call = None;
                self.proxies[who].told = Some(self.now);
                self.calls
                    .iter_mut()
                    .filter(|call| **call == (since, false))
                    .take(1)
                    .for_each(|call| call.1 = true);
                self.list(who, ListKind::Delta);
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
                let Asking { wake, call, notices, .. } = self.proxies[who];
                let over = match self.way {
                    Way::Refuses => 0,
                    Way::Up | Way::Silent => SILENCE,
                };
                if notices <= self.now {
                    self.proxies[who].notices = Micros::MAX;
                    self.list(who, ListKind::Lost);
                } else if call.is_some_and(|since| self.now >= since + over) {
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
        for (who, me) in (0..).zip(0..self.proxies.len() as u32) {
            self.proxies[who].balancer = asking(MANY, me + MANY);
            self.event(who, Event::Start);
            let entries = (1..=60).map(ready).collect();
            self.event(who, Event::Members { kind: ListKind::Cached, entries });
        }
    }

    /// How many were not told within `span` from `from` on.
    fn late(&self, from: Micros, span: Micros) -> usize {
        self.proxies.iter().filter(|p| p.told.is_none_or(|told| told > from + span)).count()
    }

    /// Most calls in a second from `from` on, and the share of all that failed.
    fn load(&self, from: Micros) -> (usize, f64) {
        let calls: Vec<_> = self.calls.iter().filter(|call| call.0 >= from).collect();
        let most = (0..30).map(|s| calls.iter().filter(|call| (call.0 - from) / S == s).count()).max();
        let failed = calls.iter().filter(|call| !call.1).count();
        (most.unwrap_or(0), failed as f64 / calls.len().max(1) as f64)
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

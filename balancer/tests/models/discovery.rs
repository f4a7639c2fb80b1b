//! A model of a discovery service that answers polls in order, and of the proxies that poll it.

use crate::common::{polled_discovery, ready, settings, MS, SECOND};
use balancer::*;
use std::collections::VecDeque;

/// Time after which a proxy gives up a watch that sends nothing, or a poll whose response head does
/// not arrive.
pub(crate) const SILENCE: Micros = 2_500 * MS;
/// Time that a poll may be queued at discovery before it is rejected.
pub(crate) const QUEUE_TIMEOUT: Micros = 2 * SECOND;
/// Time after which a balancer counts as notified of a change. The drain grace, which is added to
/// it, leaves time for the response of an idle discovery.
pub(crate) const NOTIFICATION_DEADLINE: Micros = 6 * SECOND;
/// Notification deadline after a new configuration.
pub(crate) const NOTIFICATION_DEADLINE_AFTER_MOVE: Micros = 4 * SECOND;
/// Time allowed for a connection, the head and the first object of a response together.
pub(crate) const RESPONSE_TIME: Micros = 500 * MS;
pub(crate) const MANY_BALANCERS: u32 = 300;

pub(crate) fn polling_balancer(balancer_count: u32, balancer_index: u32) -> Balancer {
    Balancer::new(
        u64::from(balancer_index) * 7 + 1,
        Settings {
            balancer_count,
            balancer_index,
            discovery: polled_discovery(),
            ..settings(Idempotency::Idempotent)
        },
    )
}

/// How discovery handles polls.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Availability {
    /// Answers polls in order of arrival.
    Up,
    /// Refuses connections.
    RefusesConnections,
    /// Sends no response.
    Silent,
}

/// Discovery and the proxies that poll it.
pub(crate) struct Fleet {
    now: Micros,
    pub(crate) availability: Availability,
    /// Polls that discovery can answer per second.
    capacity: u64,
    /// Cost of a rejection, as a fraction of that of a response.
    rejection_cost: f64,
    /// Queued polls: which proxy, and since when.
    queue: VecDeque<(usize, Micros)>,
    /// When discovery has finished the work of the last answer.
    free_at: Micros,
    proxies: Vec<PollingProxy>,
    /// When each poll was sent, and whether it was answered with an update.
    requests: Vec<(Micros, bool)>,
}

/// A proxy that polls because its watch was lost.
struct PollingProxy {
    balancer: Balancer,
    timer_at: Micros,
    /// When its poll in flight was sent.
    request: Option<Micros>,
    /// When it detects that its watch is lost.
    loss_noticed_at: Micros,
    notified_at: Option<Micros>,
}

impl Fleet {
    /// Creates proxies with open watches; `loss_noticed_at` returns when each one detects that its
    /// watch is lost.
    fn new(
        count: u32,
        capacity: u64,
        rejection_cost: f64,
        loss_noticed_at: impl Fn(u32) -> Micros,
    ) -> Fleet {
        let proxy = |balancer_index: u32| {
            let mut balancer = polling_balancer(count, balancer_index);
            let (mut actions, entries) = (Vec::new(), (1..=60).map(ready).collect());
            balancer.handle(0, Event::Start, &mut actions);
            balancer.handle(
                0,
                Event::EndpointList {
                    kind: ListUpdate::Full,
                    entries,
                },
                &mut actions,
            );
            let loss_noticed_at = loss_noticed_at(balancer_index);
            PollingProxy {
                balancer,
                timer_at: Micros::MAX,
                request: None,
                loss_noticed_at,
                notified_at: None,
            }
        };
        let proxies = (0..count).map(proxy).collect();
        let (queue, requests) = Default::default();
        Fleet {
            now: 0,
            availability: Availability::Up,
            capacity,
            rejection_cost,
            queue,
            free_at: 0,
            proxies,
            requests,
        }
    }

    fn event(&mut self, who: usize, event: Event) {
        let mut actions = Vec::new();
        let proxy = &mut self.proxies[who];
        proxy.balancer.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::SetTimer { after } => proxy.timer_at = self.now + after,
                Action::Subscribe => {
                    proxy.request = Some(self.now);
                    self.requests.push((self.now, false));
                    if self.availability == Availability::Up {
                        self.queue.push_back((who, self.now));
                    }
                }
                _ => {}
            }
        }
    }

    fn list(&mut self, who: usize, kind: ListUpdate) {
        self.event(
            who,
            Event::EndpointList {
                kind,
                entries: Vec::new(),
            },
        );
    }

    fn fail(&mut self, who: usize) {
        self.proxies[who].request = None;
        self.list(who, ListUpdate::PollFailed);
    }

    fn answer(&mut self) {
        while self.free_at <= self.now {
            let Some((who, since)) = self.queue.pop_front() else {
                return;
            };
            // A proxy whose poll has timed out has closed its connection.
            if self.proxies[who].request != Some(since) {
                continue;
            }
            let served = self.now - since <= QUEUE_TIMEOUT;
            let takes = if served { 1.0 } else { self.rejection_cost };
            self.free_at = self.free_at.max(self.now - MS)
                + (takes * SECOND as f64 / self.capacity as f64) as Micros;
            if served {
                self.proxies[who].request = None;
                self.proxies[who].notified_at = Some(self.now);
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

    /// Runs the model up to time `until`.
    pub(crate) fn play(&mut self, until: Micros) {
        while self.now < until {
            self.now += MS;
            if self.availability == Availability::Up {
                self.answer();
            }
            for who in 0..self.proxies.len() {
                let PollingProxy {
                    timer_at,
                    request,
                    loss_noticed_at,
                    ..
                } = self.proxies[who];
                let over = match self.availability {
                    Availability::RefusesConnections => 0,
                    Availability::Up | Availability::Silent => SILENCE,
                };
                if loss_noticed_at <= self.now {
                    self.proxies[who].loss_noticed_at = Micros::MAX;
                    self.list(who, ListUpdate::WatchLost);
                } else if request.is_some_and(|since| self.now >= since + over) {
                    self.fail(who);
                } else if timer_at <= self.now {
                    self.proxies[who].timer_at = Micros::MAX;
                    self.event(who, Event::Timer);
                }
            }
        }
    }

    /// Kills all proxies and restarts them with a cached list.
    pub(crate) fn restart(&mut self) {
        for (who, balancer_index) in (0..).zip(0..self.proxies.len() as u32) {
            self.proxies[who].balancer =
                polling_balancer(MANY_BALANCERS, balancer_index + MANY_BALANCERS);
            self.event(who, Event::Start);
            let entries = (1..=60).map(ready).collect();
            self.event(
                who,
                Event::EndpointList {
                    kind: ListUpdate::Cached,
                    entries,
                },
            );
        }
    }

    /// Number of proxies that were not notified within `span` after `from`.
    pub(crate) fn late(&self, from: Micros, span: Micros) -> usize {
        self.proxies
            .iter()
            .filter(|p| p.notified_at.is_none_or(|at| at > from + span))
            .count()
    }

    /// Maximum number of polls in one second since `from`, and the fraction of all polls since then
    /// that failed.
    pub(crate) fn load(&self, from: Micros) -> (usize, f64) {
        let requests: Vec<_> = self
            .requests
            .iter()
            .filter(|request| request.0 >= from)
            .collect();
        let most = (0..30)
            .map(|s| {
                requests
                    .iter()
                    .filter(|request| (request.0 - from) / SECOND == s)
                    .count()
            })
            .max();
        let failed = requests.iter().filter(|request| !request.1).count();
        (
            most.unwrap_or(0),
            failed as f64 / requests.len().max(1) as f64,
        )
    }
}

/// Creates very many proxies that all detect at the same time that their watches are lost.
pub(crate) fn lost_at(loss_noticed_at: Micros, capacity: u64, rejection_cost: f64) -> Fleet {
    Fleet::new(MANY_BALANCERS, capacity, rejection_cost, |_| {
        loss_noticed_at
    })
}

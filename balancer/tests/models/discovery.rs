//! A model of a discovery service that answers polls in order, and of the proxies that poll it.

use crate::common::{polled_discovery, ready, settings, MS, SECOND};
use balancer::*;
use std::collections::VecDeque;

/// Time after which a proxy gives up a watch that sends nothing, or a poll whose response head does
/// not arrive.
pub(crate) const RESPONSE_TIMEOUT: Micros = 2_500 * MS;
/// Time that a poll may be queued at discovery before it is rejected.
pub(crate) const QUEUE_TIMEOUT: Micros = 2 * SECOND;
/// Time after which a balancer counts as notified of a change. The model answers a poll without
/// delay when discovery is idle; the time that a real response takes is covered by the drain grace,
/// in which draining endpoints may still be sent requests after the deadline.
pub(crate) const NOTIFICATION_DEADLINE: Micros = 6 * SECOND;
/// Notification deadline after a new configuration.
pub(crate) const NOTIFICATION_DEADLINE_AFTER_RECONFIGURATION: Micros = 4 * SECOND;
/// Time allowed for opening a connection and for receiving the head of the response and the
/// endpoint list that follows it.
pub(crate) const RESPONSE_TIME_ALLOWANCE: Micros = 500 * MS;
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
    idle_at: Micros,
    proxies: Vec<PollingProxy>,
    /// When each poll was sent, and whether it was answered with an update.
    polls: Vec<(Micros, bool)>,
}

/// A proxy that polls because its watch was lost.
struct PollingProxy {
    balancer: Balancer,
    timer_at: Micros,
    /// When its poll in flight was sent.
    poll_sent_at: Option<Micros>,
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
                poll_sent_at: None,
                loss_noticed_at,
                notified_at: None,
            }
        };
        let proxies = (0..count).map(proxy).collect();
        let (queue, polls) = Default::default();
        Fleet {
            now: 0,
            availability: Availability::Up,
            capacity,
            rejection_cost,
            queue,
            idle_at: 0,
            proxies,
            polls,
        }
    }

    fn handle_event(&mut self, proxy_index: usize, event: Event) {
        let mut actions = Vec::new();
        let proxy = &mut self.proxies[proxy_index];
        proxy.balancer.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::SetTimer { after } => proxy.timer_at = self.now + after,
                Action::Subscribe => {
                    proxy.poll_sent_at = Some(self.now);
                    self.polls.push((self.now, false));
                    if self.availability == Availability::Up {
                        self.queue.push_back((proxy_index, self.now));
                    }
                }
                _ => {}
            }
        }
    }

    fn update_list(&mut self, proxy_index: usize, kind: ListUpdate) {
        self.handle_event(
            proxy_index,
            Event::EndpointList {
                kind,
                entries: Vec::new(),
            },
        );
    }

    fn fail_poll(&mut self, proxy_index: usize) {
        self.proxies[proxy_index].poll_sent_at = None;
        self.update_list(proxy_index, ListUpdate::PollFailed);
    }

    fn answer_polls(&mut self) {
        while self.idle_at <= self.now {
            let Some((proxy_index, sent_at)) = self.queue.pop_front() else {
                return;
            };
            // A proxy whose poll has timed out has closed its connection.
            if self.proxies[proxy_index].poll_sent_at != Some(sent_at) {
                continue;
            }
            let served = self.now - sent_at <= QUEUE_TIMEOUT;
            let cost = if served { 1.0 } else { self.rejection_cost };
            self.idle_at = self.idle_at.max(self.now - MS)
                + (cost * SECOND as f64 / self.capacity as f64) as Micros;
            if served {
                self.proxies[proxy_index].poll_sent_at = None;
                self.proxies[proxy_index].notified_at = Some(self.now);
                self.polls
                    .iter_mut()
                    .filter(|poll| **poll == (sent_at, false))
                    .take(1)
                    .for_each(|poll| poll.1 = true);
                self.update_list(proxy_index, ListUpdate::Delta);
            } else {
                self.fail_poll(proxy_index);
            }
        }
    }

    /// Runs the model up to time `until`.
    pub(crate) fn run_until(&mut self, until: Micros) {
        while self.now < until {
            self.now += MS;
            if self.availability == Availability::Up {
                self.answer_polls();
            }
            for proxy_index in 0..self.proxies.len() {
                let PollingProxy {
                    timer_at,
                    poll_sent_at,
                    loss_noticed_at,
                    ..
                } = self.proxies[proxy_index];
                let timeout = match self.availability {
                    Availability::RefusesConnections => 0,
                    Availability::Up | Availability::Silent => RESPONSE_TIMEOUT,
                };
                if loss_noticed_at <= self.now {
                    self.proxies[proxy_index].loss_noticed_at = Micros::MAX;
                    self.update_list(proxy_index, ListUpdate::WatchLost);
                } else if poll_sent_at.is_some_and(|sent_at| self.now >= sent_at + timeout) {
                    self.fail_poll(proxy_index);
                } else if timer_at <= self.now {
                    self.proxies[proxy_index].timer_at = Micros::MAX;
                    self.handle_event(proxy_index, Event::Timer);
                }
            }
        }
    }

    /// Kills all proxies and restarts them with a cached list.
    pub(crate) fn restart(&mut self) {
        for (proxy_index, balancer_index) in (0..).zip(0..self.proxies.len() as u32) {
            // The seed is derived from the index, so a new process gets an index beyond those of
            // the old ones, to draw other random numbers.
            self.proxies[proxy_index].balancer =
                polling_balancer(MANY_BALANCERS, balancer_index + MANY_BALANCERS);
            self.handle_event(proxy_index, Event::Start);
            let entries = (1..=60).map(ready).collect();
            self.handle_event(
                proxy_index,
                Event::EndpointList {
                    kind: ListUpdate::Cached,
                    entries,
                },
            );
        }
    }

    /// Number of proxies that were not notified within `deadline` after `from`.
    pub(crate) fn late_count(&self, from: Micros, deadline: Micros) -> usize {
        self.proxies
            .iter()
            .filter(|proxy| proxy.notified_at.is_none_or(|at| at > from + deadline))
            .count()
    }

    /// Maximum number of polls in one second since `from`, and the fraction of all polls since then
    /// that failed.
    pub(crate) fn poll_load(&self, from: Micros) -> (usize, f64) {
        let polls: Vec<_> = self.polls.iter().filter(|poll| poll.0 >= from).collect();
        let max_per_second = (0..30)
            .map(|second| {
                polls
                    .iter()
                    .filter(|poll| (poll.0 - from) / SECOND == second)
                    .count()
            })
            .max();
        let failed_count = polls.iter().filter(|poll| !poll.1).count();
        (
            max_per_second.unwrap_or(0),
            failed_count as f64 / polls.len().max(1) as f64,
        )
    }
}

/// Creates `MANY_BALANCERS` proxies that all detect at `loss_noticed_at` that their watches are
/// lost. With `Micros::MAX` they keep their watches.
pub(crate) fn fleet_losing_watches_at(
    loss_noticed_at: Micros,
    capacity: u64,
    rejection_cost: f64,
) -> Fleet {
    Fleet::new(MANY_BALANCERS, capacity, rejection_cost, |_| {
        loss_noticed_at
    })
}

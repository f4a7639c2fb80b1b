//! When a proxy counts as notified of a change of the endpoint list.

use crate::config::DiscoveryMode;
use crate::endpoint_list::ChangeTime;
use std::time::{Duration, Instant};

/// A proxy counts as notified so long after discovery had a change and could be reached.
const NOTIFICATION_TIMEOUT: Duration = Duration::from_secs(6);
/// The same after SIGHUP.
const RELOAD_NOTIFICATION_TIMEOUT: Duration = Duration::from_secs(4);
/// Interval of the empty lines of an idle watch.
pub(crate) const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);

/// A time in which an agent does not answer.
#[derive(Clone, Debug)]
struct Outage {
    from: Instant,
    until: Option<Instant>,
}

/// What keeps a proxy from being notified.
#[derive(Clone, Debug, Default)]
pub(crate) struct Disruptions {
    outages: Vec<Outage>,
    reloads: Vec<Instant>,
    process_started_at: Option<Instant>,
}

/// A version of the list was written to a proxy's watch.
#[derive(Clone, Debug)]
struct Delivery {
    at: Instant,
    version: u64,
}

/// What a proxy was notified of, and what kept it from being notified.
#[derive(Clone, Debug, Default)]
pub(crate) struct Notifications {
    disruptions: Disruptions,
    deliveries: Vec<Delivery>,
}

impl Notifications {
    /// What kept the proxy from being notified.
    pub(crate) fn disruptions(&self) -> &Disruptions {
        &self.disruptions
    }

    /// A process of the proxy has started, or takes over; notifications count from then on.
    pub(crate) fn process_started(&mut self, at: Instant) {
        self.disruptions.process_started_at = Some(at);
    }

    /// The agent stops answering.
    pub(crate) fn outage_started(&mut self) {
        self.disruptions.outages.push(Outage {
            from: Instant::now(),
            until: None,
        });
    }

    /// The agent answers again.
    pub(crate) fn outage_ended(&mut self) {
        if let Some(outage) = self.disruptions.outages.last_mut() {
            outage.until = Some(Instant::now());
        }
    }

    /// The proxy got SIGHUP, with a new agent in its configuration.
    pub(crate) fn reloaded(&mut self) {
        self.disruptions.reloads.push(Instant::now());
    }

    /// A version of the list has been written to the proxy's watch.
    pub(crate) fn delivered(&mut self, version: u64) {
        self.deliveries.push(Delivery {
            at: Instant::now(),
            version,
        });
    }

    /// From when on the proxy counts as notified of a change: when the change was delivered, or by
    /// when it should have been. `None`: not yet.
    pub(crate) fn notified_at(&self, change: ChangeTime, mode: DiscoveryMode) -> Option<Instant> {
        let started = self.disruptions.process_started_at?;
        let reached =
            |delivery: &&Delivery| delivery.at >= started && delivery.version >= change.version;
        let delivered = self
            .deliveries
            .iter()
            .find(reached)
            .map(|delivery| delivery.at);
        let due = self.disruptions.due_by(change.at, mode);
        [delivered, due]
            .into_iter()
            .flatten()
            .min()
            .map(|at| at.max(started))
    }
}

impl Disruptions {
    /// By when a proxy counts as notified of what discovery had at this time; `None`: not yet.
    fn due_by(&self, had_at: Instant, mode: DiscoveryMode) -> Option<Instant> {
        let pushed = mode == DiscoveryMode::Push;
        let mut due = if pushed {
            had_at
        } else {
            had_at + NOTIFICATION_TIMEOUT
        };
        for outage in &self.outages {
            if outage.affects(had_at) {
                let until = outage.until?;
                due = due.max(if pushed {
                    until.max(outage.from + NOTIFICATION_TIMEOUT)
                } else {
                    until + NOTIFICATION_TIMEOUT
                });
            }
        }
        let timeout = if pushed {
            RELOAD_NOTIFICATION_TIMEOUT
        } else {
            NOTIFICATION_TIMEOUT
        };
        for &reload in &self.reloads {
            let before_reload = had_at + NOTIFICATION_TIMEOUT < reload;
            let after_reload = had_at > reload + RELOAD_NOTIFICATION_TIMEOUT;
            if !before_reload && !after_reload {
                due = due.max(reload + timeout);
            }
        }
        Some(due.max(self.process_started_at?))
    }
}

impl Outage {
    /// Whether it may keep a change from being delivered. A watch that falls silent may have lost
    /// what arrived just before, and stays silent when the agent is back.
    fn affects(&self, had_at: Instant) -> bool {
        let broken_until = self
            .until
            .map(|until| until.max(self.from + NOTIFICATION_TIMEOUT));
        had_at + HEARTBEAT_INTERVAL >= self.from && broken_until.is_none_or(|until| had_at <= until)
    }
}

//! Determines when a proxy counts as notified of a change of the endpoint list, which is when the
//! rules for draining endpoints begin to apply to it.

use crate::config::DiscoveryMode;
use crate::endpoint_list::ChangeTime;
use std::time::{Duration, Instant};

/// Time from which a proxy counts as notified of a change that it polls for, if its agent responds.
/// A watch on which nothing arrives is closed by the proxy within the same time.
const NOTIFICATION_TIMEOUT: Duration = Duration::from_secs(6);
/// Time after SIGHUP from which a proxy counts as notified of the changes that its new agent
/// pushes.
const RELOAD_NOTIFICATION_TIMEOUT: Duration = Duration::from_secs(4);
/// Interval of the heartbeats (empty lines) on an idle watch.
pub(crate) const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);

/// A period in which an agent does not respond; `until` is `None` while it lasts.
#[derive(Clone, Debug)]
struct Outage {
    from: Instant,
    until: Option<Instant>,
}

/// Events that delay the notification of a proxy.
#[derive(Clone, Debug, Default)]
pub(crate) struct Disruptions {
    outages: Vec<Outage>,
    reloads: Vec<Instant>,
    process_started_at: Option<Instant>,
}

/// The writing of a version of the list to a proxy's watch.
#[derive(Clone, Debug)]
struct Delivery {
    at: Instant,
    version: u64,
}

/// The deliveries of the endpoint list to a proxy, and the disruptions that delayed them.
#[derive(Clone, Debug, Default)]
pub(crate) struct Notifications {
    disruptions: Disruptions,
    deliveries: Vec<Delivery>,
    /// Whether the proxy has or had an agent that answers late. Such an agent has what discovery has
    /// only when it answers, so the limit of a polled list applies to the proxy.
    has_slow_agent: bool,
}

impl Notifications {
    /// Returns the events that delayed notifications.
    pub(crate) fn disruptions(&self) -> &Disruptions {
        &self.disruptions
    }

    /// Records that a process of the proxy started or took over. Earlier deliveries went to another
    /// process and no longer count.
    pub(crate) fn record_process_start(&mut self, at: Instant) {
        self.disruptions.process_started_at = Some(at);
    }

    /// Records that the proxy has an agent that answers late.
    pub(crate) fn record_slow_agent(&mut self) {
        self.has_slow_agent = true;
    }

    /// Records that the agent stopped responding.
    pub(crate) fn record_outage_start(&mut self) {
        self.disruptions.outages.push(Outage {
            from: Instant::now(),
            until: None,
        });
    }

    /// Records that the agent responds again.
    pub(crate) fn record_outage_end(&mut self) {
        if let Some(outage) = self.disruptions.outages.last_mut() {
            outage.until = Some(Instant::now());
        }
    }

    /// Records that the proxy got SIGHUP with a new agent in its configuration.
    pub(crate) fn record_reload(&mut self) {
        self.disruptions.reloads.push(Instant::now());
    }

    /// Records that a version of the list was written to the proxy's watch.
    pub(crate) fn record_delivery(&mut self, version: u64) {
        self.deliveries.push(Delivery {
            at: Instant::now(),
            version,
        });
    }

    /// Returns the time from which the proxy counts as notified of a change: when the change was
    /// delivered or when it should have been, whichever is earlier. Returns `None` if the change
    /// has not been delivered and the time by which it should be is not known yet.
    pub(crate) fn notified_at(&self, change: ChangeTime, mode: DiscoveryMode) -> Option<Instant> {
        let mode = if self.has_slow_agent {
            DiscoveryMode::Poll
        } else {
            mode
        };
        let started = self.disruptions.process_started_at?;
        let includes_change =
            |delivery: &&Delivery| delivery.at >= started && delivery.version >= change.version;
        let delivered = self
            .deliveries
            .iter()
            .find(includes_change)
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
    /// Returns the time by which a proxy should have been notified of a change that discovery had
    /// at `available_at`; `None` if this is not known yet.
    fn due_by(&self, available_at: Instant, mode: DiscoveryMode) -> Option<Instant> {
        let pushed = mode == DiscoveryMode::Push;
        let mut due = if pushed {
            available_at
        } else {
            available_at + NOTIFICATION_TIMEOUT
        };
        for outage in &self.outages {
            if outage.may_delay(available_at) {
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
            // A change from long before the reload was due before it, and one from long after it is
            // delivered by the new agent. A change in between may have been lost with the watch of
            // the old agent, and is delivered only with the whole list from the new agent.
            let before_reload = available_at + NOTIFICATION_TIMEOUT < reload;
            let after_reload = available_at > reload + RELOAD_NOTIFICATION_TIMEOUT;
            if !before_reload && !after_reload {
                due = due.max(reload + timeout);
            }
        }
        Some(due.max(self.process_started_at?))
    }
}

impl Outage {
    /// Whether the outage may delay the delivery of a change. A watch that becomes silent may have
    /// lost a change that was made up to `HEARTBEAT_INTERVAL` before the outage. The watch stays
    /// silent even after the outage, until the proxy closes it: at the latest
    /// `NOTIFICATION_TIMEOUT` after the start of the outage.
    fn may_delay(&self, available_at: Instant) -> bool {
        let broken_until = self
            .until
            .map(|until| until.max(self.from + NOTIFICATION_TIMEOUT));
        available_at + HEARTBEAT_INTERVAL >= self.from
            && broken_until.is_none_or(|until| available_at <= until)
    }
}

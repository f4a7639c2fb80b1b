//! The balancer's state, and the dispatch of events to the modules that make the decisions.

use crate::backoff;
use crate::endpoint_starts::EndpointStarts;
use crate::endpoints::Endpoints;
use crate::latency::Latencies;
use crate::list_polling::ListPolling;
use crate::pending_queue::PendingQueue;
use crate::request::Request;
use crate::retry_budget::RetryBudget;
use crate::shared_limit::SharedLimit;
use crate::tenant_usage::TenantUsage;
use crate::timers::RequestTimers;
use crate::zone_outages::ZoneOutages;
use crate::{Action, Event, Micros, RequestId, Settings};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::BTreeMap;

/// While requests are queued, a timer inspects the queue this many times per initial backoff, or
/// once per clock tick if a tick is longer. The timer is needed because no event reports that a
/// backoff or pause has ended or that the shared limit has capacity again.
const QUEUE_INSPECTIONS_PER_BACKOFF: Micros = 8;

/// Makes the load-balancing decisions of one client proxy.
#[derive(Debug)]
pub struct Balancer {
    pub(crate) settings: Settings,
    random: Pcg32,
    pub(crate) endpoints: Endpoints,
    pub(crate) endpoint_starts: EndpointStarts,
    pub(crate) polling: ListPolling,
    /// `None` if each endpoint has a limit of its own.
    pub(crate) shared_limit: Option<SharedLimit>,
    pub(crate) zone_outages: ZoneOutages,
    pub(crate) requests: BTreeMap<RequestId, Request>,
    pub(crate) queue: PendingQueue,
    pub(crate) request_timers: RequestTimers,
    pub(crate) latencies: Latencies,
    pub(crate) tenant_usage: TenantUsage,
    pub(crate) retry_budget: RetryBudget,
    /// Number of attempts forwarded so far.
    pub(crate) forwarded_count: u64,
    /// Number of attempts served so far.
    pub(crate) served_count: u64,
    /// When the proxy's timer fires; `Micros::MAX` if none is set.
    proxy_timer_at: Micros,
}

impl Balancer {
    /// Creates a balancer whose random numbers are all generated from `seed`.
    pub fn new(seed: u64, settings: Settings) -> Self {
        Balancer {
            random: Pcg32::seed_from_u64(seed),
            endpoints: Endpoints::default(),
            endpoint_starts: EndpointStarts::default(),
            polling: ListPolling::default(),
            shared_limit: SharedLimit::new(settings.balancer_count),
            zone_outages: ZoneOutages::default(),
            requests: BTreeMap::new(),
            queue: PendingQueue::default(),
            request_timers: RequestTimers::default(),
            latencies: Latencies::new(&settings.classes),
            tenant_usage: TenantUsage::new(settings.tenants.len()),
            retry_budget: RetryBudget::default(),
            forwarded_count: 0,
            served_count: 0,
            proxy_timer_at: Micros::MAX,
            settings,
        }
    }

    /// Handles one event at time `now` and appends the actions to carry out.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        // A request that arrives behind queued ones doesn't affect them.
        let queue_unaffected =
            matches!(event, Event::RequestReceived { .. }) && !self.queue.is_empty();
        self.dispatch(now, event, actions);
        self.fire_request_timers(now, actions);
        if !queue_unaffected {
            self.forward_readmission_trials(now, actions);
            self.forward_queued(now, actions);
        }
        if now >= self.polling.due_at {
            self.polling.due_at = Micros::MAX;
            actions.push(Action::Subscribe);
        }
        self.set_proxy_timer(now, actions);
    }

    fn dispatch(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Start => self.subscribe_if_polled(actions),
            Event::EndpointList { kind, entries } => {
                self.update_endpoint_list(now, kind, &entries);
            }
            Event::Heartbeat => self.endpoint_starts.mark_list_current(now),
            Event::RequestReceived {
                request,
                class,
                tenant,
                time_left,
                non_replayable,
                ..
            } => {
                if !self.requests.contains_key(&request) {
                    self.add_request(now, request, class, time_left, non_replayable);
                    self.admit(now, request, tenant, actions);
                }
            }
            Event::UploadCompleted { request, time_left } => {
                self.complete_upload(now, request, time_left);
            }
            Event::UploadWaitChanged {
                request,
                waits_for_client,
            } => self.change_upload_wait(request, waits_for_client),
            Event::ShutdownStarted { time_left } => {
                self.shorten_deadlines(now, now.saturating_add(time_left));
            }
            Event::AttemptEnded {
                request,
                attempt,
                outcome,
                elapsed,
                request_finished,
                load,
            } => {
                self.record_load_report(request, attempt, load);
                if let Some(ended) = self.end_attempt(request, attempt, outcome) {
                    self.record_attempt_end(now, ended, outcome, elapsed, actions);
                    self.finish_or_retry(now, request, outcome, request_finished, actions);
                }
            }
            Event::ResponseStarted { request, attempt } => {
                self.finish_request(request);
                self.cancel_attempts(request, Some(attempt), actions);
            }
            Event::RequestCancelled { request } => {
                self.finish_request(request);
                self.cancel_attempts(request, None, actions);
                self.remove_if_done(request);
            }
            Event::Timer => {
                // A timer that was replaced may still fire, before the current one is due. It must
                // not clear `proxy_timer_at`, because another timer would then be set although one
                // is pending.
                if now >= self.proxy_timer_at {
                    self.proxy_timer_at = Micros::MAX;
                }
            }
            // The balancer requests no health checks: it judges endpoints by the outcomes of
            // attempts.
            Event::HealthChecked { .. } => {}
        }
    }

    fn fire_request_timers(&mut self, now: Micros, actions: &mut Vec<Action>) {
        while let Some(id) = self.request_timers.first_due(now) {
            self.set_request_timer(id, None);
            if self.requests[&id].is_queued {
                self.expire_queued(now, id, actions);
            } else {
                self.forward_hedge(now, id, actions);
            }
        }
    }

    /// Replaces a request's timer; `None` removes it.
    pub(crate) fn set_request_timer(&mut self, id: RequestId, at: Option<Micros>) {
        if let Some(request) = self.requests.get_mut(&id) {
            self.request_timers.set(id, request, at);
        }
    }

    /// Sets the proxy's timer for whatever is due first: a poll, a request's timer or the next
    /// inspection of the queue.
    fn set_proxy_timer(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let mut next_due_at = self.polling.due_at.min(self.request_timers.next_due_at());
        if !self.queue.is_empty() {
            let interval = self.initial_backoff() / QUEUE_INSPECTIONS_PER_BACKOFF;
            next_due_at = next_due_at.min(now + self.settings.clock_resolution.max(interval));
        }
        if next_due_at < self.proxy_timer_at {
            self.proxy_timer_at = next_due_at;
            actions.push(Action::SetTimer {
                after: next_due_at.saturating_sub(now).max(1),
            });
        }
    }

    /// The first backoff after a failure, in microseconds.
    pub(crate) fn initial_backoff(&self) -> Micros {
        backoff::initial_backoff(&self.settings)
    }

    /// Returns a random number below `bound`, or 0 if `bound` is 0.
    pub(crate) fn random_below(&mut self, bound: u64) -> u64 {
        (u64::from(self.random.next_u32()) * bound.min(u64::from(u32::MAX))) >> 32
    }
}

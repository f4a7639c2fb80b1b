//! All decisions of the balancer. Its interface (settings, events, actions) is
//! `balancer/src/api.rs`; the mechanism and the condition of each departure from it are in
//! `docs/design.md`. Endpoints are in `endpoint.rs`, budgets in `limit.rs`, calls for the list in
//! `polling.rs`.
//!
//! A call goes to the less-loaded of two random servers under their in-flight budgets, waits in the
//! hold when all are full, may pass one as the trial that can raise it, and is refused when no
//! server is up.

use crate::endpoint::Endpoint;
use crate::endpoint_start::EndpointStarts;
use crate::latency::LatencyEstimate;
use crate::list_polling::ListPolling;
use crate::request::Request;
use crate::shared_limit::SharedLimit;
use crate::*;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

// Constants. Spans are ratios to the settings' aims or to observed answer times.

/// What a refusal as full leaves of the concurrency.
pub(crate) const REJECTION_CUT_FACTOR: f64 = 0.8;
/// Strain beyond which a server is ejected under a shared budget, also in times the strain that all
/// show: it is no outlier where all are slow. One late answer is chance: it must have shown most of
/// that before.
pub(crate) const EJECTION_LATENCY_PRESSURE: f64 = 1.1;
pub(crate) const EJECTION_SHARED_PRESSURE_MULTIPLE: f64 = 1.3;
pub(crate) const EJECTION_PRIOR_LATENCY_PRESSURE: f64 = 0.8;
/// Reported share of busy cores that is as much as an answer at that limit: above it waiting grows
/// steeply.
pub(crate) const FULL_CPU_UTILIZATION: f64 = 0.9;
/// Strain beyond which a budget is cut below its floor: answers take more than half their aim.
pub(crate) const DEEP_CUT_LATENCY_PRESSURE: f64 = 1.5;
/// Weight of a new outcome in a server's share of failures, and the share that sets it aside: two
/// in four.
pub(crate) const FAILURE_RATE_SMOOTHING: f64 = 0.2;
pub(crate) const EJECTION_FAILURE_RATE: f64 = 0.3;
/// Weight of a time-out under a shared budget: one is enough. A hundred balancers that each wait
/// for several keep a jammed server busy for good with calls that come too late.
pub(crate) const SHARED_TIMEOUT_SMOOTHING: f64 = 1.2 * EJECTION_FAILURE_RATE;
/// First backoff as a share of the longest aim.
pub(crate) const INITIAL_BACKOFF_OBJECTIVE_FRACTION: f64 = 0.25;
/// Wait in the hold beyond which new calls are refused, as a share of their aim.
pub(crate) const QUEUE_WAIT_OBJECTIVE_FRACTION: f64 = 0.1;
/// Usual answer times that must be left before the aim: for a second copy, and for a protected call
/// to wait.
pub(crate) const SLACK_TYPICAL_LATENCIES: f64 = 2.0;
/// Further attempts and second copies that each call earns, and the most that may be saved up.
pub(crate) const RETRIES_PER_REQUEST: f64 = 0.2;
pub(crate) const MAX_RETRY_BUDGET: f64 = 20.0;
/// What second copies leave of it: they may turn out needless, while a failed attempt is lost for
/// sure.
pub(crate) const HEDGING_RETRY_RESERVE: f64 = MAX_RETRY_BUDGET / 2.0;
/// Held calls looked at beyond the first, at an event: it bounds the CPU that a long hold costs.
pub(crate) const MAX_QUEUE_SCAN: usize = 16;
/// Servers that a shared budget's calls go to at the least, and the mean in flight at each beyond
/// which more. The fewer they are, the sooner answers tell of each, and the fewer balancers have to
/// learn it of a server.
pub(crate) const MIN_SUBSET_SIZE: usize = 8;
pub(crate) const SUBSET_REQUESTS_PER_ENDPOINT: f64 = 0.8;
/// Part of the slow_start' limit that cold servers are sent: half, as one may do half of what the
/// mean one does, and half of that again less, as calls are of uneven work and each server is
/// within reach of few balancers.
pub(crate) const SLOW_START_OVERLOAD_FRACTION: f64 = 0.24;
/// Parts of a cold server's first call of which any number may have been earned when it is heard
/// of.
pub(crate) const INITIAL_CREDIT_STEPS: u64 = 1 << 20;
/// Doublings of a zone's backoff up to a server's first: one failed connection says little of a
/// zone.
pub(crate) const ZONE_BACKOFF_DOUBLINGS: u32 = 3;
/// Doublings of the rounds of calls for which a server is left to itself by one of very many
/// balancers, over those of its backoff: the trials of all of them can be as much as a server that
/// has slowed down can do.
pub(crate) const COOL_DOWN_DOUBLINGS: u32 = 2;

pub(crate) type Actions = Vec<Action>;

/// Decides for one client proxy.
#[derive(Debug)]
pub struct Balancer {
    pub(crate) settings: Settings,
    pub(crate) random: Pcg32,
    pub(crate) endpoints: Vec<Endpoint>,
    pub(crate) shared_limit: Option<SharedLimit>,
    /// By zone: connections that failed in a row, and until when it is passed over.
    pub(crate) zone_outages: BTreeMap<ZoneId, (u32, Micros)>,
    pub(crate) requests: BTreeMap<RequestId, Request>,
    pub(crate) queue: VecDeque<RequestId>,
    pub(crate) request_timers: BTreeSet<(Micros, RequestId)>,
    pub(crate) latencies: Vec<LatencyEstimate>,
    pub(crate) tenants: Vec<f64>,
    pub(crate) retry_budget: f64,
    pub(crate) listed: usize,
    pub(crate) ejected_count: usize,
    pub(crate) forwarded_count: u64,
    pub(crate) served: u64,
    pub(crate) timer_at: Micros,
    pub(crate) polling: ListPolling,
    pub(crate) endpoint_starts: EndpointStarts,
}

impl Balancer {
    /// A balancer that draws all its random numbers from `seed`.
    pub fn new(seed: u64, settings: Settings) -> Self {
        let latency = |c: &Class| {
            let latency_objective = c.latency_objective as f64;
            LatencyEstimate {
                mean: latency_objective / 4.0,
                base: latency_objective / 4.0,
                tail: latency_objective / 2.0,
                latency_objective: c.latency_objective,
                ..LatencyEstimate::default()
            }
        };
        Balancer {
            random: Pcg32::seed_from_u64(seed),
            latencies: settings.classes.iter().map(latency).collect(),
            tenants: vec![0.0; settings.tenants.len()],
            shared_limit: SharedLimit::new(settings.balancer_count),
            settings,
            endpoints: Vec::new(),
            zone_outages: BTreeMap::new(),
            requests: BTreeMap::new(),
            queue: VecDeque::new(),
            request_timers: BTreeSet::new(),
            retry_budget: MAX_RETRY_BUDGET,
            listed: 0,
            ejected_count: 0,
            forwarded_count: 0,
            served: 0,
            timer_at: Micros::MAX,
            polling: ListPolling::default(),
            endpoint_starts: EndpointStarts::default(),
        }
    }

    /// Takes one event at time `now` and appends what is to be done.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        // A call that comes behind others changes nothing for them; in overload most do.
        let stands = matches!(event, Event::RequestReceived { .. }) && !self.queue.is_empty();
        match event {
            Event::Start if self.settings.discovery.mode == DiscoveryMode::Poll => {
                actions.push(Action::Subscribe)
            }
            Event::EndpointList { kind, entries } => self.update_endpoint_list(now, kind, &entries),
            Event::Heartbeat => self.endpoint_starts.confirm_current(now),
            Event::RequestReceived { request, class, tenant, time_left, non_replayable, .. }
                if !self.requests.contains_key(&request) =>
            {
                self.receive_request(now, request, class, time_left);
                self.requests
                    .get_mut(&request)
                    .into_iter()
                    .for_each(|c| (c.non_replayable, c.streaming) = (non_replayable, non_replayable));
                self.admit(now, request, tenant, actions);
            }
            Event::AttemptEnded { request, attempt, outcome, elapsed, request_finished, load } => {
                self.record_load_report(request, attempt, load);
                if let Some(tried) = self.record_outcome(request, attempt, outcome) {
                    if tried.streaming {
                        self.begin_work(now, &tried);
                    }
                    self.learn_from_attempt(now, tried, outcome, elapsed, actions);
                    self.continue_request(now, request, outcome, request_finished, actions);
                }
            }
            Event::RequestCompleted { request, time_left } => self.complete_upload(now, request, time_left),
            Event::ShutdownStarted { time_left } => {
                self.shorten_deadlines(now, now.saturating_add(time_left))
            }
            Event::ResponseStarted { request, attempt } => {
                // The client has its answer: nothing more is owed.
                self.finish_request(request);
                self.cancel_others(request, Some(attempt), actions);
            }
            Event::RequestCancelled { request } => {
                self.finish_request(request);
                self.cancel_others(request, None, actions);
                self.remove_if_finished(request);
            }
            // Of several alarms only the one due now counts: else each would set another for good.
            Event::Timer if now >= self.timer_at => self.timer_at = Micros::MAX,
            Event::Timer | Event::Start | Event::HealthChecked { .. } | Event::RequestReceived { .. } => {}
        }
        self.fire_request_timers(now, actions);
        if !stands {
            self.dispatch_queue(now, actions);
        }
        if now >= self.polling.at {
            self.polling.at = Micros::MAX;
            actions.push(Action::Subscribe);
        }
        self.set_timer(now, actions);
    }

    pub(crate) fn typical_latency(&self, class_id: usize, latency_objective: Micros) -> f64 {
        self.latencies.get(class_id).map_or(latency_objective as f64 / 4.0, |p| p.mean)
    }

    pub(crate) fn fire_request_timers(&mut self, now: Micros, actions: &mut Actions) {
        while let Some(&(_, id)) = self.request_timers.first().filter(|wake| wake.0 <= now) {
            self.set_request_timer(id, 0);
            if self.requests[&id].queued {
                let waited = now.saturating_sub(self.requests[&id].arrived);
                self.abandon(id, waited, FailureReason::QueueTimeout, actions);
            } else {
                self.forward_hedge(now, id, actions);
            }
        }
    }

    pub(crate) fn set_request_timer(&mut self, id: RequestId, at: Micros) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if request.timer_at != 0 {
            self.request_timers.remove(&(request.timer_at, id));
        }
        request.timer_at = at;
        if at != 0 {
            self.request_timers.insert((at, id));
        }
    }

    /// One timer for everything that is due by time alone.
    pub(crate) fn set_timer(&mut self, now: Micros, actions: &mut Actions) {
        let mut next = self.polling.at.min(self.request_timers.first().map_or(Micros::MAX, |w| w.0));
        if !self.queue.is_empty() {
            // Budgets, backoffs and pauses end at no event: held calls are looked at now and then.
            next = next.min(now + self.settings.clock_resolution.max(self.initial_backoff() / 8));
        }
        if next < self.timer_at {
            self.timer_at = next;
            actions.push(Action::SetTimer { after: next.saturating_sub(now).max(1) });
        }
    }

    pub(crate) fn initial_backoff(&self) -> Micros {
        ((self.longest_latency_objective() * INITIAL_BACKOFF_OBJECTIVE_FRACTION) as Micros).max(1_000)
    }

    pub(crate) fn longest_latency_objective(&self) -> f64 {
        self.settings.classes.iter().map(|c| c.latency_objective).max().unwrap_or(0).max(1) as f64
    }

    pub(crate) fn longest_typical_latency(&self) -> f64 {
        self.latencies.iter().map(|p| p.mean).fold(1.0, f64::max)
    }

    pub(crate) fn below(&mut self, bound: u64) -> u64 {
        (u64::from(self.random.next_u32()) * bound.min(u64::from(u32::MAX))) >> 32
    }
}

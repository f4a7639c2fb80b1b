//! All decisions of the balancer. Its interface (settings, events, actions) is
//! `balancer/src/api.rs`; the mechanism and the condition of each departure from it are in
//! `docs/design.md`. Endpoints are in `endpoint.rs`, budgets in `budget.rs`, calls for the list in
//! `polling.rs`.
//!
//! A call goes to the less-loaded of two random servers under their in-flight budgets, waits in the
//! hold when all are full, may pass one as the trial that can raise it, and is refused when no
//! server is up.

use crate::concurrency_limit::{SharedLimit, BACKOFF_DOUBLINGS, SMOOTHING};
use crate::endpoint::Endpoint;
use crate::endpoint_start::EndpointStarts;
use crate::list_polling::ListPolling;
use crate::state::{Attempt, LatencyEstimate, Request, Route, Trial};
use crate::*;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

// Constants. Spans are ratios to the settings' aims or to observed answer times.

/// What a refusal as full leaves of the concurrency.
const CUT_FULL: f64 = 0.8;
/// Strain beyond which a server is ejected under a shared budget, also in times the strain that all
/// show: it is no outlier where all are slow. One late answer is chance: it must have shown most of
/// that before.
const EJECT_STRAIN: f64 = 1.1;
const EJECT_TIMES: f64 = 1.3;
const EJECT_BEFORE: f64 = 0.8;
/// Reported share of busy cores that is as much as an answer at that limit: above it waiting grows
/// steeply.
const BUSY_FULL: f64 = 0.9;
/// Strain beyond which a budget is cut below its floor: answers take more than half their aim.
const STRAIN_DEEP: f64 = 1.5;
/// Weight of a new outcome in a server's share of failures, and the share that sets it aside: two
/// in four.
const FAIL_WEIGHT: f64 = 0.2;
pub(crate) const FAIL_LIMIT: f64 = 0.3;
/// Weight of a time-out under a shared budget: one is enough. A hundred balancers that each wait
/// for several keep a jammed server busy for good with calls that come too late.
const POOL_LATE_WEIGHT: f64 = 1.2 * FAIL_LIMIT;
/// First backoff as a share of the longest aim.
const BACKOFF_AIM: f64 = 0.25;
/// Wait in the hold beyond which new calls are refused, as a share of their aim.
const WAIT_AIM: f64 = 0.1;
/// Usual answer times that must be left before the aim: for a second copy, and for a protected call
/// to wait.
const SPARE_TIMES: f64 = 2.0;
/// Further attempts and second copies that each call earns, and the most that may be saved up.
const RETRY_EARNED: f64 = 0.2;
const RETRY_SAVED: f64 = 20.0;
/// What second copies leave of it: they may turn out needless, while a failed attempt is lost for
/// sure.
const RETRY_KEPT: f64 = RETRY_SAVED / 2.0;
/// Held calls looked at beyond the first, at an event: it bounds the CPU that a long hold costs.
const SCAN_LIMIT: usize = 16;
/// Servers that a shared budget's calls go to at the least, and the mean in flight at each beyond
/// which more. The fewer they are, the sooner answers tell of each, and the fewer balancers have to
/// learn it of a server.
pub(crate) const SUBSET_MIN_SIZE: usize = 8;
pub(crate) const SUBSET_LOAD: f64 = 0.8;
/// Part of the slow_start' limit that cold servers are sent: half, as one may do half of what the
/// mean one does, and half of that again less, as calls are of uneven work and each server is
/// within reach of few balancers.
pub(crate) const COLD_PART: f64 = 0.24;
/// Parts of a cold server's first call of which any number may have been earned when it is heard
/// of.
const PARTS: u64 = 1 << 20;
/// Doublings of a zone's backoff up to a server's first: one failed connection says little of a
/// zone.
const ZONE_DOUBLINGS: u32 = 3;
/// Doublings of the rounds of calls for which a server is left to itself by one of very many
/// balancers, over those of its backoff: the trials of all of them can be as much as a server that
/// has slowed down can do.
const REST_DOUBLINGS: u32 = 2;

type Actions = Vec<Action>;

impl Request {
    fn objective_at(&self) -> Micros {
        let latency_objective = if self.class.late_weight_fraction > 0.0 {
            self.class.deadline
        } else {
            self.class.latency_objective
        };
        self.deadline.min(self.arrived.saturating_add(latency_objective))
    }

    /// Before when a further attempt must begin: its class's window from the first one that may
    /// have run.
    fn begin_before(&self) -> Option<Micros> {
        match (self.binding(), self.class.idempotency) {
            (Some(first), Idempotency::Keyed { window, .. }) => Some(first.sent.saturating_add(window)),
            _ => None,
        }
    }

    /// May this call go again, here? Proof over all its attempts decides, never the last outcome
    /// alone.
    pub(crate) fn may_go(&self, now: Micros, endpoint: &Endpoint, clock_resolution: Micros) -> bool {
        match (self.binding(), self.class.idempotency) {
            (None, _) | (_, Idempotency::Idempotent) => true,
            (Some(_), Idempotency::NonIdempotent) => false,
            (Some(first), Idempotency::Keyed { scope, .. }) => {
                let inside = match scope {
                    DeduplicationScope::All => true,
                    DeduplicationScope::Zone => first.zone == endpoint.zone,
                    DeduplicationScope::Cell => first.cell == endpoint.cell,
                };
                inside && self.begin_before().is_none_or(|end| now.saturating_add(clock_resolution) < end)
            }
        }
    }

    fn may_be_refused(&self) -> bool {
        let harmless = matches!(
            self.class.idempotency,
            Idempotency::Idempotent | Idempotency::Keyed { scope: DeduplicationScope::All, .. }
        );
        harmless || self.binding().is_none()
    }
}

/// Decides for one client proxy.
#[derive(Debug)]
pub struct Balancer {
    pub(crate) settings: Settings,
    pub(crate) random: Pcg32,
    pub(crate) endpoints: Vec<Endpoint>,
    pub(crate) shared_limit: Option<SharedLimit>,
    /// By zone: connections that failed in a row, and until when it is passed over.
    pub(crate) cut_off: BTreeMap<ZoneId, (u32, Micros)>,
    pub(crate) requests: BTreeMap<RequestId, Request>,
    pub(crate) queue: VecDeque<RequestId>,
    pub(crate) wakes: BTreeSet<(Micros, RequestId)>,
    pub(crate) latencies: Vec<LatencyEstimate>,
    pub(crate) tenants: Vec<f64>,
    pub(crate) retries: f64,
    pub(crate) listed: usize,
    pub(crate) ejected_count: usize,
    pub(crate) sends: u64,
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
            cut_off: BTreeMap::new(),
            requests: BTreeMap::new(),
            queue: VecDeque::new(),
            wakes: BTreeSet::new(),
            retries: RETRY_SAVED,
            listed: 0,
            ejected_count: 0,
            sends: 0,
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
            Event::EndpointList { kind, entries } => self.members(now, kind, &entries),
            Event::Heartbeat => self.endpoint_starts.is_current(now),
            Event::RequestReceived { request, class, tenant, time_left, non_replayable, .. }
                if !self.requests.contains_key(&request) =>
            {
                self.request(now, request, class, time_left);
                self.requests
                    .get_mut(&request)
                    .into_iter()
                    .for_each(|c| (c.non_replayable, c.streaming) = (non_replayable, non_replayable));
                self.admit(now, request, tenant, actions);
            }
            Event::AttemptEnded { request, attempt, outcome, elapsed, request_finished, load } => {
                self.report(request, attempt, load);
                if let Some(tried) = self.outcome(request, attempt, outcome) {
                    if tried.streaming {
                        self.begin_work(now, &tried);
                    }
                    self.learn(now, tried, outcome, elapsed, actions);
                    self.proceed(now, request, outcome, request_finished, actions);
                }
            }
            Event::RequestCompleted { request, time_left } => self.uploaded(now, request, time_left),
            Event::ShutdownStarted { time_left } => {
                self.shorten_deadlines(now, now.saturating_add(time_left))
            }
            Event::ResponseStarted { request, attempt } => {
                // The client has its answer: nothing more is owed.
                self.end(request);
                self.cancel_others(request, Some(attempt), actions);
            }
            Event::RequestCancelled { request } => {
                self.end(request);
                self.cancel_others(request, None, actions);
                self.forget(request);
            }
            // Of several alarms only the one due now counts: else each would set another for good.
            Event::Timer if now >= self.timer_at => self.timer_at = Micros::MAX,
            Event::Timer | Event::Start | Event::HealthChecked { .. } | Event::RequestReceived { .. } => {}
        }
        self.wake_calls(now, actions);
        if !stands {
            self.drain_hold(now, actions);
        }
        if now >= self.polling.at {
            self.polling.at = Micros::MAX;
            actions.push(Action::Subscribe);
        }
        self.set_timer(now, actions);
    }

    /// How many servers of the list get no calls now: they are set aside and not being tried, or in
    /// a zone passed over.
    pub fn avoided(&self, now: Micros) -> usize {
        let rests = |s: &Endpoint| {
            s.budget.steps == 0
                && !s.budget.trial_out
                && !s.returning(now, self.served, &self.settings.slow_start)
        };
        let avoided = |s: &&Endpoint| s.listed && (rests(s) || !self.is_zone_reachable(now, s));
        self.endpoints.iter().filter(avoided).count()
    }

    // The list.

    fn members(&mut self, now: Micros, kind: ListUpdate, entries: &[EndpointEntry]) {
        if matches!(kind, ListUpdate::WatchLost | ListUpdate::WatchFlapping | ListUpdate::PollFailed) {
            self.ask_again(now, kind);
            return;
        }
        self.polling.heard(kind == ListUpdate::Cached);
        self.endpoint_starts.heard(now, kind, entries);
        self.endpoints.iter_mut().for_each(|s| s.listed &= kind == ListUpdate::Delta);
        for entry in entries {
            let found = self.endpoints.binary_search_by_key(&entry.endpoint, |s| s.id);
            let place = found.unwrap_or_else(|place| place);
            // A restart under the same number is a new, cold process: nothing learned of the old
            // one holds.
            let restarted = |known: &Endpoint| entry.started_at != 0 && entry.started_at != known.started_at;
            if found.is_err() || restarted(&self.endpoints[place]) {
                let mut endpoint =
                    Endpoint::new(entry, self.endpoint_starts.began(entry.endpoint), &self.settings);
                endpoint.kept_busy(self.longest_typical_latency(), self.sends, 1.0);
                // Balancers hear of a cold server together: each waits a random part before its
                // first call.
                endpoint.slow_start_credit = self.below(PARTS) as f64 / PARTS as f64;
                endpoint.slow_start_due =
                    now.saturating_add(self.below(self.slow_start_interval(now, &endpoint)));
                self.endpoints.splice(place..place + usize::from(found.is_ok()), [endpoint]);
            }
            let endpoint = &mut self.endpoints[place];
            endpoint.listed = entry.state == EndpointState::Ready;
            (endpoint.zone, endpoint.cell) = (entry.zone, entry.cell);
            endpoint.weight = if entry.weight.is_finite() && entry.weight > 0.0 { entry.weight } else { 1.0 };
        }
        self.endpoints.retain(|s| s.listed || s.in_flight > 0);
        let Balancer { endpoint_starts, endpoints, .. } = self;
        endpoint_starts.forget(now, |id| endpoints.binary_search_by_key(&id, |s| s.id).is_ok());
        self.count();
    }

    /// Jitter keeps balancers that lost the list together from asking together again.
    fn ask_again(&mut self, now: Micros, kind: ListUpdate) {
        if self.settings.discovery.mode == DiscoveryMode::Poll {
            let (least, most) =
                self.polling.wait(now, &self.settings.discovery, self.shared_limit.is_some(), kind);
            self.polling.at = now + least + self.below(most - least);
        }
    }

    fn request(&mut self, now: Micros, id: RequestId, class: ClassId, left: Micros) {
        // A class that the settings do not name is unsafe and wanted while the client waits.
        let unknown = Class { latency_objective: left, deadline: left, ..Class::default() };
        let spec = self.settings.classes.get(class.0).copied().unwrap_or(unknown);
        let deadline = now.saturating_add(left);
        let (class, class_id, arrived) = (spec, class.0, now);
        self.requests.insert(id, Request { class, class_id, arrived, deadline, ..Request::default() });
        self.retries = (self.retries + RETRY_EARNED).min(RETRY_SAVED);
        self.latencies.iter_mut().skip(class_id).take(1).for_each(|p| p.asked += 1.0);
    }

    /// A call has come whole: its client's time begins, and the work of the server that it has gone
    /// to.
    fn uploaded(&mut self, now: Micros, id: RequestId, left: Micros) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.streaming = false;
        (request.arrived, request.deadline) = (now, now.saturating_add(left));
        let out = request.attempts.iter_mut().find(|a| a.outcome.is_none());
        let Some(attempt) = out else { return };
        (attempt.streaming, attempt.sent) = (false, now);
        let attempt = *attempt;
        self.begin_work(now, &attempt);
    }

    /// No call may wait for longer than `last`, held ones included.
    fn shorten_deadlines(&mut self, now: Micros, last: Micros) {
        let mut late = Vec::new();
        for (&id, request) in self.requests.iter_mut().filter(|(_, request)| request.deadline > last) {
            request.deadline = last;
            late.extend(request.queued.then_some(id));
        }
        late.into_iter().for_each(|id| self.set_queue_deadline(now, id));
    }

    /// From here on a server is taken to work on an attempt.
    fn begin_work(&mut self, now: Micros, attempt: &Attempt) {
        if let Ok(place) = self.endpoints.binary_search_by_key(&attempt.endpoint, |s| s.id) {
            let endpoint = &mut self.endpoints[place];
            endpoint.in_flight += u32::from(endpoint.started_at == attempt.started_at);
        }
        let latency_objective =
            self.settings.classes.get(attempt.class_id).map_or(0, |c| c.latency_objective);
        let typical_latency = self.typical_latency(attempt.class_id, latency_objective);
        if let Some(shared_limit) = &mut self.shared_limit {
            shared_limit.out += 1;
            shared_limit.charge(now, typical_latency);
        }
    }

    /// Lets a new call join the hold, unless it would wait too long there.
    fn admit(&mut self, now: Micros, id: RequestId, tenant: Option<TenantId>, actions: &mut Actions) {
        let is_over_quota = tenant.is_some_and(|t| self.is_over_quota(t));
        let waited = self.queue.front().map_or(0, |head| now.saturating_sub(self.requests[head].arrived));
        if waited > self.wait_limit(id, is_over_quota) {
            self.give_up(id, waited, FailureReason::QueueFull, actions);
        } else {
            self.enqueue(now, id, false);
        }
    }

    /// How long may the hold's head have waited for this call to join? Without a bound all would be
    /// served late. Classes whose worth for their work outweighs the goal's part of the worst class
    /// wait longest.
    fn wait_limit(&self, id: RequestId, is_over_quota: bool) -> Micros {
        let request = &self.requests[&id];
        let typical_latency = self.typical_latency(request.class_id, request.class.latency_objective);
        let latency_objective = request.objective_at().saturating_sub(request.arrived) as f64;
        let limit = match is_over_quota {
            true => latency_objective * WAIT_AIM / 2.0,
            false if self.is_high_priority(request) => {
                (latency_objective * WAIT_AIM).max(latency_objective - SPARE_TIMES * typical_latency)
            }
            false => latency_objective * WAIT_AIM,
        };
        limit.min(latency_objective - typical_latency).max(0.0) as Micros
    }

    fn is_high_priority(&self, request: &Request) -> bool {
        let all = self.latencies.iter().zip(&self.settings.classes);
        let (priority_weight, work) =
            all.fold((0.0, 0.0), |(w, t), (p, c)| (w + p.asked * c.priority_weight, t + p.asked * p.base));
        let base = self.latencies.get(request.class_id).map_or(f64::MAX, |p| p.base);
        let density = request.class.priority_weight / base * work / priority_weight.max(f64::MIN_POSITIVE);
        let score_weights = &self.settings.score_weights;
        score_weights.overall * density > score_weights.overall + score_weights.worst_class
    }

    /// Counts a tenant's call and tells whether it asks for more than its share of this balancer's
    /// calls.
    fn is_over_quota(&mut self, tenant: TenantId) -> bool {
        let Some(share) = self.settings.tenants.get(tenant.0).map(|t| t.quota) else { return true };
        for (index, asked) in self.tenants.iter_mut().enumerate() {
            *asked += (if index == tenant.0 { 1.0 } else { 0.0 } - *asked) * SMOOTHING / 10.0;
        }
        let all: f64 = self.tenants.iter().sum();
        self.tenants[tenant.0] > all * share * 1.1
    }

    fn typical_latency(&self, class_id: usize, latency_objective: Micros) -> f64 {
        self.latencies.get(class_id).map_or(latency_objective as f64 / 4.0, |p| p.mean)
    }

    /// Puts a call into the hold; one that goes again is older than those waiting and goes to the
    /// front.
    fn enqueue(&mut self, now: Micros, id: RequestId, retry_or_give_up: bool) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.queued = true;
        self.set_queue_deadline(now, id);
        self.queue.insert(if retry_or_give_up { 0 } else { self.queue.len() }, id);
    }

    /// A call leaves the hold when a usual answer could not come in time, before its client gives
    /// up, and a repeat also when its window is over, as it can go nowhere from then on.
    fn set_queue_deadline(&mut self, now: Micros, id: RequestId) {
        let request = &self.requests[&id];
        let (class_id, latency_objective, last) = (
            request.class_id,
            request.class.latency_objective,
            request.deadline.saturating_sub(self.settings.clock_resolution),
        );
        let wake = request
            .objective_at()
            .saturating_sub(self.typical_latency(class_id, latency_objective) as Micros)
            .max(now + 1);
        let closes = request.begin_before().unwrap_or(Micros::MAX);
        self.set_wake(id, wake.min(last.max(now)).min(closes).max(1));
    }

    /// Notes an attempt's end; late, double and unknown ones change nothing.
    fn outcome(&mut self, id: RequestId, attempt: u32, outcome: Outcome) -> Option<Attempt> {
        let request = self.requests.get_mut(&id)?;
        let tried = request.attempts.get_mut(attempt as usize).filter(|a| a.outcome.is_none())?;
        tried.outcome = Some(outcome);
        Some(*tried)
    }

    /// After an attempt's end: the call's end, another attempt, or nothing while a copy is out.
    fn proceed(
        &mut self,
        now: Micros,
        id: RequestId,
        outcome: Outcome,
        request_finished: bool,
        actions: &mut Actions,
    ) {
        if request_finished || outcome == Outcome::Served {
            self.end(id);
            self.cancel_others(id, None, actions);
        } else if self.requests.get(&id).is_some_and(|c| !c.ended && !c.queued && c.out() == 0) {
            if outcome == Outcome::Invalid {
                // It would fare alike everywhere, and the client is not to come again with it.
                actions.push(Action::Fail { request: id, reason: FailureReason::Invalid });
                self.end(id);
            } else {
                self.retry_or_give_up(now, id, outcome, actions);
            }
        }
        self.forget(id);
    }

    /// What a server says of itself: as many waiting as in work, or nearly all cores busy, is as
    /// much as an answer at its limit. It tells a crowded server from one whose calls mostly wait
    /// on others.
    fn report(&mut self, id: RequestId, attempt: u32, load: LoadReport) {
        let Some(tried) = self.requests.get(&id).and_then(|c| c.attempts.get(attempt as usize)) else {
            return;
        };
        let Ok(place) = self.endpoints.binary_search_by_key(&tried.endpoint, |s| s.id) else { return };
        let reported_load = match load {
            LoadReport { in_flight: Some(in_flight), queued: Some(queued), .. } => {
                queued / (in_flight - queued).max(1.0)
            }
            LoadReport { cpu_utilization: Some(busy), .. } => busy / BUSY_FULL,
            _ => return,
        };
        self.endpoints[place].reported_load =
            if reported_load.is_finite() { reported_load.clamp(0.0, 4.0) } else { 0.0 };
    }

    /// What a server's answer, or its absence, teaches.
    fn learn(&mut self, now: Micros, tried: Attempt, outcome: Outcome, took: Micros, actions: &mut Actions) {
        let Attempt { endpoint: id, zone, started_at, class_id, sent, trial, streaming, .. } = tried;
        let elapsed = if streaming { 0 } else { took.max(now.saturating_sub(sent)) };
        let (first, longest, longest_latency_objective) =
            (self.first_backoff(), self.longest_typical_latency(), self.longest_latency_objective());
        let per = self.subset_size() as f64;
        let typical_latency = self.typical_latency(
            class_id,
            self.settings.classes.get(class_id).map_or(0, |c| c.latency_objective),
        );
        let latency = self.latencies.get_mut(class_id);
        let limit = latency.as_ref().map_or(f64::MAX, |p| p.limit());
        let pool_strain = latency.as_ref().map_or(0.0, |p| p.pool_strain(elapsed as f64));
        if let Some(shared_limit) = &mut self.shared_limit {
            shared_limit.out = shared_limit.out.saturating_sub(1);
            shared_limit.charge(now, elapsed as f64 - typical_latency);
            shared_limit.budget.trial_out &= trial != Trial::Shared;
            // A refusal is one server's word, mostly of one that drains: a full fleet shows in its
            // answers.
            if !outcome.is_neutral() && !outcome.never_ran() {
                shared_limit.learn(now, sent, pool_strain, elapsed as f64);
            }
            match outcome {
                _ if trial != Trial::Shared => {}
                Outcome::Served => shared_limit.budget.trial_served(),
                _ => shared_limit.budget.back_off(now, first),
            }
        }
        // A zone that is cut off fails server by server: after a few in a row it is passed over as
        // a whole.
        let lost = matches!(outcome, Outcome::ConnectFailed | Outcome::Truncated | Outcome::Reset);
        let cut = self.cut_off.entry(zone).or_default();
        if lost && self.shared_limit.is_some() {
            let doublings = cut.0.min(BACKOFF_DOUBLINGS + ZONE_DOUBLINGS);
            *cut = (cut.0.saturating_add(1), now + ((first << doublings) >> ZONE_DOUBLINGS));
        } else if !outcome.is_neutral() && outcome != Outcome::TimedOut {
            *cut = (0, 0);
        }
        let Ok(place) = self.endpoints.binary_search_by_key(&id, |s| s.id) else { return };
        let endpoint = &mut self.endpoints[place];
        if endpoint.started_at != started_at {
            return; // What a server's last process did says nothing of the new one.
        }
        endpoint.in_flight = endpoint.in_flight.saturating_sub(1);
        // What was not served counts as a whole aim: quick refusals and errors must not make it
        // look idle.
        let fair = matches!(outcome, Outcome::Served | Outcome::Stale | Outcome::Invalid);
        let least = if fair { 0.0 } else { longest_latency_objective };
        endpoint.kept_busy(least.max(elapsed as f64), self.sends, per);
        let latency_pressure = (elapsed as f64 / limit).min(4.0);
        // A client in a hurry gave up before most answers come: that tells of the client. A thin
        // balancer calls a server so seldom that it cannot wait for more: it heeds each time-out.
        let (timed_out, thin) = (outcome == Outcome::TimedOut, self.shared_limit.is_some());
        let hurried = timed_out && !thin && latency.as_ref().is_some_and(|p| (elapsed as f64) < p.tail);
        let alone = endpoint.rejects_only_class(class_id, outcome, sent, now, first);
        let failed = match outcome {
            Outcome::Served => false,
            // Late while others are answered: the server is slow, not gone, and is sent less, not
            // nothing.
            Outcome::TimedOut if endpoint.answered > sent && !hurried && !thin => false,
            _ if outcome.is_neutral() || hurried || alone => {
                endpoint.budget.trial_out &= trial != Trial::Endpoint;
                return;
            }
            _ => true,
        };
        // A time-out proves less than an error: a crowded server may owe a lone call for that long.
        // So does what one connection did: now and then an answer is spoilt or breaks off at any
        // server.
        let weight = match outcome {
            Outcome::TimedOut if thin => POOL_LATE_WEIGHT,
            Outcome::TimedOut | Outcome::Unknown | Outcome::Reset => FAIL_WEIGHT / 2.0,
            _ => FAIL_WEIGHT,
        };
        endpoint.failing += (if failed { 1.0 } else { 0.0 } - endpoint.failing) * weight;
        // Few answers a second must not make the strain a memory of long ago.
        let gap = now.saturating_sub(endpoint.heard) as f64 / longest_latency_objective;
        let weight = SMOOTHING.max(1.0 - (-gap).exp());
        endpoint.heard = now;
        let before = endpoint.latency_pressure;
        if !failed {
            endpoint.latency_pressure +=
                (latency_pressure.max(endpoint.reported_load) - endpoint.latency_pressure) * weight;
            endpoint.answers_since += 1;
        }
        // Answers alone would make the mean that of the lucky: late ones count for what was waited.
        latency.filter(|_| !failed).into_iter().for_each(|p| p.answered(now, elapsed as f64));
        if outcome == Outcome::Served {
            endpoint.answered = now;
            self.served += 1;
        }
        // Latency well above an unloaded server's is the sign, beside refusals, of too much in
        // flight.
        if outcome == Outcome::Rejected {
            endpoint.budget.cut(CUT_FULL, true);
            // Fast refusals leave it looking idle: without a pause it would draw in call after
            // call.
            endpoint.not_before = endpoint.not_before.max(now + longest as Micros);
        } else if endpoint.latency_pressure > 1.0 && endpoint.settled(now, longest) {
            endpoint.budget.cut(1.0 / endpoint.latency_pressure, endpoint.latency_pressure > STRAIN_DEEP);
            // The cut answers for part of it: one jam is cut for once.
            endpoint.latency_pressure = endpoint.latency_pressure.sqrt();
            (endpoint.answers_since, endpoint.changed) = (0, now);
        }
        let was_up = endpoint.budget.steps > 0;
        // One connection that broke is no proof against a server that has only just answered: a
        // step goes when one more breaks soon after, and the last step with the server's share of
        // failures.
        let lively = endpoint.answered > 0 && now.saturating_sub(endpoint.answered) <= first;
        let proof = endpoint.failing > FAIL_LIMIT / 2.0 && endpoint.budget.steps > 1;
        endpoint.budget.steps -= u32::from(lost && was_up && (proof || !lively));
        endpoint.budget.trial_out &= trial != Trial::Endpoint;
        if trial == Trial::Endpoint {
            if outcome != Outcome::Served {
                endpoint.budget.back_off(now, first);
            } else if was_up || endpoint.failing < FAIL_LIMIT / 2.0 {
                endpoint.budget.trial_served();
                (endpoint.answers_since, endpoint.changed) = (0, now);
                if !was_up {
                    actions.push(Action::Log(LogEvent::EndpointReadmitted(endpoint.id)));
                }
            }
        }
        // Fast errors and refusals make a server look idle: its budget alone would draw calls in.
        // One that is slow under a shared budget is crowded by all: it recovers only when all leave
        // it alone.
        let most = self.shared_limit.as_ref().map(|p| EJECT_STRAIN.max(p.latency_pressure * EJECT_TIMES));
        let warm = endpoint.warm_up(now, &self.settings.slow_start) >= 1.0;
        let slow = warm
            && !failed
            && before > EJECT_BEFORE
            && most.is_some_and(|most| endpoint.latency_pressure > most);
        if was_up && (slow || endpoint.failing > FAIL_LIMIT) && (self.ejected_count + 1) * 2 <= self.listed {
            endpoint.budget.steps = 0;
        }
        if was_up && endpoint.budget.steps == 0 {
            endpoint.budget.back_off(now, first);
            // What it showed before says nothing of how it will be when it comes back.
            endpoint.latency_pressure = 1.0;
            actions.push(Action::Log(LogEvent::EndpointEjected(endpoint.id)));
        }
        // Many balancers that each try it now and then are no rest: it is tried by a part of the
        // usual calls, at first a quarter of its share of them.
        if self.shared_limit.is_some() && (outcome == Outcome::Rejected || endpoint.budget.steps == 0) {
            endpoint.rest = self.served + ((per as u64) << (REST_DOUBLINGS + endpoint.budget.doublings));
        }
        if outcome == Outcome::Served {
            self.earn_slow_start_credit(now);
        }
        self.count();
    }

    /// Trouble seen at most of the fleet is not the servers' own: never are most set aside.
    fn count(&mut self) {
        self.listed = self.endpoints.iter().filter(|s| s.listed).count();
        self.ejected_count = self.endpoints.iter().filter(|s| s.listed && s.budget.steps == 0).count();
        // Servers of a lost zone get no calls: counted as up, their going from the list would halve
        // a budget that those left have already been found to bear.
        let lost = |s: &&Endpoint| self.cut_off.get(&s.zone).is_some_and(|cut| cut.0 > ZONE_DOUBLINGS);
        let cut_off = self.endpoints.iter().filter(|s| s.listed && s.budget.steps > 0).filter(lost).count();
        self.shared_limit.iter_mut().for_each(|p| p.up = (self.listed - self.ejected_count - cut_off) as f64);
    }

    /// After an attempt that did not serve: again, or the end.
    fn retry_or_give_up(&mut self, now: Micros, id: RequestId, outcome: Outcome, actions: &mut Actions) {
        let request = &self.requests[&id];
        let in_time = now as f64 + self.typical_latency(request.class_id, request.class.latency_objective)
            < request.objective_at() as f64;
        let some =
            self.endpoints.iter().any(|s| s.listed && request.may_go(now, s, self.settings.clock_resolution));
        let spent = request.non_replayable && !matches!(outcome, Outcome::ConnectFailed | Outcome::NeverSent);
        let more = (request.attempts.len() as u32) < self.settings.limits.max_attempts && !spent;
        if in_time && some && more && (self.retries >= 1.0 || outcome == Outcome::ConnectFailed) {
            self.retries = (self.retries - 1.0).max(0.0);
            self.enqueue(now, id, true);
        } else {
            self.give_up(id, self.first_backoff(), FailureReason::AttemptsExhausted, actions);
        }
    }

    fn give_up(&mut self, id: RequestId, retry_after: Micros, reason: FailureReason, actions: &mut Actions) {
        let retry_after = retry_after.min(self.settings.limits.max_retry_after);
        let refused = self.requests[&id].may_be_refused();
        actions.push(if refused {
            Action::Reject { request: id, retry_after, reason }
        } else {
            Action::Fail { request: id, reason }
        });
        self.end(id);
        self.cancel_others(id, None, actions);
        self.forget(id);
    }

    fn end(&mut self, id: RequestId) {
        self.set_wake(id, 0);
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.ended = true;
        if std::mem::take(&mut request.queued) {
            if let Some(index) = self.queue.iter().position(|&queued| queued == id) {
                self.queue.remove(index);
            }
        }
    }

    fn cancel_others(&mut self, id: RequestId, but: Option<u32>, actions: &mut Actions) {
        let Some(request) = self.requests.get(&id).filter(|_| self.settings.limits.cancellation) else {
            return;
        };
        let out = (0..).zip(&request.attempts).filter(|(n, a)| a.outcome.is_none() && Some(*n) != but);
        actions.extend(out.map(|(attempt, _)| Action::CancelAttempt { request: id, attempt }));
    }

    fn forget(&mut self, id: RequestId) {
        if self.requests.get(&id).is_some_and(|c| c.ended && c.out() == 0) {
            self.requests.remove(&id);
        }
    }

    fn send(&mut self, now: Micros, id: RequestId, place: usize, trial: Trial, actions: &mut Actions) {
        let span = self.slow_start_interval(now, &self.endpoints[place]);
        let endpoint = &mut self.endpoints[place];
        endpoint.slow_start_credit = (endpoint.slow_start_credit - 1.0).max(0.0);
        endpoint.slow_start_due = now.saturating_add(span);
        self.sends += 1;
        // A lost zone is tried by one call: those of the time that a connection takes to fail would
        // be late.
        let first = self.first_backoff();
        let endpoint = &mut self.endpoints[place];
        if let Some(cut) = self.cut_off.get_mut(&endpoint.zone).filter(|cut| cut.0 > ZONE_DOUBLINGS) {
            cut.1 = now + first;
        }
        endpoint.budget.trial_out |= trial == Trial::Endpoint;
        let Some(request) = self.requests.get_mut(&id) else { return };
        let start_within =
            request.begin_before().map(|end| end.saturating_sub(now + self.settings.clock_resolution));
        let &mut Endpoint { id: endpoint, started_at, zone, cell, .. } = endpoint;
        let (class_id, sent, streaming, outcome) = (request.class_id, now, request.streaming, None);
        let attempt = Attempt { endpoint, started_at, zone, cell, class_id, sent, trial, streaming, outcome };
        request.attempts.push(attempt);
        let (copies, non_replayable) = (request.attempts.len(), request.non_replayable);
        let tail = self.latencies.get(class_id).map_or(f64::MAX, |p| p.tail);
        let (latency_objective, arrived) = (request.objective_at(), request.arrived);
        let typical_latency = self.typical_latency(class_id, self.requests[&id].class.latency_objective);
        if !streaming {
            self.begin_work(now, &attempt);
        }
        self.shared_limit.iter_mut().for_each(|p| p.budget.trial_out |= trial == Trial::Shared);
        // It runs for as long as its client waits. Given up earlier, its server would work on all
        // the same, but uncounted: the next call would take a place that is not free.
        actions.push(Action::Forward { request: id, endpoint, start_within });
        // The latest moment at which a second copy can still be in time, but not before the first
        // is late.
        let copy_at = (latency_objective as f64 - SPARE_TIMES * typical_latency).max(arrived as f64 + tail);
        // A shared budget tells nothing of one server: the copy would only add to the work.
        let copies =
            copies == 1 && !non_replayable && self.settings.limits.hedging && self.shared_limit.is_none();
        let copy = copies && copy_at + typical_latency <= latency_objective as f64;
        self.set_wake(id, if copy { (copy_at as Micros).max(now + 1) } else { 0 });
    }

    fn drain_hold(&mut self, now: Micros, actions: &mut Actions) {
        for place in 0..self.endpoints.len() {
            let endpoint = &self.endpoints[place];
            if endpoint.returning(now, self.served, &self.settings.slow_start)
                && self.is_zone_reachable(now, endpoint)
            {
                // Only a call that never went: a bound one may go to some servers alone.
                let mut queued = self.queue.iter().take(SCAN_LIMIT);
                let endpoint = &self.endpoints[place];
                let fits = |c: &Request| {
                    c.attempts.is_empty() && !c.non_replayable && endpoint.accepts_class(c.class_id, now)
                };
                if let Some(index) = queued.position(|id| fits(&self.requests[id])) {
                    let id = self.queue[index];
                    self.take(index);
                    self.send(now, id, place, Trial::Endpoint, actions);
                }
            }
        }
        let mut index = 0;
        while let Some(&id) = self.queue.get(index) {
            match self.route(now, id) {
                Route::Forward { endpoint, trial } => {
                    self.take(index);
                    self.send(now, id, endpoint, trial, actions);
                }
                Route::Reject { retry_after } => {
                    self.give_up(id, retry_after, FailureReason::NoEndpoint, actions)
                }
                // Arrival order: the first that stays keeps the rest, unless bound to some servers.
                Route::Queue if self.is_bound(now, id) && index < SCAN_LIMIT => index += 1,
                Route::Queue => break,
            }
        }
    }

    /// Whether a call may go to some servers alone, by what ran before or as others turn its class
    /// away.
    fn is_bound(&self, now: Micros, id: RequestId) -> bool {
        let request = &self.requests[&id];
        request.binding().is_some()
            || self.endpoints.iter().any(|s| s.listed && !s.accepts_class(request.class_id, now))
    }

    fn take(&mut self, index: usize) {
        if let Some(request) = self.queue.remove(index).and_then(|id| self.requests.get_mut(&id)) {
            request.queued = false;
        }
    }

    fn wake_calls(&mut self, now: Micros, actions: &mut Actions) {
        while let Some(&(_, id)) = self.wakes.first().filter(|wake| wake.0 <= now) {
            self.set_wake(id, 0);
            if self.requests[&id].queued {
                let waited = now.saturating_sub(self.requests[&id].arrived);
                self.give_up(id, waited, FailureReason::QueueTimeout, actions);
            } else {
                self.send_hedge(now, id, actions);
            }
        }
    }

    /// A second copy for a call that is late on a server that may have stalled, while others have
    /// room.
    fn send_hedge(&mut self, now: Micros, id: RequestId, actions: &mut Actions) {
        let request = &self.requests[&id];
        let clock_resolution = self.settings.clock_resolution;
        let more = (request.attempts.len() as u32) < self.settings.limits.max_attempts && request.out() == 1;
        let some = |s: &Endpoint| {
            s.usable(now, self.served, &self.settings.slow_start)
                && request.may_go(now, s, clock_resolution)
                && request.untried(s.id)
        };
        let slack = self.retries >= RETRY_KEPT + 1.0 && self.queue.is_empty();
        if !more || !slack || !self.endpoints.iter().any(some) {
            return;
        }
        if let Route::Forward { endpoint, trial: Trial::None } = self.route(now, id) {
            self.retries -= 1.0;
            self.send(now, id, endpoint, Trial::None, actions);
        }
    }

    fn set_wake(&mut self, id: RequestId, at: Micros) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if request.wake != 0 {
            self.wakes.remove(&(request.wake, id));
        }
        request.wake = at;
        if at != 0 {
            self.wakes.insert((at, id));
        }
    }

    /// One timer for everything that is due by time alone.
    fn set_timer(&mut self, now: Micros, actions: &mut Actions) {
        let mut next = self.polling.at.min(self.wakes.first().map_or(Micros::MAX, |w| w.0));
        if !self.queue.is_empty() {
            // Budgets, backoffs and pauses end at no event: held calls are looked at now and then.
            next = next.min(now + self.settings.clock_resolution.max(self.first_backoff() / 8));
        }
        if next < self.timer_at {
            self.timer_at = next;
            actions.push(Action::SetTimer { after: next.saturating_sub(now).max(1) });
        }
    }

    pub(crate) fn first_backoff(&self) -> Micros {
        ((self.longest_latency_objective() * BACKOFF_AIM) as Micros).max(1_000)
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

//! A stand-in for the proxy that passes events to a balancer and records its actions, and helpers
//! for the tests.
#![allow(dead_code)]

use balancer::*;

pub(crate) const MS: Micros = 1_000;
pub(crate) const SECOND: Micros = 1_000 * MS;

/// A proxy with a clock that the test sets. It records the balancer's actions and carries out none.
pub(crate) struct Proxy {
    pub(crate) balancer: Balancer,
    pub(crate) now: Micros,
    pub(crate) actions: Vec<Action>,
    last_request_id: u64,
}

/// Settings for 7 balancers and one class of the given idempotency, with a latency objective of
/// 500 ms and a deadline of 1.2 s.
pub(crate) fn settings(idempotency: Idempotency) -> Settings {
    let class = Class {
        latency_objective: 500 * MS,
        deadline: 1_200 * MS,
        priority_weight: 1.0,
        late_weight_fraction: 0.0,
        idempotency,
    };
    Settings {
        classes: vec![class],
        balancer_count: 7,
        limits: Limits {
            max_attempts: 5,
            ..Settings::default().limits
        },
        ..Settings::default()
    }
}

/// Discovery settings with an endpoint list that is polled.
pub(crate) fn polled_discovery() -> Discovery {
    Discovery {
        mode: DiscoveryMode::Poll,
        ..Settings::default().discovery
    }
}

pub(crate) fn ready(endpoint: u32) -> EndpointEntry {
    EndpointEntry {
        endpoint: EndpointId(endpoint),
        state: EndpointState::Ready,
        ..EndpointEntry::default()
    }
}

impl Proxy {
    /// A started proxy with this number of ready, warm endpoints, numbered from 1.
    pub(crate) fn new(settings: Settings, endpoints: u32) -> Proxy {
        let mut proxy = Proxy {
            balancer: Balancer::new(7, settings),
            now: 1_000_000,
            actions: Vec::new(),
            last_request_id: 0,
        };
        proxy.handle(Event::Start);
        proxy.update_list(ListUpdate::Full, (1..=endpoints).map(ready).collect());
        proxy
    }

    pub(crate) fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        self.actions.extend(actions.iter().cloned());
        actions
    }

    pub(crate) fn update_list(
        &mut self,
        kind: ListUpdate,
        entries: Vec<EndpointEntry>,
    ) -> Vec<Action> {
        self.handle(Event::EndpointList { kind, entries })
    }

    pub(crate) fn request_of_class(&mut self, class: usize) -> (RequestId, Vec<Action>) {
        self.last_request_id += 1;
        let request = RequestId(self.last_request_id);
        let class = ClassId(class);
        let event = Event::RequestReceived {
            request,
            class,
            tenant: None,
            time_left: 1_200 * MS,
            client_retry: false,
            non_replayable: false,
        };
        (request, self.handle(event))
    }

    pub(crate) fn request(&mut self) -> (RequestId, Vec<Action>) {
        self.request_of_class(0)
    }

    pub(crate) fn end_attempt(
        &mut self,
        request: RequestId,
        attempt: u32,
        outcome: Outcome,
        elapsed: Micros,
    ) -> Vec<Action> {
        let request_finished = outcome == Outcome::Served;
        self.handle(Event::AttemptEnded {
            request,
            attempt,
            outcome,
            elapsed,
            request_finished,
            load: LoadReport::default(),
        })
    }

    /// Sends a request that is served after `elapsed`. Returns the endpoint that it was forwarded
    /// to.
    pub(crate) fn serve_request(&mut self, elapsed: Micros) -> Option<EndpointId> {
        let (request, actions) = self.request();
        let endpoint = forwarded(&actions).first().map(|attempt| attempt.1);
        self.now += elapsed;
        self.end_attempt(request, 0, Outcome::Served, elapsed);
        endpoint
    }

    /// Ends the attempts of a request one after another, each after `pause`, until no further one
    /// is forwarded. `actions` are those that followed the request's arrival.
    pub(crate) fn end_attempts(
        &mut self,
        request: RequestId,
        actions: &[Action],
        elapsed: Micros,
        pause: Micros,
        mut outcome_at: impl FnMut(EndpointId) -> Outcome,
    ) {
        let mut last = forwarded(actions).first().map(|attempt| attempt.1);
        let mut attempt = 0;
        while let Some(endpoint) = last {
            self.now += pause;
            let actions = self.end_attempt(request, attempt, outcome_at(endpoint), elapsed);
            let next = forwarded(&actions)
                .into_iter()
                .find(|forwarded| forwarded.0 == request);
            last = next.map(|forwarded| forwarded.1);
            attempt += 1;
        }
    }

    /// Ends a request's first attempt and reports the request as finished, so that the balancer
    /// does not retry it whatever the outcome.
    pub(crate) fn end_only_attempt(
        &mut self,
        request: RequestId,
        outcome: Outcome,
        elapsed: Micros,
        load: LoadReport,
    ) {
        self.handle(Event::AttemptEnded {
            request,
            attempt: 0,
            outcome,
            elapsed,
            request_finished: true,
            load,
        });
    }

    pub(crate) fn advance(&mut self, duration: Micros) -> Vec<Action> {
        self.now += duration;
        self.handle(Event::Timer)
    }
}

pub(crate) fn forwarded(actions: &[Action]) -> Vec<(RequestId, EndpointId)> {
    actions
        .iter()
        .filter_map(|action| match action {
            Action::Forward {
                request, endpoint, ..
            } => Some((*request, *endpoint)),
            _ => None,
        })
        .collect()
}

pub(crate) fn is_rejected(actions: &[Action], id: RequestId) -> bool {
    actions
        .iter()
        .any(|action| matches!(action, Action::Reject { request, .. } if *request == id))
}

pub(crate) fn is_failed(actions: &[Action], id: RequestId) -> bool {
    actions
        .iter()
        .any(|action| matches!(action, Action::Fail { request, .. } if *request == id))
}

/// Returns the proxy of the balancer with this index among `balancer_count`, with `endpoints` ready
/// endpoints.
pub(crate) fn proxy_with_peers(balancer_count: u32, balancer_index: u32, endpoints: u32) -> Proxy {
    let settings = Settings {
        balancer_count,
        balancer_index,
        ..settings(Idempotency::Idempotent)
    };
    Proxy::new(settings, endpoints)
}

/// Returns the proxy of the first of 100 balancers, with 60 endpoints. With so many balancers the
/// endpoints share one concurrency limit.
pub(crate) fn one_of_100_balancers() -> Proxy {
    proxy_with_peers(100, 0, 60)
}

/// Sends `requests` requests at once and returns those that were forwarded.
pub(crate) fn request_burst(proxy: &mut Proxy, requests: usize) -> Vec<RequestId> {
    let requests: Vec<(RequestId, Vec<Action>)> = (0..requests).map(|_| proxy.request()).collect();
    requests
        .into_iter()
        .filter(|(_, actions)| !forwarded(actions).is_empty())
        .map(|(request, _)| request)
        .collect()
}

/// Ends these requests as served after `elapsed`, then likewise the queued ones that are forwarded
/// as a result, until none is left.
pub(crate) fn serve_forwarded(proxy: &mut Proxy, requests: Vec<RequestId>, elapsed: Micros) {
    let mut in_flight = requests;
    while !in_flight.is_empty() {
        proxy.now += elapsed;
        let ended = std::mem::take(&mut in_flight);
        for request in ended {
            in_flight.extend(
                forwarded(&proxy.end_attempt(request, 0, Outcome::Served, elapsed))
                    .into_iter()
                    .map(|attempt| attempt.0),
            );
        }
    }
}

/// Sends 20 bursts of 40 requests that are served quickly: the shared limit grows to allow such
/// bursts.
pub(crate) fn raise_shared_limit(proxy: &mut Proxy) {
    for _ in 0..20 {
        let in_flight = request_burst(proxy, 40);
        serve_forwarded(proxy, in_flight, 40 * MS);
        proxy.advance(300 * MS);
    }
}

/// Time from now until the timer fires that these actions set.
pub(crate) fn timer_after(actions: &[Action]) -> Option<Micros> {
    actions.iter().find_map(|action| match action {
        Action::SetTimer { after } => Some(*after),
        _ => None,
    })
}

/// Whether an action logs that an endpoint was ejected.
pub(crate) fn is_ejection(action: &Action) -> bool {
    matches!(action, Action::Log(LogEvent::EndpointEjected(_)))
}

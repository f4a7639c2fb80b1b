//! A small driver of the balancer for tests: it plays the proxy and records what it is told to do.
#![allow(dead_code)]

use balancer::*;

pub const MS: Micros = 1_000;

/// A proxy that carries out nothing and remembers everything.
pub struct Proxy {
    pub balancer: Balancer,
    pub now: Micros,
    pub actions: Vec<Action>,
    next: u64,
}

/// Settings with one class of the given kind: wanted in 500 ms, given up after 1.2 s.
pub fn settings(idempotency: Idempotency) -> Settings {
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
        limits: Limits { max_attempts: 5, ..Settings::default().limits },
        ..Settings::default()
    }
}

/// A list that is polled.
pub fn polled() -> Discovery {
    Discovery { mode: DiscoveryMode::Poll, ..Settings::default().discovery }
}

pub fn ready(endpoint: u32) -> EndpointEntry {
    EndpointEntry { endpoint: EndpointId(endpoint), state: EndpointState::Ready, ..EndpointEntry::default() }
}

impl Proxy {
    /// A started proxy that knows of `endpoints` ready, warm servers, numbered from 1.
    pub fn new(settings: Settings, endpoints: u32) -> Proxy {
        let mut proxy =
            Proxy { balancer: Balancer::new(7, settings), now: 1_000_000, actions: Vec::new(), next: 0 };
        proxy.event(Event::Start);
        proxy.list(ListUpdate::Full, (1..=endpoints).map(ready).collect());
        proxy
    }

    pub fn event(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        self.actions.extend(actions.iter().cloned());
        actions
    }

    pub fn list(&mut self, kind: ListUpdate, entries: Vec<EndpointEntry>) -> Vec<Action> {
        self.event(Event::EndpointList { kind, entries })
    }

    pub fn call_of(&mut self, class: usize) -> (RequestId, Vec<Action>) {
        self.next += 1;
        let request = RequestId(self.next);
        let class = ClassId(class);
        let event = Event::RequestReceived {
            request,
            class,
            tenant: None,
            time_left: 1_200 * MS,
            client_retry: false,
            non_replayable: false,
        };
        (request, self.event(event))
    }

    pub fn request(&mut self) -> (RequestId, Vec<Action>) {
        self.call_of(0)
    }

    pub fn end(
        &mut self,
        request: RequestId,
        attempt: u32,
        outcome: Outcome,
        elapsed: Micros,
    ) -> Vec<Action> {
        let request_finished = outcome == Outcome::Served;
        self.event(Event::AttemptEnded {
            request,
            attempt,
            outcome,
            elapsed,
            request_finished,
            load: LoadReport::default(),
        })
    }

    /// A call that is sent and served after `elapsed`; tells where it went.
    pub fn serve(&mut self, elapsed: Micros) -> Option<EndpointId> {
        let (request, actions) = self.request();
        let endpoint = sent(&actions).first().map(|s| s.1);
        self.now += elapsed;
        self.end(request, 0, Outcome::Served, elapsed);
        endpoint
    }

    pub fn wait(&mut self, span: Micros) -> Vec<Action> {
        self.now += span;
        self.event(Event::Timer)
    }
}

pub fn sent(actions: &[Action]) -> Vec<(RequestId, EndpointId)> {
    actions
        .iter()
        .filter_map(|a| match a {
            Action::Forward { request, endpoint, .. } => Some((*request, *endpoint)),
            _ => None,
        })
        .collect()
}

pub fn refused(actions: &[Action], id: RequestId) -> bool {
    actions.iter().any(|a| matches!(a, Action::Reject { request, .. } if *request == id))
}

pub fn failed(actions: &[Action], id: RequestId) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail { request, .. } if *request == id))
}

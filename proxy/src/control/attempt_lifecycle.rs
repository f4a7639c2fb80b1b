//! Carries out the balancer's actions on attempts: starts them, cancels them and reports their
//! outcomes.

use crate::control::attempt::Attempt;
use crate::control::connection_pool::IdleConnection;
use crate::control::endpoints::{EndpointProcess, ReadyEndpoint};
use crate::control::in_flight::{attempt_ended_event, InFlightAttempt};
use crate::control::{Control, ControlState};
use crate::task::{self, ScopedTask};
use crate::upstream::{AttemptEnd, Connection, FlushRequest};
use crate::write_guard::WriteGuard;
use balancer::{EndpointId, Event, Outcome, RequestId};
use std::time::Duration;
use tokio::time::Instant;

impl ControlState {
    /// Starts an attempt, or reports it as never sent. `start_within` limits the time until its
    /// first byte is written.
    pub(super) fn start_attempt(
        &mut self,
        control: &Control,
        id: RequestId,
        endpoint_id: EndpointId,
        start_within: Option<Duration>,
    ) {
        let now = Instant::now();
        self.cancel_if_disconnected(id);
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        // Before the first attempt, the request is rejected instead.
        if !request.attempts.is_empty() && request.forwarded.client.is_out_of_sight() {
            self.metrics.counters_mut().clients_out_of_sight += 1;
            return self.report_unsent_attempt(id);
        }
        let endpoint = self.endpoints.ready_endpoint(endpoint_id);
        let Some(endpoint) = endpoint.filter(|_| request.may_start_attempt(now)) else {
            return self.report_unsent_attempt(id);
        };
        let ReadyEndpoint { process, target } = endpoint;
        let start_deadline = start_within.map(|start_within| now + start_within);
        let record = request.record.add_attempt(target);
        let presence = request.forwarded.client.client_presence();
        let write_guard = WriteGuard::new(&self.metrics, presence, start_deadline, record);
        let attempt = Attempt {
            control: control.clone(),
            process,
            forwarded: request.forwarded.clone(),
            deadline: request.deadline,
            write_guard: write_guard.clone(),
            flush_request: FlushRequest::default(),
        };
        let max_idle = self.pool.max_idle(self.config.connection_idle_timeout);
        let idle_connection = self.pool.take(endpoint_id, max_idle);
        let number = request.attempts.len() as u32;
        let task = attempt.spawn(id, number, idle_connection);
        self.metrics.counters_mut().attempts += 1;
        let in_flight = InFlightAttempt {
            process,
            started_at: now,
            write_guard,
            _task: task,
        };
        request.attempts.push(Some(in_flight));
    }

    /// Cancels a request whose client is known to have disconnected, even if the task of the
    /// client's connection has not been polled since.
    fn cancel_if_disconnected(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        if request.forwarded.client.is_known_disconnected() && request.cancel(id, &mut self.events)
        {
            request.forwarded.client.close();
        }
    }

    /// Reports the request's next attempt to the balancer as never sent.
    fn report_unsent_attempt(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        let attempt = request.attempts.len() as u32;
        request.attempts.push(None);
        let request_finished = request.has_reply();
        let outcome = Outcome::NeverSent;
        let event = attempt_ended_event(id, attempt, outcome, Duration::ZERO, request_finished);
        self.events.push_back(event);
        self.requests.finish_if_replied(id, &mut self.events);
    }

    /// Cancels an attempt and closes its connection.
    pub(super) fn cancel_attempt(&mut self, id: RequestId, number: u32) {
        let Some((request, attempt)) = self.requests.take_attempt(id, number) else {
            return;
        };
        let outcome = Outcome::Cancelled;
        attempt.end_by_proxy(outcome);
        let elapsed = attempt.started_at.elapsed();
        let event = attempt_ended_event(id, number, outcome, elapsed, request.has_reply());
        self.events.push_back(event);
        self.requests.finish_if_replied(id, &mut self.events);
    }

    /// Returns a connection to the pool if its endpoint process still accepts new attempts; closes
    /// it otherwise.
    pub(super) fn return_connection(&mut self, process: EndpointProcess, connection: Connection) {
        if self.endpoints.accepts(process) {
            self.pool.put(process.endpoint_id, connection);
        }
    }
}

impl Attempt {
    /// Runs the attempt in its own task, which reports how it ended.
    fn spawn(
        self,
        id: RequestId,
        number: u32,
        idle_connection: Option<IdleConnection>,
    ) -> ScopedTask {
        task::spawn(async move {
            let end = self.run(idle_connection).await;
            self.control.end_attempt(id, number, end);
        })
    }
}

impl Control {
    /// Forwards the attempt's response to the client and reports the outcome to the balancer.
    fn end_attempt(&self, id: RequestId, number: u32, mut end: AttemptEnd) {
        let mut state = self.state_mut();
        let ControlState {
            requests, events, ..
        } = &mut *state;
        let Some((request, attempt)) = requests.take_attempt(id, number) else {
            return;
        };
        attempt.write_guard.record_outcome(end.outcome);
        if end.outcome == Outcome::Served {
            request.reply_served(end.response.take());
        }
        events.push_back(Event::AttemptEnded {
            request: id,
            attempt: number,
            outcome: end.outcome,
            elapsed: request.elapsed(&attempt),
            request_finished: request.has_reply(),
            load: end.load,
        });
        requests.finish_if_replied(id, events);
        // Returned before the outcome is reported: otherwise the next request would open another
        // connection.
        if let Some(connection) = end.connection {
            state.return_connection(attempt.process, connection);
        }
        drop(state);
        self.dispatch([]);
        // Dropped last: this aborts the attempt's task, which may be the task that runs this
        // function.
        drop(attempt);
    }
}

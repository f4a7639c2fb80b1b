//! The model's client requests, attempts of balancers, and work of endpoints.

use super::*;

impl Fleet {
    pub(super) fn send_attempt(&mut self, balancer: usize, id: u64, endpoint: usize) {
        let Some(request) = self.requests.get_mut(&(balancer, id)) else {
            return;
        };
        request.endpoints.push(endpoint);
        let (attempt, deadline) = (
            (balancer, id, request.endpoints.len() as u32 - 1),
            request.deadline,
        );
        let is_connected = self.connections.contains(&(balancer, endpoint));
        if self.can_connect(balancer, endpoint) {
            if self.connections.insert((balancer, endpoint)) {
                self.count(self.now, CONNECTIONS_OPENED);
            }
            self.schedule(self.now + MS, ModelEvent::Arrival(attempt));
            self.schedule(deadline, ModelEvent::Deadline(attempt));
        } else if is_connected {
            // The peer of an open connection becomes unreachable: the attempt gets no response.
            self.connections.remove(&(balancer, endpoint));
            self.schedule(deadline, ModelEvent::Deadline(attempt));
        } else {
            self.schedule(
                (self.now + CONNECT_TIMEOUT).min(deadline),
                ModelEvent::Response(attempt, Outcome::ConnectFailed),
            );
        }
    }

    /// Ends a request to a balancer. Unless it was served, its client may send the user's request
    /// again.
    pub(super) fn end_request(&mut self, balancer: usize, id: u64, served: bool) {
        let Some(request) = self.requests.remove(&(balancer, id)) else {
            return;
        };
        let index = request.user_request;
        let retry_delay = 25 * MS + (self.random_unit() * 100e3) as Micros;
        let user_request = &mut self.user_requests[index];
        let (class, sent_at) = (user_request.class, user_request.sent_at);
        user_request.tries += 1;
        user_request.has_ended = served;
        if served && self.now <= sent_at + LATENCY_OBJECTIVE[class] {
            self.count(sent_at, SERVED_IN_TIME);
        } else if !served
            && self.user_requests[index].tries < MAX_CLIENT_TRIES
            && self.now < sent_at + DEADLINE[class]
        {
            self.schedule(self.now + retry_delay, ModelEvent::ClientRequest(index));
        }
    }

    pub(super) fn report_outcome(
        &mut self,
        (balancer, request, attempt): AttemptKey,
        outcome: Outcome,
        request_finished: bool,
    ) {
        let (request, elapsed, load) = (RequestId(request), 0, LoadReport::default());
        self.handle_event(
            balancer,
            Event::AttemptEnded {
                request,
                attempt,
                outcome,
                elapsed,
                request_finished,
                load,
            },
        );
    }

    /// Whether an attempt is in flight: its request has not ended and has no later attempt.
    pub(super) fn is_in_flight(&self, (balancer, request, attempt): AttemptKey) -> bool {
        self.requests
            .get(&(balancer, request))
            .is_some_and(|request| request.endpoints.len() == attempt as usize + 1)
    }

    pub(super) fn send_client_request(&mut self, index: usize) {
        let &UserRequest {
            balancer,
            class,
            sent_at,
            tries,
            ..
        } = &self.user_requests[index];
        if tries == 0 {
            self.count(sent_at, REQUESTS);
        }
        self.sequence_number += 1;
        let (request, class_id) = (self.sequence_number, ClassId(class));
        let time_left = (sent_at + DEADLINE[class])
            .saturating_sub(self.now)
            .min(DEADLINE[class] / 2)
            .max(1);
        let deadline = self.now + time_left;
        self.requests.insert(
            (balancer, request),
            Request {
                user_request: index,
                deadline,
                endpoints: Vec::new(),
            },
        );
        let (request, tenant, client_retry, non_replayable) =
            (RequestId(request), None, tries > 0, false);
        let class = class_id;
        self.handle_event(
            balancer,
            Event::RequestReceived {
                request,
                class,
                tenant,
                time_left,
                client_retry,
                non_replayable,
            },
        );
    }

    pub(super) fn arrive_at_endpoint(&mut self, attempt: AttemptKey) {
        if !self.is_in_flight(attempt) {
            return;
        }
        let request = &self.requests[&(attempt.0, attempt.1)];
        let (endpoint, class) = (
            request.endpoints[attempt.2 as usize],
            self.user_requests[request.user_request].class,
        );
        // From 0 to twice the mean, mostly close to the mean.
        let work = WORK[class] * (0..4).map(|_| self.random_unit()).sum::<f64>() / 2.0;
        if !self.can_connect(attempt.0, endpoint) {
            return;
        }
        let fails = self.random_unit() < 0.5;
        let now = self.now;
        let target = &mut self.endpoints[endpoint];
        if target.is_failing && fails {
            return self.schedule(now + 2 * MS, ModelEvent::Response(attempt, Outcome::Error));
        }
        target.advance(now);
        if target.request_count() as f64 >= 6.0 * target.cores {
            return self.schedule(now + MS, ModelEvent::Response(attempt, Outcome::Rejected));
        }
        target.queued.push_back((work, attempt));
        self.start_queued_work(endpoint);
    }

    /// Starts queued work, up to four requests per core, and schedules the next completion.
    pub(super) fn start_queued_work(&mut self, index: usize) {
        let (now, endpoint) = (self.now, &mut self.endpoints[index]);
        while (endpoint.executing.len() as f64) < 4.0 * endpoint.cores {
            let Some(work) = endpoint.queued.pop_front() else {
                break;
            };
            endpoint.executing.push(work);
        }
        endpoint.completion_number += 1;
        let (completion_number, rate) = (endpoint.completion_number, endpoint.rate(now));
        if let Some(least) = endpoint
            .executing
            .iter()
            .map(|work| work.0)
            .min_by(f64::total_cmp)
        {
            // The wait is bounded because the rate changes while the endpoint warms up.
            let wait = ((least / rate).max(0.0) as Micros + 1).min(100 * MS);
            self.schedule(now + wait, ModelEvent::Work(index, completion_number));
        }
    }

    /// Completes the attempts whose work is done. Work is executed to its end even if the client
    /// has disconnected.
    pub(super) fn finish_work(&mut self, index: usize) {
        let now = self.now;
        let endpoint = &mut self.endpoints[index];
        endpoint.advance(now);
        let done = endpoint.executing.iter().filter(|work| work.0 <= 0.5);
        let done: Vec<AttemptKey> = done.map(|work| work.1).collect();
        endpoint.executing.retain(|work| work.0 > 0.5);
        for attempt in done {
            self.schedule(now + MS, ModelEvent::Response(attempt, Outcome::Served));
        }
        self.start_queued_work(index);
    }
}

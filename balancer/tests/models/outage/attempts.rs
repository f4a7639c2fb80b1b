//! The model's client requests, attempts of balancers, and work of endpoints.

use super::*;

impl Fleet {
    pub(super) fn send(&mut self, balancer: usize, id: u64, endpoint: usize) {
        let Some(request) = self.requests.get_mut(&(balancer, id)) else {
            return;
        };
        request.to.push(endpoint);
        let (attempt, until) = ((balancer, id, request.to.len() as u32 - 1), request.until);
        let is_connected = self.connections.contains(&(balancer, endpoint));
        if self.reaches(balancer, endpoint) {
            if self.connections.insert((balancer, endpoint)) {
                self.count(self.now, 2);
            }
            self.at(self.now + MS, Step::Arrival(attempt));
            self.at(until, Step::Deadline(attempt));
        } else if is_connected {
            // The peer of an open connection becomes unreachable: the attempt gets no response.
            self.connections.remove(&(balancer, endpoint));
            self.at(until, Step::Deadline(attempt));
        } else {
            self.at(
                (self.now + CONNECT_TIMEOUT).min(until),
                Step::Response(attempt, Outcome::ConnectFailed),
            );
        }
    }

    /// Ends a client's attempt: unless it was served, the client may retry.
    pub(super) fn end(&mut self, balancer: usize, id: u64, served: bool) {
        let Some(request) = self.requests.remove(&(balancer, id)) else {
            return;
        };
        let place = request.user_request;
        let again = 25 * MS + (self.unit() * 100e3) as Micros;
        let user_request = &mut self.user_requests[place];
        let (class, began) = (user_request.class, user_request.began);
        user_request.attempts += 1;
        user_request.ended = served;
        if served && self.now <= began + LATENCY_OBJECTIVE[class] {
            self.count(began, 1);
        } else if !served
            && self.user_requests[place].attempts < MAX_CLIENT_ATTEMPTS
            && self.now < began + DEADLINE[class]
        {
            self.at(self.now + again, Step::ClientRequest(place));
        }
    }

    pub(super) fn outcome(
        &mut self,
        (balancer, request, attempt): AttemptKey,
        outcome: Outcome,
        request_finished: bool,
    ) {
        let (request, elapsed, load) = (RequestId(request), 0, LoadReport::default());
        self.notify(
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
    pub(super) fn is_out(&self, (balancer, request, attempt): AttemptKey) -> bool {
        self.requests
            .get(&(balancer, request))
            .is_some_and(|request| request.to.len() == attempt as usize + 1)
    }

    pub(super) fn send_client_request(&mut self, place: usize) {
        let &UserRequest {
            balancer,
            class,
            began,
            attempts,
            ..
        } = &self.user_requests[place];
        if attempts == 0 {
            self.count(began, 0);
        }
        self.number += 1;
        let (request, class_id) = (self.number, ClassId(class));
        let time_left = (began + DEADLINE[class])
            .saturating_sub(self.now)
            .min(DEADLINE[class] / 2)
            .max(1);
        let until = self.now + time_left;
        self.requests.insert(
            (balancer, request),
            Request {
                user_request: place,
                until,
                to: Vec::new(),
            },
        );
        let (request, tenant, client_retry, non_replayable) =
            (RequestId(request), None, attempts > 0, false);
        let class = class_id;
        self.notify(
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

    pub(super) fn arrive(&mut self, attempt: AttemptKey) {
        if !self.is_out(attempt) {
            return;
        }
        let request = &self.requests[&(attempt.0, attempt.1)];
        let (endpoint, class) = (
            request.to[attempt.2 as usize],
            self.user_requests[request.user_request].class,
        );
        // From 0 to twice the mean, mostly close to the mean.
        let work = WORK[class] * (0..4).map(|_| self.unit()).sum::<f64>() / 2.0;
        if !self.reaches(attempt.0, endpoint) {
            return;
        }
        let half = self.unit() < 0.5;
        let now = self.now;
        let target = &mut self.endpoints[endpoint];
        if target.is_failing && half {
            return self.at(now + 2 * MS, Step::Response(attempt, Outcome::Error));
        }
        target.advance(now);
        if target.request_count() as f64 >= 6.0 * target.cores {
            return self.at(now + MS, Step::Response(attempt, Outcome::Rejected));
        }
        target.waiting.push_back((work, attempt));
        self.start_queued_work(endpoint);
    }

    /// Starts queued work, up to four requests per core, and schedules the next completion.
    pub(super) fn start_queued_work(&mut self, place: usize) {
        let (now, endpoint) = (self.now, &mut self.endpoints[place]);
        while (endpoint.work.len() as f64) < 4.0 * endpoint.cores {
            let Some(work) = endpoint.waiting.pop_front() else {
                break;
            };
            endpoint.work.push(work);
        }
        endpoint.turn += 1;
        let (turn, rate) = (endpoint.turn, endpoint.rate(now));
        if let Some(least) = endpoint
            .work
            .iter()
            .map(|work| work.0)
            .min_by(f64::total_cmp)
        {
            // The wait is bounded because the rate changes while the endpoint warms up.
            let wait = ((least / rate).max(0.0) as Micros + 1).min(100 * MS);
            self.at(now + wait, Step::Work(place, turn));
        }
    }

    /// Completes the attempts whose work is done. Work is executed to its end even if the client
    /// has disconnected.
    pub(super) fn finish_work(&mut self, place: usize) {
        let now = self.now;
        let endpoint = &mut self.endpoints[place];
        endpoint.advance(now);
        let done = endpoint.work.iter().filter(|work| work.0 <= 0.5);
        let done: Vec<AttemptKey> = done.map(|work| work.1).collect();
        endpoint.work.retain(|work| work.0 > 0.5);
        for attempt in done {
            self.at(now + MS, Step::Response(attempt, Outcome::Served));
        }
        self.start_queued_work(place);
    }
}

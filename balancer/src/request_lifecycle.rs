//! What happens to a request after its arrival: the ends of its attempts, and its reply.

use crate::attempt::Attempt;
use crate::balancer::Balancer;
use crate::{Action, FailureReason, Micros, Outcome, RequestId};

impl Balancer {
    /// Brings the deadlines of all requests, queued ones included, forward to `deadline` if they
    /// are later.
    pub(crate) fn shorten_deadlines(&mut self, now: Micros, deadline: Micros) {
        let mut shortened = Vec::new();
        for (&id, request) in &mut self.requests {
            if request.deadline > deadline {
                request.deadline = deadline;
                if request.is_queued {
                    shortened.push(id);
                }
            }
        }
        for id in shortened {
            self.set_queue_deadline(now, id);
        }
    }

    /// Records the end of an attempt and returns it, or `None` if it was not in flight.
    pub(crate) fn end_attempt(
        &mut self,
        id: RequestId,
        attempt: u32,
        outcome: Outcome,
    ) -> Option<Attempt> {
        let request = self.requests.get_mut(&id)?;
        let ended = request
            .attempts
            .get_mut(attempt as usize)
            .filter(|a| a.is_in_flight())?;
        ended.outcome = Some(outcome);
        Some(*ended)
    }

    /// Finishes, retries, rejects or fails a request after an attempt has ended, or leaves it to
    /// another attempt that is in flight.
    pub(crate) fn finish_or_retry(
        &mut self,
        now: Micros,
        id: RequestId,
        outcome: Outcome,
        is_finished: bool,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let is_undecided =
            !request.is_finished && !request.is_queued && request.in_flight_count() == 0;
        if is_finished || outcome == Outcome::Served {
            self.finish_request(id);
            self.cancel_attempts(id, None, actions);
        } else if is_undecided && outcome == Outcome::Invalid {
            // Any endpoint would find the request invalid, so neither this balancer nor the client
            // should retry it.
            actions.push(Action::Fail {
                request: id,
                reason: FailureReason::Invalid,
            });
            self.finish_request(id);
        } else if is_undecided {
            self.retry_or_give_up(now, id, outcome, actions);
        }
        self.remove_if_done(id);
    }

    /// Rejects a request that will not be served if its client may safely retry it, and fails it
    /// otherwise.
    pub(crate) fn reject_or_fail(
        &mut self,
        id: RequestId,
        retry_after: Micros,
        reason: FailureReason,
        actions: &mut Vec<Action>,
    ) {
        let retry_after = retry_after.min(self.settings.limits.max_retry_after);
        actions.push(if self.requests[&id].may_be_rejected() {
            Action::Reject {
                request: id,
                retry_after,
                reason,
            }
        } else {
            Action::Fail {
                request: id,
                reason,
            }
        });
        self.finish_request(id);
        self.cancel_attempts(id, None, actions);
        self.remove_if_done(id);
    }

    /// Marks a request as needing no further attempt and takes it out of the queue.
    pub(crate) fn finish_request(&mut self, id: RequestId) {
        self.set_request_timer(id, None);
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.is_finished = true;
        if request.is_queued {
            request.is_queued = false;
            self.queue.remove(id);
        }
    }

    /// Cancels the attempts in flight other than `except`, if the deployment allows that.
    pub(crate) fn cancel_attempts(
        &self,
        id: RequestId,
        except: Option<u32>,
        actions: &mut Vec<Action>,
    ) {
        if !self.settings.limits.cancellation {
            return;
        }
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        for (number, attempt) in (0..).zip(&request.attempts) {
            if attempt.is_in_flight() && Some(number) != except {
                actions.push(Action::CancelAttempt {
                    request: id,
                    attempt: number,
                });
            }
        }
    }

    /// Removes a request if it is finished and has no attempt in flight.
    pub(crate) fn remove_if_done(&mut self, id: RequestId) {
        let request = self.requests.get(&id);
        if request.is_some_and(|request| request.is_finished && request.in_flight_count() == 0) {
            self.requests.remove(&id);
        }
    }
}

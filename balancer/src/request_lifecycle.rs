//! A request's way from its arrival to its end.

use crate::attempt::Attempt;
use crate::balancer::*;
use crate::*;

impl Balancer {
    /// A call has come whole: its client's time begins, and the work of the server that it has gone
    /// to.
    pub(crate) fn complete_upload(&mut self, now: Micros, id: RequestId, left: Micros) {
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
    pub(crate) fn shorten_deadlines(&mut self, now: Micros, last: Micros) {
        let mut late = Vec::new();
        for (&id, request) in self.requests.iter_mut().filter(|(_, request)| request.deadline > last) {
            request.deadline = last;
            late.extend(request.queued.then_some(id));
        }
        late.into_iter().for_each(|id| self.set_queue_deadline(now, id));
    }

    /// Notes an attempt's end; late, double and unknown ones change nothing.
    pub(crate) fn record_outcome(
        &mut self,
        id: RequestId,
        attempt: u32,
        outcome: Outcome,
    ) -> Option<Attempt> {
        let request = self.requests.get_mut(&id)?;
        let tried = request.attempts.get_mut(attempt as usize).filter(|a| a.outcome.is_none())?;
        tried.outcome = Some(outcome);
        Some(*tried)
    }

    /// After an attempt's end: the call's end, another attempt, or nothing while a copy is out.
    pub(crate) fn continue_request(
        &mut self,
        now: Micros,
        id: RequestId,
        outcome: Outcome,
        request_finished: bool,
        actions: &mut Actions,
    ) {
        if request_finished || outcome == Outcome::Served {
            self.finish_request(id);
            self.cancel_others(id, None, actions);
        } else if self.requests.get(&id).is_some_and(|c| !c.ended && !c.queued && c.in_flight_count() == 0) {
            if outcome == Outcome::Invalid {
                // It would fare alike everywhere, and the client is not to come again with it.
                actions.push(Action::Fail { request: id, reason: FailureReason::Invalid });
                self.finish_request(id);
            } else {
                self.retry_or_abandon(now, id, outcome, actions);
            }
        }
        self.remove_if_finished(id);
    }

    pub(crate) fn abandon(
        &mut self,
        id: RequestId,
        retry_after: Micros,
        reason: FailureReason,
        actions: &mut Actions,
    ) {
        let retry_after = retry_after.min(self.settings.limits.max_retry_after);
        let refused = self.requests[&id].may_be_rejected();
        actions.push(if refused {
            Action::Reject { request: id, retry_after, reason }
        } else {
            Action::Fail { request: id, reason }
        });
        self.finish_request(id);
        self.cancel_others(id, None, actions);
        self.remove_if_finished(id);
    }

    pub(crate) fn finish_request(&mut self, id: RequestId) {
        self.set_request_timer(id, 0);
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.ended = true;
        if std::mem::take(&mut request.queued) {
            if let Some(index) = self.queue.iter().position(|&queued| queued == id) {
                self.queue.remove(index);
            }
        }
    }

    pub(crate) fn cancel_others(&mut self, id: RequestId, but: Option<u32>, actions: &mut Actions) {
        let Some(request) = self.requests.get(&id).filter(|_| self.settings.limits.cancellation) else {
            return;
        };
        let out = (0..).zip(&request.attempts).filter(|(n, a)| a.outcome.is_none() && Some(*n) != but);
        actions.extend(out.map(|(attempt, _)| Action::CancelAttempt { request: id, attempt }));
    }

    pub(crate) fn remove_if_finished(&mut self, id: RequestId) {
        if self.requests.get(&id).is_some_and(|c| c.ended && c.in_flight_count() == 0) {
            self.requests.remove(&id);
        }
    }
}

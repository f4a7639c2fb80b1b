//! The lifecycle of a request: its arrival, the arrival of its last byte, its cancellation and its
//! final reply.

use crate::control::clock::micros_until;
use crate::control::in_flight::InFlightRequest;
use crate::control::request::{ForwardedRequest, Reply, RequestMetadata};
use crate::control::{Control, ControlState};
use crate::invariants::{ReplyKind, RequestPolicy, RequestRecord};
use crate::memory::{open_descriptors, resident_kilobytes};
use crate::metrics::{RequestEnd, RequestTracker};
use crate::request_ids::{IdRetention, ProcessUsage};
use balancer::{ClassId, Event, FailureReason, Idempotency, RequestId};
use std::io;
use std::path::Path;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// How long an id is kept at least, however short its class's deadline and window: until both
/// processes of a handoff have ended the requests that they had (3 s and 0.7 s).
const MIN_ID_RETENTION: Duration = Duration::from_millis(3_700);
/// How long an id is kept at most.
const MAX_ID_RETENTION: Duration = Duration::from_secs(60);

/// A request that waits for its reply. Dropping it before the reply cancels the request: its client
/// has disconnected.
pub struct PendingReply {
    control: Control,
    request: RequestId,
    reply: oneshot::Receiver<Reply>,
    tracker: Option<RequestTracker>,
}

impl PendingReply {
    /// Waits for the final reply.
    pub async fn reply(&mut self) -> Reply {
        // The sender is dropped without a reply only when the request is cancelled because its
        // client has disconnected, or when the process ends.
        let mut reply = (&mut self.reply).await.unwrap_or(Reply::Failed);
        if let Some(tracker) = self.tracker.take() {
            match &mut reply {
                Reply::Served(response) => response.body_mut().track(tracker),
                Reply::Rejected(_) => tracker.end(RequestEnd::Rejected),
                Reply::Failed => tracker.end(RequestEnd::Failed),
            }
        }
        reply
    }

    /// Returns a function that tells whether an attempt of the request was started.
    pub fn attempt_check(&self) -> impl Fn() -> bool + use<> {
        let (control, request) = (self.control.clone(), self.request);
        move || {
            let state = control.state();
            let request = state.requests.get(request);
            request.is_none_or(|request| !request.attempts.is_empty())
        }
    }

    /// Returns a function that reports whether the request's upload waits for its client.
    pub fn upload_wait_reporter(&self) -> impl Fn(bool) + use<> {
        let (control, request) = (self.control.clone(), self.request);
        move |waits_for_client| {
            control.dispatch([Event::UploadWaitChanged {
                request,
                waits_for_client,
            }]);
        }
    }

    /// Reports that the request's last byte has arrived: the client waits for `time_left` from now.
    pub fn upload_completed(&mut self, time_left: Duration) {
        if let Some(tracker) = &mut self.tracker {
            tracker.set_complete();
        }
        self.control.complete_request(self.request, time_left);
    }
}

impl Drop for PendingReply {
    fn drop(&mut self) {
        self.control.cancel_request(self.request);
    }
}

impl Control {
    /// Submits a request to the balancer. Returns `None` if a request with its id is in flight, or
    /// may have been executed and must not be executed again.
    pub fn submit_request(
        &self,
        metadata: RequestMetadata,
        forwarded: ForwardedRequest,
    ) -> Option<PendingReply> {
        let RequestMetadata {
            id: client_id,
            class,
            tenant,
            deadline,
            is_client_retry,
        } = metadata;
        let non_replayable = forwarded.body.upload().is_some();
        let mut state = self.state_mut();
        let deadline = state.shutdown.limit_deadline(deadline);
        let retention = state.id_retention(class);
        // A body that is streamed may take long to arrive.
        let kept_until = if non_replayable {
            deadline + MAX_ID_RETENTION
        } else {
            deadline
        };
        let claimed = state.requests.claim_id(&client_id, retention, kept_until);
        let Some((request, claimed_id)) = claimed else {
            state.metrics.counters_mut().repeated_ids += 1;
            tracing::debug!(request = ?client_id, "request refused: repeated id");
            return None;
        };
        let tracker = state.metrics.track(class, !non_replayable);
        let time_left = micros_until(deadline);
        let policy = state.request_policy(class);
        let record_deadline = (!non_replayable).then_some(deadline);
        let metrics = state.metrics.clone();
        let record = RequestRecord::new(metrics, client_id.clone(), policy, record_deadline);
        let (in_flight, reply) = InFlightRequest::new(claimed_id, forwarded, deadline, record);
        state.requests.insert(request, in_flight);
        drop(state);
        self.dispatch([Event::RequestReceived {
            request,
            class,
            tenant,
            time_left,
            client_retry: is_client_retry,
            non_replayable,
        }]);
        Some(PendingReply {
            control: self.clone(),
            request,
            reply,
            tracker: Some(tracker),
        })
    }

    /// Shares the ids of requests with the other processes that use this folder.
    ///
    /// # Errors
    /// The files in the folder cannot be used.
    pub(crate) fn share_request_ids(&self, folder: &Path) -> io::Result<()> {
        self.state_mut().requests.client_ids.share(folder)
    }

    /// What the other processes use that share the ids of their requests with this one; `None` if
    /// there is none. Tells them what this one uses.
    pub(crate) fn check_peers(&self) -> Option<ProcessUsage> {
        let mut state = self.state_mut();
        let ids = &mut state.requests.client_ids;
        let used_by_others = ids.check_peers()?;
        ids.publish_usage(ProcessUsage {
            descriptors: open_descriptors().unwrap_or(0),
            memory_kb: resident_kilobytes().unwrap_or(0) as u32,
        });
        Some(used_by_others)
    }

    /// Rejects a request that was not submitted to the balancer, or whose [`PendingReply`] the
    /// caller drops.
    pub fn reject(&self, class: ClassId) -> Reply {
        self.metrics().track(class, true).end(RequestEnd::Rejected);
        Reply::Rejected(Duration::ZERO)
    }

    fn complete_request(&self, id: RequestId, time_left: Duration) {
        let mut state = self.state_mut();
        let deadline = state.shutdown.limit_deadline(Instant::now() + time_left);
        let Some(request) = state.requests.get_mut(id) else {
            return;
        };
        request.complete(deadline);
        let time_left = micros_until(deadline);
        drop(state);
        self.dispatch([Event::UploadCompleted {
            request: id,
            time_left,
        }]);
    }

    fn cancel_request(&self, id: RequestId) {
        let mut state = self.state_mut();
        let ControlState {
            requests, events, ..
        } = &mut *state;
        if requests
            .get_mut(id)
            .is_some_and(|request| request.cancel(id, events))
        {
            requests.finish_if_replied(id, events);
            drop(state);
            self.dispatch([]);
        }
    }
}

impl ControlState {
    /// Replies to a request that the balancer has rejected or failed.
    pub(super) fn reply_without_response(
        &mut self,
        id: RequestId,
        reason: FailureReason,
        reply: Reply,
    ) {
        if let Some(request) = self.requests.get_mut(id) {
            if let Some(sender) = request.reply.take() {
                self.metrics
                    .counters_mut()
                    .request_rejected_or_failed(reason);
                request.update_record_deadline();
                request.record.rejected_or_failed(reason);
                request.record.replied(match reply {
                    Reply::Failed => ReplyKind::Failed,
                    // `Served` does not occur: the balancer only rejects or fails requests here.
                    Reply::Rejected(_) | Reply::Served(_) => ReplyKind::Rejected,
                });
                // Fails only if the client has just disconnected.
                let _ = sender.send(reply);
            }
        }
        self.requests.finish_if_replied(id, &mut self.events);
    }

    /// For how long the id of a request of this class is kept.
    fn id_retention(&self, class: ClassId) -> IdRetention {
        let Some(class) = self.config.settings.classes.get(class.0) else {
            return IdRetention::KeepFor(MIN_ID_RETENTION);
        };
        let window = match class.idempotency {
            Idempotency::Idempotent => return IdRetention::Free,
            Idempotency::Keyed { window, .. } => window,
            Idempotency::NonIdempotent => 0,
        };
        let retention = Duration::from_micros(window.max(class.deadline));
        IdRetention::KeepFor(retention.clamp(MIN_ID_RETENTION, MAX_ID_RETENTION))
    }

    /// The policy by which the invariants check requests of a class.
    fn request_policy(&self, class: ClassId) -> RequestPolicy {
        let settings = &self.config.settings;
        let class = settings.classes.get(class.0);
        RequestPolicy {
            idempotency: class.map_or(Idempotency::NonIdempotent, |class| class.idempotency),
            max_attempts: settings.limits.max_attempts as usize,
            hedging: settings.limits.hedging,
            drain_grace: self.config.drain_grace,
        }
    }
}

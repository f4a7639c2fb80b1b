//! Requests that are forwarded while their body is still arriving, and where they count meanwhile.

use crate::attempt::{Attempt, UploadState};
use crate::balancer::Balancer;
use crate::{Micros, RequestId};

impl Balancer {
    /// Handles the last byte of a non-replayable request. The client's deadline and the endpoint's
    /// work on the request count from now on.
    pub(crate) fn complete_upload(&mut self, now: Micros, id: RequestId, time_left: Micros) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.arrived_at = now;
        request.deadline = now.saturating_add(time_left);
        let Some(uploaded) = self.change_upload(id, UploadState::Complete) else {
            return;
        };
        if let Some(attempt) = self.in_flight_attempt(id) {
            attempt.sent_at = now;
        }
        self.end_upload(now, &uploaded);
    }

    /// Handles a change of whom an upload waits for. While it waits for its client, its endpoint
    /// has read all that has arrived and is not loaded by it.
    pub(crate) fn change_upload_wait(&mut self, id: RequestId, waits_for_client: bool) {
        let upload = if waits_for_client {
            UploadState::WaitsForClient
        } else {
            UploadState::WaitsForEndpoint
        };
        let request = self.requests.get(&id);
        if !request.is_some_and(|request| request.upload.is_uploading()) {
            return;
        }
        if let Some(before) = self.change_upload(id, upload) {
            self.uncount_upload(&before);
            self.count_upload(&Attempt { upload, ..before });
        }
    }

    /// Changes the state of a request's upload. Returns its attempt in flight as it was before.
    fn change_upload(&mut self, id: RequestId, upload: UploadState) -> Option<Attempt> {
        self.requests.get_mut(&id)?.upload = upload;
        let attempt = self.in_flight_attempt(id)?;
        let before = *attempt;
        attempt.upload = upload;
        Some(before)
    }

    fn in_flight_attempt(&mut self, id: RequestId) -> Option<&mut Attempt> {
        let request = self.requests.get_mut(&id)?;
        request
            .attempts
            .iter_mut()
            .find(|attempt| attempt.is_in_flight())
    }

    /// Counts an attempt at its endpoint while it is being written. An endpoint that does not read
    /// would otherwise look idle.
    pub(crate) fn count_upload(&mut self, attempt: &Attempt) {
        if attempt.upload == UploadState::WaitsForEndpoint {
            if let Some(endpoint) = self.endpoint_of_attempt(attempt) {
                endpoint.uploading += 1;
            }
        }
    }

    fn uncount_upload(&mut self, attempt: &Attempt) {
        if attempt.upload == UploadState::WaitsForEndpoint {
            if let Some(endpoint) = self.endpoint_of_attempt(attempt) {
                endpoint.uploading = endpoint.uploading.saturating_sub(1);
            }
        }
    }

    /// Counts an attempt whose upload has ended as in flight.
    pub(crate) fn end_upload(&mut self, now: Micros, attempt: &Attempt) {
        self.uncount_upload(attempt);
        self.count_in_flight(now, attempt);
    }
}

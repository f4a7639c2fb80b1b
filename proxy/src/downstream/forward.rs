//! Forwards a client's request through [`crate::control`] and waits for its reply.

use super::headers::remove_hop_by_hop;
use super::request::{validate, RequestError, ValidRequest};
use crate::body::{RequestBody, Upload, UploadError};
use crate::control::request::{ForwardedRequest, Reply, RequestMetadata};
use crate::control::{Control, PendingReply};
use crate::header_list::HeaderList;
use crate::memory::{
    attempt_head_bytes, BufferError, BufferedBody, MemoryUse, TransferPermit, REQUEST_BYTES,
};
use crate::socket::Socket;
use balancer::ClassId;
use hyper::body::Bytes;
use hyper::http::request::Parts;
use hyper::http::uri::PathAndQuery;
use hyper::{Method, Uri};
use std::future;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// Maximum part of the client's timeout that is reserved for returning the response to the client.
const MAX_RETURN_MARGIN: Duration = Duration::from_millis(10);
/// The margin is at most the client's timeout divided by this: the full margin would leave too
/// little of a short timeout for the endpoint's response.
const RETURN_MARGIN_DIVISOR: u32 = 16;

/// Fraction of the client's timeout for which memory for its request is waited for at most. The
/// rejection has to arrive in the first half, in which a client still has time to retry.
const MEMORY_WAIT_FRACTION: f64 = 0.4;

/// How often it is checked, before the first attempt of a request, whether its client may have closed
/// unseen.
const SIGHT_CHECK_INTERVAL: Duration = Duration::from_millis(40);

/// Forwards a valid request to the balancer and returns its reply, or an error if the request is
/// invalid or its body does not arrive.
pub(super) async fn forward(
    control: &Control,
    head: Parts,
    upload: &Rc<Upload>,
    client: &Socket,
) -> Result<Reply, RequestError> {
    let valid = validate(&control.config(), &head, upload.length())?;
    let class = valid.class;
    let head = CompactHead::new(head);
    let manager = control.memory();
    let until = upload.earliest_completion() + valid.timeout.mul_f64(MEMORY_WAIT_FRACTION);
    let request_bytes = REQUEST_BYTES + head.occupied_bytes();
    let memory = manager.reserve(MemoryUse::Request, request_bytes, until);
    let Some(mut memory) = memory.await else {
        upload.abandon();
        return Ok(control.reject(class));
    };
    let Some(body) = receive_body(control, upload, until).await? else {
        return Ok(control.reject(class));
    };
    if !manager.grow(&mut memory, head.attempt_bytes(), until).await {
        return Ok(control.reject(class));
    }
    // The client may have timed out before its connection was accepted or its request was read.
    if client.has_disconnected() {
        return Ok(control.reject(class));
    }
    if client.is_out_of_sight() {
        return Ok(reject_out_of_sight(control, class));
    }
    let response_timeout =
        valid.timeout - MAX_RETURN_MARGIN.min(valid.timeout / RETURN_MARGIN_DIVISOR);
    let (body, _transfer) = match body {
        ReceivedBody::Buffered(bytes) => (RequestBody::Buffered(bytes), None),
        ReceivedBody::Streamed(permit) => (RequestBody::Upload(upload.clone()), Some(permit)),
    };
    let is_streamed = body.upload().is_some();
    let forwarded = ForwardedRequest {
        method: head.method,
        target: head.target,
        headers: head.headers,
        body,
        response_timeout,
        weighted_time: valid.weighted_time,
        client: client.clone(),
        _memory: memory,
    };
    // Provisional while the body is still arriving.
    let deadline = upload.earliest_completion() + response_timeout;
    let metadata = request_metadata(valid, deadline);
    let mut pending = control
        .submit_request(metadata, forwarded)
        .ok_or(RequestError::DuplicateId)?;
    if is_streamed {
        streamed_reply(
            control,
            &mut pending,
            upload,
            client,
            response_timeout,
            class,
        )
        .await
    } else {
        Ok(buffered_reply(control, &mut pending, client, class).await)
    }
}

/// Completes if the client has been out of sight for too long before the first attempt of its request
/// was started.
async fn client_out_of_sight(client: &Socket, has_attempt: impl Fn() -> bool) {
    loop {
        sleep(SIGHT_CHECK_INTERVAL).await;
        if has_attempt() {
            return future::pending().await;
        }
        if client.is_out_of_sight() {
            return;
        }
    }
}

/// Rejects a request whose client may have closed, of which nothing was sent.
fn reject_out_of_sight(control: &Control, class: ClassId) -> Reply {
    control.metrics().counters_mut().clients_out_of_sight += 1;
    control.reject(class)
}

/// Waits for the reply to a request whose body has arrived.
async fn buffered_reply(
    control: &Control,
    pending: &mut PendingReply,
    client: &Socket,
    class: ClassId,
) -> Reply {
    let has_attempt = pending.attempt_check();
    tokio::select! {
        biased;
        reply = pending.reply() => reply,
        () = client_out_of_sight(client, has_attempt) => reject_out_of_sight(control, class),
    }
}

/// The part of a request's head that is forwarded, copied out of the buffer into which it was read.
struct CompactHead {
    method: Method,
    target: Uri,
    headers: HeaderList,
}

impl CompactHead {
    fn new(head: Parts) -> CompactHead {
        let target = head.uri.path_and_query().map(PathAndQuery::as_str);
        // It was parsed before, so it can be parsed again.
        let target = target.and_then(|target| Uri::try_from(target).ok());
        CompactHead {
            method: head.method,
            target: target.unwrap_or_default(),
            headers: HeaderList::new(&remove_hop_by_hop(head.headers)),
        }
    }

    fn occupied_bytes(&self) -> usize {
        self.headers.occupied_bytes() + self.target.path().len()
    }

    /// What the head needs while an attempt sends it and waits for the response.
    fn attempt_bytes(&self) -> usize {
        attempt_head_bytes(self.headers.len(), self.headers.text_bytes())
    }
}

/// The body of a request as it is forwarded.
enum ReceivedBody {
    /// It has arrived completely.
    Buffered(Bytes),
    /// It is passed on as it arrives.
    Streamed(TransferPermit),
}

/// Receives the request body: buffers it if it is small, and takes a place for its transfer
/// otherwise. Returns `None` if there is no room for it, or the process is shutting down and already
/// rejects requests.
async fn receive_body(
    control: &Control,
    upload: &Rc<Upload>,
    memory_until: Instant,
) -> Result<Option<ReceivedBody>, RequestError> {
    let manager = control.memory();
    let buffered = match BufferedBody::new(&manager, upload.length(), memory_until).await {
        Err(BufferError::OutOfMemory) => {
            upload.abandon();
            return Ok(None);
        }
        Err(BufferError::TooLong) => None,
        Ok(buffer) => tokio::select! {
            biased;
            () = control.wait_for_request_cutoff() => return Ok(None),
            buffered = upload.buffer(buffer) => buffered?,
        },
    };
    if let Some(bytes) = buffered {
        return Ok(Some(ReceivedBody::Buffered(bytes)));
    }
    let permit = manager.reserve_transfer().await;
    if permit.is_none() {
        upload.abandon();
    }
    Ok(permit.map(ReceivedBody::Streamed))
}

fn request_metadata(valid: ValidRequest, deadline: Instant) -> RequestMetadata {
    let ValidRequest {
        id,
        class,
        tenant,
        is_client_retry,
        ..
    } = valid;
    RequestMetadata {
        id,
        class,
        tenant,
        deadline,
        is_client_retry,
    }
}

/// Waits for the reply to a request whose body is still arriving, and passes on the time that is
/// left to answer it once the body is complete.
async fn streamed_reply(
    control: &Control,
    pending: &mut PendingReply,
    upload: &Upload,
    client: &Socket,
    response_timeout: Duration,
    class: ClassId,
) -> Result<Reply, RequestError> {
    let report_wait = pending.upload_wait_reporter();
    let has_attempt = pending.attempt_check();
    tokio::select! {
        biased;
        ended = upload.finished() => {
            let deadline = ended? + response_timeout;
            pending.upload_completed(deadline.saturating_duration_since(Instant::now()));
        }
        reply = pending.reply() => return Ok(reply),
        () = upload.client_stalled(report_wait) => return Err(UploadError::TooSlow.into()),
        // No endpoint has received anything of the request.
        () = client_out_of_sight(client, has_attempt) => {
            upload.abandon();
            return Ok(reject_out_of_sight(control, class));
        }
        // The endpoint has not executed the request, as its body is incomplete.
        () = control.wait_for_request_cutoff() => return Ok(control.reject(class)),
    }
    Ok(pending.reply().await)
}

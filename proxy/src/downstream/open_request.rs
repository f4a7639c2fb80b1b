//! Keeps a connection in [`Phase::Open`] until the last byte of the response has been passed to
//! hyper.

use super::phase::Phase;
use crate::body::{ClientWait, ResponseBody, ResponseBodyError, Upload};
use crate::socket::Socket;
use hyper::body::{Body, Bytes, Frame, SizeHint};
use hyper::Version;
use std::cell::{Cell, RefCell};
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::{ready, Context, Poll};
use tokio::time::Instant;

/// What the open request of a connection is doing, as far as it decides whether the connection may
/// be closed to make room.
#[derive(Debug, Default)]
pub(super) struct RequestProgress {
    /// The body of the request while it arrives.
    upload: RefCell<Weak<Upload>>,
    has_response: Cell<bool>,
    is_response_streamed: Cell<bool>,
}

impl RequestProgress {
    /// Records that a request with this body is open.
    pub(super) fn set_upload(&self, upload: &Rc<Upload>) {
        self.upload.replace(Rc::downgrade(upload));
    }

    /// Records that the open request has a response, whose body may be streamed.
    pub(super) fn set_response(&self, is_streamed: bool) {
        self.has_response.set(true);
        self.is_response_streamed.set(is_streamed);
    }

    /// The wait for the rest of the request's body, if nothing else is waited for and all that has
    /// arrived was read.
    pub(super) fn last_client_wait(&self) -> Option<ClientWait> {
        if self.has_response.get() {
            return None;
        }
        self.upload.borrow().upgrade()?.last_client_wait()
    }

    /// Whether the request or its response occupies a connection to an endpoint for as long as its
    /// client takes.
    pub(super) fn is_transfer(&self) -> bool {
        let upload = self.upload.borrow().upgrade();
        self.is_response_streamed.get() || upload.is_some_and(|upload| upload.is_streamed())
    }

    fn reset(&self) {
        self.upload.replace(Weak::new());
        self.has_response.set(false);
        self.is_response_streamed.set(false);
    }
}

/// Marks a request as open until this is dropped.
pub(super) struct OpenRequest {
    phase: Rc<Cell<Phase>>,
    socket: Socket,
    progress: Rc<RequestProgress>,
}

impl OpenRequest {
    pub(super) fn begin(
        phase: &Rc<Cell<Phase>>,
        socket: &Socket,
        progress: &Rc<RequestProgress>,
    ) -> OpenRequest {
        phase.set(Phase::Open);
        OpenRequest {
            phase: phase.clone(),
            socket: socket.clone(),
            progress: progress.clone(),
        }
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.progress.reset();
        let now = Instant::now();
        // Part of the next request may have arrived while this one was open.
        let next = if self.socket.is_between_messages() {
            Phase::Idle(now)
        } else {
            Phase::Receiving(now)
        };
        self.phase.set(next);
    }
}

/// A response body that keeps its request open until hyper drops the body.
pub(super) struct TrackedBody {
    body: ResponseBody,
    open_request: OpenRequest,
    /// The client cannot tell an incomplete body from a complete one by its framing.
    may_end_with_connection: bool,
}

impl TrackedBody {
    /// Creates the body of the response to a request of this version.
    pub(super) fn new(
        body: ResponseBody,
        open_request: OpenRequest,
        version: Version,
    ) -> TrackedBody {
        TrackedBody {
            body,
            open_request,
            may_end_with_connection: version == Version::HTTP_10,
        }
    }
}

impl Body for TrackedBody {
    type Data = Bytes;
    type Error = ResponseBodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ResponseBodyError>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(context));
        if self.may_end_with_connection && frame.as_ref().is_some_and(Result::is_err) {
            self.open_request.socket.end_with_reset();
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

//! Keeps a connection in [`Phase::Open`] until the last byte of the response has been passed to
//! hyper.

use super::phase::Phase;
use crate::body::{ResponseBody, ResponseBodyError};
use crate::socket::Socket;
use hyper::body::{Body, Bytes, Frame, SizeHint};
use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::time::Instant;

/// Marks a request as open until this is dropped.
pub(super) struct OpenRequest {
    phase: Rc<Cell<Phase>>,
    socket: Socket,
}

impl OpenRequest {
    pub(super) fn begin(phase: &Rc<Cell<Phase>>, socket: &Socket) -> OpenRequest {
        phase.set(Phase::Open);
        OpenRequest {
            phase: phase.clone(),
            socket: socket.clone(),
        }
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
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
    _open_request: OpenRequest,
}

impl TrackedBody {
    pub(super) fn new(body: ResponseBody, open_request: OpenRequest) -> TrackedBody {
        TrackedBody {
            body,
            _open_request: open_request,
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
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

//! Keeps a connection in the phase of an open request until the response's last byte has been
//! handed over.

use super::phase::Phase;
use crate::body::{ResponseBody, ResponseBodyError};
use crate::socket::Socket;
use hyper::body::{Body, Bytes, Frame, SizeHint};
use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::time::Instant;

/// An open request; it ends when this is dropped.
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
        // A part of the next request may have arrived meanwhile.
        let next = if self.socket.is_between_messages() {
            Phase::Idle(now)
        } else {
            Phase::Receiving(now)
        };
        self.phase.set(next);
    }
}

/// The body of a response, which keeps its request open.
pub(super) struct TrackedBody {
    body: ResponseBody,
    _open: OpenRequest,
}

impl TrackedBody {
    pub(super) fn new(body: ResponseBody, open: OpenRequest) -> TrackedBody {
        TrackedBody { body, _open: open }
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

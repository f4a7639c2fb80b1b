//! The body of a request, and the copies of it that its attempts send.

use super::upload::{Upload, UploadError};
use crate::write_guard::WriteGuard;
use http_body_util::Full;
use hyper::body::{Body, Bytes, Frame, SizeHint};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};

/// The body of a request, from which the body of each attempt is created.
#[derive(Clone, Debug)]
pub enum RequestBody {
    /// The complete body is in memory, so any number of attempts can send it.
    Buffered(Bytes),
    /// The body is streamed as it arrives, so only one attempt can send it.
    Upload(Rc<Upload>),
}

impl RequestBody {
    /// The upload, if the body is streamed.
    pub(crate) fn upload(&self) -> Option<&Rc<Upload>> {
        match self {
            RequestBody::Buffered(_) => None,
            RequestBody::Upload(upload) => Some(upload),
        }
    }
}

/// The body of one attempt. It notifies the attempt's write guard when the last byte has been
/// passed to hyper.
#[derive(Debug)]
pub(crate) struct AttemptBody {
    buffered: Full<Bytes>,
    upload: Option<Rc<Upload>>,
    write_guard: WriteGuard,
}

impl AttemptBody {
    /// Creates the body of the attempt with this write guard.
    pub(crate) fn new(request_body: &RequestBody, write_guard: &WriteGuard) -> AttemptBody {
        let (buffered, upload) = match request_body {
            RequestBody::Buffered(bytes) => (Full::new(bytes.clone()), None),
            RequestBody::Upload(upload) => (Full::default(), Some(upload.clone())),
        };
        let body = AttemptBody {
            buffered,
            upload,
            write_guard: write_guard.clone(),
        };
        body.notify_if_ended();
        body
    }

    fn notify_if_ended(&self) {
        if self.is_end_stream() {
            self.write_guard.set_last_byte_queued();
        }
    }
}

impl Body for AttemptBody {
    type Data = Bytes;
    type Error = UploadError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, UploadError>>> {
        let frame = match &self.upload {
            Some(upload) => {
                let data = ready!(upload.poll_consume(context));
                data.map(|data| data.map(Frame::data))
            }
            None => {
                ready!(Pin::new(&mut self.buffered).poll_frame(context)).map(|Ok(frame)| Ok(frame))
            }
        };
        self.notify_if_ended();
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        match &self.upload {
            Some(upload) => upload.is_read_to_end(),
            None => self.buffered.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.upload {
            Some(upload) => upload
                .length()
                .map_or_else(SizeHint::new, SizeHint::with_exact),
            None => self.buffered.size_hint(),
        }
    }
}

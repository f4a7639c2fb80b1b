//! Message bodies on their way through the proxy: a client's request body, its copy for each attempt, and an endpoint's
//! response body. Small bodies are buffered within one memory limit; larger ones are streamed.

mod attempt_body;
mod memory;
mod response_body;
mod transfer_timer;
mod upload;

pub use attempt_body::{AttemptBody, RequestBody};
pub use memory::{BodyMemory, BufferedBody, MAX_BUFFERED_BODY_BYTES};
pub use response_body::{ResponseBody, ResponseBodyError, StreamedResponse};
pub use upload::{Upload, UploadError};

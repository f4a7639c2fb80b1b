//! Message bodies that pass through the proxy: the request body of a client, its copy for each
//! attempt, and the response body of an endpoint. Small bodies are buffered within the account of
//! [`crate::memory`]; larger ones are streamed.

mod attempt_body;
mod response_body;
mod transfer_timer;
mod upload;

pub(crate) use attempt_body::{AttemptBody, RequestBody};
pub(crate) use response_body::{ResponseBody, ResponseBodyError, StreamedResponse};
pub(crate) use upload::{ClientWait, Upload, UploadError};

//! Answers to callers.

use crate::{
    refusal::{self, Execution, Refusal},
    relay::RelayBody,
};
use bytes::Bytes;
use carobwheel_core::id::RequestId;
use rocket::{
    http::{Header, Status},
    Response,
};
use std::io::Cursor;

const MS_PER_S: u64 = 1_000;
/// Maximum size of the chunks in which a relayed body is read, in bytes.
const MAX_CHUNK_BYTES: usize = 16 * 1_024;

/// Body of an answer.
pub(super) enum AnswerBody {
    /// A complete body in memory.
    Buffered(Bytes),
    /// A stream of server-sent events; its last event marks it as complete.
    Events(Box<RelayBody>),
    /// A body of this many bytes that is relayed as it arrives. From the length the caller can tell
    /// whether it is complete.
    Sized(Box<RelayBody>, u64),
}

/// An answer to a caller.
pub(super) struct Answer {
    pub(super) status: u16,
    pub(super) headers: Vec<(&'static str, String)>,
    pub(super) run: Execution,
    pub(super) body: AnswerBody,
}

impl Answer {
    /// Creates an answer with a complete body and no headers.
    pub(super) fn buffered(status: u16, run: Execution, body: Bytes) -> Self {
        Self {
            status,
            headers: Vec::new(),
            run,
            body: AnswerBody::Buffered(body),
        }
    }

    /// Creates a JSON answer that the gateway itself produces.
    pub(super) fn json(status: u16, run: Execution, body: &serde_json::Value) -> Self {
        Self {
            status,
            headers: vec![("content-type", "application/json".to_owned())],
            run,
            body: AnswerBody::Buffered(body.to_string().into()),
        }
    }

    /// Creates the answer for a refusal, in the error format of the OpenAI API.
    pub(super) fn refusal(refusal: &Refusal) -> Self {
        let body = serde_json::json!({
            "error": {
                "message": refusal.message,
                "type": refusal.cause.error_type(),
                "param": null,
                "code": refusal.cause.code(),
            }
        });
        let mut answer = Self::json(refusal.cause.status(), refusal.run, &body);
        if let Some(retry_after_ms) = refusal.retry_after_ms {
            let retry_after_s = retry_after_ms.div_ceil(MS_PER_S).max(1);
            answer
                .headers
                .push(("retry-after", retry_after_s.to_string()));
        }
        answer
    }

    /// Converts the answer into a Rocket response.
    pub(super) fn into_response<'r>(self, request_id: &RequestId, close: bool) -> Response<'r> {
        let mut response = Response::build();
        response.status(Status::new(self.status));
        for (name, value) in self.headers {
            response.header_adjoin(Header::new(name, value));
        }
        response.raw_header("x-request-id", request_id.to_string());
        response.raw_header("carobwheel-run", refusal::execution_header_value(self.run));
        if close {
            response.raw_header("connection", "close");
        }
        match self.body {
            AnswerBody::Buffered(bytes) => {
                response.sized_body(bytes.len(), Cursor::new(bytes));
            }
            AnswerBody::Sized(body, length_bytes) => {
                response.raw_header("content-length", length_bytes.to_string());
                response.max_chunk_size(MAX_CHUNK_BYTES);
                response.streamed_body(*body);
            }
            AnswerBody::Events(body) => {
                response.max_chunk_size(MAX_CHUNK_BYTES);
                response.streamed_body(*body);
            }
        }
        response.finalize()
    }
}

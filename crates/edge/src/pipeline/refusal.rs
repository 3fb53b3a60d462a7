//! Answers of the gateway itself.

use super::Answer;
use crate::relay::AnswerBody;
use hyper::{header, HeaderMap, Response, StatusCode};
use serde::Serialize;

/// Why the gateway answers a request itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Status.
    pub status: StatusCode,
    /// Reason in a few words.
    pub reason: &'static str,
    /// Time after which the caller may come back, in milliseconds.
    pub retry_after_ms: Option<u64>,
}

#[derive(Serialize)]
struct Body {
    error: &'static str,
}

impl Refusal {
    /// A refusal that coming back does not help.
    pub const fn new(status: StatusCode, reason: &'static str) -> Self {
        Self {
            status,
            reason,
            retry_after_ms: None,
        }
    }

    /// The request has not run and never will; the caller may come back after `retry_after_ms`.
    pub const fn not_run(reason: &'static str, retry_after_ms: u64) -> Self {
        Self {
            status: StatusCode::SERVICE_UNAVAILABLE,
            reason,
            retry_after_ms: Some(retry_after_ms),
        }
    }

    /// The request may have run.
    pub const fn may_have_run(reason: &'static str) -> Self {
        Self::new(StatusCode::BAD_GATEWAY, reason)
    }

    /// The time ran out; the request may have run.
    pub const fn timed_out(reason: &'static str) -> Self {
        Self::new(StatusCode::GATEWAY_TIMEOUT, reason)
    }

    /// Whether it promises that the request has not run.
    pub fn is_not_run(&self) -> bool {
        matches!(
            self.status,
            StatusCode::SERVICE_UNAVAILABLE
                | StatusCode::TOO_MANY_REQUESTS
                | StatusCode::REQUEST_TIMEOUT
                | StatusCode::MISDIRECTED_REQUEST
        )
    }

    /// The answer to the caller.
    pub fn into_answer(self) -> Answer {
        let body = serde_json::to_vec(&Body { error: self.reason }).unwrap_or_default();
        let mut response = Response::new(AnswerBody::whole(body));
        *response.status_mut() = self.status;
        set_headers(response.headers_mut(), self.retry_after_ms);
        response
    }
}

fn set_headers(headers: &mut HeaderMap, retry_after_ms: Option<u64>) {
    headers.insert(
        header::CONTENT_TYPE,
        header::HeaderValue::from_static("application/json"),
    );
    let Some(retry_after_ms) = retry_after_ms else {
        return;
    };
    let seconds = format!("{}.{:03}", retry_after_ms / 1_000, retry_after_ms % 1_000);
    if let Ok(value) = header::HeaderValue::from_str(&seconds) {
        headers.insert(header::RETRY_AFTER, value);
    }
}

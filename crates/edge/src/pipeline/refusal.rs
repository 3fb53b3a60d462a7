//! Error responses that the gateway itself generates.

use super::Answer;
use crate::relay::AnswerBody;
use hyper::{header, HeaderMap, Response, StatusCode};
use serde::Serialize;

/// `Retry-After` while this instance is stopping, in milliseconds.
const STOPPING_RETRY_AFTER_MS: u64 = 50;
/// Shortest `Retry-After` of requests that find too little memory, in milliseconds.
const MEMORY_RETRY_AFTER_MS: u64 = 500;
/// Range of the random addition to it, in milliseconds, so that callers do not all retry at once.
const MEMORY_RETRY_SPREAD_MS: u64 = 1_000;
/// `Retry-After` of requests that arrive before the first configuration, in milliseconds.
pub(super) const NO_CONFIG_RETRY_AFTER_MS: u64 = 500;
/// Upper bound of the `Retry-After` of requests over the account's limit, in milliseconds.
const MAX_LIMIT_RETRY_AFTER_MS: u64 = 4_000;

/// Rejection of a request by the gateway.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// HTTP status.
    pub status: StatusCode,
    /// Short reason; the `error` of the JSON body and the `outcome` label of the request counter.
    pub reason: &'static str,
    /// Delay after which the caller may retry, in milliseconds.
    pub retry_after_ms: Option<u64>,
}

/// JSON body of a refusal.
#[derive(Serialize)]
struct Body {
    error: &'static str,
}

impl Refusal {
    /// A refusal without a `Retry-After`, since a retry would fail as well.
    pub const fn new(status: StatusCode, reason: &'static str) -> Self {
        Self {
            status,
            reason,
            retry_after_ms: None,
        }
    }

    /// A 503 for a request that has not run and will not run; the caller may retry after
    /// `retry_after_ms`.
    pub const fn not_run(reason: &'static str, retry_after_ms: u64) -> Self {
        Self {
            status: StatusCode::SERVICE_UNAVAILABLE,
            reason,
            retry_after_ms: Some(retry_after_ms),
        }
    }

    /// A 502 for a request that may have run.
    pub const fn may_have_run(reason: &'static str) -> Self {
        Self::new(StatusCode::BAD_GATEWAY, reason)
    }

    /// A 503 for a request that comes too late while the instance is stopping. Another instance can
    /// take it at once.
    pub const fn stopping() -> Self {
        Self::not_run("the instance is stopping", STOPPING_RETRY_AFTER_MS)
    }

    /// A 503 for a request whose body, head or copy finds too little memory.
    pub fn out_of_memory() -> Self {
        let spread_ms = rand::random_range(0..MEMORY_RETRY_SPREAD_MS);
        let retry_after_ms = MEMORY_RETRY_AFTER_MS + spread_ms;
        Self::not_run("the instance has too little memory", retry_after_ms)
    }

    /// A 503 for a request that arrives before the first configuration.
    pub const fn no_config() -> Self {
        Self::not_run("no configuration is known yet", NO_CONFIG_RETRY_AFTER_MS)
    }

    /// A 429 for a request over its account's limit, which allows it in `wait_ms` milliseconds.
    pub fn over_limit(wait_ms: u64) -> Self {
        Self {
            status: StatusCode::TOO_MANY_REQUESTS,
            reason: "over the account's limit",
            retry_after_ms: Some(wait_ms.clamp(100, MAX_LIMIT_RETRY_AFTER_MS)),
        }
    }

    /// A 502 for a request without a response at the end of the grace period of a stop.
    pub const fn grace_ended() -> Self {
        Self::may_have_run("the grace period of the stop has ended")
    }

    /// A 504 for a request whose deadline has passed and that may have run.
    pub const fn timed_out(reason: &'static str) -> Self {
        Self::new(StatusCode::GATEWAY_TIMEOUT, reason)
    }

    /// Whether the status guarantees that the request has not run.
    pub fn is_not_run(&self) -> bool {
        matches!(
            self.status,
            StatusCode::SERVICE_UNAVAILABLE
                | StatusCode::TOO_MANY_REQUESTS
                | StatusCode::REQUEST_TIMEOUT
                | StatusCode::MISDIRECTED_REQUEST
        )
    }

    /// Converts the refusal to a response with a JSON body.
    pub fn into_answer(self) -> Answer {
        let body = serde_json::to_vec(&Body { error: self.reason }).unwrap_or_default();
        let mut response = Response::new(AnswerBody::whole(body));
        *response.status_mut() = self.status;
        set_headers(response.headers_mut(), self.retry_after_ms);
        response
    }
}

/// Sets `Content-Type` and `Retry-After`, which has a resolution of 1 ms.
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

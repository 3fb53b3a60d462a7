//! Typed refusals, each stating whether the request ran.

pub use carobwheel_core::once::Execution;

use std::fmt;

/// Returns the value of the `carobwheel-run` header.
pub fn execution_header_value(run: Execution) -> &'static str {
    match run {
        Execution::NotRun => "not-run",
        Execution::MayHaveRun => "may-have-run",
        Execution::Ran => "ran",
    }
}

/// Returns whether a request ran, by the status of the upstream's answer. An upstream that answers
/// with a server error may have failed before or after it ran the request.
pub fn execution_of_status(status: u16) -> Execution {
    match status {
        500.. => Execution::MayHaveRun,
        _ => Execution::Ran,
    }
}

/// Cause of a refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Cause {
    /// The request is malformed.
    InvalidRequest,
    /// The key is missing or unknown, or has been withdrawn.
    InvalidKey,
    /// The request has to be served in another region, which cannot be reached.
    WrongRegion,
    /// The model or path does not exist.
    NotFound,
    /// The path does not allow the method.
    MethodNotAllowed,
    /// The body did not arrive in time.
    BodyTimeout,
    /// Another request with the same idempotency key has not ended.
    InProgress,
    /// A body without `content-length` on a route whose actions must run at most once.
    LengthRequired,
    /// The body, the prompt or the requested output is too long.
    TooLarge,
    /// The idempotency key was used with a different request.
    KeyReused,
    /// The account has exceeded its rate limit.
    RateLimited,
    /// The instance or its upstreams have no capacity before the deadline.
    Overloaded,
    /// No upstream can currently serve the request.
    NoUpstream,
    /// Engines have crashed on requests with a part of the prompt.
    PromptHeld,
    /// Services have crashed on the request.
    RequestHeld,
    /// The instance has no configuration document yet, or is stopping.
    NotReady,
    /// The action needs the store, which does not answer.
    StoreUnavailable,
    /// The upstream failed or its answer was incomplete.
    UpstreamFailed,
    /// The upstream did not answer in time.
    UpstreamTimeout,
}

impl Cause {
    /// Returns the HTTP status of the refusal.
    pub fn status(self) -> u16 {
        match self {
            Self::InvalidRequest => 400,
            Self::InvalidKey => 401,
            Self::NotFound => 404,
            Self::MethodNotAllowed => 405,
            Self::BodyTimeout => 408,
            Self::InProgress => 409,
            Self::LengthRequired => 411,
            Self::TooLarge => 413,
            Self::WrongRegion => 421,
            Self::KeyReused => 422,
            Self::RateLimited => 429,
            Self::UpstreamFailed => 502,
            Self::Overloaded
            | Self::NoUpstream
            | Self::PromptHeld
            | Self::RequestHeld
            | Self::NotReady
            | Self::StoreUnavailable => 503,
            Self::UpstreamTimeout => 504,
        }
    }

    /// Returns the machine-readable code for the error body and metrics.
    pub fn code(self) -> &'static str {
        match self {
            Self::InvalidRequest => "invalid_request",
            Self::InvalidKey => "invalid_api_key",
            Self::WrongRegion => "wrong_region",
            Self::NotFound => "not_found",
            Self::MethodNotAllowed => "method_not_allowed",
            Self::BodyTimeout => "body_timeout",
            Self::InProgress => "in_progress",
            Self::LengthRequired => "length_required",
            Self::TooLarge => "too_large",
            Self::KeyReused => "idempotency_key_reused",
            Self::RateLimited => "rate_limit_exceeded",
            Self::Overloaded => "overloaded",
            Self::NoUpstream => "no_upstream",
            Self::PromptHeld => "prompt_held",
            Self::RequestHeld => "request_held",
            Self::NotReady => "not_ready",
            Self::StoreUnavailable => "store_unavailable",
            Self::UpstreamFailed => "upstream_failed",
            Self::UpstreamTimeout => "upstream_timeout",
        }
    }

    /// Returns the error type of the OpenAI API.
    pub fn error_type(self) -> &'static str {
        match self.status() {
            401 => "authentication_error",
            429 => "rate_limit_error",
            400..=499 => "invalid_request_error",
            _ => "server_error",
        }
    }
}

/// Refusal of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Cause of the refusal.
    pub cause: Cause,
    /// Whether the request ran.
    pub run: Execution,
    /// Explanation for the caller.
    pub message: String,
    /// Delay after which the caller should retry, in milliseconds.
    pub retry_after_ms: Option<u64>,
}

impl Refusal {
    /// Creates a refusal of a request that did not run.
    pub fn not_run(cause: Cause, message: impl Into<String>) -> Self {
        Self {
            cause,
            run: Execution::NotRun,
            message: message.into(),
            retry_after_ms: None,
        }
    }

    /// Creates a refusal of a request that may have run.
    pub fn may_have_run(cause: Cause, message: impl Into<String>) -> Self {
        Self {
            run: Execution::MayHaveRun,
            ..Self::not_run(cause, message)
        }
    }

    /// Sets the delay after which the caller should retry.
    #[must_use]
    pub fn retry_after(self, retry_after_ms: u64) -> Self {
        Self {
            retry_after_ms: Some(retry_after_ms),
            ..self
        }
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} ({}): {}",
            self.cause.code(),
            execution_header_value(self.run),
            self.message
        )
    }
}

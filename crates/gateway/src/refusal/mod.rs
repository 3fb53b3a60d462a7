//! Typed refusals and what each says about the request having run.

pub use carobwheel_core::once::Execution;

use std::fmt;

/// The value of the `carobwheel-run` header.
pub fn execution_header_value(run: Execution) -> &'static str {
    match run {
        Execution::NotRun => "not-run",
        Execution::MayHaveRun => "may-have-run",
        Execution::Ran => "ran",
    }
}

/// What the status of an upstream's answer says about the request having run. An upstream that
/// fails may have failed before or after it ran the request.
pub fn execution_of_status(status: u16) -> Execution {
    match status {
        500.. => Execution::MayHaveRun,
        _ => Execution::Ran,
    }
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Cause {
    /// The request cannot be read.
    InvalidRequest,
    /// The key is missing or unknown, or has been withdrawn.
    InvalidKey,
    /// The request has to be served in another region that cannot be reached.
    WrongRegion,
    /// No route, model or path of that name.
    NotFound,
    /// The route does not take this method.
    MethodNotAllowed,
    /// The body did not arrive in time.
    BodyTimeout,
    /// The idempotency key is in use by a request that has not ended.
    InProgress,
    /// A body without a length on a route whose actions may not be repeated.
    LengthRequired,
    /// The body, the prompt or the requested output is too long.
    TooLarge,
    /// The idempotency key stands with another body.
    KeyReused,
    /// The account has used up its rate.
    RateLimited,
    /// The instance or the upstreams have no room before the deadline.
    Overloaded,
    /// No upstream can serve the request now.
    NoUpstream,
    /// The instance has no configuration document yet, or is stopping.
    NotReady,
    /// The store does not answer and the action needs it.
    StoreUnavailable,
    /// The upstream failed or its answer was incomplete.
    UpstreamFailed,
    /// The upstream did not answer in time.
    UpstreamTimeout,
}

impl Cause {
    /// HTTP status of the refusal.
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
            Self::Overloaded | Self::NoUpstream | Self::NotReady | Self::StoreUnavailable => 503,
            Self::UpstreamTimeout => 504,
        }
    }

    /// Machine-readable code in the error body and in metrics.
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
            Self::NotReady => "not_ready",
            Self::StoreUnavailable => "store_unavailable",
            Self::UpstreamFailed => "upstream_failed",
            Self::UpstreamTimeout => "upstream_timeout",
        }
    }

    /// Error type in the shape of the OpenAI API.
    pub fn error_type(self) -> &'static str {
        match self.status() {
            401 => "authentication_error",
            429 => "rate_limit_error",
            400..=499 => "invalid_request_error",
            _ => "server_error",
        }
    }
}

/// A refusal as a value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why the request was refused.
    pub cause: Cause,
    /// Whether the request ran.
    pub run: Execution,
    /// Explanation for the caller.
    pub message: String,
    /// Time after which another try makes sense, in milliseconds.
    pub retry_after_ms: Option<u64>,
}

impl Refusal {
    /// A refusal of a request that did not run.
    pub fn not_run(cause: Cause, message: impl Into<String>) -> Self {
        Self {
            cause,
            run: Execution::NotRun,
            message: message.into(),
            retry_after_ms: None,
        }
    }

    /// A refusal of a request that may have run.
    pub fn may_have_run(cause: Cause, message: impl Into<String>) -> Self {
        Self {
            run: Execution::MayHaveRun,
            ..Self::not_run(cause, message)
        }
    }

    /// The same refusal, naming the time after which another try makes sense.
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

//! Names of the headers that callers, upstreams and the gateway exchange.
//!
//! The gateway does not fix them: the adapter of a deployment says what each is called there.

use hyper::header::HeaderName;

/// Header names of one deployment.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Identifier of one attempt of a caller; upstreams repeat it in their answers.
    pub request_id: HeaderName,
    /// Milliseconds that are left for the request.
    pub time_left_ms: HeaderName,
    /// The caller's key. Never reaches an upstream.
    pub key: HeaderName,
    /// Name of the account that the key belongs to; set by the gateway.
    pub account: HeaderName,
    /// Identifier of the one upstream that may run the request; set by the gateway.
    pub only_upstream: HeaderName,
    /// Present on answers of upstreams that have not run the request.
    pub not_run: HeaderName,
    /// The upstream's proof that an answer is its own.
    pub seal: HeaderName,
    /// Prompt tokens and most output tokens, with a comma between.
    pub token_use: HeaderName,
    /// Parts of the prompt, as `ID:TOKENS` entries with commas between.
    pub prompt_parts: HeaderName,
    /// Milliseconds for which the answering upstream stays cold.
    pub cold_ms: HeaderName,
    /// Urgency for the upstream, from 0 (first) to 9; set by the gateway.
    pub urgency: HeaderName,
    /// Identifier of the last event that a caller has of a stream.
    pub last_event_id: HeaderName,
    /// Headers that only the gateway may set; a caller's are dropped.
    pub gateway_only: Vec<HeaderName>,
}

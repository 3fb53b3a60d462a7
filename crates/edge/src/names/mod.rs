//! Names of the HTTP headers exchanged with callers and upstreams.
//!
//! They are not fixed by the gateway but provided by the adapter of a deployment.

use hyper::header::HeaderName;

/// Header names of one deployment.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Identifier of one attempt of a caller; upstreams echo it in their responses.
    pub request_id: HeaderName,
    /// Remaining time for the request, in milliseconds.
    pub time_left_ms: HeaderName,
    /// API key of the caller; never sent to an upstream.
    pub key: HeaderName,
    /// Name of the account to which the key belongs; set by the gateway.
    pub account: HeaderName,
    /// Identifier of the one upstream that may run the request; set by the gateway.
    pub only_upstream: HeaderName,
    /// Present on responses of upstreams that did not run the request.
    pub not_run: HeaderName,
    /// Proof by the upstream that it produced the response.
    pub seal: HeaderName,
    /// Prompt tokens and maximum output tokens, separated by a comma.
    pub token_use: HeaderName,
    /// Parts of the prompt, as a comma-separated list of `ID:TOKENS` entries.
    pub prompt_parts: HeaderName,
    /// Remaining time for which the responding upstream is cold, in milliseconds.
    pub cold_ms: HeaderName,
    /// Identifier of the upstream that answers a health check.
    pub upstream_id: HeaderName,
    /// Requests a second that the responding upstream takes from all instances together.
    pub rate_limit: HeaderName,
    /// Rejections a second for want of room that the responding upstream endures from all instances
    /// together; present while it is brittle.
    pub brittle: HeaderName,
    /// `1` on responses of an upstream that is about to stop and takes no new requests.
    pub leaving: HeaderName,
    /// Priority at the upstream, from 0 (highest) to 9; set by the gateway.
    pub urgency: HeaderName,
    /// Identifier of the last event of a stream that the caller received.
    pub last_event_id: HeaderName,
    /// Headers that only the gateway may set; they are removed from callers' requests.
    pub gateway_only: Vec<HeaderName>,
}

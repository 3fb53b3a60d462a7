//! Context of a request that has been identified and admitted.

use super::identify::{header_text, job};
use crate::{crash::Fingerprint, model::RouteKind, node::Node, place::InferenceJob};
use bytes::Bytes;
use carobwheel_core::time::Millis;
use hyper::{http::request::Parts, HeaderMap, Method, Uri};
use serde::{Deserialize, Serialize};
use std::{rc::Rc, sync::Arc};

/// Lower bound of the first-byte limit of a stream, in milliseconds. Callers abandon a stream after
/// a pause of at least this length.
const MIN_FIRST_BYTE_LIMIT_MS: u64 = 2_000;

/// Remaining time that forwarding needs, in milliseconds: the round trip to another region and the
/// processing there.
const MIN_FORWARD_MS: u64 = 220;

/// Request together with everything that was derived from it.
#[derive(Clone, Debug)]
pub struct RequestContext {
    /// Metadata that is also sent to the other instance when the request is forwarded.
    pub meta: RequestMeta,
    /// HTTP method.
    pub method: Method,
    /// Path and query exactly as the caller sent them.
    pub uri: Uri,
    /// Headers to send to the upstream.
    pub headers: HeaderMap,
    /// Request body.
    pub body: Bytes,
    /// Prompt size and cacheable parts of the prompt.
    pub job: InferenceJob,
    /// Identity of the request that does not depend on its id.
    pub fingerprint: Rc<Fingerprint>,
    /// Time at which this instance received the request.
    pub started_at: Millis,
    /// Time by which the response has to be complete.
    pub deadline: Millis,
    /// Id of the last event that the caller has received.
    pub last_event: Option<u64>,
}

/// Metadata that accompanies a forwarded request; encoded as JSON in the `cw-ticket` header.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RequestMeta {
    /// Request id that the caller assigned to this attempt.
    pub request: String,
    /// Name of the route.
    pub route: Arc<str>,
    /// Name of the service.
    pub service: Arc<str>,
    /// Route kind, which determines whether the request may be repeated.
    pub kind: RouteKind,
    /// Target for the time to the first byte, in milliseconds.
    pub aim_ms: u64,
    /// Target for the longest pause between events, in milliseconds.
    pub pause_aim_ms: u64,
    /// Maximum number of upstreams on which the request may run.
    pub max_attempts: u32,
    /// Account name; empty on routes that need no key.
    pub account: Arc<str>,
    /// Whether the request gives way to requests of a higher rank at the same upstreams.
    pub is_yielding: bool,
    /// Priority that is sent to the upstream, from 0 (highest) to 9.
    pub urgency: u8,
    /// Random number in `[0, 1)` that decides whether the request goes to the version on trial.
    pub draw: f64,
    /// Time until the deadline, in milliseconds.
    pub left_ms: u64,
    /// Version of the configuration by which the request was identified.
    pub config: u64,
    /// Region of the instance that has forwarded the request; empty if it has not been forwarded, or
    /// if that instance's build does not tell.
    #[serde(default)]
    pub origin: Arc<str>,
}

impl RequestContext {
    /// Context of a request that another instance has identified, admitted and forwarded.
    pub fn forwarded(
        node: &Node,
        meta: RequestMeta,
        head: Parts,
        body: Bytes,
        started_at: Millis,
    ) -> Self {
        let last_event = header_text(&head.headers, &node.names.last_event_id);
        let fingerprint = Fingerprint::new(&meta, &head.method, &head.uri, &body);
        Self {
            fingerprint: Rc::new(fingerprint),
            method: head.method,
            uri: head.uri,
            job: job(&node.names, &head.headers, meta.is_yielding),
            last_event: last_event.and_then(|text| text.trim().parse().ok()),
            headers: head.headers,
            body,
            started_at,
            deadline: started_at.plus(meta.left_ms),
            meta,
        }
    }

    /// Time until the deadline, in milliseconds.
    pub fn left_ms(&self, node: &Node) -> u64 {
        self.deadline.since(node.now())
    }

    /// Whether the remaining time suffices to forward the request to another region.
    pub fn has_time_to_forward(&self, node: &Node) -> bool {
        self.left_ms(node) > MIN_FORWARD_MS
    }

    /// Longest useful time to the first byte since the start of the request, in milliseconds.
    pub fn max_first_byte_ms(&self) -> u64 {
        let total_ms = self.deadline.since(self.started_at);
        if !self.meta.kind.is_stream() {
            return total_ms;
        }
        let gap_ms = MIN_FIRST_BYTE_LIMIT_MS
            .max(4 * self.meta.aim_ms)
            .max(8 * self.meta.pause_aim_ms);
        total_ms.min(gap_ms)
    }
}

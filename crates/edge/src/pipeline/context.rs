//! A request after it was identified and admitted.

use super::identify::{header_text, job};
use crate::{model::RouteKind, node::Node, place::Job};
use bytes::Bytes;
use carobwheel_core::time::Millis;
use hyper::{http::request::Parts, HeaderMap, Method, Uri};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Pause between events after which a caller gives a stream up, at least, in milliseconds.
const MIN_FIRST_BYTE_LIMIT_MS: u64 = 2_000;

/// Time for a way to another region and back, with the work there, in milliseconds.
const MIN_FORWARD_MS: u64 = 220;

/// One request.
#[derive(Clone, Debug)]
pub struct RequestContext {
    /// What also goes along to another instance.
    pub meta: RequestMeta,
    /// Method.
    pub method: Method,
    /// Path and query as the caller sent them.
    pub uri: Uri,
    /// Headers for the upstream.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Prompt.
    pub job: Job,
    /// When the request was read.
    pub started_at: Millis,
    /// When the time for it ends.
    pub deadline: Millis,
    /// Number of the last event that the caller has.
    pub last_event: Option<u64>,
}

/// What another instance has to know of a request besides the request itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RequestMeta {
    /// The caller's identifier of its attempt.
    pub request: String,
    /// Route.
    pub route: Arc<str>,
    /// Service.
    pub service: Arc<str>,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Time to the first byte that is aimed at, in milliseconds.
    pub aim_ms: u64,
    /// Longest pause between events that is aimed at, in milliseconds.
    pub pause_aim_ms: u64,
    /// Most upstreams on which it may run.
    pub max_attempts: u32,
    /// Account, empty on open routes.
    pub account: Arc<str>,
    /// It yields to requests of a higher rank at the same upstreams.
    pub is_yielding: bool,
    /// Urgency for the upstream.
    pub urgency: u8,
    /// Draw from 0 up to 1 that decides about versions.
    pub draw: f64,
    /// Time that is left, in milliseconds.
    pub left_ms: u64,
    /// Version of the configuration that it was identified by.
    pub config: u64,
}

impl RequestContext {
    /// A request that another instance has identified and admitted.
    pub fn forwarded(
        node: &Node,
        meta: RequestMeta,
        head: Parts,
        body: Bytes,
        started_at: Millis,
    ) -> Self {
        let last_event = header_text(&head.headers, &node.names.last_event_id);
        Self {
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

    /// Time that is left, in milliseconds.
    pub fn left_ms(&self, node: &Node) -> u64 {
        self.deadline.since(node.now())
    }

    /// Whether the time that is left allows a way to another region and back.
    pub fn has_time_to_forward(&self, node: &Node) -> bool {
        self.left_ms(node) > MIN_FORWARD_MS
    }

    /// Longest time to the first byte that can still be of use, counted from the start, in
    /// milliseconds.
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

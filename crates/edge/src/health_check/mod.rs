//! Health checks of upstreams whose entries this instance cannot follow, or that may have restarted.
//!
//! An upstream may become cold at any moment and says so in its entry. An instance that hears of no
//! entries, neither from the store nor from others, asks the upstreams themselves.

mod reach;

pub use reach::{probe_reach, ProbeReason, ReachProbe};

use crate::{
    dispatch::{send, Target},
    node::Node,
    upstream::UpstreamEntry,
};
use bytes::Bytes;
use carobwheel_core::reach::ContactFailure;
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::{header::HOST, HeaderMap, Request};
use std::{rc::Rc, sync::Arc, time::Duration};
use tokio::time::timeout;

/// Timeout for the response to a health check.
const CHECK_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum idle time of a connection that is used for a check, in milliseconds.
const MAX_IDLE_MS: u64 = 4_000;
/// Maximum size of the body of a response, in bytes.
const MAX_BODY_BYTES: usize = 4 * 1024;

/// Stands for the request's id in log lines about health responses.
const HEALTH_CHECK: &str = "health check";

/// A health check that is due.
#[derive(Clone, Debug)]
pub struct HealthCheck {
    /// Upstream to ask.
    pub target: Target,
    /// Path of the check.
    pub path: Arc<str>,
}

impl HealthCheck {
    /// Check of the upstream with this entry.
    pub fn new(entry: &UpstreamEntry, path: &Arc<str>) -> Self {
        Self {
            target: Target {
                id: Arc::clone(&entry.id),
                address: entry.address,
                started_unix_ms: entry.started_unix_ms,
                max_idle_ms: MAX_IDLE_MS,
                connect_timeout: CHECK_TIMEOUT,
                watched_service: None,
            },
            path: Arc::clone(path),
        }
    }
}

/// What a health response says about the time for which the upstream stays cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Warmth {
    /// It is warm.
    Warm,
    /// It stays cold for this many milliseconds.
    Cold(u64),
    /// There was no response.
    NoAnswer,
    /// The response is of another upstream or cannot be read.
    Unknown,
}

/// Runs the checks of upstreams that may have restarted, as soon as they are due.
pub async fn run_restart_checks(node: Rc<Node>) {
    loop {
        tokio::select! {
            () = node.restart_suspected.notified() => {}
            () = node.pools.connection_ended() => node.note_idle_ends(),
        }
        start_restart_checks(&node);
    }
}

/// Starts the checks that are due of upstreams that may have restarted.
pub fn start_restart_checks(node: &Rc<Node>) {
    for check in node.due_restart_checks() {
        tokio::task::spawn_local(run(Rc::clone(node), check));
    }
}

/// Runs a check and records its result.
pub async fn run(node: Rc<Node>, check: HealthCheck) {
    let (id, begun_at) = (&check.target.id, node.now());
    let warmth = match timeout(CHECK_TIMEOUT, ask(&node, &check)).await {
        Ok(warmth) => {
            if warmth == Warmth::NoAnswer {
                node.note_contact_failed(id, ContactFailure::NoConnection, begun_at);
            }
            warmth
        }
        Err(_) => {
            node.note_contact_failed(id, ContactFailure::Silence, begun_at);
            Warmth::NoAnswer
        }
    };
    node.note_health_check(&check.target, warmth);
}

async fn ask(node: &Node, check: &HealthCheck) -> Warmth {
    let request = Request::get(&*check.path)
        .header(HOST, check.target.address.to_string())
        .body(Full::new(Bytes::new()));
    let Ok(request) = request else {
        return Warmth::Unknown;
    };
    // A check that fails leaves the upstream unconfirmed, which is logged there.
    let Ok(reply) = send(node, &check.target, request).await else {
        return Warmth::NoAnswer;
    };
    let headers = reply.head().headers();
    if is_from(node, &check.target.id, headers) {
        node.note_leaving(&check.target, HEALTH_CHECK, headers);
    }
    let warmth = read_warmth(node, &check.target.id, headers);
    let (response, checkout) = reply.split();
    let body = Limited::new(response.into_body(), MAX_BODY_BYTES);
    if body.collect().await.is_ok() {
        checkout.check_in(node);
    }
    warmth
}

/// Whether the upstream `id` has sent a health response.
fn is_from(node: &Node, id: &str, headers: &HeaderMap) -> bool {
    let stated = headers.get(&node.names.upstream_id);
    stated.is_some_and(|stated| stated.as_bytes() == id.as_bytes())
}

/// Reads what the head of a health response says, if the upstream `id` has sent it.
fn read_warmth(node: &Node, id: &str, headers: &HeaderMap) -> Warmth {
    if !is_from(node, id, headers) {
        return Warmth::Unknown;
    }
    let cold_ms = headers.get(&node.names.cold_ms);
    let cold_ms = cold_ms.and_then(|value| value.to_str().ok());
    match cold_ms.map(str::parse::<u64>) {
        None | Some(Ok(0)) => Warmth::Warm,
        Some(Ok(left_ms)) => Warmth::Cold(left_ms),
        Some(Err(_)) => Warmth::Unknown,
    }
}

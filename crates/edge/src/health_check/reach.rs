//! Probes that tell whether an upstream can be reached.

use super::{is_from, read_warmth, Warmth, MAX_BODY_BYTES};
use crate::{
    dispatch::{is_accepting, send, SendError, Target},
    node::Node,
    upstream::UpstreamEntry,
};
use bytes::Bytes;
use carobwheel_core::{
    reach::{ContactFailure, Sign},
    time::Millis,
};
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::{header::HOST, Request};
use std::{pin::pin, rc::Rc, sync::Arc, time::Duration};
use tokio::time::timeout;

/// Timeout for the connection of a probe.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time after which a probe counts as unanswered.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(350);
/// Further time for which an answer is awaited, since a busy upstream lets health checks wait.
const LATE_ANSWER_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Why an upstream is probed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeReason {
    /// No upstream of its service may be in reach.
    Service,
    /// It was ejected for want of a connection. A further failure is no news.
    Ejected,
}

/// A probe that is due.
#[derive(Clone, Debug)]
pub struct ReachProbe {
    target: Target,
    /// Path of the upstream's health checks; without one only a connection is opened.
    path: Option<Arc<str>>,
    reason: ProbeReason,
}

impl ReachProbe {
    /// Probe of the upstream with this entry, on a new connection.
    pub fn new(entry: &UpstreamEntry, path: Option<Arc<str>>, reason: ProbeReason) -> Self {
        Self {
            target: Target {
                id: Arc::clone(&entry.id),
                address: entry.address,
                started_unix_ms: entry.started_unix_ms,
                max_idle_ms: 0,
                connect_timeout: CONNECT_TIMEOUT,
                watched_service: None,
            },
            path,
            reason,
        }
    }
}

/// Runs a probe and records its result.
pub async fn probe_reach(node: Rc<Node>, probe: ReachProbe) {
    let id = &probe.target.id;
    let begun_at = node.now();
    let mut answer = pin!(contact(&node, &probe));
    let mut result = timeout(ANSWER_TIMEOUT, &mut answer).await;
    if result.is_err() {
        note_failure(&node, &probe, ContactFailure::Silence, begun_at);
        result = timeout(LATE_ANSWER_TIMEOUT, &mut answer).await;
    }
    if probe.reason == ProbeReason::Service {
        node.note_reach_probe_end(id);
    }
    match result {
        Ok(Ok(())) => node.note_heard(id, Sign::Probe),
        Ok(Err(_)) => note_failure(&node, &probe, ContactFailure::NoConnection, begun_at),
        // Its silence is recorded already.
        Err(_) => {}
    }
}

fn note_failure(node: &Node, probe: &ReachProbe, failure: ContactFailure, begun_at: Millis) {
    if probe.reason == ProbeReason::Service {
        node.note_contact_failed(&probe.target.id, failure, begun_at);
    }
}

/// Asks the upstream for its health, and records what it says of itself.
async fn contact(node: &Node, probe: &ReachProbe) -> Result<(), SendError> {
    let target = &probe.target;
    let Some(path) = &probe.path else {
        return is_accepting(target).await;
    };
    let request = Request::get(&**path)
        .header(HOST, target.address.to_string())
        .body(Full::new(Bytes::new()));
    let Ok(request) = request else {
        return is_accepting(target).await;
    };
    let reply = send(node, target, request).await?;
    let headers = reply.head().headers();
    if is_from(node, &target.id, headers) {
        node.note_leaving(target, "probe", headers);
    }
    if let Warmth::Cold(left_ms) = read_warmth(node, &target.id, headers) {
        node.note_cold(&target.id, left_ms);
    }
    let (response, checkout) = reply.split();
    tokio::task::spawn_local(async move {
        // The connection is closed unless the body is read; the head is what the probe is about.
        let body = Limited::new(response.into_body(), MAX_BODY_BYTES);
        drop(timeout(LATE_ANSWER_TIMEOUT, body.collect()).await);
        drop(checkout);
    });
    Ok(())
}

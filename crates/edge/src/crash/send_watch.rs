//! Guard for a request that waits for its first output.

use super::{evidence::engine_id, Fingerprint};
use crate::{node::Node, pipeline::RequestContext};
use carobwheel_core::crash::PartId;
use std::{rc::Rc, sync::Arc};

/// Request that waits for its first output at an upstream. Dropping it ends the wait without
/// evidence.
pub struct SendWatch {
    node: Rc<Node>,
    request: Arc<str>,
    upstream: Arc<str>,
    engine: u32,
    parts: Vec<PartId>,
    fingerprint: Rc<Fingerprint>,
    /// Whether the request is counted among those in flight by its fingerprint.
    is_counted: bool,
    is_waiting: bool,
}

impl SendWatch {
    /// Starts the wait of a request that is about to be sent to `upstream`.
    pub fn start(node: &Rc<Node>, ctx: &RequestContext, upstream: &Arc<str>) -> Self {
        let parts = ctx.job.shared_parts();
        let now = node.now();
        let mut state = node.state.borrow_mut();
        if !parts.is_empty() {
            state.crashes.sent(&parts, now);
        }
        let is_counted = !state.request_crashes.is_quiet();
        if is_counted {
            let fingerprint = ctx.fingerprint.value();
            state.request_crashes.sent(&[fingerprint], now);
        }
        let entry = state.upstreams.by_id.get(upstream).map(|up| &up.entry);
        let engine = engine_id(upstream, entry.and_then(|entry| entry.started_unix_ms));
        drop(state);
        Self {
            node: Rc::clone(node),
            request: ctx.meta.request.as_str().into(),
            upstream: Arc::clone(upstream),
            engine,
            parts,
            fingerprint: Rc::clone(&ctx.fingerprint),
            is_counted,
            is_waiting: true,
        }
    }

    /// Records the first output.
    pub fn answered(&mut self) {
        if self.end_wait() {
            self.node.note_first_output(&self.parts, &self.fingerprint);
        }
    }

    /// Records that the upstream's connection broke before the first output.
    pub fn connection_lost(&mut self) {
        if self.end_wait() {
            self.node.note_crash(
                &self.request,
                (&self.upstream, self.engine),
                &self.parts,
                self.fingerprint.value(),
            );
        }
    }

    /// Ends the wait. Returns false if it had ended before.
    fn end_wait(&mut self) -> bool {
        if !std::mem::take(&mut self.is_waiting) {
            return false;
        }
        let mut state = self.node.state.borrow_mut();
        state.crashes.send_ended(&self.parts);
        if self.is_counted {
            let fingerprint = self.fingerprint.value();
            state.request_crashes.send_ended(&[fingerprint]);
        }
        true
    }
}

impl Drop for SendWatch {
    fn drop(&mut self) {
        self.end_wait();
    }
}

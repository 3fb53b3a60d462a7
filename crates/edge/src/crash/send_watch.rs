//! Guard for a request that waits for its first output.

use super::evidence::engine_id;
use crate::{node::Node, place::InferenceJob};
use carobwheel_core::crash::PartId;
use std::{rc::Rc, sync::Arc};

/// Request that waits for its first output at an engine. Dropping it ends the wait without
/// evidence.
pub struct SendWatch {
    node: Rc<Node>,
    request: Arc<str>,
    upstream: Arc<str>,
    engine: u32,
    parts: Vec<PartId>,
    is_waiting: bool,
}

impl SendWatch {
    /// Starts the wait of a request that is about to be sent to `upstream`.
    pub fn start(node: &Rc<Node>, request: &str, upstream: &Arc<str>, job: &InferenceJob) -> Self {
        let parts = job.shared_parts();
        let now = node.now();
        let engine = {
            let mut state = node.state.borrow_mut();
            if !parts.is_empty() {
                state.crashes.sent(&parts, now);
            }
            let entry = state.upstreams.by_id.get(upstream).map(|up| &up.entry);
            engine_id(upstream, entry.and_then(|entry| entry.started_unix_ms))
        };
        Self {
            node: Rc::clone(node),
            request: request.into(),
            upstream: Arc::clone(upstream),
            engine,
            is_waiting: !parts.is_empty(),
            parts,
        }
    }

    /// Records the first output.
    pub fn answered(&mut self) {
        if self.end_wait() {
            self.node.note_first_output(&self.parts);
        }
    }

    /// Records that the engine's connection broke before the first output.
    pub fn connection_lost(&mut self) {
        if self.end_wait() {
            self.node
                .note_crash(&self.request, &self.upstream, self.engine, &self.parts);
        }
    }

    /// Ends the wait. Returns false if it had ended before.
    fn end_wait(&mut self) -> bool {
        if self.is_waiting {
            self.is_waiting = false;
            self.node.state.borrow_mut().crashes.send_ended(&self.parts);
            return true;
        }
        false
    }
}

impl Drop for SendWatch {
    fn drop(&mut self) {
        self.end_wait();
    }
}

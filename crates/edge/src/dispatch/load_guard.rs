//! Guard for the load that a request adds to an upstream.

use crate::{hash::short_hash, node::Node, upstream::Load};
use carobwheel_core::time::Millis;
use std::{rc::Rc, sync::Arc};

/// Smallest number of prompt tokens from which an upstream's prefill speed is measured.
const MIN_SPEED_SAMPLE_TOKENS: u32 = 1_000;

/// Load of one request on an upstream, which is subtracted when the guard is dropped.
pub struct LoadGuard {
    node: Rc<Node>,
    upstream: Arc<str>,
    remaining: Load,
    waiting_tokens: u32,
    sent_at: Millis,
    /// Hashes of the service and of the region that a forwarded request comes from.
    arrival: Option<(u32, u32)>,
}

impl LoadGuard {
    /// Guard for `load`, which the caller has added to the upstream. `waiting_tokens` is the number
    /// of prompt tokens that the upstream has to read until it has read this request's prompt.
    pub fn new(node: &Rc<Node>, upstream: &Arc<str>, load: Load, waiting_tokens: u32) -> Self {
        Self {
            node: Rc::clone(node),
            upstream: Arc::clone(upstream),
            remaining: load,
            waiting_tokens,
            sent_at: node.now(),
            arrival: None,
        }
    }

    /// Counts the request as one of the region `origin` until the guard is dropped.
    pub fn count_arrival(&mut self, service: &str, origin: &str) {
        let (service, origin) = (short_hash(service), short_hash(origin));
        let tokens = self.remaining.unread_tokens;
        let capacity = &mut self.node.state.borrow_mut().capacity;
        capacity.record_arrival(service, origin, tokens, self.sent_at);
        self.arrival = Some((service, origin));
    }

    /// Time at which the request was sent.
    pub fn sent_at(&self) -> Millis {
        self.sent_at
    }

    /// Subtracts the prompt from the load, and records the prefill speed if the sample is large
    /// enough.
    pub fn mark_prompt_read(&mut self) {
        if self.remaining.unread_tokens == 0 {
            return;
        }
        let read = Load {
            unread_tokens: self.remaining.unread_tokens,
            ..Load::default()
        };
        if self.waiting_tokens >= MIN_SPEED_SAMPLE_TOKENS {
            #[allow(clippy::cast_precision_loss)]
            let ms = self.node.now().since(self.sent_at) as f64;
            self.node
                .note_speed(&self.upstream, f64::from(self.waiting_tokens), ms);
        }
        self.remaining -= read;
        self.node.remove_load(&self.upstream, read);
    }
}

impl Drop for LoadGuard {
    fn drop(&mut self) {
        self.node.remove_load(&self.upstream, self.remaining);
        if let Some((service, origin)) = self.arrival {
            let capacity = &mut self.node.state.borrow_mut().capacity;
            capacity.end_arrival(service, origin);
        }
    }
}

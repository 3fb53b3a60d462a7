//! The work that one request adds to an upstream.

use crate::{node::Node, upstream::Load};
use carobwheel_core::time::Millis;
use std::{rc::Rc, sync::Arc};

/// Fewest prompt tokens whose reading tells of an upstream's speed.
const MIN_TIMED_TOKENS: u32 = 1_000;

/// Work at an upstream; dropping it takes the work away.
pub struct Work {
    node: Rc<Node>,
    upstream: Arc<str>,
    left: Load,
    waiting_tokens: u32,
    sent_at: Millis,
}

impl Work {
    /// Work of `load`, which was added to the upstream. `waiting_tokens` are the prompt tokens
    /// that it has to read before this request's end of reading.
    pub fn new(node: &Rc<Node>, upstream: &Arc<str>, load: Load, waiting_tokens: u32) -> Self {
        Self {
            node: Rc::clone(node),
            upstream: Arc::clone(upstream),
            left: load,
            waiting_tokens,
            sent_at: node.now(),
        }
    }

    /// When the request was sent.
    pub fn sent_at(&self) -> Millis {
        self.sent_at
    }

    /// Takes note that the prompt was read.
    pub fn was_read(&mut self) {
        if self.left.unread_tokens == 0 {
            return;
        }
        let read = Load {
            unread_tokens: self.left.unread_tokens,
            ..Load::default()
        };
        if self.waiting_tokens >= MIN_TIMED_TOKENS {
            #[allow(clippy::cast_precision_loss)]
            let ms = self.node.now().since(self.sent_at) as f64;
            self.node
                .note_speed(&self.upstream, f64::from(self.waiting_tokens), ms);
        }
        self.left -= read;
        self.node.note_done(&self.upstream, read);
    }
}

impl Drop for Work {
    fn drop(&mut self) {
        self.node.note_done(&self.upstream, self.left);
    }
}

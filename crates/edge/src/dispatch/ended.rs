//! Upstreams to which a connection has ended.

use std::{cell::RefCell, collections::HashSet, sync::Arc};
use tokio::sync::Notify;

/// Upstreams to which a connection has ended since they were last taken, whichever side has ended it.
#[derive(Debug, Default)]
pub(super) struct EndedConnections {
    upstreams: RefCell<HashSet<Arc<str>>>,
    added: Notify,
}

impl EndedConnections {
    /// Records that a connection to the upstream has ended.
    pub(super) fn add(&self, upstream: Arc<str>) {
        self.upstreams.borrow_mut().insert(upstream);
        self.added.notify_one();
    }

    /// Waits until a connection ends.
    pub(super) async fn wait(&self) {
        self.added.notified().await;
    }

    /// Removes and returns the recorded upstreams.
    pub(super) fn take(&self) -> HashSet<Arc<str>> {
        self.upstreams.take()
    }
}

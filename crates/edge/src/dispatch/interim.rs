//! Limit on the interim responses (status 1xx) that an upstream sends before its response.

use hyper::{ext::on_informational, Request};
use std::sync::{
    atomic::{AtomicU32, Ordering},
    Arc,
};
use tokio::sync::Notify;

/// Maximum number of interim responses to one request.
const MAX_INTERIM_RESPONSES: u32 = 32;

/// Counter of the interim responses to one request.
#[derive(Clone, Default)]
pub(super) struct InterimLimit {
    received: Arc<AtomicU32>,
    exceeded: Arc<Notify>,
}

impl InterimLimit {
    /// Counts the interim responses to a request.
    pub(super) fn watch<B>(&self, request: &mut Request<B>) {
        let limit = self.clone();
        on_informational(request, move |_| {
            if limit.received.fetch_add(1, Ordering::Relaxed) == MAX_INTERIM_RESPONSES {
                limit.exceeded.notify_one();
            }
        });
    }

    /// Waits until the upstream has sent too many interim responses.
    pub(super) async fn exceeded(&self) {
        self.exceeded.notified().await;
    }
}

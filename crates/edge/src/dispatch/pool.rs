//! Open connections that wait for their next request.

use bytes::Bytes;
use carobwheel_core::time::Millis;
use http_body_util::Full;
use hyper::client::conn::http1::SendRequest;
use std::{
    cell::RefCell,
    collections::{HashMap, VecDeque},
    sync::Arc,
};

/// Connections to one upstream that are kept open without a request.
const MAX_IDLE: usize = 24;
/// Time for which a connection is kept open without a request, in milliseconds.
pub(super) const KEPT_IDLE_MS: u64 = 4_000;

/// A connection to an upstream.
pub type Connection = SendRequest<Full<Bytes>>;

#[derive(Debug)]
struct Idle {
    connection: Connection,
    since: Millis,
    until: Millis,
}

/// Idle connections by upstream.
#[derive(Debug, Default)]
pub struct Pools {
    idle: RefCell<HashMap<Arc<str>, VecDeque<Idle>>>,
}

impl Pools {
    /// Takes the connection that was used last, if it has been idle for at most `max_idle_ms`.
    pub(super) fn take(&self, upstream: &str, max_idle_ms: u64, now: Millis) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let waiting = idle.get_mut(upstream)?;
        waiting.retain(|idle| now < idle.until && !idle.connection.is_closed());
        let at = waiting
            .iter()
            .rposition(|idle| idle.connection.is_ready())?;
        if now.since(waiting[at].since) > max_idle_ms {
            return None;
        }
        waiting.remove(at).map(|idle| idle.connection)
    }

    /// Keeps a connection for the next request. `told_ms` is the time that the upstream keeps it
    /// open, where it said so.
    pub(super) fn put(
        &self,
        upstream: &Arc<str>,
        connection: Connection,
        told_ms: Option<u64>,
        now: Millis,
    ) {
        if connection.is_closed() {
            return;
        }
        let kept_ms = told_ms.map_or(KEPT_IDLE_MS, |told_ms| (told_ms / 2).min(KEPT_IDLE_MS));
        let mut idle = self.idle.borrow_mut();
        let waiting = idle.entry(Arc::clone(upstream)).or_default();
        if waiting.len() >= MAX_IDLE {
            waiting.pop_front();
        }
        waiting.push_back(Idle {
            connection,
            since: now,
            until: now.plus(kept_ms),
        });
    }

    /// Closes connections that have been idle for too long.
    pub fn sweep(&self, now: Millis) {
        let mut idle = self.idle.borrow_mut();
        for waiting in idle.values_mut() {
            waiting.retain(|idle| now < idle.until && !idle.connection.is_closed());
        }
    }

    /// Closes the idle connections to an upstream.
    pub fn close_idle(&self, upstream: &str) {
        if let Some(waiting) = self.idle.borrow_mut().get_mut(upstream) {
            waiting.clear();
        }
    }

    /// Forgets an upstream.
    pub fn forget(&self, upstream: &str) {
        self.idle.borrow_mut().remove(upstream);
    }
}

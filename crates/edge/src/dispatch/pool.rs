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
const MAX_IDLE_CONNECTIONS: usize = 24;
/// Time for which a connection is kept open without a request, in milliseconds.
pub(super) const MAX_IDLE_MS: u64 = 4_000;

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
        let connections = idle.get_mut(upstream)?;
        connections.retain(|idle| now < idle.until && !idle.connection.is_closed());
        let at = connections
            .iter()
            .rposition(|idle| idle.connection.is_ready())?;
        if now.since(connections[at].since) > max_idle_ms {
            return None;
        }
        connections.remove(at).map(|idle| idle.connection)
    }

    /// Keeps a connection for the next request. `told_ms` is the time that the upstream keeps it
    /// open, where it said so.
    pub(super) fn put(
        &self,
        upstream: &Arc<str>,
        connection: Connection,
        advertised_ms: Option<u64>,
        now: Millis,
    ) {
        if connection.is_closed() {
            return;
        }
        let idle_limit_ms = advertised_ms.map_or(MAX_IDLE_MS, |advertised_ms| {
            (advertised_ms / 2).min(MAX_IDLE_MS)
        });
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(Arc::clone(upstream)).or_default();
        if connections.len() >= MAX_IDLE_CONNECTIONS {
            connections.pop_front();
        }
        connections.push_back(Idle {
            connection,
            since: now,
            until: now.plus(idle_limit_ms),
        });
    }

    /// Closes connections that have been idle for too long.
    pub fn sweep(&self, now: Millis) {
        let mut idle = self.idle.borrow_mut();
        for connections in idle.values_mut() {
            connections.retain(|idle| now < idle.until && !idle.connection.is_closed());
        }
    }

    /// Closes the idle connections to an upstream.
    pub fn close_idle(&self, upstream: &str) {
        if let Some(connections) = self.idle.borrow_mut().get_mut(upstream) {
            connections.clear();
        }
    }

    /// Forgets an upstream.
    pub fn forget(&self, upstream: &str) {
        self.idle.borrow_mut().remove(upstream);
    }
}

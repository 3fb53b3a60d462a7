//! Pool of idle connections.

use super::ended::EndedConnections;
use bytes::Bytes;
use carobwheel_core::time::Millis;
use http_body_util::Full;
use hyper::client::conn::http1::SendRequest;
use std::{
    cell::RefCell,
    collections::{HashMap, VecDeque},
    rc::Rc,
    sync::Arc,
};

/// Maximum number of idle connections per upstream.
const MAX_IDLE_CONNECTIONS: usize = 24;
/// Maximum time for which an idle connection is kept open, in milliseconds.
pub(super) const MAX_IDLE_MS: u64 = 4_000;

/// HTTP/1.1 connection to an upstream.
pub type Connection = SendRequest<Full<Bytes>>;

/// Idle connection.
#[derive(Debug)]
struct Idle {
    connection: Connection,
    since: Millis,
    until: Millis,
}

/// Idle connections by upstream.
#[derive(Debug)]
pub struct Pools {
    /// Maximum number of idle connections in all.
    max_idle: usize,
    idle: RefCell<HashMap<Arc<str>, VecDeque<Idle>>>,
    pub(super) ended: Rc<EndedConnections>,
}

impl Pools {
    /// Empty pools, which keep at most `max_idle` connections in all.
    pub fn new(max_idle: usize) -> Self {
        Self {
            max_idle,
            idle: RefCell::default(),
            ended: Rc::default(),
        }
    }

    /// Takes the most recently used connection if it has been idle for at most `max_idle_ms`.
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

    /// Returns a connection to the pool. `advertised_ms` is the keep-alive timeout that the
    /// upstream advertises, if any; half of it limits the idle time.
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
        if idle.values().map(VecDeque::len).sum::<usize>() >= self.max_idle {
            return;
        }
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

    /// Waits until a connection to an upstream ends.
    pub async fn connection_ended(&self) {
        self.ended.wait().await;
    }

    /// Upstreams that have ended all idle connections to them since the last call. Connections that this
    /// instance has closed are none of these.
    pub fn take_ended(&self) -> Vec<Arc<str>> {
        let mut idle = self.idle.borrow_mut();
        let upstreams = self.ended.take().into_iter();
        upstreams
            .filter(|upstream| {
                let Some(connections) = idle.get_mut(upstream) else {
                    return false;
                };
                let before = connections.len();
                connections.retain(|idle| !idle.connection.is_closed());
                connections.is_empty() && before > 0
            })
            .collect()
    }

    /// Closes the idle connections to an upstream.
    pub fn close_idle(&self, upstream: &str) {
        if let Some(connections) = self.idle.borrow_mut().get_mut(upstream) {
            connections.clear();
        }
    }

    /// Removes an upstream and closes its idle connections.
    pub fn forget(&self, upstream: &str) {
        self.idle.borrow_mut().remove(upstream);
    }
}

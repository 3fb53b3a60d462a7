//! An authenticated connection to a peer and the state of its traffic.

use carobwheel_core::id::InstanceId;
use std::{
    cell::Cell,
    rc::Rc,
    time::{Duration, Instant},
};
use tokio_util::sync::CancellationToken;

/// Minimum number of messages without a reply for a link to count as silent.
const MIN_UNANSWERED_MESSAGES: u32 = 2;

/// An authenticated connection to a peer.
pub(super) struct Link {
    /// Number of the link, unique in this process.
    pub(super) number: u64,
    /// The peer at the other end.
    pub(super) peer: InstanceId,
    /// The QUIC connection.
    pub(super) connection: quinn::Connection,
    /// Negotiated protocol version.
    pub(super) version: u8,
    /// Generation of the local port used to dial, or 0 if the peer dialled.
    pub(super) generation: u64,
    last_received: Cell<Instant>,
    last_used: Cell<Instant>,
    first_unanswered: Cell<Option<Instant>>,
    unanswered: Cell<u32>,
    requests: Cell<u32>,
    large_messages: Cell<u32>,
    is_retired: Cell<bool>,
    /// Cancelled when the link is retired because it is silent.
    silenced: CancellationToken,
}

impl Link {
    pub(super) fn new(
        number: u64,
        peer: InstanceId,
        connection: quinn::Connection,
        version: u8,
        generation: u64,
    ) -> Self {
        let now = Instant::now();
        Self {
            number,
            peer,
            connection,
            version,
            generation,
            last_received: Cell::new(now),
            last_used: Cell::new(now),
            first_unanswered: Cell::new(None),
            unanswered: Cell::new(0),
            requests: Cell::new(0),
            large_messages: Cell::new(0),
            is_retired: Cell::new(false),
            silenced: CancellationToken::new(),
        }
    }

    /// Records that application data was received.
    pub(super) fn record_received(&self) {
        let now = Instant::now();
        self.last_received.set(now);
        self.last_used.set(now);
        self.first_unanswered.set(None);
        self.unanswered.set(0);
    }

    /// Records that a message was sent.
    pub(super) fn record_sent(&self, expects_reply: bool) {
        let now = Instant::now();
        self.last_used.set(now);
        if expects_reply {
            self.unanswered.set(self.unanswered.get() + 1);
            let first = self.first_unanswered.get().unwrap_or(now);
            self.first_unanswered.set(Some(first));
        }
    }

    /// Whether messages that expect a reply have had none for `reply_timeout`.
    pub(super) fn is_silent(&self, reply_timeout: Duration) -> bool {
        let is_overdue = |first: Instant| first.elapsed() >= reply_timeout;
        self.unanswered.get() >= MIN_UNANSWERED_MESSAGES
            && self.first_unanswered.get().is_some_and(is_overdue)
    }

    /// Whether to test the link with an echo: it has open requests and has received nothing for
    /// `quiet`.
    pub(super) fn needs_echo(&self, quiet: Duration) -> bool {
        self.requests.get() > 0 && self.last_received.get().elapsed() >= quiet
    }

    /// Whether the link has no open work and has carried no traffic for `idle_timeout`.
    pub(super) fn is_idle(&self, idle_timeout: Duration) -> bool {
        !self.is_busy() && self.last_used.get().elapsed() >= idle_timeout
    }

    /// Whether requests or large messages are in progress.
    pub(super) fn is_busy(&self) -> bool {
        self.requests.get() > 0 || self.large_messages.get() > 0
    }

    /// Stops using the link for new work; it is closed when its work in progress has ended.
    pub(super) fn retire(&self) {
        self.is_retired.set(true);
    }

    /// Retires the link because messages on it get no reply.
    pub(super) fn retire_silent(&self) {
        self.retire();
        self.silenced.cancel();
    }

    /// Waits until the link is retired because messages on it get no reply.
    pub(super) async fn silenced(&self) {
        self.silenced.cancelled().await;
    }

    pub(super) fn is_retired(&self) -> bool {
        self.is_retired.get()
    }

    /// Whether the link may be used for new work.
    pub(super) fn is_usable(&self) -> bool {
        !self.is_retired.get() && self.connection.close_reason().is_none()
    }

    /// Number of large messages being sent.
    pub(super) fn large_messages(&self) -> u32 {
        self.large_messages.get()
    }
}

/// Guard that counts an open request of a link until it is dropped.
pub(super) struct RequestGuard(Rc<Link>);

impl RequestGuard {
    pub(super) fn new(link: &Rc<Link>) -> Self {
        link.requests.set(link.requests.get() + 1);
        Self(Rc::clone(link))
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.requests.set(self.0.requests.get() - 1);
    }
}

/// Guard that counts a large message being sent on a link until it is dropped.
pub(super) struct LargeMessageGuard(Rc<Link>);

impl LargeMessageGuard {
    pub(super) fn new(link: &Rc<Link>) -> Self {
        link.large_messages.set(link.large_messages.get() + 1);
        Self(Rc::clone(link))
    }
}

impl Drop for LargeMessageGuard {
    fn drop(&mut self) {
        self.0.large_messages.set(self.0.large_messages.get() - 1);
    }
}

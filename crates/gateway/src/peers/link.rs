//! One link: an authenticated connection to a peer, and what is known about its traffic.

use carobwheel_core::id::InstanceId;
use std::{
    cell::Cell,
    rc::Rc,
    time::{Duration, Instant},
};

/// Messages without an answer from which on a link may count as silent.
const MIN_UNANSWERED: u32 = 2;

/// An authenticated connection.
pub(super) struct Link {
    /// Number of the link inside this process.
    pub(super) number: u64,
    /// The peer.
    pub(super) peer: InstanceId,
    /// The connection.
    pub(super) connection: quinn::Connection,
    /// Protocol version that both sides agreed on.
    pub(super) version: u8,
    /// Generation of the local port that dialled, or 0 if the peer dialled.
    pub(super) generation: u64,
    last_received: Cell<Instant>,
    last_used: Cell<Instant>,
    first_unanswered: Cell<Option<Instant>>,
    unanswered: Cell<u32>,
    requests: Cell<u32>,
    large_messages: Cell<u32>,
    is_retired: Cell<bool>,
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
        }
    }

    /// Notes that traffic of the application has arrived.
    pub(super) fn note_received(&self) {
        let now = Instant::now();
        self.last_received.set(now);
        self.last_used.set(now);
        self.first_unanswered.set(None);
        self.unanswered.set(0);
    }

    /// Notes that a message has been sent.
    pub(super) fn note_sent(&self, expects_reply: bool) {
        let now = Instant::now();
        self.last_used.set(now);
        if expects_reply {
            self.unanswered.set(self.unanswered.get() + 1);
            let first = self.first_unanswered.get().unwrap_or(now);
            self.first_unanswered.set(Some(first));
        }
    }

    /// Whether messages have gone without an answer for `silent`.
    pub(super) fn is_silent(&self, silent: Duration) -> bool {
        let is_overdue = |first: Instant| first.elapsed() >= silent;
        self.unanswered.get() >= MIN_UNANSWERED
            && self.first_unanswered.get().is_some_and(is_overdue)
    }

    /// Whether an echo should test the link: requests are open, and nothing has arrived for `quiet`.
    pub(super) fn wants_echo(&self, quiet: Duration) -> bool {
        self.requests.get() > 0 && self.last_received.get().elapsed() >= quiet
    }

    /// Whether nothing has been sent or received for `idle` and no request is open.
    pub(super) fn is_idle(&self, idle: Duration) -> bool {
        !self.is_busy() && self.last_used.get().elapsed() >= idle
    }

    /// Whether requests or larger messages are open.
    pub(super) fn is_busy(&self) -> bool {
        self.requests.get() > 0 || self.large_messages.get() > 0
    }

    /// Takes the link out of use for new work; it is closed when its requests have ended.
    pub(super) fn retire(&self) {
        self.is_retired.set(true);
    }

    pub(super) fn is_retired(&self) -> bool {
        self.is_retired.get()
    }

    /// Whether new work may go over the link.
    pub(super) fn is_usable(&self) -> bool {
        !self.is_retired.get() && self.connection.close_reason().is_none()
    }

    /// Larger messages on their way.
    pub(super) fn large_messages(&self) -> u32 {
        self.large_messages.get()
    }
}

/// Counts an open request of a link for as long as it lives.
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

/// Counts a larger message of a link for as long as it is on its way.
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

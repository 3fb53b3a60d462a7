//! Callers' connections, their number, and their timeouts.

use super::{eviction::EvictionRank, tracked_stream::StreamEvent};
use crate::{
    log::{Event, Log},
    memory::Guard,
};
use carobwheel_core::time::{Clock, Millis};
use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    io,
    net::IpAddr,
    rc::Rc,
    task::Poll,
};
use tokio::sync::Notify;

/// Shortest time without a read by the caller after which its connection is closed, in milliseconds.
const MIN_WRITE_TIMEOUT_MS: u64 = 10_000;

/// Phase of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Waiting for a request since this time.
    Idle(Millis),
    /// Reading the head of a request since this time.
    Head(Millis),
    /// Serving a request, until the last byte of its answer is written.
    Busy,
}

/// Request whose body was read and whose answer is not written yet.
#[derive(Clone, Debug)]
pub(super) struct OpenRequest {
    id: String,
    read_at: Millis,
}

/// Bytes that a caller has accepted since writes to it first had to wait.
#[derive(Clone, Copy, Debug)]
struct SlowWrites {
    since: Millis,
    bytes: u64,
}

/// Timeouts and minimum rates of connections.
#[derive(Clone, Copy, Debug)]
pub struct Timeouts {
    /// For the head of a request, in milliseconds.
    pub head_ms: u64,
    /// For the next request, in milliseconds.
    pub idle_ms: u64,
    /// Window over which the rate of an answer is checked, in milliseconds.
    pub answer_window_ms: u64,
    /// Minimum rate at which a caller reads an answer, in bytes a second.
    pub min_answer_bytes_per_s: u64,
}

/// Maximum numbers of connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// In all.
    pub total: usize,
    /// From one address.
    pub per_address: usize,
}

/// Activity of one connection, which the sweep checks for timeouts.
#[derive(Debug)]
pub(super) struct ConnectionActivity {
    phase: Cell<Phase>,
    address: IpAddr,
    /// Whether a request was read on it.
    is_used: Cell<bool>,
    /// Time of the last read.
    read_at: Cell<Millis>,
    /// Bytes accepted since a write first had to wait; `None` once all is written.
    slow_writes: Cell<Option<SlowWrites>>,
    /// Memory of answers that are not written completely.
    held: RefCell<Vec<Guard>>,
    /// Whether the connection is being closed for another one.
    is_evicted: Cell<bool>,
    clock: Clock,
    open_request: RefCell<Option<OpenRequest>>,
    /// Whether the end of an answer was handed to the connection and not written yet.
    has_body_ended: Cell<bool>,
    /// Time since which the caller has accepted no bytes; `None` unless a write waits.
    blocked_since: Cell<Option<Millis>>,
    close_reason: Cell<Option<&'static str>>,
    close: Notify,
}

impl ConnectionActivity {
    /// Address of the caller.
    pub(super) const fn address(&self) -> IpAddr {
        self.address
    }

    /// Keeps the memory of an answer reserved until the answer is written.
    pub(super) fn hold(&self, guard: Guard) {
        self.held.borrow_mut().push(guard);
    }

    /// Rank of the connection; `None` if it may not be closed for another one.
    fn eviction_rank(&self, now: Millis) -> Option<EvictionRank> {
        if self.is_evicted.get() {
            return None;
        }
        match self.phase.get() {
            Phase::Idle(since) if self.is_used.get() => EvictionRank::idle(since, now),
            Phase::Idle(since) | Phase::Head(since) => EvictionRank::without_request(since, now),
            Phase::Busy => match self.blocked_since.get() {
                Some(since) => EvictionRank::unread(since, now),
                None if self.open_request.borrow().is_none() => {
                    EvictionRank::incomplete_body(self.read_at.get(), now)
                }
                None => None,
            },
        }
    }

    /// Closes the connection for the given reason.
    fn evict(&self, reason: &'static str) {
        self.is_evicted.set(true);
        self.close_reason.set(Some(reason));
        self.close.notify_one();
    }

    /// Records that the head of a request was read.
    pub(super) fn set_busy(&self) {
        // A request that has arrived is served, whether or not the connection was given up.
        self.is_evicted.set(false);
        self.is_used.set(true);
        self.close_reason.take();
        self.phase.set(Phase::Busy);
    }

    /// Records that a request was read completely.
    pub(super) fn request_read(&self, id: &str) {
        self.has_body_ended.set(false);
        self.open_request.replace(Some(OpenRequest {
            id: id.to_owned(),
            read_at: self.clock.now(),
        }));
    }

    /// Records that the end of the answer's body was handed to the connection.
    pub(super) fn body_ended(&self) {
        self.has_body_ended.set(true);
    }

    /// Records what happened on the caller's stream.
    pub(super) fn observe(&self, event: StreamEvent<'_>) {
        match event {
            StreamEvent::Read => self.bytes_read(),
            StreamEvent::WritePolled(polled) => self.write_polled(polled),
            StreamEvent::Flushed => self.flushed(),
        }
    }

    /// Records that all bytes handed to the connection were written.
    fn flushed(&self) {
        self.slow_writes.set(None);
        if self.has_body_ended.replace(false) {
            self.open_request.take();
            self.held.borrow_mut().clear();
            self.phase.set(Phase::Idle(self.clock.now()));
        }
    }

    /// Logs that the connection closed, if its request was read and has no complete answer.
    pub(super) fn log_close(&self, log: &Log, closed_by: &str, reason: &str) {
        if let Some(request) = self.open_request.take() {
            log.event(Event::ConnectionClosed {
                request: &request.id,
                closed_by,
                reason,
                after_ms: self.clock.now().since(request.read_at),
            });
        }
    }

    /// Waits until the sweep wants to close the connection. Returns no reason if the connection has
    /// made progress since.
    pub(super) async fn timed_out(&self) -> Option<&'static str> {
        self.close.notified().await;
        // Bytes may have arrived that the event loop has not looked for yet.
        tokio::task::yield_now().await;
        self.close_reason.take()
    }

    /// Records that bytes were read; the first ones start the head of a request.
    fn bytes_read(&self) {
        if self.is_evicted.get() {
            return;
        }
        self.read_at.set(self.clock.now());
        if let Phase::Idle(_) = self.phase.get() {
            self.close_reason.take();
            self.phase.set(Phase::Head(self.clock.now()));
        }
    }

    /// Records whether a write made progress.
    fn write_polled(&self, polled: &Poll<io::Result<usize>>) {
        let blocked_since = match polled {
            Poll::Pending => {
                let now = self.clock.now();
                let first = SlowWrites {
                    since: now,
                    bytes: 0,
                };
                let slow = self.slow_writes.get().unwrap_or(first);
                self.slow_writes.set(Some(slow));
                self.blocked_since.get().or(Some(now))
            }
            Poll::Ready(written) => {
                if !self.is_evicted.get() {
                    self.close_reason.take();
                }
                let bytes = written.as_ref().map_or(0, |bytes| *bytes as u64);
                let slow = self.slow_writes.get().map(|slow| SlowWrites {
                    bytes: slow.bytes + bytes,
                    ..slow
                });
                self.slow_writes.set(slow);
                None
            }
        };
        self.blocked_since.set(blocked_since);
    }

    /// Reason to close the connection, if it has exceeded a timeout.
    fn timeout_reason(&self, timeouts: &Timeouts, now: Millis) -> Option<&'static str> {
        let (head_ms, idle_ms) = (timeouts.head_ms, timeouts.idle_ms);
        let is_over = |since: Millis, timeout_ms| now.since(since) > timeout_ms;
        match self.phase.get() {
            Phase::Idle(since) => {
                is_over(since, idle_ms).then_some("the connection was idle for too long")
            }
            Phase::Head(since) => {
                is_over(since, head_ms).then_some("the head did not arrive in time")
            }
            Phase::Busy => self
                .blocked_since
                .get()
                .filter(|since| is_over(*since, idle_ms.max(MIN_WRITE_TIMEOUT_MS)))
                .map(|_| "the caller does not read the answer")
                .or_else(|| self.slow_reader_reason(timeouts, now)),
        }
    }

    /// Reason to close the connection, if the caller reads more slowly than the minimum rate; begins the
    /// next window if it does not.
    fn slow_reader_reason(&self, timeouts: &Timeouts, now: Millis) -> Option<&'static str> {
        let slow = self.slow_writes.get()?;
        let window_ms = timeouts.answer_window_ms.max(timeouts.idle_ms);
        let passed_ms = now.since(slow.since);
        if passed_ms <= window_ms {
            return None;
        }
        if slow.bytes < timeouts.min_answer_bytes_per_s.saturating_mul(passed_ms) / 1_000 {
            return Some("the caller reads the answer too slowly");
        }
        let since = now;
        self.slow_writes.set(Some(SlowWrites { since, bytes: 0 }));
        None
    }
}

/// Open connections of callers at one endpoint.
#[derive(Debug)]
pub struct Connections {
    limits: ConnectionLimits,
    by_address: RefCell<HashMap<IpAddr, usize>>,
    open: RefCell<HashMap<u64, Rc<ConnectionActivity>>>,
    opened: Cell<u64>,
}

impl Connections {
    /// No connections yet.
    pub fn new(limits: ConnectionLimits) -> Self {
        Self {
            limits,
            by_address: RefCell::default(),
            open: RefCell::default(),
            opened: Cell::new(0),
        }
    }

    /// Limit that a further connection from an address would exceed.
    pub(super) fn exceeded(&self, address: IpAddr) -> Option<&'static str> {
        let of_address = self.by_address.borrow().get(&address).copied();
        if self.count() >= self.limits.total {
            Some("connections_total")
        } else if of_address.unwrap_or_default() >= self.limits.per_address {
            Some("connections_of_address")
        } else {
            None
        }
    }

    /// Closes the connection with the lowest rank, from `address` if that is given. Returns false if
    /// none may be closed.
    pub(super) fn evict(&self, address: Option<IpAddr>, now: Millis) -> bool {
        let open = self.open.borrow();
        let candidates = open.values().filter_map(|activity| {
            let is_candidate = address.is_none_or(|address| activity.address == address);
            let rank = is_candidate
                .then(|| activity.eviction_rank(now))
                .flatten()?;
            Some((rank, activity))
        });
        let Some((_, activity)) = candidates.min_by_key(|(rank, _)| *rank) else {
            return false;
        };
        activity.evict("the connection was given up for another one");
        true
    }

    /// Closes the connection whose caller has not read its answer for the longest time. Returns false
    /// if there is none.
    pub fn close_slowest_reader(&self, now: Millis) -> bool {
        let open = self.open.borrow();
        let blocked = open.values().filter_map(|activity| {
            let since = activity
                .blocked_since
                .get()
                .filter(|_| !activity.is_evicted.get())?;
            EvictionRank::unread(since, now).map(|rank| (rank, activity))
        });
        let Some((_, activity)) = blocked.min_by_key(|(rank, _)| *rank) else {
            return false;
        };
        activity.evict("the instance has too little memory for an answer that is not read");
        true
    }

    /// Registers a new connection.
    pub(super) fn open(&self, clock: Clock, address: IpAddr) -> (u64, Rc<ConnectionActivity>) {
        let id = self.opened.get();
        self.opened.set(id + 1);
        let activity = Rc::new(ConnectionActivity {
            phase: Cell::new(Phase::Idle(clock.now())),
            address,
            is_used: Cell::new(false),
            read_at: Cell::new(clock.now()),
            slow_writes: Cell::new(None),
            held: RefCell::default(),
            is_evicted: Cell::new(false),
            clock,
            open_request: RefCell::default(),
            has_body_ended: Cell::new(false),
            blocked_since: Cell::new(None),
            close_reason: Cell::new(None),
            close: Notify::new(),
        });
        self.open.borrow_mut().insert(id, Rc::clone(&activity));
        *self.by_address.borrow_mut().entry(address).or_default() += 1;
        (id, activity)
    }

    /// Removes a closed connection.
    pub(super) fn closed(&self, id: u64) {
        let Some(activity) = self.open.borrow_mut().remove(&id) else {
            return;
        };
        let mut by_address = self.by_address.borrow_mut();
        if let Some(count) = by_address.get_mut(&activity.address) {
            *count -= 1;
            if *count == 0 {
                by_address.remove(&activity.address);
            }
        }
    }

    /// Number of open connections.
    pub fn count(&self) -> usize {
        self.open.borrow().len()
    }

    /// Logs the open requests, whose connections close with the process.
    pub fn log_open_requests(&self, log: &Log) {
        for activity in self.open.borrow().values() {
            activity.log_close(log, "instance", "the grace period has ended");
        }
    }

    /// Closes connections that have exceeded the idle timeout or the timeout for a request's head,
    /// and those whose caller does not read its answer.
    pub fn sweep(&self, timeouts: &Timeouts, now: Millis) {
        for activity in self.open.borrow().values() {
            let reason = activity.timeout_reason(timeouts, now);
            if reason.is_some() {
                activity.close_reason.set(reason);
                activity.close.notify_one();
            }
        }
    }
}

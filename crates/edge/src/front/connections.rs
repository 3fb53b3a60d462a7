//! Callers' connections and their timeouts.

use crate::log::{Event, Log};
use carobwheel_core::time::{Clock, Millis};
use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    sync::Notify,
};

/// Shortest time without a read by the caller after which an answer is given up, in milliseconds.
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

/// Activity of one connection, which the sweep checks for timeouts.
#[derive(Debug)]
pub(super) struct ConnectionActivity {
    phase: Cell<Phase>,
    clock: Clock,
    open_request: RefCell<Option<OpenRequest>>,
    has_body_ended: Cell<bool>,
    /// Time since which the caller has accepted no bytes; `None` unless a write waits.
    blocked_since: Cell<Option<Millis>>,
    close_reason: Cell<Option<&'static str>>,
    close: Notify,
}

impl ConnectionActivity {
    /// Records that the head of a request was read.
    pub(super) fn set_busy(&self) {
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

    /// Records that all bytes handed to the connection were written.
    fn flushed(&self) {
        if self.has_body_ended.replace(false) {
            self.open_request.take();
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
        if let Phase::Idle(_) = self.phase.get() {
            self.close_reason.take();
            self.phase.set(Phase::Head(self.clock.now()));
        }
    }

    /// Records whether a write made progress.
    fn write_polled(&self, polled: &Poll<io::Result<usize>>) {
        let blocked_since = match polled {
            Poll::Pending => self.blocked_since.get().or(Some(self.clock.now())),
            Poll::Ready(_) => {
                self.close_reason.take();
                None
            }
        };
        self.blocked_since.set(blocked_since);
    }

    /// Reason to close the connection, if it has exceeded a timeout.
    fn timeout_reason(
        &self,
        head_timeout_ms: u64,
        idle_timeout_ms: u64,
        now: Millis,
    ) -> Option<&'static str> {
        let is_over = |since: Millis, timeout_ms| now.since(since) > timeout_ms;
        match self.phase.get() {
            Phase::Idle(since) => {
                is_over(since, idle_timeout_ms).then_some("the connection was idle for too long")
            }
            Phase::Head(since) => {
                is_over(since, head_timeout_ms).then_some("the head did not arrive in time")
            }
            Phase::Busy => self
                .blocked_since
                .get()
                .filter(|since| is_over(*since, idle_timeout_ms.max(MIN_WRITE_TIMEOUT_MS)))
                .map(|_| "the caller does not read the answer"),
        }
    }
}

/// Open connections of callers.
#[derive(Debug, Default)]
pub struct Connections {
    open: RefCell<HashMap<u64, Rc<ConnectionActivity>>>,
    opened: Cell<u64>,
}

impl Connections {
    /// Registers a new connection.
    pub(super) fn open(&self, clock: Clock) -> (u64, Rc<ConnectionActivity>) {
        let id = self.opened.get();
        self.opened.set(id + 1);
        let activity = Rc::new(ConnectionActivity {
            phase: Cell::new(Phase::Idle(clock.now())),
            clock,
            open_request: RefCell::default(),
            has_body_ended: Cell::new(false),
            blocked_since: Cell::new(None),
            close_reason: Cell::new(None),
            close: Notify::new(),
        });
        self.open.borrow_mut().insert(id, Rc::clone(&activity));
        (id, activity)
    }

    /// Removes a closed connection.
    pub(super) fn closed(&self, id: u64) {
        self.open.borrow_mut().remove(&id);
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
    pub fn sweep(&self, head_timeout_ms: u64, idle_timeout_ms: u64, now: Millis) {
        for activity in self.open.borrow().values() {
            let reason = activity.timeout_reason(head_timeout_ms, idle_timeout_ms, now);
            if reason.is_some() {
                activity.close_reason.set(reason);
                activity.close.notify_one();
            }
        }
    }
}

/// Caller's stream that records reads and writes in its [`ConnectionActivity`].
pub(super) struct TrackedStream {
    pub(super) stream: TcpStream,
    pub(super) activity: Rc<ConnectionActivity>,
}

impl AsyncRead for TrackedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        if buf.filled().len() > before {
            self.activity.bytes_read();
        }
        polled
    }
}

impl AsyncWrite for TrackedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.activity.write_polled(&polled);
        polled
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write_vectored(cx, slices);
        self.activity.write_polled(&polled);
        polled
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let polled = Pin::new(&mut self.stream).poll_flush(cx);
        if matches!(polled, Poll::Ready(Ok(()))) {
            self.activity.flushed();
        }
        polled
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

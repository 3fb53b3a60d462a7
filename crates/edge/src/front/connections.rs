//! Callers' connections, and the time that they may take.

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
};
use tokio_util::sync::CancellationToken;

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Waits for a request since then.
    Idle(Millis),
    /// Reads a head since then.
    Head(Millis),
    /// Serves a request.
    Busy,
}

/// One connection as the sweep sees it.
#[derive(Debug)]
pub(super) struct ConnectionActivity {
    phase: Cell<Phase>,
    clock: Clock,
    /// Cancelled when the connection has to be closed.
    pub(super) close: CancellationToken,
}

impl ConnectionActivity {
    /// Takes note that a head was read.
    pub(super) fn set_busy(&self) {
        self.phase.set(Phase::Busy);
    }

    /// Takes note that an answer's head was handed over.
    pub(super) fn set_idle(&self) {
        self.phase.set(Phase::Idle(self.clock.now()));
    }

    fn bytes_read(&self) {
        if let Phase::Idle(_) = self.phase.get() {
            self.phase.set(Phase::Head(self.clock.now()));
        }
    }

    fn bytes_written(&self) {
        if let Phase::Idle(_) = self.phase.get() {
            self.phase.set(Phase::Idle(self.clock.now()));
        }
    }
}

/// All open connections of callers.
#[derive(Debug, Default)]
pub struct Connections {
    open: RefCell<HashMap<u64, Rc<ConnectionActivity>>>,
    opened: Cell<u64>,
}

impl Connections {
    /// Takes note of a new connection.
    pub(super) fn open(&self, clock: Clock) -> (u64, Rc<ConnectionActivity>) {
        let id = self.opened.get();
        self.opened.set(id + 1);
        let activity = Rc::new(ConnectionActivity {
            phase: Cell::new(Phase::Idle(clock.now())),
            clock,
            close: CancellationToken::new(),
        });
        self.open.borrow_mut().insert(id, Rc::clone(&activity));
        (id, activity)
    }

    /// Takes note that a connection is closed.
    pub(super) fn closed(&self, id: u64) {
        self.open.borrow_mut().remove(&id);
    }

    /// How many connections are open.
    pub fn count(&self) -> usize {
        self.open.borrow().len()
    }

    /// Closes connections that have been idle, or have taken time over a head, for too long.
    pub fn sweep(&self, head_timeout_ms: u64, idle_timeout_ms: u64, now: Millis) {
        for activity in self.open.borrow().values() {
            let is_over = match activity.phase.get() {
                Phase::Idle(since) => now.since(since) > idle_timeout_ms,
                Phase::Head(since) => now.since(since) > head_timeout_ms,
                Phase::Busy => false,
            };
            if is_over {
                activity.close.cancel();
            }
        }
    }
}

/// A caller's stream that tells its track when bytes pass.
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
        self.activity.bytes_written();
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.activity.bytes_written();
        Pin::new(&mut self.stream).poll_write_vectored(cx, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

//! Activity of one connection, and its timeouts.

use super::DropReason;
use crate::settings::CallerLimits;
use carobwheel_edge::front::StreamEvent;
use std::{
    io,
    sync::{Mutex, PoisonError},
    task::Poll,
    time::Duration,
};
use tokio::time::{sleep, Instant};

/// Divisor of the shortest timeout that gives the interval between two checks of a connection.
const CHECK_DIVISOR: u32 = 4;
const MS_PER_S: u64 = 1_000;

/// Phase of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Waiting for a request since this time.
    Idle(Instant),
    /// Reading a head since this time.
    Head(Instant),
    /// Serving a request, until the last byte of its answer is written.
    Busy,
}

/// Bytes of an answer that were written in the current window, which began when a write had to wait.
#[derive(Clone, Copy, Debug)]
struct BlockedWrite {
    since: Instant,
    written_bytes: u64,
}

#[derive(Debug)]
struct State {
    phase: Phase,
    has_body_ended: bool,
    blocked: Option<BlockedWrite>,
}

/// Activity of one connection.
#[derive(Debug)]
pub(super) struct Activity(Mutex<State>);

impl Activity {
    pub(super) fn new() -> Self {
        Self(Mutex::new(State {
            phase: Phase::Idle(Instant::now()),
            has_body_ended: false,
            blocked: None,
        }))
    }

    /// Records that the head of a request was read.
    pub(super) fn begin_request(&self) {
        self.with(|state| state.phase = Phase::Busy);
    }

    /// Records that the end of an answer was handed to the connection.
    pub(super) fn end_answer(&self) {
        self.with(|state| state.has_body_ended = true);
    }

    /// Waits until the connection has exceeded a timeout.
    pub(super) async fn timed_out(&self, limits: &CallerLimits) -> DropReason {
        let shortest_ms = limits
            .head_timeout_ms
            .min(limits.idle_timeout_ms)
            .min(limits.progress_window_ms);
        let interval = Duration::from_millis(shortest_ms) / CHECK_DIVISOR;
        loop {
            sleep(interval).await;
            if let Some(reason) = self.with(|state| timeout_reason(state, limits)) {
                return reason;
            }
        }
    }

    /// Records what happened on the caller's stream.
    pub(super) fn observe(&self, event: StreamEvent<'_>) {
        match event {
            StreamEvent::Read => self.bytes_read(),
            StreamEvent::WritePolled(polled) => self.write_polled(polled),
            StreamEvent::Flushed => self.flushed(),
        }
    }

    /// Records that bytes were read; the first ones start the head of a request.
    fn bytes_read(&self) {
        self.with(|state| {
            if let Phase::Idle(_) = state.phase {
                state.phase = Phase::Head(Instant::now());
            }
        });
    }

    /// Records whether a write made progress.
    fn write_polled(&self, polled: &Poll<io::Result<usize>>) {
        self.with(|state| match (polled, &mut state.blocked) {
            (Poll::Pending, None) => {
                state.blocked = Some(BlockedWrite {
                    since: Instant::now(),
                    written_bytes: 0,
                });
            }
            (Poll::Ready(Ok(bytes)), Some(blocked)) => blocked.written_bytes += *bytes as u64,
            _ => {}
        });
    }

    /// Records that all bytes handed to the connection were written.
    fn flushed(&self) {
        self.with(|state| {
            state.blocked = None;
            if std::mem::take(&mut state.has_body_ended) {
                state.phase = Phase::Idle(Instant::now());
            }
        });
    }

    // No change of the state panics half-way, so a poisoned one is consistent.
    fn with<T>(&self, change: impl FnOnce(&mut State) -> T) -> T {
        change(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// Returns the timeout that a connection has exceeded; otherwise begins a new window if one has
/// ended.
fn timeout_reason(state: &mut State, limits: &CallerLimits) -> Option<DropReason> {
    let is_over = |since: Instant, ms: u64| since.elapsed() > Duration::from_millis(ms);
    match state.phase {
        Phase::Idle(since) => is_over(since, limits.idle_timeout_ms).then_some(DropReason::Idle),
        Phase::Head(since) => {
            is_over(since, limits.head_timeout_ms).then_some(DropReason::SlowHead)
        }
        Phase::Busy => {
            let blocked = state.blocked.as_mut()?;
            if !is_over(blocked.since, limits.progress_window_ms) {
                return None;
            }
            let least_bytes = limits.min_bytes_per_s * limits.progress_window_ms / MS_PER_S;
            if blocked.written_bytes < least_bytes {
                return Some(DropReason::SlowReader);
            }
            *blocked = BlockedWrite {
                since: Instant::now(),
                written_bytes: 0,
            };
            None
        }
    }
}

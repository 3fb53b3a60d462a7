//! Log channel and the thread that writes its lines to standard output.

use super::Event;
use carobwheel_core::time::{Clock, Millis};
use serde::Serialize;
use std::{
    cell::{Cell, RefCell},
    io::{self, Write as _},
    sync::mpsc::{self, Receiver, SyncSender},
    thread,
    time::Duration,
};

/// Capacity of the channel, in lines.
const CHANNEL_LINES: usize = 2_048;
/// Number of polls for the end of the writer thread at shutdown, and the pause between them.
const JOIN_POLLS: u32 = 20;
const JOIN_POLL_PAUSE: Duration = Duration::from_millis(10);
/// Number of lines written in a second above which those of normal request processing are dropped.
const MAX_ROUTINE_LINES_PER_S: u32 = 300;
/// Largest line, in bytes. Fields of callers that are as long as a head may be would fill the queue.
const MAX_LINE_BYTES: usize = 8 * 1024;
/// Number of lines written in a second above which all lines are dropped.
const MAX_LINES_PER_S: u32 = 900;

#[derive(Serialize)]
struct Line<'a> {
    time_unix_ms: u64,
    uptime_ms: u64,
    instance: &'a str,
    #[serde(flatten)]
    event: Event<'a>,
}

/// Structured log of one instance.
#[derive(Debug)]
pub struct Log {
    instance: String,
    clock: Clock,
    lines: RefCell<Option<SyncSender<Vec<u8>>>>,
    second: Cell<u64>,
    written: Cell<u32>,
    dropped: Cell<u64>,
    dropped_in_total: Cell<u64>,
}

/// Handle of the writer thread, which ends once the [`Log`] is closed.
#[derive(Debug)]
pub struct LogThread(thread::JoinHandle<()>);

impl LogThread {
    /// Waits until the last line is written, but only a limited time for a stalled reader.
    pub fn join(self) {
        for _ in 0..JOIN_POLLS {
            if self.0.is_finished() {
                return;
            }
            thread::sleep(JOIN_POLL_PAUSE);
        }
    }
}

impl Log {
    /// Starts the writer thread.
    ///
    /// # Errors
    ///
    /// Fails if no thread can be started.
    pub fn start(instance: &str, clock: Clock) -> io::Result<(Self, LogThread)> {
        let (lines, queued) = mpsc::sync_channel(CHANNEL_LINES);
        let writer = thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_all(&queued))?;
        let log = Self {
            instance: instance.to_owned(),
            clock,
            lines: RefCell::new(Some(lines)),
            second: Cell::new(0),
            written: Cell::new(0),
            dropped: Cell::new(0),
            dropped_in_total: Cell::new(0),
        };
        Ok((log, LogThread(writer)))
    }

    /// Logs an event, unless the limit of this second is reached.
    pub fn event(&self, event: Event<'_>) {
        let now = self.clock.now();
        self.start_second(now);
        let max_lines = if event.is_routine() {
            MAX_ROUTINE_LINES_PER_S
        } else {
            MAX_LINES_PER_S
        };
        if self.written.get() >= max_lines {
            self.count_dropped();
            return;
        }
        self.written.set(self.written.get() + 1);
        self.write(event, now);
    }

    /// Closes the channel, so that the writer thread ends after the last line.
    pub fn close(&self) {
        self.lines.borrow_mut().take();
    }

    /// Number of lines dropped since the start.
    pub fn dropped_lines(&self) -> u64 {
        self.dropped_in_total.get()
    }

    fn start_second(&self, now: Millis) {
        let second = now.0 / 1_000;
        if second == self.second.get() {
            return;
        }
        self.second.set(second);
        self.written.set(0);
        let lines = self.dropped.replace(0);
        if lines > 0 {
            self.write(Event::LinesLeftOut { lines }, now);
        }
    }

    fn write(&self, event: Event<'_>, now: Millis) {
        let line = Line {
            time_unix_ms: self.clock.unix_now().0,
            uptime_ms: now.0,
            instance: &self.instance,
            event,
        };
        let Ok(mut text) = serde_json::to_vec(&line) else {
            self.count_dropped();
            return;
        };
        if text.len() > MAX_LINE_BYTES {
            self.count_dropped();
            return;
        }
        text.push(b'\n');
        let sent = self
            .lines
            .borrow()
            .as_ref()
            .map(|lines| lines.try_send(text));
        if !matches!(sent, Some(Ok(()))) {
            self.count_dropped();
        }
    }

    fn count_dropped(&self) {
        self.dropped.set(self.dropped.get() + 1);
        self.dropped_in_total.set(self.dropped_in_total.get() + 1);
    }
}

fn write_all(queued: &Receiver<Vec<u8>>) {
    let mut out = io::stdout();
    while let Ok(mut batch) = queued.recv() {
        for line in queued.try_iter().take(64) {
            batch.extend_from_slice(&line);
        }
        // Write errors are ignored: the instance keeps running if standard output was closed.
        drop(out.write_all(&batch).and_then(|()| out.flush()));
    }
}

//! The ring and the thread that writes lines.

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

/// Lines that may wait for the writer.
const RING_LINES: usize = 2_048;
/// Looks at the writer at the end, and the pause between two of them.
const END_LOOKS: u32 = 20;
const END_PAUSE: Duration = Duration::from_millis(10);
/// Lines of ordinary work that are written in a second at most.
const ORDINARY_PER_S: u32 = 300;
/// Lines of all kinds that are written in a second at most.
const ALL_PER_S: u32 = 900;

#[derive(Serialize)]
struct Line<'a> {
    time_unix_ms: u64,
    uptime_ms: u64,
    instance: &'a str,
    #[serde(flatten)]
    event: Event<'a>,
}

/// Where events are logged.
#[derive(Debug)]
pub struct Log {
    instance: String,
    clock: Clock,
    lines: RefCell<Option<SyncSender<Vec<u8>>>>,
    second: Cell<u64>,
    written: Cell<u32>,
    left_out: Cell<u64>,
    left_out_in_all: Cell<u64>,
}

/// The thread that writes lines; it ends once the [`Log`] is closed.
#[derive(Debug)]
pub struct LogThread(thread::JoinHandle<()>);

impl LogThread {
    /// Waits until the last line is written, but not for a reader that has stopped.
    pub fn join(self) {
        for _ in 0..END_LOOKS {
            if self.0.is_finished() {
                return;
            }
            thread::sleep(END_PAUSE);
        }
    }
}

impl Log {
    /// Starts the writer.
    ///
    /// # Errors
    ///
    /// Fails if no thread can be started.
    pub fn start(instance: &str, clock: Clock) -> io::Result<(Self, LogThread)> {
        let (lines, waiting) = mpsc::sync_channel(RING_LINES);
        let writer = thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_all(&waiting))?;
        let log = Self {
            instance: instance.to_owned(),
            clock,
            lines: RefCell::new(Some(lines)),
            second: Cell::new(0),
            written: Cell::new(0),
            left_out: Cell::new(0),
            left_out_in_all: Cell::new(0),
        };
        Ok((log, LogThread(writer)))
    }

    /// Logs an event, unless too many were logged within this second.
    pub fn event(&self, event: Event<'_>) {
        let now = self.clock.now();
        self.start_second(now);
        let most = if event.is_ordinary() {
            ORDINARY_PER_S
        } else {
            ALL_PER_S
        };
        if self.written.get() >= most {
            self.leave_out();
            return;
        }
        self.written.set(self.written.get() + 1);
        self.write(event, now);
    }

    /// Takes no more events, so that the writer ends after the last one.
    pub fn close(&self) {
        self.lines.borrow_mut().take();
    }

    /// Lines that were left out since the start.
    pub fn dropped_lines(&self) -> u64 {
        self.left_out_in_all.get()
    }

    fn start_second(&self, now: Millis) {
        let second = now.0 / 1_000;
        if second == self.second.get() {
            return;
        }
        self.second.set(second);
        self.written.set(0);
        let lines = self.left_out.replace(0);
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
            self.leave_out();
            return;
        };
        text.push(b'\n');
        let sent = self
            .lines
            .borrow()
            .as_ref()
            .map(|lines| lines.try_send(text));
        if !matches!(sent, Some(Ok(()))) {
            self.leave_out();
        }
    }

    fn leave_out(&self) {
        self.left_out.set(self.left_out.get() + 1);
        self.left_out_in_all.set(self.left_out_in_all.get() + 1);
    }
}

fn write_all(waiting: &Receiver<Vec<u8>>) {
    let mut out = io::stdout();
    while let Ok(mut batch) = waiting.recv() {
        for line in waiting.try_iter().take(64) {
            batch.extend_from_slice(&line);
        }
        // A reader that has left must not end the instance.
        drop(out.write_all(&batch).and_then(|()| out.flush()));
    }
}

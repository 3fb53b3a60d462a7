//! Splitting of an event stream into events.

use bytes::{Buf as _, Bytes, BytesMut};

/// Event, including the blank line that terminates it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamEvent {
    /// Numeric id, if the event has one.
    pub id: Option<u64>,
    /// Raw bytes.
    pub bytes: Bytes,
}

/// Splits the bytes of a stream into complete events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
}

impl EventSplitter {
    /// Appends bytes to the buffer.
    pub fn push(&mut self, mut piece: impl bytes::Buf) {
        while piece.has_remaining() {
            let chunk = piece.chunk();
            self.buffer.extend_from_slice(chunk);
            let read = chunk.len();
            piece.advance(read);
        }
    }

    /// Removes and returns the next complete event.
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        let end = end_of_event(&self.buffer)?;
        let bytes = self.buffer.split_to(end).freeze();
        let id = event_id(&bytes);
        Some(StreamEvent { id, bytes })
    }

    /// Whether the buffer holds part of an event.
    pub fn has_part(&self) -> bool {
        self.buffer.has_remaining()
    }
}

/// Index after the blank line that ends the first event.
fn end_of_event(bytes: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    for at in memchr::memchr_iter(b'\n', bytes) {
        let line = &bytes[line_start..at];
        if line.is_empty() || line == b"\r" {
            return Some(at + 1);
        }
        line_start = at + 1;
    }
    None
}

/// Numeric id of an event.
fn event_id(bytes: &[u8]) -> Option<u64> {
    let is_id = |line: &&[u8]| line.starts_with(b"id:");
    let line = bytes.split(|byte| *byte == b'\n').find(is_id)?;
    let text = std::str::from_utf8(&line[b"id:".len()..]).ok()?;
    text.trim().parse().ok()
}

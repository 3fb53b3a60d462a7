//! Cutting an event stream into whole events.

use bytes::{Buf as _, Bytes, BytesMut};

/// One event with the blank line that ends it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamEvent {
    /// Its number, where it has one.
    pub id: Option<u64>,
    /// Its bytes.
    pub bytes: Bytes,
}

/// Cuts pieces of a stream into whole events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
}

impl EventSplitter {
    /// Adds bytes.
    pub fn push(&mut self, mut piece: impl bytes::Buf) {
        while piece.has_remaining() {
            let chunk = piece.chunk();
            self.buffer.extend_from_slice(chunk);
            let read = chunk.len();
            piece.advance(read);
        }
    }

    /// Takes the next whole event.
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        let end = end_of_event(&self.buffer)?;
        let bytes = self.buffer.split_to(end).freeze();
        let id = event_id(&bytes);
        Some(StreamEvent { id, bytes })
    }

    /// Whether an event was begun and not ended.
    pub fn has_part(&self) -> bool {
        self.buffer.has_remaining()
    }
}

/// Where the first event ends: behind an empty line.
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

fn event_id(bytes: &[u8]) -> Option<u64> {
    let is_id = |line: &&[u8]| line.starts_with(b"id:");
    let line = bytes.split(|byte| *byte == b'\n').find(is_id)?;
    let text = std::str::from_utf8(&line[b"id:".len()..]).ok()?;
    text.trim().parse().ok()
}

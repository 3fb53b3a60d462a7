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

/// Mark that may stand at the start of a stream.
const BYTE_ORDER_MARK: &[u8] = "\u{feff}".as_bytes();
/// Maximum size of an event, in bytes.
pub const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Size of an event after which the buffer is replaced, in bytes, so that the memory of a large event is
/// free once the event has been sent.
const REPLACE_BUFFER_BYTES: usize = 16 * 1024;

/// An event that is longer than [`MAX_EVENT_BYTES`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventTooLong;

/// Splits the bytes of a stream into complete events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// Start of the first line that has not been searched for its end completely.
    line_start: usize,
    /// Number of bytes that have been searched for the end of a line.
    searched: usize,
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
    ///
    /// # Errors
    ///
    /// Fails when an event is longer than [`MAX_EVENT_BYTES`].
    pub fn next_event(&mut self) -> Result<Option<StreamEvent>, EventTooLong> {
        let end = self.end_of_event();
        if end.unwrap_or(self.buffer.len()) > MAX_EVENT_BYTES {
            return Err(EventTooLong);
        }
        let Some(end) = end else {
            return Ok(None);
        };
        self.line_start = 0;
        self.searched = 0;
        let bytes = self.buffer.split_to(end).freeze();
        if end > REPLACE_BUFFER_BYTES {
            self.buffer = BytesMut::from(&self.buffer[..]);
        }
        let id = event_id(&bytes);
        Ok(Some(StreamEvent { id, bytes }))
    }

    /// Size of the buffered bytes.
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Whether the buffer holds part of an event.
    pub fn has_part(&self) -> bool {
        self.buffer.has_remaining()
    }

    /// Index after the blank line that ends the first event.
    fn end_of_event(&mut self) -> Option<usize> {
        let from = self.searched;
        for at in memchr::memchr_iter(b'\n', &self.buffer[from..]) {
            let at = from + at;
            let line = &self.buffer[self.line_start..at];
            if line.is_empty() || line == b"\r" {
                return Some(at + 1);
            }
            self.line_start = at + 1;
        }
        self.searched = self.buffer.len();
        None
    }
}

/// Numeric id of an event.
fn event_id(bytes: &[u8]) -> Option<u64> {
    let bytes = bytes.strip_prefix(BYTE_ORDER_MARK).unwrap_or(bytes);
    let is_id = |line: &&[u8]| line.starts_with(b"id:");
    let line = bytes.split(|byte| *byte == b'\n').find(is_id)?;
    let text = std::str::from_utf8(&line[b"id:".len()..]).ok()?;
    text.trim().parse().ok()
}

//! Reads a stream of server-sent events as it passes, in constant memory.

/// Longest part of a line that is looked at, in bytes.
const LINE_HEAD_BYTES: usize = 16;
const DATA_FIELD: &[u8] = b"data:";
const LAST_EVENT: &[u8] = b"[DONE]";

/// Counts the events of a stream and finds its last one.
#[derive(Clone, Debug, Default)]
pub struct SseScan {
    line_head: Vec<u8>,
    line_bytes: usize,
    data_events: u64,
    is_done: bool,
    is_between_events: bool,
}

impl SseScan {
    /// Reads the next chunk, which may begin and end anywhere.
    pub fn feed(&mut self, chunk: &[u8]) {
        for &byte in chunk {
            match byte {
                b'\n' => self.end_line(),
                b'\r' => {}
                _ => self.extend_line(byte),
            }
        }
    }

    /// Events with data so far, without the last one.
    pub fn data_events(&self) -> u64 {
        self.data_events
    }

    /// Whether the stream's last event (`data: [DONE]`) has passed.
    pub fn is_done(&self) -> bool {
        self.is_done
    }

    /// Whether the stream stands between two events, where a comment may be put in.
    pub fn is_between_events(&self) -> bool {
        self.is_between_events && self.line_bytes == 0
    }

    fn extend_line(&mut self, byte: u8) {
        if self.line_head.len() < LINE_HEAD_BYTES {
            self.line_head.push(byte);
        }
        self.line_bytes += 1;
        self.is_between_events = false;
    }

    fn end_line(&mut self) {
        if let Some(data) = self.line_head.strip_prefix(DATA_FIELD) {
            if data.trim_ascii() == LAST_EVENT {
                self.is_done = true;
            } else {
                self.data_events += 1;
            }
        }
        self.is_between_events = self.line_bytes == 0;
        self.line_head.clear();
        self.line_bytes = 0;
    }
}

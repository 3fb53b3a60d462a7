//! Splitting of a stream of server-sent events into complete events, and counting of their tokens.
//!
//! Only complete events are relayed, so a stream that breaks within an event can be continued by
//! another engine without a partial event in between.

use bytes::{Bytes, BytesMut};
use memchr::memmem;
use serde::Deserialize;
use std::borrow::Cow;

/// Maximum size of an event, in bytes.
pub const MAX_EVENT_BYTES: usize = 1_024 * 1_024;
const DATA_FIELD: &[u8] = b"data:";
const LAST_EVENT: &[u8] = b"[DONE]";
/// Number of bytes already searched that may hold the beginning of an event's terminator.
const END_OVERLAP_BYTES: usize = 3;

/// An event that is longer than [`MAX_EVENT_BYTES`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventTooLong;

#[derive(Deserialize)]
struct Chunk<'a> {
    #[serde(borrow, default)]
    choices: Vec<Choice<'a>>,
}

#[derive(Deserialize)]
struct Choice<'a> {
    #[serde(borrow, default)]
    delta: Option<Delta<'a>>,
    #[serde(borrow, default)]
    text: Option<Cow<'a, str>>,
}

#[derive(Deserialize)]
struct Delta<'a> {
    #[serde(borrow, default)]
    content: Option<Cow<'a, str>>,
}

/// Splitter of one stream, with its incomplete last event and the tokens counted so far.
#[derive(Debug, Default)]
pub struct EventSplitter {
    incomplete: BytesMut,
    tokens: u64,
    is_done: bool,
}

impl EventSplitter {
    /// Adds the next bytes, which may begin and end anywhere, and returns the events that are now
    /// complete.
    ///
    /// # Errors
    ///
    /// Fails when an event is longer than [`MAX_EVENT_BYTES`].
    pub fn push(&mut self, bytes: &[u8]) -> Result<Bytes, EventTooLong> {
        let searched = self.incomplete.len().saturating_sub(END_OVERLAP_BYTES);
        self.incomplete.extend_from_slice(bytes);
        let Some(end) = end_of_events(&self.incomplete[searched..]) else {
            if self.incomplete.len() > MAX_EVENT_BYTES {
                return Err(EventTooLong);
            }
            return Ok(Bytes::new());
        };
        let complete = self.incomplete.split_to(searched + end).freeze();
        for line in complete.split(|byte| *byte == b'\n') {
            self.read_line(line);
        }
        Ok(complete)
    }

    /// Discards the incomplete last event of a stream that broke.
    pub fn discard_incomplete(&mut self) {
        self.incomplete.clear();
    }

    /// Returns the number of events with output so far; engines send one token in each.
    pub fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Whether the stream's last event (`data: [DONE]`) has been read.
    pub fn is_done(&self) -> bool {
        self.is_done
    }

    fn read_line(&mut self, line: &[u8]) {
        let Some(data) = line.strip_prefix(DATA_FIELD) else {
            return;
        };
        let data = data.trim_ascii();
        if data == LAST_EVENT {
            self.is_done = true;
        } else if has_output(data) {
            self.tokens += 1;
        }
    }
}

/// Returns the position after the last event that ends in `bytes`.
fn end_of_events(bytes: &[u8]) -> Option<usize> {
    let ends = [&b"\n\n"[..], &b"\r\n\r\n"[..]];
    let position_after = |end: &&[u8]| memmem::rfind(bytes, end).map(|at| at + end.len());
    ends.iter().filter_map(position_after).max()
}

// An event that cannot be parsed is relayed but counts as no output.
fn has_output(data: &[u8]) -> bool {
    let Ok(chunk) = serde_json::from_slice::<Chunk<'_>>(data) else {
        return false;
    };
    chunk.choices.iter().any(|choice| {
        let delta_text = choice.delta.as_ref().and_then(|it| it.content.as_ref());
        let text = delta_text.or(choice.text.as_ref());
        text.is_some_and(|text| !text.is_empty())
    })
}

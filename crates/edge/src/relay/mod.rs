//! Response bodies and event streams.

mod body;
mod events;

pub use body::{AnswerBody, AnswerBroken};
pub use events::{EventSplitter, EventTooLong, StreamEvent, MAX_EVENT_BYTES};

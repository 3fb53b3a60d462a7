//! Response bodies and event streams.

mod body;
mod events;
mod queue;

pub use body::{AnswerBody, AnswerBroken};
pub use events::{EventSplitter, EventTooLong, StreamEvent, MAX_EVENT_BYTES};
pub use queue::{body_queue, BodySender, CallerLeft};

//! Bodies of answers on their way to the caller.

mod body;
mod events;

pub use body::{AnswerBody, AnswerBroken};
pub use events::{EventSplitter, StreamEvent};

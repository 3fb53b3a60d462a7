//! Answers on their way from an upstream to a caller.
//!
//! A filter between dispatch and intake: it counts output tokens, tells a whole answer from a cut
//! one, and makes sure that the placement behind the answer is settled exactly once.

mod body;
mod settle;
mod sse;

pub use body::{Broken, Chunks, Framing, RelayBody, Resumed, Resumer};
pub use settle::{Charged, Settling};
pub use sse::{EventStream, EventTooLong, MAX_EVENT_BYTES};

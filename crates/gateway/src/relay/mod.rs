//! Answers on their way from an upstream to a caller.
//!
//! A filter between dispatch and intake: it counts output tokens, tells a whole answer from a cut
//! one, and makes sure that the placement behind the answer is settled exactly once.

mod body;
mod guard;
mod sse;

pub use body::{BrokenStream, Chunks, Framing, RelayBody, ResumedStream, Resumer};
pub use guard::{ChargeGuard, PlacementGuard};
pub use sse::{EventSplitter, EventTooLong, MAX_EVENT_BYTES};

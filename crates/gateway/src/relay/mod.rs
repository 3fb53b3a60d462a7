//! Relaying of answers from an upstream to a caller.
//!
//! The stage between dispatch and intake: it counts output tokens, distinguishes complete answers
//! from truncated ones, and makes sure that the placement of the request is settled exactly once.

mod body;
mod guard;
mod sse;

pub use body::{BrokenStream, Chunks, Framing, RelayBody, ResumedStream, Resumer};
pub use guard::{ChargeGuard, PlacementGuard};
pub use sse::{EventSplitter, EventTooLong, MAX_EVENT_BYTES};

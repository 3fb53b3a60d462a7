//! Structured log: one JSON line for each event, on standard output.
//!
//! Lines pass through a bounded channel to a separate thread, so that a stalled reader of standard
//! output does not block the instance. Lines are rate-limited, with a lower limit for those of
//! normal request processing; dropped lines are counted and the count is logged.

mod event;
mod writer;

pub use event::Event;
pub use writer::{Log, LogThread};

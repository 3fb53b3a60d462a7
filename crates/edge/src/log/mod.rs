//! Structured logs: one JSON line for each decision, on standard output.
//!
//! Lines pass through a bounded ring to a thread of their own, so a reader that stops never stops
//! the instance. Each kind of line has a rate; what is left out is counted and told.

mod event;
mod writer;

pub use event::Event;
pub use writer::{Log, LogThread};

//! Detection of prompt parts, and of whole requests, that crash the upstreams which run them.
//!
//! An engine that ends takes many requests with it, of which at most one was the cause. A part is
//! told apart by two facts: requests with it were waiting for their first output at each of several
//! crashes, and no request with it has been answered since. See
//! `docs/design/crashing-prompts.md`.

mod answers;
mod detector;
mod evidence;
mod gate;
mod holds;
mod in_flight;
mod report;
mod share;
mod times;

pub use detector::{CrashDetector, CrashSubject};
pub use gate::{Gate, HoldChange};
pub use report::{AnsweredPart, Crash, CrashReport, HeldPart};

/// Identifier of a prompt part, equal on all instances.
pub type PartId = u64;

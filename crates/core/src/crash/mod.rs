//! Detection of prompt parts that crash the engines which answer them.
//!
//! An engine that ends takes many requests with it, of which at most one was the cause. A part is
//! told apart by two facts: requests with it were waiting for their first output at each of several
//! crashes, and no request with it has been answered since. See
//! `docs/design/crashing-prompts.md`.

mod detector;
mod report;

pub use detector::{CrashDetector, Gate, HoldChange};
pub use report::{Crash, CrashReport, HeldPart};

/// Identifier of a prompt part, equal on all instances.
pub type PartId = u64;

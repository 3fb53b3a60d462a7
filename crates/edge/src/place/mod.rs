//! Which upstream takes a request, and whether any can take it in time.
//!
//! The load this answers: long prompts of which two thirds are shared between requests, beside
//! short questions with long answers. The time to the first event is ruled by the prompts that
//! wait to be read, so an upstream that probably holds the shared parts is preferred until its
//! queue costs more than reading them again.

mod cache;
mod choose;

pub use cache::{Part, PartCache};
pub use choose::{choose, region_wait_ms, Choice, Job, Placed, Rules};

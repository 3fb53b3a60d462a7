//! Simulation of an inference engine with continuous batching, without I/O or a clock.
//!
//! A [`BatchEngine`] works in steps. Each step generates one token for every request whose prefill
//! is complete, and processes a bounded chunk of prompt tokens of the other requests. The duration
//! of a step grows with the batch and with the chunk. Prompt prefixes in the cache, which has a
//! fixed size, need no prefill. Time is an argument in microseconds; the owner calls
//! [`BatchEngine::begin_step`], waits for the returned duration and then calls
//! [`BatchEngine::end_step`].

mod cache;
mod engine;
mod history;
mod request;

pub use cache::{CacheEvent, PrefixCache};
pub use engine::{BatchEngine, BatchSettings};
pub use history::{LoadHistory, LoadSample};
pub use request::{BatchRequest, BatchRequestId, Token};

//! A pure model of a model engine with continuous batching.
//!
//! A [`BatchEngine`] works in steps. Each step generates one token for every request that is past
//! its prompt, and reads a bounded piece of the prompts that are not. The step's duration grows with
//! the batch and with the piece. Prompts whose prefixes stand in the limited cache are read faster.
//! Time is an argument in microseconds; the owner calls [`BatchEngine::begin_step`], waits for the
//! duration that it gives and then calls [`BatchEngine::end_step`].

mod cache;
mod engine;
mod history;
mod request;

pub use cache::{CacheEvent, PrefixCache};
pub use engine::{BatchEngine, BatchSettings};
pub use history::{LoadHistory, LoadSample};
pub use request::{BatchRequest, BatchRequestId, Token};

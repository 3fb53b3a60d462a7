//! Work that an upstream has to do.

use crate::time::Millis;
use std::ops::{Add, AddAssign, SubAssign};

/// Work in flight on an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests, the long ones included.
    pub requests: u64,
    /// Requests of classes with long prompts.
    pub long_requests: u64,
    /// Uncached prompt tokens of short requests that wait for their first token.
    pub prompt_tokens: u64,
    /// Uncached prompt tokens of long requests that wait for their first token.
    pub long_prompt_tokens: u64,
    /// Output tokens that are still expected.
    pub output_tokens: u64,
}

impl Load {
    /// Whether there is no work at all.
    pub fn is_idle(&self) -> bool {
        self.requests == 0
    }
}

impl Add for Load {
    type Output = Self;

    fn add(mut self, other: Self) -> Self {
        self += other;
        self
    }
}

impl AddAssign for Load {
    fn add_assign(&mut self, other: Self) {
        self.requests += other.requests;
        self.long_requests += other.long_requests;
        self.prompt_tokens += other.prompt_tokens;
        self.long_prompt_tokens += other.long_prompt_tokens;
        self.output_tokens += other.output_tokens;
    }
}

impl SubAssign for Load {
    fn sub_assign(&mut self, other: Self) {
        let less = |value: &mut u64, part: u64| {
            assert!(*value >= part, "work in flight below zero");
            *value -= part;
        };
        less(&mut self.requests, other.requests);
        less(&mut self.long_requests, other.long_requests);
        less(&mut self.prompt_tokens, other.prompt_tokens);
        less(&mut self.long_prompt_tokens, other.long_prompt_tokens);
        less(&mut self.output_tokens, other.output_tokens);
    }
}

/// An upstream's own report of its load, which lags.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UpstreamReport {
    /// When the upstream measured it, on this instance's clock.
    pub measured_at: Millis,
    /// Requests that the upstream runs or queues.
    pub requests: u64,
    /// Prompt tokens that wait to be read.
    pub prompt_tokens: u64,
    /// The upstream refuses new work because it is about to stop.
    pub is_leaving: bool,
    /// Number of the upstream's registration; a higher one is a newer start.
    pub registration: u64,
}

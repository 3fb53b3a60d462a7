//! Load of an upstream.

use crate::time::Millis;
use std::ops::{Add, AddAssign, SubAssign};

/// In-flight load on an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests, including long requests.
    pub requests: u64,
    /// Requests of classes with long prompts.
    pub long_requests: u64,
    /// Uncached prompt tokens of short requests awaiting their first token.
    pub prompt_tokens: u64,
    /// Uncached prompt tokens of long requests awaiting their first token.
    pub long_prompt_tokens: u64,
    /// Output tokens still expected.
    pub output_tokens: u64,
}

impl Load {
    /// Whether no request is in flight.
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
        let subtract = |value: &mut u64, part: u64| {
            assert!(*value >= part, "in-flight load below zero");
            *value -= part;
        };
        subtract(&mut self.requests, other.requests);
        subtract(&mut self.long_requests, other.long_requests);
        subtract(&mut self.prompt_tokens, other.prompt_tokens);
        subtract(&mut self.long_prompt_tokens, other.long_prompt_tokens);
        subtract(&mut self.output_tokens, other.output_tokens);
    }
}

/// Load report from the upstream itself, which lags behind its actual load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UpstreamReport {
    /// Time of the measurement, on this instance's clock.
    pub measured_at: Millis,
    /// Requests running or queued on the upstream.
    pub requests: u64,
    /// Prompt tokens awaiting prefill.
    pub prompt_tokens: u64,
    /// Whether the upstream refuses new requests because it is about to stop.
    pub is_leaving: bool,
    /// Registration number of the upstream; each start has a higher number.
    pub registration: u64,
}

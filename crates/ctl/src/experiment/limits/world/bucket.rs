//! Reference token bucket in true time, with which the limiter's decisions are compared.

use carobwheel_core::limit::MICRO_PER_TOKEN;

/// A token bucket with reservations. Its level and reservations together never exceed the burst.
#[derive(Clone, Debug)]
pub struct Bucket {
    rate_tokens_per_s: u64,
    burst_micro: u64,
    level_micro: u64,
    reserved_micro: u64,
    updated_ms: u64,
}

impl Bucket {
    /// Creates a full bucket.
    pub fn full(rate_tokens_per_s: u64, burst_tokens: u64) -> Self {
        let burst_micro = burst_tokens * MICRO_PER_TOKEN;
        Self {
            rate_tokens_per_s,
            burst_micro,
            level_micro: burst_micro,
            reserved_micro: 0,
            updated_ms: 0,
        }
    }

    fn accrue(&mut self, at_ms: u64) {
        let elapsed_ms = at_ms.saturating_sub(self.updated_ms);
        self.updated_ms = at_ms.max(self.updated_ms);
        let room = self.burst_micro.saturating_sub(self.reserved_micro);
        let level = self.level_micro + self.rate_tokens_per_s * 1_000 * elapsed_ms;
        self.level_micro = level.min(room);
    }

    /// Returns whether `tokens` can be charged.
    pub fn can_charge(&mut self, tokens: u64, at_ms: u64) -> bool {
        self.accrue(at_ms);
        self.level_micro >= tokens * MICRO_PER_TOKEN
    }

    /// Charges a request; the level does not drop below zero.
    pub fn charge(&mut self, prompt_tokens: u64, max_output_tokens: u64, at_ms: u64) {
        self.accrue(at_ms);
        let total = (prompt_tokens + max_output_tokens) * MICRO_PER_TOKEN;
        self.level_micro = self.level_micro.saturating_sub(total);
        self.reserved_micro += max_output_tokens * MICRO_PER_TOKEN;
        self.accrue(at_ms);
    }

    /// Settles a request and refunds its unused output tokens.
    pub fn settle(&mut self, max_output_tokens: u64, output_tokens: u64, at_ms: u64) {
        self.accrue(at_ms);
        self.reserved_micro -= max_output_tokens * MICRO_PER_TOKEN;
        self.level_micro += (max_output_tokens - output_tokens) * MICRO_PER_TOKEN;
        self.accrue(at_ms);
    }
}

//! Offered load: requests of an account over time and places.

use carobwheel_core::id::AccountId;
use rand::{rngs::StdRng, Rng};

/// Where an account's requests arrive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Placement {
    /// At all instances alike.
    Spread,
    /// At the instance with this number.
    One(usize),
    /// At the instances of one region, and of the next one after `period_ms`.
    Moving {
        /// Time in one region, in milliseconds.
        period_ms: u64,
    },
}

/// Offered load of one account.
#[derive(Clone, Debug)]
pub struct Flow {
    /// The account.
    pub account: AccountId,
    /// Tokens asked for in a second on average, prompt and most output together.
    pub tokens_per_s: u64,
    /// Places.
    pub placement: Placement,
    /// Largest prompt, in tokens.
    pub max_prompt_tokens: u64,
    /// Largest bound on the output, in tokens.
    pub max_output_tokens: u64,
    /// Least share of the output bound that is generated, in percent.
    pub min_output_pct: u64,
    /// Time that a request may wait for tokens, in milliseconds.
    pub max_wait_ms: u64,
    /// The load is on for this time and off for as long; 0 if it is always on.
    pub on_ms: u64,
}

/// A request.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// True time, in milliseconds.
    pub at_ms: u64,
    /// Number of the instance.
    pub node: usize,
    /// The account.
    pub account: AccountId,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Most tokens to generate.
    pub max_output_tokens: u64,
    /// Tokens that will be generated.
    pub output_tokens: u64,
    /// Tokens generated in a second.
    pub speed_tokens_per_s: u64,
    /// Time that the request may wait for tokens, in milliseconds.
    pub max_wait_ms: u64,
}

impl Flow {
    /// Requests that arrive in the `step_ms` from `at_ms`, at one of `nodes` instances that stand
    /// in `regions` regions by turns.
    pub fn arrivals(
        &self,
        at_ms: u64,
        step_ms: u64,
        nodes: usize,
        regions: usize,
        rng: &mut StdRng,
    ) -> Vec<Arrival> {
        if self.on_ms > 0 && (at_ms / self.on_ms) % 2 == 1 {
            return Vec::new();
        }
        let mean_tokens = (self.max_prompt_tokens + self.max_output_tokens + 2) as f64 / 2.0;
        let on_factor = if self.on_ms > 0 { 2.0 } else { 1.0 };
        let per_ms = self.tokens_per_s as f64 * on_factor / mean_tokens / 1_000.0;
        let expected = per_ms * step_ms as f64;
        let whole = expected.floor();
        let count = whole as u64 + u64::from(rng.random_bool(expected - whole));
        (0..count)
            .map(|_| self.arrival(at_ms, nodes, regions, rng))
            .collect()
    }

    fn arrival(&self, at_ms: u64, nodes: usize, regions: usize, rng: &mut StdRng) -> Arrival {
        let node = match self.placement {
            Placement::Spread => rng.random_range(0..nodes),
            Placement::One(node) => node,
            Placement::Moving { period_ms } => {
                let turn = usize::try_from(at_ms / period_ms).unwrap_or(0) % regions;
                turn + regions * rng.random_range(0..nodes / regions)
            }
        };
        let max_output_tokens = rng.random_range(1..=self.max_output_tokens);
        let least = max_output_tokens * self.min_output_pct / 100;
        Arrival {
            at_ms,
            node,
            account: self.account.clone(),
            prompt_tokens: rng.random_range(1..=self.max_prompt_tokens),
            max_output_tokens,
            output_tokens: rng.random_range(least..=max_output_tokens),
            speed_tokens_per_s: rng.random_range(50..=500),
            max_wait_ms: self.max_wait_ms,
        }
    }
}

//! Offered load: arrivals of an account's requests over time and instances.

use carobwheel_core::id::AccountId;
use rand::{rngs::StdRng, Rng};

/// Distribution of an account's requests over the instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Placement {
    /// Evenly over all instances.
    Spread,
    /// Only at the instance with this index.
    One(usize),
    /// Evenly over the instances of one region, moving to the next region every `period_ms`.
    Moving {
        /// Time spent in one region, in milliseconds.
        period_ms: u64,
    },
}

/// Offered load of one account.
#[derive(Clone, Debug)]
pub struct Flow {
    /// The account.
    pub account: AccountId,
    /// Average tokens requested per second, the sum of prompt and output bound.
    pub tokens_per_s: u64,
    /// Distribution over the instances.
    pub placement: Placement,
    /// Largest prompt, in tokens.
    pub max_prompt_tokens: u64,
    /// Largest bound on the output, in tokens.
    pub max_output_tokens: u64,
    /// Smallest share of the output bound that is generated, in percent.
    pub min_output_pct: u64,
    /// Maximum wait of a request for tokens, in milliseconds.
    pub max_wait_ms: u64,
    /// Length of alternating on and off phases, in milliseconds; 0 for constant load.
    pub on_ms: u64,
}

/// A request that arrives at an instance.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// True time of arrival, in milliseconds.
    pub at_ms: u64,
    /// Index of the instance.
    pub node: usize,
    /// The account.
    pub account: AccountId,
    /// Number of prompt tokens.
    pub prompt_tokens: u64,
    /// Bound on the tokens to generate.
    pub max_output_tokens: u64,
    /// Number of tokens that will be generated.
    pub output_tokens: u64,
    /// Tokens generated per second.
    pub speed_tokens_per_s: u64,
    /// Maximum wait for tokens, in milliseconds.
    pub max_wait_ms: u64,
}

impl Flow {
    /// Generates the requests that arrive in the `step_ms` after `at_ms`, each at one of `nodes`
    /// instances that are assigned to `regions` regions round-robin.
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
                let region = usize::try_from(at_ms / period_ms).unwrap_or(0) % regions;
                region + regions * rng.random_range(0..nodes / regions)
            }
        };
        let max_output_tokens = rng.random_range(1..=self.max_output_tokens);
        let min_output_tokens = max_output_tokens * self.min_output_pct / 100;
        Arrival {
            at_ms,
            node,
            account: self.account.clone(),
            prompt_tokens: rng.random_range(1..=self.max_prompt_tokens),
            max_output_tokens,
            output_tokens: rng.random_range(min_output_tokens..=max_output_tokens),
            speed_tokens_per_s: rng.random_range(50..=500),
            max_wait_ms: self.max_wait_ms,
        }
    }
}

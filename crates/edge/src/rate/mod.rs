//! Rates of tokens, averaged over about a second.

use carobwheel_core::time::Millis;

/// Time over which the rate is averaged, in milliseconds.
const AVERAGED_MS: f64 = 1_000.0;

/// An exponentially averaged rate.
#[derive(Clone, Copy, Debug, Default)]
pub struct MeanRate {
    tokens: f64,
    at: Millis,
}

impl MeanRate {
    /// Takes note of tokens.
    pub fn add(&mut self, tokens: f64, now: Millis) {
        self.tokens = self.decayed(now) + tokens;
        self.at = now;
    }

    /// Tokens a second.
    pub fn per_s(&self, now: Millis) -> f64 {
        self.decayed(now) * 1_000.0 / AVERAGED_MS
    }

    fn decayed(&self, now: Millis) -> f64 {
        #[allow(clippy::cast_precision_loss)]
        let passed_ms = now.since(self.at) as f64;
        self.tokens * (-passed_ms / AVERAGED_MS).exp()
    }
}

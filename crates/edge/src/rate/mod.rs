//! Token rates, averaged over about a second.

use carobwheel_core::time::Millis;

/// Time constant of the average, in milliseconds.
const AVERAGING_MS: f64 = 1_000.0;

/// Exponential moving average of a token rate.
#[derive(Clone, Copy, Debug, Default)]
pub struct MeanRate {
    tokens: f64,
    updated_at: Millis,
}

impl MeanRate {
    /// Adds tokens at `now`.
    pub fn add(&mut self, tokens: f64, now: Millis) {
        self.tokens = self.decayed(now) + tokens;
        self.updated_at = now;
    }

    /// Current rate, in tokens a second.
    pub fn per_s(&self, now: Millis) -> f64 {
        self.decayed(now) * 1_000.0 / AVERAGING_MS
    }

    /// Rate, in tokens a second, if tokens were added for the last `observed_ms` milliseconds only.
    pub fn per_s_over(&self, observed_ms: u64, now: Millis) -> f64 {
        #[allow(clippy::cast_precision_loss)]
        let weight = 1.0 - (-(observed_ms.max(1) as f64) / AVERAGING_MS).exp();
        self.per_s(now) / weight
    }

    fn decayed(&self, now: Millis) -> f64 {
        #[allow(clippy::cast_precision_loss)]
        let elapsed_ms = now.since(self.updated_at) as f64;
        self.tokens * (-elapsed_ms / AVERAGING_MS).exp()
    }
}

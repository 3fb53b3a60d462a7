//! Token rates, averaged over about a second.

use carobwheel_core::time::Millis;

/// Time constant of the average unless another one is given, in milliseconds.
const AVERAGING_MS: f64 = 1_000.0;

/// Exponential moving average of a token rate.
#[derive(Clone, Copy, Debug)]
pub struct MeanRate {
    tokens: f64,
    updated_at: Millis,
    averaging_ms: f64,
}

impl Default for MeanRate {
    fn default() -> Self {
        Self {
            tokens: 0.0,
            updated_at: Millis::default(),
            averaging_ms: AVERAGING_MS,
        }
    }
}

impl MeanRate {
    /// Average over about `averaging_ms` milliseconds.
    pub fn over(averaging_ms: u64) -> Self {
        #[allow(clippy::cast_precision_loss)]
        let averaging_ms = averaging_ms as f64;
        Self {
            averaging_ms,
            ..Self::default()
        }
    }

    /// Adds tokens at `now`.
    pub fn add(&mut self, tokens: f64, now: Millis) {
        self.tokens = self.decayed(now) + tokens;
        self.updated_at = now;
    }

    /// Current rate, in tokens a second.
    pub fn per_s(&self, now: Millis) -> f64 {
        self.decayed(now) * 1_000.0 / self.averaging_ms
    }

    /// Rate, in tokens a second, if tokens were added for the last `observed_ms` milliseconds only.
    pub fn per_s_over(&self, observed_ms: u64, now: Millis) -> f64 {
        #[allow(clippy::cast_precision_loss)]
        let weight = 1.0 - (-(observed_ms.max(1) as f64) / self.averaging_ms).exp();
        self.per_s(now) / weight
    }

    /// Integral of the rate over a time in which no tokens were added.
    pub fn tokens_between(&self, from: Millis, to: Millis) -> f64 {
        (self.decayed(from) - self.decayed(to)).max(0.0)
    }

    fn decayed(&self, now: Millis) -> f64 {
        #[allow(clippy::cast_precision_loss)]
        let elapsed_ms = now.since(self.updated_at) as f64;
        self.tokens * (-elapsed_ms / self.averaging_ms).exp()
    }
}

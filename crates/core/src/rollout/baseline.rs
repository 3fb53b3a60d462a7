//! How often requests to the old version go badly of late.

use super::comparison::TrialCounts;
use crate::evidence::RegressionKind;
use crate::time::Millis;

// The past loses weight with these time constants. Latency follows the load; failures hardly do.
const RECENT_MEMORY_MS: f64 = 20_000.0;
const FAILURE_MEMORY_MS: f64 = 600_000.0;

/// Decaying ratio of bad requests among those to the old version.
#[derive(Clone, Debug)]
pub(super) struct Baseline {
    trials: f64,
    faults: f64,
    updated_at: Millis,
    memory_ms: f64,
    // Ratio assumed before anything is counted, and its weight in requests.
    prior_ratio: f64,
    prior_trials: f64,
}

impl Baseline {
    /// The ratio of the last seconds.
    pub(super) fn recent(kind: RegressionKind, now: Millis) -> Self {
        let (prior_ratio, prior_trials) = match kind {
            RegressionKind::Failure => (0.002, 100.0),
            RegressionKind::SlowFirstToken | RegressionKind::SlowTokens => (0.2, 10.0),
        };
        Self {
            trials: 0.0,
            faults: 0.0,
            updated_at: now,
            memory_ms: RECENT_MEMORY_MS,
            prior_ratio,
            prior_trials,
        }
    }

    /// The ratio to be expected when nothing is amiss.
    pub(super) fn expected(kind: RegressionKind, now: Millis) -> Self {
        let memory_ms = match kind {
            RegressionKind::Failure => FAILURE_MEMORY_MS,
            RegressionKind::SlowFirstToken | RegressionKind::SlowTokens => RECENT_MEMORY_MS,
        };
        Self {
            memory_ms,
            ..Self::recent(kind, now)
        }
    }

    pub(super) fn record(&mut self, old: TrialCounts, now: Millis) {
        let elapsed_ms = now.since(self.updated_at) as f64;
        let kept = (-elapsed_ms / self.memory_ms).exp();
        self.trials = self.trials * kept + old.trials as f64;
        self.faults = self.faults * kept + old.faults as f64;
        self.updated_at = now;
    }

    /// Ratio of bad requests.
    pub(super) fn ratio(&self) -> f64 {
        let faults = self.faults + self.prior_trials * self.prior_ratio;
        faults / (self.trials + self.prior_trials)
    }

    /// Ratio that the true one hardly exceeds: the counted one and two standard errors.
    pub(super) fn upper_ratio(&self) -> f64 {
        let ratio = self.ratio();
        let variance = ratio * (1.0 - ratio) / (self.trials + self.prior_trials);
        (ratio + 2.0 * variance.sqrt()).min(0.95)
    }
}

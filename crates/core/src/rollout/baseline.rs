//! Recent ratio of bad requests to the old version.

use super::comparison::TrialCounts;
use crate::evidence::RegressionKind;
use crate::time::Millis;

// Time constants of the exponential decay. The expected failure ratio has a long one, since
// failures hardly depend on the load, while latency follows it.
const RECENT_TIME_CONSTANT_MS: f64 = 20_000.0;
const EXPECTED_FAILURE_TIME_CONSTANT_MS: f64 = 600_000.0;

/// Ratio of bad requests to the old version, with exponential decay.
#[derive(Clone, Debug)]
pub(super) struct Baseline {
    trials: f64,
    faults: f64,
    updated_at: Millis,
    time_constant_ms: f64,
    // Prior ratio, and its weight as a number of requests.
    prior_ratio: f64,
    prior_trials: f64,
}

impl Baseline {
    /// Creates a baseline for the ratio of the last seconds.
    pub(super) fn recent(kind: RegressionKind, now: Millis) -> Self {
        let (prior_ratio, prior_trials) = match kind {
            RegressionKind::Failure => (0.002, 100.0),
            RegressionKind::SlowFirstToken | RegressionKind::SlowTokens => (0.2, 10.0),
        };
        Self {
            trials: 0.0,
            faults: 0.0,
            updated_at: now,
            time_constant_ms: RECENT_TIME_CONSTANT_MS,
            prior_ratio,
            prior_trials,
        }
    }

    /// Creates a baseline for the ratio expected without a fault.
    pub(super) fn expected(kind: RegressionKind, now: Millis) -> Self {
        let time_constant_ms = match kind {
            RegressionKind::Failure => EXPECTED_FAILURE_TIME_CONSTANT_MS,
            RegressionKind::SlowFirstToken | RegressionKind::SlowTokens => RECENT_TIME_CONSTANT_MS,
        };
        Self {
            time_constant_ms,
            ..Self::recent(kind, now)
        }
    }

    pub(super) fn record(&mut self, old: TrialCounts, now: Millis) {
        let elapsed_ms = now.since(self.updated_at) as f64;
        let decay = (-elapsed_ms / self.time_constant_ms).exp();
        self.trials = self.trials * decay + old.trials as f64;
        self.faults = self.faults * decay + old.faults as f64;
        self.updated_at = now;
    }

    /// Estimates the ratio of bad requests.
    pub(super) fn ratio(&self) -> f64 {
        let faults = self.faults + self.prior_trials * self.prior_ratio;
        faults / (self.trials + self.prior_trials)
    }

    /// Returns an upper bound of the ratio of bad requests: the estimate plus two standard errors.
    pub(super) fn upper_ratio(&self) -> f64 {
        let ratio = self.ratio();
        let variance = ratio * (1.0 - ratio) / (self.trials + self.prior_trials);
        (ratio + 2.0 * variance.sqrt()).min(0.95)
    }
}

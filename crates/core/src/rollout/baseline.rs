//! How often requests to the old version go badly of late.

use super::comparison::Trials;
use crate::evidence::Kind;
use crate::time::Millis;

// The past loses weight with this time constant.
const MEMORY_MS: f64 = 120_000.0;
// Weight of the assumed ratio, in requests, against what is counted.
const PRIOR_TRIALS: f64 = 100.0;

/// Decaying ratio of bad requests among those to the old version.
#[derive(Clone, Debug)]
pub(super) struct Baseline {
    trials: f64,
    faults: f64,
    updated_at: Millis,
    prior: f64,
}

impl Baseline {
    pub(super) fn new(kind: Kind, now: Millis) -> Self {
        let prior = match kind {
            Kind::Failure => 0.002,
            Kind::SlowFirstToken | Kind::SlowTokens => 0.1,
        };
        Self {
            trials: 0.0,
            faults: 0.0,
            updated_at: now,
            prior,
        }
    }

    pub(super) fn record(&mut self, old: Trials, now: Millis) {
        let elapsed_ms = now.since(self.updated_at) as f64;
        let kept = (-elapsed_ms / MEMORY_MS).exp();
        self.trials = self.trials * kept + old.trials as f64;
        self.faults = self.faults * kept + old.faults as f64;
        self.updated_at = now;
    }

    /// Expected ratio of bad requests.
    pub(super) fn ratio(&self) -> f64 {
        let faults = self.faults + PRIOR_TRIALS * self.prior;
        faults / (self.trials + PRIOR_TRIALS)
    }

    /// Ratio that the true one hardly exceeds: the expected one and two standard errors.
    pub(super) fn upper_ratio(&self) -> f64 {
        let ratio = self.ratio();
        let variance = ratio * (1.0 - ratio) / (self.trials + PRIOR_TRIALS);
        (ratio + 2.0 * variance.sqrt()).min(0.95)
    }
}

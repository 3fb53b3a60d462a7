//! The objective's trade-off between latency and cost.

use crate::document::Objective;

/// How an objective trades latency against cost.
#[derive(Clone, Copy, Debug)]
pub(super) struct Knobs {
    /// Share of the class's first-token target that a prediction may use up.
    pub(super) first_token_margin: f64,
    /// Share of the class's target between tokens that a prediction may use up.
    pub(super) between_margin: f64,
    /// Weight of the predicted first token in the score.
    pub(super) latency_weight: f64,
    /// Weight of the predicted time between two tokens in the score.
    pub(super) between_weight: f64,
    /// Weight of the engine's additional work in the score.
    pub(super) busy_weight: f64,
    /// Weight of the time by which others on the engine are held up.
    pub(super) harm_weight: f64,
    /// Requests that may wait on the upstream, as a share of its slots. They bridge the time until
    /// news of a free slot arrives, but cannot be placed elsewhere any more.
    pub(super) overcommit: f64,
}

/// The trade-off of an objective.
pub(super) const fn knobs(objective: Objective) -> Knobs {
    match objective {
        Objective::TailLatency => Knobs {
            first_token_margin: 0.6,
            between_margin: 0.8,
            latency_weight: 1.0,
            between_weight: 4.0,
            busy_weight: 0.02,
            harm_weight: 0.02,
            overcommit: 0.0,
        },
        Objective::Cost => Knobs {
            first_token_margin: 0.8,
            between_margin: 0.9,
            latency_weight: 0.05,
            between_weight: 0.0,
            busy_weight: 1.0,
            harm_weight: 0.005,
            overcommit: 0.125,
        },
    }
}

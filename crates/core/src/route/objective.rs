//! Placement parameters for each objective, which trade latency against cost.

use crate::document::Objective;

/// Placement parameters that trade latency against cost.
#[derive(Clone, Copy, Debug)]
pub(super) struct PlacementParams {
    /// Maximum predicted time to first token, as a share of the class's target.
    pub(super) first_token_margin: f64,
    /// Maximum predicted inter-token latency, as a share of the class's target.
    pub(super) between_margin: f64,
    /// Weight of the predicted time to first token in the score.
    pub(super) latency_weight: f64,
    /// Weight of the predicted inter-token latency in the score.
    pub(super) between_weight: f64,
    /// Weight of the added engine time in the score.
    pub(super) busy_weight: f64,
    /// Weight of the delay caused to other requests on the engine in the score.
    pub(super) interference_weight: f64,
    /// Maximum number of requests queued on the upstream, as a share of its slots.
    ///
    /// Queued requests keep the upstream busy until the gateway learns of a free slot, but can no
    /// longer be placed on another upstream.
    pub(super) overcommit: f64,
}

/// Returns the placement parameters for `objective`.
pub(super) const fn placement_params(objective: Objective) -> PlacementParams {
    match objective {
        Objective::TailLatency => PlacementParams {
            first_token_margin: 0.6,
            between_margin: 0.8,
            latency_weight: 1.0,
            between_weight: 4.0,
            busy_weight: 0.02,
            interference_weight: 0.02,
            overcommit: 0.0,
        },
        Objective::Cost => PlacementParams {
            first_token_margin: 0.8,
            between_margin: 0.9,
            latency_weight: 0.05,
            between_weight: 0.0,
            busy_weight: 1.0,
            interference_weight: 0.005,
            overcommit: 0.125,
        },
    }
}

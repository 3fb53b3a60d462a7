//! Rollouts, which move the traffic of a model from an old version to a new one.
//!
//! Every instance follows the steps of the rollout by its own clock, without a leader and without
//! the store. It compares the versions on each route on the evidence it has ([`Comparison`]), falls
//! back to a probe share when the new version may be worse, and raises a suspicion when this is
//! confirmed. A suspicion stops the new version at every instance that receives it. The verdict is
//! written to the store once, by a create-if-absent operation ([`VerdictWriter`]), and applied by
//! all instances from then on.

mod assessment;
mod baseline;
mod comparison;
mod score;
mod share;
mod state;
mod verdict;

pub use assessment::{Assessment, MIN_ROUTE_REQUESTS, MIN_ROUTE_SHARE_PPM, MIN_TOTAL_REQUESTS};
pub use comparison::{Comparison, Finding, TrialCounts};
pub use share::{scheduled_share_ppm, side_of_request};
pub use state::{
    RolloutState, CAUTION_GRACE_MS, CONTROL_SHARE_PPM, DONE_SETTLE_MS, EVIDENCE_GRACE_MS,
    PROBE_SHARE_PPM,
};
pub use verdict::{
    verdict_key, Verdict, VerdictAnswer, VerdictEffect, VerdictRecord, VerdictWriter,
};

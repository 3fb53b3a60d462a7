//! Traffic that moves from an old version of a model to a new one.
//!
//! Every instance follows the steps of the rollout by its clock, without a leader and without the
//! store. It compares the versions on each route by the evidence that it has ([`Comparison`]),
//! falls back to a probe share when the new version looks worse, and raises a suspicion when it is
//! surely worse. A suspicion stops the new version at every instance that hears of it. The verdict
//! is written once to the store by a create ([`VerdictWriter`]) and followed by all from then on.

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
